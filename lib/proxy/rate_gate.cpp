#include "rate_gate.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::proxy
{

namespace
{

// Longest wait for a token. Loans arrive within a few round trips; a longer
// wait would only hide that the organisation is above its rate.
const absl::Duration max_wait = absl::Milliseconds(250);

// Waiting requests of one organisation.
constexpr std::size_t max_waiting = 256;

// Delay told to a caller when the wait for a token is not known.
const absl::Duration default_retry = absl::Seconds(1);

std::string resource_of(const base::organisation_id& id)
{
    return "org/" + id.str();
}

absl::Duration retry_delay(const admission::token_bucket& bucket,
                           base::instant now)
{
    const absl::Duration wait = bucket.wait_for_token(now);
    return std::clamp(wait, absl::Milliseconds(20), default_retry);
}

} // namespace

rate_gate::rate_gate(share::ledger& shares) : m_shares(shares)
{
}

void rate_gate::ask(const inventory::organisation& who, base::instant deadline,
                    decision decide, base::instant now)
{
    organisation_gate& gate = m_gates[who.m_id];
    gate.m_demand.arrived(now);
    apply_share(who, gate, now);
    admit_waiting(gate, now);
    if (gate.m_waiting.empty() && gate.m_bucket.try_take(now))
        return decide(true, absl::ZeroDuration());
    if (gate.m_waiting.size() >= max_waiting)
        return decide(false, retry_delay(gate.m_bucket, now));
    gate.m_waiting.push_back(
        {std::min(now + max_wait, deadline), std::move(decide)});
}

void rate_gate::apply_share(const inventory::organisation& who,
                            organisation_gate& gate, base::instant now)
{
    const std::string resource = resource_of(who.m_id);
    const double capacity = m_shares.burst_capacity(
        resource, static_cast<double>(who.m_burst), now);
    gate.m_bucket.set_share(who.m_rate, capacity,
                            m_shares.usable(resource, now),
                            m_shares.usable_until(resource, now), now);
}

void rate_gate::admit_waiting(organisation_gate& gate, base::instant now)
{
    while (!gate.m_waiting.empty())
    {
        waiting_request& first = gate.m_waiting.front();
        const bool admitted = gate.m_bucket.try_take(now);
        if (!admitted && now < first.m_until)
            return;
        const decision decide = std::move(first.m_decide);
        gate.m_waiting.pop_front();
        decide(admitted, admitted ? absl::ZeroDuration()
                                  : retry_delay(gate.m_bucket, now));
    }
}

void rate_gate::tick(const inventory::inventory& limits, base::instant now)
{
    for (auto& [id, gate] : m_gates)
    {
        const inventory::organisation* who = limits.find(id);
        if (who == nullptr)
            continue;
        apply_share(*who, gate, now);
        admit_waiting(gate, now);
        m_shares.demand(resource_of(id),
                        gate.m_demand.demand(who->m_rate, gate.m_waiting.size(),
                                             gate.m_bucket.tokens(now), now),
                        now);
    }
    // What waits for an organisation that is gone is refused when its time
    // has come.
    for (auto& [id, gate] : m_gates)
    {
        if (limits.find(id) != nullptr)
            continue;
        while (!gate.m_waiting.empty())
        {
            const decision decide = std::move(gate.m_waiting.front().m_decide);
            gate.m_waiting.pop_front();
            decide(false, default_retry);
        }
    }
}

std::size_t rate_gate::waiting() const
{
    std::size_t count = 0;
    for (const auto& [id, gate] : m_gates)
        count += gate.m_waiting.size();
    return count;
}

} // namespace magnoliastack::proxy
