// Until when this host may rely on the fleet's rows as it knows them.
#ifndef MAGNOLIASTACK_LEASE_CURRENCY_HPP
#define MAGNOLIASTACK_LEASE_CURRENCY_HPP

#include "magnoliastack/lease/store_clock.hpp"
#include "magnoliastack/rpc/fleet_store.hpp"

#include "absl/time/time.h"

namespace magnoliastack::lease
{

// Whoever changes a row that others rely on waits until they have confirmed
// the change or their reliance has lapsed.
struct currency_options
{
    // How long a confirmation holds. Longer bridges longer outages of the
    // store, and delays a promotion by as much when a host cannot be asked.
    absl::Duration m_lease = absl::Milliseconds(5000);
    // What the changing side waits beyond that: statements under way.
    absl::Duration m_margin = absl::Milliseconds(400);
};

// A confirmation says: at this time of the store the rows were as this host
// knows them. It comes from the store, or from a peer that told its rows.
class currency
{
public:
    explicit currency(currency_options options = {});

    // The rows that are known were the newest ones at this time.
    void confirmed(rpc::store_instant at);

    // True while the rows may be relied on.
    [[nodiscard]] bool is_current(const store_clock& clock,
                                  base::instant now) const;

    // True when nobody relies any more on rows as they were before `change`
    // without having confirmed it.
    [[nodiscard]] bool has_lapsed_since(rpc::store_instant change,
                                        const store_clock& clock,
                                        base::instant now) const;

    // How long ago the rows were confirmed at most; infinite when they were
    // not.
    [[nodiscard]] absl::Duration age(const store_clock& clock,
                                     base::instant now) const;

    [[nodiscard]] rpc::store_instant confirmed_at() const
    {
        return m_at;
    }

private:
    currency_options m_options;
    rpc::store_instant m_at;
};

} // namespace magnoliastack::lease

#endif
