#include "magnoliastack/lease/store_clock.hpp"

#include <algorithm>

namespace magnoliastack::lease
{
namespace
{

absl::Duration since_origin(base::instant point)
{
    return point - base::instant();
}

absl::Duration since_origin(rpc::store_instant point)
{
    return absl::Milliseconds(point.value());
}

rpc::store_instant to_store(absl::Duration since)
{
    const auto ms = absl::ToInt64Milliseconds(since);
    return rpc::store_instant(ms < 0 ? 0 : static_cast<std::uint64_t>(ms));
}

} // namespace

store_clock::store_clock(double drift) : m_drift(drift)
{
}

void store_clock::answered(rpc::store_instant at, base::instant sent,
                           base::instant received)
{
    // The store's time is rounded down to a millisecond.
    const absl::Duration upper =
        since_origin(at) + absl::Milliseconds(1) - since_origin(sent);
    const absl::Duration lower = since_origin(at) - since_origin(received);
    if (!m_known || lower > m_upper + uncertainty(received) ||
        upper < m_lower - uncertainty(received))
    {
        // The first answer, or one of a store whose clock began anew.
        m_upper = upper;
        m_lower = lower;
    }
    else
    {
        m_upper = std::min(m_upper + uncertainty(received), upper);
        m_lower = std::max(m_lower - uncertainty(received), lower);
    }
    m_known = true;
    m_updated = received;
}

std::optional<rpc::store_instant> store_clock::latest(base::instant now) const
{
    if (!m_known)
        return std::nullopt;
    return to_store(since_origin(now) + m_upper + uncertainty(now) +
                    absl::Milliseconds(1));
}

std::optional<rpc::store_instant> store_clock::earliest(base::instant now) const
{
    if (!m_known)
        return std::nullopt;
    return to_store(since_origin(now) + m_lower - uncertainty(now));
}

std::optional<base::instant> store_clock::not_after(rpc::store_instant at,
                                                    base::instant now) const
{
    if (!m_known)
        return std::nullopt;
    return base::instant() + since_origin(at) - m_upper - uncertainty(now);
}

absl::Duration store_clock::uncertainty(base::instant now) const
{
    return std::max(absl::ZeroDuration(), now - m_updated) * m_drift;
}

} // namespace magnoliastack::lease
