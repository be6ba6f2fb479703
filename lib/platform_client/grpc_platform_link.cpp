#include "magnoliastack/platform_client/grpc_platform_link.hpp"

#include "magnoliastack/grpc_calls/live_calls.hpp"
#include "magnoliastack/v1/platform.grpc.pb.h"

#include <grpcpp/grpcpp.h>
#include <grpcpp/support/client_callback.h>

#include <chrono>
#include <utility>

namespace magnoliastack::platform_client
{

namespace
{

base::error to_error(const grpc::Status& status)
{
    const bool late =
        status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
    return {late ? base::error_code::deadline_exceeded
                 : base::error_code::unavailable,
            status.error_message()};
}

std::shared_ptr<grpc::Channel> open_channel(const std::string& address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 500);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1'000);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
}

rpc::row_state from_proto(const v1::RowState& message)
{
    return {message.version(), message.value()};
}

void to_proto(const rpc::listed_host& value, v1::HostEntry& message)
{
    message.set_host(value.m_host.str());
    message.set_peer_address(value.m_peer_address);
    message.set_failure_domain(value.m_failure_domain.str());
    message.set_leaving(value.m_leaving);
}

rpc::host_list from_proto(const v1::ListHostsResponse& message)
{
    rpc::host_list list;
    for (const v1::HostEntry& entry : message.hosts())
        list.m_hosts.push_back(
            {base::host_id(entry.host()), entry.peer_address(),
             base::failure_domain_id(entry.failure_domain()), entry.leaving()});
    for (const std::string& name : message.leaving_endpoints())
        list.m_leaving_endpoints.emplace_back(name);
    return list;
}

} // namespace

// The stub and the calls on it.
class grpc_platform_link::state
{
public:
    state(const std::string& address, base::host_id self)
        : m_self(std::move(self)),
          m_stub(v1::Platform::NewStub(open_channel(address)))
    {
    }

    v1::Platform::StubInterface::async_interface& stub()
    {
        return *m_stub->async();
    }

    // Starts a call and hands its status and response to `finish`.
    template <typename Request, typename Response, typename Method,
              typename Finish>
    void start(Request request, absl::Duration timeout, Method method,
               Finish finish)
    {
        struct context_and_messages
        {
            grpc::ClientContext m_context;
            Request m_request;
            Response m_response;
        };
        auto call = std::make_shared<context_and_messages>();
        call->m_context.AddMetadata("magnolia-host", m_self.str());
        call->m_context.set_deadline(std::chrono::system_clock::now() +
                                     absl::ToChronoMicroseconds(timeout));
        call->m_request = std::move(request);
        m_live->begin();
        (stub().*method)(&call->m_context, &call->m_request, &call->m_response,
                         std::function<void(grpc::Status)>(
                             [live = m_live, call, finish = std::move(finish)](
                                 grpc::Status status) mutable
                             {
                                 finish(status, call->m_response);
                                 live->end(std::move(call));
                             }));
    }

    void wait_for_none()
    {
        m_live->wait_for_none();
    }

private:
    base::host_id m_self;
    std::unique_ptr<v1::Platform::Stub> m_stub;
    // Outlives the stub until the last callback has let go of it.
    std::shared_ptr<grpc_calls::live_calls> m_live =
        std::make_shared<grpc_calls::live_calls>();
};

namespace
{

// Pointer to the callback form of a unary method.
template <typename Request, typename Response>
using unary_method = void (v1::Platform::StubInterface::async_interface::*)(
    grpc::ClientContext*, const Request*, Response*,
    std::function<void(grpc::Status)>);

} // namespace

grpc_platform_link::grpc_platform_link(const std::string& address,
                                       base::host_id self)
    : m_state(std::make_shared<state>(address, std::move(self)))
{
}

grpc_platform_link::~grpc_platform_link()
{
    m_state->wait_for_none();
}

void grpc_platform_link::read_row(
    const std::string& key, absl::Duration timeout,
    std::function<void(base::result<rpc::row_state>)> done)
{
    v1::ReadRowRequest request;
    request.set_key(key);
    const unary_method<v1::ReadRowRequest, v1::RowState> method =
        &v1::Platform::StubInterface::async_interface::ReadRow;
    m_state->start<v1::ReadRowRequest, v1::RowState>(
        std::move(request), timeout, method,
        [done = std::move(done)](const grpc::Status& status,
                                 const v1::RowState& response)
        {
            if (!status.ok())
                return done(tl::make_unexpected(to_error(status)));
            done(from_proto(response));
        });
}

