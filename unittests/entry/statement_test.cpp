#include "driver.hpp"

#include <criterion/criterion.h>

using namespace entry_test;
using rpc::statement_error;
using rpc::statement_kind;
using rpc::transaction_state;
using action = rpc::endpoint_request::action;

namespace
{

// One host with a session on each route: 1 bounded, 2 primary, 3 own writes.
struct statement_fixture : fleet_fixture
{
    driver m_driver{host(0)};

    statement_fixture() : fleet_fixture(1)
    {
        m_driver.start(1, "stock");
        m_driver.start(2, "settle");
        m_driver.start(3, "cuts");
        for (const std::uint64_t session : {1, 2, 3})
            m_driver.take_answers(session);
    }

    // A read at the primary, which shows the end of its log.
    void show_log_end(base::log_point position)
    {
        m_driver.say(2, statement_kind::read, "READ x");
        const auto request = m_driver.next_statement();
        cr_assert(request.has_value());
        m_driver.succeed(*request, transaction_state::idle, position);
        m_driver.take_answers(2);
    }
};

} // namespace

Test(reads, without_a_known_log_end_the_primary_is_asked)
{
    statement_fixture f;
    f.m_driver.say(1, statement_kind::read, "READ a");
    const auto request = f.m_driver.next_statement();
    cr_assert(request.has_value());
    cr_assert_eq(f.m_driver.endpoint_of(*request), "e0");
}

Test(reads, a_replica_is_asked_with_the_log_point_that_is_fresh_enough)
{
    statement_fixture f;
    f.show_log_end(point(1, 100));
    f.run(absl::Milliseconds(500));
    // The primary is slow, so a replica is chosen.
    f.host(0).m_host.sessions().session_closed(rpc::session_number(2));
    for (int count = 0; count < 3; ++count)
    {
        f.m_driver.say(1, statement_kind::read, "READ a");
        const auto request = f.m_driver.next_statement();
        cr_assert(request.has_value());
        if (f.m_driver.endpoint_of(*request) != "e0")
        {
            cr_assert(request->m_request.m_after.has_value());
            cr_assert(*request->m_request.m_after == point(1, 100));
            return;
        }
        f.m_clock.m_now = f.m_clock.m_now + absl::Milliseconds(150);
        f.m_driver.succeed(*request, transaction_state::idle, point(1, 100));
    }
    cr_assert_fail("no replica was asked");
}

// In quiet-1 replicas that had lagged for 6 s were never asked again, and the
// primary of the busiest group served all reads for the rest of the day.
Test(reads, a_replica_that_lagged_is_asked_again)
{
    using magnoliastack::entry::endpoint_health;
    statement_fixture f;
    f.show_log_end(point(1, 200));
    auto asked_replicas = [&f](absl::Duration span)
    {
        int count = 0;
        for (absl::Duration passed; passed < span;
             passed += absl::Milliseconds(50))
        {
            f.run(absl::Milliseconds(50));
            f.m_driver.say(1, statement_kind::read, "READ a");
            while (const auto request = f.m_driver.next_statement())
            {
                if (f.m_driver.endpoint_of(*request) == "e0")
                {
                    f.m_clock.m_now = f.m_clock.m_now + absl::Milliseconds(60);
                    f.m_driver.succeed(*request, transaction_state::idle,
                                       point(1, 200));
                    continue;
                }
                ++count;
                f.m_driver.fail(*request, statement_error::lagging,
                                transaction_state::idle, point(1, 50));
            }
        }
        return count;
    };
    cr_assert_gt(asked_replicas(absl::Seconds(1)), 0);
    cr_assert_gt(asked_replicas(absl::Seconds(1)), 0);
}

