// A fleet of hosts with ledgers, slot keepers and token buckets in virtual
// time, with a store, a lossy network and faults drawn from a seed.
#ifndef MAGNOLIASTACK_UNITTESTS_SHARE_FLEET_HPP
#define MAGNOLIASTACK_UNITTESTS_SHARE_FLEET_HPP

#include "magnoliastack/admission/demand_meter.hpp"
#include "magnoliastack/admission/token_bucket.hpp"
#include "magnoliastack/share/ledger.hpp"
#include "magnoliastack/share/slot_keeper.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace magnoliastack::test
{

// What a run does. All times are true seconds.
struct fleet_options
{
    std::uint64_t m_seed = 0;
    std::size_t m_hosts = 9;
    double m_duration = 45;
    bool m_faults = true;
    double m_rate = 1000;
    double m_burst = 400;
    std::uint64_t m_units = 20;
    double m_tick = 0.025;
    // Requests a second of each host by time; absent: random phases in which
    // a host takes all it can get.
    std::function<double(std::size_t host, double now)> m_arrivals;
    // How long a request waits for a token before it is refused.
    double m_patience = 1.0;
};

// What a run saw.
struct fleet_report
{
    // Largest admitted - burst - rate * w over all windows w; at most 0.
    double m_worst_excess = -std::numeric_limits<double>::infinity();
    // Largest sum of units above the limit, and of fractions above the whole,
    // counting what a paused host keeps: its connections, and no fraction.
    std::int64_t m_worst_units = std::numeric_limits<std::int64_t>::min();
    std::int64_t m_worst_fraction = std::numeric_limits<std::int64_t>::min();
    std::uint64_t m_admitted = 0;
    std::uint64_t m_refused = 0;
    // What one bucket with all of the rate and burst would have refused.
    std::uint64_t m_refused_by_one_bucket = 0;
    // Time of the last refusal, in seconds.
    double m_last_refusal = 0;
    std::uint64_t m_loans = 0;
    std::uint64_t m_takeovers = 0;
    std::uint64_t m_restarts = 0;
    std::uint64_t m_releases = 0;
    std::uint64_t m_lost_swaps = 0;
};

// One run.
class fleet
{
public:
    explicit fleet(fleet_options options);

    fleet_report run();

private:
    static constexpr std::size_t no_host =
        std::numeric_limits<std::size_t>::max();

    // A process of a host; replaced when it restarts.
    struct process
    {
        share::slot_keeper m_keeper;
        share::ledger m_ledger;
        admission::token_bucket m_bucket;
        admission::demand_meter m_meter;
        std::deque<double> m_waiting;
    };
    struct host
    {
        base::host_id m_id;
        double m_clock_rate = 1;
        double m_clock_offset = 0;
        std::uint64_t m_incarnation = 1;
        bool m_up = false;
        bool m_leaving = false;
        double m_paused_until = 0;
        double m_leave_deadline = 0;
        std::optional<process> m_process;
        // Last contact with each host by true time, and its last incarnation.
        std::vector<double> m_heard;
        std::uint64_t m_open = 0;
        std::uint64_t m_counted_units = 0;
        std::uint64_t m_counted_fraction = 0;
        bool m_greedy = false;
        double m_adopts_config_after = 0;
        // Part of the network that the host is in.
        int m_part = 0;
        bool m_store_cut = false;
        // The one host that this one does not reach.
        std::size_t m_unreachable = no_host;
        bool m_pause_at_request = false;
    };
    struct event
    {
        double m_at;
        std::uint64_t m_order;
        // The host that has to be awake; none for the network and faults.
        std::size_t m_host;
        std::uint64_t m_incarnation;
        std::function<void()> m_run;

        bool operator<(const event& other) const
        {
            return m_at != other.m_at ? m_at > other.m_at
                                      : m_order > other.m_order;
        }
    };

    double uniform(double from, double to);
    bool chance(double probability);
    [[nodiscard]] base::instant local(const host& item) const;
    void after(double delay, std::function<void()> run);
    void at_host(std::size_t index, double delay, std::function<void()> run);
    void send(std::size_t from, std::size_t to, std::function<void()> run);
    // Runs `serve` at `to` and what it returns, the answer, at `from`.
    void call(std::size_t from, std::size_t to,
              std::function<std::function<void()>()> serve);
    static std::size_t index_of(const base::host_id& id);
    void pause(std::size_t index);
    void store_outage(double length);
    void start(std::size_t index);
    void stop(std::size_t index);
    void tick(std::size_t index);
    void exchange(std::size_t index);
    void arrive(std::size_t index);
    void compare_with_one_bucket();
    void admit(std::size_t index);
    void apply(std::size_t index);
    void check_sums(std::size_t index);
    void run_slot_action(std::size_t index, const share::slot_action& action);
    void run_ledger_action(std::size_t index,
                           const share::ledger_action& action);
    void call_store(std::size_t index, std::function<void()> effect,
                    std::function<void(bool)> answer);
    void count_takeovers(const std::string& value);
    void inject_fault();
    void draw_character();
    void change_phase(bool idle);
    void count_admission();
    void decay_excess();

    fleet_options m_options;
    std::mt19937_64 m_random;
    double m_now = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<host> m_hosts;
    rpc::row_state m_row;
    bool m_store_down = false;
    double m_loss = 0;
    // Mean time between faults, and the part of hosts that are greedy.
    double m_fault_gap = 1;
    double m_greedy = 0.4;
    bool m_outage_after_claim = false;
    double m_rate_now;
    double m_rate_before;
    double m_rate_changed = -100;
    double m_excess;
    double m_excess_at = 0;
    // Requests that one bucket is behind (below 0: its tokens).
    double m_one_bucket = 0;
    double m_one_bucket_at = 0;
    fleet_report m_report;
};

} // namespace magnoliastack::test

#endif
