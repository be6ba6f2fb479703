// All decisions of an entry host.
#ifndef MAGNOLIASTACK_ENTRY_HOST_HPP
#define MAGNOLIASTACK_ENTRY_HOST_HPP

#include "magnoliastack/entry/connection_holders.hpp"
#include "magnoliastack/entry/fleet_follower.hpp"
#include "magnoliastack/entry/fleet_service.hpp"
#include "magnoliastack/entry/forwarding_peers.hpp"
#include "magnoliastack/entry/forwarding_service.hpp"
#include "magnoliastack/entry/session_service.hpp"
#include "magnoliastack/entry/statement_runner.hpp"
#include "magnoliastack/quota/demand_table.hpp"

#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace magnoliastack::entry
{

// Steps of a planned stop, from its beginning.
struct drain_plan
{
    // Sessions are closed when they are between operations, and no operation
    // begins any more. The balancer needs 2 s to learn that the host takes no
    // new sessions.
    absl::Duration m_close_idle;
    // Open transactions are ended.
    absl::Duration m_abort;
    // Statements that still run are given up and answered.
    absl::Duration m_cancel;
    // The process ends, whatever is left.
    absl::Duration m_end;
};

// The steps when the process is killed after `limit`.
drain_plan drain_times(absl::Duration limit);

// Who the host is.
struct host_options
{
    fleet_options m_fleet;
    runner_options m_runner;
    session_options m_sessions;
    follower_options m_follower;
    quota::demand_options m_demand;
    drain_plan m_drain = drain_times(absl::Seconds(6));
    // Connections are divided anew after this; opening one costs 12 ms of an
    // endpoint's slot, so they do not follow every change of demand. In a large
    // fleet they follow the number of hosts only.
    absl::Duration m_division_interval = absl::Seconds(2);
    absl::Duration m_large_division_interval = absl::Seconds(10);
};

// The links to the outside; they outlive the host.
struct host_links
{
    const base::clock& m_clock;
    rpc::session_link& m_sessions;
    rpc::statement_link& m_endpoints;
    rpc::fleet_store& m_store;
    rpc::promotion_link& m_promotions;
    rpc::datagram_link& m_datagrams;
    metrics::registry& m_metrics;
    // Passes statements to other hosts; null when none are forwarded.
    rpc::forwarding_link* m_forwarding = nullptr;
};

// Connects the decisions of sessions, statements, store and leadership. All
// functions run on the event loop.
class host final : public follower_events, public peer_events
{
public:
    host(host_options options, host_links links);

    host(const host&) = delete;
    host& operator=(const host&) = delete;

    // Runs everything that is due; call it every 50 ms or less.
    void tick();

    // True while the balancer may send new sessions.
    [[nodiscard]] bool is_ready() const;

    // Starts the planned stop.
    void drain();
    // True when the process may end.
    [[nodiscard]] bool is_drained() const;

    rpc::session_events& sessions()
    {
        return m_service;
    }
    rpc::statement_events& endpoints()
    {
        return m_runner;
    }

    rpc::forwarding_events& forwarding()
    {
        return m_forwarding;
    }

    // The runner of all statements here.
    statement_runner& runner()
    {
        return m_runner;
    }

    // Statements and transactions of other hosts that run here.
    [[nodiscard]] std::size_t served_count() const
    {
        return m_forwarding.served();
    }

    // The primary that this host would send new work to now.
    [[nodiscard]] std::optional<base::endpoint_id>
    primary(const base::group_id& group) const
    {
        return m_fleet.primary(group, m_links.m_clock.now());
    }

    // The configuration in force here; 0 without one.
    [[nodiscard]] base::configuration_version configuration_version() const
    {
        const auto& configuration = m_service.configuration();
        return configuration ? configuration->m_version
                             : base::configuration_version();
    }

    // False while the host may give out no tokens of a rate.
    [[nodiscard]] bool may_admit() const
    {
        return m_gate.may_use();
    }

    // Endpoints that are listed.
    [[nodiscard]] std::size_t endpoint_count() const
    {
        return m_entries.size();
    }

    // A datagram of another host.
    void datagram_received(std::string_view bytes)
    {
        m_fleet.datagram_received(bytes);
    }

    void configuration_changed(rpc::configuration_ptr configuration,
                               base::instant now) override;
    void
    endpoints_changed(const std::vector<catalogue::endpoint_entry>& endpoints,
                      base::instant now) override;
    void endpoints_read(const std::vector<catalogue::endpoint_entry>& endpoints,
                        rpc::store_instant at) override;
    void endpoints_told(std::vector<catalogue::endpoint_entry> endpoints,
                        rpc::store_instant at, base::instant now) override;
    void configuration_told(rpc::configuration_ptr configuration,
                            base::instant now) override;
    void operator_rows_read(const rpc::operator_rows& rows,
                            base::instant now) override;
    void operator_rows_confirmed(rpc::store_instant at,
                                 base::instant now) override;
    void era_changed(rpc::store_era era, rpc::store_instant at,
                     base::instant now) override;
    void row_changed(const rpc::fleet_row& row, rpc::store_instant at,
                     base::instant now) override;
    void rows_confirmed(rpc::row_version version, rpc::store_instant at,
                        base::instant sent, base::instant now) override;

private:
    void follow_isolation(base::instant now);
    void follow_drain(base::instant now);
    void check_drained(base::instant now);
    [[nodiscard]] std::vector<catalogue::endpoint_entry> configured_entries();
    void end_drain(const char* reason, base::instant now);
    void log_drain(const char* event, base::instant now,
                   const char* reason = "planned_stop");
    void apply_endpoints(base::instant now);
    void apply_cold_shares(base::instant now);
    void follow_holders(base::instant now);
    [[nodiscard]] std::size_t work_count() const;
    [[nodiscard]] bool has_output() const;
    [[nodiscard]] std::size_t even_part(const catalogue::group& group) const;
    [[nodiscard]] std::map<base::group_id, std::size_t>
    connection_shares() const;

    host_options m_options;
    host_links m_links;
    logging::logger m_log{"host"};
    quota::demand_table m_demand;
    quota::even_shares m_shares;
    quota::home_hosts m_homes;
    quota::token_gate m_gate;
    fleet_service m_fleet;
    session_service m_service;
    statement_runner m_runner;
    connection_holders m_holders;
    forwarding_peers m_peers;
    forwarding_service m_forwarding;
    fleet_follower m_follower;
    std::vector<catalogue::endpoint_entry> m_entries;
    // Endpoints whose entries name no configured group.
    std::set<base::endpoint_id> m_passed_over;
    std::optional<base::instant> m_isolated_since;
    std::optional<base::instant> m_draining_since;
    // Steps of the planned stop that were taken.
    bool m_closing_sessions = false;
    bool m_aborting = false;
    bool m_cancelling = false;
    bool m_drained = false;
    base::instant m_next_division;
    admission::cold_division m_cold;
};

} // namespace magnoliastack::entry

#endif
