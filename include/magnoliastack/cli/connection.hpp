// Command line options of a gRPC connection to a proxy.
#ifndef MAGNOLIASTACK_CLI_CONNECTION_HPP
#define MAGNOLIASTACK_CLI_CONNECTION_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/cli/exit_code.hpp"

#include "CLI/CLI.hpp"
#include "absl/time/time.h"
#include "grpcpp/channel.h"

#include <memory>
#include <ostream>
#include <string>

namespace magnoliastack::cli
{

// How to reach a proxy.
struct connection_options
{
    std::string m_address = "127.0.0.1:7400";
    // TLS is on when a CA is given.
    std::string m_ca_file;
    std::string m_certificate_file;
    std::string m_private_key_file;
    bool m_allow_plaintext = false;
};

// Adds --address (or MAGNOLIA_ADDRESS), --ca-file, --certificate,
// --private-key and --allow-plaintext.
void add_connection_options(CLI::App& app, connection_options& options);

// Adds an option for a duration with its unit, such as `10s`.
void add_duration_option(CLI::App& app, const std::string& name,
                         absl::Duration& value, const std::string& description);

// Opens a connection and waits until it is ready. Errors: `invalid_argument`
// for unreadable files or an address off loopback without TLS, as keys and
// secrets would be readable on the way; `unavailable` when the host does not
// answer in time.
base::result<std::shared_ptr<grpc::Channel>>
connect(const connection_options& options, absl::Duration timeout);

// The exit code of an error of `connect` or `read_secret`.
exit_code exit_code_of(const base::error& fault);

// Reads a one-line secret from a file, without its line end.
base::result<std::string> read_secret(const std::string& path);

// Runs a parsed command line: prints help and version to `out`, a wrong use to
// `err`. Returns false when nothing is left to do, with the exit code.
bool parse_arguments(CLI::App& app, int argc, const char* const* argv,
                     std::ostream& out, std::ostream& err, exit_code& code);

// 128 random bits as 32 hexadecimal digits.
std::string random_id();

} // namespace magnoliastack::cli

#endif
