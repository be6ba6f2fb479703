#include "magnoliastack/entry/fleet_service.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::entry
{

using fleet::leadership_phase;

fleet_service::fleet_service(fleet_options options, fleet_links links,
                             fleet_quotas quotas)
    : m_options(std::move(options)), m_links(links), m_demand(quotas.m_demand),
      m_shares(quotas.m_shares), m_homes(quotas.m_homes),
      m_currency(m_options.m_currency),
      m_members(m_options.m_self, m_options.m_incarnation, m_options.m_members),
      m_operator_rows(m_options.m_configuration),
      m_all_rows(m_options.m_currency), m_endpoints(m_options.m_self),
      m_configurations(m_options.m_self), m_evacuations(m_options.m_evacuation)
{
}

void fleet_service::tick(bool store_reachable, base::instant now)
{
    const statement_runner::event_scope event(*m_runner);
    m_store_reachable = store_reachable;
    if (m_leaving)
        return;
    restore_rows(now);
    follow_evacuations(now);
    check_configuration_age(now);
    register_self(now);
    mark_silent(now);
    update_homes(now);
    update_shares(now);
    for (auto& [id, group] : m_groups)
    {
        follow_lost_replicas(id, group, now);
        if (is_quiet(id, group))
            continue;
        stop_moving(id, group, now);
        replace_primary(id, group, now);
    }
    tell_suspicions(now);
    if (now >= m_next_report)
        send_reports(now);
}

void fleet_service::endpoints_changed(
    const std::vector<catalogue::endpoint_entry>& endpoints)
{
    std::map<base::group_id, std::vector<catalogue::endpoint_entry>> by_group;
    for (const auto& entry : endpoints)
        by_group[entry.m_group].push_back(entry);
    for (auto& [id, group] : m_groups)
        if (!by_group.contains(id))
            set_entries(group, {});
    for (auto& [id, entries] : by_group)
        set_entries(find(id), std::move(entries));
}

void fleet_service::set_entries(
    group_leadership& group,
    std::vector<catalogue::endpoint_entry> entries) const
{
    group.m_lost.entries_changed(group.m_entries, entries,
                                 m_links.m_clock.now());
    group.m_entries = std::move(entries);
    group.m_initial_primary.reset();
    std::size_t count = 0;
    for (const auto& entry : group.m_entries)
    {
        if (!entry.m_primary)
            continue;
        group.m_initial_primary = entry.m_id;
        ++count;
    }
    if (count != 1)
        group.m_initial_primary.reset();
    update_leader(group);
}

void fleet_service::update_leader(group_leadership& group) const
{
    const auto leader =
        group.m_row ? group.m_row->m_primary : group.m_initial_primary;
    group.m_leader_stays =
        leader && std::any_of(group.m_entries.begin(), group.m_entries.end(),
                              [this, &leader](const auto& entry)
                              {
                                  return entry.m_id == *leader &&
                                         !entry.m_leaving &&
                                         !m_evacuations.is_evacuated(
                                             entry.m_failure_domain);
                              });
    if (!is_contradicted(group))
        group.m_contradicted_since.reset();
    else if (!group.m_contradicted_since)
        group.m_contradicted_since =
            std::max(m_endpoints.read_at(), group.m_changed_at);
}

// True when nothing asks for a replacement of the primary and none runs; most
// groups of a large fleet are looked at no further.
bool fleet_service::is_quiet(const base::group_id& id,
                             group_leadership& group) const
{
    if (group.m_state == nullptr)
        group.m_state = m_runner->find_group(id);
    return group.m_promotion->is_idle() && group.m_leader_stays &&
           !group.m_needed_since && !group.m_contradicted_since &&
           (!group.m_row ||
            group.m_row->m_phase == leadership_phase::serving) &&
           (group.m_state == nullptr || !group.m_state->m_troubled);
}

void fleet_service::row_changed(const rpc::fleet_row& row,
                                rpc::store_instant at, base::instant now)
{
    const auto member = fleet::decode_member(row);
    const auto leadership = fleet::decode_leadership(row);
    const auto duty = fleet::decode_duty(row);
    const auto era = fleet::decode_era(row);
    if (!member || !leadership || !duty || !era)
    {
        m_log.error("row_unreadable",
                    {{"key", row.m_key}, {"version", row.m_version}});
        return;
    }
    if (*member)
        take_member(**member, row.m_version, at, now);
    if (*era && row.m_version > m_era_version)
    {
        m_era_row = **era;
        m_era_version = row.m_version;
    }
    if (*duty && row.m_version > m_duty_version &&
        accepts(row.m_key, row.m_value, row.m_version))
    {
        m_duty = **duty;
        m_duty_version = row.m_version;
    }
    if (*leadership)
        take_leadership(**leadership, row.m_version, at, now);
}

void fleet_service::take_member(const fleet::member_row& row,
                                rpc::row_version version, rpc::store_instant at,
                                base::instant now)
{
    const fleet::member* known = m_members.find(row.m_host);
    if ((known != nullptr && known->m_version >= version) ||
        !accepts(fleet::member_key(row.m_host), fleet::encode(row), version))
        return;
    if (known != nullptr && known->m_row.m_incarnation != row.m_incarnation)
        m_demand.ended(row.m_host);
    const bool was_registered = m_members.is_registered();
    m_members.row_changed(row, version, at, now);
    m_members_changed = true;
    // The answer to the change that wrote the row may have been lost. A row
    // that is read again after a return of the store registers nobody anew.
    if (!was_registered && m_members.is_registered())
    {
        m_registered_at = at;
        m_registered = now;
    }
    m_log.info("member_changed", {{"member", row.m_host},
                                  {"incarnation", row.m_incarnation},
                                  {"out", row.m_out_since.has_value()},
                                  {"version", version}});
}

// A row may come from the store and from peers, in any order.
void fleet_service::take_leadership(const fleet::leadership_row& row,
                                    rpc::row_version version,
                                    rpc::store_instant at, base::instant now)
{
    group_leadership& group = find(row.m_group);
    if (version <= group.m_version ||
        !accepts(fleet::leadership_key(row.m_group), fleet::encode(row),
                 version))
        return;
    group.m_row = row;
    group.m_version = version;
    group.m_changed_at = at;
    group.m_changed = now;
    update_leader(group);
    m_log.info("leadership_changed",
               {{"group", row.m_group},
                {"generation", row.m_generation},
                {"phase", row.m_phase == leadership_phase::serving ? "serving"
                                                                   : "moving"},
                {"primary", row.m_primary},
                {"term", row.m_term},
                {"holder", row.m_holder},
                {"version", version}});
}

void fleet_service::rows_confirmed(rpc::row_version version,
                                   rpc::store_instant at, base::instant sent,
                                   base::instant now)
{
    m_rows_known = true;
    m_era_read = true;
    m_store_clock.answered(at, sent, now);
    m_rows_version = std::max(m_rows_version, version);
    m_members.rows_complete(version);
    leaderships_complete(version);
    m_row_missing = false;
    if (is_settled(now))
    {
        m_currency.confirmed(at);
        m_all_rows.confirmed(at);
    }
    follow_leadership(now);
}

void fleet_service::leaderships_complete(rpc::row_version version)
{
    for (const auto& [id, group] : m_groups)
        if (group.m_version <= version)
            m_leaderships_version =
                std::max(m_leaderships_version, group.m_version);
}

// Carries out what changed leaderships ask of this host.
void fleet_service::follow_leadership(base::instant now)
{
    const statement_runner::event_scope event(*m_runner);
    for (auto& [id, group] : m_groups)
    {
        if (!group.m_row || group.m_followed == group.m_version)
            continue;
        group.m_followed = group.m_version;
        stop_moving(id, group, now);
        replace_primary(id, group, now);
        if (group.m_row->m_phase != leadership_phase::serving)
            continue;
        if (group_state* state = m_runner->find_group(id))
            state->m_bounds.term_changed(group.m_row->m_term);
        m_runner->place_waiting(id);
    }
}

void fleet_service::leave(base::instant now)
{
    if (m_leaving)
        return;
    m_leaving = true;
    send_reports(now);
}

std::optional<base::endpoint_id>
fleet_service::primary(const base::group_id& id, base::instant now) const
{
    const auto found = m_groups.find(id);
    if (found == m_groups.end() || !is_current(now))
        return std::nullopt;
    const auto& row = found->second.m_row;
    if (!row)
        return found->second.m_initial_primary;
    if (row->m_phase != leadership_phase::serving ||
        may_row_be_wrong(found->second))
        return std::nullopt;
    return row->m_primary;
}

bool fleet_service::may_continue(const base::group_id& id,
                                 const base::endpoint_id& endpoint,
                                 base::instant now) const
{
    if (primary(id, now) == endpoint)
        return true;
    const auto found = m_groups.find(id);
    if (found == m_groups.end() || !is_current(now))
        return false;
    const auto& row = found->second.m_row;
    return row && row->m_phase == leadership_phase::moving &&
           row->m_primary == endpoint &&
           found->second.m_stopped < row->m_generation;
}

// With synchronous replicas whoever is promoted has every commit that was
// acknowledged while hosts might use the old primary, and no later one.
bool fleet_service::may_acknowledge(const base::group_id& id,
                                    const base::endpoint_id& endpoint,
                                    base::instant now) const
{
    return sync_replicas(id) == 0 || may_continue(id, endpoint, now);
}

bool fleet_service::is_isolated(base::instant now) const
{
    return m_rows_known && confirmed_age(now) > m_options.m_isolated_after &&
           !m_members.hears_other_domain(now);
}

absl::Duration fleet_service::confirmed_age(base::instant now) const
{
    if (m_row_missing || m_era_missing)
        return absl::InfiniteDuration();
    return m_currency.age(m_store_clock, now);
}

bool fleet_service::is_current(base::instant now) const
{
    return m_rows_known && !m_leaving && m_members.is_registered() &&
           is_confirmed_since_registration() &&
           m_currency.is_current(m_store_clock, now);
}

// Whoever claimed a group before this process registered may not wait for it,
// so rows that were read before are not relied on.
bool fleet_service::is_confirmed_since_registration() const
{
    return m_registered_at && m_currency.confirmed_at() >= *m_registered_at;
}

bool fleet_service::needs_rows(base::instant now) const
{
    if (m_claim_version > m_rows_version)
        return true;
    const absl::Duration wait = m_homes.is_large_fleet()
                                    ? m_options.m_large_confirmation_wait
                                    : absl::ZeroDuration();
    return m_members.is_registered() && !is_confirmed_since_registration() &&
           now - m_registered >= wait;
}

// True when the host is marked and relies on no row any more.
bool fleet_service::has_lapsed(const fleet::member& host,
                               base::instant now) const
{
    return host.m_marked_by &&
           m_currency.has_lapsed_since(*host.m_marked_by, m_store_clock, now);
}

// A marked host may give out tokens until its reliance has lapsed. A host that
// cannot confirm its rows gives out none.
void fleet_service::update_homes(base::instant now)
{
    m_homes.set_suspended(!are_all_rows_current(now));
    if (!std::exchange(m_members_changed, false))
        return;
    std::vector<quota::home_candidate> hosts;
    for (const auto& [host, item] : m_members.all())
    {
        const bool lapsed = has_lapsed(item, now);
        // A marked host changes once more, when it lapses.
        m_members_changed |= item.m_marked_by && !lapsed;
        hosts.push_back({host, item.m_row.m_failure_domain, !lapsed});
    }
    m_homes.set_hosts(std::move(hosts));
    m_reading_place = m_members.place("store", m_homes.is_large_fleet());
}

bool fleet_service::are_all_rows_current(base::instant now) const
{
    return is_current(now) && m_all_rows.is_current(m_store_clock, now);
}

// A silent host keeps its part of the rates until its reliance has lapsed, also
// one that will be back soon: it goes on with that part at once then.
void fleet_service::update_shares(base::instant now)
{
    // Homes give out the tokens of a large fleet.
    if (m_homes.is_large_fleet())
        return;
    quota::share_view view;
    view.m_hosts = 0;
    if (m_members.is_registered())
        view.m_registration =
            m_members.find(m_options.m_self)->m_row.m_member_since.value();
    view.m_current = are_all_rows_current(now);
    view.m_counted =
        m_registered_at && m_all_rows.confirmed_at() >= *m_registered_at;
    for (const auto& [host, item] : m_members.all())
    {
        if (has_lapsed(item, now))
        {
            m_demand.ended(host);
            continue;
        }
        ++view.m_hosts;
        if (host != m_options.m_self && !counts_self(item, now))
            view.m_counted = false;
    }
    m_shares.update(view);
}

// True when the host divides rates by this host as well, or has relied on no
// row since this host registered.
bool fleet_service::counts_self(const fleet::member& host,
                                base::instant now) const
{
    return (host.m_report && is_of_era(*host.m_report) &&
            m_members.own_version().value() != 0 &&
            m_members.knows_own_row(host)) ||
           (m_registered_at &&
            m_all_rows.has_lapsed_since(*m_registered_at, m_store_clock, now));
}

void fleet_service::register_self(base::instant now)
{
    const auto latest = m_store_clock.latest(now);
    if (!m_rows_known || !is_era_known() || !latest ||
        m_members.is_registered() || m_member_change_running)
        return;
    fleet::member_row row;
    row.m_host = m_options.m_self;
    row.m_incarnation = m_options.m_incarnation;
    row.m_address = m_options.m_address;
    row.m_failure_domain = m_options.m_failure_domain;
    const auto key = fleet::member_key(m_options.m_self);
    // The process before was not marked, so no other host took its place.
    const fleet::member* before = m_members.find(m_options.m_self);
    const bool stays = before != nullptr && !before->m_row.m_out_since;
    row.m_member_since = stays ? before->m_row.m_member_since : *latest;
    const bool resumes =
        stays && is_settled(now) &&
        m_all_rows.has_lapsed_since(row.m_member_since, m_store_clock, now);
    change_members(
        {{{key, m_members.own_version()}}, {{key, fleet::encode(row)}}},
        [this, resumes]
        {
            if (!resumes)
                return;
            m_homes.resume();
            m_shares.resume();
        });
    m_log.info("registering", {{"incarnation", m_options.m_incarnation},
                               {"resumes", resumes}});
    m_next_report = now;
}

void fleet_service::mark_silent(base::instant now)
{
    if (!is_current(now) || !is_settled(now) || m_member_change_running)
        return;
    const auto silent = m_members.to_mark(now);
    const auto latest = m_store_clock.latest(now);
    if (silent.empty() || !latest)
        return;
    fleet::member_row row = silent.front()->m_row;
    row.m_out_since = *latest;
    const auto key = fleet::member_key(row.m_host);
    m_log.warning("member_silent", {{"member", row.m_host}});
    change_members(
        {{{key, silent.front()->m_version}}, {{key, fleet::encode(row)}}}, {});
}

void fleet_service::change_members(const rpc::fleet_change& change,
                                   std::function<void()> applied)
{
    m_member_change_running = true;
    m_links.m_metrics.counter("store.calls.member").add();
    change_rows(change, m_options.m_change_timeout,
                [this, era = m_era, applied = std::move(applied)](
                    const base::result<rpc::change_outcome>& result)
                {
                    if (era != m_era)
                        return;
                    m_member_change_running = false;
                    if (result && result->m_applied && applied)
                        applied();
                    if (!result)
                        m_log.warning("member_change_failed",
                                      {{"reason", result.error().m_message}});
                });
}

// An applied change is known from its answer: a watch may be silent. An answer
// of another era than the change was asked for in tells nothing.
void fleet_service::change_rows(
    rpc::fleet_change change, absl::Duration timeout,
    rpc::fleet_store::callback<rpc::change_outcome> done)
{
    change.m_expected.emplace_back(fleet::era_key, m_era_version);
    m_links.m_store.change_fleet(
        change, timeout,
        [this, change, era = m_era,
         done = std::move(done)](base::result<rpc::change_outcome> result)
        {
            const auto now = m_links.m_clock.now();
            if (result && (result->m_era != *era || era != m_era))
            {
                m_era_missing |= result->m_era > *m_era;
                result = base::fail(base::error_code::deadline_exceeded,
                                    "the store has come back meanwhile");
            }
            if (result && result->m_applied)
                for (const auto& [key, value] : change.m_writes)
                    row_changed({key, value, result->m_version}, result->m_at,
                                now);
            // What stands in the way of a change is known from its answer.
            if (result && !result->m_applied)
                for (const auto& row : result->m_rows)
                    row_changed(row, result->m_at, now);
            done(result);
            follow_leadership(now);
        });
}

// The primary before a claim. A claim that knew none replaces one whose entry
// has lapsed, and writes may still run there.
std::vector<base::endpoint_id>
fleet_service::replaced_endpoints(const base::group_id& id,
                                  const fleet::leadership_row& claim)
{
    if (!claim.m_primary.empty())
        return {claim.m_primary};
    std::vector<base::endpoint_id> result;
    const group_state* state = m_runner->find_group(id);
    if (state == nullptr)
        return result;
    for (const auto& [endpoint, known] : state->m_endpoints)
        if (known.m_entry.m_primary)
            result.push_back(endpoint);
    return result;
}

// What runs at a primary that is replaced may end; after a while it is cut
// off, so that the replacement does not wait for it.
void fleet_service::stop_moving(const base::group_id& id,
                                group_leadership& group, base::instant now)
{
    if (!group.m_row || group.m_stopped >= group.m_row->m_generation)
        return;
    if (group.m_row->m_phase == leadership_phase::moving)
    {
        const auto replaced = replaced_endpoints(id, *group.m_row);
        const bool has_work =
            std::any_of(replaced.begin(), replaced.end(),
                        [this, now](const auto& old)
                        {
                            return m_runner->in_flight(old) > 0 &&
                                   m_runner->unreachable_for(old, now) ==
                                       absl::ZeroDuration();
                        });
        if (has_work && now - group.m_changed < m_options.m_stop_wait)
            return;
        group.m_stopped = group.m_row->m_generation;
        for (const auto& old : replaced)
            m_runner->drop_connections(old, now);
    }
    group.m_stopped = group.m_row->m_generation;
    m_log.info("primary_released",
               {{"group", id}, {"generation", group.m_stopped}});
    tell_hosts({group.m_row->m_holder}, now);
}

fleet_service::group_leadership& fleet_service::find(const base::group_id& id)
{
    group_leadership& group = m_groups[id];
    if (!group.m_promotion)
        group.m_promotion = std::make_unique<handover::promotion>(
            id, m_options.m_self, m_options.m_incarnation,
            m_options.m_promotion);
    return group;
}

} // namespace magnoliastack::entry
