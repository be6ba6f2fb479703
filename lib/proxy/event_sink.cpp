#include "event_sink.hpp"

#include "endpoint_runtime.hpp"
#include "group_runtime.hpp"

#include <utility>

namespace magnoliastack::proxy
{

event_sink::event_sink(std::function<void(std::function<void()>)> post)
    : m_post(std::move(post))
{
}

void event_sink::connection_ready(base::connection_generation generation)
{
    m_post(
        [this, generation]
        {
            if (endpoint_runtime* owner = find(generation))
                owner->connection_ready(generation);
        });
}

void event_sink::call_answered(base::connection_generation generation,
                               rpc::call_part part)
{
    m_post(
        [this, generation, part = std::move(part)]() mutable
        {
            if (endpoint_runtime* owner = find(generation))
                owner->call_answered(generation, std::move(part));
        });
}

void event_sink::connection_closed(base::connection_generation generation,
                                   base::error reason)
{
    m_post(
        [this, generation, reason = std::move(reason)]
        {
            endpoint_runtime* owner = find(generation);
            if (owner == nullptr)
                return;
            m_connections.erase(generation);
            owner->connection_closed(generation, reason);
        });
}

void event_sink::status_received(base::endpoint_id endpoint,
                                 base::round_number round,
                                 rpc::endpoint_status status)
{
    m_post(
        [this, endpoint = std::move(endpoint), round,
         status = std::move(status)]
        {
            if (group_runtime* group = find(endpoint))
                group->status_received(endpoint, round, status);
        });
}

void event_sink::monitor_lost(base::endpoint_id endpoint)
{
    m_post(
        [this, endpoint = std::move(endpoint)]
        {
            if (group_runtime* group = find(endpoint))
                group->monitor_lost(endpoint);
        });
}

void event_sink::add_connection(base::connection_generation generation,
                                endpoint_runtime& owner)
{
    m_connections[generation] = &owner;
}

void event_sink::add_endpoint(const base::endpoint_id& endpoint,
                              group_runtime& group)
{
    m_groups[endpoint] = &group;
}

void event_sink::remove_group(const group_runtime& group)
{
    absl::erase_if(m_groups,
                   [&group](const auto& entry)
                   {
                       return entry.second == &group;
                   });
}

void event_sink::remove_owner(const endpoint_runtime& owner)
{
    absl::erase_if(m_connections,
                   [&owner](const auto& entry)
                   {
                       return entry.second == &owner;
                   });
}

endpoint_runtime* event_sink::find(base::connection_generation generation)
{
    const auto found = m_connections.find(generation);
    return found == m_connections.end() ? nullptr : found->second;
}

group_runtime* event_sink::find(const base::endpoint_id& endpoint)
{
    const auto found = m_groups.find(endpoint);
    return found == m_groups.end() ? nullptr : found->second;
}

} // namespace magnoliastack::proxy
