// Statements that run on connections of other hosts.
#include "forwarding.hpp"

#include <criterion/criterion.h>

using namespace entry_test;
using rpc::statement_error;
using rpc::statement_kind;
using rpc::transaction_state;

namespace
{

constexpr std::size_t nobody = 1000;

// A caller at a host that holds no connections to the primary g0e0, and the
// holders that it is forwarded to.
struct forwarding_fixture : forwarding_fleet
{
    // Session 1 of the caller writes to the primary.
    forwarding_fixture()
    {
        for (m_sender = 0; m_sender < m_hosts.size(); ++m_sender)
        {
            caller().start(1, "w0", key(0));
            caller().take_answers(1);
            say(statement_kind::read, "READ probe");
            m_streams.run();
            if (counter(m_sender, "forwarded.sent") == 1)
                break;
            finish_all(m_sender);
        }
        m_holder = serving();
        cr_assert_neq(m_holder, nobody);
        finish_all(m_holder);
        m_streams.run();
        cr_assert(was("done signature"));
        caller().take_answers(1);
    }

    driver caller()
    {
        return driver(*m_hosts[m_sender]);
    }
    driver holder()
    {
        return driver(*m_hosts[m_holder]);
    }
    void say(statement_kind kind, const std::string& text)
    {
        caller().say(1, kind, text);
    }
    // The same, until the holder has it.
    void forward(statement_kind kind, const std::string& text)
    {
        say(kind, text);
        m_streams.run();
    }
    bool was(const std::string& answer)
    {
        return caller().was_answered(1, answer);
    }
    // The host that runs a statement at present.
    std::size_t serving()
    {
        for (std::size_t index = 0; index < m_hosts.size(); ++index)
            if (!m_hosts[index]->m_endpoints.m_requests.empty() ||
                !m_hosts[index]->m_endpoints.m_opening.empty())
                return index;
        return nobody;
    }
    void finish_all(std::size_t host)
    {
        driver endpoints(*m_hosts[host]);
        while (const auto request = endpoints.next_statement())
            endpoints.succeed(*request);
    }
    // Begins a transaction, runs its first statement at the holder.
    void open_transaction()
    {
        say(statement_kind::begin, "BEGIN");
        forward(statement_kind::write, "WRITE a b");
        const auto first = holder().next_statement();
        cr_assert(first.has_value());
        holder().succeed(*first, transaction_state::open);
        m_streams.run();
        cr_assert(was("ready T"));
        caller().take_answers(1);
    }
    std::size_t other_holder()
    {
        for (const auto host : connected("g0e0"))
            if (host != m_holder)
                return host;
        return nobody;
    }

    std::size_t m_sender = 0;
    std::size_t m_holder = nobody;
};

} // namespace

// Each host opened a connection of the organisation for nearly every operation.
Test(forwarding, the_statement_runs_on_the_holders_idle_connection)
{
    forwarding_fixture f;
    const auto opened = f.counter(f.m_holder, "connections.opened");
    f.forward(statement_kind::write, "WRITE a b");
    const auto request = f.holder().next_statement();
    cr_assert(request.has_value());
    cr_assert_eq(request->m_request.m_id, "id-WRITE a b");
    f.holder().succeed(*request, transaction_state::idle, point(1, 140));
    f.m_streams.run();
    cr_assert(f.was("done signature"));
    cr_assert(f.was("ready I"));
    cr_assert_eq(f.counter(f.m_holder, "connections.opened"), opened);
    cr_assert_eq(f.counter(f.m_sender, "connections.opened"), 0u);
}

// A transaction that changed its connection would see another one's data.
Test(forwarding, a_transaction_stays_on_one_connection_until_its_commit)
{
    forwarding_fixture f;
    f.open_transaction();
    f.forward(statement_kind::read, "READ a");
    const auto second = f.holder().next_statement();
    cr_assert(second.has_value());
    f.holder().succeed(*second, transaction_state::open);
    f.m_streams.run();
    f.forward(statement_kind::commit, "COMMIT");
    const auto commit = f.holder().next_statement();
    cr_assert(commit.has_value());
    cr_assert(commit->m_connection == second->m_connection);
    f.holder().succeed(*commit, transaction_state::idle, point(1, 150));
    f.m_streams.run();
    cr_assert(f.was("ready I"));
    cr_assert_eq(f.m_hosts[f.m_holder]->m_host.served_count(), 0u);
}

