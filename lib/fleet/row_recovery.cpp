#include "magnoliastack/fleet/row_recovery.hpp"

#include "magnoliastack/fleet/rows.hpp"

#include <tuple>

namespace magnoliastack::fleet
{
namespace
{

// Rises with each state of a row of its kind.
auto state_of(const member_row& row)
{
    return std::tuple(row.m_incarnation, row.m_member_since,
                      row.m_out_since.has_value());
}

auto state_of(const leadership_row& row)
{
    return std::tuple(row.m_generation,
                      row.m_phase == leadership_phase::serving);
}

auto state_of(const duty_row& row)
{
    return std::tuple(row.m_token, row.m_until);
}

template <typename Row>
bool is_later_state(const base::result<std::optional<Row>>& one,
                    const base::result<std::optional<Row>>& other)
{
    if (!one || !*one)
        return false;
    return !other || !*other || state_of(**one) > state_of(**other);
}

} // namespace

bool is_later(const rpc::fleet_row& one, const rpc::fleet_row& other)
{
    return is_later_state(decode_member(one), decode_member(other)) ||
           is_later_state(decode_leadership(one), decode_leadership(other)) ||
           is_later_state(decode_duty(one), decode_duty(other));
}

void row_recovery::remember(const rpc::fleet_row& row)
{
    m_lost[row.m_key] = {row.m_value, {}};
}

bool row_recovery::take(const rpc::fleet_row& row)
{
    const auto found = m_lost.find(row.m_key);
    if (found == m_lost.end())
        return true;
    if (!is_later({row.m_key, found->second.m_value, {}}, row))
    {
        m_lost.erase(found);
        return true;
    }
    found->second.m_present = row.m_version;
    return false;
}

void row_recovery::add_to(rpc::fleet_change& change, std::size_t limit) const
{
    for (const auto& [key, row] : m_lost)
    {
        if (limit-- == 0)
            return;
        change.m_expected.emplace_back(key, row.m_present);
        change.m_writes.emplace_back(key, row.m_value);
    }
}

} // namespace magnoliastack::fleet
