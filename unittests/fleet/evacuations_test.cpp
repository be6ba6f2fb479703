// Merging of what the store's rows and the peers say about evacuations.
#include "magnoliastack/fleet/evacuations.hpp"
#include "magnoliastack/fleet/report.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

using namespace magnoliastack::fleet;
namespace base = magnoliastack::base;
namespace rpc = magnoliastack::rpc;

namespace
{

const base::failure_domain_id one("one");
const base::failure_domain_id two("two");

rpc::store_instant at(std::uint64_t ms)
{
    return rpc::store_instant(ms);
}

rpc::evacuation_row row(const base::failure_domain_id& domain,
                        std::uint64_t version, bool removed = false)
{
    return {domain, rpc::row_version(version), removed};
}

rpc::operator_rows reading(bool whole, std::uint64_t era, std::uint64_t version,
                           std::uint64_t ms,
                           std::vector<rpc::evacuation_row> rows = {})
{
    rpc::operator_rows result;
    result.m_whole = whole;
    result.m_era = rpc::store_era(era);
    result.m_version = rpc::row_version(version);
    result.m_at = at(ms);
    result.m_evacuations = std::move(rows);
    return result;
}

// A host that has read a table without evacuations.
evacuations started(std::uint64_t era = 1, std::uint64_t version = 10)
{
    evacuations known;
    known.rows_read(reading(true, era, version, 1000));
    return known;
}

} // namespace

// A watch's rows were dropped unless their key was the configuration's.
Test(evacuations, a_row_of_the_watch_evacuates_and_its_removal_ends_it)
{
    auto known = started();
    cr_assert(known.rows_read(reading(false, 1, 12, 2000, {row(one, 12)})));
    cr_assert(known.phase(one, at(2100)) == evacuation_phase::leaving);
    cr_assert(known.phase(two, at(2100)) == evacuation_phase::none);
    cr_assert(known.phase(one, at(5000)) == evacuation_phase::closed);
    cr_assert(
        known.rows_read(reading(false, 1, 13, 6000, {row(one, 13, true)})));
    cr_assert(known.phase(one, at(6000)) == evacuation_phase::none);
}

// Two rows of one watch answer counted in the order in which they came.
Test(evacuations, a_removal_and_a_new_order_in_one_answer_count_by_version)
{
    auto known = started();
    known.rows_read(reading(false, 1, 12, 2000, {row(one, 12)}));
    known.rows_read(
        reading(false, 1, 14, 9000, {row(one, 14), row(one, 13, true)}));
    cr_assert(known.is_evacuated(one));
    cr_assert(known.phase(one, at(9100)) == evacuation_phase::leaving,
              "a new order has its own time");
}

// The second order replaced the first one.
Test(evacuations, two_domains_are_evacuated_at_once)
{
    auto known = started();
    known.rows_read(reading(false, 1, 12, 2000, {row(one, 12)}));
    known.rows_read(reading(false, 1, 14, 2100, {row(two, 14)}));
    cr_assert(known.is_evacuated(one));
    cr_assert(known.is_evacuated(two));
    known.rows_read(reading(false, 1, 15, 2200, {row(one, 15, true)}));
    cr_assert_not(known.is_evacuated(one));
    cr_assert(known.is_evacuated(two));
}

// An order that stood for a minute gave a host that started three seconds more
// in which it sent statements there.
Test(evacuations, an_order_that_a_starting_host_finds_is_closed_at_once)
{
    evacuations known;
    known.era_changed(rpc::store_era(1), at(90000));
    known.rows_read(reading(true, 1, 12, 90000, {row(one, 12)}));
    cr_assert(known.phase(one, at(90000)) == evacuation_phase::closed);
    known.rows_read(reading(false, 1, 13, 91000, {row(one, 13, true)}));
    known.rows_read(reading(false, 1, 14, 92000, {row(one, 14)}));
    cr_assert(known.phase(one, at(92000)) == evacuation_phase::leaving);
}

// A host whose first reading came after its peers' news took an older table
// for a removal.
Test(evacuations, the_newer_version_wins_in_either_direction)
{
    auto told = started();
    told.rows_read(reading(false, 1, 12, 2000, {row(one, 12)}));
    auto known = started();
    cr_assert(known.merge_peer_set(told.set(), at(2050)));
    cr_assert_not(known.merge_peer_set(told.set(), at(2060)));
    cr_assert_not(known.rows_read(reading(true, 1, 11, 2070)));
    cr_assert(known.is_evacuated(one));
    cr_assert_not(known.merge_peer_set(started().set(), at(2080)));
    cr_assert(known.is_evacuated(one));
    told.rows_read(reading(false, 1, 14, 3000, {row(one, 14, true)}));
    cr_assert(known.merge_peer_set(told.set(), at(3050)));
    cr_assert_not(known.is_evacuated(one));
}

