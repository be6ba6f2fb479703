#include "magnoliastack/admission/backoff.hpp"
#include "magnoliastack/admission/concurrency_limit.hpp"
#include "magnoliastack/admission/demand_meter.hpp"
#include "magnoliastack/admission/fair_queue.hpp"
#include "magnoliastack/admission/retry_budget.hpp"
#include "magnoliastack/admission/service_estimate.hpp"
#include "magnoliastack/admission/token_bucket.hpp"

#include <random>
#include <string>

#include <algorithm>
#include <vector>

#include <criterion/criterion.h>

namespace
{

using namespace magnoliastack;
using admission::fair_queue;
using admission::token_bucket;
using base::instant;

instant at_ms(std::int64_t ms)
{
    return instant::from_nanoseconds(ms * 1'000'000);
}

int take_all(token_bucket& bucket, instant now)
{
    int taken = 0;
    while (bucket.try_take(now))
        ++taken;
    return taken;
}

} // namespace

// Guards against a raised fraction that brings burst tokens: the lender's
// host has spent or kept those already.
Test(token_bucket, raised_fraction_arrives_empty)
{
    token_bucket bucket;
    bucket.set_limits(100, 50, 100'000, at_ms(10'000), at_ms(0));
    bucket.set_limits(100, 50, 1'000'000, at_ms(10'000), at_ms(1));
    cr_assert_eq(take_all(bucket, at_ms(1)), 0);
}

// Guards against a lender that keeps the burst of the part it lent.
Test(token_bucket, lowered_fraction_cuts_tokens)
{
    token_bucket bucket;
    bucket.set_limits(100, 50, 1'000'000, at_ms(10'000), at_ms(0));
    bucket.set_limits(100, 50, 100'000, at_ms(10'000), at_ms(5'000));
    cr_assert_eq(take_all(bucket, at_ms(5'000)), 5);
}

// Guards against a paused host that accrues or spends on a lapsed share.
Test(token_bucket, nothing_accrues_after_the_share_has_lapsed)
{
    token_bucket bucket;
    bucket.set_limits(100, 50, 1'000'000, at_ms(100), at_ms(0));
    cr_assert_eq(take_all(bucket, at_ms(20'000)), 0);
    bucket.set_limits(100, 50, 1'000'000, at_ms(30'000), at_ms(20'000));
    cr_assert_eq(take_all(bucket, at_ms(20'000)), 9);
}

// Guards against deficit saved by an organisation that had no work.
Test(fair_queue, organisations_take_turns_whatever_their_queues)
{
    fair_queue<int> queue;
    const base::organisation_id large("large");
    const base::organisation_id small("small");
    for (int index = 0; index < 100; ++index)
        cr_assert(queue.push(large, index, at_ms(1'000), 1, at_ms(0)));
    for (int index = 0; index < 3; ++index)
        cr_assert(queue.push(small, index, at_ms(1'000), 1, at_ms(0)));
    int small_served = 0;
    for (int index = 0; index < 6; ++index)
        if (queue.pop(at_ms(1))->m_organisation == small)
            ++small_served;
    cr_assert_eq(small_served, 3);
}

// Guards against an expired item that is run, lost or returned twice.
Test(fair_queue, expired_items_come_back_once_and_are_not_served)
{
    fair_queue<int> queue({.m_bound = 2});
    const base::organisation_id one("one");
    cr_assert(queue.push(one, 1, at_ms(10), 1, at_ms(0)));
    cr_assert(queue.push(one, 2, at_ms(20), 1, at_ms(0)));
    const auto refused = queue.push(one, 3, at_ms(20), 1, at_ms(0));
    cr_assert(!refused && refused.error() == base::refusal_reason::queue_full);
    cr_assert_eq(queue.pop(at_ms(10))->m_item, 2);
    cr_assert_eq(queue.expire(at_ms(10)).size(), 1);
    cr_assert(queue.expire(at_ms(30)).empty());
    cr_assert(queue.push(one, 4, at_ms(50), 1, at_ms(30)));
    cr_assert_eq(queue.expire(at_ms(50)).size(), 1);
    cr_assert(queue.push(one, 5, at_ms(90), 1, at_ms(60)));
    cr_assert_eq(queue.pop(at_ms(60))->m_item, 5);
    cr_assert(!queue.pop(at_ms(60)));
}

// Guards against an organisation without a token that blocks the others.
Test(fair_queue, passes_over_an_organisation_that_may_not_run)
{
    fair_queue<int> queue;
    const base::organisation_id one("one");
    const base::organisation_id two("two");
    cr_assert(queue.push(one, 1, at_ms(100), 5, at_ms(0)));
    cr_assert(queue.push(two, 2, at_ms(100), 50, at_ms(0)));
    const auto only_two = [&](const auto& who)
    {
        return who == two;
    };
    cr_assert_eq(queue.pop(only_two, at_ms(1))->m_item, 2);
    cr_assert(!queue.pop(only_two, at_ms(1)));
    cr_assert_eq(queue.pop(at_ms(1))->m_item, 1);
}

// Guards against work that is queued although it cannot end in time.
Test(service_estimate, refuses_what_cannot_meet_its_deadline)
{
    admission::service_estimate estimate;
    cr_assert(estimate.can_meet(1'000, 1, 1, at_ms(1), at_ms(0)));
    estimate.completed(1, absl::Milliseconds(10));
    cr_assert(estimate.can_meet(18, 1, 2, at_ms(100), at_ms(0)));
    cr_assert(!estimate.can_meet(20, 1, 2, at_ms(100), at_ms(0)));
}

// Guards against growth of an unused limit and against reacting twice to one
// queue.
Test(concurrency_limit, grows_when_used_and_shrinks_once_per_interval)
{
    admission::concurrency_limit limit({.m_initial = 10});
    limit.reported(0, 3, 1, at_ms(0));
    cr_assert_eq(limit.limit(), 10);
    limit.reported(0, 3, 10, at_ms(0));
    limit.reported(3, 3, 10, at_ms(0));
    cr_assert_eq(limit.limit(), 11);
    limit.reported(9, 3, 10, at_ms(50));
    limit.reported(9, 3, 10, at_ms(60));
    cr_assert_eq(limit.limit(), 8);
    for (int step = 1; step < 40; ++step)
        limit.reported(9, 3, 10, at_ms(step * 1'000));
    cr_assert_eq(limit.limit(), 1);
}

// Guards against a herd of hosts that keeps an endpoint slow after its restart.
Test(concurrency_limit, a_restarted_endpoint_that_slows_down_gets_little)
{
    constexpr int hosts = 20;
    constexpr std::uint32_t slots = 4;
    std::vector<admission::concurrency_limit> limits(hosts);
    // An answer takes longer by what waits for a slot.
    const auto round = [&](int active, int ms)
    {
        std::uint32_t total = 0;
        for (int host = 0; host < active; ++host)
            total += std::min(limits[host].limit(), slots);
        const auto took =
            absl::Milliseconds(10) * std::max(1.0, total / double(slots));
        for (int host = 0; host < active; ++host)
            for (std::uint32_t count = limits[host].limit(); count > 0; --count)
                limits[host].answered(took, limits[host].limit(), at_ms(ms));
        return total;
    };
    for (auto& limit : limits)
    {
        for (int count = 0; count < 10; ++count)
            limit.answered(absl::Milliseconds(10), 1, at_ms(count));
        limit.warm_up(slots, at_ms(100));
    }
    std::uint32_t largest = 0;
    for (int count = 4; count < 10; ++count)
        largest = std::max(largest, round(hosts, 200 + count * 50));
    cr_assert_leq(largest, hosts * 2, "%u in flight", largest);
    // Few of them stay, and the endpoint answers well again.
    for (int count = 0; count < 20; ++count)
        round(2, 1'000 + count * 50);
    cr_assert_not(limits[0].is_warming_up());
}

// Guards against a restarted endpoint that answers well and is left idle.
Test(concurrency_limit, an_endpoint_that_answers_well_is_warm_after_few_answers)
{
    admission::concurrency_limit limit;
    limit.warm_up(8, at_ms(0));
    cr_assert(limit.has_room(0));
    cr_assert_not(limit.has_room(1));
    int rounds = 0;
    for (; limit.is_warming_up(); ++rounds)
    {
        const auto present = limit.limit();
        for (std::uint32_t count = 0; count < present; ++count)
            limit.answered(absl::Milliseconds(10), limit.limit(),
                           at_ms(rounds * 10));
    }
    cr_assert_eq(rounds, 3);
    cr_assert(limit.has_room(100), "a warm endpoint has no limit");
}

// Guards against two reactions to one queue, and against growth that no answer
// has justified.
Test(concurrency_limit, a_refusal_shrinks_once_an_answer_time)
{
    admission::concurrency_limit limit;
    limit.warm_up(64, at_ms(0));
    for (int count = 0; count < 19; ++count)
        limit.answered(absl::Milliseconds(10), limit.limit(), at_ms(count));
    limit.answered(absl::Milliseconds(10), 1, at_ms(20));
    cr_assert_eq(limit.limit(), 20);
    limit.refused(at_ms(30));
    limit.refused(at_ms(31));
    cr_assert_eq(limit.limit(), 14);
    limit.refused(at_ms(41));
    cr_assert_eq(limit.limit(), 9);
}

// Guards against an endpoint that is slower for good and stays limited.
Test(concurrency_limit, an_endpoint_that_stays_slower_gets_warm_at_last)
{
    admission::concurrency_limit limit;
    limit.answered(absl::Milliseconds(10), 1, at_ms(0));
    limit.warm_up(4, at_ms(0));
    int answers = 0;
    while (limit.is_warming_up() && answers < 1'000)
        limit.answered(absl::Milliseconds(40), limit.limit(),
                       at_ms(++answers * 40));
    cr_assert_leq(answers, 100, "%d answers", answers);
    cr_assert_geq(answers, 10, "%d answers", answers);
}

// Guards against retries that add more than 20 % to the traffic.
Test(retry_budget, stays_below_a_fifth_of_the_traffic)
{
    admission::retry_budget budget({.m_ratio = 0.2, .m_reserve = 10});
    int retries = 0;
    for (int index = 0; index < 1'000; ++index)
    {
        budget.attempt_started();
        while (budget.try_retry())
            ++retries;
    }
    cr_assert(retries >= 190 && retries <= 210, "%d retries", retries);
}

// Guards against delays without jitter or above the bound.
Test(backoff, delays_double_up_to_the_bound)
{
    std::mt19937_64 random(7);
    absl::Duration largest;
    for (int run = 0; run < 200; ++run)
    {
        admission::backoff delays;
        cr_assert(delays.next(random) <= absl::Milliseconds(10));
        cr_assert(delays.next(random) <= absl::Milliseconds(20));
        for (int step = 0; step < 10; ++step)
            largest = std::max(largest, delays.next(random));
    }
    cr_assert(largest > absl::Milliseconds(490));
    cr_assert(largest <= absl::Milliseconds(500));
}

// Guards against a host that keeps rate for itself while its bucket is full,
// and against a backlog that nothing is borrowed for.
Test(demand_meter, counts_backlog_and_tokens)
{
    admission::demand_meter meter;
    cr_assert_eq(meter.demand(100, 0, 0, at_ms(0)), 0);
    meter.arrived(at_ms(0));
    cr_assert_eq(meter.demand(100, 0, 0, at_ms(0)), 20'000);
    cr_assert_eq(meter.demand(100, 0, 50, at_ms(0)), 0);
    cr_assert_eq(meter.demand(100, 10, 0, at_ms(0)), 270'000);
}
