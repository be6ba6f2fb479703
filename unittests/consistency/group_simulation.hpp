// Runs the decision libraries of several hosts against fake endpoints in
// virtual time, with faults drawn from a seed.
#ifndef MAGNOLIASTACK_UNITTESTS_CONSISTENCY_GROUP_SIMULATION_HPP
#define MAGNOLIASTACK_UNITTESTS_CONSISTENCY_GROUP_SIMULATION_HPP

#include "magnoliastack/failover/controller.hpp"
#include "magnoliastack/group/group_view.hpp"
#include "magnoliastack/routing/read_routing.hpp"
#include "magnoliastack/session/token_codec.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace magnoliastack::consistency
{

// What goes wrong in a run.
enum class scenario
{
    primary_killed,
    primary_isolated,
    primary_frozen,
    chosen_endpoint_killed,
    planned_change,
    pauses_and_slow_links,
    chaos,
    // The primary of each term is cut off as soon as it has one follower.
    interrupted_terms,
};

// A run. The unsafe options remove one mechanism each, to show that the
// invariants need it; they act on what the fakes pass to the libraries.
struct simulation_options
{
    std::uint64_t m_seed = 0;
    scenario m_scenario = scenario::chaos;
    absl::Duration m_length = absl::Seconds(8);
    // In a chaos run, all faults are repaired after this time.
    absl::Duration m_faults_for = absl::Seconds(10);
    bool m_unsafe_ignore_term = false;
    bool m_unsafe_ignore_commit = false;
    bool m_unsafe_seal_minority = false;
    bool m_unsafe_ignore_term_start = false;
};

// What a run showed; an empty violation means that all invariants held.
struct simulation_report
{
    std::string m_violation;
    absl::Duration m_longest_write_gap;
    absl::Duration m_last_write_age;
    // Endpoints that do not follow the last term at the end.
    int m_endpoints_behind = 0;
    int m_promotions = 0;
    int m_writes_acknowledged = 0;
    int m_reads_delivered = 0;
    int m_replica_reads = 0;
};

class simulation
{
public:
    explicit simulation(simulation_options options);
    simulation_report run();

private:
    using action = std::function<void()>;
    struct log_entry
    {
        base::term m_term;
        // 0 in a term-start entry.
        std::uint64_t m_write = 0;
        bool operator==(const log_entry&) const = default;
    };
    using log = std::vector<log_entry>;

    struct endpoint
    {
        base::endpoint_id m_id;
        std::shared_ptr<const log> m_log;
        rpc::endpoint_role m_role = rpc::endpoint_role::replica;
        base::term m_accepted;
        base::term m_sealed;
        base::host_id m_sealed_by;
        std::uint64_t m_term_start = 0;
        std::uint64_t m_applied = 0;
        absl::Duration m_apply_delay;
        base::instant m_contact;
        bool m_leaving = false;
        std::map<int, base::round_number> m_rounds;
    };
    struct pending_write
    {
        std::uint64_t m_write = 0;
        base::log_point m_point;
        base::instant m_sent_at;
        int m_session = 0;
    };
    struct read
    {
        int m_session = 0;
        routing::read_requirements m_requirements;
        base::instant m_sent_at;
        base::endpoint_id m_endpoint;
        bool m_replica = false;
        base::log_point m_answered;
        std::shared_ptr<const log> m_log;
        int m_tries = 0;
        std::set<std::uint64_t> m_expected_writes;
        std::uint64_t m_expected_seen = 0;
    };
    struct peer
    {
        base::instant m_heard_at;
        rpc::group_observation m_seen;
    };
    struct host
    {
        base::host_id m_id;
        base::failure_domain_id m_failure_domain;
        std::unique_ptr<group::group_view> m_view;
        std::unique_ptr<failover::controller> m_controller;
        std::map<int, peer> m_peers;
        std::vector<pending_write> m_writes;
        std::vector<read> m_reads;
        base::term m_term_seen;
        int m_ticks = 0;
    };
    struct caller_session
    {
        std::string m_token;
        // The acknowledged writes and the newest entry seen in a read.
        std::set<std::uint64_t> m_writes;
        std::uint64_t m_seen = 0;
    };
    struct node
    {
        bool m_up = true;
        base::instant m_paused_until;
        int m_generation = 0;
    };
    struct event
    {
        base::instant m_at;
        std::uint64_t m_order = 0;
        action m_action;
        bool operator<(const event& other) const
        {
            return std::tie(other.m_at, other.m_order) <
                   std::tie(m_at, m_order);
        }
    };

    // Nodes: endpoints first, then hosts.
    [[nodiscard]] int endpoint_count() const
    {
        return static_cast<int>(m_endpoints.size());
    }
    [[nodiscard]] int host_node(int index) const
    {
        return endpoint_count() + index;
    }
    int uniform(int low, int high);
    absl::Duration milliseconds(int low, int high);
    void at(base::instant when, action what);
    void after(absl::Duration delay, action what);
    // Runs on the node, later while it is paused, never after it went down.
    void run_on(int node, base::instant when, action what);
    void send(int from, int to, action deliver);
    void violated(const std::string& what);

    void isolate(const std::set<int>& nodes);
    void heal();
    void pause(int node, absl::Duration length);
    void crash(int node);
    void restart(int node);
    [[nodiscard]] int current_primary() const;
    void cause_fault();
    void cause_random_fault(int any, int other, int any_host);
    void delay_link();

    [[nodiscard]] rpc::endpoint_status status_of(int index) const;
    void push_status(int index);
    void pull(int index);
    void pulled(int index, base::term from, std::uint64_t term_start,
                const std::shared_ptr<const log>& entries);
    static bool is_primary(const endpoint& target);
    void apply(int index, std::uint64_t position);
    static void append(endpoint& target, log_entry entry);
    rpc::control_answer seal(int index, base::term target,
                             const base::host_id& promoter);
    rpc::control_answer promote(int index, base::term target,
                                const base::host_id& promoter);
    void check_new_primary(int index);

    void start_host(int index);
    void host_tick(int index);
    void gossip(int index);
    failover::evidence_list evidence_of(int index);
    void call(int index, int to, std::function<action()> handle);
    void call_seal(int index, int to, base::term target);
    void call_promote(int index, int to, base::term target);
    void carry_out(int index, const std::vector<failover::action>& actions);
    void receive_status(int index, int from, base::round_number round,
                        rpc::endpoint_status status);
    void settle(int index);
    void write(int index, int session_index);
    void write_found(int index, const pending_write& write);
    void probe(int index, const pending_write& write);
    void acknowledge(const pending_write& write);
    void start_read(int index, int session_index);
    void route_read(int index, read what,
                    std::optional<base::instant> waiting_since);
    void judge_read(int index, read what);
    void deliver_read(const read& what);
    void session_step(int session_index);

    simulation_options m_options;
    std::mt19937_64 m_random;
    base::instant m_now;
    base::instant m_faults_until;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<node> m_nodes;
    std::vector<endpoint> m_endpoints;
    std::vector<host> m_hosts;
    std::vector<caller_session> m_sessions;
    session::token_codec m_codec;
    std::set<std::pair<int, int>> m_cut;
    std::map<std::pair<int, int>, absl::Duration> m_extra_delay;
    int m_loss_permille = 0;
    bool m_kill_next_chosen = false;
    std::uint64_t m_next_write = 0;
    std::map<base::term, std::pair<int, std::shared_ptr<const log>>>
        m_primaries;
    // Acknowledged writes and their times, in order.
    std::vector<std::pair<base::instant, std::uint64_t>> m_acknowledged;
    std::set<std::uint64_t> m_must_survive;
    simulation_report m_report;
};

} // namespace magnoliastack::consistency

#endif
