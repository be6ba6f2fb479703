#include "pull_client.hpp"

#include "conversion.hpp"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <utility>

namespace magnoliastack::standin_server
{

pull_client::pull_client(
    const std::map<base::endpoint_id, std::string>& addresses)
{
    grpc::ChannelArguments arguments;
    // The default backoff of up to two minutes would keep a replica from
    // a member that has come back.
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 50);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 50);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 200);
    for (const auto& [name, address] : addresses)
        m_stubs[name] = v1::Endpoint::NewStub(grpc::CreateCustomChannel(
            address, grpc::InsecureChannelCredentials(), arguments));
}

void pull_client::stop()
{
    {
        const std::lock_guard lock(m_calls->m_mutex);
        for (const auto& item : m_calls->m_under_way)
            item->m_context.TryCancel();
    }
    m_calls->m_live.wait_for_none();
}

bool pull_client::pull(const base::endpoint_id& member,
                       const standin::pull_request& request, callback done)
{
    const auto found = m_stubs.find(member);
    if (found == m_stubs.end())
        return false;
    auto item = std::make_shared<call>();
    item->m_request = to_message(request);
    item->m_context.set_deadline(std::chrono::system_clock::now() +
                                 absl::ToChronoNanoseconds(pull_timeout));
    m_calls->m_live.begin();
    {
        const std::lock_guard lock(m_calls->m_mutex);
        m_calls->m_under_way.insert(item);
    }
    found->second->async()->Pull(
        &item->m_context, &item->m_request, &item->m_response,
        [calls = m_calls, item,
         done = std::move(done)](const grpc::Status& status) mutable
        {
            if (status.ok())
                done(to_answer(item->m_response));
            else
                done(base::fail(base::error_code::unavailable,
                                status.error_message()));
            {
                const std::lock_guard lock(calls->m_mutex);
                calls->m_under_way.erase(item);
            }
            calls->m_live.end(std::move(item));
        });
    return true;
}

} // namespace magnoliastack::standin_server
