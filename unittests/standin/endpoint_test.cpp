// Connections, calls, records and transactions of one endpoint.
#include "simulation.hpp"

#include "magnoliastack/standin/fault_filter.hpp"

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

using namespace magnoliastack;
using namespace magnoliastack::standin;
using rpc::call_outcome;

namespace
{

constexpr absl::Duration settled = absl::Milliseconds(100);

std::string value_at(simulation& group, const std::string& key)
{
    const auto& rows = group.model(0).log().rows();
    const auto found = rows.find(key);
    return found == rows.end() ? "" : found->second;
}

template <typename Action>
std::size_t count(const simulation& group)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(group.m_seen,
                              [](const endpoint_action& action)
                              {
                                  return std::holds_alternative<Action>(action);
                              }));
}

} // namespace

// Guards against a repeated write that runs twice, on any connection.
Test(endpoint_calls, a_repeated_write_returns_the_recorded_outcome)
{
    simulation group(1);
    group.open(0, 1);
    group.open(0, 2);
    group.call(0, 1, 1, add("dues", 5, request(1)));
    group.run_for(settled);
    group.call(0, 2, 1, add("dues", 5, request(1)));
    group.run_for(settled);
    cr_assert_eq(value_at(group, "dues"), "5");
    cr_assert(group.end_of(2, 1).m_repeated);
    cr_assert(group.end_of(2, 1).m_point == group.end_of(1, 1).m_point);
    cr_assert(group.rows_of(2, 1) == group.rows_of(1, 1));
}

// Guards against a late write that runs after a fence told that it did not.
Test(endpoint_calls, a_write_behind_a_fence_is_refused)
{
    simulation group(1);
    group.open(0, 1);
    group.call(0, 1, 1, fence(request(1), 0));
    group.run_for(settled);
    cr_assert(group.end_of(1, 1).m_outcome == call_outcome::not_found);
    cr_assert_eq(group.end_of(1, 1).m_point.m_position.value(), 2u);
    group.call(0, 1, 2, add("dues", 5, request(1)));
    group.call(0, 1, 3, add("dues", 5, request(1), 1, 1));
    group.run_for(settled);
    cr_assert(group.end_of(1, 2).m_outcome == call_outcome::fenced);
    cr_assert(group.end_of(1, 3).m_outcome == call_outcome::done);
    cr_assert_eq(value_at(group, "dues"), "5");
}

// Guards against a fence that hides the outcome of a write that came before.
Test(endpoint_calls, a_fence_behind_a_write_returns_its_outcome)
{
    simulation group(1);
    group.open(0, 1);
    group.call(0, 1, 1, add("dues", 5, request(1)));
    group.call(0, 1, 2, fence(request(1), 0));
    group.run_for(settled);
    cr_assert(group.end_of(1, 2).m_outcome == call_outcome::done);
    cr_assert(group.end_of(1, 2).m_repeated);
    cr_assert_eq(group.rows_of(1, 2).at(0).m_value, "5");
}

// Guards against a write on a closed connection that is in a slot when the
// fence is written: it must be refused when it ends.
Test(endpoint_calls, a_running_write_respects_a_fence_written_meanwhile)
{
    simulation group(1, 1,
                     [](std::size_t, endpoint_options& options)
                     {
                         options.m_slots = 2;
                     });
    group.open(0, 1);
    group.open(0, 2);
    group.run_for(settled);
    rpc::execute_call slow = add("dues", 5, request(1));
    slow.m_statements.resize(5, slow.m_statements.front());
    group.call(0, 1, 1, slow);
    group.close(0, 1);
    group.call(0, 2, 1, fence(request(1), 0));
    group.run_for(settled);
    cr_assert(group.end_of(2, 1).m_outcome == call_outcome::not_found);
    cr_assert_eq(value_at(group, "dues"), "");
}

// Guards against an id whose record was evicted being run a second time.
Test(endpoint_calls, an_id_at_the_retention_floor_is_not_run_again)
{
    simulation group(1, 1,
                     [](std::size_t, endpoint_options& options)
                     {
                         options.m_record_limit = 2;
                     });
    group.open(0, 1);
    for (std::uint64_t number = 1; number <= 3; ++number)
        group.call(
            0, 1, number,
            add("dues", 1, request(number, static_cast<std::int64_t>(number))));
    group.run_for(settled);
    group.call(0, 1, 4, add("dues", 1, request(1, 1)));
    group.call(0, 1, 5, fence(request(1, 1), 0));
    group.call(0, 1, 6, add("dues", 1, request(2, 2)));
    group.run_for(settled);
    cr_assert(group.end_of(1, 4).m_outcome == call_outcome::record_expired);
    cr_assert(group.end_of(1, 5).m_outcome == call_outcome::record_expired);
    cr_assert(group.end_of(1, 6).m_repeated);
    cr_assert_eq(value_at(group, "dues"), "3");
}

