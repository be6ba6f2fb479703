// Endpoints tell the state of their transaction with each answer. One that
// cannot follow from the request shows a statement inside another transaction,
// or outside its own.
#include "driver.hpp"

#include <criterion/criterion.h>

using namespace entry_test;
using rpc::statement_error;
using rpc::statement_kind;
using rpc::transaction_state;
using action = rpc::endpoint_request::action;

namespace
{

// One host with a session that goes to the primary.
struct state_fixture : fleet_fixture
{
    driver m_driver{host(0)};

    state_fixture() : fleet_fixture(1)
    {
        m_driver.start(1, "settle");
        m_driver.take_answers(1);
    }

    bool is_open(const sent_request& request)
    {
        return host(0).m_endpoints.m_open.contains(request.m_connection);
    }
};

} // namespace

// review/11 (PINNED): the connection of a refused begin went back to the pool
// although the endpoint told that a transaction was open on it.
Test(transaction_state, a_connection_with_a_transaction_is_not_given_to_others)
{
    state_fixture f;
    f.m_driver.say(1, statement_kind::begin, "BEGIN");
    f.m_driver.say(1, statement_kind::read, "READ a");
    f.m_driver.accept();
    const auto begin = f.m_driver.next();
    cr_assert(begin && begin->m_request.m_action == action::begin);
    f.m_driver.fail(*begin, statement_error::malformed,
                    transaction_state::open);
    cr_assert_not(f.is_open(*begin));
    f.run(absl::Milliseconds(100));
    const auto read = f.m_driver.next_statement();
    cr_assert(read.has_value(), "the transaction was not begun elsewhere");
    f.m_driver.succeed(*read, transaction_state::open);
    cr_assert(f.m_driver.was_answered(1, "done signature"));
}

// Guards against a write that ran outside its transaction, where it is kept
// whatever becomes of the transaction, and is reported as a part of it.
Test(transaction_state, a_write_outside_its_transaction_has_no_known_outcome)
{
    state_fixture f;
    f.m_driver.say(1, statement_kind::begin, "BEGIN");
    f.m_driver.say(1, statement_kind::write, "WRITE a b");
    const auto write = f.m_driver.next_statement();
    cr_assert(write.has_value());
    f.m_driver.succeed(*write, transaction_state::idle);
    cr_assert_not(f.m_driver.was_answered(1, "done signature"));
    cr_assert(f.m_driver.was_answered(1, "err unknown_outcome"));
    cr_assert_not(f.is_open(*write));
}

// Guards against a single write that ran inside somebody's transaction, which
// may be rolled back, and is reported as committed.
Test(transaction_state,
     a_single_write_inside_a_transaction_has_no_known_outcome)
{
    state_fixture f;
    f.m_driver.say(1, statement_kind::write, "WRITE a b");
    const auto write = f.m_driver.next_statement();
    cr_assert(write.has_value());
    f.m_driver.succeed(*write, transaction_state::open);
    cr_assert(f.m_driver.was_answered(1, "err unknown_outcome"));
    cr_assert_not(f.is_open(*write));
}

// The same for a read, which may run again.
Test(transaction_state, a_single_read_inside_a_transaction_runs_again)
{
    state_fixture f;
    f.m_driver.say(1, statement_kind::read, "READ a");
    const auto read = f.m_driver.next_statement();
    cr_assert(read.has_value());
    f.m_driver.succeed(*read, transaction_state::open);
    cr_assert_not(f.is_open(*read));
    f.run(absl::Milliseconds(100));
    const auto again = f.m_driver.next_statement();
    cr_assert(again.has_value());
    f.m_driver.succeed(*again);
    cr_assert(f.m_driver.was_answered(1, "done signature"));
}

// Guards against a transaction that ended at the endpoint and goes on, with
// its next statements, as another one.
Test(transaction_state, a_transaction_that_is_gone_does_not_go_on)
{
    state_fixture f;
    f.m_driver.say(1, statement_kind::begin, "BEGIN");
    f.m_driver.say(1, statement_kind::read, "READ a");
    f.m_driver.succeed(*f.m_driver.next_statement(), transaction_state::open);
    f.m_driver.take_answers(1);
    f.m_driver.say(1, statement_kind::read, "READ b");
    const auto read = f.m_driver.next_statement();
    cr_assert(read.has_value());
    f.m_driver.succeed(*read, transaction_state::idle);
    cr_assert(f.m_driver.was_answered(1, "err aborted"));
    cr_assert_not(f.is_open(*read));
}

// Values and prepared statements leave the transaction as it is.
Test(transaction_state, a_value_is_not_set_inside_a_transaction_of_another)
{
    state_fixture f;
    f.m_driver.set_value(1, "tz", "x");
    f.m_driver.say(1, statement_kind::read, "READ a");
    f.m_driver.accept();
    const auto set = f.m_driver.next();
    cr_assert(set && set->m_request.m_action == action::set_value);
    f.m_driver.succeed(*set, transaction_state::open);
    cr_assert_not(f.is_open(*set));
}
