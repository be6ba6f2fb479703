#include "magnoliastack/lease/currency.hpp"

#include <algorithm>

namespace magnoliastack::lease
{
namespace
{

std::uint64_t milliseconds(absl::Duration span)
{
    return static_cast<std::uint64_t>(absl::ToInt64Milliseconds(span));
}

} // namespace

currency::currency(currency_options options) : m_options(options)
{
}

void currency::confirmed(rpc::store_instant at)
{
    m_at = std::max(m_at, at);
}

bool currency::is_current(const store_clock& clock, base::instant now) const
{
    const auto latest = clock.latest(now);
    if (!latest || m_at.value() == 0)
        return false;
    return latest->value() < m_at.value() + milliseconds(m_options.m_lease);
}

absl::Duration currency::age(const store_clock& clock, base::instant now) const
{
    const auto latest = clock.latest(now);
    if (!latest || m_at.value() == 0)
        return absl::InfiniteDuration();
    return absl::Milliseconds(latest->value()) -
           absl::Milliseconds(m_at.value());
}

bool currency::has_lapsed_since(rpc::store_instant change,
                                const store_clock& clock,
                                base::instant now) const
{
    const auto earliest = clock.earliest(now);
    if (!earliest)
        return false;
    return earliest->value() >
           change.value() +
               milliseconds(m_options.m_lease + m_options.m_margin);
}

} // namespace magnoliastack::lease