// Guards against changes that others see before the commit, or that stay
// after the connection closed.
Test(endpoint_transactions, uncommitted_changes_are_private_and_rolled_back)
{
    simulation group(1);
    group.open(0, 1);
    group.open(0, 2);
    group.call(0, 1, 1, rpc::begin_call{base::term(1)});
    group.call(0, 1, 2, rpc::statement_call{rpc::put_statement{"cut", "7"}});
    group.call(0, 1, 3, rpc::statement_call{rpc::get_statement{"cut"}});
    group.run_for(settled);
    group.call(0, 2, 1, get("cut"));
    group.run_for(settled);
    cr_assert_eq(group.rows_of(1, 3).at(0).m_value, "7");
    cr_assert(group.rows_of(2, 1).empty());
    group.close(0, 1);
    group.run_for(settled);
    cr_assert_eq(value_at(group, "cut"), "");
    cr_assert_eq(group.model(0).log().held().m_position.value(), 1u);
}

// Guards against a lost update: two transactions read the same row and both
// commit.
Test(endpoint_transactions, a_commit_fails_when_a_read_row_has_changed)
{
    simulation group(1);
    for (const std::uint64_t connection : {1, 2})
    {
        group.open(0, connection);
        group.call(0, connection, 1, rpc::begin_call{base::term(1)});
        group.call(0, connection, 2,
                   rpc::statement_call{rpc::add_statement{"stock", -1}});
    }
    group.run_for(settled);
    group.call(0, 1, 3, rpc::commit_call{request(1), {}, base::term(1)});
    group.run_for(settled);
    group.call(0, 2, 3, rpc::commit_call{request(2), {}, base::term(1)});
    group.run_for(settled);
    cr_assert(group.end_of(1, 3).m_outcome == call_outcome::done);
    cr_assert(group.end_of(2, 3).m_outcome == call_outcome::failed);
    cr_assert_eq(value_at(group, "stock"), "-1");
}

// Guards against a row inserted below a scanned prefix going unnoticed.
Test(endpoint_transactions, a_commit_fails_when_a_scanned_prefix_has_grown)
{
    simulation group(1);
    group.open(0, 1);
    group.open(0, 2);
    group.call(0, 1, 1, rpc::begin_call{base::term(1)});
    group.call(0, 1, 2, rpc::statement_call{rpc::scan_statement{"a/", 0}});
    group.run_for(settled);
    group.call(0, 2, 1, put("a/1", "x", request(1)));
    group.run_for(settled);
    group.call(0, 1, 3, rpc::commit_call{request(2), {}, base::term(1)});
    group.run_for(settled);
    cr_assert(group.end_of(1, 3).m_outcome == call_outcome::failed);
}

// Guards against a commit after a failed statement writing half a transaction.
Test(endpoint_transactions, a_failed_statement_fails_the_commit)
{
    simulation group(1);
    group.open(0, 1);
    group.call(0, 1, 1, put("name", "oyster", request(1)));
    group.call(0, 1, 2, rpc::begin_call{base::term(1)});
    group.call(0, 1, 3, rpc::statement_call{rpc::put_statement{"x", "1"}});
    group.call(0, 1, 4, rpc::statement_call{rpc::add_statement{"name", 1}});
    group.call(0, 1, 5, rpc::commit_call{request(2), {}, base::term(1)});
    group.run_for(settled);
    cr_assert(group.end_of(1, 4).m_outcome == call_outcome::failed);
    cr_assert(group.end_of(1, 5).m_outcome == call_outcome::failed);
    cr_assert_eq(value_at(group, "x"), "");
}

