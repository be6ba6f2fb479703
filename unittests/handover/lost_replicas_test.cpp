// Replicas that cannot be asked for their logs any more.
#include "magnoliastack/handover/lost_replicas.hpp"

#include <vector>

#include <criterion/criterion.h>

using magnoliastack::handover::lost_replicas;
namespace base = magnoliastack::base;
namespace catalogue = magnoliastack::catalogue;

namespace
{

using entries = std::vector<catalogue::endpoint_entry>;

catalogue::endpoint_entry entry(const char* id, bool primary = false)
{
    catalogue::endpoint_entry result;
    result.m_id = base::endpoint_id(id);
    result.m_address = std::string(id) + ":5";
    result.m_primary = primary;
    result.m_started_unix_ms = 1000;
    return result;
}

base::instant at(int milliseconds)
{
    return base::instant() + absl::Seconds(100) +
           absl::Milliseconds(milliseconds);
}

base::log_point point(std::uint64_t position)
{
    return {base::term(1), base::log_position(position)};
}

const entries all = {entry("e0", true), entry("e1"), entry("e2")};
const entries two = {entry("e0", true), entry("e1")};

} // namespace

// A replica whose entry is gone may have been the only one with a commit.
Test(lost_replicas,
     a_replica_whose_entry_is_gone_is_remembered_until_it_is_back)
{
    lost_replicas lost;
    lost.entries_changed({}, all, at(0));
    cr_assert(lost.all().empty());
    lost.entries_changed(all, two, at(10));
    cr_assert_eq(lost.all().size(), 1);
    cr_assert_eq(lost.all()[0].m_entry.m_id.str(), "e2");
    lost.entries_changed(two, all, at(20));
    cr_assert(lost.all().empty());
}

// Its report after a restart would show a log without what it had received.
Test(lost_replicas, a_replica_that_restarted_has_lost_its_log)
{
    lost_replicas lost;
    entries restarted = all;
    restarted[2].m_started_unix_ms = 2000;
    lost.entries_changed(all, restarted, at(10));
    cr_assert_eq(lost.all().size(), 1);
    lost.entries_changed(restarted, restarted, at(20));
    cr_assert_eq(lost.all().size(), 1);
}

// A primary that crashed comes back with its log.
Test(lost_replicas, a_primary_that_restarted_has_its_log)
{
    lost_replicas lost;
    entries restarted = all;
    restarted[0].m_started_unix_ms = 2000;
    lost.entries_changed(all, restarted, at(10));
    cr_assert(lost.all().empty());
}

// The log of an endpoint that leaves goes to the next one at its address;
// without this a planned restart would leave a lost replica each time.
Test(lost_replicas, the_successor_of_a_replica_that_left_has_its_log)
{
    lost_replicas lost;
    entries leaving = all;
    leaving[2].m_leaving = true;
    lost.entries_changed(all, leaving, at(10));
    lost.entries_changed(leaving, two, at(20));
    cr_assert_eq(lost.all().size(), 1);
    entries replaced = two;
    replaced.push_back(entry("e3"));
    lost.entries_changed(two, replaced, at(30));
    cr_assert_eq(lost.all().size(), 1, "another address");
    replaced.push_back(entry("e4"));
    replaced.back().m_address = all[2].m_address;
    lost.entries_changed(two, replaced, at(40));
    cr_assert(lost.all().empty());
}

// Only what the primary shows after the loss covers what was acknowledged
// before it.
Test(lost_replicas, a_replica_is_forgotten_when_another_has_all_up_to_its_loss)
{
    lost_replicas lost;
    lost.entries_changed(all, two, at(10));
    lost.primary_observed(point(80), at(5));
    lost.replica_observed(point(90), at(61'000));
    cr_assert_eq(lost.all().size(), 1);
    cr_assert_not(lost.all()[0].m_covered_by.has_value());
    lost.primary_observed(point(95), at(20));
    lost.primary_observed(point(99), at(30));
    lost.replica_observed(point(94), at(61'000));
    cr_assert_eq(lost.all().size(), 1);
    lost.replica_observed(point(95), at(59'000));
    cr_assert_eq(lost.all().size(), 1, "it may still run");
    lost.replica_observed(point(95), at(61'000));
    cr_assert(lost.all().empty());
}
