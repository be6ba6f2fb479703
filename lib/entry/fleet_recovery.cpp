// What this host does when the store has come back from an older copy.
#include "magnoliastack/entry/fleet_service.hpp"

#include <algorithm>

namespace magnoliastack::entry
{

// What is known stays in force: until the store has all of it again, this host
// goes by it for as long as it had been confirmed.
void fleet_service::era_changed(rpc::store_era era, rpc::store_instant at,
                                base::instant now)
{
    const bool is_return = m_era.has_value();
    m_era = era;
    m_saw_return = is_return;
    m_era_row.reset();
    m_era_version = {};
    m_claim_version = {};
    m_rows_version = {};
    m_era_read = false;
    m_era_missing = false;
    m_recover_at = now;
    if (!is_return)
    {
        m_evacuations.era_changed(era, at);
        return;
    }
    remember_rows();
    if (m_homes.is_large_fleet())
        m_recover_at = now + std::min(m_options.m_recovery_latest,
                                      m_options.m_recovery_turn *
                                          static_cast<double>(m_reading_place));
    m_log.warning(
        "rows_to_recover",
        {{"era", era}, {"at_ms", at}, {"members", m_members.all().size()}});
    if (m_evacuations.era_changed(era, at))
        evacuations_changed("return", now);
}

void fleet_service::remember_rows()
{
    m_recovery = {};
    for (const auto& [host, item] : m_members.all())
        m_recovery.remember(
            {fleet::member_key(host), fleet::encode(item.m_row), {}});
    m_members.versions_lost();
    if (m_duty)
        m_recovery.remember({fleet::duty_key, fleet::encode(*m_duty), {}});
    m_duty_version = {};
    for (auto& [id, group] : m_groups)
    {
        if (group.m_row)
            m_recovery.remember(
                {fleet::leadership_key(id), fleet::encode(*group.m_row), {}});
        group.m_version = {};
        group.m_followed = {};
        group.m_needed_since.reset();
        // Its claim may be lost. What it had under way is found by whoever
        // claims the group next, as after a crash of this host.
        group.m_promotion = std::make_unique<handover::promotion>(
            id, m_options.m_self, m_options.m_incarnation,
            m_options.m_promotion);
    }
    m_leaderships_version = {};
    m_row_missing = false;
    m_member_change_running = false;
}

bool fleet_service::is_era_known() const
{
    return m_era_row && m_era_row->m_era == *m_era;
}

bool fleet_service::is_of_era(const fleet::host_report& report) const
{
    return m_era && report.m_era == *m_era;
}

// False when this host remembers a later state of the row.
bool fleet_service::accepts(const std::string& key, const std::string& value,
                            rpc::row_version version)
{
    return m_recovery.is_empty() || m_recovery.take({key, value, version});
}

// True when the store has all that this host remembers.
bool fleet_service::is_recovered() const
{
    return m_era_read && is_era_known() && m_recovery.is_empty();
}

// True when each member was there before the return and has said so of itself.
// Where one has started since, what it knew may be lost, and only time helps:
// the endpoints renew their entries. In a large fleet reports of all hosts take
// too long to come.
bool fleet_service::have_all_recovered() const
{
    return m_saw_return && !m_homes.is_large_fleet() &&
           std::all_of(m_members.all().begin(), m_members.all().end(),
                       [this](const auto& item)
                       {
                           const auto& [host, other] = item;
                           return host == m_options.m_self ||
                                  other.m_row.m_out_since ||
                                  (other.m_report &&
                                   is_of_era(*other.m_report) &&
                                   other.m_report->m_recovered);
                       });
}

// True once all hosts that reach the store have written again what it has
// lost, or have had the time to: its answers confirm the rows from then on.
bool fleet_service::is_settled(base::instant now) const
{
    if (!is_recovered())
        return false;
    if (m_era_row->m_since.value() == 0)
        return true;
    const auto earliest = m_store_clock.earliest(now);
    const absl::Duration wait = m_homes.is_large_fleet()
                                    ? m_options.m_large_settling
                                    : m_options.m_settling;
    const bool had_time =
        earliest && absl::Milliseconds(earliest->value()) >=
                        absl::Milliseconds(m_era_row->m_since.value()) + wait;
    return had_time || have_all_recovered();
}

// True when nobody relies any more on what was confirmed before a return. A
// host that registered in what the store has lost may be unknown to all others
// and rely on the old primary until then.
bool fleet_service::is_era_before_over(base::instant now) const
{
    return is_era_known() && (m_era_row->m_since.value() == 0 ||
                              m_currency.has_lapsed_since(m_era_row->m_since,
                                                          m_store_clock, now));
}

// True when the row's primary calls itself a replica and another endpoint calls
// itself primary: the store may have lost a promotion that no host remembers.
bool fleet_service::is_contradicted(const group_leadership& group)
{
    if (!group.m_row ||
        group.m_row->m_phase != fleet::leadership_phase::serving)
        return false;
    const base::endpoint_id& leader = group.m_row->m_primary;
    const auto is_replica = [&leader](const auto& entry)
    {
        return entry.m_id == leader && !entry.m_primary;
    };
    const auto leads_instead = [&leader](const auto& entry)
    {
        return entry.m_id != leader && entry.m_primary;
    };
    return std::any_of(group.m_entries.begin(), group.m_entries.end(),
                       is_replica) &&
           std::any_of(group.m_entries.begin(), group.m_entries.end(),
                       leads_instead);
}

// True when the entries have contradicted the row for so long that they cannot
// be the ones that are late.
bool fleet_service::is_row_wrong(const group_leadership& group) const
{
    return group.m_contradicted_since &&
           absl::Milliseconds(m_endpoints.read_at().value()) >=
               absl::Milliseconds(group.m_contradicted_since->value()) +
                   m_options.m_contradicted_for;
}

// When the two differ soon after a return, neither is known to be the older
// one, and the row is not used until they agree.
bool fleet_service::may_row_be_wrong(const group_leadership& group) const
{
    if (!group.m_contradicted_since || !is_era_known())
        return false;
    const rpc::store_instant since = m_era_row->m_since;
    const absl::Duration lease =
        m_options.m_currency.m_lease + m_options.m_currency.m_margin;
    const bool began_after_return =
        since.value() != 0 &&
        absl::Milliseconds(group.m_contradicted_since->value()) <=
            absl::Milliseconds(since.value()) + lease;
    return began_after_return || is_row_wrong(group);
}

// Writes the row of the era and what the store has lost. Any host may be the
// first; the others learn it from the refusal of their change.
void fleet_service::restore_rows(base::instant now)
{
    const auto latest = m_store_clock.latest(now);
    if (!m_era_read || !latest || m_member_change_running ||
        now < m_recover_at || (is_era_known() && m_recovery.is_empty()))
        return;
    m_recover_at = now + m_options.m_recovery_pause;
    rpc::fleet_change change;
    m_recovery.add_to(change, m_options.m_largest_recovery);
    const std::size_t lost = change.m_writes.size();
    if (!is_era_known())
    {
        const bool is_first_start =
            lost == 0 && m_members.all().empty() && !m_duty &&
            std::none_of(m_groups.begin(), m_groups.end(),
                         [](const auto& item)
                         {
                             return item.second.m_row.has_value();
                         });
        const fleet::era_row row{*m_era, is_first_start ? rpc::store_instant()
                                                        : *latest};
        change.m_writes.emplace_back(fleet::era_key, fleet::encode(row));
    }
    if (lost > 0)
    {
        m_log.warning("rows_lost", {{"era", *m_era}, {"rows", lost}});
        m_links.m_metrics.counter("rows.recovered").add(lost);
    }
    change_members(change, {});
}

} // namespace magnoliastack::entry