Test(reads, own_writes_raise_the_log_point)
{
    statement_fixture f;
    f.show_log_end(point(1, 200));
    f.m_driver.say(3, statement_kind::write, "WRITE a b");
    const auto write = f.m_driver.next_statement();
    cr_assert(write.has_value());
    cr_assert_eq(f.m_driver.endpoint_of(*write), "e0");
    f.m_clock.m_now = f.m_clock.m_now + absl::Milliseconds(300);
    f.m_driver.succeed(*write, transaction_state::idle, point(1, 250));
    f.run(absl::Milliseconds(50));
    f.m_driver.say(3, statement_kind::read, "READ a");
    const auto read = f.m_driver.next_statement();
    cr_assert(read.has_value());
    cr_assert_neq(f.m_driver.endpoint_of(*read), "e0");
    cr_assert(*read->m_request.m_after >= point(1, 250));
}

// review/7: a write at another group, to which the route had moved meanwhile,
// made a session forget its own write at the first one.
Test(reads, own_writes_are_kept_while_the_route_is_elsewhere)
{
    statement_fixture f;
    const base::group_id elsewhere("elsewhere");
    catalogue::endpoint_entry other = f.m_platform.m_entries.front();
    other.m_id = base::endpoint_id("other");
    other.m_group = elsewhere;
    f.m_platform.m_entries.push_back(other);
    f.run(absl::Seconds(2));
    const auto move_route = [&f](const base::group_id& group)
    {
        auto changed = std::make_shared<catalogue::configuration>(
            *f.m_platform.m_configuration);
        changed->m_version =
            base::configuration_version(changed->m_version.value() + 1);
        changed->m_groups[group].m_id = group;
        changed->m_groups[group].m_max_connections = 30;
        changed->m_routes["cuts"].m_group = group;
        f.m_platform.configure(changed);
        f.run(absl::Milliseconds(200));
    };
    const auto write = [&f](const char* endpoint, base::log_point position)
    {
        f.m_driver.say(3, statement_kind::write, "WRITE a b");
        const auto request = f.m_driver.next_statement();
        cr_assert(request.has_value());
        cr_assert_eq(f.m_driver.endpoint_of(*request), endpoint);
        f.m_clock.m_now = f.m_clock.m_now + absl::Milliseconds(300);
        f.m_driver.succeed(*request, transaction_state::idle, position);
    };
    f.show_log_end(point(1, 200));
    write("e0", point(1, 250));
    move_route(elsewhere);
    write("other", point(1, 10));
    move_route(base::group_id("g"));
    f.m_driver.say(3, statement_kind::read, "READ a");
    const auto read = f.m_driver.next_statement();
    cr_assert(read.has_value());
    cr_assert_neq(f.m_driver.endpoint_of(*read), "e0");
    cr_assert(read->m_request.m_after.has_value());
    cr_assert(*read->m_request.m_after >= point(1, 250));
}

Test(reads, a_lost_read_is_repeated_elsewhere)
{
    statement_fixture f;
    f.m_driver.say(1, statement_kind::read, "READ a");
    const auto request = f.m_driver.next_statement();
    f.m_driver.lose(*request);
    f.run(absl::Milliseconds(100));
    const auto again = f.m_driver.next_statement();
    cr_assert(again.has_value());
    f.m_driver.succeed(*again);
    cr_assert(f.m_driver.was_answered(1, "done signature"));
}

Test(writes, a_lost_single_write_is_unknown_and_not_repeated)
{
    statement_fixture f;
    f.m_driver.say(2, statement_kind::write, "WRITE a b");
    const auto request = f.m_driver.next_statement();
    f.m_driver.lose(*request);
    cr_assert(f.m_driver.was_answered(2, "err unknown_outcome"));
    f.run(absl::Milliseconds(200));
    cr_assert_not(f.m_driver.next_statement().has_value());
}

Test(writes, a_refused_write_that_did_not_run_is_repeated)
{
    statement_fixture f;
    f.m_driver.say(2, statement_kind::write, "WRITE a b");
    auto request = f.m_driver.next_statement();
    f.m_driver.fail(*request, statement_error::busy);
    f.run(absl::Milliseconds(100));
    request = f.m_driver.next_statement();
    cr_assert(request.has_value());
    f.m_driver.succeed(*request);
    cr_assert(f.m_driver.was_answered(2, "done signature"));
}

