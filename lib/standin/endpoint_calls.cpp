// Connections, slots and calls of the endpoint model.
#include "magnoliastack/base/invariant.hpp"
#include "magnoliastack/standin/endpoint_model.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace magnoliastack::standin
{

namespace
{

// Time within which hosts should have stopped to use a leaving endpoint.
constexpr absl::Duration leaving_target = absl::Seconds(2);

// Begin and rollback change only the connection's own state.
bool needs_slot(const rpc::call& what)
{
    return !std::holds_alternative<rpc::begin_call>(what) &&
           !std::holds_alternative<rpc::rollback_call>(what) &&
           !std::holds_alternative<rpc::ping_call>(what);
}

bool is_write_answer(const rpc::call& what)
{
    if (const auto* execute = std::get_if<rpc::execute_call>(&what))
        return execute->m_write;
    return std::holds_alternative<rpc::commit_call>(what);
}

} // namespace

endpoint_model::actions
endpoint_model::connection_opened(base::connection_generation connection,
                                  base::instant now)
{
    MAGNOLIASTACK_INVARIANT(!m_connections.contains(connection),
                            "a connection number is used once");
    if (m_connections.size() >= m_options.m_connection_limit)
        return {connection_refused{connection,
                                   absl::StrCat("connection limit of ",
                                                m_options.m_connection_limit,
                                                " reached"),
                                   false}};
    if (refuses_new_work(now))
        return {connection_refused{connection, "endpoint is leaving", true}};
    count_work_while_leaving(now);
    m_connections[connection].m_ready_at = now + m_options.m_connect_delay;
    return tick(now);
}

void endpoint_model::connection_closed(base::connection_generation connection,
                                       base::instant /*now*/)
{
    if (m_connections.erase(connection) == 0)
        return;
    std::erase_if(m_waiting,
                  [connection](const job& waiting)
                  {
                      return waiting.m_connection == connection;
                  });
}

endpoint_model::actions
endpoint_model::call_received(base::connection_generation connection,
                              base::call_id id, rpc::call what,
                              base::instant now)
{
    actions out;
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return out;
    if (std::holds_alternative<rpc::ping_call>(what))
    {
        answer(connection, id, ended(rpc::call_outcome::done), false, out);
        return out;
    }
    found->second.m_calls.push_back({id, std::move(what)});
    start_next(connection, out, now);
    for (endpoint_action& action : tick(now))
        out.push_back(std::move(action));
    return out;
}

std::uint64_t endpoint_model::work_while_leaving() const
{
    return m_work_while_leaving;
}

void endpoint_model::accept_ready(actions& out, base::instant now)
{
    for (auto& [number, connection] : m_connections)
    {
        if (connection.m_ready || connection.m_ready_at > now)
            continue;
        connection.m_ready = true;
        out.emplace_back(connection_accepted{number});
        start_next(number, out, now);
    }
}

void endpoint_model::start_next(base::connection_generation number,
                                actions& out, base::instant now)
{
    connection_state& connection = m_connections.at(number);
    while (connection.m_ready && !connection.m_busy &&
           !connection.m_calls.empty())
    {
        pending_call next = std::move(connection.m_calls.front());
        connection.m_calls.pop_front();
        if (is_new_work(connection, next.m_call) && !refuses_new_work(now))
            count_work_while_leaving(now);
        if (auto refused = refuse_early(connection, next.m_call, now))
        {
            answer(number, next.m_id, *std::move(refused),
                   is_write_answer(next.m_call), out);
            continue;
        }
        if (needs_slot(next.m_call))
        {
            enqueue(number, std::move(next));
            break;
        }
        job immediate{number, next.m_id, std::move(next.m_call), {}, false};
        answer(number, immediate.m_id, run(immediate, &connection), false, out);
    }
    fill_slots(now);
}

void endpoint_model::enqueue(base::connection_generation number,
                             pending_call next)
{
    m_connections.at(number).m_busy = true;
    m_waiting.push_back({number, next.m_id, std::move(next.m_call), {}, false});
}

void endpoint_model::fill_slots(base::instant now)
{
    while (!m_waiting.empty() && m_running.size() < m_options.m_slots)
    {
        job next = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (std::holds_alternative<rpc::commit_call>(next.m_call))
        {
            connection_state& owner = m_connections.at(next.m_connection);
            next.m_transaction = std::exchange(owner.m_transaction, {});
            next.m_transaction_failed =
                std::exchange(owner.m_transaction_failed, false);
        }
        const base::instant end = now + work_of(next.m_call);
        m_running.emplace(end, std::move(next));
    }
}

void endpoint_model::finish_jobs(actions& out, base::instant now)
{
    while (!m_running.empty() && m_running.begin()->first <= now)
    {
        job done = std::move(m_running.extract(m_running.begin()).mapped());
        const auto owner = m_connections.find(done.m_connection);
        connection_state* connection =
            owner == m_connections.end() ? nullptr : &owner->second;
        outcome result = run(done, connection);
        if (connection != nullptr)
        {
            answer(done.m_connection, done.m_id, std::move(result),
                   is_write_answer(done.m_call), out);
            connection->m_busy = false;
            start_next(done.m_connection, out, now);
        }
        fill_slots(now);
    }
}

void endpoint_model::answer(base::connection_generation connection,
                            base::call_id id, outcome ended, bool write,
                            actions& out) const
{
    ended.m_end.m_row_count = ended.m_rows.size();
    auto rest = ended.m_rows.begin();
    const auto size = static_cast<std::ptrdiff_t>(m_options.m_part_rows);
    while (ended.m_rows.end() - rest > size)
    {
        rpc::call_part part{id, {}, std::nullopt};
        part.m_rows.assign(std::make_move_iterator(rest),
                           std::make_move_iterator(rest + size));
        rest += size;
        out.emplace_back(send_part{connection, std::move(part), false});
    }
    rpc::call_part last{id, {}, std::move(ended.m_end)};
    last.m_rows.assign(std::make_move_iterator(rest),
                       std::make_move_iterator(ended.m_rows.end()));
    out.emplace_back(send_part{connection, std::move(last), write});
}

bool endpoint_model::refuses_new_work(base::instant now) const
{
    return m_leaving && now - m_leaving_since >= m_options.m_leaving_grace;
}

bool endpoint_model::is_new_work(const connection_state& connection,
                                 const rpc::call& what) const
{
    return !connection.m_transaction &&
           (std::holds_alternative<rpc::execute_call>(what) ||
            std::holds_alternative<rpc::begin_call>(what));
}

void endpoint_model::count_work_while_leaving(base::instant now)
{
    if (m_leaving && now - m_leaving_since > leaving_target)
        ++m_work_while_leaving;
}

absl::Duration endpoint_model::work_of(const rpc::call& what) const
{
    if (const auto* execute = std::get_if<rpc::execute_call>(&what))
        return m_options.m_service_time *
               static_cast<std::int64_t>(execute->m_statements.size());
    return m_options.m_service_time;
}

std::optional<endpoint_model::outcome>
endpoint_model::refuse_early(const connection_state& connection,
                             const rpc::call& what, base::instant now) const
{
    if (is_new_work(connection, what) && refuses_new_work(now))
        return ended(rpc::call_outcome::leaving);
    if (const auto* execute = std::get_if<rpc::execute_call>(&what))
    {
        if (connection.m_transaction)
            return ended(rpc::call_outcome::failed, "a transaction is open");
        if (execute->m_write && !is_primary_of(execute->m_expected_term))
            return ended(rpc::call_outcome::wrong_term);
    }
    return std::nullopt;
}

endpoint_model::outcome endpoint_model::run(job& what,
                                            connection_state* connection)
{
    return std::visit(
        [&](const auto& item)
        {
            return run_call(what, connection, item);
        },
        what.m_call);
}

endpoint_model::outcome
endpoint_model::run_call(job& /*what*/, connection_state* /*connection*/,
                         const rpc::execute_call& item)
{
    if (item.m_write)
    {
        if (!is_primary_of(item.m_expected_term))
            return ended(rpc::call_outcome::wrong_term);
        if (auto known = recorded_outcome(item.m_request_id, item.m_attempt))
            return *std::move(known);
    }
    transaction changes(m_log, m_accepted);
    outcome done = ended(rpc::call_outcome::done);
    for (const rpc::statement& statement : item.m_statements)
    {
        if (!item.m_write && rpc::is_write(statement))
            return ended(rpc::call_outcome::failed,
                         "a read contains a statement that writes");
        auto rows = changes.run(statement);
        if (!rows)
            return ended(rpc::call_outcome::failed, rows.error().m_message);
        std::ranges::move(*rows, std::back_inserter(done.m_rows));
    }
    if (!item.m_write)
        return done;
    return record(item.m_request_id, item.m_attempt, false,
                  std::move(done.m_rows), changes.changes());
}

endpoint_model::outcome endpoint_model::run_call(job& /*what*/,
                                                 connection_state* connection,
                                                 const rpc::begin_call& item)
{
    if (connection->m_transaction)
        return ended(rpc::call_outcome::failed, "a transaction is open");
    if (!is_primary_of(item.m_expected_term))
        return ended(rpc::call_outcome::wrong_term);
    connection->m_transaction.emplace(m_log, m_accepted);
    connection->m_transaction_failed = false;
    return ended(rpc::call_outcome::done);
}

endpoint_model::outcome
endpoint_model::run_call(job& /*what*/, connection_state* connection,
                         const rpc::statement_call& item)
{
    if (connection == nullptr)
        return ended(rpc::call_outcome::failed, "connection closed");
    if (!connection->m_transaction)
        return ended(rpc::call_outcome::failed, "no transaction is open");
    if (!is_primary_of(connection->m_transaction->began_in()))
        return ended(rpc::call_outcome::wrong_term);
    if (connection->m_transaction_failed)
        return ended(rpc::call_outcome::failed,
                     "an earlier statement of the transaction failed");
    auto rows = connection->m_transaction->run(item.m_statement);
    if (!rows)
    {
        connection->m_transaction_failed = true;
        return ended(rpc::call_outcome::failed, rows.error().m_message);
    }
    outcome done = ended(rpc::call_outcome::done);
    done.m_rows = *std::move(rows);
    return done;
}

endpoint_model::outcome
endpoint_model::run_call(job& what, connection_state* /*connection*/,
                         const rpc::commit_call& item)
{
    if (!is_primary_of(item.m_expected_term))
        return ended(rpc::call_outcome::wrong_term);
    if (auto known = recorded_outcome(item.m_request_id, item.m_attempt))
        return *std::move(known);
    if (!what.m_transaction)
        return ended(rpc::call_outcome::failed, "no transaction is open");
    if (what.m_transaction->began_in() != m_accepted)
        return ended(rpc::call_outcome::failed,
                     "the transaction began in an earlier term");
    if (what.m_transaction_failed)
        return ended(rpc::call_outcome::failed,
                     "an earlier statement of the transaction failed");
    if (what.m_transaction->has_conflict())
        return ended(rpc::call_outcome::failed,
                     "a row read by the transaction was changed by another");
    return record(item.m_request_id, item.m_attempt, false, {},
                  what.m_transaction->changes());
}

endpoint_model::outcome
endpoint_model::run_call(job& /*what*/, connection_state* connection,
                         const rpc::rollback_call& /*item*/)
{
    connection->m_transaction.reset();
    connection->m_transaction_failed = false;
    return ended(rpc::call_outcome::done);
}

endpoint_model::outcome
endpoint_model::run_call(job& /*what*/, connection_state* /*connection*/,
                         const rpc::probe_call& item)
{
    if (!is_primary_of(item.m_expected_term))
        return ended(rpc::call_outcome::wrong_term);
    const log_entry* known = m_log.record_of(item.m_request_id);
    if (known != nullptr && !known->m_record->m_fence)
        return *recorded_outcome(item.m_request_id, item.m_attempt);
    if (m_log.is_expired(item.m_request_id))
        return ended(rpc::call_outcome::record_expired);
    const bool fenced =
        known != nullptr && known->m_record->m_attempt >= item.m_attempt;
    if (item.m_fence && !fenced)
    {
        outcome written =
            record(item.m_request_id, item.m_attempt, true, {}, {});
        written.m_end.m_outcome = rpc::call_outcome::not_found;
        return written;
    }
    outcome absent = ended(rpc::call_outcome::not_found);
    if (fenced)
        absent.m_end.m_point = point_at(known->m_point.m_position);
    return absent;
}

endpoint_model::outcome
endpoint_model::run_call(job& /*what*/, connection_state* /*connection*/,
                         const rpc::ping_call& /*item*/)
{
    return ended(rpc::call_outcome::done);
}

std::optional<endpoint_model::outcome>
endpoint_model::recorded_outcome(const base::request_id& id,
                                 base::attempt_number attempt) const
{
    if (m_log.is_expired(id))
        return ended(rpc::call_outcome::record_expired);
    const log_entry* known = m_log.record_of(id);
    if (known == nullptr)
        return std::nullopt;
    const request_record& kept = *known->m_record;
    if (kept.m_fence && attempt > kept.m_attempt)
        return std::nullopt;
    outcome found = ended(kept.m_fence ? rpc::call_outcome::fenced
                                       : rpc::call_outcome::done);
    found.m_end.m_point = point_at(known->m_point.m_position);
    found.m_end.m_repeated = !kept.m_fence;
    found.m_rows = kept.m_rows;
    return found;
}

endpoint_model::outcome endpoint_model::record(const base::request_id& id,
                                               base::attempt_number attempt,
                                               bool fence,
                                               std::vector<rpc::row> rows,
                                               std::vector<row_change> changes)
{
    append_own(request_record{id, attempt, fence, rows}, std::move(changes));
    outcome done = ended(rpc::call_outcome::done);
    done.m_end.m_point = m_log.held();
    done.m_rows = std::move(rows);
    return done;
}

endpoint_model::outcome endpoint_model::ended(rpc::call_outcome how,
                                              std::string detail) const
{
    return {{how, 0, applied_point(), false, std::move(detail)}, {}};
}

base::log_point endpoint_model::applied_point() const
{
    return {m_accepted, m_log.applied()};
}

base::log_point endpoint_model::point_at(base::log_position position) const
{
    return {m_accepted, position};
}

} // namespace magnoliastack::standin
