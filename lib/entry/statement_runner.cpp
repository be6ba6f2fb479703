#include "magnoliastack/entry/statement_runner.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace magnoliastack::entry
{
namespace
{

using rpc::endpoint_request;
using rpc::statement_kind;
using rpc::transaction_state;

// The request that carries a statement of the session.
endpoint_request request_of(const work& what, const std::string& prepared_name)
{
    endpoint_request request;
    request.m_id = what.m_statement.m_id;
    if (what.m_statement.m_kind == statement_kind::execute)
    {
        request.m_action = endpoint_request::action::execute;
        request.m_name = prepared_name;
        request.m_text = what.m_statement.m_argument;
        return request;
    }
    request.m_action = endpoint_request::action::forward;
    request.m_text = what.m_statement.m_text;
    return request;
}

} // namespace

statement_runner::statement_runner(runner_options options,
                                   rpc::statement_link& link,
                                   const primary_source& primaries,
                                   runner_events& events,
                                   metrics::registry& metrics,
                                   const base::clock& clock)
    : m_options(std::move(options)), m_link(link), m_primaries(primaries),
      m_events(events), m_metrics(metrics), m_clock(clock)
{
}

statement_runner::event_scope::event_scope(statement_runner& runner)
    : m_runner(runner)
{
    ++m_runner.m_open_scopes;
}

statement_runner::event_scope::~event_scope()
{
    // The scope stays open while it settles, so that what this causes is noted
    // as well.
    if (m_runner.m_open_scopes == 1)
        m_runner.settle(m_runner.m_clock.now());
    --m_runner.m_open_scopes;
}

// Ended statements first: the next statement of a session finds the connection
// that has its values.
void statement_runner::settle(base::instant now)
{
    while (true)
    {
        if (!m_notices.empty())
        {
            const notice next = m_notices.front();
            m_notices.pop_front();
            deliver(next, now);
            continue;
        }
        if (m_groups_to_place.empty())
            break;
        const base::group_id group =
            m_groups_to_place.extract(m_groups_to_place.begin()).value();
        place_group(group, now);
    }
    close_unneeded();
}

void statement_runner::deliver(const notice& what, base::instant now)
{
    const auto found = m_sessions.find(what.m_session);
    if (found == m_sessions.end())
        return;
    session& who = *found->second;
    if (what.m_transaction_lost)
    {
        receiver_of(who).transaction_lost(who, now);
        return;
    }
    if (!who.m_work || !who.m_work->m_result)
        return;
    const statement_result result = *who.m_work->m_result;
    receiver_of(who).work_finished(who, result, now);
}

runner_events& statement_runner::receiver_of(const session& who) const
{
    return who.m_events == nullptr ? m_events : *who.m_events;
}

void statement_runner::note_transaction_lost(const session& who)
{
    m_notices.push_back({who.m_number, true});
}

void statement_runner::submit(session& who, base::instant now)
{
    const event_scope event(*this);
    m_sessions[who.m_number] = &who;
    work& what = *who.m_work;
    if (who.m_pinned_forward)
    {
        submit_forwarded(who, now);
        return;
    }
    if (!who.m_pinned)
    {
        place(who, true, now);
        return;
    }
    connection* pinned = find(*who.m_pinned);
    if (pinned == nullptr)
    {
        finish(who, rpc::statement_error::aborted, "the connection was lost");
        return;
    }
    what.m_connection = pinned->m_number;
    if (const endpoint_state* endpoint = find_endpoint(pinned->m_endpoint);
        endpoint != nullptr && is_closed(*endpoint, now))
    {
        connection_lost(*pinned, now);
        return;
    }
    if (what.m_primary_only &&
        !m_primaries.may_continue(who.m_route.m_group, pinned->m_endpoint, now))
    {
        m_metrics.counter("transactions.primary_moved").add();
        connection_lost(*pinned, now);
        return;
    }
    start(who, *pinned, now);
}

void statement_runner::roll_back(session& who, base::instant now)
{
    const event_scope event(*this);
    if (who.m_pinned_forward)
    {
        const auto number = *std::exchange(who.m_pinned_forward, std::nullopt);
        const auto found = m_forwarded.find(number);
        if (found != m_forwarded.end())
            m_peers->send(found->second.m_holder,
                          rpc::forwarded_roll_back{number});
        remove_forwarded(number);
    }
    if (!who.m_pinned)
        return;
    connection* pinned = find(*who.m_pinned);
    who.m_pinned.reset();
    if (pinned == nullptr)
        return;
    pinned->m_owner.reset();
    endpoint_request request;
    request.m_action = endpoint_request::action::roll_back;
    send(*pinned, awaited::roll_back, request);
    pinned->m_used = now;
}

// A transaction is rolled back; a single statement may end by itself, and its
// connection serves others after that.
void statement_runner::forget(session& who, base::instant now)
{
    const event_scope event(*this);
    if (who.is_pinned() && !who.is_working())
        roll_back(who, now);
    if (who.m_work && who.m_work->m_forwarded)
        drop_forwarded(*who.m_work->m_forwarded);
    else if (who.m_work || who.m_pinned)
    {
        const auto number =
            who.m_pinned ? *who.m_pinned : who.m_work->m_connection;
        connection* item = find(number);
        if (item != nullptr && item->m_owner == who.m_number)
        {
            item->m_owner.reset();
            if (who.m_state != transaction_state::idle || !item->m_open)
                close(*item);
        }
    }
    who.m_work.reset();
    who.m_pinned.reset();
    who.m_pinned_forward.reset();
    m_sessions.erase(who.m_number);
}

void statement_runner::use(session& who, endpoint_state& endpoint,
                           base::instant now)
{
    work& what = *who.m_work;
    endpoint.m_failures.tried(now);
    connection* idle =
        endpoint.m_pool.find_idle(who.m_organisation, who.m_values);
    if (idle != nullptr)
    {
        idle->m_owner = who.m_number;
        what.m_connection = idle->m_number;
        start(who, *idle, now);
        return;
    }
    if (forward(who, endpoint, now))
        return;
    if (endpoint.m_pool.is_full() || !endpoint.m_pool.can_open(now))
    {
        connection* oldest = endpoint.m_pool.oldest_idle();
        if (oldest != nullptr)
        {
            m_metrics.counter("connections.closed.for_other").add();
            close(*oldest);
        }
    }
    connection& opening = open(endpoint, who.m_organisation, now);
    opening.m_owner = who.m_number;
    what.m_connection = opening.m_number;
    what.m_stage = work_stage::connecting;
}

connection& statement_runner::open(endpoint_state& endpoint,
                                   const base::organisation_id& organisation,
                                   base::instant now)
{
    m_last_connection = m_last_connection.next();
    connection& item = endpoint.m_pool.add(
        m_last_connection, endpoint.m_entry.m_id, organisation, now);
    m_connections[item.m_number] = &item;
    m_metrics.counter("connections.opened").add();
    endpoint.m_cold.try_take(now);
    m_link.open(item.m_number,
                {endpoint.m_entry.m_address, endpoint.m_entry.m_group,
                 organisation, endpoint.m_entry.m_id});
    if (!endpoint.m_waiting_since)
        endpoint.m_waiting_since = now;
    return item;
}

// Brings the connection to the session's values, begins its transaction and
// sends the statement after the last answer. Nothing is sent ahead: a
// statement behind a failed begin would run outside its transaction.
void statement_runner::start(session& who, connection& on, base::instant now)
{
    work& what = *who.m_work;
    const prepared_statement* needed = nullptr;
    if (what.m_statement.m_kind == statement_kind::execute)
        needed = &who.m_prepared.at(what.m_statement.m_name);
    prepare(who, on, needed);
    if (who.m_state == transaction_state::open && !who.m_pinned)
    {
        endpoint_request begin;
        begin.m_action = who.m_read_only
                             ? endpoint_request::action::begin_read_only
                             : endpoint_request::action::begin;
        if (who.m_read_only && !what.m_primary_only)
            begin.m_after = what.m_after;
        send(on, awaited::begin, begin);
    }
    if (on.m_awaited.empty())
        send_statement(who, on, now);
    else
        what.m_stage = work_stage::preparing;
}

void statement_runner::prepare(const session& who, connection& on,
                               const prepared_statement* needed)
{
    const bool has_other =
        std::any_of(on.m_values.begin(), on.m_values.end(),
                    [&who](const auto& held)
                    {
                        return !who.m_values.contains(held.first);
                    });
    endpoint_request request;
    if (has_other)
    {
        request.m_action = endpoint_request::action::reset;
        send(on, awaited::preparation, request);
        on.m_values.clear();
        on.m_prepared.clear();
    }
    request.m_action = endpoint_request::action::set_value;
    for (const auto& [name, value] : who.m_values)
    {
        const auto held = on.m_values.find(name);
        if (held != on.m_values.end() && held->second == value)
            continue;
        request.m_name = name;
        request.m_text = value;
        send(on, awaited::preparation, request);
        on.m_values[name] = value;
    }
    if (needed == nullptr)
        return;
    request.m_name = prepared_name(*needed);
    if (!on.m_prepared.insert(request.m_name).second)
        return;
    request.m_action = needed->m_writes
                           ? endpoint_request::action::prepare_write
                           : endpoint_request::action::prepare_read;
    request.m_text = needed->m_shape;
    send(on, awaited::preparation, request);
}

void statement_runner::send_statement(session& who, connection& on,
                                      base::instant now)
{
    work& what = *who.m_work;
    std::string name;
    if (what.m_statement.m_kind == statement_kind::execute)
        name = prepared_name(who.m_prepared.at(what.m_statement.m_name));
    auto request = request_of(what, name);
    if (!what.m_primary_only && who.m_state == transaction_state::idle)
        request.m_after = what.m_after;
    what.m_stage = work_stage::running;
    what.m_sent = now;
    who.m_holds_token = false;
    send(on, awaited::statement, request);
}

void statement_runner::send(connection& on, awaited what,
                            const endpoint_request& request)
{
    const auto now = m_clock.now();
    on.m_awaited.push_back({what, now});
    on.m_used = now;
    endpoint_state* endpoint = find_endpoint(on.m_endpoint);
    if (endpoint != nullptr &&
        (!endpoint->m_unsent.empty() || !endpoint->m_cold.try_take(now)))
    {
        m_metrics.counter("cold.delayed").add();
        ++on.m_unsent;
        endpoint->m_unsent.push_back({on.m_number, request});
        return;
    }
    if (endpoint != nullptr && !endpoint->m_waiting_since)
        endpoint->m_waiting_since = now;
    m_link.send(on.m_number, request);
}

// Sends what waited for a token. Its time counts from now on.
void statement_runner::send_unsent(endpoint_state& endpoint, base::instant now)
{
    while (!endpoint.m_unsent.empty())
    {
        connection* on = find(endpoint.m_unsent.front().m_connection);
        if (on == nullptr)
        {
            endpoint.m_unsent.pop_front();
            continue;
        }
        if (!endpoint.m_cold.try_take(now))
            return;
        const auto request = std::move(endpoint.m_unsent.front().m_request);
        endpoint.m_unsent.pop_front();
        pending_answer& awaited_now =
            on->m_awaited[on->m_awaited.size() - on->m_unsent];
        --on->m_unsent;
        awaited_now.m_sent = now;
        session* who = owner_of(*on);
        if (awaited_now.m_what == awaited::statement && who != nullptr &&
            who->m_work)
            who->m_work->m_sent = now;
        if (!endpoint.m_waiting_since)
            endpoint.m_waiting_since = now;
        m_link.send(on->m_number, request);
    }
}

void statement_runner::release(connection& item, base::instant now)
{
    item.m_owner.reset();
    item.m_used = now;
    m_released.push_back(item.m_number);
    if (const auto group = m_group_of.find(item.m_endpoint);
        group != m_group_of.end())
        m_groups_to_place.insert(group->second);
}

// Closes what was given back, found no work, and is not to be kept.
void statement_runner::close_unneeded()
{
    for (const auto number : std::exchange(m_released, {}))
    {
        connection* item = find(number);
        if (item == nullptr || !item->is_idle())
            continue;
        const endpoint_state* endpoint = find_endpoint(item->m_endpoint);
        if (endpoint != nullptr &&
            (!endpoint->m_listed || endpoint->m_pool.is_over_share()))
            close(*item);
    }
}

void statement_runner::close(connection& item)
{
    const auto number = item.m_number;
    m_link.close(number);
    m_connections.erase(number);
    m_controls.erase(number);
    endpoint_state* endpoint = find_endpoint(item.m_endpoint);
    if (endpoint != nullptr)
        endpoint->m_pool.remove(number);
}

bool statement_runner::try_again(session& who,
                                 const base::endpoint_id& endpoint,
                                 const char* cause, base::instant now)
{
    work& what = *who.m_work;
    m_log.info("statement_retried", {{"request", what.m_statement.m_id},
                                     {"endpoint", endpoint},
                                     {"cause", cause},
                                     {"tries", what.m_tried.size() + 1},
                                     {"age", now - what.m_arrived}});
    what.m_tried.push_back(endpoint);
    // The host that has chosen the endpoint decides about repetitions.
    if (who.m_required_endpoint)
        return false;
    if (what.m_tried.size() >= m_options.m_largest_tries ||
        now >= what.m_deadline)
        return false;
    what.m_rows.clear();
    what.m_signature.reset();
    what.m_stage = work_stage::waiting;
    what.m_connection = {};
    what.m_forwarded.reset();
    return true;
}

// The statement has this result; its receiver is told when the event is over.
void statement_runner::finish(session& who,
                              std::optional<rpc::statement_error> error,
                              std::string_view text)
{
    who.m_work->m_result = {error, std::string(text)};
    m_notices.push_back({who.m_number});
}

group_state* statement_runner::find_group(const base::group_id& group)
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? nullptr : &found->second;
}

