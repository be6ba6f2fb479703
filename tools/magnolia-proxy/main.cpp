// The entry host's process.
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/daemon/arguments.hpp"
#include "magnoliastack/logging/logging.hpp"
#include "magnoliastack/proxy/host_process.hpp"
#include "magnoliastack/proxy_settings/proxy_settings.hpp"

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iterator>
#include <string>

namespace
{

namespace base = magnoliastack::base;
namespace daemon_cli = magnoliastack::daemon;
namespace logging = magnoliastack::logging;
namespace proxy = magnoliastack::proxy;
namespace proxy_settings = magnoliastack::proxy_settings;

// How often the end of a planned stop is looked for.
constexpr timespec stop_poll{0, 10'000'000};

// The content of a file whose readability the settings have checked.
std::string read_file(const std::string& path)
{
    if (path.empty())
        return {};
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

// A secret file's content without the line end that editors add.
std::string read_secret(const std::string& path)
{
    std::string secret = read_file(path);
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r'))
        secret.pop_back();
    return secret;
}

proxy::host_options options_of(const proxy_settings::daemon_settings& settings)
{
    proxy::host_options options;
    options.m_core.m_self = settings.m_host;
    options.m_core.m_failure_domain = settings.m_failure_domain;
    // A host keeps nothing, so the start time stands for the start count.
    options.m_core.m_incarnation = base::incarnation(
        static_cast<std::uint64_t>(base::system_clock().unix_ms()));
    options.m_core.m_peer_address = settings.m_peers_address;
    options.m_core.m_seeds = settings.m_seeds;
    options.m_core.m_monitor_interval = settings.m_limits.m_monitor_interval;
    options.m_core.m_replica_wait = settings.m_limits.m_replica_wait;
    options.m_core.m_call_timeout = settings.m_limits.m_call_timeout;
    options.m_core.m_queue_per_organisation =
        settings.m_limits.m_queue_per_organisation;
    options.m_core.m_max_requests = settings.m_limits.m_max_callers;
    options.m_caller_address = settings.m_callers_address;
    options.m_platform_address = settings.m_platform_address;
    options.m_operator_secret = read_secret(settings.m_operator_secret_file);
    options.m_caller_tls = {read_file(settings.m_tls.m_certificate),
                            read_file(settings.m_tls.m_private_key),
                            read_file(settings.m_tls.m_client_ca)};
    options.m_peer.m_listen_address = settings.m_peers_address;
    options.m_peer.m_tls.m_authority = read_file(settings.m_tls.m_peer_ca);
    options.m_peer.m_tls.m_certificate =
        read_file(settings.m_tls.m_peer_certificate);
    options.m_peer.m_tls.m_private_key =
        read_file(settings.m_tls.m_peer_private_key);
    return options;
}

int run(const proxy_settings::daemon_settings& settings)
{
    logging::options log_options;
    log_options.m_host = settings.m_host;
    log_options.m_level = logging::parse_severity(settings.m_log_level)
                              .value_or(logging::severity::info);
    const logging::log_system log(log_options);

    // Blocked before any thread starts, so that all threads inherit it and
    // only sigwait below receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    auto host = proxy::host_process::start(options_of(settings));
    if (!host.has_value())
    {
        logging::logger("main").error("start_failed",
                                      {{"reason", host.error().m_message}});
        return daemon_cli::exit_start_failed;
    }
    // An operator's drain command ends the process as well.
    while (!(*host)->is_drained())
        if (sigtimedwait(&signals, nullptr, &stop_poll) > 0)
            (*host)->drain();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    const auto parsed =
        daemon_cli::parse(argc, argv,
                          {"Database proxy with session consistency.",
                           MAGNOLIASTACK_VERSION, ""});
    if (const auto* code = std::get_if<int>(&parsed))
        return *code;
    const auto& arguments = std::get<daemon_cli::arguments>(parsed);
    const auto settings = proxy_settings::load(arguments.m_settings);
    if (!settings.has_value())
        return daemon_cli::report(settings.error());
    return arguments.m_check_only ? EXIT_SUCCESS : run(*settings);
}
