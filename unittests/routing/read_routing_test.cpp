#include "../group/view_fixture.hpp"
#include "magnoliastack/routing/read_routing.hpp"

#include <criterion/criterion.h>

using namespace magnoliastack::routing;
using namespace magnoliastack::group;
namespace base = magnoliastack::base;

namespace
{

// Endpoint 1 is a replica in the own failure domain, 2 in another.
const std::vector<endpoint_load> loads = {{endpoint(0), false, 0, true},
                                          {endpoint(1), true, 9, true},
                                          {endpoint(2), false, 1, true}};

read_requirements needs(const view_fixture& group, base::log_point session,
                        absl::Duration staleness = absl::Seconds(1))
{
    return {session, staleness, group.m_now + absl::Seconds(1)};
}

read_choice choose(const view_fixture& group, const read_requirements& needed,
                   std::optional<base::instant> since = std::nullopt)
{
    return choose_read(needed, group.m_view, loads, since, group.m_now);
}

bool uses(const read_choice& choice, int index)
{
    const auto* use = std::get_if<use_endpoint>(&choice);
    return use != nullptr && use->m_endpoint == endpoint(index) &&
           use->m_replica == (index != 0);
}

bool refuses(const read_choice& choice, base::refusal_reason reason)
{
    const auto* refusal = std::get_if<refuse>(&choice);
    return refusal != nullptr && refusal->m_reason == reason;
}

answer_verdict check(const view_fixture& group, const read_requirements& needed,
                     int index, base::log_point answered)
{
    return check_answer(needed, endpoint(index), answered, group.m_view,
                        group.m_now, group.m_now);
}

} // namespace

// Guards against reads that skip a step of the order: own failure domain, other
// replica, primary.
Test(choose_read, the_order_is_not_kept)
{
    view_fixture group;
    group.round({status_at(0, 1, 9), status_at(1, 1, 9), status_at(2, 1, 9)});
    cr_assert(uses(choose(group, needs(group, point(1, 9))), 1));
    group.m_view.mark_leaving(endpoint(1), true);
    cr_assert(uses(choose(group, needs(group, point(1, 9))), 2));
    group.m_view.monitor_lost(endpoint(2), group.m_now);
    cr_assert(uses(choose(group, needs(group, point(1, 9))), 0));
    group.m_view.monitor_lost(endpoint(0), group.m_now);
    cr_assert(refuses(choose(group, needs(group, point(1, 9))),
                      base::refusal_reason::no_primary));
}

// Guards against waiting for a replica that cannot be there in time, and
// against sending a read to the primary that a replica could have in 20 ms.
Test(choose_read, the_wait_for_a_replica_is_unbounded_or_missing)
{
    view_fixture group;
    for (std::uint64_t held = 1; held <= 20; ++held)
        group.round({status_at(0, 1, held), status_at(1, 1, held),
                     status_at(2, 1, held)});
    // Endpoint 1 and 2 lag by one round; the point is a round old.
    const auto lagging = [&]
    {
        return choose(group, needs(group, point(1, 21)));
    };
    group.round(
        {status_at(0, 1, 21), status_at(1, 1, 20), status_at(2, 1, 20)});
    const auto choice = lagging();
    const auto* wait = std::get_if<wait_for_replica>(&choice);
    cr_assert(wait != nullptr &&
              wait->m_until == group.m_now + default_replica_wait);
    cr_assert(uses(choose(group, needs(group, point(1, 21)),
                          group.m_now - default_replica_wait),
                   0));
    // A point that was written just now needs the whole lag of 100 ms.
    cr_assert(uses(choose(group, needs(group, point(1, 25))), 0));
}

// Guards against a replica of an older term whose position is high enough.
Test(choose_read, a_replica_of_an_older_term_is_used)
{
    view_fixture group;
    group.round({status_at(0, 1, 9), status_at(1, 1, 50), status_at(2, 1, 9)});
    cr_assert(uses(choose(group, needs(group, point(1, 5))), 1));
    group.round({status_at(0, 2, 9, 8)});
    cr_assert(uses(choose(group, needs(group, point(1, 5))), 0));
    group.round({status_at(0, 2, 9, 8), status_at(2, 2, 9, 8)});
    cr_assert(uses(choose(group, needs(group, point(1, 5))), 2));
}

// Guards against a replica whose data is older than the route's bound.
Test(choose_read, a_replica_beyond_the_staleness_bound_is_used)
{
    view_fixture group;
    group.round({status_at(0, 1, 8), status_at(1, 1, 8), status_at(2, 1, 8)});
    group.rounds(5, {status_at(0, 1, 9), status_at(1, 1, 9)});
    group.receive(status_at(1, 1, 8));
    const auto choice = [&](int milliseconds)
    {
        return choose(
            group, needs(group, point(1, 8), absl::Milliseconds(milliseconds)));
    };
    cr_assert(uses(choice(299), 0));
    cr_assert(uses(choice(300), 1));
    cr_assert(uses(choice(0), 0));
}

// Guards against stale reads in a minority, and against refusing those that are
// still proven.
Test(choose_read, an_isolated_host_reads_beyond_the_staleness_bound)
{
    view_fixture group;
    group.round({status_at(0, 1, 9), status_at(1, 1, 9), status_at(2, 1, 9)});
    group.rounds(30, {status_at(0, 1, 9)});
    const auto strict = needs(group, point(1, 9));
    cr_assert(refuses(choose(group, strict),
                      base::refusal_reason::staleness_unproven));
    cr_assert(check(group, strict, 0, point(1, 9)) ==
              answer_verdict::wait_for_commit);
    cr_assert(
        uses(choose(group, needs(group, point(1, 9), absl::Seconds(2))), 0));
    cr_assert(check(group, needs(group, point(1, 9), absl::Seconds(2)), 0,
                    point(1, 9)) == answer_verdict::deliver);
    const auto newer = needs(group, point(2, 3), absl::Seconds(2));
    cr_assert(refuses(choose(group, newer), base::refusal_reason::no_primary));
}

// Guards against a deposed primary whose answer satisfies a newer session, and
// against answers of a term that the host knows to be over.
Test(check_answer, a_deposed_primary_satisfies_a_newer_session)
{
    view_fixture group;
    group.round({status_at(0, 1, 50), status_at(1, 1, 50)});
    const auto roamed = needs(group, point(2, 40), absl::ZeroDuration());
    cr_assert(check(group, roamed, 0, point(1, 50)) == answer_verdict::retry);
    group.round({status_at(1, 2, 41, 41), status_at(2, 2, 41, 41)});
    const auto first = needs(group, point(0, 0), absl::ZeroDuration());
    cr_assert(check(group, first, 0, point(1, 50)) == answer_verdict::retry);
}

// Guards against showing data that a failover can take back, and against
// answers that lack the session's writes.
Test(check_answer, an_uncommitted_or_incomplete_answer_is_delivered)
{
    view_fixture group;
    group.round({status_at(0, 1, 9), status_at(1, 1, 7), status_at(2, 1, 3)});
    const auto any = needs(group, point(0, 0), absl::ZeroDuration());
    cr_assert(check(group, any, 0, point(1, 9)) ==
              answer_verdict::wait_for_commit);
    group.round({status_at(2, 1, 9)});
    cr_assert(check(group, any, 0, point(1, 9)) == answer_verdict::deliver);
    cr_assert(check(group, needs(group, point(1, 9)), 1, point(1, 8)) ==
              answer_verdict::retry);
}
