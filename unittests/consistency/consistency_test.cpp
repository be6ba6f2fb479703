// Randomised runs of hosts and fake endpoints in virtual time. Every run has a
// fixed seed; MAGNOLIA_SEED repeats one.
#include "group_simulation.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include <criterion/criterion.h>

namespace consistency = magnoliastack::consistency;
using consistency::scenario;

namespace
{

using consistency::simulation_options;

struct summary
{
    std::vector<absl::Duration> m_gaps;
    absl::Duration m_oldest_last_write;
    int m_endpoints_behind = 0;
    int m_failed = 0;
    std::uint64_t m_first_failed = 0;
};

// Runs `count` seeds from the one in the options and prints what they showed.
summary run_seeds(simulation_options options, int count)
{
    if (const char* one = std::getenv("MAGNOLIA_SEED"))
    {
        options.m_seed = std::strtoull(one, nullptr, 10);
        count = 1;
    }
    summary result;
    consistency::simulation_report sum;
    for (int index = 0; index < count; ++index, ++options.m_seed)
    {
        const auto report = consistency::simulation(options).run();
        result.m_gaps.push_back(report.m_longest_write_gap);
        result.m_oldest_last_write =
            std::max(result.m_oldest_last_write, report.m_last_write_age);
        result.m_endpoints_behind += report.m_endpoints_behind;
        sum.m_promotions += report.m_promotions;
        sum.m_writes_acknowledged += report.m_writes_acknowledged;
        sum.m_reads_delivered += report.m_reads_delivered;
        sum.m_replica_reads += report.m_replica_reads;
        if (report.m_violation.empty())
            continue;
        if (result.m_failed++ == 0)
        {
            result.m_first_failed = options.m_seed;
            std::fprintf(stderr, "seed %d: %s\n",
                         static_cast<int>(options.m_seed),
                         report.m_violation.c_str());
        }
    }
    std::ranges::sort(result.m_gaps);
    std::fprintf(
        stderr,
        "%d seeds to %d: write gap median %.0f ms, worst %.0f ms; %d "
        "promotions, %d writes, %d reads (%d by replicas), %d failed\n",
        count, static_cast<int>(options.m_seed) - 1,
        absl::ToDoubleMilliseconds(result.m_gaps[result.m_gaps.size() / 2]),
        absl::ToDoubleMilliseconds(result.m_gaps.back()), sum.m_promotions,
        sum.m_writes_acknowledged, sum.m_reads_delivered, sum.m_replica_reads,
        result.m_failed);
    return result;
}

// Runs seeds that must keep the invariants and the bounds of the write gap.
summary expect_consistent(simulation_options options, int count,
                          absl::Duration median = absl::InfiniteDuration(),
                          absl::Duration worst = absl::InfiniteDuration())
{
    const summary result = run_seeds(options, count);
    cr_assert_eq(result.m_failed, 0, "%d runs failed, the first with seed %d",
                 result.m_failed, static_cast<int>(result.m_first_failed));
    cr_assert(result.m_gaps[result.m_gaps.size() / 2] <= median);
    cr_assert(result.m_gaps.back() <= worst);
    return result;
}

constexpr absl::Duration median_target = absl::Milliseconds(1500);
constexpr absl::Duration worst_target = absl::Seconds(4);

} // namespace

// Guards against lost writes, and against a slow failover, after a crash.
Test(failover, a_killed_primary_stops_writes_for_more_than_4_s)
{
    expect_consistent({.m_seed = 1, .m_scenario = scenario::primary_killed},
                      150, median_target, worst_target);
}

// Guards against an isolated primary that keeps its group without writes.
Test(failover, an_isolated_primary_stops_writes_for_more_than_4_s)
{
    expect_consistent(
        {.m_seed = 1001, .m_scenario = scenario::primary_isolated}, 150,
        median_target, worst_target);
}

// Guards against a frozen primary that acknowledges writes when it resumes.
Test(failover, a_resumed_primary_acknowledges_writes)
{
    expect_consistent({.m_seed = 2001, .m_scenario = scenario::primary_frozen},
                      100, median_target, worst_target);
}

// Guards against a promoter that stops when the endpoint that it chose dies
// between seal and promote.
Test(failover, the_chosen_endpoint_dies_before_its_promotion)
{
    expect_consistent(
        {.m_seed = 3001, .m_scenario = scenario::chosen_endpoint_killed}, 100,
        median_target, worst_target);
}

// Guards against a planned change that waits for suspicion. The gap includes
// the time between two writes of the sessions.
Test(failover, a_planned_change_waits_for_suspicion)
{
    expect_consistent({.m_seed = 4001, .m_scenario = scenario::planned_change},
                      100, absl::Milliseconds(200), absl::Milliseconds(400));
}

// Guards against promotions caused by pauses of hosts and by slow links.
Test(failover, pauses_and_slow_links_depose_a_working_primary)
{
    expect_consistent(
        {.m_seed = 5001, .m_scenario = scenario::pauses_and_slow_links}, 100);
}

// Guards against any order of cuts, losses, crashes and pauses that breaks an
// invariant or leaves the group without writes after the repair.
Test(failover, combined_faults_break_an_invariant_or_stop_the_group)
{
    const summary result = expect_consistent({.m_seed = 6001,
                                              .m_length = absl::Seconds(24),
                                              .m_faults_for = absl::Seconds(6)},
                                             200);
    cr_assert(result.m_oldest_last_write < absl::Seconds(1));
    cr_assert_eq(result.m_endpoints_behind, 0);
}

// Guards against primaries that lose their group before their first entry is
// replicated.
Test(failover, interrupted_terms_break_an_invariant)
{
    expect_consistent({.m_seed = 7001,
                       .m_scenario = scenario::interrupted_terms,
                       .m_length = absl::Seconds(15)},
                      100);
}

// Guards against runs that pass because nothing depends on the term: here the
// fakes pass on every status and answer as one of the current term.
Test(unsafe, runs_pass_without_the_term_check)
{
    cr_assert(run_seeds({.m_seed = 1001,
                         .m_scenario = scenario::primary_isolated,
                         .m_unsafe_ignore_term = true},
                        60)
                  .m_failed > 0);
}

// Guards against runs that pass when answers are released at once.
Test(unsafe, runs_pass_without_the_commit_check)
{
    cr_assert(run_seeds({.m_seed = 1001,
                         .m_scenario = scenario::primary_isolated,
                         .m_unsafe_ignore_commit = true},
                        5)
                  .m_failed > 0);
}

// Guards against runs that pass when one sealed endpoint is enough.
Test(unsafe, runs_pass_without_the_majority_of_seals)
{
    cr_assert(run_seeds({.m_seed = 2001,
                         .m_scenario = scenario::primary_frozen,
                         .m_unsafe_seal_minority = true},
                        10)
                  .m_failed > 0);
}

// Guards against runs that pass when copies of an older term's entry count
// before the term's first entry is on a majority.
Test(unsafe, runs_pass_without_the_term_start_rule)
{
    cr_assert(run_seeds({.m_seed = 7001,
                         .m_scenario = scenario::interrupted_terms,
                         .m_length = absl::Seconds(20),
                         .m_unsafe_ignore_term_start = true},
                        60)
                  .m_failed > 0);
}
