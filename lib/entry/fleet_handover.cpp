// The host's part in replacing a primary.
#include "magnoliastack/entry/fleet_service.hpp"

#include "absl/strings/str_join.h"

#include <algorithm>
#include <string>
#include <utility>

namespace magnoliastack::entry
{

using fleet::leadership_phase;
using handover::need;

bool fleet_service::group_leadership::is_listed(
    const base::endpoint_id& endpoint) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [&endpoint](const auto& entry)
                       {
                           return entry.m_id == endpoint;
                       });
}

void fleet_service::replace_primary(const base::group_id& id,
                                    group_leadership& group, base::instant now)
{
    if (!is_current(now) || !is_settled(now))
        return;
    // An entry of another writer may name any group.
    if (group.m_promotion->is_idle() &&
        !(m_configuration && m_configuration->m_groups.contains(id)))
        return;
    const need why = assess(id, group, now);
    if (why == need::none && group.m_promotion->is_idle())
    {
        group.m_needed_since.reset();
        return;
    }
    const auto given = inputs(id, group, why, now);
    const std::string before = group.m_promotion->state();
    const auto actions = group.m_promotion->tick(given, now);
    if (group.m_promotion->state() != before)
        m_log.info("promotion", {{"group", id},
                                 {"from", before},
                                 {"to", group.m_promotion->state()},
                                 {"primary", given.m_primary},
                                 {"candidates", given.m_candidates.size()}});
    tell_awaited(id, group, now);
    carry_out(id, group, actions, now);
}

handover::need fleet_service::assess(const base::group_id& id,
                                     const group_leadership& group,
                                     base::instant now) const
{
    // A group that somebody has left moving needs a primary.
    if (group.m_row && group.m_row->m_phase == leadership_phase::moving)
        return need::failed;
    // A row that may be wrong is not used, but not replaced before it is known
    // to be.
    if (may_row_be_wrong(group) && !is_row_wrong(group))
        return need::none;
    handover::primary_condition own;
    const auto leader = primary(id, now);
    own.m_absent = !leader;
    if (leader)
    {
        const auto entry =
            std::find_if(group.m_entries.begin(), group.m_entries.end(),
                         [&leader](const auto& item)
                         {
                             return item.m_id == *leader;
                         });
        own.m_leaving = entry == group.m_entries.end() || entry->m_leaving ||
                        m_evacuations.is_evacuated(entry->m_failure_domain);
        own.m_unreachable = m_runner->unreachable_for(*leader, now);
    }
    // What others see counts only for a host that has no answer itself.
    if (own.m_absent || own.m_leaving ||
        own.m_unreachable < m_options.m_assessment.m_suspicion)
        return handover::assess(own, {}, m_options.m_assessment);
    std::vector<absl::Duration> others;
    const bool large = m_homes.is_large_fleet();
    for (const auto& host : large ? judges(id, now) : m_members.live(now))
    {
        const fleet::member* item = m_members.find(host);
        if (host == m_options.m_self || item == nullptr || !item->m_report)
            continue;
        // A host that does not tell of the group has no complaint.
        absl::Duration unreachable;
        for (const auto& report : item->m_report->m_groups)
            if (report.m_group == id)
                unreachable = report.m_unreachable;
        others.push_back(unreachable);
    }
    return handover::assess(own, others, m_options.m_assessment);
}

// True while this process holds the duty by the store's clock.
bool fleet_service::holds_duty(base::instant now) const
{
    const auto latest = m_store_clock.latest(now);
    return m_duty && latest && m_duty->m_holder == m_options.m_self &&
           m_duty->m_incarnation == m_options.m_incarnation &&
           *latest < m_duty->m_until;
}

// The live hosts take turns. While one of them holds the duty, the others
// leave the start to it, so it does not wait for its turn: eight groups whose
// primaries went at the same time were replaced one after the other.
bool fleet_service::is_own_turn(const base::group_id& id,
                                const group_leadership& group, need why,
                                base::instant now) const
{
    if (!group.m_needed_since || !m_store_reachable)
        return false;
    if (!has_replacement_candidate(group, now))
        return false;
    // An evacuated primary has to stop in any case.
    const auto leader = primary(id, now);
    if (why == need::planned && !(leader && is_evacuated(group, *leader)) &&
        now - *group.m_needed_since < m_options.m_planned_wait &&
        !can_all_release(now))
        return false;
    if (holds_duty(now))
        return true;
    const auto hosts = m_members.order(id.str(), now);
    const auto place = std::find(hosts.begin(), hosts.end(), m_options.m_self);
    const auto rank = place - hosts.begin();
    return now - *group.m_needed_since >=
           m_options.m_turn * static_cast<double>(rank);
}

bool fleet_service::can_all_release(base::instant now) const
{
    const auto live = m_members.live(now);
    for (const auto& [host, item] : m_members.all())
    {
        if (!has_lapsed(item, now) &&
            std::find(live.begin(), live.end(), host) == live.end())
            return false;
    }
    return true;
}

