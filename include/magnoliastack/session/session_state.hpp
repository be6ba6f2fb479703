// What a session has seen: one log point for each group that it has used.
#ifndef MAGNOLIASTACK_SESSION_SESSION_STATE_HPP
#define MAGNOLIASTACK_SESSION_SESSION_STATE_HPP

#include "magnoliastack/base/ids.hpp"

#include <cstddef>
#include <map>

namespace magnoliastack::session
{

// Groups that one token may name; a session that needs more is refused with
// `token_full`.
inline constexpr std::size_t max_groups = 32;

// Bytes of an encoded token.
inline constexpr std::size_t max_token_bytes = 2048;

// The position of a session. Every point in it is committed: it was
// acknowledged to the caller.
struct session_state
{
    base::organisation_id m_organisation;
    std::map<base::group_id, base::log_point> m_positions;

    bool operator==(const session_state&) const = default;

    // The point that a read of the group must include; term 0, position 0 when
    // the session has not used the group.
    [[nodiscard]] base::log_point
    position_of(const base::group_id& group) const;

    // Moves the group's point forward. Term and position rise independently:
    // two concurrent answers may have been read at (1, 100) and, on a replica
    // that follows term 2 but lags, at (2, 90); only (2, 100) covers both. The
    // point exists because a committed entry keeps its position in the log of
    // every later term.
    void advance(const base::group_id& group, base::log_point point);

    // Moves forward by every point of the other state.
    void merge(const session_state& other);

    // False when a use of the group would take the session above `max_groups`,
    // so that the request can be refused before it runs.
    [[nodiscard]] bool has_room_for(const base::group_id& group) const;
};

} // namespace magnoliastack::session

#endif
