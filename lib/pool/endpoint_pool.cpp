#include "magnoliastack/pool/endpoint_pool.hpp"

#include "magnoliastack/base/invariant.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::pool
{

endpoint_pool::endpoint_pool(base::endpoint_id endpoint, pool_options options,
                             std::shared_ptr<generation_counter> generations)
    : m_endpoint(std::move(endpoint)), m_options(options),
      m_generations(generations ? std::move(generations)
                                : std::make_shared<generation_counter>()),
      m_backoff(options.m_backoff), m_random(options.m_seed)
{
}

void endpoint_pool::set_allowance(std::size_t count, base::instant now)
{
    (void)now;
    m_allowance = count;
}

std::optional<base::connection_generation>
endpoint_pool::acquire(base::instant now)
{
    // The newest idle connection is taken, so that the oldest fall idle and
    // can be closed when demand falls.
    for (auto item = m_connections.rbegin(); item != m_connections.rend();
         ++item)
    {
        if (item->second.m_state != connection_state::idle ||
            live_count() > m_allowance)
            continue;
        fire(item->second, connection_event::acquired);
        item->second.m_taken = true;
        note_peak(now);
        return item->first;
    }
    ++m_unserved;
    return std::nullopt;
}

void endpoint_pool::release(base::connection_generation generation,
                            base::instant now)
{
    (void)now;
    connection* item = find(generation);
    if (item == nullptr || !item->m_taken)
        return;
    MAGNOLIASTACK_INVARIANT(!item->m_call,
                            "a connection is released between calls");
    item->m_taken = false;
    if (item->m_state != connection_state::closed)
        fire(*item, connection_event::released);
}

void endpoint_pool::discard(base::connection_generation generation,
                            base::instant now)
{
    (void)now;
    connection* item = find(generation);
    if (item != nullptr && item->m_state != connection_state::closed)
        begin_close(generation, *item, close_reason::discarded);
}

void endpoint_pool::connection_ready(base::connection_generation generation,
                                     base::instant now)
{
    connection* item = find(generation);
    if (item == nullptr || item->m_state != connection_state::opening)
        return;
    fire(*item, connection_event::ready);
    item->m_heard = now;
    ++m_counters.m_opened;
    m_backoff.reset();
    m_no_open_before.reset();
}

void endpoint_pool::connection_closed(base::connection_generation generation,
                                      const base::error& reason,
                                      base::instant now)
{
    const auto found = m_connections.find(generation);
    if (found == m_connections.end())
        return;
    if (found->second.m_state == connection_state::opening)
    {
        ++(reason.m_code == base::error_code::unavailable
               ? m_counters.m_refused_by_limit
               : m_counters.m_open_failed);
        m_no_open_before = now + m_backoff.next(m_random);
    }
    else if (found->second.m_state != connection_state::closed)
    {
        ++m_counters.m_lost;
    }
    m_connections.erase(found);
}

base::call_id endpoint_pool::next_call(base::connection_generation generation)
{
    connection* item = find(generation);
    MAGNOLIASTACK_INVARIANT(item != nullptr,
                            "calls are sent on connections of the pool");
    item->m_last_call = item->m_last_call.next();
    return item->m_last_call;
}

void endpoint_pool::call_sent(base::connection_generation generation,
                              base::call_id call, base::instant now)
{
    connection* item = find(generation);
    if (item == nullptr)
        return;
    MAGNOLIASTACK_INVARIANT(!item->m_call, "a connection runs one call");
    item->m_last_call = std::max(item->m_last_call, call);
    item->m_call = call;
    item->m_call_sent_at = now;
    // A ping that is already out keeps its own start of silence.
    if (!item->m_ping)
        item->m_heard = now;
}

part_verdict
endpoint_pool::part_received(base::connection_generation generation,
                             base::call_id call, bool last, base::instant now)
{
    connection* item = find(generation);
    if (item == nullptr || item->m_state == connection_state::closed)
    {
        ++m_counters.m_late_answers;
        return part_verdict::late;
    }
    if (item->m_ping == call || item->m_earlier_pings.erase(call) > 0)
    {
        if (item->m_ping == call)
            item->m_ping.reset();
        heard(*item, now);
        return part_verdict::ping;
    }
    if (item->m_call == call)
    {
        // Calls run in order, so an answer to the call does not answer a later
        // ping, but it proves that the connection is alive.
        heard(*item, now);
        if (last)
            item->m_call.reset();
        return part_verdict::deliver;
    }
    // A call that is given up takes its connection with it, so an answer to
    // neither the present call nor a ping is not a late one: answers on this
    // connection carry wrong ids, and the next could match by chance.
    ++m_counters.m_crossed_answers;
    begin_close(generation, *item, close_reason::crossed_answer);
    return part_verdict::crossed;
}

part_verdict
endpoint_pool::part_received(base::connection_generation generation,
                             base::call_id call, base::instant now)
{
    return part_received(generation, call, false, now);
}

void endpoint_pool::call_finished(base::connection_generation generation,
                                  base::instant now)
{
    (void)now;
    connection* item = find(generation);
    if (item != nullptr)
        item->m_call.reset();
}

std::vector<action> endpoint_pool::tick(base::instant now)
{
    const bool stood_still =
        m_last_tick && now - *m_last_tick > m_options.m_largest_tick_gap;
    m_last_tick = now;
    note_peak(now);
    for (auto& [generation, item] : m_connections)
    {
        if (stood_still)
        {
            item.m_heard = now;
            item.m_call_sent_at = now;
        }
        check_silence(generation, item, now);
    }
    close_surplus();
    open_missing(now);
    m_unserved = 0;
    return std::exchange(m_actions, {});
}

const base::endpoint_id& endpoint_pool::endpoint() const
{
    return m_endpoint;
}

std::size_t endpoint_pool::open_count() const
{
    return m_connections.size();
}

std::size_t endpoint_pool::taken_count() const
{
    return std::count_if(m_connections.begin(), m_connections.end(),
                         [](const auto& item)
                         {
                             return item.second.m_taken;
                         });
}

std::size_t endpoint_pool::idle_count() const
{
    return std::count_if(m_connections.begin(), m_connections.end(),
                         [](const auto& item)
                         {
                             return item.second.m_state ==
                                    connection_state::idle;
                         });
}

std::size_t endpoint_pool::wanted_count() const
{
    return std::max({m_options.m_warm, m_peak + m_options.m_spare,
                     taken_count() + m_unserved});
}

std::optional<connection_state>
endpoint_pool::state(base::connection_generation generation) const
{
    const auto found = m_connections.find(generation);
    if (found == m_connections.end())
        return std::nullopt;
    return found->second.m_state;
}

const pool_counters& endpoint_pool::counters() const
{
    return m_counters;
}

void endpoint_pool::fire(connection& item, connection_event event)
{
    const auto next = next_state(item.m_state, event);
    MAGNOLIASTACK_INVARIANT(next.has_value(),
                            "connection events fit the connection's state");
    item.m_state = *next;
}

void endpoint_pool::heard(connection& item, base::instant now)
{
    item.m_heard = now;
    // A ping behind a running call is answered after it; only its own answer
    // ends it, but the silence is over.
    fire(item, item.m_taken ? connection_event::heard_taken
                            : connection_event::heard_idle);
}

void endpoint_pool::begin_close(base::connection_generation generation,
                                connection& item, close_reason reason)
{
    fire(item, connection_event::close);
    item.m_call.reset();
    item.m_ping.reset();
    m_actions.emplace_back(close{generation, reason});
}

void endpoint_pool::check_silence(base::connection_generation generation,
                                  connection& item, base::instant now)
{
    const absl::Duration silence = now - item.m_heard;
    if (item.m_call && now - item.m_call_sent_at >= m_options.m_call_timeout)
    {
        ++m_counters.m_call_timeouts;
        return begin_close(generation, item, close_reason::call_timeout);
    }
    switch (item.m_state)
    {
    case connection_state::closed:
        return;
    case connection_state::opening:
        if (silence >= m_options.m_open_timeout)
        {
            ++m_counters.m_open_failed;
            m_no_open_before = now + m_backoff.next(m_random);
            begin_close(generation, item, close_reason::open_timeout);
        }
        return;
    case connection_state::idle:
    case connection_state::busy:
    {
        const absl::Duration allowed =
            item.m_call ? m_options.m_ping_after : m_options.m_idle_ping;
        if (silence >= allowed)
            send_ping_on(generation, item, now);
        return;
    }
    case connection_state::probing:
        if (silence < m_options.m_close_after)
            return;
        ++m_counters.m_closed_silent;
        begin_close(generation, item, close_reason::silent);
        return;
    }
}

void endpoint_pool::send_ping_on(base::connection_generation generation,
                                 connection& item, base::instant now)
{
    // Without a call the connection had nothing to answer, so its silence
    // starts with the ping.
    if (!item.m_call)
        item.m_heard = now;
    fire(item, connection_event::silent);
    // A ping queued behind a running call is still to be answered.
    if (item.m_ping)
        return;
    if (item.m_ping)
        item.m_earlier_pings.insert(*item.m_ping);
    item.m_ping = next_call(generation);
    ++m_counters.m_pings;
    m_actions.emplace_back(send_ping{generation, *item.m_ping});
}

void endpoint_pool::close_surplus()
{
    const std::size_t wanted = std::min(wanted_count(), m_allowance);
    std::size_t live = live_count();
    for (auto& [generation, item] : m_connections)
    {
        if (live <= wanted)
            return;
        if (item.m_taken || item.m_state == connection_state::closed)
            continue;
        begin_close(generation, item,
                    live > m_allowance ? close_reason::over_allowance
                                       : close_reason::surplus);
        --live;
    }
}

void endpoint_pool::open_missing(base::instant now)
{
    if (m_no_open_before && now < *m_no_open_before)
        return;
    // Closing connections still count at the endpoint.
    const std::size_t wanted = wanted_count();
    while (open_count() < m_allowance && live_count() < wanted)
    {
        const auto generation = m_generations->next();
        connection item;
        item.m_heard = now;
        m_connections.emplace(generation, item);
        m_actions.emplace_back(open{generation});
    }
}

void endpoint_pool::note_peak(base::instant now)
{
    const std::size_t taken = taken_count() + m_unserved;
    if (taken >= m_peak || now - m_peak_seen > m_options.m_peak_memory)
    {
        m_peak = taken;
        m_peak_seen = now;
    }
}

std::size_t endpoint_pool::live_count() const
{
    return std::count_if(m_connections.begin(), m_connections.end(),
                         [](const auto& item)
                         {
                             return item.second.m_state !=
                                    connection_state::closed;
                         });
}

endpoint_pool::connection*
endpoint_pool::find(base::connection_generation generation)
{
    const auto found = m_connections.find(generation);
    return found == m_connections.end() ? nullptr : &found->second;
}

} // namespace magnoliastack::pool
