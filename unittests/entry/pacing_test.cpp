// Endpoints that have just started or recovered.
#include "driver.hpp"

#include <criterion/criterion.h>

using namespace entry_test;

namespace
{

using rpc::statement_kind;

constexpr std::uint64_t callers = 6;

// One host before endpoints that have run for a while.
struct pacing_fixture : fleet_fixture
{
    pacing_fixture() : fleet_fixture(1)
    {
        auto changed = std::make_shared<catalogue::configuration>(
            *m_platform.m_configuration);
        changed->m_version = base::configuration_version(2);
        changed->m_groups[base::group_id("g")].m_max_connections = 200;
        m_platform.configure(changed);
        run(absl::Seconds(4));
        for (std::uint64_t session = 1; session <= callers; ++session)
            m_driver.start(session, "settle");
    }

    void restart_primary()
    {
        m_platform.m_entries.front().m_started_unix_ms = 77;
        run(absl::Seconds(2));
    }

    // All callers write at once.
    void write_all()
    {
        for (std::uint64_t session = 1; session <= callers; ++session)
            m_driver.say(session, statement_kind::write, "WRITE");
    }

    // What the endpoint has been sent; opens connections as they come.
    std::vector<sent_request> take()
    {
        std::vector<sent_request> result;
        while (const auto request = m_driver.next_statement())
            result.push_back(*request);
        return result;
    }

    // Answers everything until nothing is left to run.
    void answer_all()
    {
        for (int round = 0; round < 10; ++round)
        {
            for (const auto& request : take())
                m_driver.succeed(request);
            run(absl::Milliseconds(50));
        }
    }

    driver m_driver{host(0)};
};

} // namespace

// A restarted primary got the work of all callers at once and answered none of
// it in time.
Test(pacing, a_restarted_endpoint_gets_one_statement_and_then_more)
{
    pacing_fixture fleet;
    fleet.restart_primary();
    fleet.write_all();
    auto sent = fleet.take();
    cr_assert_eq(sent.size(), 1);
    std::size_t answered = 0;
    for (int round = 0; round < 10 && answered < callers; ++round)
    {
        // Answers of 10 ms, as quick as the first.
        fleet.m_clock.m_now = fleet.m_clock.m_now + absl::Milliseconds(10);
        for (const auto& request : sent)
            fleet.m_driver.succeed(request);
        answered += sent.size();
        sent = fleet.take();
    }
    cr_assert_eq(answered, callers, "%zu answered", answered);
    for (std::uint64_t session = 1; session <= callers; ++session)
        cr_assert(fleet.m_driver.was_answered(session, "done signature"));
    // Warm again: all are sent at once, but for openings one after another.
    fleet.write_all();
    cr_assert_geq(fleet.take().size(), 3);
}

// While the host itself is new to all endpoints, they are not new.
Test(pacing, endpoints_of_a_host_that_starts_are_served_at_once)
{
    pacing_fixture fleet;
    fleet.write_all();
    // Connections open one after another; nothing is answered meanwhile.
    std::size_t sent = 0;
    for (std::uint64_t round = 0; round < callers; ++round)
    {
        sent += fleet.take().size();
        fleet.run(absl::Milliseconds(50));
    }
    cr_assert_eq(sent, callers, "%zu sent", sent);
    cr_assert_eq(fleet.host(0).m_metrics.counter("pacing.warm_ups").value(), 0);
}

// A statement that waits for its caller's next word must not block the others
// of an endpoint whose limit is one.
Test(pacing, an_open_transaction_does_not_use_up_the_limit)
{
    pacing_fixture fleet;
    fleet.restart_primary();
    fleet.m_driver.say(1, statement_kind::begin, "BEGIN");
    fleet.m_driver.say(1, statement_kind::write, "WRITE");
    auto sent = fleet.take();
    cr_assert_eq(sent.size(), 1);
    fleet.m_driver.say(2, statement_kind::write, "WRITE");
    cr_assert(fleet.take().empty());
    fleet.m_driver.succeed(sent.front(), rpc::transaction_state::open);
    cr_assert_eq(fleet.take().size(), 1);
}

// Reads have other endpoints; they must not wait for one that warms up.
Test(pacing, reads_go_elsewhere_while_the_limit_is_reached)
{
    pacing_fixture fleet;
    fleet.write_all();
    fleet.answer_all();
    fleet.restart_primary();
    // Without a recent answer of the primary no replica is known to be fresh.
    fleet.m_driver.say(1, statement_kind::write, "WRITE");
    auto sent = fleet.take();
    cr_assert_eq(sent.size(), 1);
    fleet.m_driver.succeed(sent.front());
    fleet.write_all();
    cr_assert_eq(fleet.take().size(), 2);
    fleet.m_driver.start(20, "stock");
    fleet.m_driver.say(20, statement_kind::read, "READ");
    sent = fleet.take();
    cr_assert_eq(sent.size(), 1);
    cr_assert_neq(fleet.m_driver.endpoint_of(sent.front()), "e0");
}
