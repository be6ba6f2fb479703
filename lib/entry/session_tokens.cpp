// Operations that wait for a token of another host.
#include "magnoliastack/entry/session_service.hpp"

#include <utility>

namespace magnoliastack::entry
{

using rpc::statement_error;

session_service::admission_result session_service::no_token() const
{
    return {statement_error::busy,
            m_gate.may_use() ? "no token of the organisation's rate is left"
                             : "this host cannot confirm its part of the rates",
            false};
}

void session_service::wait_for_token(session& who, rpc::opaque_statement what,
                                     base::instant now)
{
    auto& waiting = m_token_waiters[who.m_organisation];
    const auto amount = static_cast<std::uint32_t>(waiting.size() + 1);
    // One request at a time; its answer is for all that wait.
    const bool asked = !waiting.empty() || m_token_source->request_tokens(
                                               who.m_organisation, amount);
    const bool comes_soon =
        m_gate.wait(who.m_organisation, amount, now) <= m_options.m_token_wait;
    if (!comes_soon && (!asked || waiting.size() >= m_options.m_largest_queue))
    {
        refuse(who, what, no_token());
        return;
    }
    who.m_awaits_token = true;
    waiting.push_back(
        {who.m_number, std::move(what),
         now + (asked ? m_options.m_answer_wait : m_options.m_token_wait)});
}

std::uint32_t session_service::lend_tokens(const base::organisation_id& who,
                                           std::uint32_t amount,
                                           base::instant now)
{
    if (!m_configuration || !m_token_waiters[who].empty())
        return 0;
    return m_gate.lend(*m_configuration, who, amount, now);
}

std::map<base::organisation_id, std::uint32_t>
session_service::tokens(base::instant now) const
{
    return m_gate.all_tokens(now);
}

void session_service::tokens_granted(const base::organisation_id& who,
                                     const base::host_id& lender,
                                     std::uint32_t amount, base::instant now)
{
    const statement_runner::event_scope event(*m_runner);
    for (; amount > 0 && admit_next(who, lender, now); --amount)
        ;
    for (; amount > 0; --amount)
        m_token_source->return_token(who, lender);
    admit_waiting(who, now);
    const auto& waiting = m_token_waiters[who];
    if (waiting.empty() || m_token_source->request_tokens(
                               who, static_cast<std::uint32_t>(waiting.size())))
        return;
    if (m_gate.wait(who, 1, now) > m_options.m_token_wait)
        refuse_waiting(who, now);
}

void session_service::tokens_returned(const base::organisation_id& who,
                                      std::uint32_t amount, base::instant now)
{
    const statement_runner::event_scope event(*m_runner);
    for (; amount > 0; --amount)
        m_gate.give_back(who, now);
    admit_waiting(who, now);
}

// The operation was refused before any endpoint was asked to run it.
void session_service::give_back(session& who, base::instant now)
{
    if (!std::exchange(who.m_holds_token, false))
        return;
    m_metrics.counter("tokens.given_back").add();
    if (who.m_token_lender)
        m_token_source->return_token(who.m_organisation, *who.m_token_lender);
    else
        m_gate.give_back(who.m_organisation, now);
}

void session_service::admit_waiting(const base::organisation_id& who,
                                    base::instant now)
{
    if (!m_configuration)
        return;
    while (!m_token_waiters[who].empty() &&
           m_gate.try_take(*m_configuration, who, now))
        if (!admit_next(who, std::nullopt, now))
            m_gate.give_back(who, now);
}

// Starts the operation that has waited longest; false when none waits.
bool session_service::admit_next(const base::organisation_id& who,
                                 const std::optional<base::host_id>& lender,
                                 base::instant now)
{
    auto& waiting = m_token_waiters[who];
    while (!waiting.empty())
    {
        auto admitted = std::move(waiting.front());
        waiting.pop_front();
        const auto found = m_sessions.find(admitted.m_session);
        if (found == m_sessions.end() || !found->second->m_awaits_token)
            continue;
        session& session = *found->second;
        session.m_awaits_token = false;
        start(session, std::move(admitted.m_statement), lender, now);
        serve_next(session, now);
        return true;
    }
    return false;
}

void session_service::refuse_waiting(const base::organisation_id& who,
                                     base::instant now)
{
    while (!m_token_waiters[who].empty())
        refuse_first(who, now);
}

void session_service::refuse_first(const base::organisation_id& who,
                                   base::instant now)
{
    auto& waiting = m_token_waiters[who];
    const auto item = std::move(waiting.front());
    waiting.pop_front();
    const auto found = m_sessions.find(item.m_session);
    if (found == m_sessions.end() || !found->second->m_awaits_token)
        return;
    session& session = *found->second;
    session.m_awaits_token = false;
    refuse(session, item.m_statement, no_token());
    serve_next(session, now);
}

} // namespace magnoliastack::entry
