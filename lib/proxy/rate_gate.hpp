// Holds every organisation to this host's part of its rate and burst.
#ifndef MAGNOLIASTACK_LIB_PROXY_RATE_GATE_HPP
#define MAGNOLIASTACK_LIB_PROXY_RATE_GATE_HPP

#include "magnoliastack/admission/demand_meter.hpp"
#include "magnoliastack/admission/token_bucket.hpp"
#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/inventory/inventory.hpp"
#include "magnoliastack/share/ledger.hpp"

#include "absl/container/flat_hash_map.h"

#include <deque>
#include <functional>
#include <map>

namespace magnoliastack::proxy
{

// Requests that found no token wait for a short time, because the part of a
// rate that other hosts do not use arrives within milliseconds of being asked
// for.
class rate_gate
{
public:
    // Runs when a request is admitted (true) or not (false).
    using decision = std::function<void(bool admitted, absl::Duration retry)>;

    explicit rate_gate(share::ledger& shares);

    // Decides now or later.
    void ask(const inventory::organisation& who, base::instant deadline,
             decision decide, base::instant now);

    // Applies the shares in force to the buckets, and decides what waits.
    // Call it after each change of the ledger.
    void tick(const inventory::inventory& limits, base::instant now);

    // Drops what waits without a decision.
    void clear()
    {
        m_gates.clear();
    }

    // Requests that wait for a token.
    [[nodiscard]] std::size_t waiting() const;

private:
    struct waiting_request
    {
        base::instant m_until;
        decision m_decide;
    };
    struct organisation_gate
    {
        admission::token_bucket m_bucket;
        admission::demand_meter m_demand;
        std::deque<waiting_request> m_waiting;
    };

    void apply_share(const inventory::organisation& who,
                     organisation_gate& gate, base::instant now);
    static void admit_waiting(organisation_gate& gate, base::instant now);

    share::ledger& m_shares;
    std::map<base::organisation_id, organisation_gate> m_gates;
};

} // namespace magnoliastack::proxy

#endif
