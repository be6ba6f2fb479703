// Operations that wait for a token of another host.
#include "magnoliastack/entry/session_service.hpp"

#include <utility>

namespace magnoliastack::entry
{

using rpc::statement_error;

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
        refuse(who, what,
               {statement_error::busy,
                "no token of the organisation's rate is left", false});
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
                                     std::uint32_t amount, base::instant now)
{
    admit_waiting(who, amount, now);
    const auto& waiting = m_token_waiters[who];
    if (waiting.empty() || m_token_source->request_tokens(
                               who, static_cast<std::uint32_t>(waiting.size())))
        return;
    if (m_gate.wait(who, 1, now) > m_options.m_token_wait)
        refuse_waiting(who, now);
}

void session_service::admit_waiting(const base::organisation_id& who,
                                    std::uint32_t amount, base::instant now)
{
    auto& waiting = m_token_waiters[who];
    while (!waiting.empty())
    {
        const auto found = m_sessions.find(waiting.front().m_session);
        if (found == m_sessions.end() || !found->second->m_awaits_token)
        {
            waiting.pop_front();
            continue;
        }
        if (amount > 0)
            --amount;
        else if (!m_gate.try_take(*m_configuration, who, now))
            return;
        auto admitted = std::move(waiting.front());
        waiting.pop_front();
        session& session = *found->second;
        session.m_awaits_token = false;
        start(session, std::move(admitted.m_statement), now);
        serve_next(session, now);
    }
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
    refuse(session, item.m_statement,
           {statement_error::busy,
            "no token of the organisation's rate is left", false});
    serve_next(session, now);
}

} // namespace magnoliastack::entry
