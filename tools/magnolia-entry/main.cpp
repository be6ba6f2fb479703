// The entry host's process on the users' platform.
#include "magnoliastack/entry_settings/entry_settings.hpp"
#include "magnoliastack/logging/logging.hpp"
#include "platform/entry_process.hpp"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>

namespace
{

namespace entry_settings = magnoliastack::entry_settings;
namespace logging = magnoliastack::logging;

// Exit codes; docs/OPERATIONS.md lists them.
constexpr int exit_start_failed = 1;
constexpr int exit_wrong_settings = 2;

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
    return exit_start_failed;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Entry host of a database proxy with session consistency."};
    app.set_version_flag("--version", MAGNOLIASTACK_VERSION);
    std::string path;
    bool check_only = false;
    app.add_option("--settings", path, "INI file with the host's settings")
        ->envname("MAGNOLIASTACK_SETTINGS")
        ->required();
    app.add_flag("--check-settings", check_only,
                 "check the settings and exit: 0 when they are right, 2 when "
                 "not");
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& problem)
    {
        return app.exit(problem) == 0 ? EXIT_SUCCESS : exit_wrong_settings;
    }
    const auto settings = entry_settings::load(path);
    if (!settings.has_value())
    {
        for (const auto& problem : settings.error())
            std::fprintf(stderr, "%s\n", problem.to_string().c_str());
        return exit_wrong_settings;
    }
    return check_only ? EXIT_SUCCESS : run(*settings, path);
}