// Endpoints that may replace the primary; evacuated ones when there is no
// other.
std::vector<base::endpoint_id>
fleet_service::promotion_candidates(const group_leadership& group,
                                    const base::endpoint_id& primary,
                                    base::instant now) const
{
    std::vector<base::endpoint_id> candidates;
    std::vector<base::endpoint_id> evacuated;
    for (const auto& entry : group.m_entries)
    {
        if (entry.m_leaving || entry.m_id == primary ||
            m_runner->unreachable_for(entry.m_id, now) > absl::ZeroDuration())
            continue;
        if (m_evacuations.is_evacuated(entry.m_failure_domain))
            evacuated.push_back(entry.m_id);
        else
            candidates.push_back(entry.m_id);
    }
    return candidates.empty() ? evacuated : candidates;
}

std::uint32_t fleet_service::sync_replicas(const base::group_id& id) const
{
    if (m_configuration == nullptr)
        return 0;
    const auto configured = m_configuration->m_groups.find(id);
    return configured == m_configuration->m_groups.end()
               ? 0
               : configured->second.m_sync_replicas;
}

// Every listed endpoint and every lost replica of the group.
handover::commit_holders
fleet_service::holders_of(const base::group_id& id,
                          const group_leadership& group,
                          base::instant now) const
{
    handover::commit_holders holders;
    holders.m_sync_replicas = sync_replicas(id);
    if (holders.m_sync_replicas == 0)
        return holders;
    for (const auto& entry : group.m_entries)
    {
        const bool avoided =
            entry.m_leaving ||
            m_evacuations.is_evacuated(entry.m_failure_domain) ||
            m_runner->unreachable_for(entry.m_id, now) > absl::ZeroDuration();
        holders.m_listed.push_back(
            {entry.m_id, avoided, m_runner->is_cold(entry.m_id, now)});
    }
    holders.m_listed_at = m_endpoints.read_at();
    holders.m_lost = group.m_lost.all();
    holders.m_shown_end = shown_end(id);
    return holders;
}

// The furthest end of the primary's log that this host or, by its last report,
// another one has seen.
base::log_point fleet_service::shown_end(const base::group_id& id) const
{
    base::log_point end;
    const group_state* state = m_runner->find_group(id);
    if (state != nullptr)
        if (const auto newest = state->m_bounds.newest())
            end = newest->m_point;
    for (const auto& [host, item] : m_members.all())
    {
        if (!item.m_report)
            continue;
        for (const auto& report : item.m_report->m_groups)
            if (report.m_group == id)
                end = std::max(end, report.m_covered);
    }
    return end;
}

// What hosts learn of the primary's and the replicas' logs while they serve
// tells which lost replicas matter no more.
void fleet_service::follow_lost_replicas(const base::group_id& id,
                                         group_leadership& group,
                                         base::instant now) const
{
    if (group.m_lost.all().empty())
        return;
    const group_state* state = m_runner->find_group(id);
    const auto leader = primary(id, now);
    if (state == nullptr || !leader)
        return;
    if (const auto newest = state->m_bounds.newest())
        group.m_lost.primary_observed(newest->m_point, newest->m_sent);
    for (const auto& [endpoint, known] : state->m_endpoints)
        if (endpoint != *leader && known.m_listed && known.m_position)
            group.m_lost.replica_observed(*known.m_position, now);
}

// Says which endpoints a group without a primary waits for, at first and then
// from time to time.
void fleet_service::tell_awaited(const base::group_id& id,
                                 group_leadership& group, base::instant now)
{
    const auto& awaited = group.m_promotion->awaited();
    if (awaited.empty())
    {
        group.m_awaits_since.reset();
        return;
    }
    if (!group.m_awaits_since)
    {
        group.m_awaits_since = now;
        group.m_next_awaited_line = now;
        m_links.m_metrics.counter("promotions.waiting").add();
    }
    if (now < group.m_next_awaited_line)
        return;
    group.m_next_awaited_line = now + m_options.m_awaited_line_interval;
    m_log.warning(
        "promotion_waits_for_reports",
        {{"group", id},
         {"endpoints", absl::StrJoin(awaited, ",",
                                     [](std::string* out, const auto& endpoint)
                                     {
                                         out->append(endpoint.str());
                                     })},
         {"for", now - *group.m_awaits_since}});
}

