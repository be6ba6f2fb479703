// Planned stops of a host.
#include "failover.hpp"

#include <criterion/criterion.h>

using namespace entry_test;
using rpc::statement_kind;
using rpc::transaction_state;

namespace
{

// So many that one host's suspicion of a busy primary replaces it not yet.
constexpr int large = 6;

// Hosts, the first with a session on the primary's route.
struct drain_fixture : fleet_fixture
{
    driver m_caller{host(0)};

    explicit drain_fixture(int hosts = 1) : fleet_fixture(hosts)
    {
        // Longer than a stop, so that only the stop can end a statement.
        auto slow = std::make_shared<catalogue::configuration>(
            *m_platform.m_configuration);
        slow->m_version = base::configuration_version(2);
        slow->m_routes["settle"].m_statement_timeout = absl::Seconds(20);
        m_platform.configure(slow);
        run(absl::Seconds(1));
        m_caller.start(1, "settle");
        m_caller.take_answers(1);
    }

    [[nodiscard]] bool is_closed(std::uint64_t session)
    {
        return host(0).m_sessions.m_closed.contains(session);
    }
    [[nodiscard]] bool is_drained()
    {
        return host(0).m_host.is_drained();
    }
    [[nodiscard]] std::uint64_t count(const std::string& counter)
    {
        return host(0).m_metrics.counter(counter).value();
    }
    // Lets time pass while the endpoints answer their health checks, so that
    // only the callers' statements wait. The last of these is returned.
    std::optional<sent_request> run_answering(absl::Duration span)
    {
        std::optional<sent_request> held;
        for (absl::Duration passed; passed < span;
             passed += absl::Milliseconds(50))
        {
            run(absl::Milliseconds(50));
            for (auto& each : m_hosts)
                answer_checks(*each, held);
        }
        return held;
    }
    static void answer_checks(fake_host& of, std::optional<sent_request>& held)
    {
        driver endpoints(of);
        endpoints.accept();
        while (const auto request = endpoints.next())
        {
            if (!request->m_request.m_id.empty())
            {
                held = request;
                continue;
            }
            rpc::endpoint_report report;
            report.m_primary = endpoints.endpoint_of(*request) == "e0";
            report.m_term = base::term(1);
            report.m_received = point(1, 100);
            of.m_host.endpoints().report_received(request->m_connection,
                                                  report);
            endpoints.succeed(*request);
        }
    }
    void drain()
    {
        host(0).m_host.drain();
    }
};

} // namespace

// Guards against an answer that comes 4.5 s after SIGTERM and is dropped, and
// against an exit before it is written.
Test(drain, a_slow_endpoint_answers_before_the_exit)
{
    drain_fixture f(large);
    f.m_caller.say(1, statement_kind::write, "WRITE a b");
    const auto request = f.m_caller.next_statement();
    cr_assert(request.has_value());
    f.drain();
    f.run_answering(absl::Milliseconds(4900));
    cr_assert_not(f.is_drained());
    cr_assert_not(f.is_closed(1));
    f.m_caller.succeed(*request);
    cr_assert(f.m_caller.was_answered(1, "done signature"));
    cr_assert(f.is_closed(1));
    f.host(0).m_sessions.m_has_output = true;
    f.run(absl::Milliseconds(100));
    cr_assert_not(f.is_drained(), "the answer is not written yet");
    f.host(0).m_sessions.m_has_output = false;
    f.run(absl::Milliseconds(50));
    cr_assert(f.is_drained());
    cr_assert_eq(f.count("drain.drained"), 1);
}

// Guards against a statement that the exit leaves without an answer.
Test(drain, a_silent_endpoint_is_given_up_with_an_answer)
{
    drain_fixture f(large);
    f.m_caller.say(1, statement_kind::write, "WRITE a b");
    cr_assert(f.m_caller.next_statement().has_value());
    f.drain();
    f.run_answering(absl::Milliseconds(5000));
    cr_assert_not(f.is_closed(1));
    f.run_answering(absl::Milliseconds(350));
    cr_assert(f.is_drained());
    const auto answers = f.m_caller.take_answers(1);
    cr_assert_eq(answers.size(), 2);
    cr_assert_eq(answers[0],
                 std::string("err ") +
                     rpc::to_string(rpc::statement_error::unknown_outcome));
    cr_assert(f.is_closed(1));
}

// Guards against an exit that waits for a caller who does not read.
Test(drain, output_that_nobody_reads_ends_at_the_limit)
{
    drain_fixture f;
    f.host(0).m_sessions.m_has_output = true;
    f.drain();
    f.run(absl::Milliseconds(5300));
    cr_assert_not(f.is_drained());
    f.run(absl::Milliseconds(150));
    cr_assert(f.is_drained());
    cr_assert_eq(f.count("drain.time_over"), 1);
}

