// Endpoints that are slow after their start.
#include "driver.hpp"

#include <criterion/criterion.h>

#include <cstdio>

using namespace entry_test;

namespace
{

using rpc::statement_kind;

constexpr double cold_rate = 20;
constexpr double largest_in_a_second = cold_rate * 1.5 + 5;
constexpr std::size_t steps_of_a_second = 20;

// Callers at every host of a fleet, and counts of all that reaches each
// endpoint.
struct cold_fixture : fleet_fixture
{
    explicit cold_fixture(int hosts) : fleet_fixture(hosts)
    {
        auto changed = std::make_shared<catalogue::configuration>(
            *m_platform.m_configuration);
        changed->m_version = base::configuration_version(2);
        changed->m_groups[base::group_id("g")].m_cold_rate = cold_rate;
        changed->m_groups[base::group_id("g")].m_max_connections = 400;
        m_platform.configure(changed);
        run(absl::Seconds(8));
    }

    void restart_endpoints(absl::Duration cold_left)
    {
        for (auto& entry : m_platform.m_entries)
        {
            entry.m_started_unix_ms = m_clock.unix_ms();
            entry.m_cold_left = cold_left;
        }
        run(absl::Seconds(4));
        for (auto& host : m_hosts)
        {
            host->m_endpoints.m_requests.clear();
            driver(*host).accept();
        }
    }

    // One step with a caller at each host; every third runs a transaction.
    void step_with_callers()
    {
        run(absl::Milliseconds(50));
        for (auto& host : m_hosts)
        {
            driver caller(*host);
            const std::uint64_t session = ++m_sessions;
            caller.start(session, session % 2 == 0 ? "stock" : "settle");
            if (session % 3 == 0)
            {
                caller.say(session, statement_kind::begin, "BEGIN");
                caller.say(session, statement_kind::write, "WRITE");
                caller.say(session, statement_kind::commit, "COMMIT");
            }
            else
                caller.say(session, statement_kind::read, "READ");
            answer(*host);
        }
        for (auto& [endpoint, counts] : m_counts)
        {
            counts.push_back(std::exchange(m_step[endpoint], 0));
            std::size_t sum = 0;
            for (std::size_t back = 0;
                 back < std::min(steps_of_a_second, counts.size()); ++back)
                sum += counts[counts.size() - 1 - back];
            m_largest = std::max(m_largest, sum);
            m_total += counts.back();
        }
    }

    void answer(fake_host& host)
    {
        using action = rpc::endpoint_request::action;
        driver caller(host);
        for (int round = 0; round < 50; ++round)
        {
            auto& links = host.m_endpoints;
            for (const auto number : links.m_opening)
                ++m_step[links.m_open.at(number).m_endpoint.str()];
            caller.accept();
            const auto request = caller.next();
            if (!request)
                return;
            ++m_step[caller.endpoint_of(*request)];
            const auto what = request->m_request.m_action;
            if (what == action::begin || what == action::begin_read_only)
                m_open.insert({&host, request->m_connection});
            if (what == action::roll_back ||
                request->m_request.m_text == "COMMIT")
                m_open.erase({&host, request->m_connection});
            caller.succeed(*request,
                           m_open.contains({&host, request->m_connection})
                               ? rpc::transaction_state::open
                               : rpc::transaction_state::idle);
        }
    }

    void run_callers(absl::Duration span)
    {
        for (absl::Duration passed; passed < span;
             passed += absl::Milliseconds(50))
            step_with_callers();
    }

    std::map<std::string, std::size_t> m_step;
    std::map<std::string, std::vector<std::size_t>> m_counts = {
        {"e0", {}}, {"e1", {}}, {"e2", {}}};
    std::set<std::pair<fake_host*, base::connection_generation>> m_open;
    std::size_t m_largest = 0;
    std::size_t m_total = 0;
    std::uint64_t m_sessions = 0;
};

} // namespace

