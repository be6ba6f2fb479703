// Asynchronous calls of the load tool: to a proxy or straight to an endpoint.
#ifndef MAGNOLIASTACK_LOAD_CALL_HPP
#define MAGNOLIASTACK_LOAD_CALL_HPP

#include "magnoliastack/v1/proxy.pb.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace grpc
{
class Channel;
}

namespace magnoliastack::load
{

// The end of a call.
struct call_result
{
    std::vector<v1::Row> m_rows;
    // One of the two, or neither when the call failed below gRPC.
    std::optional<v1::AnswerEnd> m_end;
    std::optional<v1::Refusal> m_refusal;
    // Status of a failed call, for reports.
    std::string m_failure;
    // The request may have run although the call failed.
    bool m_may_have_run = true;
};

using call_done = std::function<void(call_result)>;

// What a call runs.
struct call_request
{
    v1::ExecuteRequest m_request;
    bool m_write = false;
    // Uses a transaction stream, one statement after the other.
    bool m_transaction = false;
    // The organisation's key.
    std::string m_key;
    absl::Duration m_deadline;
};

// Starts a call; `done` runs once, on any thread.
class caller
{
public:
    virtual ~caller() = default;
    virtual void start(call_request what, call_done done) = 0;
};

// A connection of its own to `address`, shared by the calls of one caller.
std::shared_ptr<grpc::Channel> open_channel(const std::string& address);

// Calls through a proxy.
std::unique_ptr<caller> call_proxy(std::shared_ptr<grpc::Channel> channel);

// Calls straight to the primary at `address`, one call at a time on each of
// `connections` streams; more calls wait.
std::unique_ptr<caller> call_endpoint(const std::string& address,
                                      std::size_t connections);

} // namespace magnoliastack::load

#endif