// A statement behind a refused begin would run outside its transaction.
Test(transactions, no_statement_is_sent_before_the_begin_is_answered)
{
    statement_fixture f;
    f.m_driver.say(2, statement_kind::begin, "BEGIN");
    cr_assert(f.m_driver.was_answered(2, "ready T"));
    f.m_driver.say(2, statement_kind::read, "READ a");
    f.m_driver.accept();
    const auto begin = f.m_driver.next();
    cr_assert(begin.has_value());
    cr_assert(begin->m_request.m_action == action::begin);
    cr_assert_not(f.m_driver.next().has_value());
    f.m_driver.fail(*begin, statement_error::read_only);
    f.run(absl::Milliseconds(20));
    const auto after = f.m_driver.next();
    cr_assert(!after || after->m_request.m_action == action::begin,
              "only another begin may follow a refused one");
}

Test(transactions, a_lost_commit_of_a_write_is_unknown)
{
    statement_fixture f;
    f.m_driver.say(2, statement_kind::begin, "BEGIN");
    f.m_driver.say(2, statement_kind::write, "WRITE a b");
    auto request = f.m_driver.next_statement();
    f.m_driver.succeed(*request, transaction_state::open);
    f.m_driver.say(2, statement_kind::commit, "COMMIT");
    request = f.m_driver.next_statement(transaction_state::open);
    f.m_driver.lose(*request);
    cr_assert(f.m_driver.was_answered(2, "err unknown_outcome"));
}

Test(transactions, a_lost_commit_without_a_write_is_aborted)
{
    statement_fixture f;
    f.m_driver.say(2, statement_kind::begin, "BEGIN");
    f.m_driver.say(2, statement_kind::read, "READ a");
    auto request = f.m_driver.next_statement();
    f.m_driver.succeed(*request, transaction_state::open);
    f.m_driver.say(2, statement_kind::commit, "COMMIT");
    request = f.m_driver.next_statement(transaction_state::open);
    f.m_driver.lose(*request);
    cr_assert(f.m_driver.was_answered(2, "err aborted"));
}

// The statements before the loss are gone; a later one must not begin anew.
Test(transactions, a_connection_lost_in_a_pause_aborts_the_transaction)
{
    statement_fixture f;
    f.m_driver.say(2, statement_kind::begin, "BEGIN");
    f.m_driver.say(2, statement_kind::write, "WRITE a b");
    const auto request = f.m_driver.next_statement();
    f.m_driver.succeed(*request, transaction_state::open);
    f.m_driver.take_answers(2);
    f.m_driver.lose(*request);
    f.m_driver.say(2, statement_kind::write, "WRITE c d");
    cr_assert(f.m_driver.was_answered(2, "err aborted"));
    cr_assert(f.m_driver.was_answered(2, "ready E"));
    f.m_driver.accept();
    cr_assert_not(f.m_driver.next_statement().has_value());
}

Test(transactions, an_idle_transaction_frees_its_connection)
{
    statement_fixture f;
    f.m_driver.say(2, statement_kind::begin, "BEGIN");
    f.m_driver.say(2, statement_kind::write, "WRITE a b");
    const auto request = f.m_driver.next_statement();
    f.m_driver.succeed(*request, transaction_state::open);
    f.run(absl::Milliseconds(3200));
    const auto roll_back = f.m_driver.next();
    cr_assert(roll_back.has_value());
    cr_assert(roll_back->m_request.m_action == action::roll_back);
    f.m_driver.succeed(*roll_back);
    f.m_driver.take_answers(2);
    f.m_driver.say(2, statement_kind::commit, "COMMIT");
    cr_assert(f.m_driver.was_answered(2, "err aborted"));
}

