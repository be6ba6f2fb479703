// What endpoints answer, and what becomes of the statements.
#include "magnoliastack/entry/statement_runner.hpp"

namespace magnoliastack::entry
{

using rpc::statement_error;
using rpc::statement_kind;
using rpc::transaction_state;

namespace
{

// Weight of a new answer in an endpoint's moving average.
constexpr double answer_time_weight = 0.15;

absl::Duration averaged(absl::Duration average, absl::Duration sample)
{
    if (average <= absl::ZeroDuration())
        return sample;
    return average * (1 - answer_time_weight) + sample * answer_time_weight;
}

const char* to_string(awaited what)
{
    switch (what)
    {
    case awaited::preparation:
        return "preparation";
    case awaited::begin:
        return "begin";
    case awaited::statement:
        return "statement";
    case awaited::roll_back:
        return "roll_back";
    case awaited::report:
        return "report";
    }
    return "unknown";
}

const char* to_string(transaction_state state)
{
    switch (state)
    {
    case transaction_state::idle:
        return "idle";
    case transaction_state::open:
        return "open";
    case transaction_state::failed:
        return "failed";
    }
    return "unknown";
}

} // namespace

void statement_runner::opened(base::connection_generation number,
                              std::optional<base::log_point> position)
{
    const event_scope event(*this);
    const auto now = m_clock.now();
    connection* item = find(number);
    if (item == nullptr)
        return;
    item->m_open = true;
    item->m_heard = now;
    endpoint_state* endpoint = find_endpoint(item->m_endpoint);
    if (endpoint != nullptr)
        endpoint_answered(*endpoint, now);
    if (position)
        note_position(item->m_endpoint, *position, item->m_opened, now);
    if (m_controls.contains(number))
    {
        start_control(*item, now);
        return;
    }
    session* who = working_on(*item);
    if (who == nullptr)
    {
        release(*item, now);
        return;
    }
    start(*who, *item, now);
}

void statement_runner::rejected(base::connection_generation number,
                                statement_error error)
{
    const event_scope event(*this);
    const auto now = m_clock.now();
    connection* item = find(number);
    if (item == nullptr)
        return;
    m_metrics.counter(std::string("connections.rejected.") + to_string(error))
        .add();
    endpoint_state* endpoint = find_endpoint(item->m_endpoint);
    if (endpoint != nullptr)
    {
        endpoint_answered(*endpoint, now);
        if (error == statement_error::too_many_connections)
            endpoint->m_pool.refused(now);
        else
            m_log.warning(
                "connection_rejected",
                {{"endpoint", item->m_endpoint}, {"reason", to_string(error)}});
    }
    if (error == statement_error::too_many_connections)
        opening_rejected(*item, now);
    else
        connection_lost(*item, now);
}

// The statement that the connection was for was never sent: it waits on and has
// not used one of its tries. After a restart of many hosts endpoints are full
// of connections that nobody holds for 3 s.
void statement_runner::opening_rejected(connection& item, base::instant now)
{
    session* who = working_on(item);
    const bool waits =
        who != nullptr && who->m_work->m_stage == work_stage::connecting;
    if (!waits)
    {
        connection_lost(item, now);
        return;
    }
    close(item);
    m_metrics.counter("retried.opening_rejected").add();
    who->m_work->m_stage = work_stage::waiting;
    who->m_work->m_connection = {};
    who->m_work->m_not_before = now + m_options.m_busy_pause;
    wait(*who);
    place_waiting(who->m_route.m_group);
}

void statement_runner::row_received(base::connection_generation number,
                                    std::string row)
{
    connection* item = find(number);
    if (item == nullptr)
        return;
    item->m_heard = m_clock.now();
    session* who = working_on(*item);
    if (who != nullptr && !item->m_awaited.empty() &&
        item->m_awaited.front().m_what == awaited::statement)
        who->m_work->m_rows.push_back(std::move(row));
}

void statement_runner::done_received(base::connection_generation number,
                                     std::string signature)
{
    connection* item = find(number);
    if (item == nullptr)
        return;
    session* who = working_on(*item);
    if (who != nullptr && !item->m_awaited.empty() &&
        item->m_awaited.front().m_what == awaited::statement)
        who->m_work->m_signature = std::move(signature);
}

void statement_runner::failure_received(base::connection_generation number,
                                        statement_error error, std::string text)
{
    connection* item = find(number);
    if (item == nullptr)
        return;
    item->m_failure = error;
    session* who = working_on(*item);
    if (who != nullptr)
        who->m_work->m_failure_text = std::move(text);
}

void statement_runner::report_received(base::connection_generation number,
                                       const rpc::endpoint_report& report)
{
    const auto found = m_controls.find(number);
    if (found == m_controls.end())
        return;
    const connection* item = find(number);
    endpoint_state* endpoint =
        item == nullptr ? nullptr : find_endpoint(item->m_endpoint);
    if (endpoint != nullptr)
    {
        endpoint->m_position = report.m_received;
        endpoint->m_position_at = m_clock.now();
    }
    // Last, since the receiver may use any connection.
    const report_callback done = found->second.m_done;
    if (done)
        done(report);
}

void statement_runner::ready_received(base::connection_generation number,
                                      transaction_state state,
                                      std::optional<base::log_point> position)
{
    const event_scope event(*this);
    const auto now = m_clock.now();
    connection* item = find(number);
    if (item == nullptr)
        return;
    item->m_heard = now;
    if (item->m_awaited.empty())
    {
        m_log.warning("unexpected_answer", {{"endpoint", item->m_endpoint}});
        connection_lost(*item, now);
        return;
    }
    endpoint_state* endpoint = find_endpoint(item->m_endpoint);
    if (endpoint != nullptr)
        endpoint_answered(*endpoint, now);
    answer_ended(*item, state, position, now);
    // A statement of a transaction leaves room too, but frees no connection.
    if (endpoint != nullptr && endpoint->m_pace.is_warming_up())
        place_waiting(endpoint->m_entry.m_group);
}

// What a statement's end tells about an endpoint.
void statement_runner::follow_pace(endpoint_state& endpoint,
                                   std::optional<statement_error> error,
                                   absl::Duration took, base::instant now)
{
    const bool was_down = endpoint.m_failures.down_since().has_value();
    const bool bad =
        error == statement_error::failed || error == statement_error::timeout;
    endpoint.m_failures.ended(bad, now);
    if (was_down && !endpoint.m_failures.down_since())
        warm_up(endpoint, endpoint.m_entry, "succeeds", now);
    const bool warming = endpoint.m_pace.is_warming_up();
    if (error == statement_error::busy)
        endpoint.m_pace.refused(now);
    else if (!error)
        endpoint.m_pace.answered(took, endpoint.in_flight() + 1, now);
    if (warming && !endpoint.m_pace.is_warming_up())
        m_log.info("endpoint_warm", {{"endpoint", endpoint.m_entry.m_id}});
}

void statement_runner::answer_ended(connection& on, transaction_state state,
                                    std::optional<base::log_point> position,
                                    base::instant now)
{
    const pending_answer answered = on.m_awaited.front();
    on.m_awaited.pop_front();
    if (position)
        note_position(on.m_endpoint, *position, answered.m_sent, now);
    session* who = working_on(on);
    const bool failed = on.m_failure.has_value();
    const bool is_foreign = who == nullptr && on.m_owner;
    if (is_foreign || !may_follow(on, answered, who, state))
    {
        unexpected_answer(on, answered, who, state, now);
        return;
    }
    on.m_state = state;
    if (answered.m_what == awaited::report)
    {
        if (failed)
        {
            m_metrics.counter("endpoints.reports_refused").add();
            m_log.info("report_refused",
                       {{"endpoint", on.m_endpoint},
                        {"reason", to_string(*on.m_failure)}});
        }
        on.m_failure.reset();
        on.m_control = false;
        m_controls.erase(on.m_number);
        release(on, now);
        return;
    }
    if (answered.m_what == awaited::preparation && failed)
    {
        m_log.warning("preparation_failed",
                      {{"endpoint", on.m_endpoint},
                       {"reason", to_string(*on.m_failure)}});
        connection_lost(on, now);
        return;
    }
    if (answered.m_what == awaited::roll_back || who == nullptr)
    {
        on.m_failure.reset();
        if (on.m_awaited.empty())
            release(on, now);
        return;
    }
    if (answered.m_what == awaited::statement)
    {
        statement_ended(on, *who, state, position, now);
        return;
    }
    if (answered.m_what == awaited::begin && failed)
    {
        begin_ended(on, *who, now);
        return;
    }
    if (on.m_awaited.empty())
        send_statement(*who, on, now);
}

// False when the state of the endpoint's transaction cannot follow from the
// request, so that something has run inside another transaction or outside its
// own.
bool statement_runner::may_follow(const connection& on,
                                  const pending_answer& answered,
                                  const session* who, transaction_state state)
{
    const bool failed = on.m_failure.has_value();
    if (answered.m_what == awaited::preparation ||
        answered.m_what == awaited::report)
        return state == on.m_state;
    if (answered.m_what == awaited::roll_back || who == nullptr)
        return state == transaction_state::idle;
    if (answered.m_what == awaited::begin)
        return state ==
               (failed ? transaction_state::idle : transaction_state::open);
    if (who->m_state == transaction_state::idle)
        return state == transaction_state::idle;
    if (failed)
        return true;
    return who->m_work->m_statement.m_kind == statement_kind::commit
               ? state == transaction_state::idle
               : state == transaction_state::open;
}

// Nobody may use the connection any more. A write that was sent may be kept or
// not, whatever the answer says.
void statement_runner::unexpected_answer(connection& on,
                                         const pending_answer& answered,
                                         session* who, transaction_state state,
                                         base::instant now)
{
    m_metrics.counter("connections.unexpected_state").add();
    m_log.warning("unexpected_state", {{"endpoint", on.m_endpoint},
                                       {"connection", on.m_number},
                                       {"request", to_string(answered.m_what)},
                                       {"state", to_string(state)},
                                       {"failed", on.m_failure.has_value()},
                                       {"owned", on.m_owner.has_value()}});
    if (who == nullptr || answered.m_what != awaited::statement ||
        !who->m_wrote)
    {
        connection_lost(on, now);
        return;
    }
    who->m_pinned.reset();
    close(on);
    finish(*who, statement_error::unknown_outcome,
           "the endpoint's transaction is not the statement's own");
}

// The endpoint refused to begin the transaction; nothing ran.
void statement_runner::begin_ended(connection& on, session& who,
                                   base::instant now)
{
    const statement_error error = *on.m_failure;
    on.m_failure.reset();
    who.m_work->m_begin_refused = true;
    const bool again = begin_refused(who, on.m_endpoint, error, now);
    on.m_owner.reset();
    release(on, now);
    if (again)
        wait(who);
    else
        begin_given_up(who, error);
}

// True when the transaction is to be placed again.
bool statement_runner::begin_refused(session& who,
                                     const base::endpoint_id& endpoint,
                                     statement_error error, base::instant now)
{
    endpoint_state* at = find_endpoint(endpoint);
    if (at != nullptr && error == statement_error::busy)
        at->m_pace.refused(now);
    const bool again = try_again(who, endpoint, to_string(error), now);
    m_metrics.counter(std::string("retried.begin.") + to_string(error)).add();
    if (again && error == statement_error::busy)
        who.m_work->m_not_before = now + m_options.m_busy_pause;
    return again;
}

void statement_runner::begin_given_up(session& who, statement_error error)
{
    finish(who, is_not_run(error) ? error : statement_error::aborted,
           "the transaction could not begin");
}

// What an answer says about the endpoint, the session's own writes and whether
// the statement may be repeated, however it came here.
statement_runner::answer_consequence statement_runner::judge_answer(
    session& who, const base::endpoint_id& endpoint_id,
    std::optional<statement_error> error,
    std::optional<base::log_point> position, base::instant now)
{
    work& what = *who.m_work;
    endpoint_state* endpoint = find_endpoint(endpoint_id);
    const bool bad =
        error == statement_error::failed || error == statement_error::timeout;
    if (endpoint != nullptr)
        follow_pace(*endpoint, error, now - what.m_sent, now);
    if (endpoint != nullptr && !error)
        endpoint->m_answer_time =
            averaged(endpoint->m_answer_time, now - what.m_sent);
    const bool single = who.m_state == transaction_state::idle;
    const bool commit = what.m_statement.m_kind == statement_kind::commit;
    // A read that failed may run again.
    const bool may_repeat =
        error && (is_not_run(*error) || (bad && !what.m_writes));
    if (may_repeat && single &&
        try_again(who, endpoint_id, to_string(*error), now))
    {
        m_metrics.counter(std::string("retried.") + to_string(*error)).add();
        if (*error == statement_error::busy)
            what.m_not_before = now + m_options.m_busy_pause;
        return answer_consequence::repeat;
    }
    // The end of the answer without its result: the stream is broken.
    if (!error && !what.m_signature)
        return answer_consequence::broken;
    const bool committed =
        !error && (commit ? who.m_wrote : what.m_writes && single);
    if (committed &&
        !m_primaries.may_acknowledge(who.m_route.m_group, endpoint_id, now))
    {
        m_metrics.counter("commits.unconfirmed").add();
        return answer_consequence::broken;
    }
    if (committed && position)
        who.m_own_writes[who.m_route.m_group] = *position;
    if (!error)
        m_log.info(
            "statement_done",
            {{"request", what.m_statement.m_id},
             {"organisation", who.m_organisation},
             {"group", who.m_route.m_group},
             {"endpoint", endpoint_id},
             {"connection", what.m_connection},
             {"forwarded", what.m_forwarded.value_or(rpc::forwarding_number())},
             {"after", what.m_after ? what.m_after->m_position.value() : 0},
             {"tries", what.m_tried.size()},
             {"waited", what.m_sent - what.m_arrived},
             {"ran", now - what.m_sent}});
    return answer_consequence::end;
}

void statement_runner::statement_ended(connection& on, session& who,
                                       transaction_state state,
                                       std::optional<base::log_point> position,
                                       base::instant now)
{
    work& what = *who.m_work;
    const auto error = on.m_failure;
    on.m_failure.reset();
    if (error == statement_error::unknown_prepared)
        on.m_prepared.clear();
    const auto consequence =
        judge_answer(who, on.m_endpoint, error, position, now);
    if (consequence == answer_consequence::repeat)
    {
        wait(who);
        release(on, now);
        return;
    }
    if (consequence == answer_consequence::broken)
    {
        connection_lost(on, now);
        return;
    }
    what.m_answered_state = state;
    what.m_answered_position = position;
    const bool single = who.m_state == transaction_state::idle;
    const bool commit = what.m_statement.m_kind == statement_kind::commit;
    const bool ends = single || commit;
    if (!ends && !error && state == transaction_state::open)
    {
        who.m_pinned = on.m_number;
    }
    else if (state == transaction_state::idle)
    {
        who.m_pinned.reset();
        on.m_owner.reset();
    }
    else
    {
        // A failed transaction is rolled back at once, which frees the
        // connection while the caller makes up its mind.
        who.m_pinned = on.m_number;
        roll_back(who, now);
    }
    finish(who, error, what.m_failure_text);
    if (on.is_idle())
        release(on, now);
}

// Only the primary's answers say what has been committed. This host relies on
// the primary now, so it was primary when the request was sent.
void statement_runner::note_position(const base::endpoint_id& from,
                                     base::log_point position,
                                     base::instant sent, base::instant now)
{
    endpoint_state* endpoint = find_endpoint(from);
    if (endpoint == nullptr)
        return;
    const base::group_id& group = endpoint->m_entry.m_group;
    if (!endpoint->m_position || *endpoint->m_position < position)
        endpoint->m_position = position;
    endpoint->m_position_at = now;
    if (m_primaries.primary(group, now) != from)
        return;
    group_state& state = m_groups.at(group);
    state.m_bounds.observed(position, sent);
    state.m_observed = now;
}

void statement_runner::connection_closed(base::connection_generation number,
                                         bool refused)
{
    const event_scope event(*this);
    const auto now = m_clock.now();
    connection* item = find(number);
    if (item == nullptr)
        return;
    endpoint_state* endpoint = find_endpoint(item->m_endpoint);
    const bool was_open = item->m_open;
    if (endpoint != nullptr && (refused || !was_open))
        endpoint_failed(*endpoint, refused ? "refused" : "closed", now);
    connection_lost(*item, now);
    // A connection that ends by itself may be the first sign of a crash.
    if (endpoint != nullptr && was_open && endpoint->m_listed &&
        endpoint->m_health == endpoint_health::serving)
        probe(*endpoint, now);
}

void statement_runner::connection_lost(connection& item, base::instant now)
{
    session* who = owner_of(item);
    const bool works = working_on(item) != nullptr;
    const auto number = item.m_number;
    const base::endpoint_id endpoint = item.m_endpoint;
    // A statement that still waited for the cold endpoint was not sent.
    if (works && item.m_unsent > 0)
        who->m_work->m_stage = work_stage::preparing;
    close(item);
    if (works)
        work_lost(*who, endpoint, now);
    else if (who != nullptr && who->m_pinned == number)
    {
        who->m_pinned.reset();
        note_transaction_lost(*who);
    }
}

// What may be said about a statement whose connection is gone. The endpoint
// rolls back an open transaction, so only a commit or a single write that was
// sent is uncertain.
void statement_runner::work_lost(session& who,
                                 const base::endpoint_id& endpoint,
                                 base::instant now)
{
    work& what = *who.m_work;
    const bool sent = what.m_stage == work_stage::running;
    const bool single = who.m_state == transaction_state::idle;
    const bool commit = what.m_statement.m_kind == statement_kind::commit;
    const bool uncertain =
        sent && ((single && what.m_writes) || (commit && who.m_wrote));
    m_metrics.counter("connections.lost_at_work").add();
    m_log.info("connection_lost", {{"request", what.m_statement.m_id},
                                   {"endpoint", endpoint},
                                   {"connection", what.m_connection},
                                   {"forwarded", what.m_forwarded.has_value()},
                                   {"sent", sent},
                                   {"uncertain", uncertain},
                                   {"age", now - what.m_arrived}});
    const bool pinned = who.is_pinned();
    who.m_pinned.reset();
    who.m_pinned_forward.reset();
    if (uncertain)
    {
        finish(who, statement_error::unknown_outcome,
               "the connection was lost before the answer");
        return;
    }
    if (pinned)
    {
        finish(who, statement_error::aborted,
               "the connection of the transaction was lost");
        return;
    }
    const bool forwarded = what.m_forwarded.has_value();
    if (try_again(who, endpoint, "connection_lost", now))
    {
        // A lost stream has cost its silence already, and says nothing about
        // the endpoint.
        if (!forwarded)
            what.m_not_before = now + m_options.m_busy_pause;
        wait(who);
        place_waiting(who.m_route.m_group);
        return;
    }
    finish(who, single ? statement_error::busy : statement_error::aborted,
           "no endpoint answered");
}

} // namespace magnoliastack::entry