// Each host counted the bound from its own news, so that a late one used the
// primary for longer than the bound.
Test(evacuations, the_first_time_of_a_row_counts_for_all)
{
    auto early = started();
    early.rows_read(reading(false, 1, 12, 2000, {row(one, 12)}));
    auto late = started();
    late.rows_read(reading(false, 1, 12, 4500, {row(one, 12)}));
    cr_assert(late.phase(one, at(5100)) == evacuation_phase::leaving);
    cr_assert(late.merge_peer_set(early.set(), at(4600)));
    cr_assert(late.phase(one, at(5100)) == evacuation_phase::closed);
}

// Without the store's time nobody can tell how long an order has stood.
Test(evacuations, a_host_without_the_stores_time_uses_no_evacuated_domain)
{
    auto known = started();
    known.rows_read(reading(false, 1, 12, 2000, {row(one, 12)}));
    cr_assert(known.phase(one, std::nullopt) == evacuation_phase::closed);
}

// The copy lacked the order, and the domain got work until the operator had
// written it again.
Test(evacuations, an_order_that_a_copy_lacks_is_kept_for_a_while)
{
    auto known = started();
    known.rows_read(reading(false, 1, 12, 2000, {row(one, 12)}));
    known.era_changed(rpc::store_era(2), at(20000));
    cr_assert(known.is_evacuated(one));
    known.rows_read(reading(true, 2, 5, 20010));
    cr_assert(known.phase(one, at(20100)) == evacuation_phase::closed);
    cr_assert_not(known.expire(at(29900)));
    cr_assert(known.is_evacuated(one));
    cr_assert(known.expire(at(30000)));
    cr_assert_not(known.is_evacuated(one));
}

// The order was written again, and three seconds began anew.
Test(evacuations, an_order_that_is_written_again_goes_on_as_it_was)
{
    auto known = started();
    known.rows_read(reading(false, 1, 12, 2000, {row(one, 12)}));
    known.rows_read(reading(true, 2, 5, 20010));
    known.rows_read(reading(false, 2, 7, 21000, {row(one, 7)}));
    cr_assert(known.phase(one, at(21000)) == evacuation_phase::closed);
    known.expire(at(40000));
    cr_assert(known.is_evacuated(one));
}

// A removal after the return was not seen by hosts that kept the order, and
// came back to others with their reports.
Test(evacuations, a_removal_after_a_return_ends_what_is_kept_everywhere)
{
    auto known = started();
    known.rows_read(reading(false, 1, 12, 2000, {row(one, 12)}));
    known.rows_read(reading(true, 2, 5, 20010));
    auto other = known;
    cr_assert(
        known.rows_read(reading(false, 2, 8, 21000, {row(one, 8, true)})));
    cr_assert_not(known.is_evacuated(one));
    known.merge_peer_set(other.set(), at(21050));
    cr_assert_not(known.is_evacuated(one));
    cr_assert(other.merge_peer_set(known.set(), at(21060)));
    cr_assert_not(other.is_evacuated(one));
}

// A host that started after the return had no order to keep.
Test(evacuations, a_host_that_starts_after_a_return_hears_what_is_kept)
{
    auto known = started();
    known.rows_read(reading(false, 1, 12, 2000, {row(one, 12)}));
    known.rows_read(reading(true, 2, 5, 20010));
    evacuations starting;
    starting.era_changed(rpc::store_era(2), at(20500));
    starting.rows_read(reading(true, 2, 6, 20500));
    cr_assert(starting.merge_peer_set(known.set(), at(20600)));
    cr_assert(starting.phase(one, at(20600)) == evacuation_phase::closed);
}

// An order that had been cancelled after the copy was made is the operator's
// to cancel again.
Test(evacuations, an_order_that_only_the_copy_has_is_adopted)
{
    auto known = started();
    cr_assert(known.rows_read(reading(true, 2, 5, 20000, {row(one, 4)})));
    cr_assert(known.phase(one, at(20100)) == evacuation_phase::leaving);
    known.expire(at(40000));
    cr_assert(known.is_evacuated(one));
}

// Answers of an older era and reports of hosts that still follow it undid what
// the newer one said.
Test(evacuations, an_older_era_changes_nothing)
{
    auto known = started(2);
    known.rows_read(reading(false, 2, 12, 2000, {row(one, 12)}));
    cr_assert_not(known.rows_read(reading(true, 1, 99, 3000)));
    cr_assert_not(known.merge_peer_set(started(1, 99).set(), at(3000)));
    cr_assert(known.is_evacuated(one));
}

// A report lost the state or the time of an evacuation on its way.
Test(evacuations, a_report_carries_the_whole_set)
{
    host_report report;
    report.m_evacuations.m_era = rpc::store_era(3);
    report.m_evacuations.m_version = rpc::row_version(44);
    report.m_evacuations.m_domains[one] = {evacuation_state::ordered,
                                           rpc::row_version(41), at(777)};
    report.m_evacuations.m_domains[two] = {evacuation_state::kept,
                                           rpc::row_version(), at(555)};
    const auto decoded = decode(encode(report));
    cr_assert(decoded.has_value());
    const auto& set = std::get<host_report>(*decoded).m_evacuations;
    cr_assert_eq(set.m_era.value(), 3);
    cr_assert_eq(set.m_version.value(), 44);
    cr_assert(set.m_domains == report.m_evacuations.m_domains);
}
