// Which state of a row counts after the store has lost some.
#include "magnoliastack/fleet/row_recovery.hpp"
#include "magnoliastack/fleet/rows.hpp"

#include <criterion/criterion.h>

using namespace magnoliastack::fleet;
namespace base = magnoliastack::base;
namespace rpc = magnoliastack::rpc;

namespace
{

rpc::fleet_row member(std::uint64_t incarnation, std::uint64_t since,
                      bool marked, std::uint64_t version = 0)
{
    member_row row;
    row.m_host = base::host_id("h1");
    row.m_incarnation = base::incarnation(incarnation);
    row.m_address = "h1:1";
    row.m_member_since = rpc::store_instant(since);
    if (marked)
        row.m_out_since = rpc::store_instant(since + 1);
    return {member_key(row.m_host), encode(row), rpc::row_version(version)};
}

rpc::fleet_row leadership(std::uint64_t generation, leadership_phase phase,
                          std::uint64_t version = 0)
{
    leadership_row row;
    row.m_group = base::group_id("g");
    row.m_generation = generation;
    row.m_phase = phase;
    row.m_primary = base::endpoint_id("e1");
    return {leadership_key(row.m_group), encode(row),
            rpc::row_version(version)};
}

rpc::fleet_row duty(std::uint64_t token, std::uint64_t until,
                    std::uint64_t version = 0)
{
    duty_row row;
    row.m_holder = base::host_id("h1");
    row.m_token = token;
    row.m_until = rpc::store_instant(until);
    return {duty_key, encode(row), rpc::row_version(version)};
}

} // namespace

// An older state that the store has again must not replace what is known.
Test(row_recovery, the_later_state_of_each_row_counts)
{
    using enum leadership_phase;
    cr_assert(is_later(member(2, 5, false), member(1, 9, true)));
    cr_assert(is_later(member(1, 5, true), member(1, 5, false)));
    cr_assert(is_later(member(1, 9, false), member(1, 5, true)));
    cr_assert(is_later(leadership(3, moving), leadership(2, serving)));
    cr_assert(is_later(leadership(2, serving), leadership(2, moving)));
    cr_assert(is_later(duty(4, 10), duty(3, 90)));
    cr_assert(is_later(duty(4, 90), duty(4, 10)));
    cr_assert_not(is_later(duty(4, 10), duty(4, 10)));
    cr_assert_not(is_later({duty_key, "broken", {}}, duty(1, 1)));
    cr_assert(is_later(duty(1, 1), {duty_key, "broken", {}}));
}

// A row that nobody wrote again was missing for good.
Test(row_recovery, lost_rows_are_written_until_the_store_has_them)
{
    row_recovery recovery;
    recovery.remember(duty(4, 10));
    recovery.remember(leadership(2, leadership_phase::serving));
    recovery.remember(member(1, 5, false));
    // The store has the member, an older leadership and no duty.
    cr_assert(recovery.take(member(1, 5, false, 7)));
    cr_assert_not(recovery.take(leadership(1, leadership_phase::serving, 8)));
    rpc::fleet_change change;
    recovery.add_to(change, 10);
    cr_assert_eq(change.m_writes.size(), 2);
    for (const auto& [key, version] : change.m_expected)
        cr_assert_eq(version.value(), key == duty_key ? 0 : 8);
    // Somebody else has written them, one of them a later state.
    cr_assert(recovery.take(duty(5, 20, 9)));
    cr_assert(recovery.take(leadership(2, leadership_phase::serving, 9)));
    cr_assert(recovery.is_empty());
}

// The store refuses a change of more entries than it takes.
Test(row_recovery, a_change_holds_no_more_than_its_limit)
{
    row_recovery recovery;
    for (int host = 0; host < 5; ++host)
        recovery.remember({"member/" + std::to_string(host), "x", {}});
    rpc::fleet_change change;
    recovery.add_to(change, 3);
    cr_assert_eq(change.m_writes.size(), 3);
    cr_assert_eq(change.m_expected.size(), 3);
}
