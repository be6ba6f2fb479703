// Statements that run on connections of other hosts.
#include "forwarding_fixture.hpp"

using namespace entry_test;

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
