#include "magnoliastack/configuration/quorum.hpp"

namespace magnoliastack::configuration
{

quorum_history::quorum_history(absl::Duration retention)
    : m_retention(retention)
{
}

void quorum_history::hosts_listed(const std::vector<rpc::listed_host>& hosts,
                                  base::instant now)
{
    if (!m_last_list || now - *m_last_list > max_list_gap)
        m_without_gap_since = now;
    m_last_list = now;
    for (auto& [id, host] : m_hosts)
        host.m_listed = false;
    for (const rpc::listed_host& listed : hosts)
        m_hosts[listed.m_host] = {now, true, listed.m_leaving, {}};
    update_set(now);
}

void quorum_history::roster_seen(const std::vector<roster_host>& roster,
                                 base::instant now)
{
    for (const roster_host& entry : roster)
    {
        const auto [found, is_new] = m_hosts.try_emplace(entry.m_host);
        known_host& known = found->second;
        const base::instant listed = now - entry.m_unlisted_for;
        if (is_new || (!known.m_left_since && known.m_last_listed < listed))
            known.m_last_listed = listed;
    }
    update_set(now);
}

std::vector<roster_host> quorum_history::roster(base::instant now) const
{
    std::vector<roster_host> hosts;
    for (const base::host_id& host : current(now))
    {
        const auto known = m_hosts.find(host);
        if (known != m_hosts.end())
            hosts.push_back({host, now - known->second.m_last_listed});
    }
    return hosts;
}

void quorum_history::update_set(base::instant now)
{
    absl::erase_if(m_hosts,
                   [&](const auto& item)
                   {
                       return now - item.second.m_last_listed > m_retention;
                   });

    absl::btree_set<base::host_id> in_force;
    for (auto& [id, host] : m_hosts)
    {
        const bool left = host.m_leaving && !host.m_listed;
        if (!left)
            in_force.insert(id);
        else if (!host.m_left_since)
            host.m_left_since = now;
    }
    if (m_sets.empty() || m_sets.back().m_hosts != in_force)
        m_sets.push_back({std::move(in_force), now});
    m_sets.back().m_last_in_force = now;
    std::erase_if(m_sets,
                  [&](const past_set& set)
                  {
                      return now - set.m_last_in_force > m_retention;
                  });
}

std::vector<base::host_id> quorum_history::current(base::instant now) const
{
    if (!m_last_list || now - *m_last_list > m_retention)
        return {};
    const auto& hosts = m_sets.back().m_hosts;
    return {hosts.begin(), hosts.end()};
}

std::vector<absl::btree_set<base::host_id>>
quorum_history::remembered(base::instant now) const
{
    std::vector<absl::btree_set<base::host_id>> sets;
    for (const past_set& set : m_sets)
    {
        if (now - set.m_last_in_force <= m_retention)
            sets.push_back(set.m_hosts);
    }
    return sets;
}

std::optional<base::instant>
quorum_history::left_since(const base::host_id& host) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || !found->second.m_left_since ||
        *found->second.m_left_since <= m_without_gap_since)
        return std::nullopt;
    return found->second.m_left_since;
}

bool quorum_history::is_listed(const base::host_id& host) const
{
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && found->second.m_listed;
}

} // namespace magnoliastack::configuration
