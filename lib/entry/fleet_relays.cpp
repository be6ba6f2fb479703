// What hosts pass on to each other: members and endpoints.
#include "magnoliastack/entry/fleet_service.hpp"

#include <utility>

namespace magnoliastack::entry
{

// Rows of a process that has been replaced meanwhile are older and change
// nothing.
void fleet_service::take_members(const fleet::member_update& update,
                                 base::instant now)
{
    const auto changed_by = m_store_clock.latest(now);
    if (!changed_by || !m_era || update.m_era != *m_era)
        return;
    for (const auto& item : update.m_rows)
        take_member(item.m_row, item.m_version, *changed_by, now);
    if (update.m_after <= m_members.complete_version())
        m_members.rows_complete(update.m_complete);
}

void fleet_service::endpoints_read(
    const std::vector<catalogue::endpoint_entry>& endpoints,
    rpc::store_instant at)
{
    m_endpoints.read(endpoints, at);
}

bool fleet_service::needs_endpoints() const
{
    return std::any_of(m_groups.begin(), m_groups.end(),
                       [](const auto& item)
                       {
                           return item.second.m_promotion->awaits_list();
                       });
}

void fleet_service::take_endpoints(fleet::endpoint_update update,
                                   base::instant now)
{
    const auto read_at = update.m_read_at;
    auto endpoints = m_endpoints.received(std::move(update));
    if (!endpoints)
        return;
    m_links.m_metrics.counter("endpoints.told_by_peer").add();
    m_links.m_events.endpoints_told(std::move(*endpoints), read_at, now);
}

void fleet_service::send_endpoints(const fleet::endpoint_request& request)
{
    const fleet::member* to = m_members.find(request.m_host);
    if (to == nullptr)
        return;
    for (const auto& update : m_endpoints.updates())
        m_links.m_datagrams.send(to->m_row.m_address, fleet::encode(update));
}

// In a small fleet each host that reaches the store learns the rows there. In a
// large one hosts of the same failure domain tell each other.
void fleet_service::pass_members_on(const fleet::member& to, base::instant now)
{
    const bool follows =
        to.m_report->m_store_reachable &&
        !(m_homes.is_large_fleet() &&
          to.m_row.m_failure_domain == m_options.m_failure_domain);
    if (to.m_row.m_out_since || follows || !is_of_era(*to.m_report))
        return;
    auto update = m_relay.next(m_members, to, now);
    if (!update)
        return;
    update->m_era = *m_era;
    m_links.m_metrics.counter("members.passed_on").add(update->m_rows.size());
    m_links.m_datagrams.send(to.m_row.m_address, fleet::encode(*update));
}

} // namespace magnoliastack::entry