Test(sessions, values_of_another_session_are_dropped_from_a_connection)
{
    statement_fixture f;
    f.m_driver.set_value(2, "zone", "sohar");
    f.m_driver.say(2, statement_kind::read, "READ a");
    f.m_driver.accept();
    const auto set = f.m_driver.next();
    cr_assert(set && set->m_request.m_action == action::set_value);
    f.m_driver.succeed(*set);
    const auto read = f.m_driver.next();
    f.m_driver.succeed(*read);
    f.m_driver.start(9, "settle");
    f.m_driver.say(9, statement_kind::read, "READ b");
    const auto reset = f.m_driver.next();
    cr_assert(reset && reset->m_request.m_action == action::reset);
    cr_assert(reset->m_connection == read->m_connection);
}

Test(sessions, a_withdrawn_key_ends_the_session_at_its_next_operation)
{
    statement_fixture f;
    auto config = std::make_shared<catalogue::configuration>(
        *f.m_platform.m_configuration);
    config->m_version = base::configuration_version(2);
    config->m_keys.clear();
    f.m_platform.configure(config);
    f.run(absl::Milliseconds(200));
    f.m_driver.say(2, statement_kind::read, "READ a");
    cr_assert(f.m_driver.was_answered(2, "err unauthenticated"));
    cr_assert(f.host(0).m_sessions.m_closed.contains(2));
}

Test(sessions, an_older_configuration_changes_nothing)
{
    statement_fixture f;
    auto config = std::make_shared<catalogue::configuration>(
        *f.m_platform.m_configuration);
    config->m_keys.clear();
    f.m_platform.configure(config);
    f.run(absl::Milliseconds(200));
    f.m_driver.start(8, "settle");
    cr_assert(f.m_driver.was_answered(8, "ready I"));
}

// Grown Muscat trouble-1: endpoints that failed half of what they ran cost
// reads whose callers had to come back.
Test(reads, a_read_that_failed_runs_again_and_a_write_does_not)
{
    statement_fixture f;
    f.m_driver.say(2, statement_kind::read, "READ a");
    auto request = f.m_driver.next_statement();
    cr_assert(request.has_value());
    f.m_driver.fail(*request, statement_error::failed);
    request = f.m_driver.next_statement();
    cr_assert(request.has_value());
    f.m_driver.succeed(*request);
    cr_assert(f.m_driver.was_answered(2, "done signature"));
    f.m_driver.take_answers(2);
    f.m_driver.say(2, statement_kind::write, "WRITE a b");
    request = f.m_driver.next_statement();
    cr_assert(request.has_value());
    f.m_driver.fail(*request, statement_error::failed);
    cr_assert(f.m_driver.was_answered(2, "err failed"));
    cr_assert_not(f.m_driver.next_statement().has_value());
}

// Grown Muscat trouble-1: after an endpoint had hung for a while its statements
// without a caller held a connection of every host for good, and each host
// probed it twice a second.
Test(connections, one_that_owes_an_answer_to_nobody_is_closed)
{
    statement_fixture f;
    f.show_log_end(point(1, 100));
    f.run(absl::Milliseconds(500));
    // The primary's connection is busy, so a replica is chosen.
    f.m_driver.say(2, statement_kind::read, "READ a");
    const auto busy = f.m_driver.next_statement();
    f.m_driver.say(1, statement_kind::read, "READ a");
    const auto request = f.m_driver.next_statement();
    cr_assert(request.has_value());
    cr_assert_neq(f.m_driver.endpoint_of(*request), "e0");
    f.m_driver.succeed(*busy);
    f.host(0).m_host.sessions().session_closed(rpc::session_number(1));
    const auto& open = f.host(0).m_endpoints.m_open;
    cr_assert(open.contains(request->m_connection));
    for (int step = 0; step < 50; ++step)
    {
        f.run(absl::Milliseconds(50));
        f.m_driver.accept();
    }
    cr_assert_not(open.contains(request->m_connection));
}

