#include "magnoliastack/entry/forwarding_service.hpp"

#include <limits>
#include <type_traits>
#include <utility>
#include <variant>

namespace magnoliastack::entry
{

using rpc::forwarded_scope;
using rpc::statement_error;
using rpc::statement_kind;
using rpc::transaction_state;

namespace
{

// Callers' sessions are counted from 1; those of other hosts from here.
constexpr rpc::session_number
    before_first_session(std::numeric_limits<std::uint64_t>::max() / 2);

rpc::forwarded_answer answer_of(rpc::forwarding_number number, work finished,
                                const statement_result& result)
{
    rpc::forwarded_answer answer;
    answer.m_number = number;
    answer.m_error = result.m_error;
    answer.m_error_text = result.m_text;
    answer.m_position = finished.m_answered_position;
    answer.m_state =
        finished.m_answered_state.value_or(transaction_state::idle);
    answer.m_not_sent = result.m_error &&
                        finished.m_stage != work_stage::running &&
                        !finished.m_begin_refused;
    if (result.m_error)
        return answer;
    answer.m_rows = std::move(finished.m_rows);
    answer.m_signature = std::move(finished.m_signature);
    return answer;
}

// Why a statement did not start, as one of few words: they name counters.
const char* reason_of(work_stage stage, const statement_result& result)
{
    if (result.m_text == "unreachable")
        return "unreachable";
    return stage == work_stage::waiting ? "full" : "no_connection";
}

} // namespace

forwarding_service::forwarding_service(forwarding_options options,
                                       rpc::forwarding_link* link,
                                       forwarding_peers& peers,
                                       statement_runner& runner,
                                       metrics::registry& metrics,
                                       const base::clock& clock)
    : m_options(options), m_link(link), m_peers(peers), m_runner(runner),
      m_metrics(metrics), m_clock(clock), m_last_session(before_first_session)
{
}

void forwarding_service::message_received(const base::host_id& from,
                                          base::incarnation incarnation,
                                          rpc::forwarding_message message)
{
    const statement_runner::event_scope event(m_runner);
    const auto now = m_clock.now();
    follow_incarnation(from, incarnation, now);
    std::visit(
        [this, &from, incarnation, now](auto& what)
        {
            using type = std::decay_t<decltype(what)>;
            if constexpr (std::is_same_v<type, rpc::forwarded_statement>)
                handle(from, std::move(what), now);
            else if constexpr (std::is_same_v<type, rpc::forwarded_answer>)
                m_runner.forwarded_answered(from, std::move(what), now);
            else if constexpr (std::is_same_v<type,
                                              rpc::forwarded_transaction_lost>)
                m_runner.forwarded_transaction_lost(from, what.m_number, now);
            else if constexpr (std::is_same_v<type, rpc::forwarding_draining>)
                m_peers.draining(from, incarnation);
            else
                drop({from, what.m_number}, now);
        },
        message);
}

// Numbers of another process mean other statements.
void forwarding_service::follow_incarnation(const base::host_id& from,
                                            base::incarnation incarnation,
                                            base::instant now)
{
    const auto [known, added] = m_incarnations.try_emplace(from, incarnation);
    if (added || known->second == incarnation)
        return;
    m_log.info("peer_restarted",
               {{"peer", from}, {"incarnation", incarnation}});
    known->second = incarnation;
    drop_all_of(from, now);
    m_runner.holder_lost(from, false, now);
}

void forwarding_service::handle(const base::host_id& from,
                                rpc::forwarded_statement what,
                                base::instant now)
{
    // What was sent before a pause may be long out of date.
    if (notice_pause(now))
        return;
    if (m_senders.insert(from).second && m_draining)
        m_link->reply(from, rpc::forwarding_draining{});
    const auto number = what.m_number;
    if (what.m_scope == forwarded_scope::next)
    {
        continue_transaction(from, std::move(what), now);
        return;
    }
    if (const char* reason = reason_to_refuse(what))
    {
        refuse(from, number, reason);
        return;
    }
    auto [item, added] = m_served.try_emplace({from, number});
    if (!added)
    {
        m_log.warning("number_used_twice",
                      {{"peer", from}, {"number", number}});
        return;
    }
    m_metrics.counter("forwarded.served").add();
    item->second.m_session = std::make_unique<session>();
    item->second.m_start_by = now + what.m_start_within;
    session& who = *item->second.m_session;
    m_last_session = m_last_session.next();
    who.m_number = m_last_session;
    m_numbers[who.m_number] = item->first;
    who.m_events = this;
    who.m_organisation = what.m_organisation;
    who.m_required_endpoint = what.m_endpoint;
    who.m_route.m_group = what.m_group;
    who.m_route.m_priority = what.m_route_priority;
    who.m_read_only = what.m_scope == forwarded_scope::first_read_only;
    who.m_started = now;
    if (what.m_scope != forwarded_scope::single)
        who.m_state = transaction_state::open;
    start(who, std::move(what), now);
}

void forwarding_service::continue_transaction(const base::host_id& from,
                                              rpc::forwarded_statement what,
                                              base::instant now)
{
    const auto found = m_served.find({from, what.m_number});
    if (found == m_served.end())
    {
        refuse(from, what.m_number, "transaction_lost");
        return;
    }
    if (found->second.m_session->m_work)
    {
        m_log.warning("statement_too_early",
                      {{"peer", from}, {"number", what.m_number}});
        return;
    }
    found->second.m_start_by.reset();
    start(*found->second.m_session, std::move(what), now);
}

void forwarding_service::start(session& who, rpc::forwarded_statement what,
                               base::instant now)
{
    work next;
    next.m_writes = what.m_writes;
    next.m_arrived = now;
    next.m_deadline = now + what.m_time_left + m_options.m_deadline_margin;
    next.m_after = what.m_after;
    if (what.m_statement.m_kind == statement_kind::execute)
        who.m_prepared[what.m_statement.m_name] = {what.m_prepared_writes,
                                                   what.m_prepared_shape};
    who.m_wrote = who.m_wrote || what.m_writes;
    who.m_values = std::move(what.m_values);
    who.m_last_activity = now;
    next.m_statement = std::move(what.m_statement);
    who.m_work = std::move(next);
    m_runner.submit(who, now);
}

// Null when the statement may run here.
const char*
forwarding_service::reason_to_refuse(const rpc::forwarded_statement& what)
{
    if (m_draining)
        return "draining";
    if (m_served.size() >= m_options.m_largest_served)
        return "full";
    const endpoint_state* endpoint = m_runner.find_endpoint(what.m_endpoint);
    if (endpoint == nullptr || !endpoint->m_listed ||
        endpoint->m_entry.m_group != what.m_group)
        return "not_listed";
    if (endpoint->is_leaving())
        return "leaving";
    if (!m_runner.takes_work(what.m_endpoint, m_clock.now()))
        return "closed";
    if (endpoint->m_entry.m_started_unix_ms != what.m_endpoint_started_unix_ms)
        return "restarted";
    if (what.m_time_left <= absl::ZeroDuration())
        return "late";
    return nullptr;
}

void forwarding_service::refuse(const base::host_id& to,
                                rpc::forwarding_number number,
                                std::string_view reason)
{
    m_metrics.counter("forwarded.served.refused." + std::string(reason)).add();
    m_log.info("forwarded_refused",
               {{"peer", to}, {"number", number}, {"reason", reason}});
    rpc::forwarded_answer answer;
    answer.m_number = number;
    answer.m_not_sent = true;
    answer.m_error = statement_error::busy;
    answer.m_error_text = std::string(reason);
    m_link->reply(to, std::move(answer));
}

void forwarding_service::work_finished(session& who,
                                       const statement_result& result,
                                       base::instant now)
{
    const auto found = m_numbers.find(who.m_number);
    if (found == m_numbers.end())
        return;
    const peer_number key = found->second;
    work finished = std::move(*who.m_work);
    who.m_work.reset();
    const work_stage stage = finished.m_stage;
    const bool writes = finished.m_writes;
    auto answer = answer_of(key.second, std::move(finished), result);
    const std::string reason = reason_of(stage, result);
    limit_size(answer, who, writes, now);
    const bool goes_on = who.m_pinned && !answer.m_error;
    if (answer.m_not_sent)
        refuse(key.first, key.second,
               result.m_error ? reason : answer.m_error_text);
    else
        m_link->reply(key.first, std::move(answer));
    if (!goes_on)
        remove(key, now);
}

// An answer that fits into no frame would cost all statements of its stream. A
// single read does no harm when it runs again on a connection of its sender.
void forwarding_service::limit_size(rpc::forwarded_answer& answer, session& who,
                                    bool writes, base::instant now)
{
    std::size_t size = 0;
    for (const auto& row : answer.m_rows)
        size += row.size() + sizeof(std::uint64_t);
    if (size <= m_options.m_largest_answer)
        return;
    answer.m_rows.clear();
    answer.m_signature.reset();
    const bool single = who.m_state == transaction_state::idle;
    // A write was done, but its caller does not get its result.
    answer.m_error = single && writes ? statement_error::unknown_outcome
                                      : statement_error::too_large;
    answer.m_error_text = "answer_too_large";
    answer.m_not_sent = single && !writes;
    if (!who.m_pinned)
        return;
    m_runner.roll_back(who, now);
    answer.m_state = transaction_state::failed;
}

void forwarding_service::transaction_lost(session& who, base::instant now)
{
    const auto found = m_numbers.find(who.m_number);
    if (found == m_numbers.end())
        return;
    const peer_number key = found->second;
    m_metrics.counter("forwarded.served.transactions_lost").add();
    m_link->reply(key.first, rpc::forwarded_transaction_lost{key.second});
    remove(key, now);
}

// The peer has rolled its transaction back, or waits no more.
void forwarding_service::drop(const peer_number& what, base::instant now)
{
    if (m_served.contains(what))
        remove(what, now);
}

void forwarding_service::remove(const peer_number& what, base::instant now)
{
    const auto found = m_served.find(what);
    m_runner.forget(*found->second.m_session, now);
    m_numbers.erase(found->second.m_session->m_number);
    m_served.erase(found);
}

void forwarding_service::drop_all_of(const base::host_id& host,
                                     base::instant now)
{
    std::vector<peer_number> lost;
    for (auto item = m_served.lower_bound({host, {}});
         item != m_served.end() && item->first.first == host; ++item)
        lost.push_back(item->first);
    for (const auto& key : lost)
        drop(key, now);
    if (!lost.empty())
        m_metrics.counter("forwarded.served.dropped").add(lost.size());
}

void forwarding_service::stream_lost(const base::host_id& host, bool refused)
{
    m_runner.holder_lost(host, refused, m_clock.now());
}

void forwarding_service::incoming_stream_lost(const base::host_id& host)
{
    const statement_runner::event_scope event(m_runner);
    m_senders.erase(host);
    drop_all_of(host, m_clock.now());
}

// After a pause nobody waits for what was sent before: the senders have closed
// their streams, or will when theirs are closed here.
bool forwarding_service::notice_pause(base::instant now)
{
    const auto last = std::exchange(m_last_tick, now);
    if (m_link == nullptr || !last || now - *last < m_options.m_own_pause)
        return false;
    m_metrics.counter("forwarded.own_pause").add();
    m_log.warning("streams_closed_after_pause",
                  {{"length", now - *last}, {"served", m_served.size()}});
    m_link->close_incoming();
    for (const auto& host : std::exchange(m_senders, {}))
        drop_all_of(host, now);
    return true;
}

void forwarding_service::tick(base::instant now)
{
    const statement_runner::event_scope event(m_runner);
    notice_pause(now);
    std::vector<peer_number> late;
    for (const auto& [key, item] : m_served)
        if (item.m_start_by && now >= *item.m_start_by)
            late.push_back(key);
    for (const auto& key : late)
    {
        const auto found = m_served.find(key);
        if (found == m_served.end())
            continue;
        found->second.m_start_by.reset();
        session& who = *found->second.m_session;
        const bool waited =
            who.m_work && who.m_work->m_stage == work_stage::waiting;
        if (!m_runner.withdraw(who, now))
            continue;
        refuse(key.first, key.second, waited ? "full" : "no_connection");
        remove(key, now);
    }
}

void forwarding_service::drain()
{
    if (std::exchange(m_draining, true) || m_link == nullptr)
        return;
    for (const auto& host : m_senders)
        m_link->reply(host, rpc::forwarding_draining{});
}

} // namespace magnoliastack::entry
