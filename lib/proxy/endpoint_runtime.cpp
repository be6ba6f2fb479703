#include "endpoint_runtime.hpp"

#include "magnoliastack/base/invariant.hpp"

#include <string>
#include <utility>

namespace magnoliastack::proxy
{

namespace
{

std::string_view to_string(pool::close_reason reason)
{
    switch (reason)
    {
    case pool::close_reason::silent:
        return "silent";
    case pool::close_reason::call_timeout:
        return "call_timeout";
    case pool::close_reason::open_timeout:
        return "open_timeout";
    case pool::close_reason::over_allowance:
        return "over_allowance";
    case pool::close_reason::surplus:
        return "surplus";
    case pool::close_reason::crossed_answer:
        return "crossed_answer";
    case pool::close_reason::discarded:
        return "discarded";
    }
    return "unknown";
}

bool answer_has_point(const rpc::call& what)
{
    return std::holds_alternative<rpc::execute_call>(what) ||
           std::holds_alternative<rpc::statement_call>(what) ||
           std::holds_alternative<rpc::commit_call>(what) ||
           std::holds_alternative<rpc::probe_call>(what);
}

admission::fair_queue_options queue_options(std::size_t bound)
{
    admission::fair_queue_options options;
    options.m_bound = bound;
    return options;
}

pool::pool_options pool_options(const endpoint_options& options)
{
    pool::pool_options result;
    result.m_call_timeout = options.m_call_timeout;
    return result;
}

} // namespace

endpoint_runtime::endpoint_runtime(context& shared,
                                   inventory::endpoint description,
                                   const endpoint_options& options,
                                   placement_check& check)
    : m_shared(shared), m_description(std::move(description)), m_check(check),
      m_pool(m_description.m_id, pool_options(options), shared.m_generations),
      m_queue(queue_options(options.m_queue_bound))
{
}

endpoint_runtime::~endpoint_runtime()
{
    m_shared.m_sink.remove_owner(*this);
}

void endpoint_runtime::enqueue(std::shared_ptr<job> what, base::instant now)
{
    const base::organisation_id& organisation = what->organisation();
    if (!m_estimate.can_meet(m_queue.cost_ahead(organisation), what->cost(),
                             m_limit.limit(), what->deadline(), now))
        return what->cannot_run(base::refusal_reason::deadline_unreachable,
                                absl::Milliseconds(100), now);
    const auto pushed =
        m_queue.push(organisation, what, what->deadline(), what->cost(), now);
    if (!pushed.has_value())
        return what->cannot_run(pushed.error(), absl::Milliseconds(100), now);
    dispatch(now);
}

void endpoint_runtime::dispatch(base::instant now)
{
    // A started job can fail at once and enqueue again; the outer loop then
    // finds it.
    if (std::exchange(m_dispatching, true))
        return;
    while (m_queue.size() > 0 && m_calls_in_flight < m_limit.limit() &&
           m_pool.idle_count() > 0)
    {
        auto next = m_queue.pop(now);
        if (!next.has_value())
            break;
        std::shared_ptr<job> what = std::move(next->m_item);
        if (!what->is_wanted(now))
            continue;
        const std::optional<base::term> term =
            m_check.term_for(*what, id(), now);
        if (term.has_value())
            start(std::move(what), *term, now);
        else
            m_check.place_again(std::move(what), now);
    }
    // Tells the pool that more connections would be used.
    if (m_queue.size() > 0 && m_calls_in_flight < m_limit.limit() &&
        m_pool.idle_count() == 0)
        m_pool.acquire(now);
    m_dispatching = false;
}

void endpoint_runtime::start(std::shared_ptr<job> what, base::term term,
                             base::instant now)
{
    const auto connection = m_pool.acquire(now);
    MAGNOLIASTACK_INVARIANT(connection.has_value(),
                            "a pool with idle connections gives one");
    const rpc::call call =
        what->start_call({m_description.m_id, *connection, term}, now);
    taken& holder = m_taken[*connection];
    MAGNOLIASTACK_INVARIANT(holder.m_job == nullptr,
                            "a connection belongs to one job at a time");
    holder.m_job = std::move(what);
    send(*connection, holder, call, now);
}

void endpoint_runtime::send(base::connection_generation connection,
                            taken& holder, const rpc::call& what,
                            base::instant now)
{
    MAGNOLIASTACK_INVARIANT(!holder.m_in_call,
                            "a connection runs one call at a time");
    const auto found = m_connections.find(connection);
    MAGNOLIASTACK_INVARIANT(found != m_connections.end(),
                            "a taken connection exists");
    holder.m_call = m_pool.next_call(connection);
    holder.m_in_call = true;
    holder.m_has_point = answer_has_point(what);
    holder.m_sent_at = now;
    holder.m_rows.clear();
    ++m_calls_in_flight;
    m_pool.call_sent(connection, holder.m_call, now);
    found->second->send(holder.m_call, what);
}

bool endpoint_runtime::send_on(base::connection_generation connection,
                               const rpc::call& what, base::instant now)
{
    const auto found = m_taken.find(connection);
    if (found == m_taken.end())
        return false;
    send(connection, found->second, what, now);
    return true;
}

void endpoint_runtime::release(base::connection_generation connection,
                               base::instant now)
{
    const auto found = m_taken.find(connection);
    if (found == m_taken.end())
        return;
    MAGNOLIASTACK_INVARIANT(!found->second.m_in_call,
                            "only a connection without a call is given back");
    m_taken.erase(found);
    m_pool.release(connection, now);
    dispatch(now);
}

void endpoint_runtime::discard(base::connection_generation connection,
                               base::instant now)
{
    const auto found = m_taken.find(connection);
    if (found == m_taken.end())
        return;
    if (found->second.m_in_call)
        --m_calls_in_flight;
    m_taken.erase(found);
    m_pool.discard(connection, now);
}

void endpoint_runtime::connection_ready(base::connection_generation connection)
{
    const base::instant now = m_shared.m_clock.now();
    m_pool.connection_ready(connection, now);
    dispatch(now);
}

void endpoint_runtime::call_answered(base::connection_generation connection,
                                     rpc::call_part part)
{
    const base::instant now = m_shared.m_clock.now();
    const bool last = part.m_end.has_value();
    const pool::part_verdict verdict =
        m_pool.part_received(connection, part.m_call, last, now);
    if (verdict == pool::part_verdict::late)
        m_shared.m_metrics.counter("answers.late").add(1);
    if (verdict == pool::part_verdict::crossed)
        m_shared.m_metrics.counter("answers.crossed").add(1);
    if (verdict != pool::part_verdict::deliver)
        return;
    const auto found = m_taken.find(connection);
    if (found == m_taken.end() || !found->second.m_in_call)
        return;
    taken& holder = found->second;
    holder.m_rows.insert(holder.m_rows.end(),
                         std::make_move_iterator(part.m_rows.begin()),
                         std::make_move_iterator(part.m_rows.end()));
    if (!part.m_end.has_value())
        return;
    // A part that got lost would leave the answer short of rows; the count in
    // the end mark shows it. An answer without a point answers another kind of
    // call, such as a ping.
    const bool misses_point =
        holder.m_has_point &&
        part.m_end->m_outcome == rpc::call_outcome::done &&
        part.m_end->m_point.m_term == base::term(0);
    if (misses_point || part.m_end->m_row_count != holder.m_rows.size())
    {
        m_shared.m_metrics.counter("answers.incomplete").add(1);
        m_pool.discard(connection, now);
        return lose(connection, now);
    }
    finish_call(connection, *std::move(part.m_end), now);
}

void endpoint_runtime::finish_call(base::connection_generation connection,
                                   rpc::call_end end, base::instant now)
{
    taken& holder = m_taken.find(connection)->second;
    holder.m_in_call = false;
    --m_calls_in_flight;
    const std::shared_ptr<job> what = holder.m_job;
    std::vector<rpc::row> rows = std::move(holder.m_rows);
    m_estimate.completed(what->cost(), now - holder.m_sent_at);
    const bool keep = what->call_ended(std::move(end), std::move(rows), now);
    if (!keep)
        release(connection, now);
    dispatch(now);
}

void endpoint_runtime::connection_closed(base::connection_generation connection,
                                         const base::error& reason)
{
    const base::instant now = m_shared.m_clock.now();
    m_connections.erase(connection);
    m_pool.connection_closed(connection, reason, now);
    lose(connection, now);
    dispatch(now);
}

void endpoint_runtime::lose(base::connection_generation connection,
                            base::instant now)
{
    const auto found = m_taken.find(connection);
    if (found == m_taken.end())
        return;
    const std::shared_ptr<job> what = std::move(found->second.m_job);
    if (found->second.m_in_call)
        --m_calls_in_flight;
    m_taken.erase(found);
    what->connection_lost(now);
}

void endpoint_runtime::status_received(const rpc::endpoint_status& status,
                                       base::instant now)
{
    m_limit.reported(status.m_queue_length, status.m_slots, m_calls_in_flight,
                     now);
    dispatch(now);
}

void endpoint_runtime::set_allowance(std::size_t count, base::instant now)
{
    m_pool.set_allowance(count, now);
}

void endpoint_runtime::tick(base::instant now)
{
    for (auto& expired : m_queue.expire(now))
        expired.m_item->cannot_run(base::refusal_reason::deadline_exceeded,
                                   absl::ZeroDuration(), now);
    for (const pool::action& what : m_pool.tick(now))
    {
        if (const auto* item = std::get_if<pool::open>(&what))
            open(item->m_generation);
        else if (const auto* item = std::get_if<pool::close>(&what))
            close(item->m_generation, item->m_reason, now);
        else if (const auto* item = std::get_if<pool::send_ping>(&what))
        {
            const auto found = m_connections.find(item->m_generation);
            if (found != m_connections.end())
                found->second->send(item->m_call, rpc::ping_call());
        }
    }
    dispatch(now);
}

void endpoint_runtime::open(base::connection_generation connection)
{
    m_shared.m_metrics.counter("connections.opened").add(1);
    m_shared.m_sink.add_connection(connection, *this);
    m_connections[connection] = m_shared.m_endpoints.connect(
        m_description.m_id, m_description.m_address, connection,
        m_shared.m_sink);
}

void endpoint_runtime::close(base::connection_generation connection,
                             pool::close_reason reason, base::instant now)
{
    m_shared.m_metrics
        .counter("connections.closed." + std::string(to_string(reason)))
        .add(1);
    // The close is reported through connection_closed; until then the
    // connection counts against the limit.
    m_connections.erase(connection);
    lose(connection, now);
}

routing::endpoint_load endpoint_runtime::load() const
{
    routing::endpoint_load load;
    load.m_endpoint = m_description.m_id;
    load.m_same_failure_domain =
        m_description.m_failure_domain == m_shared.m_failure_domain;
    load.m_in_flight = m_calls_in_flight + m_queue.size();
    load.m_has_connection = m_pool.idle_count() > 0 || m_pool.taken_count() > 0;
    return load;
}

bool endpoint_runtime::is_idle() const
{
    return m_queue.size() == 0 && m_taken.empty();
}

} // namespace magnoliastack::proxy
