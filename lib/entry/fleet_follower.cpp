#include "magnoliastack/entry/fleet_follower.hpp"

#include "magnoliastack/fleet/rows.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace magnoliastack::entry
{

fleet_follower::fleet_follower(follower_options options,
                               rpc::fleet_store& store, follower_events& events,
                               metrics::registry& metrics,
                               const base::clock& clock)
    : m_options(options), m_store(store), m_events(events), m_metrics(metrics),
      m_clock(clock), m_rows_fresh_at(clock.now()),
      m_spread(absl::Uniform(m_random, 0.5, 1.0)), m_healthy_since(clock.now())
{
}

void fleet_follower::tick(base::instant now)
{
    const bool follows = is_following(now);
    if (!m_configuration.m_running && now >= m_configuration.m_next &&
        (follows || m_configuration_row.value() == 0))
        ask_configuration(now);
    if (are_endpoints_due(now))
        ask_endpoints(now);
    if (!m_fleet.m_running && now >= m_fleet.m_next &&
        (follows || !m_fleet_version))
        ask_fleet(now);
}

bool fleet_follower::is_following(base::instant now) const
{
    if (now - m_rows_known_at < m_options.m_start_pause)
        return false;
    return !is_large_fleet() || m_reading_place < m_options.m_followers ||
           now - m_rows_fresh_at >= m_options.m_follow_after;
}

void fleet_follower::started(lane& what, base::instant now)
{
    what.m_running = true;
    what.m_sent = now;
    m_metrics.counter(std::string("store.calls.") + what.m_name).add();
}

std::string fleet_follower::waiting(const lane& but, base::instant now) const
{
    std::string result;
    for (const lane* what : {&m_configuration, &m_endpoints, &m_fleet,
                             &m_refresh, &m_operator_refresh})
        if (what != &but && what->m_running)
            absl::StrAppend(&result, result.empty() ? "" : ",", what->m_name,
                            ":",
                            absl::FormatDuration(absl::Trunc(
                                now - what->m_sent, absl::Milliseconds(1))));
    return result;
}

bool fleet_follower::ended(lane& what, bool succeeded,
                           const std::string& reason, base::instant now)
{
    what.m_running = false;
    what.m_watching = false;
    if (succeeded)
    {
        if (std::exchange(what.m_failing, false))
            m_log.info("dependency_regained",
                       {{"dependency", "store"},
                        {"part", what.m_name},
                        {"answered_after", now - what.m_sent},
                        {"waiting", waiting(what, now)}});
        what.m_backoff.reset();
        what.m_next = now;
        return true;
    }
    m_metrics.counter(std::string("store.failed.") + what.m_name).add();
    if (!std::exchange(what.m_failing, true))
        m_log.warning("dependency_lost", {{"dependency", "store"},
                                          {"part", what.m_name},
                                          {"failed_after", now - what.m_sent},
                                          {"waiting", waiting(what, now)},
                                          {"reason", reason}});
    m_healthy_since = now;
    m_contact_lost = true;
    what.m_next = now + absl::Milliseconds(20) +
                  what.m_backoff.next(m_random) *
                      (is_large_fleet() ? m_options.m_large_retry_factor : 1);
    return false;
}

bool fleet_follower::follow_era(rpc::store_era era, rpc::row_version version,
                                rpc::store_instant at, base::instant now)
{
    if (m_era && era < *m_era)
    {
        m_metrics.counter("store.outdated_answers").add();
        return false;
    }
    if (m_era && era > *m_era)
    {
        m_metrics.counter("store.returns").add();
        m_log.warning("store_returned", {{"era", era},
                                         {"version", version},
                                         {"version_before", m_newest_version},
                                         {"at_ms", at}});
        m_newest_version = {};
        m_configuration_row = {};
        m_fleet_version.reset();
        m_newest_row = {};
        // Entries that lapsed meanwhile are back within the same time.
        m_healthy_since = now;
    }
    if (m_era != era)
        m_events.era_changed(era, at, now);
    m_era = era;
    m_newest_version = std::max(m_newest_version, version);
    return true;
}

void fleet_follower::note_history_gone(const lane& what,
                                       rpc::row_version version)
{
    m_metrics.counter("store.history_gone").add();
    m_log.info("history_gone", {{"part", what.m_name}, {"after", version}});
}

void fleet_follower::ask_configuration(base::instant now)
{
    started(m_configuration, now);
    const bool whole = m_configuration_row.value() == 0;
    m_configuration.m_watching = !whole;
    auto done = operator_rows_taker(m_configuration, whole);
    if (whole)
        m_store.read_operator_rows(m_options.m_call_timeout, std::move(done));
    else
        m_store.watch_operator_rows(m_configuration_row, watch_wait(),
                                    watch_wait() + m_options.m_call_timeout,
                                    std::move(done));
}

void fleet_follower::refresh_operator_rows(bool whole, base::instant now)
{
    // The first reading of all rows is the watch's own.
    const bool is_first = m_configuration_row.value() == 0;
    if (m_operator_refresh.m_running || now < m_operator_refresh.m_next ||
        (is_first && !m_configuration.m_watching))
        return;
    started(m_operator_refresh, now);
    whole = whole || is_first;
    auto done = operator_rows_taker(m_operator_refresh, whole);
    if (whole)
        m_store.read_operator_rows(m_options.m_call_timeout, std::move(done));
    else
        m_store.read_operator_changes(
            m_configuration_row, m_options.m_call_timeout, std::move(done));
}

rpc::fleet_store::callback<rpc::operator_rows>
fleet_follower::operator_rows_taker(lane& what, bool whole)
{
    return [this, &what, whole,
            asked = m_era](const base::result<rpc::operator_rows>& result)
    {
        const auto now = m_clock.now();
        if (!result && result.error().m_code == base::error_code::not_found)
        {
            note_history_gone(what, m_configuration_row);
            m_configuration_row = {};
        }
        if (ended(what, result.has_value(),
                  result ? "" : result.error().m_message, now) &&
            follow_era(result->m_era, result->m_version, result->m_at, now) &&
            (whole || asked == m_era))
            take_operator_rows(*result, now);
        if (&what == &m_operator_refresh)
            what.m_next = std::max(what.m_next, now + operator_refresh_pause());
    };
}

void fleet_follower::compare_operator_rows(rpc::row_version version,
                                           rpc::store_instant at,
                                           base::instant now)
{
    if (!has_configuration())
        return;
    // An answer that is older than another one, or holds only a part of the
    // rows, says nothing about the newest version.
    if (version == m_newest_version && version <= m_configuration_row)
        m_events.operator_rows_confirmed(at, now);
    else if (version > m_configuration_row && m_contact_lost)
        refresh_operator_rows(false, now);
}

void fleet_follower::configuration_age(absl::Duration age, base::instant now)
{
    const bool is_other_call_on_its_way =
        m_endpoints.m_running || m_endpoints.m_failing || m_refresh.m_running ||
        (m_refresh.m_failing && m_rows_due);
    if (has_configuration() && !is_other_call_on_its_way &&
        age >= confirm_configuration_after())
        refresh_operator_rows(false, now);
}

void fleet_follower::take_operator_rows(const rpc::operator_rows& change,
                                        base::instant now)
{
    m_contact_lost = false;
    m_configuration_row = std::max(m_configuration_row, change.m_version);
    m_events.operator_rows_read(change, now);
    if (change.m_configurations.empty() && !has_configuration())
        m_configuration.m_next = now + absl::Milliseconds(200);
    for (const auto& item : change.m_configurations)
        use_configuration(item, now);
    m_events.operator_rows_confirmed(change.m_at, now);
}

void fleet_follower::configuration_told(rpc::configuration_ptr configuration,
                                        base::instant now)
{
    if (has_configuration())
        use_configuration(configuration, now);
}

void fleet_follower::use_configuration(
    const rpc::configuration_ptr& configuration, base::instant now)
{
    if (configuration->m_version <= m_configuration_version)
        return;
    m_configuration_version = configuration->m_version;
    m_events.configuration_changed(configuration, now);
}

void fleet_follower::ask_endpoints(base::instant now)
{
    started(m_endpoints, now);
    m_store.read_endpoints(
        m_options.m_call_timeout,
        [this](base::result<rpc::changes<catalogue::endpoint_entry>> result)
        {
            const auto received = m_clock.now();
            if (!ended(m_endpoints, result.has_value(),
                       result ? "" : result.error().m_message, received))
                return;
            if (!follow_era(result->m_era, result->m_version, result->m_at,
                            received))
                return;
            compare_operator_rows(result->m_version, result->m_at, received);
            m_endpoints_at = received;
            if (m_has_endpoints &&
                received - m_healthy_since < m_options.m_lapse_grace)
                keep_lapsed(result->m_rows);
            take_endpoints(std::move(result->m_rows), result->m_at, received);
        });
}

void fleet_follower::endpoints_told(
    std::vector<catalogue::endpoint_entry> endpoints, rpc::store_instant at,
    base::instant now)
{
    take_endpoints(std::move(endpoints), at, now);
    m_endpoints_at = now;
}

bool fleet_follower::are_endpoints_due(base::instant now) const
{
    if (m_endpoints.m_running || now < m_endpoints.m_next)
        return false;
    if (!m_has_endpoints)
        return true;
    const absl::Duration interval =
        !m_fleet_version || is_following(now)
            ? m_options.m_endpoints_interval
            : m_options.m_large_endpoints_interval * m_spread;
    return now - m_endpoints_at >= interval;
}

void fleet_follower::refresh_endpoints(base::instant now)
{
    if (m_has_endpoints && !m_endpoints.m_running &&
        now >= m_endpoints.m_next &&
        now - m_endpoints_at >= m_options.m_endpoints_pause)
        ask_endpoints(now);
}

// Entries may be missing because the store was away when their endpoints
// should have renewed them; those are kept for a while.
void fleet_follower::keep_lapsed(
    std::vector<catalogue::endpoint_entry>& entries) const
{
    for (const auto& [id, entry] : m_known)
        if (std::none_of(entries.begin(), entries.end(),
                         [&id = id](const auto& item)
                         {
                             return item.m_id == id;
                         }))
            entries.push_back(entry);
}

// A process that has said that it leaves never stays after all; an entry that
// says so comes from an older copy of the store.
void fleet_follower::keep_leaving(
    std::vector<catalogue::endpoint_entry>& entries, base::instant now)
{
    for (auto& entry : entries)
    {
        const auto known = m_leaving.find(entry.m_id);
        if (!entry.m_leaving &&
            (known == m_leaving.end() ||
             known->second.m_started_unix_ms != entry.m_started_unix_ms))
            continue;
        entry.m_leaving = true;
        m_leaving[entry.m_id] = {entry.m_started_unix_ms, now};
    }
    std::erase_if(m_leaving,
                  [this, now](const auto& item)
                  {
                      return now - item.second.m_listed >
                             m_options.m_leaving_memory;
                  });
}

void fleet_follower::take_endpoints(
    std::vector<catalogue::endpoint_entry> entries, rpc::store_instant at,
    base::instant now)
{
    keep_leaving(entries, now);
    m_events.endpoints_read(entries, at);
    std::map<base::endpoint_id, catalogue::endpoint_entry> known;
    for (const auto& entry : entries)
        known[entry.m_id] = entry;
    if (m_has_endpoints && known == m_known)
        return;
    m_known = std::move(known);
    m_has_endpoints = true;
    m_events.endpoints_changed(entries, now);
}

void fleet_follower::ask_fleet(base::instant now)
{
    started(m_fleet, now);
    const bool whole = !m_fleet_version;
    m_fleet.m_watching = !whole;
    auto done = fleet_rows_taker(m_fleet, whole, now);
    if (whole)
        m_store.read_fleet(m_options.m_call_timeout, std::move(done));
    else
        m_store.watch_fleet(*m_fleet_version, watch_wait(),
                            watch_wait() + m_options.m_call_timeout,
                            std::move(done));
}

rpc::fleet_store::callback<rpc::changes<rpc::fleet_row>>
fleet_follower::fleet_rows_taker(lane& what, bool whole, base::instant sent)
{
    return [this, &what, whole, sent, asked = m_era](
               const base::result<rpc::changes<rpc::fleet_row>>& result)
    {
        const auto now = m_clock.now();
        if (!result && result.error().m_code == base::error_code::not_found)
        {
            note_history_gone(what,
                              m_fleet_version.value_or(rpc::row_version()));
            m_fleet_version.reset();
        }
        if (ended(what, result.has_value(),
                  result ? "" : result.error().m_message, now) &&
            follow_era(result->m_era, result->m_version, result->m_at, now))
        {
            compare_operator_rows(result->m_version, result->m_at, now);
            if (whole || asked == m_era)
                take_fleet(*result, sent, now);
        }
        if (&what == &m_refresh)
            what.m_next =
                std::max(what.m_next, now + m_options.m_unconfirmed_pause);
    };
}

absl::Duration fleet_follower::watch_wait() const
{
    if (is_large_fleet())
        return m_options.m_large_watch_wait;
    return m_fleet_size > 1 ? m_options.m_watch_wait
                            : m_options.m_lone_watch_wait;
}

absl::Duration fleet_follower::confirm_after() const
{
    return std::min(m_options.m_confirm_latest,
                    (is_large_fleet() ? m_options.m_large_confirm_after
                                      : m_options.m_confirm_after) +
                        m_options.m_confirm_step *
                            static_cast<double>(m_reading_place));
}

absl::Duration fleet_follower::operator_refresh_pause() const
{
    return is_large_fleet() ? m_options.m_large_catch_up_pause
                            : m_options.m_operator_rows_pause;
}

absl::Duration fleet_follower::confirm_configuration_after() const
{
    const absl::Duration bound = m_options.m_configuration_bound;
    return std::min(bound * m_options.m_confirm_configuration_latest_part,
                    bound * m_options.m_confirm_configuration_part +
                        m_options.m_confirm_step *
                            static_cast<double>(m_reading_place));
}

void fleet_follower::rows_age(absl::Duration age, base::instant now)
{
    m_rows_due = age >= confirm_after();
    if (age < confirm_after())
        m_rows_fresh_at = now;
    if (age >= confirm_after())
        refresh_rows(now);
}

void fleet_follower::refresh_rows(base::instant now)
{
    // The first reading of all rows is the watch's own.
    const bool whole = !m_fleet_version;
    if (m_refresh.m_running || now < m_refresh.m_next ||
        (whole && !m_fleet.m_watching))
        return;
    started(m_refresh, now);
    auto done = fleet_rows_taker(m_refresh, whole, now);
    if (whole)
        m_store.read_fleet(m_options.m_call_timeout, std::move(done));
    else
        m_store.read_fleet_changes(*m_fleet_version, m_options.m_call_timeout,
                                   std::move(done));
}

void fleet_follower::peer_has_configuration(base::configuration_version version,
                                            base::instant now)
{
    if (version <= m_configuration_version)
    {
        m_behind_since = now;
        return;
    }
    if (!is_large_fleet() ||
        now - m_behind_since >= m_options.m_large_catch_up_pause)
        refresh_operator_rows(true, now);
}

void fleet_follower::take_fleet(const rpc::changes<rpc::fleet_row>& change,
                                base::instant sent, base::instant now)
{
    if (!m_fleet_version)
        m_rows_known_at = now;
    m_fleet_version = m_fleet_version
                          ? std::max(*m_fleet_version, change.m_version)
                          : change.m_version;
    for (const auto& row : change.m_rows)
        if (row.m_version > m_newest_row)
            m_events.row_changed(row, change.m_at, now);
    const bool only_members =
        std::all_of(change.m_rows.begin(), change.m_rows.end(),
                    [](const rpc::fleet_row& row)
                    {
                        return fleet::is_member_key(row.m_key);
                    });
    if (!change.m_rows.empty() && is_large_fleet())
        m_fleet.m_next = now + m_options.m_large_pause;
    else if (!change.m_rows.empty() && only_members)
        m_fleet.m_next = now + m_options.m_member_pause;
    for (const auto& row : change.m_rows)
        m_newest_row = std::max(m_newest_row, row.m_version);
    m_events.rows_confirmed(change.m_version, change.m_at, sent, now);
}

} // namespace magnoliastack::entry
