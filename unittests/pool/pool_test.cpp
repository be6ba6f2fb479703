#include "magnoliastack/pool/endpoint_pool.hpp"

#include <algorithm>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

namespace
{

using namespace magnoliastack;
using base::connection_generation;
using base::instant;
using pool::connection_state;
using pool::endpoint_pool;
using pool::part_verdict;

instant at_ms(std::int64_t ms)
{
    return instant::from_nanoseconds(ms * 1'000'000);
}

template <typename Action>
std::vector<Action> only(const std::vector<pool::action>& actions)
{
    std::vector<Action> result;
    for (const auto& item : actions)
        if (const auto* found = std::get_if<Action>(&item))
            result.push_back(*found);
    return result;
}

// A pool with one connection, ready at `now`.
connection_generation open_one(endpoint_pool& pool, instant now)
{
    pool.set_allowance(1, now);
    const auto opened = only<pool::open>(pool.tick(now));
    cr_assert_eq(opened.size(), 1);
    pool.connection_ready(opened[0].m_generation, now);
    return opened[0].m_generation;
}

const base::error limit_reached{base::error_code::unavailable, "limit"};

} // namespace

// Guards against more connections than the allowance, also while closing ones
// still count at the endpoint.
Test(endpoint_pool, closing_connections_count_until_they_are_gone)
{
    endpoint_pool pool(base::endpoint_id("a"), {.m_warm = 3});
    pool.set_allowance(3, at_ms(0));
    const auto opened = only<pool::open>(pool.tick(at_ms(0)));
    cr_assert_eq(opened.size(), 3);
    for (const auto& item : opened)
        pool.connection_ready(item.m_generation, at_ms(10));
    const auto taken = pool.acquire(at_ms(10));
    pool.set_allowance(1, at_ms(20));
    cr_assert_eq(only<pool::close>(pool.tick(at_ms(20))).size(), 2);
    cr_assert_eq(pool.open_count(), 3);
    pool.release(*taken, at_ms(30));
    pool.set_allowance(3, at_ms(30));
    cr_assert(only<pool::open>(pool.tick(at_ms(30))).empty());
    pool.connection_closed(opened[0].m_generation, {}, at_ms(40));
    cr_assert_eq(only<pool::open>(pool.tick(at_ms(40))).size(), 1);
}

// Guards against a taken connection that is closed, or kept after its release,
// when the allowance falls.
Test(endpoint_pool, allowance_zero_closes_after_the_release)
{
    endpoint_pool pool(base::endpoint_id("a"));
    const auto one = open_one(pool, at_ms(0));
    cr_assert_eq(*pool.acquire(at_ms(1)), one);
    pool.set_allowance(0, at_ms(2));
    cr_assert(pool.tick(at_ms(2)).empty());
    pool.release(one, at_ms(3));
    cr_assert(!pool.acquire(at_ms(3)));
    cr_assert_eq(only<pool::close>(pool.tick(at_ms(3))).size(), 1);
}

