// The store's steady clock as this host can know it.
#ifndef MAGNOLIASTACK_LEASE_STORE_CLOCK_HPP
#define MAGNOLIASTACK_LEASE_STORE_CLOCK_HPP

#include "magnoliastack/base/time.hpp"
#include "magnoliastack/rpc/fleet_store.hpp"

#include "absl/time/time.h"

#include <optional>

namespace magnoliastack::lease
{

// Hosts have no clock in common, but every answer of the store carries the
// store's time. It was read between the request and the answer, which bounds
// the difference to the own clock from both sides.
class store_clock
{
public:
    // Largest difference in speed of two clocks.
    explicit store_clock(double drift = 0.0005);

    void answered(rpc::store_instant at, base::instant sent,
                  base::instant received);

    // The store's time is at most, and at least, this at `now`.
    [[nodiscard]] std::optional<rpc::store_instant>
    latest(base::instant now) const;
    [[nodiscard]] std::optional<rpc::store_instant>
    earliest(base::instant now) const;

    // The own instant that is certainly not after the store's time `at`.
    [[nodiscard]] std::optional<base::instant>
    not_after(rpc::store_instant at, base::instant now) const;

private:
    [[nodiscard]] absl::Duration uncertainty(base::instant now) const;

    double m_drift;
    bool m_known = false;
    // Store's time less own time, since the own clock's origin.
    absl::Duration m_upper;
    absl::Duration m_lower;
    base::instant m_updated;
};

} // namespace magnoliastack::lease

#endif
