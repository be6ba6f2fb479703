// Command line and settings file shared by the stand-in binaries.
#ifndef MAGNOLIASTACK_STANDIN_SERVER_ARGUMENTS_HPP
#define MAGNOLIASTACK_STANDIN_SERVER_ARGUMENTS_HPP

#include "magnoliastack/logging/logging.hpp"
#include "magnoliastack/settings/schema.hpp"
#include "magnoliastack/standin_server/endpoint_server.hpp"
#include "magnoliastack/standin_server/platform_server.hpp"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace magnoliastack::standin_server
{

// A key of the settings file, which is an option of the command line too, and
// what it means.
using described_key = std::pair<settings::key_rule, std::string>;

// Name, version and keys of a binary.
struct binary_description
{
    std::string m_name;
    std::string m_version;
    std::string m_purpose;
    // The section of the settings file.
    std::string m_section;
    std::vector<described_key> m_keys;
};

// A checked section, or the exit code when there is nothing to start: 0 after
// help or version, 2 after problems, which are printed.
struct parsed_arguments
{
    settings::document m_document;
    settings::schema m_rules;
    std::optional<int> m_exit;
    // Everything is checked and nothing started.
    bool m_check_only = false;

    [[nodiscard]] settings::section_view values() const;
};

// Takes the keys from `--settings FILE` and from options, `--connection-limit`
// for the key `connection_limit`; an option replaces the key of the file.
parsed_arguments parse_arguments(const binary_description& binary, int argc,
                                 const char* const* argv);

// The binaries' keys and what they mean for the servers. The first problem of
// a value that the schema cannot check is an error.
binary_description describe_endpoint(const std::string& version);
base::result<endpoint_server_options>
endpoint_options_of(const settings::section_view& values);
binary_description describe_platform(const std::string& version);
platform_server_options
platform_options_of(const settings::section_view& values);

// Where the log goes, by the key log_level; the stand-in is the host.
logging::options log_options_of(const settings::section_view& values,
                                const std::string& host);

// Blocks SIGINT and SIGTERM in this thread and those that it starts later.
void block_stop_signals();

// Waits for SIGINT or SIGTERM.
void wait_for_stop_signal();

} // namespace magnoliastack::standin_server

#endif
