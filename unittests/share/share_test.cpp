#include "magnoliastack/share/ledger.hpp"
#include "magnoliastack/share/slot_keeper.hpp"
#include "magnoliastack/share/slot_table.hpp"

#include <string>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

namespace
{

using namespace magnoliastack;
using base::instant;
using base::slot_index;
using share::ledger;

instant at_ms(std::int64_t ms)
{
    return instant::from_nanoseconds(ms * 1'000'000);
}

share::held_slot held(std::uint64_t slot)
{
    return {slot_index(slot), base::slot_epoch(1), share::slot_origin::released,
            at_ms(0)};
}

// A ledger with slot `slot` of two and a confirmation at `confirmed`.
ledger make_ledger(const std::string& name, std::uint64_t slot,
                   instant confirmed)
{
    ledger result({.m_self = base::host_id(name)});
    result.set_resource("org/a", share::resource_kind::fraction, share::whole,
                        confirmed);
    result.set_resource("endpoint/e", share::resource_kind::units, 21,
                        confirmed);
    result.set_slots({held(slot)}, 2, confirmed, confirmed);
    result.set_confirmed(confirmed, confirmed);
    return result;
}

rpc::borrow_request ask(const std::string& resource, std::uint64_t amount)
{
    return {base::host_id("b"), base::incarnation(0), resource, amount};
}

} // namespace

// Guards against a row value that another host cannot read.
Test(slot_table, survives_serialization)
{
    share::slot_table table;
    table.m_slots = {
        {base::host_id("a"), base::incarnation(3), base::slot_epoch(7), true},
        {}};
    const auto parsed = share::parse_slot_table(share::serialize(table));
    cr_assert(parsed && *parsed == table);
    cr_assert(!share::parse_slot_table("\xff\xff not a table"));
}

// Guards against fractions and units that do not add up to the whole.
Test(ledger, remainder_goes_to_the_lowest_slots)
{
    const ledger first = make_ledger("a", 0, at_ms(0));
    const ledger second = make_ledger("b", 1, at_ms(0));
    cr_assert_eq(first.usable("endpoint/e", at_ms(1)), 11);
    cr_assert_eq(second.usable("endpoint/e", at_ms(1)), 10);
    cr_assert_eq(first.usable("org/a", at_ms(1)) +
                     second.usable("org/a", at_ms(1)),
                 share::whole);
}

// Guards against a host that admits without a confirmation in time.
Test(ledger, nothing_is_usable_beyond_the_currency_bound)
{
    const ledger one = make_ledger("a", 0, at_ms(0));
    cr_assert_eq(one.usable("org/a", at_ms(4'999)), 500'000);
    cr_assert_eq(one.usable("org/a", at_ms(5'000)), 0);
    cr_assert(one.usable_until("org/a", at_ms(0)) == at_ms(5'000));
}

// Guards against a lender that answers before it reduces its own share, or
// lends its floor.
Test(ledger, lender_reduces_at_once_and_keeps_its_floor)
{
    ledger one = make_ledger("a", 0, at_ms(0));
    const auto response = one.borrow_received(ask("org/a", 900'000), at_ms(1));
    cr_assert_eq(response.m_amount, 450'000);
    cr_assert_eq(one.usable("org/a", at_ms(1)), 50'000);
    cr_assert_eq(one.usable("org/a", at_ms(2'500)), 50'000);
    cr_assert_eq(one.usable("org/a", at_ms(2'501)), 500'000);
}

// Guards against a loan that outlasts the lender's own claim to its slots.
Test(ledger, a_loan_ends_with_the_lenders_confirmation)
{
    ledger one = make_ledger("a", 0, at_ms(0));
    const auto response =
        one.borrow_received(ask("org/a", 100'000), at_ms(4'000));
    cr_assert(response.m_length == absl::Seconds(1));
    cr_assert_eq(
        one.borrow_received(ask("org/a", 100'000), at_ms(5'000)).m_amount, 0);
}

// Guards against a borrower that counts a loan from the answer instead of the
// send time, or uses it after a pause.
Test(ledger, borrowers_end_counts_from_the_send_time)
{
    ledger one = make_ledger("b", 1, at_ms(0));
    one.set_peers({base::host_id("a")}, at_ms(0));
    one.demand("org/a", 600'000, at_ms(0));
    const auto actions = one.tick(at_ms(0));
    cr_assert_eq(actions.size(), 1);
    const auto& sent = std::get<share::borrow>(actions[0]);
    cr_assert_eq(sent.m_request.m_amount, 160'000);
    one.borrow_answered(
        sent.m_host, sent.m_request,
        rpc::borrow_response{base::loan_id(1), 160'000, absl::Seconds(2)},
        at_ms(0), at_ms(300));
    cr_assert_eq(one.usable("org/a", at_ms(1'999)), 660'000);
    cr_assert_eq(one.usable("org/a", at_ms(2'000)), 500'000);
}

// Guards against units that return to the lender while the borrower still has
// the connections open.
Test(ledger, units_are_returned_after_the_connections_are_closed)
{
    ledger one = make_ledger("b", 1, at_ms(0));
    one.set_peers({base::host_id("a")}, at_ms(0));
    one.demand("endpoint/e", 12, at_ms(0));
    const auto sent = std::get<share::borrow>(one.tick(at_ms(0)).at(0));
    one.borrow_answered(
        sent.m_host, sent.m_request,
        rpc::borrow_response{base::loan_id(5), 2, absl::Seconds(2)}, at_ms(0),
        at_ms(1));
    one.set_in_use("endpoint/e", 12, at_ms(1));
    one.demand("endpoint/e", 0, at_ms(2));
    cr_assert(one.tick(at_ms(2)).empty());
    cr_assert_eq(one.usable("endpoint/e", at_ms(2)), 10);
    one.set_in_use("endpoint/e", 10, at_ms(3));
    const auto back = one.tick(at_ms(3));
    cr_assert_eq(back.size(), 1);
    cr_assert_eq(std::get<share::return_loan>(back[0]).m_message.m_loan.value(),
                 5);
}

// Guards against a restarted lender that uses what its earlier process lent.
Test(ledger, a_restarted_host_starts_with_its_floor)
{
    ledger one = make_ledger("a", 0, at_ms(0));
    auto slot = held(0);
    slot.m_origin = share::slot_origin::restarted;
    one.set_slots({slot}, 2, at_ms(0), at_ms(0));
    cr_assert_eq(one.usable("org/a", at_ms(2'499)), 50'000);
    cr_assert_eq(one.usable("org/a", at_ms(2'500)), 500'000);
    cr_assert_eq(one.usable("endpoint/e", at_ms(2'500)), 2);
}
