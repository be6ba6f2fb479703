#include "magnoliastack/admission/cold_gate.hpp"

#include <algorithm>

namespace magnoliastack::admission
{
namespace
{

// Hosts learn of members at different times. A part above a fourth counts only
// when the number of members has not changed for this long: otherwise the first
// hosts of a fleet that starts would each take themselves for the only one.
constexpr absl::Duration settling_time = absl::Seconds(5);
// Shares are set again every 50 ms; a host that was paused for longer accrues
// nothing beyond this.
constexpr absl::Duration share_validity = absl::Milliseconds(500);

} // namespace

void cold_division::set_members(std::size_t members, base::instant now)
{
    if (members == m_members)
        return;
    m_members = members;
    m_changed = now;
}

cold_share cold_division::share(double rate, std::size_t place, bool may_send,
                                base::instant now) const
{
    cold_share result;
    result.m_rate = rate;
    result.m_sends = may_send && place < largest_cold_senders;
    if (m_members > 0 && now - m_changed >= settling_time)
        result.m_senders = std::min(m_members, largest_cold_senders);
    return result;
}

cold_gate::cold_gate() = default;

void cold_gate::set_cold_for(absl::Duration left, base::instant now)
{
    m_until = now + left;
}

void cold_gate::set_share(const cold_share& share, base::instant now)
{
    m_share = share;
    if (!is_cold(now))
        return;
    m_bucket.set_share(share.m_rate, 1.0,
                       whole_fraction /
                           std::max<std::size_t>(share.m_senders, 1),
                       now + share_validity, now);
}

bool cold_gate::is_cold(base::instant now) const
{
    return m_share.m_rate > 0 && now < m_until;
}

bool cold_gate::is_closed(base::instant now) const
{
    return is_cold(now) && !m_share.m_sends;
}

bool cold_gate::has_token(base::instant now) const
{
    return !is_cold(now) || m_bucket.tokens(now) >= 1.0;
}

bool cold_gate::try_take(base::instant now)
{
    return !is_cold(now) || m_bucket.try_take(now);
}

} // namespace magnoliastack::admission
