#include "magnoliastack/daemon/arguments.hpp"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <cstdlib>

namespace magnoliastack::daemon
{

std::variant<arguments, int> parse(int argc, char** argv,
                                   const description& program)
{
    CLI::App app{program.m_text};
    app.set_version_flag("--version", program.m_version);
    arguments result;
    auto* settings = app.add_option("--settings", result.m_settings,
                                    "INI file with the host's settings");
    settings->required();
    if (!program.m_settings_variable.empty())
        settings->envname(program.m_settings_variable);
    app.add_flag("--check-settings", result.m_check_only,
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
    return result;
}

int report(const std::vector<settings::problem>& problems)
{
    for (const auto& problem : problems)
        std::fprintf(stderr, "%s\n", problem.to_string().c_str());
    return exit_wrong_settings;
}

} // namespace magnoliastack::daemon
