// Holds every organisation to this host's part of its rate and burst.
#ifndef MAGNOLIASTACK_LIB_PROXY_RATE_GATE_HPP
#define MAGNOLIASTACK_LIB_PROXY_RATE_GATE_HPP

#include "magnoliastack/admission/demand_meter.hpp"
#include "magnoliastack/admission/token_bucket.hpp"
#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/inventory/inventory.hpp"
#include "magnoliastack/share/ledger.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace magnoliastack::proxy
{

// Ask some other host for tokens of an organisation; report the answer, or its
// loss, with tokens_received.
struct token_request
{
    base::organisation_id m_organisation;
    std::uint64_t m_amount = 0;
    // Ask the organisation's home host if it is another one.
    bool m_from_home = false;
};

// Where the tokens of an organisation are.
enum class token_pooling
{
    // Spread over the hosts by demand.
    spread,
    // As many as possible on this host.
    here,
    // As many as possible on another host.
    elsewhere,
};

// True when the burst is too small to be spread over the hosts. A bucket that
// is full wastes its refill, so many buckets of one or two tokens serve far
// less than one bucket of the same sum.
bool needs_pooling(const inventory::organisation& who, std::size_t slots);

// A request that finds no token waits for a short time. Meanwhile the gate asks
// other hosts for tokens: a small organisation has a burst of about one token
// on each host, and the ledger moves rates, which take seconds to make a token.
//
// The sum of all tokens, in buckets and on their way, never exceeds the burst:
// a lender takes the tokens out of its bucket and lowers its capacity by them
// until the borrower can no longer use them.
class rate_gate
{
public:
    // Runs when a request is admitted (true) or not (false).
    using decision = std::function<void(bool admitted, absl::Duration retry)>;
    using pooling_rule =
        std::function<token_pooling(const inventory::organisation&)>;

    // All hosts have to agree on which organisations are pooled; on the home
    // host they may differ for a while.
    rate_gate(share::ledger& shares, pooling_rule pooling);

    // Decides now or later.
    void ask(const inventory::organisation& who, base::instant deadline,
             decision decide, base::instant now);

    // Applies the shares in force to the buckets, decides what waits and
    // returns what to ask for. Call it after each change of the ledger.
    std::vector<token_request> tick(const inventory::inventory& limits,
                                    base::instant now);

    // Another host asks for tokens; returns how many it gets.
    std::uint64_t lend_tokens(const inventory::organisation& who,
                              std::uint64_t amount, base::instant now);

    // The answer to a token_request of the tick at `sent_at`; 0 for a refusal
    // or a lost answer.
    void tokens_received(const base::organisation_id& organisation,
                         std::uint64_t amount, base::instant sent_at,
                         base::instant now);

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
    // Capacity that is held back for tokens lent.
    struct reserve
    {
        base::instant m_until;
        std::uint64_t m_amount = 0;
    };
    struct organisation_gate
    {
        admission::token_bucket m_bucket;
        admission::demand_meter m_demand;
        std::deque<waiting_request> m_waiting;
        std::deque<reserve> m_reserves;
        bool m_asking = false;
        // Answers without a token since the last one with some.
        int m_empty_answers = 0;
        base::instant m_ask_not_before;
    };

    void apply_share(const inventory::organisation& who,
                     organisation_gate& gate, base::instant now);
    static void admit_waiting(organisation_gate& gate, base::instant now);
    [[nodiscard]] double capacity(const inventory::organisation& who,
                                  base::instant now) const;
    [[nodiscard]] std::uint64_t demand(const inventory::organisation& who,
                                       const organisation_gate& gate,
                                       base::instant now) const;
    static std::optional<std::uint64_t> amount_to_ask(organisation_gate& gate,
                                                      base::instant now);

    share::ledger& m_shares;
    pooling_rule m_pooling;
    std::map<base::organisation_id, organisation_gate> m_gates;
};

} // namespace magnoliastack::proxy

#endif
