#include "magnoliastack/quota/demand_shares.hpp"

#include <algorithm>
#include <cmath>

namespace magnoliastack::quota
{
namespace
{

// Demand below this is told as none and forgotten.
constexpr double least_rate = 0.05;

} // namespace

demand_shares::demand_shares(demand_options options) : m_options(options)
{
}

void demand_shares::arrived(const base::organisation_id& who, base::instant now)
{
    own_demand& item = m_own[who];
    item.m_rate =
        rate_at(item, now) + 1 / absl::ToDoubleSeconds(m_options.m_average);
    item.m_updated = now;
}

demand_report demand_shares::report(base::instant now)
{
    demand_report result;
    for (auto& [who, item] : m_own)
    {
        double rate = rate_at(item, now);
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
        result.emplace_back(who, rate);
    }
    return result;
}

void demand_shares::reported(const base::host_id& host,
                             const demand_report& demand)
{
    auto& known = m_others[host];
    known.clear();
    for (const auto& [who, rate] : demand)
        known[who] = rate;
}

void demand_shares::ended(const base::host_id& host)
{
    m_others.erase(host);
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
            others += found->second;
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
