// Limits how often a group's primary is deposed.
#ifndef MAGNOLIASTACK_FAILOVER_DAMPING_HPP
#define MAGNOLIASTACK_FAILOVER_DAMPING_HPP

#include "magnoliastack/base/time.hpp"

#include <deque>

namespace magnoliastack::failover
{

// After a promotion the new primary is kept for 2 s, doubled for each other
// promotion of the last minute, at most 16 s. Without it, a link that fails
// again and again would move the primary each time.
class damping
{
public:
    // A new term has a primary.
    void promotion_seen(base::instant now);

    // The primary may be deposed on suspicion from this instant on.
    [[nodiscard]] base::instant allowed_from() const
    {
        return m_allowed_from;
    }

private:
    std::deque<base::instant> m_promotions;
    base::instant m_allowed_from;
};

} // namespace magnoliastack::failover

#endif
