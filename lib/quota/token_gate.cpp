#include "magnoliastack/quota/token_gate.hpp"

#include <algorithm>

namespace magnoliastack::quota
{

token_gate::token_gate(const even_shares& shares, home_hosts& homes,
                       gate_options options)
    : m_shares(shares), m_homes(homes), m_options(options)
{
}

bool token_gate::try_take(const catalogue::configuration& limits,
                          const base::organisation_id& who, base::instant now)
{
    admission::token_bucket* from = bucket(limits, who, now);
    return from == nullptr || (may_use() && from->try_take(now));
}

bool token_gate::may_use() const
{
    return m_homes.is_large_fleet() ? m_homes.may_use() : m_shares.may_use();
}

void token_gate::give_back(const base::organisation_id& who, base::instant now)
{
    const auto found = m_buckets.find(who);
    if (found != m_buckets.end())
        found->second.give_back(now);
}

void token_gate::refresh(const catalogue::configuration& limits,
                         base::instant now)
{
    for (const auto& [who, organisation] : limits.m_organisations)
        bucket(limits, who, now);
}

std::uint32_t token_gate::lend(const catalogue::configuration& limits,
                               const base::organisation_id& who,
                               std::uint32_t amount, base::instant now)
{
    admission::token_bucket* from = bucket(limits, who, now);
    if (from == nullptr)
        return amount;
    std::uint32_t lent = 0;
    if (!may_use())
        return 0;
    // None is kept back: a small organisation has one token at a host at most.
    while (lent < amount && from->try_take(now))
        ++lent;
    return lent;
}

absl::Duration token_gate::wait(const base::organisation_id& who,
                                std::size_t count, base::instant now) const
{
    const auto found = m_buckets.find(who);
    if (found == m_buckets.end() || !may_use())
        return absl::InfiniteDuration();
    return found->second.wait_for_token(now) * static_cast<double>(count);
}

std::uint32_t token_gate::tokens(const base::organisation_id& who,
                                 base::instant now) const
{
    const auto found = m_buckets.find(who);
    if (found == m_buckets.end())
        return 0;
    return static_cast<std::uint32_t>(found->second.tokens(now));
}

std::map<base::organisation_id, std::uint32_t>
token_gate::all_tokens(base::instant now) const
{
    std::map<base::organisation_id, std::uint32_t> result;
    const bool usable = may_use();
    for (const auto& [who, item] : m_buckets)
        result[who] = usable ? static_cast<std::uint32_t>(item.tokens(now)) : 0;
    return result;
}

admission::token_bucket*
token_gate::bucket(const catalogue::configuration& limits,
                   const base::organisation_id& who, base::instant now)
{
    const auto found = limits.m_organisations.find(who);
    if (found == limits.m_organisations.end() || !found->second.m_limited)
        return nullptr;
    const double burst = found->second.m_burst * m_options.m_rate_part;
    m_homes.limit_homes(who, static_cast<std::size_t>(burst));
    const double share =
        m_homes.is_large_fleet() ? m_homes.share(who, now) : m_shares.share();
    const double rate = found->second.m_rate * m_options.m_rate_part;
    const double capacity = share > 0 ? std::max(1.0, burst * share) : 0.0;
    admission::token_bucket& item = m_buckets[who];
    item.set_share(
        rate, capacity,
        static_cast<std::uint64_t>(share * admission::whole_fraction),
        now + m_options.m_validity, now);
    return &item;
}

} // namespace magnoliastack::quota
