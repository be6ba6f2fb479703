#include "magnoliastack/failover/damping.hpp"

#include "absl/time/time.h"

#include <algorithm>

namespace magnoliastack::failover
{

void damping::promotion_seen(base::instant now)
{
    constexpr absl::Duration window = absl::Minutes(1);
    constexpr absl::Duration longest = absl::Seconds(16);
    while (!m_promotions.empty() && now - m_promotions.front() > window)
        m_promotions.pop_front();
    absl::Duration delay = absl::Seconds(2);
    for (std::size_t index = 0; index < m_promotions.size() && delay < longest;
         ++index)
        delay *= 2;
    m_promotions.push_back(now);
    m_allowed_from = now + std::min(delay, longest);
}

} // namespace magnoliastack::failover
