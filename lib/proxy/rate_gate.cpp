#include "rate_gate.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace magnoliastack::proxy
{

namespace
{

// Longest wait for a token. Tokens of other hosts arrive within a few round
// trips; a longer wait would only hide that the organisation is above its rate.
const absl::Duration max_wait = absl::Milliseconds(250);

// Waiting requests of one organisation.
constexpr std::size_t max_waiting = 256;

// Delay told to a caller when the wait for a token is not known.
const absl::Duration default_retry = absl::Seconds(1);

// Tokens of another host can be used this long after they were asked for. The
// lender waits longer by the margin, which covers clock drift.
const absl::Duration token_lifetime = absl::Milliseconds(150);
const absl::Duration token_margin = absl::Milliseconds(50);

// Tokens on each host below which a burst is pooled on one host.
constexpr std::uint64_t min_spread_tokens = 4;

// Tokens in one request to another host.
constexpr std::uint64_t max_tokens_per_request = 16;

// After this many hosts without a token the organisation is most likely at its
// rate, and asking on would cost messages for nothing.
constexpr int max_empty_answers = 8;
const absl::Duration pause_after_empty = absl::Milliseconds(100);

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

bool needs_pooling(const inventory::organisation& who, std::size_t slots)
{
    return who.m_burst < min_spread_tokens * slots;
}

rate_gate::rate_gate(share::ledger& shares, pooling_rule pooling)
    : m_shares(shares), m_pooling(std::move(pooling))
{
}

double rate_gate::capacity(const inventory::organisation& who,
                           base::instant now) const
{
    const auto burst = static_cast<double>(who.m_burst);
    const std::string resource = resource_of(who.m_id);
    if (m_pooling(who) == token_pooling::spread)
        return m_shares.burst_capacity(resource, burst, now);
    // The whole burst follows the fraction, so that it can be in one place.
    return burst * static_cast<double>(m_shares.usable(resource, now)) /
           static_cast<double>(share::whole);
}

std::uint64_t rate_gate::demand(const inventory::organisation& who,
                                const organisation_gate& gate,
                                base::instant now) const
{
    switch (m_pooling(who))
    {
    case token_pooling::here:
        return share::whole;
    case token_pooling::elsewhere:
        return 0;
    case token_pooling::spread:
        break;
    }
    return gate.m_demand.demand(who.m_rate, gate.m_waiting.size(),
                                gate.m_bucket.tokens(now), now);
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
    while (!gate.m_reserves.empty() && gate.m_reserves.front().m_until <= now)
        gate.m_reserves.pop_front();
    std::uint64_t reserved = 0;
    for (const reserve& item : gate.m_reserves)
        reserved += item.m_amount;
    const std::string resource = resource_of(who.m_id);
    gate.m_bucket.set_share(
        who.m_rate,
        std::max(0.0, capacity(who, now) - static_cast<double>(reserved)),
        m_shares.usable(resource, now), m_shares.usable_until(resource, now),
        now);
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

std::optional<std::uint64_t> rate_gate::amount_to_ask(organisation_gate& gate,
                                                      base::instant now)
{
    if (gate.m_waiting.empty() || gate.m_asking || now < gate.m_ask_not_before)
        return std::nullopt;
    gate.m_asking = true;
    return std::min<std::uint64_t>(gate.m_waiting.size(),
                                   max_tokens_per_request);
}

std::vector<token_request> rate_gate::tick(const inventory::inventory& limits,
                                           base::instant now)
{
    std::vector<token_request> requests;
    // A pool is filled before the first request comes: borrowed rates arrive
    // without tokens.
    for (const auto& [id, who] : limits.m_organisations)
        if (m_pooling(who) == token_pooling::here)
            m_gates[id];
    for (auto& [id, gate] : m_gates)
    {
        const inventory::organisation* who = limits.find(id);
        if (who == nullptr)
        {
            // The organisation is gone from the inventory.
            while (!gate.m_waiting.empty())
            {
                const decision decide =
                    std::move(gate.m_waiting.front().m_decide);
                gate.m_waiting.pop_front();
                decide(false, default_retry);
            }
            continue;
        }
        apply_share(*who, gate, now);
        admit_waiting(gate, now);
        m_shares.demand(resource_of(id), demand(*who, gate, now), now);
        if (const auto amount = amount_to_ask(gate, now))
            requests.push_back({id, *amount,
                                m_pooling(*who) == token_pooling::elsewhere &&
                                    gate.m_empty_answers == 0});
    }
    return requests;
}

std::uint64_t rate_gate::lend_tokens(const inventory::organisation& who,
                                     std::uint64_t amount, base::instant now)
{
    organisation_gate& gate = m_gates[who.m_id];
    apply_share(who, gate, now);
    // Own requests come first.
    if (!gate.m_waiting.empty())
        return 0;
    std::uint64_t lent = 0;
    while (lent < std::min(amount, max_tokens_per_request) &&
           gate.m_bucket.try_take(now))
        ++lent;
    if (lent == 0)
        return 0;
    gate.m_reserves.push_back({now + token_lifetime + token_margin, lent});
    apply_share(who, gate, now);
    return lent;
}

void rate_gate::tokens_received(const base::organisation_id& organisation,
                                std::uint64_t amount, base::instant sent_at,
                                base::instant now)
{
    const auto found = m_gates.find(organisation);
    if (found == m_gates.end())
        return;
    organisation_gate& gate = found->second;
    gate.m_asking = false;
    if (amount == 0 && ++gate.m_empty_answers >= max_empty_answers)
    {
        gate.m_empty_answers = 0;
        gate.m_ask_not_before = now + pause_after_empty;
    }
    if (amount > 0)
        gate.m_empty_answers = 0;
    // A host that was paused meanwhile must not use tokens that the lender
    // counts on again.
    if (now >= sent_at + token_lifetime)
        return;
    for (; amount > 0 && !gate.m_waiting.empty(); --amount)
    {
        const decision decide = std::move(gate.m_waiting.front().m_decide);
        gate.m_waiting.pop_front();
        decide(true, absl::ZeroDuration());
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