// Dozens of hosts that each send a little are a herd for an endpoint that has
// just started.
Test(cold_endpoint, all_hosts_together_stay_within_the_rate)
{
    cold_fixture fleet(40);
    fleet.restart_endpoints(absl::Seconds(30));
    fleet.run_callers(absl::Seconds(6));
    std::printf("40 hosts: at most %zu requests in a second, %zu in all\n",
                fleet.m_largest, fleet.m_total);
    cr_assert_leq(fleet.m_largest, largest_in_a_second);
    // The primary serves all of the rate that its four hosts may send.
    cr_assert_geq(fleet.m_total, 6 * cold_rate * 0.6);
}

// Hosts that do not hear each other, that have just joined or that others have
// marked must not add senders.
Test(cold_endpoint, hosts_that_differ_on_the_members_stay_within_the_rate)
{
    cold_fixture fleet(40);
    fleet.restart_endpoints(absl::Seconds(60));
    fleet.run_callers(absl::Seconds(2));
    for (std::size_t index = 0; index < 20; ++index)
        fleet.host(index).m_heard = false;
    for (std::size_t index = 0; index < 10; ++index)
        fleet.host(index).m_store.m_reachable = false;
    for (int added = 0; added < 3; ++added)
        fleet.m_hosts.push_back(std::make_unique<fake_host>(
            "new" + std::to_string(added), fleet.m_platform, fleet.m_clock));
    fleet.run_callers(absl::Seconds(14));
    for (auto& host : fleet.m_hosts)
    {
        host->m_heard = true;
        host->m_store.m_reachable = true;
    }
    fleet.run_callers(absl::Seconds(6));
    std::printf("hosts that differ: at most %zu requests in a second, %zu in "
                "all\n",
                fleet.m_largest, fleet.m_total);
    cr_assert_leq(fleet.m_largest, largest_in_a_second);
    cr_assert_geq(fleet.m_total, 22 * cold_rate * 0.3);
}

// A fleet of three hosts must not send the whole rate from each of them.
Test(cold_endpoint, a_small_fleet_divides_the_rate_by_its_hosts)
{
    cold_fixture fleet(3);
    fleet.restart_endpoints(absl::Seconds(20));
    fleet.run_callers(absl::Seconds(5));
    cr_assert_leq(fleet.m_largest, largest_in_a_second);
    cr_assert_geq(fleet.m_total, 5 * cold_rate * 0.6);
}

// An endpoint that is warm is served as before, and so is every endpoint of a
// group that declares no rate.
Test(cold_endpoint, nothing_is_limited_after_the_cold_time)
{
    cold_fixture fleet(3);
    fleet.restart_endpoints(absl::Seconds(5));
    fleet.run(absl::Seconds(3));
    fleet.run_callers(absl::Seconds(2));
    cr_assert_geq(fleet.m_largest, 60);
    cr_assert_eq(
        fleet.host(0).m_metrics.counter("refused.cold_endpoint").value(), 0);
}

// A commit that still waits for the cold endpoint has not been sent, so the
// caller must not be told that its outcome is unknown.
Test(cold_endpoint, a_commit_that_waits_for_a_token_is_no_unknown_outcome)
{
    cold_fixture fleet(1);
    fleet.restart_endpoints(absl::Seconds(60));
    driver caller(fleet.host(0));
    caller.start(1, "settle");
    caller.say(1, statement_kind::begin, "BEGIN");
    caller.say(1, statement_kind::write, "WRITE");
    std::optional<sent_request> write;
    for (int count = 0; count < 20 && !write; ++count)
    {
        write = caller.next_statement(rpc::transaction_state::open);
        fleet.run(absl::Milliseconds(50));
    }
    cr_assert(write.has_value());
    fleet.run(absl::Milliseconds(50));
    caller.succeed(*write, rpc::transaction_state::open);
    // Takes the token that there may be.
    caller.say(1, statement_kind::write, "WRITE");
    const auto second = caller.next();
    if (second)
        caller.succeed(*second, rpc::transaction_state::open);
    caller.say(1, statement_kind::commit, "COMMIT");
    cr_assert_not(caller.next().has_value());
    caller.take_answers(1);
    caller.lose(*write);
    cr_assert(caller.was_answered(1, "err aborted"));
}
