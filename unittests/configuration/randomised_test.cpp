#include "fleet_simulation.hpp"

#include <cstdint>
#include <cstdlib>
#include <iostream>

#include <criterion/criterion.h>

namespace test = magnoliastack::configuration::test;

namespace
{

// Runs a range of seeds, or the one in MAGNOLIA_SEED, and fails with the seed
// of a run that broke an invariant.
test::simulation_report run_seeds(std::uint64_t first, std::uint64_t count,
                                  test::scenario kind)
{
    test::simulation_options options;
    options.m_scenario = kind;
    const char* given = std::getenv("MAGNOLIA_SEED");
    if (given != nullptr)
    {
        first = std::strtoull(given, nullptr, 10);
        count = 1;
    }
    test::simulation_report sum;
    for (std::uint64_t seed = first; seed < first + count; ++seed)
    {
        options.m_seed = seed;
        const auto report = test::simulate(options);
        cr_assert(
            report.m_violation.empty(), "repeat with MAGNOLIA_SEED=%llu: %s",
            static_cast<unsigned long long>(seed), report.m_violation.c_str());
        sum.m_versions += report.m_versions;
        sum.m_accepted_versions += report.m_accepted_versions;
        sum.m_conflicts += report.m_conflicts;
        sum.m_lost_answers += report.m_lost_answers;
    }
    std::cout << count << " runs from seed " << first << ": " << sum.m_versions
              << " versions, " << sum.m_accepted_versions << " seen accepted, "
              << sum.m_conflicts << " conflicts, " << sum.m_lost_answers
              << " lost answers\n";
    return sum;
}

} // namespace

// Guards against an accepted change that some host does not follow, against
// versions that go back and against two winners of one version, under all
// faults at once.
Test(randomised, all_faults_first_half, .timeout = 120)
{
    run_seeds(1, 300, test::scenario::all_faults);
}

// The same with other seeds, so that the two halves can run side by side.
Test(randomised, all_faults_second_half, .timeout = 120)
{
    run_seeds(301, 300, test::scenario::all_faults);
}

namespace
{

// Finds the first seed whose run breaks an invariant without a mechanism.
void expect_violation_without(test::removed mechanism, const char* name,
                              std::uint64_t seeds,
                              test::scenario kind = test::scenario::all_faults)
{
    test::simulation_options options;
    options.m_scenario = kind;
    options.m_removed = mechanism;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        options.m_seed = seed;
        const auto report = test::simulate(options);
        if (report.m_violation.empty())
            continue;
        std::cout << "without " << name << ", seed " << seed << ": "
                  << report.m_violation << "\n";
        return;
    }
    cr_assert_fail("%llu runs without %s broke no invariant",
                   static_cast<unsigned long long>(seeds), name);
}

} // namespace

// Guards against runs that would not notice if hosts confirmed each other
// without a majority.
Test(removed_mechanism, majority_of_keeper, .timeout = 120)
{
    expect_violation_without(test::removed::majority_of_keeper,
                             "the majority rule of the keeper", 600);
}

// Guards against runs that would not notice if silence alone let a change be
// accepted.
Test(removed_mechanism, majority_of_judge, .timeout = 120)
{
    expect_violation_without(test::removed::majority_of_judge,
                             "the majority rule of the judge", 600);
}

// Guards against runs that would not notice if a late answer confirmed at its
// arrival.
Test(removed_mechanism, send_time, .timeout = 120)
{
    expect_violation_without(test::removed::send_time, "send-time stamps", 100,
                             test::scenario::late_answers);
}

// Guards against runs that would not notice if the judge did not wait for the
// bound.
Test(removed_mechanism, bound, .timeout = 120)
{
    expect_violation_without(test::removed::bound, "the wait for the bound",
                             600);
}

// Guards against runs that would not notice if the judge left out the margin
// for different clock rates.
Test(removed_mechanism, margin, .timeout = 120)
{
    expect_violation_without(test::removed::margin, "the margin", 30,
                             test::scenario::clock_race);
}

// Guards against runs that would not notice if a host voted right after its
// start, when it has forgotten what it held.
Test(removed_mechanism, vote_of_established, .timeout = 120)
{
    expect_violation_without(test::removed::vote_of_established,
                             "the wait for the vote", 100,
                             test::scenario::restart_among_minority);
}

// Guards against runs that would not notice if unreachable hosts no longer
// counted for the majority.
Test(removed_mechanism, list_retention, .timeout = 120)
{
    expect_violation_without(test::removed::list_retention,
                             "the retention of listed hosts", 100,
                             test::scenario::platform_moves);
}

// Guards against hosts that refuse keyed requests because only the store is
// away, which would turn each outage into one of the whole service.
Test(randomised, an_outage_of_the_store_leaves_every_host_confirmed,
     .timeout = 120)
{
    run_seeds(1, 100, test::scenario::outages);
}

// Guards against a change that is accepted because the platform is on the side
// of a minority, while the majority goes on under the old version.
Test(randomised, a_minority_with_the_platform_cannot_accept, .timeout = 120)
{
    const auto sum = run_seeds(1, 100, test::scenario::platform_with_minority);
    cr_assert(sum.m_versions >= 200 || std::getenv("MAGNOLIA_SEED") != nullptr,
              "the minority stored no change");
}

// Guards against a minority that goes on with the list of its own side after
// the platform has moved to the majority.
Test(randomised, a_minority_that_had_the_platform_stops, .timeout = 120)
{
    run_seeds(1, 100, test::scenario::platform_moves);
}

// Guards against a host whose slow clock lets it serve when a fast one says
// that it has stopped.
Test(randomised, clocks_of_different_rates, .timeout = 120)
{
    run_seeds(1, 30, test::scenario::clock_race);
}

// Guards against an answer that confirms at its arrival, long after it was
// true.
Test(randomised, answers_that_arrive_late, .timeout = 120)
{
    run_seeds(1, 100, test::scenario::late_answers);
}

// Guards against a host that votes for an old version after a restart, although
// it has helped to accept a newer one.
Test(randomised, a_restart_among_a_minority, .timeout = 120)
{
    run_seeds(1, 100, test::scenario::restart_among_minority);
}
