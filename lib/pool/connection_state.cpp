#include "magnoliastack/pool/connection_state.hpp"

#include <array>

namespace magnoliastack::pool
{

namespace
{

struct transition
{
    connection_state m_from;
    connection_event m_event;
    connection_state m_to;
};

using state = connection_state;
using event = connection_event;

constexpr std::array transitions = {
    transition{state::opening, event::ready, state::idle},
    transition{state::opening, event::close, state::closed},
    transition{state::idle, event::acquired, state::busy},
    transition{state::idle, event::silent, state::probing},
    transition{state::idle, event::heard_idle, state::idle},
    transition{state::idle, event::close, state::closed},
    transition{state::busy, event::released, state::idle},
    transition{state::busy, event::silent, state::probing},
    transition{state::busy, event::heard_taken, state::busy},
    transition{state::busy, event::close, state::closed},
    // A release keeps the ping outstanding.
    transition{state::probing, event::released, state::probing},
    transition{state::probing, event::heard_taken, state::busy},
    transition{state::probing, event::heard_idle, state::idle},
    transition{state::probing, event::close, state::closed},
};

} // namespace

std::optional<connection_state> next_state(connection_state state,
                                           connection_event event)
{
    for (const transition& item : transitions)
        if (item.m_from == state && item.m_event == event)
            return item.m_to;
    return std::nullopt;
}

std::string_view to_string(connection_state state)
{
    switch (state)
    {
    case connection_state::opening:
        return "opening";
    case connection_state::idle:
        return "idle";
    case connection_state::busy:
        return "busy";
    case connection_state::probing:
        return "probing";
    case connection_state::closed:
        return "closed";
    }
    return "closed";
}

} // namespace magnoliastack::pool
