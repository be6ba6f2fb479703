#include "magnoliastack/quota/home_hosts.hpp"

#include "magnoliastack/base/rendezvous.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace magnoliastack::quota
{

home_hosts::home_hosts(base::host_id self, home_options options)
    : m_self(std::move(self)), m_options(options)
{
}

void home_hosts::set_hosts(std::vector<home_candidate> hosts)
{
    if (hosts == m_hosts)
        return;
    const bool first = m_hosts.empty();
    m_hosts = std::move(hosts);
    m_resumed = m_resumed && first;
    m_active_hosts = 0;
    std::set<base::failure_domain_id> domains;
    for (const auto& host : m_hosts)
    {
        domains.insert(host.m_failure_domain);
        m_active_hosts += host.m_active ? 1 : 0;
        if (host.m_host == m_self)
            m_own_domain = host.m_failure_domain;
    }
    m_domains = std::max<std::size_t>(1, domains.size());
    m_homes_per_domain = (m_options.m_least_homes + m_domains - 1) / m_domains;
    m_homes.clear();
    const auto before = std::exchange(m_home_since, {});
    for (const auto& [who, since] : before)
        if (is_home(who))
            m_home_since[who] = since;
}

void home_hosts::resume()
{
    m_resumed = true;
    for (auto& [who, since] : m_home_since)
        since = base::instant();
}

void home_hosts::limit_homes(const base::organisation_id& who,
                             std::size_t count)
{
    std::size_t& limit = m_limits[who];
    const std::size_t before =
        std::exchange(limit, std::max<std::size_t>(count, 1));
    if (before == limit)
        return;
    m_homes.erase(who);
    if (!is_home(who))
        m_home_since.erase(who);
}

std::size_t home_hosts::home_count(const base::organisation_id& who) const
{
    const std::size_t places = m_domains * m_homes_per_domain;
    const auto limit = m_limits.find(who);
    return limit == m_limits.end() ? places : std::min(places, limit->second);
}

double home_hosts::share(const base::organisation_id& who, base::instant now)
{
    if (!is_home(who))
        return 0;
    const auto since =
        m_home_since.try_emplace(who, m_resumed ? base::instant() : now)
            .first->second;
    if (now - since < m_options.m_take_over)
        return 0;
    return 1 / static_cast<double>(home_count(who));
}

std::optional<base::host_id>
home_hosts::choose(const base::organisation_id& who, base::instant now)
{
    const auto& chosen = homes(who);
    for (const auto& home : chosen)
        if (home.m_failure_domain == m_own_domain)
            if (auto found = ask(home, who, now))
                return found;
    for (std::size_t tried = 0; tried < chosen.size(); ++tried)
    {
        const auto& home = chosen[++m_turn % chosen.size()];
        if (home.m_failure_domain != m_own_domain)
            if (auto found = ask(home, who, now))
                return found;
    }
    return std::nullopt;
}

// The home, unless it is not worth asking now.
std::optional<base::host_id> home_hosts::ask(const home_candidate& home,
                                             const base::organisation_id& who,
                                             base::instant now)
{
    if (home.m_host == m_self)
        return std::nullopt;
    asked_home& asked = m_asked[{who, home.m_host}];
    if (asked.m_asked && now - *asked.m_asked > m_options.m_answer_time)
    {
        asked.m_asked.reset();
        asked.m_not_before = now + m_options.m_silent_pause;
    }
    if (now < asked.m_not_before)
        return std::nullopt;
    if (!asked.m_asked)
        asked.m_asked = now;
    return home.m_host;
}

void home_hosts::answered(const base::host_id& home,
                          const base::organisation_id& who,
                          std::uint32_t amount, base::instant now)
{
    asked_home& asked = m_asked[{who, home}];
    asked.m_asked.reset();
    asked.m_not_before = amount > 0 ? now : now + m_options.m_pause;
}

bool home_hosts::is_home(const base::organisation_id& who)
{
    const auto& chosen = homes(who);
    return std::any_of(chosen.begin(), chosen.end(),
                       [this](const auto& home)
                       {
                           return home.m_host == m_self;
                       });
}

const std::vector<home_candidate>&
home_hosts::homes(const base::organisation_id& who)
{
    const auto found = m_homes.find(who);
    if (found != m_homes.end())
        return found->second;
    return m_homes.emplace(who, choose_homes(who)).first->second;
}

std::vector<home_candidate>
home_hosts::choose_homes(const base::organisation_id& who) const
{
    std::vector<std::pair<std::uint64_t, const home_candidate*>> ranked;
    for (const auto& host : m_hosts)
        if (host.m_active)
            ranked.emplace_back(base::rendezvous_weight(host.m_host, who.str()),
                                &host);
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    const std::size_t count = home_count(who);
    std::map<base::failure_domain_id, std::size_t> taken;
    std::vector<home_candidate> chosen;
    for (const auto& [weight, host] : ranked)
        if (chosen.size() < count &&
            taken[host->m_failure_domain]++ < m_homes_per_domain)
            chosen.push_back(*host);
    return chosen;
}

} // namespace magnoliastack::quota