void grpc_platform_link::compare_and_swap(
    const std::string& key, std::uint64_t expected_version,
    const std::string& value, absl::Duration timeout,
    std::function<void(base::result<rpc::swap_outcome>)> done)
{
    v1::CompareAndSwapRequest request;
    request.set_key(key);
    request.set_expected_version(expected_version);
    request.set_value(value);
    const unary_method<v1::CompareAndSwapRequest, v1::CompareAndSwapResponse>
        method = &v1::Platform::StubInterface::async_interface::CompareAndSwap;
    m_state->start<v1::CompareAndSwapRequest, v1::CompareAndSwapResponse>(
        std::move(request), timeout, method,
        [done = std::move(done)](const grpc::Status& status,
                                 const v1::CompareAndSwapResponse& response)
        {
            if (!status.ok())
                return done(tl::make_unexpected(to_error(status)));
            done(rpc::swap_outcome{response.swapped(),
                                   from_proto(response.row())});
        });
}

void grpc_platform_link::put_object(
    const std::string& name, const std::string& content, absl::Duration timeout,
    std::function<void(base::result<bool>)> done)
{
    v1::PutObjectRequest request;
    request.set_name(name);
    request.set_content(content);
    const unary_method<v1::PutObjectRequest, v1::PutObjectResponse> method =
        &v1::Platform::StubInterface::async_interface::PutObject;
    m_state->start<v1::PutObjectRequest, v1::PutObjectResponse>(
        std::move(request), timeout, method,
        [done = std::move(done)](const grpc::Status& status,
                                 const v1::PutObjectResponse&)
        {
            if (!status.ok())
                return done(tl::make_unexpected(to_error(status)));
            done(true);
        });
}

void grpc_platform_link::get_object(
    const std::string& name, absl::Duration timeout,
    std::function<void(base::result<std::optional<std::string>>)> done)
{
    v1::GetObjectRequest request;
    request.set_name(name);
    const unary_method<v1::GetObjectRequest, v1::GetObjectResponse> method =
        &v1::Platform::StubInterface::async_interface::GetObject;
    m_state->start<v1::GetObjectRequest, v1::GetObjectResponse>(
        std::move(request), timeout, method,
        [done = std::move(done)](const grpc::Status& status,
                                 const v1::GetObjectResponse& response)
        {
            if (!status.ok())
                return done(tl::make_unexpected(to_error(status)));
            std::optional<std::string> content;
            if (response.found())
                content = response.content();
            done(std::move(content));
        });
}

void grpc_platform_link::list_hosts(
    absl::Duration timeout,
    std::function<void(base::result<rpc::host_list>)> done)
{
    const unary_method<v1::ListHostsRequest, v1::ListHostsResponse> method =
        &v1::Platform::StubInterface::async_interface::ListHosts;
    m_state->start<v1::ListHostsRequest, v1::ListHostsResponse>(
        v1::ListHostsRequest(), timeout, method,
        [done = std::move(done)](const grpc::Status& status,
                                 const v1::ListHostsResponse& response)
        {
            if (!status.ok())
                return done(tl::make_unexpected(to_error(status)));
            done(from_proto(response));
        });
}

void grpc_platform_link::announce(const rpc::listed_host& host, bool gone,
                                  absl::Duration timeout,
                                  std::function<void(base::result<bool>)> done)
{
    v1::AnnounceRequest request;
    to_proto(host, *request.mutable_host());
    request.set_gone(gone);
    const unary_method<v1::AnnounceRequest, v1::AnnounceResponse> method =
        &v1::Platform::StubInterface::async_interface::Announce;
    m_state->start<v1::AnnounceRequest, v1::AnnounceResponse>(
        std::move(request), timeout, method,
        [done = std::move(done)](const grpc::Status& status,
                                 const v1::AnnounceResponse&)
        {
            if (!status.ok())
                return done(tl::make_unexpected(to_error(status)));
            done(true);
        });
}

} // namespace magnoliastack::platform_client
