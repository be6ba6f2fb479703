#include "magnoliastack/entry/session_service.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace magnoliastack::entry
{

using rpc::statement_error;
using rpc::statement_kind;
using rpc::transaction_state;

namespace
{

// Limit of a statement on a route that names none.
constexpr absl::Duration default_statement_timeout = absl::Seconds(2);

constexpr std::string_view host_stops_text = "this host stops";

bool writes(const session& who, const rpc::opaque_statement& what)
{
    if (what.m_kind == statement_kind::write)
        return true;
    if (what.m_kind != statement_kind::execute)
        return false;
    const auto found = who.m_prepared.find(what.m_name);
    return found != who.m_prepared.end() && found->second.m_writes;
}

} // namespace

session_service::session_service(session_options options,
                                 rpc::session_link& link,
                                 quota::demand_table& demand,
                                 quota::token_gate& gate,
                                 metrics::registry& metrics,
                                 const base::clock& clock)
    : m_options(options), m_link(link), m_demand(demand), m_gate(gate),
      m_metrics(metrics), m_clock(clock)
{
}

void session_service::set_configuration(rpc::configuration_ptr configuration)
{
    m_configuration = std::move(configuration);
}

void session_service::session_started(rpc::session_number number,
                                      const std::string& database,
                                      const std::string& key)
{
    const auto now = m_clock.now();
    auto who = std::make_unique<session>();
    who->m_number = number;
    who->m_database = database;
    who->m_key = key;
    who->m_started = now;
    who->m_last_activity = now;
    auto checked = identify(*who);
    if (!checked.m_error && m_sessions.size() >= m_options.m_largest_sessions)
        checked = {statement_error::busy, "too many sessions", true};
    if (!checked.m_error && m_closing_sessions)
        checked = {statement_error::busy, std::string(host_stops_text), true};
    if (checked.m_error)
    {
        m_metrics
            .counter(std::string("refused.start.") +
                     to_string(*checked.m_error))
            .add();
        m_log.info("session_refused",
                   {{"database", database},
                    {"reason", to_string(*checked.m_error)},
                    {"version",
                     m_configuration ? m_configuration->m_version.value() : 0},
                    {"configuration_age",
                     m_configuration_status->configuration_age(now)}});
        m_link.failed(number, *checked.m_error, checked.m_text);
        m_link.close(number);
        return;
    }
    m_sessions.emplace(number, std::move(who));
    m_metrics.counter("sessions.started").add();
    m_link.ready(number, transaction_state::idle);
}

void session_service::statement_received(rpc::session_number number,
                                         rpc::opaque_statement what)
{
    const statement_runner::event_scope event(*m_runner);
    const auto now = m_clock.now();
    const auto found = m_sessions.find(number);
    if (found == m_sessions.end())
        return;
    session& who = *found->second;
    who.m_last_activity = now;
    if (who.m_inbox.size() >= m_options.m_largest_inbox)
    {
        m_metrics.counter("refused.inbox_full").add();
        end(number, now);
        return;
    }
    who.m_inbox.push_back(std::move(what));
    serve_next(who, now);
}

void session_service::session_closed(rpc::session_number number)
{
    end(number, m_clock.now());
}

void session_service::end(rpc::session_number number, base::instant now)
{
    const auto found = m_sessions.find(number);
    if (found == m_sessions.end())
        return;
    m_runner->forget(*found->second, now);
    m_sessions.erase(found);
    m_link.close(number);
}

void session_service::serve_next(session& who, base::instant now)
{
    const auto number = who.m_number;
    while (true)
    {
        const auto found = m_sessions.find(number);
        if (found == m_sessions.end() || found->second->m_work ||
            found->second->m_awaits_token)
            return;
        session& present = *found->second;
        if (m_aborting)
            end_transaction(present, now);
        if (present.m_inbox.empty())
        {
            if (may_close(present))
                close_between_operations(number, now);
            return;
        }
        auto what = std::move(present.m_inbox.front());
        present.m_inbox.pop_front();
        serve(present, std::move(what), now);
    }
}

void session_service::serve(session& who, rpc::opaque_statement what,
                            base::instant now)
{
    if (what.m_kind == statement_kind::malformed)
    {
        answer(who, statement_error::malformed, "the statement is unknown");
        return;
    }
    if (who.m_state == transaction_state::failed)
    {
        serve_failed(who, what);
        return;
    }
    if (serve_locally(who, what))
        return;
    if (who.m_state == transaction_state::idle)
        serve_idle(who, std::move(what), now);
    else
        serve_open(who, std::move(what), now);
}

// Values and prepared statements live in the session; the runner replays them.
bool session_service::serve_locally(session& who,
                                    const rpc::opaque_statement& what)
{
    switch (what.m_kind)
    {
    case statement_kind::set_value:
        who.m_values[what.m_name] = what.m_argument;
        break;
    case statement_kind::prepare:
        who.m_prepared[what.m_name] = {what.m_prepares_write, what.m_argument};
        break;
    case statement_kind::deallocate:
        who.m_prepared.erase(what.m_name);
        break;
    case statement_kind::execute:
        if (who.m_prepared.contains(what.m_name))
            return false;
        answer(who, statement_error::unknown_prepared,
               "the statement is not prepared");
        return true;
    default:
        return false;
    }
    answer(who, std::nullopt, {});
    return true;
}

void session_service::serve_idle(session& who, rpc::opaque_statement what,
                                 base::instant now)
{
    if (what.m_kind == statement_kind::commit ||
        what.m_kind == statement_kind::roll_back)
    {
        answer(who, statement_error::malformed, "no transaction is open");
        return;
    }
    const auto checked =
        m_closing_sessions
            ? admission_result{statement_error::busy,
                               std::string(host_stops_text), false}
            : identify(who);
    if (checked.m_error)
    {
        refuse(who, what, checked);
        return;
    }
    m_demand.arrived(who.m_organisation, now);
    if (m_gate.try_take(*m_configuration, who.m_organisation, now))
        start(who, std::move(what), std::nullopt, now);
    else
        wait_for_token(who, std::move(what), now);
}

void session_service::start(session& who, rpc::opaque_statement what,
                            const std::optional<base::host_id>& lender,
                            base::instant now)
{
    who.m_wrote = false;
    who.m_lost = false;
    who.m_holds_token = true;
    who.m_token_lender = lender;
    if (what.m_kind == statement_kind::begin ||
        what.m_kind == statement_kind::begin_read_only)
    {
        who.m_state = transaction_state::open;
        who.m_read_only = what.m_kind == statement_kind::begin_read_only;
        answer(who, std::nullopt, {});
        return;
    }
    run(who, std::move(what), now);
}

void session_service::serve_open(session& who, rpc::opaque_statement what,
                                 base::instant now)
{
    if (what.m_kind == statement_kind::begin ||
        what.m_kind == statement_kind::begin_read_only)
    {
        answer(who, statement_error::malformed, "a transaction is open");
        return;
    }
    if (what.m_kind == statement_kind::roll_back)
    {
        who.m_state = transaction_state::idle;
        m_runner->roll_back(who, now);
        answer(who, std::nullopt, {});
        return;
    }
    if (who.m_lost)
    {
        who.m_state = what.m_kind == statement_kind::commit
                          ? transaction_state::idle
                          : transaction_state::failed;
        answer(who, statement_error::aborted,
               "the transaction was rolled back");
        return;
    }
    run(who, std::move(what), now);
}

void session_service::serve_failed(session& who,
                                   const rpc::opaque_statement& what)
{
    if (what.m_kind == statement_kind::roll_back)
    {
        who.m_state = transaction_state::idle;
        answer(who, std::nullopt, {});
        return;
    }
    if (what.m_kind == statement_kind::commit)
    {
        who.m_state = transaction_state::idle;
        answer(who, statement_error::aborted,
               "the transaction was rolled back");
        return;
    }
    answer(who, statement_error::malformed, "the transaction has failed");
}

void session_service::run(session& who, rpc::opaque_statement what,
                          base::instant now)
{
    work next;
    next.m_writes = writes(who, what);
    next.m_statement = std::move(what);
    const bool single = who.m_state == transaction_state::idle;
    const bool may_write = single ? next.m_writes : !who.m_read_only;
    next.m_primary_only = may_write || who.m_route.m_consistency ==
                                           catalogue::consistency::primary;
    next.m_arrived = now;
    next.m_deadline = now + who.m_route.m_statement_timeout;
    if (next.m_writes)
        who.m_wrote = true;
    who.m_work = std::move(next);
    m_runner->submit(who, now);
}

// Sets the session's organisation and route from the present configuration.
session_service::admission_result session_service::identify(session& who) const
{
    if (!m_configuration)
        return {statement_error::busy, "no configuration is known yet", true};
    const auto route = m_configuration->m_routes.find(who.m_database);
    if (route == m_configuration->m_routes.end())
        return not_configured(statement_error::unknown_database,
                              "no route has this database");
    const auto key = m_configuration->m_keys.find(who.m_key);
    if (key == m_configuration->m_keys.end() && !route->second.m_open)
        return not_configured(statement_error::unauthenticated,
                              "the key is not known");
    who.m_organisation = key == m_configuration->m_keys.end()
                             ? base::organisation_id()
                             : key->second;
    who.m_route = route->second;
    const auto organisation =
        m_configuration->m_organisations.find(who.m_organisation);
    who.m_homes = {who.m_route.m_home_regions, {}};
    if (organisation != m_configuration->m_organisations.end())
        who.m_homes.m_organisation = organisation->second.m_home_regions;
    if (who.m_route.m_statement_timeout <= absl::ZeroDuration())
        who.m_route.m_statement_timeout = default_statement_timeout;
    return {};
}

// A newer configuration may have it, so nothing final is said while this host
// cannot tell whether there is one.
session_service::admission_result
session_service::not_configured(statement_error error, const char* text) const
{
    if (m_configuration_status->is_configuration_current(m_clock.now()))
        return {error, text, true};
    return {statement_error::busy,
            std::string(text) + " in a configuration that may be outdated",
            true};
}

void session_service::refuse(session& who, const rpc::opaque_statement& what,
                             const admission_result& why)
{
    m_metrics
        .counter(std::string("refused.admission.") + to_string(*why.m_error))
        .add();
    m_log.info("operation_refused",
               {{"request", what.m_id},
                {"organisation", who.m_organisation},
                {"database", who.m_database},
                {"version", m_configuration->m_version},
                {"configuration_age",
                 m_configuration_status->configuration_age(m_clock.now())},
                {"reason", why.m_text}});
    if (!why.m_close)
    {
        answer(who, why.m_error, why.m_text);
        return;
    }
    const auto number = who.m_number;
    m_link.failed(number, *why.m_error, why.m_text);
    m_link.ready(number, who.m_state);
    end(number, m_clock.now());
}

void session_service::answer(session& who, std::optional<statement_error> error,
                             std::string_view text)
{
    if (error)
        m_link.failed(who.m_number, *error, text);
    else
        m_link.done(who.m_number, {});
    m_link.ready(who.m_number, who.m_state);
}

void session_service::work_finished(session& who,
                                    const statement_result& result,
                                    base::instant now)
{
    work finished = std::move(*who.m_work);
    who.m_work.reset();
    who.m_last_activity = now;
    const bool commit = finished.m_statement.m_kind == statement_kind::commit;
    if (result.m_error)
    {
        m_metrics.counter(std::string("failed.") + to_string(*result.m_error))
            .add();
        m_log.info("statement_failed", {{"request", finished.m_statement.m_id},
                                        {"organisation", who.m_organisation},
                                        {"group", who.m_route.m_group},
                                        {"reason", to_string(*result.m_error)},
                                        {"text", result.m_text},
                                        {"tries", finished.m_tried.size()},
                                        {"took", now - finished.m_arrived}});
        give_back(who, now);
        if (commit)
            who.m_state = transaction_state::idle;
        else if (who.m_state == transaction_state::open)
            who.m_state = transaction_state::failed;
        if (who.is_pinned())
            m_runner->roll_back(who, now);
        answer(who, result.m_error, result.m_text);
        serve_next(who, now);
        return;
    }
    if (commit)
        who.m_state = transaction_state::idle;
    m_metrics.latency("statement").record(now - finished.m_arrived);
    for (const auto& row : finished.m_rows)
        m_link.row(who.m_number, row);
    m_link.done(who.m_number, *finished.m_signature);
    m_link.ready(who.m_number, who.m_state);
    serve_next(who, now);
}

void session_service::transaction_lost(session& who, base::instant /*now*/)
{
    who.m_lost = true;
    m_metrics.counter("transactions.lost").add();
}

void session_service::tick(base::instant now)
{
    if (!m_configuration)
        return;
    const statement_runner::event_scope event(*m_runner);
    if (now >= m_next_refresh)
    {
        m_next_refresh = now + m_options.m_refresh_interval;
        m_gate.refresh(*m_configuration, now);
    }
    for (auto& [who, waiting] : m_token_waiters)
    {
        admit_waiting(who, now);
        if (waiting.empty())
            continue;
        if (now >= waiting.front().m_until)
            refuse_first(who, now);
        else
            m_token_source->request_tokens(
                who, static_cast<std::uint32_t>(waiting.size()));
    }
    const absl::Duration limit = m_configuration->m_idle_transaction;
    if (limit <= absl::ZeroDuration())
        return;
    for (auto& [number, who] : m_sessions)
    {
        if (who->m_state != transaction_state::open || who->m_work ||
            !who->is_pinned() || now - who->m_last_activity < limit)
            continue;
        m_metrics.counter("transactions.idle").add();
        m_runner->roll_back(*who, now);
        who->m_lost = true;
    }
}

void session_service::close_idle(base::instant started_until, base::instant now)
{
    const statement_runner::event_scope event(*m_runner);
    std::vector<rpc::session_number> idle;
    for (const auto& [number, who] : m_sessions)
        if (who->m_state == transaction_state::idle && !who->m_work &&
            !who->m_awaits_token && who->m_started <= started_until)
            idle.push_back(number);
    for (const auto number : idle)
        close_between_operations(number, now);
}

void session_service::close_between_operations(base::instant now)
{
    m_closing_sessions = true;
    close_idle(now, now);
}

void session_service::close_between_operations(rpc::session_number number,
                                               base::instant now)
{
    const auto found = m_sessions.find(number);
    if (found == m_sessions.end())
        return;
    m_metrics.counter("sessions.closed_between_operations").add();
    m_runner->forget(*found->second, now);
    m_sessions.erase(found);
    m_link.close_between_operations(number);
}

// True when nothing of the session is left to be answered.
bool session_service::may_close(const session& who) const
{
    return m_closing_sessions && !who.m_work && !who.m_awaits_token &&
           who.m_inbox.empty() &&
           (m_aborting || who.m_state == transaction_state::idle);
}

// The caller's next statement is told that the transaction was rolled back.
void session_service::end_transaction(session& who, base::instant now)
{
    if (who.m_state != transaction_state::open || who.m_lost)
        return;
    m_metrics.counter("transactions.stopped").add();
    m_runner->roll_back(who, now);
    who.m_lost = true;
}

std::size_t session_service::working_count() const
{
    return static_cast<std::size_t>(std::count_if(
        m_sessions.begin(), m_sessions.end(),
        [](const auto& item)
        {
            return item.second->m_work || item.second->m_awaits_token;
        }));
}

void session_service::abort_transactions(base::instant now)
{
    const statement_runner::event_scope event(*m_runner);
    m_aborting = true;
    std::vector<rpc::session_number> open;
    for (const auto& [number, who] : m_sessions)
    {
        if (who->m_work || who->m_awaits_token)
            continue;
        end_transaction(*who, now);
        open.push_back(number);
    }
    for (const auto number : open)
        close_between_operations(number, now);
}

// The runner answers statements whose time is over in its next tick.
void session_service::cancel_running(base::instant now)
{
    for (auto& [number, who] : m_sessions)
        if (who->m_work)
            who->m_work->m_deadline = std::min(who->m_work->m_deadline, now);
}

} // namespace magnoliastack::entry
