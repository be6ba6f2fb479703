#include "magnoliastack/quota/demand_shares.hpp"

#include <algorithm>
#include <cmath>

namespace magnoliastack::quota
{
namespace
{

// Demand below this is told as none and forgotten.
constexpr double least_rate = 0.05;
// Seconds that the first operation of an organisation stands for.
constexpr double shortest_measurement = 0.5;

} // namespace

demand_shares::demand_shares(demand_options options) : m_options(options)
{
}

void demand_shares::arrived(const base::organisation_id& who, base::instant now)
{
    const auto [found, added] = m_own.try_emplace(who);
    own_demand& item = found->second;
    if (added)
        item.m_started = now;
    item.m_rate =
        rate_at(item, now) + 1 / absl::ToDoubleSeconds(m_options.m_average);
    item.m_updated = now;
}

demand_report demand_shares::report(base::instant now)
{
    demand_report result;
    m_total_told = 0;
    for (auto& [who, item] : m_own)
    {
        double rate = corrected(item, now);
        if (rate < least_rate)
            rate = 0;
        auto& told = item.m_told;
        told.emplace_back(now + m_options.m_settle, rate);
        // Only the newest value that counts already and those after it matter.
        const auto counting = std::find_if(told.rbegin(), told.rend(),
                                           [now](const auto& value)
                                           {
                                               return value.first <= now;
                                           });
        if (counting != told.rend())
            told.erase(told.begin(), std::prev(counting.base()));
        result.push_back({who, rate, 0});
        m_total_told += rate;
    }
    return result;
}

void demand_shares::reported(const base::host_id& host,
                             const demand_report& demand)
{
    auto& known = m_others[host];
    known.clear();
    for (const auto& item : demand)
        known[item.m_organisation] = item;
}

void demand_shares::ended(const base::host_id& host)
{
    m_others.erase(host);
}

std::map<base::host_id, double>
demand_shares::totals(const base::host_id& self) const
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
demand_shares::richest(const base::organisation_id& who) const
{
    std::optional<base::host_id> best;
    // A host needs a token of its own.
    std::uint32_t most = 1;
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

void demand_shares::had_none(const base::host_id& host,
                             const base::organisation_id& who)
{
    const auto known = m_others.find(host);
    if (known == m_others.end())
        return;
    const auto found = known->second.find(who);
    if (found != known->second.end())
        found->second.m_tokens = 0;
}

void demand_shares::set_fleet_size(std::size_t hosts)
{
    m_fleet_size = std::max<std::size_t>(hosts, 1);
}

double demand_shares::share(const base::organisation_id& who,
                            base::instant now) const
{
    const double even =
        m_options.m_even_part / static_cast<double>(m_fleet_size);
    const auto own = m_own.find(who);
    if (own == m_own.end())
        return even;
    const double mine = settled(own->second, now);
    // The own share of the sum uses what the others were told of this host,
    // not the present value: that may be lower by now.
    double others = 0;
    for (const auto& [host, demand] : m_others)
    {
        const auto found = demand.find(who);
        if (found != demand.end())
            others += found->second.m_rate;
    }
    if (mine <= 0)
        return even;
    return even + (1 - m_options.m_even_part) * mine / (mine + others);
}

double demand_shares::rate_at(const own_demand& item, base::instant now) const
{
    const double age = absl::ToDoubleSeconds(now - item.m_updated);
    return item.m_rate *
           std::exp(-age / absl::ToDoubleSeconds(m_options.m_average));
}

// Corrects the average for the time before the first operation, in which
// nothing was measured.
double demand_shares::corrected(const own_demand& item, base::instant now) const
{
    const double measured =
        absl::ToDoubleSeconds(now - item.m_started) + shortest_measurement;
    const double part =
        1 - std::exp(-measured / absl::ToDoubleSeconds(m_options.m_average));
    return rate_at(item, now) / part;
}

// The lowest value told since the one that counts: a fall counts at once.
double demand_shares::settled(const own_demand& item, base::instant now) const
{
    double lowest = 0;
    bool counts = false;
    for (const auto& [from, rate] : item.m_told)
    {
        if (from <= now)
        {
            lowest = rate;
            counts = true;
        }
        else
        {
            lowest = std::min(lowest, rate);
        }
    }
    return counts ? lowest : 0;
}

} // namespace magnoliastack::quota
