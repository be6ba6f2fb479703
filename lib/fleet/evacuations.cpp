#include "magnoliastack/fleet/evacuations.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace magnoliastack::fleet
{
namespace
{

using domain_map = std::map<base::failure_domain_id, evacuation>;

rpc::store_instant later(rpc::store_instant at, absl::Duration by)
{
    return rpc::store_instant(
        at.value() + static_cast<std::uint64_t>(absl::ToInt64Milliseconds(by)));
}

// The row as another reading has it: the same row was seen by the earlier of
// both times.
evacuation merged(evacuation item, const domain_map& known,
                  const base::failure_domain_id& domain)
{
    const auto found = known.find(domain);
    if (found == known.end())
        return item;
    const evacuation& before = found->second;
    // An evacuation that goes on across a return began before it.
    if (before.m_state == evacuation_state::kept ||
        (before.m_state == item.m_state && before.m_version == item.m_version))
        item.m_since = std::min(item.m_since, before.m_since);
    return item;
}

std::vector<rpc::evacuation_row> in_order(std::vector<rpc::evacuation_row> rows)
{
    std::sort(rows.begin(), rows.end(),
              [](const auto& one, const auto& other)
              {
                  return one.m_version < other.m_version;
              });
    return rows;
}

} // namespace

evacuations::evacuations(evacuation_options options) : m_options(options)
{
}

// In another era every row is unconfirmed until it is read again.
void evacuations::enter(rpc::store_era era, rpc::store_instant at)
{
    m_set.m_era = era;
    m_set.m_version = {};
    m_kept_until = later(at, m_options.m_kept);
    std::erase_if(m_set.m_domains,
                  [](const auto& item)
                  {
                      return item.second.m_state == evacuation_state::cancelled;
                  });
    for (auto& [domain, item] : m_set.m_domains)
    {
        if (const auto found = m_found_at_start.find(domain);
            found != m_found_at_start.end() && found->second == item.m_version)
            found->second = {};
        else
            m_found_at_start.erase(domain);
        item.m_state = evacuation_state::kept;
        item.m_version = {};
    }
}

bool evacuations::era_changed(rpc::store_era era, rpc::store_instant at)
{
    if (era <= m_set.m_era)
        return false;
    const bool any = !m_set.m_domains.empty();
    enter(era, at);
    return any;
}

bool evacuations::rows_read(const rpc::operator_rows& rows)
{
    if (rows.m_era < m_set.m_era)
        return false;
    const bool first = !std::exchange(m_known, true);
    if (rows.m_era > m_set.m_era)
        enter(rows.m_era, rows.m_at);
    if (rows.m_version < m_set.m_version)
        return false;
    domain_map domains;
    for (const auto& [domain, item] : m_set.m_domains)
        if (!rows.m_whole || item.m_state != evacuation_state::ordered)
            domains[domain] = item;
    for (const auto& row : in_order(rows.m_evacuations))
    {
        if (!rows.m_whole && row.m_version <= m_set.m_version)
            continue;
        if (row.m_removed)
        {
            domains.erase(row.m_domain);
            if (rows.m_at < m_kept_until)
                domains[row.m_domain] = {evacuation_state::cancelled,
                                         row.m_version, rows.m_at};
            continue;
        }
        domains[row.m_domain] =
            merged({evacuation_state::ordered, row.m_version, rows.m_at},
                   m_set.m_domains, row.m_domain);
        if (first)
            m_found_at_start[row.m_domain] = row.m_version;
    }
    m_set.m_version = rows.m_version;
    return replace(std::move(domains));
}

bool evacuations::merge_peer_set(const evacuation_set& set,
                                 rpc::store_instant at)
{
    if (set.m_version.value() == 0 || set.m_era < m_set.m_era)
        return false;
    if (set.m_era > m_set.m_era)
        enter(set.m_era, at);
    m_known = true;
    const bool newer = set.m_version > m_set.m_version;
    domain_map domains = m_set.m_domains;
    if (newer)
        std::erase_if(domains,
                      [](const auto& item)
                      {
                          return item.second.m_state ==
                                 evacuation_state::ordered;
                      });
    for (const auto& [domain, item] : set.m_domains)
    {
        const auto known = m_set.m_domains.find(domain);
        const bool same = known != m_set.m_domains.end() &&
                          known->second.m_state == item.m_state &&
                          known->second.m_version == item.m_version;
        // A host that started after the return has nothing to keep, but hears
        // from its peers what they do.
        const bool lacks = known == m_set.m_domains.end() &&
                           item.m_state == evacuation_state::kept &&
                           at < m_kept_until;
        const bool ends = known != m_set.m_domains.end() &&
                          known->second.m_state == evacuation_state::kept &&
                          item.m_state == evacuation_state::cancelled;
        if ((newer && item.m_state != evacuation_state::kept) || same ||
            lacks || ends)
            domains[domain] = merged(item, m_set.m_domains, domain);
    }
    m_set.m_version = std::max(m_set.m_version, set.m_version);
    return replace(std::move(domains));
}

bool evacuations::expire(rpc::store_instant at)
{
    if (at < m_kept_until)
        return false;
    domain_map domains = m_set.m_domains;
    std::erase_if(domains,
                  [](const auto& item)
                  {
                      return item.second.m_state != evacuation_state::ordered;
                  });
    return replace(std::move(domains));
}

bool evacuations::replace(domain_map domains)
{
    if (domains == m_set.m_domains)
        return false;
    // A kept evacuation whose row is there again goes on as it was.
    for (auto& [domain, version] : m_found_at_start)
    {
        const auto before = m_set.m_domains.find(domain);
        const auto after = domains.find(domain);
        if (before != m_set.m_domains.end() && after != domains.end() &&
            before->second.m_state == evacuation_state::kept &&
            after->second.m_state == evacuation_state::ordered)
            version = after->second.m_version;
    }
    m_set.m_domains = std::move(domains);
    return true;
}

bool evacuations::is_evacuated(const base::failure_domain_id& domain) const
{
    const auto found = m_set.m_domains.find(domain);
    return found != m_set.m_domains.end() &&
           found->second.m_state != evacuation_state::cancelled;
}

bool evacuations::is_any() const
{
    return std::any_of(m_set.m_domains.begin(), m_set.m_domains.end(),
                       [](const auto& item)
                       {
                           return item.second.m_state !=
                                  evacuation_state::cancelled;
                       });
}

evacuation_phase
evacuations::phase(const base::failure_domain_id& domain,
                   std::optional<rpc::store_instant> latest) const
{
    if (!is_evacuated(domain))
        return evacuation_phase::none;
    const evacuation& item = m_set.m_domains.at(domain);
    const auto found = m_found_at_start.find(domain);
    const bool was_there =
        found != m_found_at_start.end() && found->second == item.m_version;
    const bool over =
        !latest || *latest >= later(item.m_since, m_options.m_bound *
                                                      m_options.m_closing_part);
    return was_there || over ? evacuation_phase::closed
                             : evacuation_phase::leaving;
}

} // namespace magnoliastack::fleet
