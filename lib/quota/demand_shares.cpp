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
        item.m_told.tell(now + m_options.m_settle, rate, now);
        result.push_back({who, rate, 0});
        m_total_told += rate;
    }
    return result;
}

void demand_shares::reported(const base::host_id& host,
                             const demand_report& demand, const told_at& when,
                             bool missed)
{
    auto& known = m_others[host];
    const auto from = missed ? when.m_now : when.m_told + m_options.m_settle;
    for (const auto& item : demand)
    {
        other_demand& other = known[item.m_organisation];
        other.m_told.tell(from, item.m_rate, when.m_now);
        other.m_last = item;
    }
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
            total += item.m_last.m_rate;
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
        if (found == demand.end() || found->second.m_last.m_tokens <= most)
            continue;
        most = found->second.m_last.m_tokens;
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
        found->second.m_last.m_tokens = 0;
}

void demand_shares::set_fleet_size(std::size_t hosts)
{
    m_fleet_size = std::max<std::size_t>(hosts, 1);
}

double demand_shares::share(const base::organisation_id& who, base::instant now)
{
    if (m_suspended)
        return 0;
    const double present = divided(who, now);
    // The even part is every host's own at any time.
    const double even =
        m_options.m_even_part / static_cast<double>(m_fleet_size);
    double& agreed = m_agreed.try_emplace(who, even).first->second;
    if (!m_unheard)
        agreed = present;
    return std::min(present, agreed);
}

double demand_shares::divided(const base::organisation_id& who,
                              base::instant now) const
{
    const double equal = 1 / static_cast<double>(m_fleet_size);
    const auto own = m_own.find(who);
    const double mine = own == m_own.end() ? 0 : own->second.m_told.at(now);
    double sum = mine;
    for (const auto& [host, demand] : m_others)
    {
        const auto found = demand.find(who);
        if (found != demand.end())
            sum += found->second.m_told.at(now);
    }
    const double by_demand = sum > 0 ? mine / sum : equal;
    return m_options.m_even_part * equal +
           (1 - m_options.m_even_part) * by_demand;
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

void told_rate::tell(base::instant from, double rate, base::instant now)
{
    m_values.emplace_back(from, rate);
    // Only the newest value that counts already and those after it matter.
    const auto counting = std::find_if(m_values.rbegin(), m_values.rend(),
                                       [now](const auto& value)
                                       {
                                           return value.first <= now;
                                       });
    if (counting != m_values.rend())
        m_values.erase(m_values.begin(), std::prev(counting.base()));
}

double told_rate::at(base::instant now) const
{
    double lowest = 0;
    bool counts = false;
    for (const auto& [from, rate] : m_values)
    {
        counts = counts || from <= now;
        lowest = from <= now ? rate : std::min(lowest, rate);
    }
    return counts ? lowest : 0;
}

} // namespace magnoliastack::quota
