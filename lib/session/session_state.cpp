#include "magnoliastack/session/session_state.hpp"

#include <algorithm>

namespace magnoliastack::session
{

base::log_point session_state::position_of(const base::group_id& group) const
{
    const auto found = m_positions.find(group);
    return found == m_positions.end() ? base::log_point{} : found->second;
}

void session_state::advance(const base::group_id& group, base::log_point point)
{
    base::log_point& own = m_positions[group];
    own.m_term = std::max(own.m_term, point.m_term);
    own.m_position = std::max(own.m_position, point.m_position);
}

void session_state::merge(const session_state& other)
{
    for (const auto& [group, point] : other.m_positions)
        advance(group, point);
}

bool session_state::has_room_for(const base::group_id& group) const
{
    return m_positions.size() < max_groups || m_positions.contains(group);
}

} // namespace magnoliastack::session