// Guards against more statements at once than there are slots, and against a
// queue that is not reported.
Test(endpoint_slots, calls_beyond_the_slots_wait_in_the_queue)
{
    simulation group(1, 1,
                     [](std::size_t, endpoint_options& options)
                     {
                         options.m_slots = 1;
                     });
    for (std::uint64_t connection = 1; connection <= 3; ++connection)
        group.open(0, connection);
    group.run_for(settled);
    for (std::uint64_t connection = 1; connection <= 3; ++connection)
        group.call(0, connection, 1, get("x"));
    cr_assert_eq(group.status(0).m_queue_length, 2u);
    group.run_for(absl::Milliseconds(3));
    cr_assert(group.end_of(1, 1).m_outcome == call_outcome::done);
    cr_assert(group.end_of(2, 1).m_outcome == call_outcome::unspecified);
    group.call(0, 3, 2, rpc::ping_call{});
    cr_assert(group.end_of(3, 2).m_outcome == call_outcome::done,
              "a ping is answered before the queued call");
    group.run_for(settled);
    cr_assert(group.end_of(3, 1).m_outcome == call_outcome::done);
}

// Guards against connections above the limit, and against a closed one that
// still counts.
Test(endpoint_connections, the_limit_holds_and_a_close_frees_a_place)
{
    simulation group(1, 1,
                     [](std::size_t, endpoint_options& options)
                     {
                         options.m_connection_limit = 2;
                     });
    group.open(0, 1);
    cr_assert_eq(count<connection_accepted>(group), 0u,
                 "a connection takes the connect delay");
    group.open(0, 2);
    group.open(0, 3);
    group.run_for(settled);
    cr_assert_eq(count<connection_accepted>(group), 2u);
    cr_assert_eq(count<connection_refused>(group), 1u);
    group.close(0, 1);
    group.open(0, 4);
    group.run_for(settled);
    cr_assert_eq(count<connection_accepted>(group), 3u);
}

// Guards against a leaving endpoint that refuses at once, before hosts can
// know, or that takes new work for ever.
Test(endpoint_connections, a_leaving_endpoint_refuses_new_work_after_a_while)
{
    simulation group(1);
    group.open(0, 1);
    group.open(0, 2);
    group.call(0, 2, 1, rpc::begin_call{base::term(1)});
    group.run_for(settled);
    group.model(0).set_leaving(true, group.now());
    group.call(0, 1, 1, put("a", "1", request(1)));
    group.run_for(absl::Seconds(5));
    group.call(0, 1, 2, put("b", "1", request(2)));
    group.call(0, 2, 2, rpc::commit_call{request(3), {}, base::term(1)});
    group.open(0, 3);
    group.run_for(settled);
    cr_assert(group.end_of(1, 1).m_outcome == call_outcome::done);
    cr_assert(group.end_of(1, 2).m_outcome == call_outcome::leaving);
    cr_assert(group.end_of(2, 2).m_outcome == call_outcome::done);
    cr_assert_eq(count<connection_refused>(group), 1u);
}

// Guards against rows lost between the parts of a long answer.
Test(endpoint_calls, a_long_answer_comes_in_parts_with_its_row_count)
{
    simulation group(1);
    group.open(0, 1);
    rpc::execute_call write = put("k100", "v", request(1));
    for (int row = 101; row < 350; ++row)
        write.m_statements.emplace_back(
            rpc::put_statement{"k" + std::to_string(row), "v"});
    group.call(0, 1, 1, write);
    group.call(0, 1, 2, rpc::execute_call{{rpc::scan_statement{"k", 0}}});
    group.run_for(absl::Seconds(2));
    cr_assert_eq(group.rows_of(1, 2).size(), 250u);
    cr_assert_eq(group.end_of(1, 2).m_row_count, 250u);
}

// Guards against fault counts that hit the wrong answers.
Test(fault_filter, faults_hit_exactly_the_answers_they_name)
{
    const auto part = [](std::uint64_t call)
    {
        return rpc::call_part{base::call_id(call), {}, rpc::call_end{}};
    };
    const base::connection_generation first(1);
    const base::connection_generation second(2);
    fault_filter faults;
    faults.connection_opened(first);
    faults.drop_write_answers(1);
    cr_assert(faults.filter(first, part(1), false).has_value());
    cr_assert_not(faults.filter(first, part(2), true).has_value());
    cr_assert(faults.filter(first, part(3), true).has_value());
    faults.cross_answers(1);
    cr_assert_eq(faults.filter(first, part(4), false)->m_call.value(), 3u);
    cr_assert_eq(faults.filter(first, part(5), false)->m_call.value(), 5u);
    faults.silence_open_connections();
    faults.connection_opened(second);
    cr_assert_not(faults.filter(first, part(6), false).has_value());
    cr_assert(faults.filter(second, part(1), false).has_value());
}