// A roll back that stays here leaves the transaction's locks at the endpoint.
Test(forwarding, a_roll_back_reaches_the_endpoint)
{
    forwarding_fixture f;
    f.open_transaction();
    f.forward(statement_kind::roll_back, "ROLLBACK");
    cr_assert(f.was("ready I"));
    const auto request = f.holder().next();
    cr_assert(request.has_value());
    cr_assert(request->m_request.m_action ==
              rpc::endpoint_request::action::roll_back);
    cr_assert_eq(f.m_hosts[f.m_holder]->m_host.served_count(), 0u);
}

// A caller that leaves would keep a connection of the holder for ever.
Test(forwarding, a_closed_session_ends_its_transaction_at_the_holder)
{
    forwarding_fixture f;
    f.open_transaction();
    f.m_hosts[f.m_sender]->m_host.sessions().session_closed(
        rpc::session_number(1));
    f.m_streams.run();
    cr_assert_eq(f.m_hosts[f.m_holder]->m_host.served_count(), 0u);
}

// A connection of the holder that ends between two statements has rolled the
// transaction back; a commit after that must not succeed.
Test(forwarding, a_transaction_lost_at_the_holder_is_aborted)
{
    forwarding_fixture f;
    f.open_transaction();
    f.forward(statement_kind::read, "READ a");
    const auto second = f.holder().next_statement();
    f.holder().succeed(*second, transaction_state::open);
    f.m_streams.run();
    f.holder().lose(*second);
    f.m_streams.run();
    f.caller().take_answers(1);
    f.forward(statement_kind::commit, "COMMIT");
    cr_assert(f.was("err aborted"));
}

// Failure table: stream lost, statement not answered. A repeated write would
// be done twice.
Test(forwarding, a_write_on_a_lost_stream_is_unknown_and_not_repeated)
{
    forwarding_fixture f;
    f.forward(statement_kind::write, "WRITE a b");
    const auto request = f.holder().next_statement();
    cr_assert(request.has_value());
    f.m_streams.cut(f.name(f.m_sender), f.name(f.m_holder));
    f.m_streams.run();
    cr_assert(f.was("err unknown_outcome"));
    f.run(absl::Milliseconds(300));
    for (std::size_t host = 0; host < f.m_hosts.size(); ++host)
        cr_assert_not(driver(*f.m_hosts[host]).next_statement().has_value());
}

// Failure table: stream lost. A read does no harm twice.
Test(forwarding, a_read_on_a_lost_stream_is_repeated_elsewhere)
{
    forwarding_fixture f;
    f.forward(statement_kind::read, "READ a");
    cr_assert(f.holder().next_statement().has_value());
    f.m_streams.cut(f.name(f.m_sender), f.name(f.m_holder));
    f.m_streams.run();
    f.run(absl::Milliseconds(100));
    const std::size_t next = f.serving();
    cr_assert_neq(next, nobody);
    cr_assert_neq(next, f.m_holder);
    f.finish_all(next);
    f.m_streams.run();
    cr_assert(f.was("done signature"));
}

// Failure table: stream lost, open transactions of that stream. Their locks
// would stay at the endpoint.
Test(forwarding, a_lost_stream_rolls_its_transactions_back)
{
    forwarding_fixture f;
    f.open_transaction();
    f.m_streams.cut(f.name(f.m_sender), f.name(f.m_holder));
    f.m_streams.run();
    const auto request = f.holder().next();
    cr_assert(request.has_value());
    cr_assert(request->m_request.m_action ==
              rpc::endpoint_request::action::roll_back);
    f.forward(statement_kind::commit, "COMMIT");
    cr_assert(f.was("err aborted"));
}

// Failure table: holder refuses. What was truly not run must reach the caller
// neither as unknown nor as a failure.
Test(forwarding, a_refused_write_goes_to_the_next_holder_and_then_to_an_own_one)
{
    forwarding_fixture f;
    for (auto& entry : f.m_platform.m_entries)
        entry.m_started_unix_ms = 78;
    // Only the sender learns of the restart, so both holders refuse.
    f.m_hosts[f.m_sender]->m_host.endpoints_changed(f.m_platform.m_entries,
                                                    f.m_clock.m_now);
    f.forward(statement_kind::write, "WRITE a b");
    cr_assert_eq(f.counter(f.m_sender, "forwarded.refused.restarted"), 2u);
    const auto request = f.caller().next_statement();
    cr_assert(request.has_value());
    f.caller().succeed(*request);
    cr_assert(f.was("done signature"));
}