// Grown Muscat trouble-1: after a power failure endpoints counted connections
// of hosts that were gone, and statements used up their tries within 30 ms.
Test(connections, a_rejected_opening_is_no_try_of_the_statement)
{
    statement_fixture f;
    f.show_log_end(point(1, 100));
    f.run(absl::Milliseconds(500));
    f.m_driver.say(2, statement_kind::read, "READ a");
    const auto busy = f.m_driver.next_statement();
    cr_assert(busy.has_value());
    // All three endpoints are full of connections of hosts that are gone.
    f.m_driver.say(1, statement_kind::read, "READ a");
    for (int step = 0; step < 6; ++step)
    {
        for (const auto number :
             std::exchange(f.host(0).m_endpoints.m_opening, {}))
            f.host(0).m_host.endpoints().rejected(
                number, statement_error::too_many_connections);
        f.run(absl::Milliseconds(40));
    }
    cr_assert_not(f.m_driver.was_answered(1, "err busy"));
    f.m_driver.succeed(*busy);
    const auto request = f.m_driver.next_statement();
    cr_assert(request.has_value());
    f.m_driver.succeed(*request);
    cr_assert(f.m_driver.was_answered(1, "done signature"));
}

// Rishra trouble-3: callers of a cut off failure domain were refused for want
// of a fresh endpoint and came again, and each try used a token, so that other
// operations were refused as beyond the rate although far fewer had run.
Test(statements, an_operation_that_no_endpoint_was_asked_to_run_costs_no_token)
{
    fleet_fixture f;
    f.set_limits(3, 30);
    f.run(absl::Seconds(8));
    driver caller(f.host(0));
    const auto read = [&caller](std::uint64_t session)
    {
        caller.start(session, "stock");
        caller.say(session, rpc::statement_kind::read, "READ a");
    };
    // The primary refuses connections, and nothing is known of its log.
    read(1);
    const auto opening = std::exchange(f.host(0).m_endpoints.m_opening, {});
    for (const auto number : opening)
        f.host(0).m_host.endpoints().connection_closed(number, true);
    for (std::uint64_t session = 2; session <= 40; ++session)
    {
        read(session);
        cr_assert(caller.was_answered(session, "err busy"));
    }
    // It is back before the bucket has gained anything.
    f.run(absl::Milliseconds(450));
    caller.accept();
    read(100);
    cr_assert(caller.next_statement().has_value());
    cr_assert_geq(f.host(0).m_metrics.counter("tokens.given_back").value(), 39);
}

// Large trouble-1, zone_cut: tokens that had come from a home were lost with
// each refusal, since another host's bucket holds none.
Test(statements, an_unused_token_of_another_host_returns_to_it)
{
    fleet_fixture f;
    f.set_limits(1, 12);
    f.run(absl::Seconds(12));
    driver caller(f.host(0));
    std::uint64_t session = 0;
    const auto say = [&](const char* database, rpc::statement_kind kind)
    {
        caller.start(++session, database);
        caller.say(session, kind, "READ a");
        f.exchange();
        f.exchange();
    };
    // Uses up the host's own tokens.
    for (int count = 0; count < 4; ++count)
    {
        say("settle", rpc::statement_kind::read);
        while (const auto request = caller.next_statement())
            caller.succeed(*request);
    }
    // The primary goes, and what is refused has borrowed its token.
    const auto open = f.host(0).m_endpoints.m_open;
    for (const auto& [number, target] : open)
        f.host(0).m_host.endpoints().connection_closed(number, true);
    for (int count = 0; count < 30; ++count)
        say("settle", rpc::statement_kind::read);
    auto& metrics = f.host(0).m_metrics;
    cr_assert_eq(metrics.counter("refused.admission.busy").value(), 0);
    cr_assert_geq(metrics.counter("refused.no_endpoint").value(), 29);
    cr_assert_geq(metrics.counter("tokens.asked").value(), 29);
}
