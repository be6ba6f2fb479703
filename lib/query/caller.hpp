// Runs statements through a proxy and tells what became of them.
#ifndef MAGNOLIASTACK_LIB_QUERY_CALLER_HPP
#define MAGNOLIASTACK_LIB_QUERY_CALLER_HPP

#include "magnoliastack/cli/exit_code.hpp"

#include "absl/time/time.h"
#include "grpcpp/channel.h"
#include "grpcpp/client_context.h"
#include "magnoliastack/v1/proxy.grpc.pb.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnoliastack::query
{

// What a caller asks for.
struct query_request
{
    std::string m_route;
    std::string m_key;
    std::string m_token;
    std::vector<v1::Statement> m_statements;
    v1::RequestId m_request_id;
    bool m_may_repeat = false;
    // Point at which the caller gives up.
    absl::Time m_deadline;
};

// What became of it. `done` has an end, `not_run` and `unknown` have a refusal
// or a fault of the transport.
struct outcome
{
    v1::Execution m_execution = v1::EXECUTION_UNKNOWN;
    std::vector<v1::Row> m_rows;
    std::optional<v1::AnswerEnd> m_end;
    std::optional<v1::Refusal> m_refusal;
    std::string m_fault;

    [[nodiscard]] cli::exit_code exit_code(bool is_write) const;
};

// Calls one proxy.
class caller
{
public:
    explicit caller(const std::shared_ptr<grpc::Channel>& channel);

    // Runs the statements as one transaction in one call.
    outcome execute(const query_request& request);

    // Runs the statements step by step in an interactive transaction. Whatever
    // fails before the commit is sent has not run.
    outcome transact(const query_request& request);

private:
    std::unique_ptr<v1::Proxy::Stub> m_stub;
};

} // namespace magnoliastack::query

#endif
