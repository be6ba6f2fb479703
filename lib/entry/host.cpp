#include "magnoliastack/entry/host.hpp"

#include "magnoliastack/quota/division.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::entry
{

namespace
{

// Parts of the time until the kill. Transactions have the first half to end by
// themselves. Between the last two parts the refusals of what still runs are
// written; a tenth is kept for a slow machine.
constexpr double abort_part = 0.5;
constexpr double cancel_part = 0.85;
constexpr double end_part = 0.9;
constexpr absl::Duration balancer_time = absl::Milliseconds(2200);

// Connections of an endpoint that all hosts together keep while idle, as a part
// of its limit.
std::size_t kept_connections(const catalogue::group& group, double part)
{
    return static_cast<std::size_t>(group.m_max_connections * part);
}

} // namespace

drain_plan drain_times(absl::Duration limit)
{
    const absl::Duration abort = limit * abort_part;
    return {std::min(balancer_time, abort), abort, limit * cancel_part,
            limit * end_part};
}

host::host(host_options options, host_links links)
    : m_options(std::move(options)), m_links(links),
      m_demand(m_options.m_demand), m_homes(m_options.m_fleet.m_self),
      m_gate(m_shares, m_homes),
      m_fleet(m_options.m_fleet,
              {links.m_clock, links.m_store, links.m_promotions,
               links.m_datagrams, links.m_metrics, *this},
              {m_demand, m_shares, m_homes}),
      m_service(m_options.m_sessions, links.m_sessions, m_demand, m_gate,
                links.m_metrics, links.m_clock),
      m_runner(m_options.m_runner, links.m_endpoints, m_fleet, m_service,
               links.m_metrics, links.m_clock),
      m_holders(m_options.m_fleet.m_self, m_fleet.members()),
      m_peers(m_holders, m_fleet.members(), links.m_forwarding),
      m_forwarding({}, links.m_forwarding, m_peers, m_runner, links.m_metrics,
                   links.m_clock),
      m_follower(m_options.m_follower, links.m_store, *this, links.m_metrics,
                 links.m_clock)
{
    m_service.set_runner(m_runner);
    m_service.set_token_source(m_fleet);
    m_service.set_configuration_status(m_fleet);
    m_fleet.set_runner(m_runner);
    m_fleet.set_tokens(m_service);
    if (links.m_forwarding != nullptr)
        m_runner.set_peers(m_peers);
}

void host::tick()
{
    const auto now = m_links.m_clock.now();
    m_follower.set_fleet_size(m_fleet.members().size());
    m_follower.set_reading_place(m_fleet.reading_place());
    if (m_fleet.needs_rows(now))
        m_follower.refresh_rows(now);
    if (m_fleet.needs_endpoints())
        m_follower.refresh_endpoints(now);
    m_follower.rows_age(m_fleet.confirmed_age(now), now);
    m_follower.configuration_age(m_fleet.configuration_age(now), now);
    m_follower.peer_has_configuration(m_fleet.newest_configuration(), now);
    m_follower.tick(now);
    follow_drain(now);
    apply_cold_shares(now);
    follow_holders(now);
    m_forwarding.tick(now);
    m_runner.tick(now);
    m_fleet.tick(m_follower.is_reaching_store(), now);
    m_service.tick(now);
    if (now >= m_next_division)
        apply_endpoints(now);
    follow_isolation(now);
    check_drained(now);
}

// Takes the steps of a planned stop whose time has come.
void host::follow_drain(base::instant now)
{
    if (!m_draining_since || m_drained)
        return;
    const drain_plan& plan = m_options.m_drain;
    const auto draining = now - *m_draining_since;
    if (draining >= plan.m_close_idle &&
        !std::exchange(m_closing_sessions, true))
    {
        log_drain("drain_closing_sessions", now);
        m_service.close_between_operations(now);
    }
    if (draining >= plan.m_abort && !std::exchange(m_aborting, true))
    {
        log_drain("drain_ending_transactions", now);
        m_service.abort_transactions(now);
    }
    if (draining >= plan.m_cancel && !std::exchange(m_cancelling, true) &&
        m_service.session_count() > 0)
    {
        log_drain("drain_cancelling_statements", now);
        m_service.cancel_running(now);
    }
}

// Sessions need the host's part of the rates and its place in the fleet, so it
// leaves only after the last one.
void host::check_drained(base::instant now)
{
    if (!m_closing_sessions || m_drained)
        return;
    if (work_count() == 0)
    {
        m_fleet.leave(now);
        if (!has_output())
        {
            end_drain("drained", now);
            return;
        }
    }
    if (now - *m_draining_since >= m_options.m_drain.m_end)
        end_drain("time_over", now);
}

void host::end_drain(const char* reason, base::instant now)
{
    m_drained = true;
    m_links.m_metrics.counter(std::string("drain.") + reason).add();
    log_drain("drain_ended", now, reason);
}

void host::log_drain(const char* event, base::instant now, const char* reason)
{
    m_log.info(event,
               {{"reason", reason},
                {"left", *m_draining_since + m_options.m_drain.m_end - now},
                {"sessions", m_service.session_count()},
                {"working", m_service.working_count()},
                {"served", m_forwarding.served()},
                {"unsent", has_output()}});
}

// True while an answer to a caller or to another host is not sent completely.
bool host::has_output() const
{
    return m_links.m_sessions.has_output() ||
           (m_links.m_forwarding != nullptr &&
            !m_links.m_forwarding->is_flushed());
}

// Callers whose sessions stay open would reach this host for as long as it is
// isolated. Sessions that come later were sent here although it is not ready,
// so no other host is better.
void host::follow_isolation(base::instant now)
{
    if (!m_fleet.is_isolated(now))
    {
        if (m_isolated_since)
            m_log.info("isolation_ended", {{"after", now - *m_isolated_since}});
        m_isolated_since.reset();
        return;
    }
    if (!m_isolated_since)
    {
        m_isolated_since = now;
        m_log.warning("isolated", {{"sessions", m_service.session_count()}});
    }
    const auto moved = *m_isolated_since + balancer_time;
    if (now >= moved)
        m_service.close_idle(moved, now);
}

bool host::is_ready() const
{
    return !m_draining_since && m_follower.has_configuration() &&
           m_follower.has_endpoints() &&
           !m_fleet.is_isolated(m_links.m_clock.now());
}

void host::drain()
{
    if (m_draining_since)
        return;
    m_draining_since = m_links.m_clock.now();
    m_links.m_metrics.counter("drain.started").add();
    log_drain("drain_started", *m_draining_since);
    m_forwarding.drain();
}

bool host::is_drained() const
{
    return m_drained;
}

void host::configuration_changed(rpc::configuration_ptr configuration,
                                 base::instant now)
{
    m_log.info("configuration_changed",
               {{"version", configuration->m_version},
                {"routes", configuration->m_routes.size()},
                {"keys", configuration->m_keys.size()}});
    if (!configuration->m_organisations.empty())
        m_runner.set_own_organisation(
            configuration->m_organisations.begin()->first);
    m_fleet.set_configuration(configuration);
    m_service.set_configuration(std::move(configuration));
    apply_endpoints(now);
}

void host::endpoints_changed(
    const std::vector<catalogue::endpoint_entry>& endpoints, base::instant now)
{
    m_entries = endpoints;
    apply_endpoints(now);
    m_fleet.endpoints_changed(endpoints);
}

void host::endpoints_read(
    const std::vector<catalogue::endpoint_entry>& endpoints,
    rpc::store_instant at)
{
    m_fleet.endpoints_read(endpoints, at);
}

void host::configuration_told(rpc::configuration_ptr configuration,
                              base::instant now)
{
    m_follower.configuration_told(std::move(configuration), now);
}

void host::endpoints_told(std::vector<catalogue::endpoint_entry> endpoints,
                          rpc::store_instant at, base::instant now)
{
    m_follower.endpoints_told(std::move(endpoints), at, now);
}

void host::operator_rows_read(const rpc::operator_rows& rows, base::instant now)
{
    m_fleet.operator_rows_read(rows, now);
}

void host::operator_rows_confirmed(rpc::store_instant at, base::instant now)
{
    m_fleet.operator_rows_confirmed(at, now);
}

void host::era_changed(rpc::store_era era, rpc::store_instant at,
                       base::instant now)
{
    m_fleet.era_changed(era, at, now);
}

void host::row_changed(const rpc::fleet_row& row, rpc::store_instant at,
                       base::instant now)
{
    m_fleet.row_changed(row, at, now);
}

void host::rows_confirmed(rpc::row_version version, rpc::store_instant at,
                          base::instant sent, base::instant now)
{
    m_fleet.rows_confirmed(version, at, sent, now);
}

void host::apply_endpoints(base::instant now)
{
    m_next_division =
        now + (m_homes.is_large_fleet() ? m_options.m_large_division_interval
                                        : m_options.m_division_interval);
    apply_cold_shares(now);
    if (m_links.m_forwarding != nullptr && m_service.configuration())
    {
        m_holders.set_endpoints(*m_service.configuration(), m_entries);
        m_holders.refresh(m_homes.is_large_fleet(), now);
        m_runner.set_held(m_holders.own_parts());
    }
    m_runner.set_endpoints(configured_entries(), connection_shares(), now);
}

// An entry with a group that the configuration does not name comes from another
// writer, perhaps under the id of an endpoint that runs, or is ahead of the
// configuration. No endpoint is used by it.
std::vector<catalogue::endpoint_entry> host::configured_entries()
{
    const auto& configuration = m_service.configuration();
    if (!configuration)
        return m_entries;
    std::vector<catalogue::endpoint_entry> result;
    std::set<base::endpoint_id> passed_over;
    for (const auto& entry : m_entries)
    {
        if (configuration->m_groups.contains(entry.m_group))
        {
            result.push_back(entry);
            continue;
        }
        passed_over.insert(entry.m_id);
        if (m_passed_over.contains(entry.m_id))
            continue;
        m_links.m_metrics.counter("endpoints.unknown_group").add();
        m_log.warning("entry_of_unknown_group",
                      {{"endpoint", entry.m_id}, {"group", entry.m_group}});
    }
    m_passed_over = std::move(passed_over);
    return result;
}

// Parts follow the holders at once: a host that waited for the next division
// would refuse what others send it.
void host::follow_holders(base::instant now)
{
    if (m_links.m_forwarding != nullptr &&
        m_holders.refresh(m_homes.is_large_fleet(), now))
        apply_endpoints(now);
}

// Callers' sessions, and what runs here for other hosts.
std::size_t host::work_count() const
{
    return m_service.session_count() + m_forwarding.served();
}

// The order of an endpoint's senders goes by the members' rows and not by who
// is heard: parts of a fleet that do not hear each other choose the same hosts.
void host::apply_cold_shares(base::instant now)
{
    const fleet::member_book& members = m_fleet.members();
    m_cold.set_members(members.size(), now);
    const auto& configuration = m_service.configuration();
    if (!configuration)
        return;
    statement_runner::cold_shares shares;
    for (const auto& entry : m_entries)
    {
        if (entry.m_cold_left <= absl::ZeroDuration())
            continue;
        const auto group = configuration->m_groups.find(entry.m_group);
        if (group == configuration->m_groups.end() ||
            group->second.m_cold_rate <= 0)
            continue;
        shares[entry.m_id] =
            m_cold.share(group->second.m_cold_rate,
                         members.place("cold/" + entry.m_id.str(), false),
                         m_gate.may_use(), now);
    }
    m_runner.set_cold_shares(std::move(shares), now);
}

// Hosts take the rest that the division leaves in an order of their own for
// each group, so that together they never keep more than the endpoint accepts.
std::size_t host::even_part(const catalogue::group& group) const
{
    const fleet::member_book& members = m_fleet.members();
    const std::size_t hosts = members.size();
    const std::size_t kept =
        kept_connections(group, m_holders.direct_part(group.m_id));
    const bool takes_rest =
        members.place(group.m_id.str(), false) < kept % hosts;
    return kept / hosts + (takes_rest ? 1 : 0);
}

std::map<base::group_id, std::size_t> host::connection_shares() const
{
    std::map<base::group_id, std::size_t> shares;
    const auto& configuration = m_service.configuration();
    if (!configuration)
        return shares;
    const base::host_id& self = m_options.m_fleet.m_self;
    if (m_homes.is_large_fleet())
    {
        for (const auto& [id, group] : configuration->m_groups)
            shares[id] = even_part(group);
        return shares;
    }
    auto demands = m_demand.totals(self);
    // Members that have told nothing yet count with no demand.
    for (const auto& [id, member] : m_fleet.members().all())
        if (!member.m_row.m_out_since)
            demands.try_emplace(id, 0.0);
    for (const auto& [id, group] : configuration->m_groups)
        shares[id] =
            quota::divide(kept_connections(group, m_holders.direct_part(id)),
                          demands)
                .at(self);
    return shares;
}

} // namespace magnoliastack::entry
