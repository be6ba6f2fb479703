// Endpoints that come, go or do not answer, and statements out of time.
#include "magnoliastack/entry/statement_runner.hpp"

#include <set>
#include <utility>

namespace magnoliastack::entry
{

using rpc::endpoint_request;
using rpc::statement_error;

namespace
{

void set_leaving(endpoint_state& endpoint, bool leaving, base::instant now)
{
    if (!leaving)
        endpoint.m_leaving_since.reset();
    else if (!endpoint.m_leaving_since)
        endpoint.m_leaving_since = now;
}

// True while a connection opens or a request has no answer.
bool owes_answer(endpoint_state& endpoint)
{
    for (const connection* item : endpoint.m_pool.all())
        if (!item->m_open || item->m_awaited.size() > item->m_unsent)
            return true;
    return false;
}

} // namespace

void statement_runner::set_endpoints(
    const std::vector<catalogue::endpoint_entry>& entries,
    const std::map<base::group_id, std::size_t>& shares, base::instant now)
{
    const event_scope event(*this);
    std::set<base::endpoint_id> listed;
    for (const auto& entry : entries)
    {
        listed.insert(entry.m_id);
        leave_other_group(entry, now);
        m_group_of[entry.m_id] = entry.m_group;
        group_state& group = m_groups[entry.m_group];
        group.m_id = entry.m_group;
        auto [found, added] = group.m_endpoints.try_emplace(entry.m_id);
        endpoint_state& endpoint = found->second;
        if (!added &&
            endpoint.m_entry.m_started_unix_ms != entry.m_started_unix_ms)
        {
            // A restarted endpoint has forgotten all it held.
            endpoint.m_position.reset();
            endpoint.m_failures = failure_average();
            m_log.info("endpoint_restarted", {{"endpoint", entry.m_id}});
            warm_up(endpoint, entry, "restarted", now);
        }
        // For a host that starts all endpoints are new, and most are warm.
        if (added && m_has_endpoints)
            warm_up(endpoint, entry, "added", now);
        follow_cold(endpoint, entry, added, now);
        if (added)
            m_log.info("endpoint_added", {{"endpoint", entry.m_id},
                                          {"group", entry.m_group},
                                          {"leaving", entry.m_leaving}});
        else if (entry.m_leaving && !endpoint.is_leaving())
            m_log.info("endpoint_leaving", {{"endpoint", entry.m_id}});
        endpoint.m_entry = entry;
        endpoint.m_listed = true;
        set_leaving(endpoint, entry.m_leaving, now);
        const auto share = shares.find(entry.m_group);
        if (share != shares.end())
            endpoint.m_pool.set_share(share->second);
        const auto held = m_held.find(entry.m_id);
        if (held != m_held.end())
            endpoint.m_pool.set_held(held->second);
    }
    m_has_endpoints = m_has_endpoints || !entries.empty();
    for (auto& [id, group] : m_groups)
        for (auto& [endpoint_id, endpoint] : group.m_endpoints)
        {
            if (listed.contains(endpoint_id) || !endpoint.m_listed)
                continue;
            m_log.info("endpoint_gone", {{"endpoint", endpoint_id}});
            endpoint.m_listed = false;
            set_leaving(endpoint, true, now);
        }
    for (auto& [id, group] : m_groups)
        for (auto item = group.m_endpoints.begin();
             item != group.m_endpoints.end();)
        {
            if (item->second.m_listed || item->second.m_pool.size() > 0)
            {
                ++item;
                continue;
            }
            m_group_of.erase(item->first);
            item = group.m_endpoints.erase(item);
        }
    for (auto& [id, group] : m_groups)
        for (auto& [endpoint_id, endpoint] : group.m_endpoints)
            if (!endpoint.m_listed)
                for (connection* item : endpoint.m_pool.all())
                    if (item->is_idle())
                        close(*item);
    for (const auto& [id, group] : m_groups)
        place_waiting(id);
}

// An id has one state. An endpoint that serves another group now has nothing of
// what it was in the old one.
void statement_runner::leave_other_group(const catalogue::endpoint_entry& entry,
                                         base::instant now)
{
    const auto known = m_group_of.find(entry.m_id);
    if (known == m_group_of.end() || known->second == entry.m_group)
        return;
    m_metrics.counter("endpoints.moved").add();
    m_log.warning("endpoint_moved", {{"endpoint", entry.m_id},
                                     {"from", known->second},
                                     {"to", entry.m_group}});
    drop_connections(entry.m_id, now);
    m_groups.at(known->second).m_endpoints.erase(entry.m_id);
}

void statement_runner::warm_up(endpoint_state& endpoint,
                               const catalogue::endpoint_entry& entry,
                               const char* cause, base::instant now)
{
    endpoint.m_pace.warm_up(entry.m_slots, now);
    m_metrics.counter("pacing.warm_ups").add();
    m_log.info(
        "endpoint_warming_up",
        {{"endpoint", entry.m_id}, {"cause", cause}, {"slots", entry.m_slots}});
}

// The time that is left counts from the entry that told it first.
void statement_runner::follow_cold(endpoint_state& endpoint,
                                   const catalogue::endpoint_entry& entry,
                                   bool added, base::instant now)
{
    const bool restarted =
        endpoint.m_entry.m_started_unix_ms != entry.m_started_unix_ms;
    if (added || restarted || endpoint.m_entry.m_cold_left != entry.m_cold_left)
        endpoint.m_cold.set_cold_for(entry.m_cold_left, now);
    const auto share = m_cold_shares.find(entry.m_id);
    endpoint.m_cold.set_share(
        share == m_cold_shares.end() ? admission::cold_share() : share->second,
        now);
    if ((added || restarted) && endpoint.m_cold.is_cold(now))
    {
        m_metrics.counter("cold.endpoints").add();
        m_log.info("endpoint_cold",
                   {{"endpoint", entry.m_id},
                    {"left", entry.m_cold_left},
                    {"sends", !endpoint.m_cold.is_closed(now)},
                    {"rate", static_cast<std::int64_t>(share->second.m_rate)},
                    {"senders", share->second.m_senders}});
    }
    // A host that may not try the endpoint goes by its new entry.
    if (!added && restarted && endpoint.m_cold.is_closed(now))
        endpoint.m_health = endpoint_health::serving;
}

void statement_runner::set_cold_shares(cold_shares shares, base::instant now)
{
    m_cold_shares = std::move(shares);
    for (const auto& [id, share] : m_cold_shares)
        if (endpoint_state* endpoint = find_endpoint(id))
            endpoint->m_cold.set_share(share, now);
}

bool statement_runner::is_cold(const base::endpoint_id& id,
                               base::instant now) const
{
    const endpoint_state* endpoint = find_endpoint(id);
    return endpoint != nullptr && endpoint->m_cold.is_cold(now);
}

void statement_runner::drop_connections(const base::endpoint_id& id,
                                        base::instant now)
{
    const event_scope event(*this);
    endpoint_state* endpoint = find_endpoint(id);
    if (endpoint == nullptr)
        return;
    for (const auto number : endpoint->m_pool.numbers())
        if (connection* item = find(number))
            connection_lost(*item, now);
    std::vector<rpc::forwarding_number> forwarded;
    for (const auto& [number, at] : m_forwarded)
        if (at.m_endpoint == id)
            forwarded.push_back(number);
    for (const auto number : forwarded)
    {
        m_metrics.counter("forwarded.dropped").add();
        forwarded_lost(number, now);
    }
}

std::size_t statement_runner::in_flight(const base::endpoint_id& id) const
{
    std::size_t count = 0;
    for (const auto& [number, item] : m_connections)
        if (item->m_endpoint == id && item->m_owner)
            ++count;
    const auto forwarded = m_forwarded_at.find(id);
    return forwarded == m_forwarded_at.end() ? count
                                             : count + forwarded->second;
}

std::size_t
statement_runner::in_flight_in(const base::failure_domain_id& domain) const
{
    std::size_t count = 0;
    for (const auto& [number, item] : m_connections)
    {
        const endpoint_state* endpoint = find_endpoint(item->m_endpoint);
        if (item->m_owner && endpoint != nullptr &&
            endpoint->m_entry.m_failure_domain == domain)
            ++count;
    }
    return count;
}

fleet::evacuation_phase
statement_runner::evacuation(const endpoint_state& endpoint,
                             base::instant now) const
{
    return m_primaries.evacuation(endpoint.m_entry.m_failure_domain, now);
}

bool statement_runner::is_closed(const endpoint_state& endpoint,
                                 base::instant now) const
{
    return evacuation(endpoint, now) == fleet::evacuation_phase::closed;
}

bool statement_runner::takes_work(const base::endpoint_id& id,
                                  base::instant now) const
{
    const endpoint_state* endpoint = find_endpoint(id);
    return endpoint != nullptr && !is_closed(*endpoint, now) &&
           !endpoint->m_cold.is_closed(now);
}

void statement_runner::evacuation_ended(const base::failure_domain_id& domain,
                                        base::instant now)
{
    for (auto& [id, group] : m_groups)
        for (auto& [endpoint_id, endpoint] : group.m_endpoints)
            if (endpoint.m_entry.m_failure_domain == domain)
                warm_up(endpoint, endpoint.m_entry, "evacuation_ended", now);
}

// Nothing more may reach an evacuated endpoint; what runs there ends as the
// loss of its connection requires.
void statement_runner::close_evacuated(endpoint_state& endpoint,
                                       base::instant now)
{
    const base::endpoint_id id = endpoint.m_entry.m_id;
    endpoint.m_waiting_since.reset();
    const std::size_t connections = endpoint.m_pool.size();
    if (connections == 0 && in_flight(id) == 0)
        return;
    m_log.info("evacuated_endpoint_closed",
               {{"endpoint", id},
                {"domain", endpoint.m_entry.m_failure_domain},
                {"connections", connections},
                {"in_flight", in_flight(id)}});
    m_metrics.counter("connections.closed.evacuated").add(connections);
    drop_connections(id, now);
}

absl::Duration statement_runner::unreachable_for(const base::endpoint_id& id,
                                                 base::instant now) const
{
    const endpoint_state* endpoint = find_endpoint(id);
    if (endpoint == nullptr)
        return absl::ZeroDuration();
    if (endpoint->m_health != endpoint_health::serving)
        return now - endpoint->m_failed_since;
    const auto down_since = endpoint->m_failures.down_since();
    return down_since ? now - *down_since : absl::ZeroDuration();
}

bool statement_runner::has_answered_since(const base::endpoint_id& id,
                                          base::instant since) const
{
    const endpoint_state* endpoint = find_endpoint(id);
    return endpoint != nullptr && endpoint->m_listed &&
           !endpoint->is_leaving() &&
           endpoint->m_health == endpoint_health::serving &&
           !endpoint->m_failures.down_since() && endpoint->m_heard > since;
}

void statement_runner::forgive_pause(base::instant now)
{
    const auto last = std::exchange(m_last_tick, now);
    if (!last || now - *last < m_options.m_own_pause)
        return;
    m_log.warning("own_pause", {{"length", now - *last}});
    for (auto& [id, group] : m_groups)
        for (auto& [endpoint_id, endpoint] : group.m_endpoints)
        {
            if (endpoint.m_waiting_since)
                endpoint.m_waiting_since = now;
            endpoint.m_failed_since = now;
        }
}

void statement_runner::tick(base::instant now)
{
    const event_scope event(*this);
    forgive_pause(now);
    check_deadlines(now);
    for (auto& [id, group] : m_groups)
    {
        group.m_troubled = false;
        for (auto& [endpoint_id, endpoint] : group.m_endpoints)
        {
            if (is_closed(endpoint, now))
            {
                close_evacuated(endpoint, now);
                continue;
            }
            check_silence(endpoint, now);
            send_unsent(endpoint, now);
            trim(endpoint);
            group.m_troubled |= endpoint.is_troubled();
        }
        if (group.m_waiting.empty())
            continue;
        check_waiting(group, now);
        place_waiting(id);
    }
}

// Gives back connections that other hosts may open now.
void statement_runner::trim(endpoint_state& endpoint)
{
    connection* oldest = endpoint.m_pool.oldest_idle();
    if (oldest != nullptr && endpoint.m_pool.is_over_share())
        close(*oldest);
}

void statement_runner::check_waiting(group_state& group, base::instant now)
{
    const auto waiting = group.m_waiting;
    for (const auto number : waiting)
    {
        const auto found = m_sessions.find(number);
        if (found == m_sessions.end() || !found->second->is_working())
            continue;
        session& who = *found->second;
        if (is_waiting(who) &&
            now - who.m_work->m_arrived >= m_options.m_longest_wait)
            refuse_waiting(who);
    }
}

// Goes by the statements and not by the connections: a statement without its
// connection has to end as well.
void statement_runner::check_deadlines(base::instant now)
{
    std::vector<rpc::session_number> late;
    for (const auto& [number, who] : m_sessions)
        if (who->is_working() && now >= who->m_work->m_deadline)
            late.push_back(number);
    for (const auto number : late)
        end_late(*m_sessions.at(number), now);
}

// A statement that has used its time ends, and its connection with it, because
// nothing else would stop the endpoint from answering later.
void statement_runner::end_late(session& who, base::instant now)
{
    work& what = *who.m_work;
    if (is_waiting(who))
    {
        refuse_waiting(who);
        return;
    }
    m_metrics.counter("refused.statement_timeout").add();
    what.m_tried.resize(m_options.m_largest_tries);
    if (what.m_forwarded && m_forwarded.contains(*what.m_forwarded))
    {
        end_late_forwarded(who, now);
        return;
    }
    connection* on = find(what.m_connection);
    if (on == nullptr || on->m_owner != who.m_number)
    {
        end_without_connection(who, now);
        return;
    }
    if (endpoint_state* endpoint = find_endpoint(on->m_endpoint))
    {
        endpoint->m_failures.ended(true, now);
        endpoint->m_pace.refused(now);
    }
    connection_lost(*on, now);
}

// Nothing should lead here; a caller is answered all the same.
void statement_runner::end_without_connection(session& who, base::instant now)
{
    m_metrics.counter("statements.without_connection").add();
    m_log.error("statement_without_connection",
                {{"request", who.m_work->m_statement.m_id},
                 {"group", who.m_route.m_group},
                 {"connection", who.m_work->m_connection}});
    work_lost(who, {}, now);
}

void statement_runner::refuse_waiting(session& who)
{
    m_metrics.counter("refused.queue_timeout").add();
    finish(who, statement_error::busy, "no connection became free");
}

void statement_runner::check_silence(endpoint_state& endpoint,
                                     base::instant now)
{
    const bool idle = endpoint.m_pool.size() == 0;
    if (idle || !owes_answer(endpoint))
        endpoint.m_waiting_since.reset();
    if (idle && endpoint.m_health == endpoint_health::serving)
        return;
    if (endpoint.m_health != endpoint_health::serving)
    {
        if (now >= endpoint.m_next_try && endpoint.m_listed)
            probe(endpoint, now);
    }
    else if (endpoint.m_waiting_since &&
             now - *endpoint.m_waiting_since >= m_options.m_silence)
    {
        endpoint.m_health = endpoint_health::suspect;
        endpoint.m_failed_since = *endpoint.m_waiting_since;
        m_log.warning("endpoint_suspect",
                      {{"endpoint", endpoint.m_entry.m_id},
                       {"silent_for", now - *endpoint.m_waiting_since}});
        probe(endpoint, now);
    }
    // Connections that do not open in time are given up one by one.
    for (const auto number : endpoint.m_pool.numbers())
    {
        connection* item = find(number);
        if (item == nullptr || !is_stuck(*item, endpoint, now))
            continue;
        if (!item->m_open)
            endpoint_failed(endpoint, "connect_timeout", now);
        connection_lost(*item, now);
    }
}

// A connection that does not open in time, owes an answer at an endpoint that
// cannot be reached, or owes one to nobody.
bool statement_runner::is_stuck(const connection& item,
                                const endpoint_state& endpoint,
                                base::instant now) const
{
    if (!item.m_open)
        return now - item.m_opened >= m_options.m_connect_timeout;
    if (item.m_awaited.empty())
        return false;
    return endpoint.m_health == endpoint_health::unreachable ||
           (!item.m_owner &&
            now - item.m_awaited.front().m_sent >= m_options.m_abandoned_limit);
}

void statement_runner::endpoint_failed(endpoint_state& endpoint,
                                       const char* cause, base::instant now)
{
    if (endpoint.m_health != endpoint_health::unreachable)
    {
        if (endpoint.m_health == endpoint_health::serving)
            endpoint.m_failed_since = endpoint.m_waiting_since.value_or(now);
        endpoint.m_health = endpoint_health::unreachable;
        m_metrics.counter("endpoints.unreachable").add();
        m_log.warning("endpoint_unreachable",
                      {{"endpoint", endpoint.m_entry.m_id}, {"cause", cause}});
    }
    endpoint.m_next_try = now + m_options.m_retry_interval;
}

void statement_runner::endpoint_answered(endpoint_state& endpoint,
                                         base::instant now)
{
    endpoint.m_heard = now;
    endpoint.m_waiting_since.reset();
    if (owes_answer(endpoint))
        endpoint.m_waiting_since = now;
    if (endpoint.m_health == endpoint_health::serving)
        return;
    if (endpoint.m_health == endpoint_health::unreachable)
        warm_up(endpoint, endpoint.m_entry, "reachable", now);
    endpoint.m_health = endpoint_health::serving;
    m_log.info("endpoint_reachable", {{"endpoint", endpoint.m_entry.m_id}});
    place_waiting(endpoint.m_entry.m_group);
}

// A new connection shows whether an endpoint is there at all; the ones that
// are open may have been forgotten by something in between.
void statement_runner::probe(endpoint_state& endpoint, base::instant now)
{
    endpoint.m_next_try = now + m_options.m_retry_interval;
    if (endpoint.m_pool.opening() > 0 || is_closed(endpoint, now))
        return;
    if (m_own_organisation.empty())
        return;
    if (endpoint.m_cold.is_closed(now) || !endpoint.m_cold.has_token(now))
        return;
    m_metrics.counter("endpoints.probed").add();
    open(endpoint, m_own_organisation, now);
}

void statement_runner::verify(const base::endpoint_id& id, base::instant now)
{
    endpoint_state* endpoint = find_endpoint(id);
    if (endpoint != nullptr && endpoint->m_listed &&
        endpoint->m_health == endpoint_health::serving &&
        now - endpoint->m_heard >= m_options.m_silence &&
        now >= endpoint->m_next_try)
        probe(*endpoint, now);
}

void statement_runner::request_report(const base::endpoint_id& endpoint,
                                      report_callback done, base::instant now)
{
    // One connection at a time tries an endpoint that does not answer.
    endpoint_state* state = find_endpoint(endpoint);
    if (state != nullptr && state->m_health != endpoint_health::serving &&
        state->m_pool.opening() > 0)
        return;
    endpoint_request request;
    request.m_action = endpoint_request::action::status;
    send_control(endpoint, {request, std::move(done)}, now);
}

void statement_runner::step_down(const base::endpoint_id& endpoint,
                                 base::term term, base::instant now)
{
    endpoint_request request;
    request.m_action = endpoint_request::action::step_down;
    request.m_term = term;
    send_control(endpoint, {request, nullptr}, now);
}

void statement_runner::send_control(const base::endpoint_id& id,
                                    control_request request, base::instant now)
{
    endpoint_state* endpoint = find_endpoint(id);
    if (endpoint == nullptr || is_closed(*endpoint, now))
        return;
    // The caller repeats the request; requests that pile up would be sent late.
    if (!endpoint->m_unsent.empty() || !endpoint->m_cold.has_token(now))
    {
        m_metrics.counter("cold.control_dropped").add();
        return;
    }
    connection* item = endpoint->m_pool.oldest_idle();
    if (item == nullptr)
        item = &open(*endpoint, m_own_organisation, now);
    item->m_control = true;
    m_controls[item->m_number] = std::move(request);
    if (item->m_open)
        start_control(*item, now);
}

void statement_runner::start_control(connection& on, base::instant now)
{
    on.m_used = now;
    send(on, awaited::report, m_controls.at(on.m_number).m_request);
}

} // namespace magnoliastack::entry
