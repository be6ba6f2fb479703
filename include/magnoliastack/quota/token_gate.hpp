// Admits operations within this host's part of an organisation's rate.
#ifndef MAGNOLIASTACK_QUOTA_TOKEN_GATE_HPP
#define MAGNOLIASTACK_QUOTA_TOKEN_GATE_HPP

#include "magnoliastack/admission/token_bucket.hpp"
#include "magnoliastack/catalogue/configuration.hpp"
#include "magnoliastack/quota/even_shares.hpp"
#include "magnoliastack/quota/home_hosts.hpp"

#include <cstdint>
#include <map>

namespace magnoliastack::quota
{

// How much of the limits is given out.
struct gate_options
{
    // The rest is for the moments in which the hosts' shares overlap.
    double m_rate_part = 0.97;
    // A share holds at least until it is applied again.
    absl::Duration m_validity = absl::Milliseconds(200);
};

// One token bucket for each organisation. Tokens move to hosts that run out: a
// lender takes them out of its bucket before it tells, and the borrower spends
// them at once, so they are never counted twice.
class token_gate
{
public:
    token_gate(const even_shares& shares, home_hosts& homes,
               gate_options options = {});

    // False when there is no token; an organisation without limits has always
    // one.
    bool try_take(const catalogue::configuration& limits,
                  const base::organisation_id& who, base::instant now);

    // Returns the token of an operation that no endpoint was asked to run.
    void give_back(const base::organisation_id& who, base::instant now);

    // Applies the present shares. Call it more often than the validity: a
    // bucket gains nothing on a share that has lapsed.
    void refresh(const catalogue::configuration& limits, base::instant now);

    // Takes tokens out for another host and returns how many.
    std::uint32_t lend(const catalogue::configuration& limits,
                       const base::organisation_id& who, std::uint32_t amount,
                       base::instant now);

    // How long until the own bucket has `count` more tokens; infinite when it
    // cannot.
    [[nodiscard]] absl::Duration wait(const base::organisation_id& who,
                                      std::size_t count,
                                      base::instant now) const;

    // Whole tokens in the bucket.
    [[nodiscard]] std::uint32_t tokens(const base::organisation_id& who,
                                       base::instant now) const;
    // The same of each organisation that has limits.
    [[nodiscard]] std::map<base::organisation_id, std::uint32_t>
    all_tokens(base::instant now) const;

    // False while nothing may be given out; tokens accrue meanwhile.
    [[nodiscard]] bool may_use() const;

private:
    // Null without limits.
    admission::token_bucket* bucket(const catalogue::configuration& limits,
                                    const base::organisation_id& who,
                                    base::instant now);

    const even_shares& m_shares;
    home_hosts& m_homes;
    gate_options m_options;
    std::map<base::organisation_id, admission::token_bucket> m_buckets;
};

} // namespace magnoliastack::quota

#endif
