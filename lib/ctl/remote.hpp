// Commands that ask a host of the fleet.
#ifndef MAGNOLIASTACK_LIB_CTL_REMOTE_HPP
#define MAGNOLIASTACK_LIB_CTL_REMOTE_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/cli/connection.hpp"
#include "magnoliastack/cli/exit_code.hpp"

#include "absl/time/time.h"
#include "grpcpp/client_context.h"
#include "grpcpp/support/status.h"
#include "magnoliastack/v1/control.grpc.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>

namespace magnoliastack::ctl
{

// Options of all commands that change the configuration.
struct change_options
{
    std::string m_change_id;
    std::string m_author;
    // How long to wait until the change is accepted; zero asks once.
    absl::Duration m_wait;
};

// Options of all remote commands.
struct remote_options
{
    cli::connection_options m_connection;
    std::string m_secret_file;
    absl::Duration m_timeout = absl::Seconds(5);
    bool m_json = false;
};

// Talks to one host as an operator.
class remote
{
public:
    remote(remote_options options, std::ostream& out, std::ostream& err);

    // Connects; on failure prints the reason and gives the exit code.
    std::optional<cli::exit_code> open();

    // Without a version the change is based on the one in force at the host.
    cli::exit_code apply(const std::string& path,
                         std::optional<std::uint64_t> based_on,
                         const change_options& how);
    cli::exit_code show();
    // With an output path the key goes there instead of to standard output.
    cli::exit_code issue_key(const std::string& organisation,
                             const std::string& output,
                             const change_options& how);
    cli::exit_code withdraw_key(const std::string& key_id,
                                const change_options& how);
    cli::exit_code status();
    cli::exit_code stats();
    cli::exit_code drain();

private:
    template <typename Request, typename Response>
    using method = grpc::Status (v1::Control::Stub::*)(grpc::ClientContext*,
                                                       const Request&,
                                                       Response*);

    template <typename Request, typename Response>
    grpc::Status call(method<Request, Response> function,
                      const Request& request, Response& response);

    cli::exit_code report_failure(const grpc::Status& status);
    cli::exit_code report_lost_change(const grpc::Status& status,
                                      const change_options& how);
    void await_acceptance(v1::ChangeResponse& change, absl::Duration wait);
    cli::exit_code finish_change(v1::ChangeResponse change,
                                 const change_options& how);
    void print_change(const v1::ChangeResponse& change,
                      const change_options& how);

    remote_options m_options;
    std::ostream& m_out;
    std::ostream& m_err;
    std::string m_secret;
    std::unique_ptr<v1::Control::Stub> m_stub;
};

} // namespace magnoliastack::ctl

#endif