// Failure table: holder refuses (full). A statement that waits at a holder for
// longer than its sender can spare is refused to its caller in the end.
Test(forwarding, a_statement_that_cannot_start_at_the_holder_goes_elsewhere)
{
    forwarding_fixture f;
    // All of the holder's connections (0.45 of 30) are taken by transactions
    // of its own callers.
    driver own = f.holder();
    for (std::uint64_t session = 100; session < 113; ++session)
    {
        own.start(session, "w0", f.key(session % 20));
        own.say(session, statement_kind::begin, "BEGIN");
        own.say(session, statement_kind::read, "READ x");
        const auto request = own.next_statement();
        cr_assert(request.has_value(), "session %d", static_cast<int>(session));
        own.succeed(*request, transaction_state::open);
    }
    f.forward(statement_kind::write, "WRITE a b");
    cr_assert_not(f.holder().next_statement().has_value());
    f.run(absl::Milliseconds(300));
    cr_assert_eq(f.counter(f.m_sender, "forwarded.refused.full"), 1u);
    const std::size_t next = f.serving();
    cr_assert_neq(next, nobody);
    cr_assert_neq(next, f.m_holder);
    f.finish_all(next);
    f.m_streams.run();
    cr_assert(f.was("done signature"));
}

// Failure table: holder is killed or frozen. Callers would wait for it until
// their limits, one after the other.
Test(forwarding, a_frozen_holder_is_left_after_half_a_second_and_not_used)
{
    forwarding_fixture f;
    f.m_streams.m_silent.insert(f.name(f.m_holder));
    f.forward(statement_kind::read, "READ a");
    f.run(absl::Milliseconds(600));
    cr_assert_eq(f.counter(f.m_sender, "forwarded.lost"), 1u);
    const auto sent = f.counter(f.m_sender, "forwarded.sent");
    const std::size_t next = f.serving();
    cr_assert_neq(next, nobody);
    f.finish_all(next);
    f.m_streams.run();
    cr_assert(f.was("done signature"));
    cr_assert_eq(f.counter(f.m_sender, "forwarded.lost"), 1u);
    cr_assert_leq(sent, 3u);
    // Nothing was learnt about the endpoint.
    cr_assert_eq(f.m_hosts[f.m_sender]->m_host.runner().unreachable_for(
                     base::endpoint_id("g0e0"), f.m_clock.m_now),
                 absl::ZeroDuration());
    f.m_streams.m_silent.clear();
    f.run(absl::Milliseconds(1500));
    f.forward(statement_kind::read, "READ b");
    cr_assert_eq(f.serving(), next, "the holder is left alone for 2 s");
    f.finish_all(next);
    f.run(absl::Seconds(1));
    f.forward(statement_kind::read, "READ c");
    cr_assert_eq(f.serving(), f.m_holder, "and used again after that");
}

// A host that has no connection of its own would never learn that an endpoint
// has died, and its primary would not be replaced.
Test(forwarding, an_endpoint_that_no_holder_reaches_is_tried_by_the_sender)
{
    forwarding_fixture f;
    const base::endpoint_id dead("g0e0");
    f.forward(statement_kind::read, "READ a");
    for (int step = 0; step < 40; ++step)
    {
        f.run(absl::Milliseconds(50));
        // The others answer.
        for (auto& host : f.m_hosts)
            for (const auto number : std::vector(host->m_endpoints.m_opening))
                if (host->m_endpoints.m_open.at(number).m_endpoint != dead)
                    host->m_host.endpoints().opened(number, point(1, 100));
        if (f.m_hosts[f.m_sender]->m_host.runner().unreachable_for(
                dead, f.m_clock.m_now) > absl::ZeroDuration())
            return;
        if (f.was("ready I"))
        {
            f.caller().take_answers(1);
            f.forward(statement_kind::read, "READ a");
        }
    }
    cr_assert_fail("the sender has not noticed");
}

// A primary that many hosts use through holders only would look silent to
// whoever judges it.
Test(forwarding, an_answer_through_a_holder_shows_that_the_endpoint_answers)
{
    forwarding_fixture f;
    f.run(absl::Milliseconds(500));
    const auto before = f.m_clock.m_now - absl::Milliseconds(100);
    const base::endpoint_id primary("g0e0");
    auto& runner = f.m_hosts[f.m_sender]->m_host.runner();
    cr_assert_not(runner.has_answered_since(primary, before));
    f.forward(statement_kind::read, "READ a");
    f.finish_all(f.m_holder);
    f.m_streams.run();
    cr_assert(runner.has_answered_since(primary, before));
}

