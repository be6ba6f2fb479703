// The entry host's process on the users' platform.
#include "magnoliastack/daemon/arguments.hpp"
#include "magnoliastack/entry_settings/entry_settings.hpp"
#include "magnoliastack/logging/logging.hpp"
#include "platform/entry_process.hpp"

#include <cstdlib>
#include <iostream>
#include <string>

namespace
{

namespace daemon_cli = magnoliastack::daemon;
namespace entry_settings = magnoliastack::entry_settings;
namespace logging = magnoliastack::logging;

int run(const entry_settings::entry_settings& settings, const std::string& path)
{
    logging::options log_options;
    log_options.m_host = settings.m_host;
    log_options.m_level = logging::parse_severity(settings.m_log_level)
                              .value_or(logging::severity::info);
    log_options.m_target = &std::cout;
    const logging::log_system log(log_options);
    const auto served = magnoliastack::platform::run_entry(settings, path);
    if (served)
        return EXIT_SUCCESS;
    logging::logger("main").error("start_failed",
                                  {{"reason", served.error().m_message}});
    return daemon_cli::exit_start_failed;
}

} // namespace

int main(int argc, char** argv)
{
    magnoliastack::platform::block_signals();
    const auto parsed = daemon_cli::parse(
        argc, argv,
        {"Entry host of a database proxy with session consistency.",
         MAGNOLIASTACK_VERSION, "MAGNOLIASTACK_SETTINGS"});
    if (const auto* code = std::get_if<int>(&parsed))
        return *code;
    const auto& arguments = std::get<daemon_cli::arguments>(parsed);
    const auto settings = entry_settings::load(arguments.m_settings);
    if (!settings.has_value())
        return daemon_cli::report(settings.error());
    return arguments.m_check_only ? EXIT_SUCCESS
                                  : run(*settings, arguments.m_settings);
}
