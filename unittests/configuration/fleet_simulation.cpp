#include "fleet_simulation.hpp"

#include "magnoliastack/configuration/acceptance.hpp"
#include "magnoliastack/configuration/change.hpp"
#include "magnoliastack/configuration/keeper.hpp"

#include "absl/container/btree_map.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace magnoliastack::configuration::test
{

namespace
{

// Global time in milliseconds; hosts see it through clocks of their own.
using moment = double;

constexpr moment faults_end = 40'000;
constexpr moment run_end = 65'000;
constexpr moment bound = 5'000;
// The bound on a clock that is 1 percent slow, and the step of the checks.
constexpr moment longest_service = bound * 1.011 + 60;

class any_content final : public content_checker
{
public:
    base::result<bool> check(const content&) override
    {
        return true;
    }
};

// What a host has heard of another one; a small stand-in for the member table.
struct heard
{
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_heartbeat = 0;
    std::uint64_t m_version = 0;
    std::optional<base::instant> m_news;
    std::optional<base::instant> m_answered;
};

struct host
{
    std::size_t m_index = 0;
    std::size_t m_domain = 0;
    double m_rate = 1;
    double m_offset = 0;
    std::uint64_t m_incarnation = 0;
    bool m_running = false;
    bool m_leaving = false;
    moment m_paused_until = 0;
    // When each host and the platform could last be reached.
    std::vector<moment> m_contacts;
    moment m_platform_contact = 0;
    std::unique_ptr<keeper> m_keeper;
    std::unique_ptr<acceptance_judge> m_judge;
    std::vector<heard> m_heard;
    std::uint64_t m_highest_held = 0;
    std::uint64_t m_roster_version = 0;
    moment m_announced_at = -1e9;
    bool m_announced_leaving = false;
};

struct operation
{
    std::unique_ptr<change> m_change;
    std::size_t m_host = 0;
    std::string m_id;
    bool m_counted = false;
};

class simulation
{
public:
    explicit simulation(const simulation_options& options)
        : m_options(options), m_random(options.m_seed)
    {
        const bool race = is(scenario::clock_race);
        std::size_t count =
            race || is(scenario::late_answers) ? 3 : between(3, 7);
        if (is(scenario::restart_among_minority))
            count = 5;
        if (race)
        {
            m_tick_interval = 10;
            m_exchange_interval = 10;
            m_judge_interval = 10;
            m_check_interval = 5;
        }
        const std::size_t domains = between(2, 4);
        m_cut.assign(count, std::vector<bool>(count, false));
        m_no_platform.assign(count, false);
        for (std::size_t index = 0; index < count; ++index)
        {
            m_hosts.emplace_back();
            host& made = m_hosts.back();
            made.m_index = index;
            made.m_domain = index % domains;
            // Half of the clocks are at the limits, where races are closest.
            made.m_rate = chance(0.5) ? (chance(0.5) ? 0.99 : 1.01)
                                      : 0.99 + 0.02 * uniform();
            if (race)
                made.m_rate = index + 1 == count ? 0.99 : 1.01;
            made.m_offset = uniform() * 1e6;
            made.m_contacts.assign(count, 0);
        }
    }

    simulation_report run()
    {
        for (std::size_t index = 0; index < m_hosts.size(); ++index)
            start(index);
        after(8'000,
              [this]()
              {
                  plan_fault();
              });
        after(6'000,
              [this]()
              {
                  plan_change();
              });
        after(faults_end,
              [this]()
              {
                  heal();
              });
        after(10,
              [this]()
              {
                  check();
              });
        while (!m_events.empty() && m_report.m_violation.empty())
        {
            auto next = m_events.top();
            m_events.pop();
            m_now = next.m_at;
            if (m_now > run_end)
                break;
            next.m_run();
        }
        if (m_report.m_violation.empty())
            check_end();
        m_report.m_versions = m_row.m_version;
        return m_report;
    }

private:
    struct event
    {
        moment m_at;
        std::uint64_t m_order;
        std::function<void()> m_run;

        bool operator<(const event& other) const
        {
            return std::pair(m_at, m_order) >
                   std::pair(other.m_at, other.m_order);
        }
    };

    // Randomness and time.
    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    bool chance(double probability)
    {
        return uniform() < probability;
    }
    std::size_t between(std::size_t low, std::size_t high)
    {
        return std::uniform_int_distribution<std::size_t>(low, high)(m_random);
    }
    void after(moment delay, std::function<void()> run)
    {
        m_events.push({m_now + delay, ++m_order, std::move(run)});
    }
    // Runs in a host's process: dropped when it is gone, late when paused.
    void after_on(std::size_t index, moment delay, std::function<void()> run)
    {
        after(delay,
              [this, index, run = std::move(run),
               incarnation = m_hosts[index].m_incarnation]()
              {
                  run_on(index, incarnation, run);
              });
    }
    void run_on(std::size_t index, std::uint64_t incarnation,
                const std::function<void()>& run)
    {
        const host& on = m_hosts[index];
        if (!on.m_running || on.m_incarnation != incarnation)
            return;
        if (on.m_paused_until <= m_now)
            return run();
        after(on.m_paused_until - m_now + 0.01 * uniform(),
              [this, index, incarnation, run]()
              {
                  run_on(index, incarnation, run);
              });
    }
    base::instant local(const host& on) const
    {
        return base::instant::from_nanoseconds(
            static_cast<std::int64_t>((on.m_offset + m_now * on.m_rate) * 1e6));
    }
    moment delay()
    {
        if (is(scenario::clock_race))
            return 0.2 + uniform();
        if (m_now < m_slow_until && chance(0.5))
            return 100 + 1'700 * uniform();
        return chance(0.95) ? 0.5 + 15 * uniform() : 300 * uniform();
    }
    static base::host_id id_of(std::size_t index)
    {
        return base::host_id(absl::StrCat("h", index));
    }
    void violation(const std::string& what)
    {
        if (m_report.m_violation.empty())
            m_report.m_violation = absl::StrCat("at ", m_now, " ms: ", what);
    }

    // Processes.
    void start(std::size_t index)
    {
        host& on = m_hosts[index];
        ++on.m_incarnation;
        on.m_running = true;
        on.m_leaving = false;
        on.m_paused_until = 0;
        on.m_highest_held = 0;
        on.m_roster_version = 0;
        keeper_options keeping;
        keeping.m_self = id_of(index);
        keeping.m_random_seed = m_random();

        on.m_keeper = std::make_unique<keeper>(keeping, m_checker);
        judge_options judging;
        judging.m_self = id_of(index);
        judging.m_bound = absl::Milliseconds(bound);
        if (m_options.m_removed == removed::bound)
            judging.m_bound = absl::ZeroDuration();
        // Together with the smallest margin of 500 ms this is the bound.
        if (m_options.m_removed == removed::margin)
            judging.m_bound = absl::Milliseconds(bound - 500);

        on.m_judge = std::make_unique<acceptance_judge>(judging);
        on.m_heard.assign(m_hosts.size(), heard());
        after_on(index, 50 * uniform(),
                 [this, index]()
                 {
                     tick(index);
                 });
        after_on(index, 250 * uniform(),
                 [this, index]()
                 {
                     exchange(index);
                 });
        after_on(index, 300 * uniform(),
                 [this, index]()
                 {
                     list(index);
                 });
        after_on(index, 400 * uniform(),
                 [this, index]()
                 {
                     judge(index);
                 });
    }
    bool reaches_platform(std::size_t index) const
    {
        return !m_outage && !m_no_platform[index];
    }
    void tick(std::size_t index)
    {
        host& on = m_hosts[index];
        for (const action& next : on.m_keeper->tick(local(on)))
        {
            if (std::holds_alternative<read_row>(next))
                send_read(index);
            else if (const auto* get = std::get_if<get_object>(&next))
                send_get(index, get->m_hash);
            else if (const auto* fetch = std::get_if<fetch_from_peer>(&next))
                send_fetch(index, *fetch);
        }
        after_on(index, m_tick_interval,
                 [this, index]()
                 {
                     tick(index);
                 });
    }
    // Calls the platform: `at_platform` runs there and gives what runs back at
    // the host. Without contact the call fails later.
    void call_platform(std::size_t index,
                       std::function<std::function<void()>()> at_platform,
                       std::function<void()> failed)
    {
        const auto incarnation = m_hosts[index].m_incarnation;
        after(delay(),
              [this, index, incarnation, at_platform = std::move(at_platform),
               failed = std::move(failed)]()
              {
                  // An answer that is under way arrives although the link
                  // breaks.
                  const bool reached = reaches_platform(index);
                  auto answer = reached ? at_platform() : failed;
                  after(reached ? delay() : 500,
                        [this, index, incarnation, answer]()
                        {
                            run_on(index, incarnation, answer);
                        });
              });
    }
    void send_read(std::size_t index)
    {
        host& on = m_hosts[index];
        const base::instant sent = local(on);
        const auto received =
            [this, index, sent](const base::result<rpc::row_state>& answer)
        {
            host& to = m_hosts[index];
            to.m_keeper->row_read(answer, stamp(to, sent));
            if (answer)
                row_seen(to, answer->m_value);
        };
        call_platform(
            index,
            [this, received]()
            {
                return [received, row = m_row]()
                {
                    received(row);
                };
            },
            [received]()
            {
                received(base::fail(base::error_code::unavailable, "outage"));
            });
    }
    base::instant stamp(const host& on, base::instant sent) const
    {
        return m_options.m_removed == removed::send_time ? local(on) : sent;
    }
    void row_seen(host& on, const std::string& value)
    {
        const auto row = parse_row(value);
        if (row && row->m_current.m_version.value() > 0)
            on.m_judge->row_seen(row->m_current.m_version, local(on));
    }
    void send_get(std::size_t index, const std::string& hash)
    {
        const auto received =
            [this, index,
             hash](const base::result<std::optional<std::string>>& answer)
        {
            host& to = m_hosts[index];
            to.m_keeper->object_read(hash, answer, local(to));
            note_version(to);
        };
        call_platform(
            index,
            [this, received, hash]()
            {
                const auto found = m_objects.find(hash);
                std::optional<std::string> object;
                if (found != m_objects.end())
                    object = found->second;
                return [received, object]()
                {
                    received(object);
                };
            },
            [received]()
            {
                received(base::fail(base::error_code::unavailable, "outage"));
            });
    }
    bool connected(std::size_t one, std::size_t other) const
    {
        return !m_cut[one][other];
    }
    // Sends a request from one host to another and its answer back. What is
    // under way arrives although the link breaks.
    void call_host(std::size_t from, std::size_t to,
                   std::function<std::function<void()>()> at_host)
    {
        if (!connected(from, to))
            return;
        after_on(to, delay(),
                 [this, from, to, at_host = std::move(at_host)]()
                 {
                     auto answer = at_host();
                     if (connected(from, to))
                         after(delay(), std::move(answer));
                 });
    }
    void send_fetch(std::size_t index, const fetch_from_peer& fetch)
    {
        std::size_t to = 0;
        while (id_of(to) != fetch.m_host)
            ++to;
        const auto incarnation = m_hosts[index].m_incarnation;
        call_host(index, to,
                  [this, index, to, incarnation]()
                  {
                      rpc::configuration_object object;
                      const active_configuration* active =
                          m_hosts[to].m_keeper->active();
                      if (active != nullptr)
                          object = {active->m_change.m_version,
                                    active->m_change.m_hash,
                                    active->m_change.m_change_id,
                                    active->m_change.m_author, active->m_bytes};
                      return [this, index, to, incarnation, object]()
                      {
                          run_on(index, incarnation,
                                 [this, index, to, object]()
                                 {
                                     host& on = m_hosts[index];
                                     on.m_keeper->peer_object_read(
                                         id_of(to), object, local(on));
                                     note_version(on);
                                 });
                      };
                  });
    }
    // Passes a new configuration's roster on and starts faults that wait for
    // it.
    void note_version(host& on)
    {
        const active_configuration* active = on.m_keeper->active();
        if (active == nullptr ||
            active->m_change.m_version.value() == on.m_roster_version)
            return;
        on.m_roster_version = active->m_change.m_version.value();
        on.m_judge->roster_seen(active->m_content.m_roster, local(on));
        if (is(scenario::clock_race) && on.m_index == 1 &&
            on.m_roster_version == 2)
            cut({true, true, false}, true);
    }
    // The version that a host reports of itself.
    std::uint64_t announced(const host& on) const
    {
        if (m_options.m_removed == removed::vote_of_established &&
            on.m_keeper->active() != nullptr)
            return on.m_keeper->active()->m_change.m_version.value();
        return on.m_keeper->announced_version().value();
    }
    void exchange(std::size_t index)
    {
        ++m_heartbeats;
        for (std::size_t to = 0; to < m_hosts.size(); ++to)
        {
            if (to != index)
                send_exchange(index, to);
        }
        after_on(index, m_exchange_interval,
                 [this, index]()
                 {
                     exchange(index);
                 });
    }
    std::vector<heard> table_of(const host& on)
    {
        auto table = on.m_heard;
        table[on.m_index] = {on.m_incarnation, m_heartbeats, announced(on)};
        return table;
    }
    void send_exchange(std::size_t index, std::size_t to)
    {
        const host& on = m_hosts[index];
        const base::instant sent = local(on);
        const auto incarnation = on.m_incarnation;
        call_host(index, to,
                  [this, index, to, sent, incarnation, table = table_of(on)]()
                  {
                      host& peer = m_hosts[to];
                      merge(peer, table);
                      return [this, index, to, sent, incarnation,
                              answer = table_of(peer)]()
                      {
                          run_on(index, incarnation,
                                 [this, index, to, sent, answer]()
                                 {
                                     answered(index, to, sent, answer);
                                 });
                      };
                  });
    }
    void merge(host& on, const std::vector<heard>& table)
    {
        for (std::size_t about = 0; about < table.size(); ++about)
        {
            heard& known = on.m_heard[about];
            const heard& told = table[about];
            if (about == on.m_index ||
                std::pair(told.m_incarnation, told.m_heartbeat) <=
                    std::pair(known.m_incarnation, known.m_heartbeat))
                continue;
            if (told.m_incarnation > known.m_incarnation)
                known.m_answered.reset();
            known.m_incarnation = told.m_incarnation;
            known.m_heartbeat = told.m_heartbeat;
            known.m_version = told.m_version;
            known.m_news = local(on);
            on.m_keeper->version_heard(
                id_of(about), base::configuration_version(told.m_version));
        }
    }
    void answered(std::size_t index, std::size_t from, base::instant sent,
                  const std::vector<heard>& table)
    {
        host& on = m_hosts[index];
        // A call gives up after 2 s.
        if (local(on) - sent > absl::Seconds(2))
            return;
        merge(on, table);
        const heard& told = table[from];
        on.m_keeper->peer_version_seen(
            id_of(from), base::configuration_version(told.m_version),
            stamp(on, sent), local(on));
        heard& known = on.m_heard[from];
        if (known.m_incarnation == told.m_incarnation)
            known.m_answered = std::max(known.m_answered.value_or(sent), sent);
    }
    // Announces the host and reads the list.
    void list(std::size_t index)
    {
        const base::instant sent = local(m_hosts[index]);
        call_platform(
            index,
            [this, index, sent]()
            {
                host& on = m_hosts[index];
                on.m_announced_at = m_now;
                on.m_announced_leaving = on.m_leaving;
                return [this, index, sent, hosts = listed()]()
                {
                    list_received(index, sent, hosts);
                };
            },
            []() {});
        after_on(index, 1'000,
                 [this, index]()
                 {
                     list(index);
                 });
    }
    std::vector<rpc::listed_host> listed() const
    {
        std::vector<rpc::listed_host> hosts;
        for (const host& on : m_hosts)
        {
            // The platform drops hosts that it has not heard of for 3 s.
            if (m_now - on.m_announced_at < 3'000)
                hosts.push_back({id_of(on.m_index), "",
                                 base::failure_domain_id(),
                                 on.m_announced_leaving});
        }
        return hosts;
    }
    bool hears(const host& on, std::size_t other) const
    {
        return other == on.m_index ||
               (on.m_heard[other].m_news &&
                local(on) - *on.m_heard[other].m_news < absl::Seconds(1));
    }
    std::vector<rpc::listed_host>
    only_heard(const host& on, std::vector<rpc::listed_host> hosts) const
    {
        std::erase_if(hosts,
                      [&](const rpc::listed_host& listed)
                      {
                          for (std::size_t other = 0; other < m_hosts.size();
                               ++other)
                          {
                              if (id_of(other) == listed.m_host)
                                  return !hears(on, other);
                          }
                          return true;
                      });
        return hosts;
    }
    void list_received(std::size_t index, base::instant sent,
                       const std::vector<rpc::listed_host>& hosts)
    {
        host& on = m_hosts[index];
        if (m_options.m_removed == removed::list_retention)
            on.m_keeper->hosts_listed(as_left(), local(on));
        on.m_keeper->hosts_listed(hosts, local(on));
        on.m_judge->hosts_listed(hosts, sent, local(on));
        m_last_list = hosts;
    }
    void judge(std::size_t index)
    {
        host& on = m_hosts[index];
        weaken(on);

        std::vector<host_report> reports;
        for (std::size_t about = 0; about < m_hosts.size(); ++about)
        {
            const heard& known = on.m_heard[about];
            if (about != index && known.m_incarnation > 0)
                reports.push_back({id_of(about),
                                   base::incarnation(known.m_incarnation),
                                   base::configuration_version(known.m_version),
                                   known.m_news, known.m_answered});
        }
        reports.push_back({id_of(index), base::incarnation(on.m_incarnation),
                           base::configuration_version(announced(on)),
                           local(on), local(on)});
        const std::uint64_t version = on.m_keeper->highest_version().value();
        const acceptance verdict = on.m_judge->judge(
            base::configuration_version(version), reports, local(on));
        if (version > 0 && verdict.m_accepted && version > m_accepted)
        {
            m_accepted = version;
            ++m_report.m_accepted_versions;
        }
        after_on(index, m_judge_interval,
                 [this, index]()
                 {
                     judge(index);
                 });
    }
    // Takes the majority rule out by lists that hold only who is heard.
    void weaken(host& on)
    {
        if (m_last_list.empty())
            return;
        const auto hosts = only_heard(on, m_last_list);
        if (m_options.m_removed == removed::majority_of_keeper)
        {
            on.m_keeper->hosts_listed(as_left(), local(on));
            on.m_keeper->hosts_listed(hosts, local(on));
        }
        if (m_options.m_removed == removed::majority_of_judge)
        {
            on.m_judge->hosts_listed(as_left(), local(on), local(on));
            on.m_judge->hosts_listed(hosts, local(on), local(on));
        }
    }
    // A list of all hosts as leaving: those that the next one lacks have left.
    std::vector<rpc::listed_host> as_left() const
    {
        std::vector<rpc::listed_host> hosts;
        for (const host& on : m_hosts)
            hosts.push_back(
                {id_of(on.m_index), "", base::failure_domain_id(), true});
        return hosts;
    }
    [[nodiscard]] bool is(scenario kind) const
    {
        return m_options.m_scenario == kind;
    }
    // Whether operators and faults are random.
    [[nodiscard]] bool is_random() const
    {
        return is(scenario::all_faults) || is(scenario::outages);
    }

    // Operators.
    void plan_change()
    {
        if (!is_random())
            return begin_change(0);
        if (m_now >= faults_end)
            return;
        for (std::size_t racers = between(1, 3); racers > 0; --racers)
            begin_change(between(0, m_hosts.size() - 1));
        after(1'500 + 5'000 * uniform(),
              [this]()
              {
                  plan_change();
              });
    }
    void begin_change(std::size_t index)
    {
        const host& on = m_hosts[index];
        if (!on.m_running || on.m_paused_until > m_now)
            return;
        const active_configuration* active = on.m_keeper->active();
        operation made;
        made.m_host = index;
        made.m_id = absl::StrCat("change-", m_operations.size());
        content next;
        next.m_inventory_text = made.m_id;
        next.m_roster = on.m_judge->roster(local(on));
        made.m_change = std::make_unique<change>(
            active != nullptr ? active->m_change.m_version
                              : base::configuration_version(),
            next, made.m_id, absl::StrCat("operator-", index), local(on));
        m_operations.push_back(std::move(made));
        step_change(m_operations.size() - 1);
    }
    void step_change(std::size_t number)
    {
        const std::size_t index = m_operations[number].m_host;
        change& running = *m_operations[number].m_change;
        for (change_action& next : running.tick(local(m_hosts[index])))
        {
            if (auto* put = std::get_if<put_content>(&next))
                send_put(number, *put);
            else if (auto* swap = std::get_if<swap_row>(&next))
                send_swap(number, *swap);
            else
                send_read_back(number);
        }
        settle(m_operations[number]);
        if (running.state() == change_state::running)
            after_on(index, 50,
                     [this, number]()
                     {
                         step_change(number);
                     });
    }
    void send_put(std::size_t number, const put_content& put)
    {
        const std::size_t index = m_operations[number].m_host;
        const auto received = [this, number, index](base::result<bool> answer)
        {
            m_operations[number].m_change->content_put(answer,
                                                       local(m_hosts[index]));
        };
        call_platform(
            index,
            [this, received, put]()
            {
                m_objects[put.m_hash] = put.m_bytes;
                return [received]()
                {
                    received(true);
                };
            },
            [received]()
            {
                received(base::fail(base::error_code::unavailable, "outage"));
            });
    }
    void send_swap(std::size_t number, const swap_row& swap)
    {
        const std::size_t index = m_operations[number].m_host;
        const auto received =
            [this, number, index](const base::result<rpc::swap_outcome>& in)
        {
            host& on = m_hosts[index];
            m_operations[number].m_change->row_swapped(in, local(on));
            if (in)
                row_seen(on, in->m_row.m_value);
        };
        const auto failed = [received]()
        {
            received(base::fail(base::error_code::deadline_exceeded, "lost"));
        };
        call_platform(
            index,
            [this, received, failed, swap]() -> std::function<void()>
            {
                rpc::swap_outcome outcome;
                outcome.m_swapped =
                    m_row.m_version == swap.m_expected_row_version;
                if (outcome.m_swapped)
                {
                    m_row = {m_row.m_version + 1, swap.m_value};
                    const auto stored = parse_row(swap.m_value);
                    m_history[stored->m_current.m_version.value()] =
                        stored->m_current.m_change_id;
                }
                outcome.m_row = m_row;
                if (chance(0.25))
                {
                    ++m_report.m_lost_answers;
                    return failed;
                }
                return [received, outcome]()
                {
                    received(outcome);
                };
            },
            failed);
    }
    void send_read_back(std::size_t number)
    {
        const std::size_t index = m_operations[number].m_host;
        const auto received =
            [this, number, index](const base::result<rpc::row_state>& in)
        {
            host& on = m_hosts[index];
            m_operations[number].m_change->row_read(in, local(on));
            if (in)
                row_seen(on, in->m_value);
        };
        call_platform(
            index,
            [this, received]()
            {
                return [received, row = m_row]()
                {
                    received(row);
                };
            },
            [received]()
            {
                received(base::fail(base::error_code::unavailable, "outage"));
            });
    }
    void settle(operation& done)
    {
        if (done.m_counted || done.m_change->state() == change_state::running)
            return;
        done.m_counted = true;
        if (done.m_change->state() == change_state::conflict)
            ++m_report.m_conflicts;
        if (done.m_change->state() == change_state::invalid)
            violation(done.m_id + " is invalid: " + done.m_change->problem());
        if (done.m_change->state() != change_state::stored)
            return;
        const auto version = done.m_change->outcome().m_version.value();
        if (m_history[version] != done.m_id)
            violation(absl::StrCat(done.m_id, " says it is version ", version,
                                   " but ", m_history[version], " is"));
    }

    // Faults.
    void plan_fault()
    {
        if (!is_random())
            return plan_partition();
        if (m_now >= faults_end)
            return;
        const bool all = is(scenario::all_faults);
        const std::size_t kind = between(0, 6);
        if (kind <= 1 && all)
            partition();
        else if (kind == 2 && all)
            cut_pairs();
        else if (kind == 3)
            outage();
        else if (kind == 4 && all)
            m_hosts[between(0, m_hosts.size() - 1)].m_paused_until =
                m_now + 300 + 8'000 * uniform();
        else if (kind == 5 && all)
            stop(between(0, m_hosts.size() - 1), chance(0.4));
        else if (kind == 6)
            m_slow_until = m_now + 1'000 + 4'000 * uniform();
        after(300 + 3'000 * uniform(),
              [this]()
              {
                  plan_fault();
              });
    }
    void cut(const std::vector<bool>& side, bool platform_of_side)
    {
        for (std::size_t one = 0; one < m_hosts.size(); ++one)
        {
            for (std::size_t other = 0; other < m_hosts.size(); ++other)
                m_cut[one][other] = side[one] != side[other];
            m_no_platform[one] = side[one] != platform_of_side;
        }
    }
    void partition()
    {
        std::vector<bool> side;
        std::vector<bool> domain_side;
        for (std::size_t domain = 0; domain < m_hosts.size(); ++domain)
            domain_side.push_back(chance(0.5));
        for (const host& on : m_hosts)
            side.push_back(domain_side[on.m_domain]);
        // Links are often slow before they break, and operators do not know.
        if (chance(0.5))
            m_slow_until = m_now + 3'000;
        if (chance(0.5))
            after(1'500 * uniform(),
                  [this]()
                  {
                      begin_change(between(0, m_hosts.size() - 1));
                  });
        const bool platform_side = chance(0.5);
        const bool platform_away = chance(0.3);
        after(1'000 * uniform(),
              [this, side, platform_side, platform_away]()
              {
                  if (m_now >= faults_end)
                      return;
                  cut(side, platform_side);
                  if (platform_away)
                      m_no_platform.assign(m_hosts.size(), true);
                  after(2'000 + 14'000 * uniform(),
                        [this]()
                        {
                            join();
                        });
              });
    }
    // Hosts that lose sight of some others and, apart from that, the platform.
    void cut_pairs()
    {
        for (std::size_t one = 0; one < m_hosts.size(); ++one)
        {
            for (std::size_t other = 0; other < one; ++other)
                m_cut[one][other] = m_cut[other][one] = chance(0.4);
            m_no_platform[one] = chance(0.4);
        }
        after(2'000 + 14'000 * uniform(),
              [this]()
              {
                  join();
              });
    }
    void join()
    {
        cut(std::vector<bool>(m_hosts.size(), false), false);
    }
    void outage()
    {
        m_outage = true;
        after(1'000 + 15'000 * uniform(),
              [this]()
              {
                  m_outage = false;
              });
    }
    void stop(std::size_t index, bool orderly)
    {
        host& on = m_hosts[index];
        if (!on.m_running || on.m_leaving)
            return;
        moment stopped = 0;
        if (orderly)
        {
            stopped = 1'500;
            on.m_leaving = true;
            on.m_keeper->leave();
            m_ever_left = std::min(m_ever_left + 1, m_hosts.size());
        }
        after(stopped,
              [this, index]()
              {
                  m_hosts[index].m_running = false;
              });
        after(stopped + 200 + 6'000 * uniform(),
              [this, index]()
              {
                  start(index);
              });
    }
    void plan_partition()
    {
        std::vector<bool> side;
        for (std::size_t index = 0; index < m_hosts.size(); ++index)
            side.push_back(index < minority());
        if (is(scenario::clock_race))
        {
            // The last host sees only the second one, which moves the quorum.
            m_cut[0][2] = m_cut[2][0] = m_no_platform[2] = true;
            return begin_change(0);
        }
        if (is(scenario::late_answers))
        {
            m_slow_until = m_now + 1'500;
            after(1'500,
                  [this]()
                  {
                      begin_change(0);
                  });
            return after(1'500 + 100 * uniform(),
                         [this]()
                         {
                             cut({true, true, false}, true);
                         });
        }
        if (is(scenario::restart_among_minority))
            return plan_restart();
        cut(side, true);
        if (is(scenario::platform_with_minority))
            return after(1'000,
                         [this]()
                         {
                             begin_change(0);
                         });
        // Long enough for the list to drop the majority's hosts.
        after(8'000,
              [this, side]()
              {
                  cut(side, false);
              });
        after(9'000,
              [this]()
              {
                  begin_change(m_hosts.size() - 1);
              });
    }
    // A host that has the new version restarts and then sees only those that
    // have the old one.
    void plan_restart()
    {
        cut({true, true, true, false, false}, true);
        after(500,
              [this]()
              {
                  begin_change(0);
              });
        after(9'000 + 2'000 * uniform(),
              [this]()
              {
                  stop(2, false);
                  cut({true, true, false, false, false}, true);
                  m_no_platform.assign(m_hosts.size(), true);
              });
    }
    [[nodiscard]] std::size_t minority() const
    {
        return (m_hosts.size() - 1) / 2;
    }
    void heal()
    {
        m_outage = false;
        cut(std::vector<bool>(m_hosts.size(), false), false);
        for (host& on : m_hosts)
            on.m_paused_until = std::min(on.m_paused_until, m_now);
    }

    // Invariants.
    void check()
    {
        for (host& on : m_hosts)
        {
            note_contact(on);
            if (on.m_running && !on.m_leaving && on.m_paused_until <= m_now)
                check_host(on);
        }
        after(m_check_interval,
              [this]()
              {
                  check();
              });
    }
    void check_host(host& on)
    {
        const active_configuration* active = on.m_keeper->active();
        const std::uint64_t held =
            active != nullptr ? active->m_change.m_version.value() : 0;
        if (held < on.m_highest_held)
            violation(absl::StrCat("host ", on.m_index, " went back from ",
                                   on.m_highest_held, " to ", held));
        on.m_highest_held = held;
        const bool serves = on.m_keeper->is_confirmed(local(on));
        if (serves && held < m_accepted)
            violation(absl::StrCat("host ", on.m_index, " serves version ",
                                   held, " although ", m_accepted,
                                   " is accepted"));
        if (serves && m_now - newest_contact(on) > longest_service &&
            m_options.m_removed == removed::none)
            violation(absl::StrCat("host ", on.m_index,
                                   " is cut off for more than the bound and "
                                   "still confirmed"));
        const bool expected =
            is(scenario::outages) ||
            (is(scenario::platform_with_minority) && on.m_index >= minority());
        if (expected && held > 0 && m_now > 9'500 && !serves)
            violation(absl::StrCat("host ", on.m_index,
                                   " is not confirmed although a majority is "
                                   "in contact"));
    }
    void note_contact(host& on)
    {
        if (reaches_platform(on.m_index))
            on.m_platform_contact = m_now;
        for (std::size_t other = 0; other < m_hosts.size(); ++other)
        {
            if (connected(on.m_index, other))
                on.m_contacts[other] = m_now;
        }
    }
    // When the host could last reach the platform or, taking the last contact
    // with each, a majority.
    moment newest_contact(const host& on) const
    {
        std::vector<moment> contacts = on.m_contacts;
        std::sort(contacts.begin(), contacts.end(), std::greater<>());
        // Hosts that have left make the quorum set smaller.
        const std::size_t smallest = m_hosts.size() - m_ever_left;
        const std::size_t majority = majority_of(smallest);
        return std::max(on.m_platform_contact, contacts[majority - 1]);
    }
    void check_end()
    {
        for (const operation& done : m_operations)
        {
            const bool found = std::any_of(m_history.begin(), m_history.end(),
                                           [&](const auto& item)
                                           {
                                               return item.second == done.m_id;
                                           });
            if (found && done.m_change->state() == change_state::conflict)
                violation(done.m_id + " says conflict but was stored");
        }
        if (m_options.m_removed != removed::none)
            return;
        const std::uint64_t last =
            m_history.empty() ? 0 : m_history.rbegin()->first;
        for (const host& on : m_hosts)
        {
            const active_configuration* active = on.m_keeper->active();
            if (last > 0 && (active == nullptr ||
                             active->m_change.m_version.value() != last ||
                             !on.m_keeper->is_confirmed(local(on))))
                violation(absl::StrCat("host ", on.m_index,
                                       " does not serve the last version"));
        }
        if (m_accepted != last)
            violation(absl::StrCat("version ", last,
                                   " is not accepted without faults, only ",
                                   m_accepted));
    }

    simulation_options m_options;
    std::mt19937_64 m_random;
    simulation_report m_report;
    any_content m_checker;
    moment m_now = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<host> m_hosts;
    std::uint64_t m_heartbeats = 0;
    std::size_t m_ever_left = 0;
    std::vector<operation> m_operations;
    std::vector<rpc::listed_host> m_last_list;

    // The platform and the network.
    rpc::row_state m_row;
    absl::btree_map<std::string, std::string> m_objects;
    absl::btree_map<std::uint64_t, std::string> m_history;
    bool m_outage = false;
    std::vector<bool> m_no_platform;
    std::vector<std::vector<bool>> m_cut;
    moment m_slow_until = 0;
    moment m_tick_interval = 100;
    moment m_exchange_interval = 250;
    moment m_judge_interval = 200;
    moment m_check_interval = 20;
    std::uint64_t m_accepted = 0;
};

} // namespace

simulation_report simulate(const simulation_options& options)
{
    return simulation(options).run();
}

} // namespace magnoliastack::configuration::test
