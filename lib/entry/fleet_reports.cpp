// What hosts tell each other.
#include "magnoliastack/entry/fleet_service.hpp"

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
    report.m_configuration = m_configuration;
    report.m_confirmed_at = m_currency.confirmed_at();
    report.m_told_at =
        m_store_clock.earliest(now).value_or(rpc::store_instant());
    report.m_demand = m_shares.report(now);
    for (auto& item : report.m_demand)
        item.m_tokens = m_tokens->tokens(item.m_organisation, now);
    for (auto& [id, group] : m_groups)
    {
        fleet::group_report item;
        item.m_group = id;
        item.m_stopped_generation = group.m_stopped;
        if (group.m_row)
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
        report.m_groups.push_back(std::move(item));
    }
    return report;
}

void fleet_service::send_reports(base::instant now)
{
    m_next_report = now + m_options.m_members.m_round;
    const auto targets = m_members.targets();
    const std::string bytes = fleet::encode(make_report(now));
    for (const auto& address : targets)
        m_links.m_datagrams.send(address, bytes);
    m_links.m_metrics.counter("reports.sent").add(targets.size());
}

void fleet_service::datagram_received(std::string_view bytes)
{
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
}

void fleet_service::take_report(fleet::host_report report, base::instant now)
{
    const base::host_id host = report.m_host;
    const fleet::member* known = m_members.find(host);
    const bool missed = known == nullptr || !known->m_report ||
                        known->m_report->m_number + 1 != report.m_number;
    if (!m_members.report_received(std::move(report), now))
        return;
    const fleet::host_report& taken = *m_members.find(host)->m_report;
    if (taken.m_leaving)
        m_shares.ended(host);
    else
        m_shares.reported(
            host, taken.m_demand,
            {m_store_clock.not_after(taken.m_told_at, now).value_or(now), now},
            missed);
    // Hosts that are marked as out get no reports, so a report that comes here
    // was sent before this host could have been marked.
    for (const auto& group : taken.m_groups)
        if (group.m_row_version.value() != 0)
            take_leadership(group.m_row, group.m_row_version,
                            taken.m_confirmed_at, now);
    m_currency.confirmed(taken.m_confirmed_at);
    follow_leadership(now);
    for (const auto& group : taken.m_groups)
        take_covered(group, now);
    for (auto& [id, group] : m_groups)
        if (!group.m_promotion->is_idle())
            replace_primary(id, group, now);
}

bool fleet_service::request_tokens(const base::organisation_id& who,
                                   std::uint32_t amount)
{
    const auto now = m_links.m_clock.now();
    const auto lender = m_homes.is_large_fleet() ? m_homes.choose(who, now)
                                                 : m_shares.richest(who);
    const fleet::member* to = lender ? m_members.find(*lender) : nullptr;
    if (to == nullptr)
        return false;
    m_links.m_metrics.counter("tokens.asked").add(amount);
    m_links.m_datagrams.send(
        to->m_row.m_address,
        fleet::encode(fleet::token_request{transfer(who, amount)}));
    return true;
}

void fleet_service::take_request(const fleet::token_transfer& request,
                                 base::instant now)
{
    const fleet::member* from = m_members.find(request.m_host);
    if (from == nullptr || m_leaving ||
        from->m_row.m_incarnation != request.m_incarnation)
        return;
    const auto lent =
        m_tokens->lend_tokens(request.m_organisation, request.m_amount, now);
    m_links.m_metrics.counter("tokens.lent").add(lent);
    m_links.m_datagrams.send(from->m_row.m_address,
                             fleet::encode(fleet::token_grant{
                                 transfer(request.m_organisation, lent)}));
}

void fleet_service::take_grant(const fleet::token_transfer& grant,
                               base::instant now)
{
    m_homes.answered(grant.m_host, grant.m_organisation, grant.m_amount, now);
    if (grant.m_amount == 0)
        m_shares.had_none(grant.m_host, grant.m_organisation);
    m_tokens->tokens_granted(grant.m_organisation, grant.m_amount, now);
}

fleet::token_transfer fleet_service::transfer(const base::organisation_id& who,
                                              std::uint32_t amount) const
{
    return {m_options.m_self, m_options.m_incarnation, who, amount};
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
