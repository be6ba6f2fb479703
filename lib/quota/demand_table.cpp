#include "magnoliastack/quota/demand_table.hpp"

#include <cmath>

namespace magnoliastack::quota
{
namespace
{

// Operations a second; demand below this is told as none.
constexpr double least_rate = 0.05;
// Seconds that the first operation of an organisation stands for.
constexpr double shortest_measurement = 0.5;

} // namespace

demand_table::demand_table(demand_options options) : m_options(options)
{
}

void demand_table::arrived(const base::organisation_id& who, base::instant now)
{
    const auto [found, added] = m_own.try_emplace(who);
    own_demand& item = found->second;
    if (added)
        item.m_started = now;
    item.m_rate =
        rate_at(item, now) + 1 / absl::ToDoubleSeconds(m_options.m_average);
    item.m_updated = now;
}

demand_report demand_table::report(
    const std::map<base::organisation_id, std::uint32_t>& tokens,
    base::instant now)
{
    demand_report result;
    m_total_told = 0;
    for (const auto& [who, count] : tokens)
    {
        const auto own = m_own.find(who);
        double rate = own == m_own.end() ? 0 : corrected(own->second, now);
        if (rate < least_rate)
            rate = 0;
        result.push_back({who, rate, count});
        m_total_told += rate;
    }
    return result;
}

void demand_table::reported(const base::host_id& host,
                            const demand_report& demand)
{
    auto& known = m_others[host];
    known.clear();
    for (const auto& item : demand)
        known[item.m_organisation] = item;
}

void demand_table::ended(const base::host_id& host)
{
    m_others.erase(host);
}

std::map<base::host_id, double>
demand_table::totals(const base::host_id& self) const
{
    std::map<base::host_id, double> result;
    result[self] = m_total_told;
    for (const auto& [host, demand] : m_others)
    {
        double& total = result[host];
        for (const auto& [who, item] : demand)
            total += item.m_rate;
    }
    return result;
}

std::optional<base::host_id>
demand_table::richest(const base::organisation_id& who) const
{
    std::optional<base::host_id> best;
    std::uint32_t most = 0;
    for (const auto& [host, demand] : m_others)
    {
        const auto found = demand.find(who);
        if (found == demand.end() || found->second.m_tokens <= most)
            continue;
        most = found->second.m_tokens;
        best = host;
    }
    return best;
}

void demand_table::gave(const base::host_id& host,
                        const base::organisation_id& who, std::uint32_t amount)
{
    demand* known = find(host, who);
    if (known == nullptr)
        return;
    // A host that gave nothing has none, whatever it told before.
    const bool has_more = amount > 0 && amount < known->m_tokens;
    known->m_tokens = has_more ? known->m_tokens - amount : 0;
}

void demand_table::returned(const base::host_id& host,
                            const base::organisation_id& who,
                            std::uint32_t amount)
{
    if (demand* known = find(host, who))
        known->m_tokens += amount;
}

demand* demand_table::find(const base::host_id& host,
                           const base::organisation_id& who)
{
    const auto known = m_others.find(host);
    if (known == m_others.end())
        return nullptr;
    const auto found = known->second.find(who);
    return found == known->second.end() ? nullptr : &found->second;
}

double demand_table::rate_at(const own_demand& item, base::instant now) const
{
    const double age = absl::ToDoubleSeconds(now - item.m_updated);
    return item.m_rate *
           std::exp(-age / absl::ToDoubleSeconds(m_options.m_average));
}

// Corrects the average for the time before the first operation, in which
// nothing was measured.
double demand_table::corrected(const own_demand& item, base::instant now) const
{
    const double measured =
        absl::ToDoubleSeconds(now - item.m_started) + shortest_measurement;
    const double part =
        1 - std::exp(-measured / absl::ToDoubleSeconds(m_options.m_average));
    return rate_at(item, now) / part;
}

} // namespace magnoliastack::quota
