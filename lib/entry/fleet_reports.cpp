// What hosts tell each other.
#include "magnoliastack/entry/fleet_service.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace magnoliastack::entry
{

fleet::host_report fleet_service::make_report(base::instant now)
{
    fleet::host_report report;
    report.m_host = m_options.m_self;
    report.m_incarnation = m_options.m_incarnation;
    report.m_number = ++m_report_number;
    report.m_leaving = m_leaving;
    report.m_store_reachable = m_store_reachable;
    report.m_configuration = configuration_version();
    report.m_era = m_era.value_or(rpc::store_era());
    report.m_recovered = m_saw_return && is_recovered();
    if (is_settled(now))
        report.m_confirmed_at = m_all_rows.confirmed_at();
    report.m_members_version = m_members.complete_version();
    report.m_endpoints_digest = m_endpoints.digest();
    report.m_endpoints_read_at = m_endpoints.read_at();
    // A large fleet divides neither rates nor connections by demand.
    if (!m_homes.is_large_fleet())
        report.m_demand = m_demand.report(m_tokens->tokens(now), now);
    report.m_evacuations = m_evacuations.set();
    report.m_operator_confirmed_at = m_operator_rows.confirmed_at();
    report.m_leaderships_version = m_leaderships_version;
    for (const auto& [id, group] : m_groups)
        if (!is_row_new(group, now))
            report.m_leaderships_after =
                std::max(report.m_leaderships_after, group.m_version);
    for (const group_item* item : groups_to_tell(now))
        report.m_groups.push_back(
            make_group_report(item->first, item->second, now));
    return report;
}

bool fleet_service::is_row_new(const group_leadership& group,
                               base::instant now) const
{
    return group.m_row && now - group.m_changed < m_options.m_row_told_for;
}

// Others wait for what this host says of the group.
bool fleet_service::is_urgent(const base::group_id& id,
                              const group_leadership& group,
                              base::instant now) const
{
    if (is_row_new(group, now) ||
        (group.m_row &&
         group.m_row->m_phase == fleet::leadership_phase::moving))
        return true;
    const auto leader = primary(id, now);
    return leader &&
           m_runner->unreachable_for(*leader, now) > absl::ZeroDuration();
}

// Urgent groups, and as many others of whose log something new is known: first
// what this host has seen itself, then what was told longest ago.
std::vector<fleet_service::group_item*>
fleet_service::groups_to_tell(base::instant now)
{
    std::vector<group_item*> urgent;
    std::vector<std::pair<base::instant, group_item*>> others;
    for (auto& item : m_groups)
    {
        group_leadership& group = item.second;
        if (is_urgent(item.first, group, now))
        {
            urgent.push_back(&item);
            continue;
        }
        const group_state* state = m_runner->find_group(item.first);
        const auto newest =
            state == nullptr ? std::nullopt : state->m_bounds.newest();
        if (!newest || newest->m_sent <= group.m_told_point)
            continue;
        const bool own = state->m_observed > group.m_told;
        others.emplace_back(own ? base::instant() : group.m_told, &item);
        group.m_newest_point = newest->m_sent;
    }
    if (others.size() > m_options.m_told_groups)
    {
        std::nth_element(others.begin(),
                         others.begin() + static_cast<std::ptrdiff_t>(
                                              m_options.m_told_groups),
                         others.end());
        others.resize(m_options.m_told_groups);
    }
    for (const auto& [told, item] : others)
    {
        item->second.m_told = now;
        item->second.m_told_point = item->second.m_newest_point;
        urgent.push_back(item);
    }
    return urgent;
}

fleet::group_report
fleet_service::make_group_report(const base::group_id& id,
                                 const group_leadership& group,
                                 base::instant now) const
{
    fleet::group_report item;
    item.m_group = id;
    item.m_stopped_generation = group.m_stopped;
    if (is_row_new(group, now))
    {
        item.m_row = *group.m_row;
        item.m_row_version = group.m_version;
    }
    const auto leader = primary(id, now);
    if (leader)
    {
        item.m_primary = *leader;
        item.m_unreachable = m_runner->unreachable_for(*leader, now);
    }
    const group_state* state = m_runner->find_group(id);
    const auto newest =
        state == nullptr ? std::nullopt : state->m_bounds.newest();
    if (newest)
    {
        item.m_covered = newest->m_point;
        item.m_covered_at = m_store_clock.earliest(newest->m_sent)
                                .value_or(rpc::store_instant());
    }
    return item;
}

void fleet_service::send_reports(base::instant now)
{
    m_next_report = now + m_options.m_members.m_round;
    tell(m_members.targets(), now);
}

void fleet_service::tell(const std::vector<std::string>& addresses,
                         base::instant now)
{
    if (addresses.empty())
        return;
    const std::string bytes = fleet::encode(make_report(now));
    for (const auto& address : addresses)
        m_links.m_datagrams.send(address, bytes);
    m_links.m_metrics.counter("reports.sent").add(addresses.size());
}

// Hosts that are marked as out are told nothing.
void fleet_service::tell_hosts(const std::vector<base::host_id>& hosts,
                               base::instant now)
{
    std::vector<std::string> addresses;
    for (const auto& host : hosts)
    {
        const fleet::member* item = m_members.find(host);
        if (host != m_options.m_self && item != nullptr &&
            !item->m_row.m_out_since)
            addresses.push_back(item->m_row.m_address);
    }
    tell(addresses, now);
}

void fleet_service::tell_all(base::instant now)
{
    tell(m_members.addresses(), now);
}

std::vector<base::host_id> fleet_service::judges(const base::group_id& id,
                                                 base::instant now) const
{
    auto hosts = m_members.order(id.str(), now);
    hosts.resize(std::min(hosts.size(), m_options.m_judges));
    return hosts;
}

void fleet_service::tell_suspicions(base::instant now)
{
    if (now < m_next_suspicion)
        return;
    std::set<base::host_id> hosts;
    for (auto& [id, group] : m_groups)
    {
        if (is_quiet(id, group))
            continue;
        const auto leader = primary(id, now);
        if (!leader || m_runner->unreachable_for(*leader, now) <
                           m_options.m_assessment.m_suspicion)
            continue;
        const auto told = judges(id, now);
        hosts.insert(told.begin(), told.end());
    }
    if (hosts.empty())
        return;
    m_next_suspicion = now + m_options.m_suspicion_interval;
    tell_hosts({hosts.begin(), hosts.end()}, now);
}

// A judge tries a primary that does not answer somebody else.
void fleet_service::try_suspects(const fleet::host_report& report,
                                 base::instant now)
{
    for (const auto& group : report.m_groups)
    {
        if (group.m_unreachable < m_options.m_assessment.m_suspicion ||
            primary(group.m_group, now) != group.m_primary)
            continue;
        const auto hosts = judges(group.m_group, now);
        if (std::find(hosts.begin(), hosts.end(), m_options.m_self) !=
            hosts.end())
            m_runner->verify(group.m_primary, now);
    }
}

void fleet_service::datagram_received(std::string_view bytes)
{
    const statement_runner::event_scope event(*m_runner);
    const auto now = m_links.m_clock.now();
    auto what = fleet::decode(bytes);
    if (!what)
    {
        m_links.m_metrics.counter("reports.unreadable").add();
        m_log.debug("datagram_unreadable",
                    {{"reason", what.error().m_message}});
        return;
    }
    if (auto* report = std::get_if<fleet::host_report>(&*what))
        take_report(std::move(*report), now);
    else if (const auto* request = std::get_if<fleet::token_request>(&*what))
        take_request(request->m_tokens, now);
    else if (const auto* grant = std::get_if<fleet::token_grant>(&*what))
        take_grant(grant->m_tokens, now);
    else if (const auto* unused = std::get_if<fleet::token_return>(&*what))
        m_tokens->tokens_returned(unused->m_tokens.m_organisation,
                                  unused->m_tokens.m_amount, now);
    else if (const auto* update = std::get_if<fleet::member_update>(&*what))
        take_members(*update, now);
    else if (const auto* ask = std::get_if<fleet::endpoint_request>(&*what))
        send_endpoints(*ask);
    else if (auto* list = std::get_if<fleet::endpoint_update>(&*what))
        take_endpoints(std::move(*list), now);
    else if (const auto* wish =
                 std::get_if<fleet::configuration_request>(&*what))
        send_configuration(*wish);
    else if (const auto* told =
                 std::get_if<fleet::configuration_update>(&*what))
        m_links.m_events.configuration_told(told->m_configuration, now);
    else if (auto* part = std::get_if<fleet::configuration_part>(&*what))
        take_configuration(std::move(*part), now);
}

void fleet_service::take_report(fleet::host_report report, base::instant now)
{
    const base::host_id host = report.m_host;
    if (!m_members.report_received(std::move(report), now))
        return;
    const fleet::host_report& taken = *m_members.find(host)->m_report;
    if (taken.m_leaving)
        m_demand.ended(host);
    else
        m_demand.reported(host, taken.m_demand);
    if (taken.m_configuration > m_newest_configuration)
    {
        m_newest_configuration = taken.m_configuration;
        m_newest_configuration_at = now;
    }
    ask_configuration(taken, now);
    if (m_evacuations.merge_peer_set(
            taken.m_evacuations,
            m_store_clock.latest(now).value_or(rpc::store_instant())))
        evacuations_changed(host.str().c_str(), now);
    take_operator_confirmation(taken, now);
    take_rows(taken, now);
    pass_members_on(*m_members.find(host), now);
    if (m_endpoints.should_ask(taken, now))
        m_links.m_datagrams.send(
            m_members.find(host)->m_row.m_address,
            fleet::encode(fleet::endpoint_request{m_options.m_self}));
    follow_leadership(now);
    for (const auto& group : taken.m_groups)
        take_covered(group, now);
    for (auto& [id, group] : m_groups)
        if (!group.m_promotion->is_idle())
            replace_primary(id, group, now);
    try_suspects(taken, now);
}

// Hosts that are marked as out get no reports, so a report that comes here was
// sent before this host could have been marked.
void fleet_service::take_rows(const fleet::host_report& report,
                              base::instant now)
{
    if (!is_of_era(report))
    {
        m_era_missing |= m_era && report.m_era > *m_era;
        return;
    }
    // The row has changed by now; the sender may know it from another host.
    const auto changed_by =
        m_store_clock.latest(now).value_or(report.m_confirmed_at);
    for (const auto& group : report.m_groups)
        if (group.m_row)
            take_leadership(*group.m_row, group.m_row_version, changed_by, now);
    if (report.m_leaderships_after <= m_leaderships_version)
        leaderships_complete(report.m_leaderships_version);
    m_row_missing = report.m_leaderships_version > m_leaderships_version;
    if (m_row_missing || !is_settled(now))
        return;
    m_currency.confirmed(report.m_confirmed_at);
    if (report.m_members_version <= m_members.complete_version())
        m_all_rows.confirmed(report.m_confirmed_at);
}

// A peer's observation counts when both use the same primary.
void fleet_service::take_covered(const fleet::group_report& report,
                                 base::instant now)
{
    group_state* state = m_runner->find_group(report.m_group);
    if (state == nullptr || report.m_covered_at.value() == 0 ||
        report.m_primary.empty() ||
        primary(report.m_group, now) != report.m_primary)
        return;
    const auto at = m_store_clock.not_after(report.m_covered_at, now);
    if (at)
        state->m_bounds.observed(report.m_covered, *at);
}

} // namespace magnoliastack::entry
