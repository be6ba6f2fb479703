#include "magnoliastack/lease/currency.hpp"
#include "magnoliastack/lease/store_clock.hpp"

#include <criterion/criterion.h>

using namespace magnoliastack::lease;
namespace base = magnoliastack::base;
namespace rpc = magnoliastack::rpc;

namespace
{

base::instant at(int milliseconds)
{
    return base::instant() + absl::Milliseconds(milliseconds);
}

rpc::store_instant store(std::uint64_t milliseconds)
{
    return rpc::store_instant(milliseconds);
}

} // namespace

Test(store_clock, a_slow_answer_bounds_the_store_from_both_sides)
{
    store_clock clock;
    cr_assert_not(clock.latest(at(0)).has_value());
    // The store read 5000 between 1000 and 1400 of the own clock.
    clock.answered(store(5000), at(1000), at(1400));
    cr_assert_geq(clock.latest(at(1400))->value(), 5400);
    cr_assert_leq(clock.earliest(at(1400))->value(), 5000);
}

Test(store_clock, a_quick_answer_narrows_the_bounds)
{
    store_clock clock;
    clock.answered(store(5000), at(1000), at(1400));
    clock.answered(store(5500), at(1500), at(1504));
    cr_assert_leq(clock.latest(at(1504))->value(), 5507);
    cr_assert_geq(clock.earliest(at(1504))->value(), 5499);
}

Test(store_clock, bounds_widen_while_nothing_is_heard)
{
    store_clock clock;
    clock.answered(store(5000), at(1000), at(1002));
    const auto width = [&clock](int ms)
    {
        return clock.latest(at(ms))->value() - clock.earliest(at(ms))->value();
    };
    cr_assert_gt(width(101'000), width(1002) + 50);
}

// A fresh read is claimed for an instant that must not be later than the true
// one.
Test(store_clock, an_instant_of_the_store_is_never_taken_too_late)
{
    store_clock clock;
    clock.answered(store(5000), at(1000), at(1400));
    // The true own instant of 5000 lies between 1000 and 1400.
    cr_assert(*clock.not_after(store(5000), at(1400)) <= at(1000));
}

Test(currency, reliance_ends_with_the_lease_on_the_stores_clock)
{
    store_clock clock;
    clock.answered(store(5000), at(1000), at(1001));
    currency rows;
    cr_assert_not(rows.is_current(clock, at(1001)), "nothing is confirmed");
    rows.confirmed(store(5000));
    cr_assert(rows.is_current(clock, at(5500)));
    cr_assert_not(rows.is_current(clock, at(6002)));
}

// Whoever waits for a lapse has to wait longer than anybody relies.
Test(currency, a_lapse_is_seen_only_after_every_reliance_has_ended)
{
    store_clock slow;
    slow.answered(store(5000), at(1000), at(1400));
    store_clock quick;
    quick.answered(store(5000), at(1200), at(1201));
    currency relying;
    relying.confirmed(store(5000));
    const currency waiting;
    for (int now = 1400; now < 9000; now += 10)
        if (waiting.has_lapsed_since(store(5000), quick, at(now)))
            cr_assert_not(relying.is_current(slow, at(now)), "at %d", now);
    cr_assert(waiting.has_lapsed_since(store(5000), quick, at(9000)));
}
