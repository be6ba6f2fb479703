#include "magnoliastack/entry/forwarding_peers.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::entry
{

forwarding_peers::forwarding_peers(const connection_holders& holders,
                                   const fleet::member_book& members,
                                   rpc::forwarding_link* link,
                                   peer_options options)
    : m_holders(holders), m_members(members), m_link(link), m_options(options)
{
}

std::optional<forwarding_peer>
forwarding_peers::choose(const base::endpoint_id& endpoint,
                         const base::organisation_id& organisation,
                         const std::vector<base::host_id>& refused,
                         base::instant now) const
{
    if (!is_forwarded(endpoint))
        return std::nullopt;
    for (const auto& host : m_holders.holders(endpoint, organisation))
    {
        const fleet::member* row = m_members.find(host);
        if (row == nullptr || !is_usable(host, *row, now) ||
            std::find(refused.begin(), refused.end(), host) != refused.end())
            continue;
        return forwarding_peer{host, row->m_row.m_address};
    }
    return std::nullopt;
}

bool forwarding_peers::is_forwarded(const base::endpoint_id& endpoint) const
{
    return m_link != nullptr && m_holders.is_forwarded(endpoint);
}

bool forwarding_peers::is_usable(const base::host_id& host,
                                 const fleet::member& row,
                                 base::instant now) const
{
    const auto pause = m_unused_until.find(host);
    if (pause != m_unused_until.end() && now < pause->second)
        return false;
    const auto draining = m_draining.find(host);
    return draining == m_draining.end() ||
           row.m_row.m_incarnation != draining->second;
}

void forwarding_peers::send(const forwarding_peer& to,
                            rpc::forwarding_message message)
{
    m_link->send(to.m_host, to.m_address, std::move(message));
}

void forwarding_peers::begin_awaiting(const base::host_id& host)
{
    if (++m_awaited[host] == 1)
        m_link->set_awaiting(host, true);
}

void forwarding_peers::end_awaiting(const base::host_id& host)
{
    const auto found = m_awaited.find(host);
    if (found == m_awaited.end() || --found->second > 0)
        return;
    m_awaited.erase(found);
    m_link->set_awaiting(host, false);
}

void forwarding_peers::lost(const base::host_id& host, bool refused,
                            base::instant now)
{
    const absl::Duration pause =
        refused ? m_options.m_refused_pause : m_options.m_lost_pause;
    m_unused_until[host] = now + pause;
    m_log.warning(
        "holder_lost",
        {{"holder", host}, {"refused", refused}, {"not_used_for", pause}});
}

void forwarding_peers::draining(const base::host_id& host,
                                base::incarnation incarnation)
{
    m_draining[host] = incarnation;
    m_log.info("holder_draining",
               {{"holder", host}, {"incarnation", incarnation}});
}

} // namespace magnoliastack::entry