handover::promotion_inputs fleet_service::inputs(const base::group_id& id,
                                                 group_leadership& group,
                                                 need why, base::instant now)
{
    handover::promotion_inputs given;
    given.m_need = why;
    given.m_era = *m_era;
    if (given.m_need == need::none)
        group.m_needed_since.reset();
    else if (!group.m_needed_since)
        group.m_needed_since = now;
    given.m_may_start = is_own_turn(id, group, given.m_need, now);
    given.m_leadership = group.m_row;
    given.m_leadership_version = group.m_version;
    given.m_duty = m_duty;
    given.m_duty_version = m_duty_version;
    given.m_primary =
        group.m_row ? group.m_row->m_primary
                    : group.m_initial_primary.value_or(base::endpoint_id());
    given.m_released = is_released(id, group, now);
    given.m_primary_answers =
        !is_evacuated(group, given.m_primary) &&
        m_runner->has_answered_since(given.m_primary, group.m_changed);
    given.m_candidates = promotion_candidates(group, given.m_primary, now);
    // The old primary itself, when it is back and nobody else is there.
    if (given.m_candidates.empty())
        for (const auto& entry : group.m_entries)
            if (entry.m_id == given.m_primary && !entry.m_leaving)
                given.m_candidates.push_back(entry.m_id);
    for (const auto& id : given.m_candidates)
        if (m_runner->is_cold(id, now))
            given.m_cold.insert(id);
    given.m_holders = holders_of(id, group, now);
    given.m_primary_may_stay = group.is_listed(given.m_primary) &&
                               !is_evacuated(group, given.m_primary);
    given.m_store_earliest =
        m_store_clock.earliest(now).value_or(rpc::store_instant());
    given.m_store_latest =
        m_store_clock.latest(now).value_or(rpc::store_instant());
    return given;
}

bool fleet_service::is_released(const base::group_id& id,
                                const group_leadership& group,
                                base::instant now) const
{
    // Hosts that registered before the claim have to be known.
    if (!group.m_row || group.m_stopped < group.m_row->m_generation ||
        !is_era_before_over(now) || m_rows_version < group.m_version)
        return false;
    for (const auto& [host, item] : m_members.all())
        if (host != m_options.m_self && !has_released(item, id, group, now))
            return false;
    return true;
}

// A host has released the old primary when it says so, when it ends, or when
// it cannot rely on the old row any more.
bool fleet_service::has_released(const fleet::member& host,
                                 const base::group_id& id,
                                 const group_leadership& group,
                                 base::instant now) const
{
    if (m_currency.has_lapsed_since(group.m_changed_at, m_store_clock, now))
        return true;
    if (has_lapsed(host, now))
        return true;
    if (!host.m_report)
        return false;
    if (host.m_report->m_leaving)
        return true;
    if (!is_of_era(*host.m_report))
        return false;
    for (const auto& report : host.m_report->m_groups)
        if (report.m_group == id &&
            report.m_stopped_generation >= group.m_row->m_generation)
            return true;
    return false;
}

void fleet_service::carry_out(
    const base::group_id& id, group_leadership& group,
    const std::vector<handover::promotion_action>& actions, base::instant now)
{
    for (const auto& action : actions)
    {
        if (const auto* change = std::get_if<handover::change_rows>(&action))
        {
            m_links.m_metrics.counter("store.calls.leadership").add();
            change_rows(
                change->m_change, m_options.m_promotion.m_change_timeout,
                [this, id,
                 era = m_era](const base::result<rpc::change_outcome>& result)
                {
                    if (era != m_era)
                        return;
                    if (!result)
                        m_log.warning("leadership_change_failed",
                                      {{"group", id},
                                       {"reason", result.error().m_message}});
                    const auto at = m_links.m_clock.now();
                    find(id).m_promotion->change_ended(result, at);
                    if (!result || !result->m_applied)
                        return;
                    m_claim_version = result->m_version;
                    tell_all(at);
                });
        }
        else if (const auto* ask = std::get_if<handover::ask_report>(&action))
        {
            m_runner->request_report(
                ask->m_endpoint,
                [this, id, endpoint = ask->m_endpoint,
                 now](const rpc::endpoint_report& report)
                {
                    const auto at = m_links.m_clock.now();
                    m_log.info("endpoint_report",
                               {{"endpoint", endpoint},
                                {"primary", report.m_primary},
                                {"term", report.m_term},
                                {"position", report.m_received.m_position}});
                    group_leadership& known = find(id);
                    known.m_promotion->report_received(endpoint, report, now,
                                                       at);
                    replace_primary(id, known, at);
                },
                now);
        }
        else if (const auto* promote =
                     std::get_if<handover::promote_endpoint>(&action))
        {
            m_links.m_metrics.counter("promotions.sent").add();
            m_log.info("promote", {{"group", id},
                                   {"endpoint", promote->m_endpoint},
                                   {"token", promote->m_token}});
            m_links.m_promotions.promote(
                id, promote->m_endpoint, m_options.m_self, promote->m_token,
                now + m_options.m_promotion.m_promote_timeout,
                [this, id](const base::result<bool>& result)
                {
                    const auto at = m_links.m_clock.now();
                    if (!result)
                        m_log.warning("promote_failed",
                                      {{"group", id},
                                       {"reason", result.error().m_message}});
                    group_leadership& known = find(id);
                    known.m_promotion->promote_ended(result, at);
                    replace_primary(id, known, at);
                });
        }
        else if (const auto* down =
                     std::get_if<handover::step_down_endpoint>(&action))
            m_runner->step_down(down->m_endpoint, down->m_term, now);
    }
    if (!actions.empty() && group.m_promotion->is_idle())
        group.m_needed_since.reset();
}

} // namespace magnoliastack::entry
