// One test for each row of the failure table in
// docs/design/load-and-placement.md, part 5.
#include "forwarding_fixture.hpp"

using namespace entry_test;

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
