// The command line of a daemon.
#ifndef MAGNOLIASTACK_DAEMON_ARGUMENTS_HPP
#define MAGNOLIASTACK_DAEMON_ARGUMENTS_HPP

#include "magnoliastack/settings/problem.hpp"

#include <string>
#include <variant>
#include <vector>

namespace magnoliastack::daemon
{

// Exit codes of all daemons; docs/OPERATIONS.md lists them.
inline constexpr int exit_start_failed = 1;
inline constexpr int exit_wrong_settings = 2;

// How the program is described.
struct description
{
    std::string m_text;
    std::string m_version;
    // Environment variable that names the settings file when the option does
    // not; none when empty.
    std::string m_settings_variable;
};

// What was asked for.
struct arguments
{
    std::string m_settings;
    bool m_check_only = false;
};

// The arguments, or the exit code when there is nothing more to do: help and
// version were printed, or an error was.
std::variant<arguments, int> parse(int argc, char** argv,
                                   const description& program);

// Prints one line for each problem and returns the exit code.
int report(const std::vector<settings::problem>& problems);

} // namespace magnoliastack::daemon

#endif