// A session that always has a next statement was served until the end, and the
// last statement was lost.
Test(drain, a_session_that_keeps_sending_is_closed_between_operations)
{
    drain_fixture f;
    f.drain();
    int served = 0;
    for (int step = 0; step < 100 && !f.is_closed(1); ++step)
    {
        f.m_caller.take_answers(1);
        f.m_caller.say(1, statement_kind::write, "WRITE a b");
        f.m_caller.say(1, statement_kind::write, "WRITE a c");
        f.run(absl::Milliseconds(50));
        while (const auto request = f.m_caller.next_statement())
        {
            f.m_caller.succeed(*request);
            ++served;
        }
    }
    cr_assert_gt(served, 80, "served until sessions are handed over");
    cr_assert_lt(served, 100);
    cr_assert(f.is_closed(1));
    const auto answers = f.m_caller.take_answers(1);
    cr_assert_eq(answers.size(), 4, "%zu", answers.size());
    cr_assert_eq(answers[2], "err busy");
    f.run(absl::Milliseconds(50));
    cr_assert(f.is_drained(), "the exit waits for nothing");
}

// Guards against an operation that begins when it cannot end any more, on an
// open session or a new one.
Test(drain, nothing_begins_after_the_hand_over)
{
    drain_fixture f;
    f.m_caller.say(1, statement_kind::begin, "BEGIN");
    f.drain();
    f.run(absl::Milliseconds(2300));
    cr_assert_not(f.is_closed(1));
    f.m_caller.start(2, "settle");
    cr_assert(f.m_caller.was_answered(2, "err busy"));
    cr_assert(f.is_closed(2));
    f.m_caller.take_answers(1);
    f.m_caller.say(1, statement_kind::roll_back, "ROLLBACK");
    cr_assert(f.m_caller.was_answered(1, "done -"));
    cr_assert(f.is_closed(1));
}

// Guards against a transaction that is cut while it has time, and against a
// running statement of it whose answer is lost when that time is over.
Test(drain, an_open_transaction_goes_on_until_half_of_the_limit)
{
    drain_fixture f(large);
    f.m_caller.say(1, statement_kind::begin, "BEGIN");
    f.drain();
    f.run_answering(absl::Milliseconds(2800));
    f.m_caller.say(1, statement_kind::write, "WRITE a b");
    const auto request = f.m_caller.next_statement(transaction_state::open);
    cr_assert(request.has_value());
    f.run_answering(absl::Milliseconds(600));
    cr_assert_not(f.is_closed(1));
    f.m_caller.say(1, statement_kind::commit, "COMMIT");
    f.m_caller.take_answers(1);
    f.m_caller.succeed(*request, transaction_state::open);
    const std::vector<std::string> expected{"done signature", "ready T",
                                            "err aborted", "ready I"};
    cr_assert(f.m_caller.take_answers(1) == expected);
    cr_assert(f.is_closed(1));
    f.run(absl::Milliseconds(50));
    cr_assert(f.is_drained());
}

// Guards against an idle transaction that delays the exit.
Test(drain, a_transaction_without_statements_ends_at_half_of_the_limit)
{
    drain_fixture f;
    f.m_caller.say(1, statement_kind::begin, "BEGIN");
    f.drain();
    f.run(absl::Milliseconds(2950));
    cr_assert_not(f.is_closed(1));
    f.run(absl::Milliseconds(100));
    cr_assert(f.is_closed(1));
    cr_assert(f.is_drained());
}

// On a day with rolling restarts and an unreachable store, requests were lost
// because sessions were served until the end. The host keeps its tokens and its
// place in the fleet while a session needs them.
Test(drain, a_stop_without_the_store_serves_until_the_hand_over)
{
    drain_fixture f(3);
    for (auto& host : f.m_hosts)
        host->m_store.m_reachable = false;
    f.drain();
    f.m_caller.say(1, statement_kind::begin, "BEGIN");
    f.run(absl::Milliseconds(2400));
    f.m_caller.say(1, statement_kind::write, "WRITE a b");
    const auto write = f.m_caller.next_statement(transaction_state::open);
    cr_assert(write.has_value(), "the host has left the fleet");
    f.m_caller.succeed(*write, transaction_state::open);
    f.m_caller.say(1, statement_kind::commit, "COMMIT");
    const auto commit = f.m_caller.next_statement();
    cr_assert(commit.has_value());
    cr_assert(f.host(0).m_host.primary(base::group_id("g")).has_value());
    f.m_caller.succeed(*commit);
    cr_assert(f.is_closed(1));
    f.run(absl::Milliseconds(50));
    cr_assert(f.is_drained());
    cr_assert_not(f.host(0).m_host.primary(base::group_id("g")).has_value());
}

// Guards against a second SIGTERM that starts the stop anew or shortens it.
Test(drain, a_second_stop_changes_nothing)
{
    drain_fixture f;
    f.drain();
    f.run(absl::Milliseconds(2100));
    f.drain();
    cr_assert_not(f.is_closed(1));
    f.run(absl::Milliseconds(150));
    cr_assert(f.is_closed(1));
    f.drain();
    f.run(absl::Milliseconds(50));
    cr_assert(f.is_drained());
    cr_assert_eq(f.count("drain.started"), 1);
}
