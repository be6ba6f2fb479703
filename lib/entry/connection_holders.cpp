#include "magnoliastack/entry/connection_holders.hpp"

#include "magnoliastack/base/rendezvous.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace magnoliastack::entry
{
namespace
{

// The hosts with the highest weights for the key.
std::vector<base::host_id> ranked(const std::vector<base::host_id>& hosts,
                                  const std::string& key, std::size_t limit)
{
    std::vector<std::pair<std::uint64_t, base::host_id>> weighed;
    weighed.reserve(hosts.size());
    for (const auto& host : hosts)
        weighed.emplace_back(base::rendezvous_weight(host, key), host);
    std::sort(weighed.begin(), weighed.end(), std::greater<>());
    weighed.resize(std::min(weighed.size(), limit));
    std::vector<base::host_id> result;
    result.reserve(weighed.size());
    for (auto& [weight, host] : weighed)
        result.push_back(std::move(host));
    return result;
}

} // namespace

connection_holders::connection_holders(base::host_id self,
                                       const fleet::member_book& members,
                                       holder_options options)
    : m_self(std::move(self)), m_members(members), m_options(options)
{
}

void connection_holders::set_endpoints(
    const catalogue::configuration& configuration,
    const std::vector<catalogue::endpoint_entry>& entries)
{
    m_groups = configuration.m_groups;
    m_organisations = configuration.m_organisations.size();
    std::map<base::endpoint_id, held_endpoint> listed;
    for (const auto& entry : entries)
    {
        const auto known = m_endpoints.find(entry.m_id);
        held_endpoint& item = listed[entry.m_id];
        if (known != m_endpoints.end())
            item.m_holders = known->second.m_holders;
        item.m_group = entry.m_group;
        item.m_failure_domain = entry.m_failure_domain;
        if (known == m_endpoints.end())
            m_next_refresh = {};
    }
    m_endpoints = std::move(listed);
}

bool connection_holders::should_be_on(const catalogue::group& group,
                                      bool large_fleet) const
{
    if (!large_fleet)
        return false;
    const double kept = group.m_max_connections * m_options.m_kept_part /
                        static_cast<double>(m_members.size());
    const double limit =
        is_on(group.m_id) ? m_options.m_off_above : m_options.m_on_below;
    return kept < limit && kept < static_cast<double>(m_organisations);
}

bool connection_holders::refresh(bool large_fleet, base::instant now)
{
    if (now < m_next_refresh)
        return false;
    m_next_refresh = now + m_options.m_refresh_interval;
    bool changed = false;
    std::set<base::group_id> on;
    for (const auto& [id, group] : m_groups)
        if (should_be_on(group, large_fleet))
            on.insert(id);
    if (on != m_on)
    {
        m_log.info("forwarding_changed", {{"groups", on.size()},
                                          {"groups_before", m_on.size()},
                                          {"hosts", m_members.size()},
                                          {"organisations", m_organisations}});
        m_on = std::move(on);
        changed = true;
    }
    if (m_on.empty())
        return changed;
    std::vector<base::host_id> all = m_members.order("holders", now);
    std::map<base::failure_domain_id, std::vector<base::host_id>> by_domain;
    for (const auto& host : all)
        if (const fleet::member* item = m_members.find(host))
            by_domain[item->m_row.m_failure_domain].push_back(host);
    for (auto& [id, endpoint] : m_endpoints)
    {
        const auto near = by_domain.find(endpoint.m_failure_domain);
        auto holders = ranked(near == by_domain.end() ? all : near->second,
                              id.str(), m_options.m_holders);
        if (holders == endpoint.m_holders)
            continue;
        endpoint.m_holders = std::move(holders);
        changed = true;
    }
    return changed;
}

bool connection_holders::is_holder(const base::endpoint_id& endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || !is_on(found->second.m_group))
        return false;
    const auto& holders = found->second.m_holders;
    return std::find(holders.begin(), holders.end(), m_self) != holders.end();
}

bool connection_holders::is_forwarded(const base::endpoint_id& endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found != m_endpoints.end() && is_on(found->second.m_group) &&
           !is_holder(endpoint);
}

std::vector<base::host_id>
connection_holders::holders(const base::endpoint_id& endpoint,
                            const base::organisation_id& organisation) const
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || !is_on(found->second.m_group))
        return {};
    return ranked(found->second.m_holders,
                  absl::StrCat(organisation.str(), "\n", endpoint.str()),
                  m_options.m_holders);
}

std::map<base::endpoint_id, std::size_t> connection_holders::own_parts() const
{
    std::map<base::endpoint_id, std::size_t> result;
    for (const auto& [id, endpoint] : m_endpoints)
    {
        const auto group = m_groups.find(endpoint.m_group);
        if (group != m_groups.end() && is_holder(id))
            result[id] = static_cast<std::size_t>(
                group->second.m_max_connections * m_options.m_holder_part);
    }
    return result;
}

double connection_holders::direct_part(const base::group_id& group) const
{
    if (!is_on(group))
        return m_options.m_kept_part;
    return 1 -
           m_options.m_holder_part * static_cast<double>(m_options.m_holders);
}

} // namespace magnoliastack::entry