// Guards against a silent connection that holds its call longer than 750 ms,
// and against closing one that answers its ping.
Test(endpoint_pool, silence_in_a_call_is_pinged_and_closed)
{
    endpoint_pool pool(base::endpoint_id("a"),
                       {.m_call_timeout = absl::Seconds(5)});
    const auto one = open_one(pool, at_ms(0));
    pool.acquire(at_ms(0));
    const auto call = pool.next_call(one);
    pool.call_sent(one, call, at_ms(0));
    cr_assert(only<pool::send_ping>(pool.tick(at_ms(249))).empty());
    const auto pings = only<pool::send_ping>(pool.tick(at_ms(250)));
    cr_assert_eq(pings.size(), 1);
    cr_assert_eq(pool.part_received(one, pings[0].m_call, at_ms(300)),
                 part_verdict::ping);
    cr_assert_eq(only<pool::send_ping>(pool.tick(at_ms(550))).size(), 1);
    cr_assert(only<pool::close>(pool.tick(at_ms(800))).empty());
    const auto closed = only<pool::close>(pool.tick(at_ms(1'050)));
    cr_assert_eq(closed.size(), 1);
    cr_assert(closed[0].m_reason == pool::close_reason::silent);
    cr_assert_eq(pool.part_received(one, call, at_ms(1'060)),
                 part_verdict::late);
    cr_assert_eq(pool.counters().m_late_answers, 1);
}

// Guards against a call that waits for ever for an answer that was lost on a
// connection that still answers pings.
Test(endpoint_pool, a_lost_answer_on_a_live_connection_times_out)
{
    endpoint_pool pool(base::endpoint_id("a"));
    const auto one = open_one(pool, at_ms(0));
    pool.acquire(at_ms(0));
    pool.call_sent(one, pool.next_call(one), at_ms(0));
    for (int ms = 50; ms < 1'000; ms += 50)
    {
        const auto actions = pool.tick(at_ms(ms));
        cr_assert(only<pool::close>(actions).empty());
        for (const auto& ping : only<pool::send_ping>(actions))
            pool.part_received(one, ping.m_call, at_ms(ms));
    }
    const auto closed = only<pool::close>(pool.tick(at_ms(1'000)));
    cr_assert_eq(closed.size(), 1);
    cr_assert(closed[0].m_reason == pool::close_reason::call_timeout);
}

// Guards against dead idle connections that are found only by a request.
Test(endpoint_pool, idle_connections_are_pinged_every_second)
{
    endpoint_pool pool(base::endpoint_id("a"));
    const auto one = open_one(pool, at_ms(0));
    std::int64_t pinged = 0;
    std::int64_t closed = 0;
    for (std::int64_t now = 10; now <= 2'000; now += 10)
    {
        const auto actions = pool.tick(at_ms(now));
        if (!only<pool::send_ping>(actions).empty())
            pinged = now;
        if (!only<pool::close>(actions).empty())
            closed = now;
    }
    cr_assert_eq(pinged, 1'000);
    cr_assert_eq(closed, 1'750);
    cr_assert(pool.state(one) == connection_state::closed);
}

// Guards against a host that closes all connections after its own pause.
Test(endpoint_pool, a_pause_of_the_host_is_no_silence)
{
    endpoint_pool pool(base::endpoint_id("a"));
    const auto one = open_one(pool, at_ms(0));
    pool.acquire(at_ms(0));
    pool.call_sent(one, pool.next_call(one), at_ms(0));
    cr_assert(pool.tick(at_ms(20'000)).empty());
    cr_assert_eq(only<pool::send_ping>(pool.tick(at_ms(20'250))).size(), 1);
}

// Guards against an answer that is delivered to another call.
Test(endpoint_pool, late_and_crossed_answers_are_not_delivered)
{
    endpoint_pool pool(base::endpoint_id("a"));
    const auto one = open_one(pool, at_ms(0));
    pool.acquire(at_ms(0));
    const auto first = pool.next_call(one);
    pool.call_sent(one, first, at_ms(0));
    cr_assert_eq(pool.part_received(one, first, true, at_ms(1)),
                 part_verdict::deliver);
    const auto second = pool.next_call(one);
    pool.call_sent(one, second, at_ms(2));
    // After a wrong id, the next answer could match another call by chance.
    cr_assert_eq(pool.part_received(one, first, at_ms(3)),
                 part_verdict::crossed);
    cr_assert_eq(pool.part_received(one, second, at_ms(4)), part_verdict::late);
    cr_assert_eq(pool.counters().m_crossed_answers, 1);
    const auto closed = only<pool::close>(pool.tick(at_ms(5)));
    cr_assert(closed.size() == 1 &&
              closed[0].m_reason == pool::close_reason::crossed_answer);
    cr_assert_eq(pool.part_received(one, second, at_ms(6)), part_verdict::late);
}

// Guards against a storm of connection attempts at an endpoint that is full.
Test(endpoint_pool, refusal_by_the_limit_backs_off)
{
    endpoint_pool pool(base::endpoint_id("a"), {.m_seed = 3});
    pool.set_allowance(1, at_ms(0));
    int attempts = 0;
    for (int now = 0; now < 10'000; ++now)
        for (const auto& item : only<pool::open>(pool.tick(at_ms(now))))
        {
            ++attempts;
            pool.connection_closed(item.m_generation, limit_reached,
                                   at_ms(now));
        }
    cr_assert_eq(pool.counters().m_refused_by_limit, attempts);
    cr_assert(attempts > 20 && attempts < 100, "%d attempts", attempts);
}

// Guards against connections that are opened only when a request waits, and
// against keeping those of an old peak for ever.
Test(endpoint_pool, keeps_spare_connections_and_drops_an_old_peak)
{
    endpoint_pool pool(base::endpoint_id("a"));
    pool.set_allowance(10, at_ms(0));
    std::vector<connection_generation> taken;
    for (int now = 0; now < 100; ++now)
    {
        if (taken.size() < 5)
            if (const auto got = pool.acquire(at_ms(now)))
                taken.push_back(*got);
        for (const auto& item : only<pool::open>(pool.tick(at_ms(now))))
            pool.connection_ready(item.m_generation, at_ms(now));
    }
    cr_assert_eq(pool.idle_count(), 1);
    for (const auto generation : taken)
        pool.release(generation, at_ms(100));
    std::size_t closed = 0;
    for (int now = 100; now < 25'000; now += 100)
        for (const auto& item : pool.tick(at_ms(now)))
        {
            if (const auto* ping = std::get_if<pool::send_ping>(&item))
                pool.part_received(ping->m_generation, ping->m_call,
                                   at_ms(now));
            if (const auto* gone = std::get_if<pool::close>(&item))
            {
                ++closed;
                pool.connection_closed(gone->m_generation, {}, at_ms(now));
            }
        }
    cr_assert_eq(closed, 5);
    cr_assert_eq(pool.open_count(), 1);
}