// A frame that is too long closes the stream with all that others wait for.
Test(forwarding, an_answer_that_fits_into_no_frame_is_fetched_directly)
{
    forwarding_fixture f;
    f.forward(statement_kind::read, "READ a");
    while (f.serving() != f.m_sender)
    {
        const std::size_t at = f.serving();
        cr_assert_neq(at, nobody);
        driver endpoints(*f.m_hosts[at]);
        const auto request = endpoints.next_statement();
        cr_assert(request.has_value());
        for (int row = 0; row < 20; ++row)
            endpoints.m_host.m_host.endpoints().row_received(
                request->m_connection, std::string(100000, 'x'));
        endpoints.succeed(*request);
        f.m_streams.run();
    }
    const auto request = f.caller().next_statement();
    cr_assert(request.has_value());
    f.caller().succeed(*request);
    cr_assert(f.was("done signature"));
    cr_assert_eq(f.counter(f.m_sender, "forwarded.lost"), 0u);
}

// Failure table: the holder was itself paused. A write whose caller was told
// long ago that its outcome is unknown must not run then.
Test(forwarding, a_paused_holder_runs_nothing_that_waited_in_its_streams)
{
    forwarding_fixture f;
    f.m_streams.m_silent.insert(f.name(f.m_holder));
    f.forward(statement_kind::write, "WRITE a b");
    f.run(absl::Milliseconds(700));
    cr_assert(f.was("err unknown_outcome"));
    f.m_streams.m_silent.clear();
    // The stream is read before the first tick.
    f.m_streams.run();
    cr_assert_not(f.holder().next_statement().has_value());
    f.run(absl::Milliseconds(100));
    cr_assert_not(f.holder().next_statement().has_value());
    cr_assert_eq(f.counter(f.m_holder, "forwarded.own_pause"), 1u);
}

// Failure table: holder gets SIGTERM. New work would be cut off by its end.
Test(forwarding, a_draining_holder_finishes_its_work_and_gets_no_more)
{
    forwarding_fixture f;
    f.open_transaction();
    f.m_hosts[f.m_holder]->m_host.drain();
    f.m_streams.run();
    f.forward(statement_kind::commit, "COMMIT");
    const auto commit = f.holder().next_statement();
    cr_assert(commit.has_value());
    f.holder().succeed(*commit);
    f.m_streams.run();
    cr_assert(f.was("done signature"));
    f.caller().take_answers(1);
    f.forward(statement_kind::read, "READ a");
    cr_assert_not(f.holder().next_statement().has_value());
    const std::size_t next = f.serving();
    cr_assert_neq(next, nobody);
    f.finish_all(next);
    f.m_streams.run();
    cr_assert(f.was("done signature"));
}

// Failure table: holder restarts under the same address. Its new process knows
// nothing of the transaction, and counts its statements anew.
Test(forwarding, a_restarted_holder_has_lost_the_transactions)
{
    forwarding_fixture f;
    f.open_transaction();
    f.m_streams.m_incarnations[f.name(f.m_holder)] = base::incarnation(2);
    f.m_hosts[f.m_sender]->m_host.forwarding().message_received(
        f.name(f.m_holder), base::incarnation(2), rpc::forwarded_answer{});
    f.forward(statement_kind::commit, "COMMIT");
    cr_assert(f.was("err aborted"));
}

// The same seen by the holder: numbers of the sender's new process would meet
// transactions of the old one.
Test(forwarding, a_restarted_sender_has_lost_its_transactions)
{
    forwarding_fixture f;
    f.open_transaction();
    cr_assert_eq(f.m_hosts[f.m_holder]->m_host.served_count(), 1u);
    f.m_hosts[f.m_holder]->m_host.forwarding().message_received(
        f.name(f.m_sender), base::incarnation(2), rpc::forwarding_draining{});
    cr_assert_eq(f.m_hosts[f.m_holder]->m_host.served_count(), 0u);
}

