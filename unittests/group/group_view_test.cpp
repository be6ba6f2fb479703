#include "view_fixture.hpp"

#include <criterion/criterion.h>

using namespace magnoliastack::group;
namespace base = magnoliastack::base;

// Guards against a commit point that needs all reports at the same time.
Test(commit, reports_of_different_times_add_up)
{
    view_fixture group;
    group.round({status_at(0, 1, 5)});
    cr_assert_not(group.m_view.is_committed(point(1, 1)));
    group.rounds(20, {status_at(1, 1, 4)});
    cr_assert(group.m_view.is_committed(point(1, 4)));
    cr_assert_not(group.m_view.is_committed(point(1, 5)));
}

// Guards against an acknowledgement on copies of an older term's entries: a
// longer log of a term in between could still replace them.
Test(commit, older_entries_count_before_the_term_start_is_on_a_majority)
{
    view_fixture group;
    group.round({status_at(0, 3, 8, 8), status_at(1, 3, 7, 0)});
    cr_assert_not(group.m_view.is_committed(point(3, 7)));
    group.round({status_at(1, 3, 8, 8)});
    cr_assert(group.m_view.is_committed(point(3, 7)));
}

// Guards against counting an endpoint that holds the position in another term.
Test(commit, a_report_of_another_term_counts)
{
    view_fixture group;
    group.round(
        {status_at(0, 2, 9, 3), status_at(1, 1, 9), status_at(2, 3, 9)});
    for (std::uint64_t term = 1; term <= 3; ++term)
        cr_assert_not(group.m_view.is_committed(point(term, 9)));
}

// Guards against a stale read at a primary that was cut off with its host: its
// own log looks fresh to it, while the group has moved on.
Test(freshness, cut_off_primary_is_not_fresh)
{
    view_fixture group;
    group.round({status_at(0, 1, 5), status_at(1, 1, 5), status_at(2, 1, 5)});
    cr_assert(*group.m_view.staleness(endpoint(0), group.m_now) ==
              absl::Milliseconds(50));
    for (std::uint64_t held = 6; held < 26; ++held)
        group.round({status_at(0, 1, held)});
    cr_assert(*group.m_view.staleness(endpoint(0), group.m_now) ==
              absl::Milliseconds(1050));
    cr_assert_not(group.m_view.is_committed(point(1, 6)));
}

// Guards against a proof by answers that a higher seal or term contradicts.
Test(freshness, a_seal_or_a_higher_term_still_proves_a_round)
{
    view_fixture group;
    auto sealed = status_at(1, 1, 5);
    sealed.m_sealed_term = base::term(2);
    group.round({status_at(0, 1, 5), sealed});
    cr_assert_not(group.m_view.staleness(endpoint(0), group.m_now));
    group.round({status_at(2, 2, 6), status_at(0, 1, 5), status_at(1, 1, 5)});
    cr_assert_not(group.m_view.staleness(endpoint(0), group.m_now));
}

// Guards against a replica that counts as fresh by the time of its answer
// instead of by what it has applied.
Test(freshness, a_lagging_replica_is_as_fresh_as_the_newest_answer)
{
    view_fixture group;
    group.round({status_at(0, 1, 5), status_at(1, 1, 5)});
    group.rounds(4,
                 {status_at(0, 1, 9), status_at(1, 1, 9), status_at(2, 1, 5)});
    cr_assert(*group.m_view.staleness(endpoint(2), group.m_now) ==
              absl::Milliseconds(250));
    group.round({status_at(2, 1, 4)});
    cr_assert_not(group.m_view.staleness(endpoint(2), group.m_now));
}

// Guards against a history that grows with time or forgets a minute's lag.
Test(freshness, a_minute_of_lag_is_forgotten)
{
    view_fixture group;
    const auto replica = status_at(2, 1, 100);
    for (std::uint64_t held = 100; held < 1300; ++held)
        group.round({status_at(0, 1, held), status_at(1, 1, held), replica});
    const auto staleness = group.m_view.staleness(endpoint(2), group.m_now);
    cr_assert(staleness && *staleness >= absl::Seconds(60) &&
              *staleness <= absl::Seconds(68));
}

// Guards against a primary that is reported although some rounds were merely
// late, and against one that is never reported.
Test(observation, silence_counts_after_600_ms)
{
    view_fixture group;
    group.round({status_at(0, 1, 5), status_at(1, 1, 5), status_at(2, 1, 5)});
    group.rounds(11, {status_at(1, 1, 5), status_at(2, 1, 5)});
    auto seen = group.m_view.observation(group.m_now);
    cr_assert(!seen.m_primary_unreachable && seen.m_majority_reachable);
    group.rounds(2, {status_at(1, 1, 5), status_at(2, 1, 5)});
    seen = group.m_view.observation(group.m_now);
    cr_assert(seen.m_primary_unreachable && seen.m_primary == endpoint(0));
    cr_assert(seen.m_unreachable_for >= unreachable_after);
}

// Guards against a paused host that takes its own silence for the primary's.
Test(observation, a_paused_host_reports_the_primary)
{
    view_fixture group;
    group.rounds(3, {status_at(0, 1, 5), status_at(1, 1, 5)});
    group.m_now = group.m_now + absl::Seconds(5);
    cr_assert_not(group.m_view.observation(group.m_now).m_primary_unreachable);
    group.round({});
    cr_assert_not(group.m_view.observation(group.m_now).m_primary_unreachable);
    cr_assert_not(group.m_view.is_reachable(endpoint(0), group.m_now));
}

// Guards against an isolated host that reports the primary of a term as missing
// because it hears from nobody, and against a group without a primary that
// nobody reports.
Test(observation, a_term_without_a_primary_is_reported_by_isolated_hosts_only)
{
    view_fixture group;
    group.rounds(20, {status_at(1, 2, 5)});
    cr_assert_not(group.m_view.observation(group.m_now).m_primary_unreachable);
    group.rounds(20, {status_at(1, 2, 5), status_at(2, 2, 5)});
    cr_assert(group.m_view.observation(group.m_now).m_primary_unreachable);
}

// Guards against reads at an endpoint whose stream broke, and against statuses
// that arrive late and take a member back to an older term.
Test(reachability, a_broken_stream_or_a_late_status_is_ignored)
{
    view_fixture group;
    group.round({status_at(0, 2, 5), status_at(1, 2, 5)});
    group.m_view.monitor_lost(endpoint(1), group.m_now);
    cr_assert_not(group.m_view.is_reachable(endpoint(1), group.m_now));
    group.receive(status_at(0, 1, 9));
    cr_assert(group.m_view.status(endpoint(0))->m_accepted_term ==
              base::term(2));
    group.round({status_at(1, 2, 5)});
    cr_assert(group.m_view.is_reachable(endpoint(1), group.m_now));
}