endpoint_state*
statement_runner::find_endpoint(const base::endpoint_id& endpoint)
{
    const auto group = m_group_of.find(endpoint);
    if (group == m_group_of.end())
        return nullptr;
    auto& endpoints = m_groups.at(group->second).m_endpoints;
    const auto found = endpoints.find(endpoint);
    return found == endpoints.end() ? nullptr : &found->second;
}

const endpoint_state*
statement_runner::find_endpoint(const base::endpoint_id& endpoint) const
{
    const auto group = m_group_of.find(endpoint);
    if (group == m_group_of.end())
        return nullptr;
    const auto& endpoints = m_groups.at(group->second).m_endpoints;
    const auto found = endpoints.find(endpoint);
    return found == endpoints.end() ? nullptr : &found->second;
}

connection* statement_runner::find(base::connection_generation number)
{
    const auto found = m_connections.find(number);
    return found == m_connections.end() ? nullptr : found->second;
}

session* statement_runner::owner_of(const connection& item)
{
    if (!item.m_owner)
        return nullptr;
    const auto found = m_sessions.find(*item.m_owner);
    return found == m_sessions.end() ? nullptr : found->second;
}

session* statement_runner::working_on(const connection& item)
{
    session* who = owner_of(item);
    const bool works = who != nullptr && who->is_working() &&
                       who->m_work->m_connection == item.m_number;
    return works ? who : nullptr;
}

// Sessions choose colliding names, so each shape has one name of the proxy's
// own on all connections, and sessions share what is prepared.
const std::string&
statement_runner::prepared_name(const prepared_statement& what)
{
    const auto key = std::make_pair(what.m_writes, what.m_shape);
    const auto found = m_prepared_names.find(key);
    if (found != m_prepared_names.end())
        return found->second;
    const auto number = m_prepared_names.size() + 1;
    return m_prepared_names.emplace(key, absl::StrCat("p", number))
        .first->second;
}

} // namespace magnoliastack::entry
