// Passes events of endpoint connections and monitors to the event loop.
#ifndef MAGNOLIASTACK_LIB_PROXY_EVENT_SINK_HPP
#define MAGNOLIASTACK_LIB_PROXY_EVENT_SINK_HPP

#include "magnoliastack/rpc/endpoint_link.hpp"

#include "absl/container/flat_hash_map.h"

#include <functional>

namespace magnoliastack::proxy
{

class endpoint_runtime;
class group_runtime;

// Receives events from threads of the endpoint client, posts them and finds
// the object they belong to. The maps are used on the event loop only.
class event_sink final : public rpc::connection_listener,
                         public rpc::monitor_listener
{
public:
    explicit event_sink(std::function<void(std::function<void()>)> post);

    void connection_ready(base::connection_generation generation) override;
    void call_answered(base::connection_generation generation,
                       rpc::call_part part) override;
    void connection_closed(base::connection_generation generation,
                           base::error reason) override;
    void status_received(base::endpoint_id endpoint, base::round_number round,
                         rpc::endpoint_status status) override;
    void monitor_lost(base::endpoint_id endpoint) override;

    // Events of a connection go to its endpoint from now on.
    void add_connection(base::connection_generation generation,
                        endpoint_runtime& owner);

    // Statuses of an endpoint go to its group.
    void add_endpoint(const base::endpoint_id& endpoint, group_runtime& group);

    // Nothing is passed to the group or the endpoint any more.
    void remove_group(const group_runtime& group);
    void remove_owner(const endpoint_runtime& owner);

private:
    endpoint_runtime* find(base::connection_generation generation);
    group_runtime* find(const base::endpoint_id& endpoint);

    std::function<void(std::function<void()>)> m_post;
    absl::flat_hash_map<base::connection_generation, endpoint_runtime*>
        m_connections;
    absl::flat_hash_map<base::endpoint_id, group_runtime*> m_groups;
};

} // namespace magnoliastack::proxy

#endif