// Failure table: the group's primary moves. An answer of the old primary that
// came later would be taken for the group's.
Test(forwarding, no_answer_of_a_primary_that_moved_is_taken)
{
    forwarding_fixture f;
    f.open_transaction();
    f.forward(statement_kind::commit, "COMMIT");
    const auto commit = f.holder().next_statement();
    cr_assert(commit.has_value());
    const base::endpoint_id old("g0e0");
    auto& runner = f.m_hosts[f.m_sender]->m_host.runner();
    cr_assert_eq(runner.in_flight(old), 1u);
    runner.drop_connections(old, f.m_clock.m_now);
    cr_assert_eq(runner.in_flight(old), 0u);
    cr_assert(f.was("err unknown_outcome"));
    f.caller().take_answers(1);
    f.holder().succeed(*commit);
    f.m_streams.run();
    cr_assert(f.caller().take_answers(1).empty());
    cr_assert_eq(f.m_hosts[f.m_holder]->m_host.served_count(), 0u);
}

// Failure table: peer without forwarding. Its refusal says that nothing was
// run, and each further try would cost a round trip.
Test(forwarding, a_peer_that_does_not_listen_is_not_used_for_ten_seconds)
{
    forwarding_fixture f;
    f.m_streams.m_refusing.insert(f.name(f.m_holder));
    f.m_streams.cut(f.name(f.m_sender), f.name(f.m_holder));
    f.m_streams.run();
    f.forward(statement_kind::write, "WRITE a b");
    f.m_streams.run();
    cr_assert_eq(f.counter(f.m_sender, "forwarded.refused.not_listening"), 1u);
    const std::size_t next = f.serving();
    cr_assert_neq(next, nobody);
    f.finish_all(next);
    f.m_streams.run();
    cr_assert(f.was("done signature"));
    f.run(absl::Seconds(9));
    f.forward(statement_kind::read, "READ a");
    cr_assert_eq(f.counter(f.m_sender, "forwarded.refused.not_listening"), 1u);
}

// Failure table: holders' views differ. A host that is no holder in its own
// view would send the statement on, perhaps in a circle.
Test(forwarding, a_host_that_is_no_holder_runs_the_statement_itself)
{
    forwarding_fixture f;
    const std::size_t stranger = f.m_sender;
    rpc::forwarded_statement what;
    what.m_number = rpc::forwarding_number(1);
    what.m_endpoint = base::endpoint_id("g0e0");
    what.m_endpoint_started_unix_ms = 77;
    what.m_group = base::group_id("g0");
    what.m_organisation = base::organisation_id("o1");
    what.m_statement = statement(statement_kind::read, "READ a");
    what.m_time_left = absl::Seconds(1);
    what.m_start_within = absl::Milliseconds(200);
    f.m_hosts[stranger]->m_host.forwarding().message_received(
        f.name((stranger + 1) % f.m_hosts.size()), base::incarnation(1), what);
    cr_assert(driver(*f.m_hosts[stranger]).next_statement().has_value());
}

// A read of the session that did not see its own write, because the write's
// log point stayed at the holder.
Test(forwarding, the_senders_session_keeps_its_own_writes_and_log_points)
{
    forwarding_fixture f;
    f.run(absl::Milliseconds(100));
    f.forward(statement_kind::write, "WRITE a b");
    const auto write = f.holder().next_statement();
    f.m_clock.m_now = f.m_clock.m_now + absl::Milliseconds(40);
    const auto answered = f.m_clock.m_now;
    f.holder().succeed(*write, transaction_state::idle, point(1, 900));
    f.m_streams.run();
    const auto* group =
        f.m_hosts[f.m_sender]->m_host.runner().find_group(base::group_id("g0"));
    const auto newest = group->m_bounds.newest();
    cr_assert(newest.has_value());
    cr_assert(newest->m_point == point(1, 900));
    // It covers what was committed before the statement was sent from here.
    cr_assert(newest->m_sent < answered);
}

// A statement's limit counts for what a holder has as well.
Test(forwarding, a_statement_out_of_time_ends_and_is_forgotten)
{
    forwarding_fixture f;
    f.forward(statement_kind::write, "WRITE a b");
    cr_assert(f.holder().next_statement().has_value());
    // Other answers of the endpoint keep it from being suspected.
    for (int step = 0; step < 22; ++step)
    {
        f.run(absl::Milliseconds(50));
        driver endpoints = f.holder();
        endpoints.accept();
        while (const auto request = endpoints.next())
            endpoints.succeed(*request);
    }
    cr_assert(f.was("err unknown_outcome"));
    cr_assert_eq(f.m_hosts[f.m_holder]->m_host.served_count(), 0u);
}
