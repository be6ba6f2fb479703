// Statements that run at a holder of their endpoint, and statements that this
// host runs for others.
#include "magnoliastack/entry/statement_runner.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::entry
{

using rpc::forwarded_scope;
using rpc::forwarding_number;
using rpc::statement_error;
using rpc::statement_kind;
using rpc::transaction_state;

namespace
{

forwarded_scope scope_of(const session& who)
{
    if (who.m_state == transaction_state::idle)
        return forwarded_scope::single;
    if (who.m_pinned_forward)
        return forwarded_scope::next;
    return who.m_read_only ? forwarded_scope::first_read_only
                           : forwarded_scope::first;
}

// A longer statement does not fit into a frame between hosts.
constexpr std::size_t largest_forwarded = 1 << 20;

bool fits_into_frame(const session& who)
{
    const auto& what = who.m_work->m_statement;
    std::size_t size = what.m_text.size() + what.m_argument.size();
    for (const auto& [name, value] : who.m_values)
        size += name.size() + value.size();
    if (what.m_kind == statement_kind::execute)
        size += who.m_prepared.at(what.m_name).m_shape.size();
    return size <= largest_forwarded;
}

// What the holder needs to run the statement; the session stays here.
rpc::forwarded_statement statement_of(const session& who)
{
    const work& what = *who.m_work;
    rpc::forwarded_statement result;
    result.m_group = who.m_route.m_group;
    result.m_organisation = who.m_organisation;
    result.m_scope = scope_of(who);
    result.m_statement = what.m_statement;
    result.m_writes = what.m_writes;
    if (what.m_statement.m_kind == statement_kind::execute)
    {
        const auto& prepared = who.m_prepared.at(what.m_statement.m_name);
        result.m_prepared_shape = prepared.m_shape;
        result.m_prepared_writes = prepared.m_writes;
    }
    result.m_values = who.m_values;
    if (!what.m_primary_only)
        result.m_after = what.m_after;
    result.m_route_priority = who.m_route.m_priority;
    return result;
}

} // namespace

// Not when a holder may be outside the home regions, or has no part in the
// requests to a cold endpoint.
bool statement_runner::may_forward(const session& who,
                                   const endpoint_state& endpoint,
                                   base::instant now) const
{
    return m_peers != nullptr && !who.m_required_endpoint &&
           who.m_homes.empty() && !endpoint.m_cold.is_cold(now) &&
           fits_into_frame(who);
}

bool statement_runner::can_forward(const session& who,
                                   const endpoint_state& endpoint,
                                   base::instant now) const
{
    return may_forward(who, endpoint, now) &&
           m_peers->choose(endpoint.m_entry.m_id, who.m_organisation,
                           who.m_work->m_refused_by, now);
}

// False when the statement needs a connection of this host.
bool statement_runner::forward(session& who, endpoint_state& endpoint,
                               base::instant now)
{
    if (!may_forward(who, endpoint, now))
        return false;
    const base::endpoint_id& id = endpoint.m_entry.m_id;
    const auto holder =
        m_peers->choose(id, who.m_organisation, who.m_work->m_refused_by, now);
    if (!holder)
    {
        if (m_peers->is_forwarded(id))
        {
            m_metrics.counter("forwarded.no_holder").add();
            m_log.info("not_forwarded",
                       {{"request", who.m_work->m_statement.m_id},
                        {"endpoint", id},
                        {"refused_by", who.m_work->m_refused_by.size()}});
        }
        return false;
    }
    m_last_forwarding = m_last_forwarding.next();
    const auto number = m_last_forwarding;
    forwarded_work& at = m_forwarded[number];
    at.m_owner = who.m_number;
    at.m_holder = *holder;
    at.m_endpoint = id;
    ++m_forwarded_at[id];
    send_forwarded(who, number, at, now);
    return true;
}

void statement_runner::send_forwarded(session& who, forwarding_number number,
                                      forwarded_work& at, base::instant now)
{
    work& what = *who.m_work;
    what.m_stage = work_stage::running;
    what.m_connection = {};
    what.m_forwarded = number;
    what.m_sent = now;
    auto message = statement_of(who);
    message.m_number = number;
    message.m_endpoint = at.m_endpoint;
    if (const endpoint_state* endpoint = find_endpoint(at.m_endpoint))
        message.m_endpoint_started_unix_ms =
            endpoint->m_entry.m_started_unix_ms;
    message.m_time_left = what.m_deadline - now;
    const absl::Duration waits =
        m_options.m_longest_wait - (now - what.m_arrived);
    message.m_start_within = std::min(
        std::max(waits / 2, m_options.m_least_start), message.m_time_left);
    m_metrics.counter("forwarded.sent").add();
    m_log.debug("statement_forwarded", {{"request", what.m_statement.m_id},
                                        {"holder", at.m_holder.m_host},
                                        {"endpoint", at.m_endpoint},
                                        {"number", number}});
    at.m_awaited = true;
    m_peers->send(at.m_holder, std::move(message));
    m_peers->begin_awaiting(at.m_holder.m_host);
}

// The next statement of a transaction at a holder.
void statement_runner::submit_forwarded(session& who, base::instant now)
{
    const auto number = *who.m_pinned_forward;
    const auto found = m_forwarded.find(number);
    if (found == m_forwarded.end())
    {
        who.m_pinned_forward.reset();
        finish(who, statement_error::aborted, "the transaction was lost");
        return;
    }
    work& what = *who.m_work;
    what.m_forwarded = number;
    if (what.m_primary_only &&
        !m_primaries.may_continue(who.m_route.m_group, found->second.m_endpoint,
                                  now))
    {
        m_metrics.counter("transactions.primary_moved").add();
        forwarded_lost(number, now);
        return;
    }
    send_forwarded(who, number, found->second, now);
}

void statement_runner::stop_awaiting(forwarded_work& at)
{
    if (std::exchange(at.m_awaited, false))
        m_peers->end_awaiting(at.m_holder.m_host);
}

void statement_runner::remove_forwarded(forwarding_number number)
{
    const auto found = m_forwarded.find(number);
    if (found == m_forwarded.end())
        return;
    stop_awaiting(found->second);
    const auto count = m_forwarded_at.find(found->second.m_endpoint);
    if (--count->second == 0)
        m_forwarded_at.erase(count);
    m_forwarded.erase(found);
}

void statement_runner::drop_forwarded(forwarding_number number)
{
    const auto found = m_forwarded.find(number);
    if (found == m_forwarded.end())
        return;
    m_peers->send(found->second.m_holder, rpc::forwarded_forget{number});
    remove_forwarded(number);
}

// Counterpart of connection_lost: no answer to the number is taken any more.
void statement_runner::forwarded_lost(forwarding_number number,
                                      base::instant now)
{
    const auto found = m_forwarded.find(number);
    if (found == m_forwarded.end())
        return;
    const forwarded_work at = found->second;
    drop_forwarded(number);
    forwarded_work_lost(at, number, now);
}

void statement_runner::forwarded_work_lost(const forwarded_work& at,
                                           forwarding_number number,
                                           base::instant now)
{
    const auto found = m_sessions.find(at.m_owner);
    if (found == m_sessions.end())
        return;
    session& who = *found->second;
    if (who.is_working() && who.m_work->m_forwarded == number)
    {
        // The endpoint may have been asked to run it.
        who.m_holds_token = false;
        work_lost(who, at.m_endpoint, now);
        return;
    }
    if (who.m_pinned_forward == number)
    {
        who.m_pinned_forward.reset();
        note_transaction_lost(who);
    }
}

void statement_runner::forwarded_answered(const base::host_id& from,
                                          rpc::forwarded_answer answer,
                                          base::instant now)
{
    const event_scope event(*this);
    const auto number = answer.m_number;
    const auto found = m_forwarded.find(number);
    if (found == m_forwarded.end() || !found->second.m_awaited ||
        found->second.m_holder.m_host != from)
    {
        m_metrics.counter("forwarded.not_awaited").add();
        return;
    }
    stop_awaiting(found->second);
    const auto owner = m_sessions.find(found->second.m_owner);
    if (owner == m_sessions.end() || !owner->second->is_working() ||
        owner->second->m_work->m_forwarded != number)
    {
        remove_forwarded(number);
        return;
    }
    session& who = *owner->second;
    if (!answer.m_not_sent)
    {
        forwarded_ended(who, found->second.m_endpoint, std::move(answer), now);
        return;
    }
    remove_forwarded(number);
    if (who.m_pinned_forward != number)
    {
        refused_by_holder(who, from, answer.m_error_text, now);
        return;
    }
    // Only the holder that had the transaction could go on with it.
    who.m_pinned_forward.reset();
    m_metrics.counter("forwarded.transactions_lost").add();
    finish(who, statement_error::aborted, "the transaction was lost");
}

// Nothing of the statement was sent to the endpoint, so this uses none of its
// tries.
void statement_runner::refused_by_holder(session& who,
                                         const base::host_id& holder,
                                         std::string_view reason,
                                         base::instant now)
{
    work& what = *who.m_work;
    what.m_forwarded.reset();
    what.m_stage = work_stage::waiting;
    what.m_refused_by.push_back(holder);
    m_metrics.counter("forwarded.refused." + std::string(reason)).add();
    m_log.info("holder_refused", {{"request", what.m_statement.m_id},
                                  {"holder", holder},
                                  {"reason", reason},
                                  {"age", now - what.m_arrived}});
    place(who, true, now);
}

// Counterpart of statement_ended.
void statement_runner::forwarded_ended(session& who,
                                       base::endpoint_id endpoint_id,
                                       rpc::forwarded_answer answer,
                                       base::instant now)
{
    work& what = *who.m_work;
    const auto number = answer.m_number;
    const auto error = answer.m_error;
    endpoint_state* endpoint = find_endpoint(endpoint_id);
    if (endpoint != nullptr && (answer.m_signature || answer.m_position))
        answered_through_holder(*endpoint, now);
    if (answer.m_position)
        note_position(endpoint_id, *answer.m_position, what.m_sent, now);
    m_metrics.counter("forwarded.answered").add();
    what.m_rows = std::move(answer.m_rows);
    what.m_signature = std::move(answer.m_signature);
    what.m_failure_text = std::move(answer.m_error_text);
    const bool single = who.m_state == transaction_state::idle;
    const bool commit = what.m_statement.m_kind == statement_kind::commit;
    const bool first = !single && !who.m_pinned_forward;
    // Nothing of the transaction is left at the endpoint, and its caller has
    // seen nothing of it: the whole may begin elsewhere.
    if (first && error && answer.m_state == transaction_state::idle &&
        (is_not_run(*error) || *error == statement_error::aborted))
    {
        remove_forwarded(number);
        if (!begin_refused(who, endpoint_id, *error, now))
        {
            begin_given_up(who, *error);
            return;
        }
        wait(who);
        place_waiting(who.m_route.m_group);
        return;
    }
    who.m_holds_token = false;
    const auto consequence =
        judge_answer(who, endpoint_id, error, answer.m_position, now);
    if (consequence == answer_consequence::broken)
    {
        forwarded_lost(number, now);
        return;
    }
    if (consequence == answer_consequence::repeat)
    {
        remove_forwarded(number);
        wait(who);
        place_waiting(who.m_route.m_group);
        return;
    }
    if (!single && !commit && !error &&
        answer.m_state == transaction_state::open)
    {
        who.m_pinned_forward = number;
    }
    else
    {
        // The holder has rolled a failed transaction back.
        who.m_pinned_forward.reset();
        remove_forwarded(number);
    }
    finish(who, error, what.m_failure_text);
}

// The endpoint is there. Requests of this host's own that have no answer are
// judged by their own time.
void statement_runner::answered_through_holder(endpoint_state& endpoint,
                                               base::instant now)
{
    endpoint.m_heard = now;
    if (endpoint.m_health != endpoint_health::serving)
        endpoint.m_failed_since = now;
}

void statement_runner::forwarded_transaction_lost(const base::host_id& from,
                                                  forwarding_number number,
                                                  base::instant now)
{
    const event_scope event(*this);
    const auto found = m_forwarded.find(number);
    // A statement that was sent meanwhile gets an answer of its own.
    if (found == m_forwarded.end() || found->second.m_awaited ||
        found->second.m_holder.m_host != from)
        return;
    const forwarded_work at = found->second;
    m_metrics.counter("forwarded.transactions_lost").add();
    remove_forwarded(number);
    forwarded_work_lost(at, number, now);
}

void statement_runner::holder_lost(const base::host_id& host, bool refused,
                                   base::instant now)
{
    const event_scope event(*this);
    std::vector<std::pair<forwarding_number, forwarded_work>> lost;
    for (const auto& [number, at] : m_forwarded)
        if (at.m_holder.m_host == host)
            lost.emplace_back(number, at);
    // No forwarded work is affected, so the loss is no evidence of a failed
    // holder.
    if (lost.empty())
        return;
    m_peers->lost(host, refused, now);
    for (const auto& [number, at] : lost)
        remove_forwarded(number);
    for (const auto& [number, at] : lost)
    {
        const auto found = m_sessions.find(at.m_owner);
        if (refused && found != m_sessions.end() &&
            found->second->is_working() &&
            found->second->m_work->m_forwarded == number &&
            found->second->m_pinned_forward != number)
        {
            refused_by_holder(*found->second, host, "not_listening", now);
            continue;
        }
        m_metrics.counter("forwarded.lost").add();
        forwarded_work_lost(at, number, now);
    }
}

// A forwarded statement that has used its time. A holder that is silent would
// have lost its stream before.
void statement_runner::end_late_forwarded(session& who, base::instant now)
{
    const work& what = *who.m_work;
    const auto found = m_forwarded.find(*what.m_forwarded);
    endpoint_state* endpoint = find_endpoint(found->second.m_endpoint);
    if (endpoint != nullptr && now - what.m_sent > m_options.m_holder_silence)
        endpoint->m_failures.ended(true, now);
    forwarded_lost(found->first, now);
}

// Places what another host has sent here: at its endpoint or not at all. That
// host has checked the primary and the log point.
bool statement_runner::place_required(session& who, bool may_open,
                                      base::instant now)
{
    endpoint_state* endpoint = find_endpoint(*who.m_required_endpoint);
    if (endpoint == nullptr || !endpoint->m_listed ||
        endpoint->m_health != endpoint_health::serving)
    {
        finish(who, statement_error::busy, "unreachable");
        return true;
    }
    const bool has_room = endpoint->m_pace.has_room(endpoint->in_flight());
    const endpoint_pool& pool = endpoint->m_pool;
    const bool can_connect =
        may_open && pool.opening() < m_options.m_largest_opening &&
        (pool.can_open(now) || endpoint->m_pool.oldest_idle() != nullptr);
    if (!has_room ||
        (!can_connect && endpoint->m_pool.find_idle(who.m_organisation,
                                                    who.m_values) == nullptr))
    {
        wait(who);
        return false;
    }
    use(who, *endpoint, now);
    return true;
}

bool statement_runner::withdraw(session& who, base::instant /*now*/)
{
    if (!who.is_working())
        return false;
    const work_stage stage = who.m_work->m_stage;
    if (stage == work_stage::connecting)
    {
        // The connection serves the next statement.
        connection* opening = find(who.m_work->m_connection);
        if (opening != nullptr && opening->m_owner == who.m_number)
            opening->m_owner.reset();
    }
    else if (stage != work_stage::waiting)
    {
        return false;
    }
    who.m_work.reset();
    m_sessions.erase(who.m_number);
    return true;
}

} // namespace magnoliastack::entry
