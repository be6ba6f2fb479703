// States of one endpoint connection and the events that change them.
#ifndef MAGNOLIASTACK_POOL_CONNECTION_STATE_HPP
#define MAGNOLIASTACK_POOL_CONNECTION_STATE_HPP

#include <optional>
#include <string_view>

namespace magnoliastack::pool
{

// What a connection is doing.
enum class connection_state
{
    opening,
    idle,
    // Taken by a request or transaction.
    busy,
    // A ping is outstanding; the connection may be taken or not.
    probing,
    // Closing was asked for; it still counts until the close is reported.
    closed,
};

// What changes a connection's state.
enum class connection_event
{
    ready,
    acquired,
    released,
    silent,
    // The connection answered while taken, or while idle.
    heard_taken,
    heard_idle,
    close,
};

// The state after an event; nullopt when no connection in `state` can see it.
std::optional<connection_state> next_state(connection_state state,
                                           connection_event event);

// The stable name of a state, for logs and metrics.
std::string_view to_string(connection_state state);

} // namespace magnoliastack::pool

#endif
