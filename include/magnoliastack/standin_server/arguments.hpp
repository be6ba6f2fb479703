// Command line and settings file shared by the stand-in binaries.
#ifndef MAGNOLIASTACK_STANDIN_SERVER_ARGUMENTS_HPP
#define MAGNOLIASTACK_STANDIN_SERVER_ARGUMENTS_HPP

#include "magnoliastack/base/error.hpp"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace magnoliastack::standin_server
{

// The keys of one section of an INI file as long options, `--key=value`.
// Another section or a key that occurs twice is an error.
base::result<std::vector<std::string>>
options_from_file(const std::string& file_name, const std::string& section);

// A duration with a unit, such as `250ms`; not negative.
base::result<absl::Duration> parse_duration(const std::string& text);

// Splits `name=ip:port`.
struct named_address
{
    std::string m_name;
    std::string m_address;
};
base::result<named_address> parse_named_address(const std::string& text);

// Blocks SIGINT and SIGTERM in this thread and those that it starts later.
void block_stop_signals();

// Waits for SIGINT or SIGTERM.
void wait_for_stop_signal();

} // namespace magnoliastack::standin_server

#endif
