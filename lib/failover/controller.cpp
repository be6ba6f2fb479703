#include "magnoliastack/failover/controller.hpp"

#include "magnoliastack/base/invariant.hpp"
#include "magnoliastack/failover/promoter_rank.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::failover
{

controller::controller(base::group_id group, base::host_id self,
                       std::vector<base::endpoint_id> members,
                       controller_options options)
    : m_group(std::move(group)), m_self(std::move(self)),
      m_members(std::move(members)), m_options(options), m_assessment(m_self)
{
}

std::vector<action> controller::tick(const group::group_view& view,
                                     const evidence_list& evidence,
                                     base::instant now)
{
    std::vector<action> actions;
    if (!m_last_tick || now - *m_last_tick > m_options.m_pause_gap)
    {
        m_assessment.reset(now);
        // An attempt goes on: terms guard it, and a sealed majority needs a
        // primary soon.
        if (!m_attempt)
            m_phase = phase::idle;
    }
    m_last_tick = now;
    learn(view, now);
    if (m_attempt)
        drive_attempt(view, now, actions);
    else
        consider(view, evidence, now, actions);
    return actions;
}

// Takes in the terms and the members' state of the view.
void controller::learn(const group::group_view& view, base::instant now)
{
    if (view.current_term() > m_current_term)
    {
        // The first term that this process sees is no promotion.
        if (m_current_term != base::term())
            m_damping.promotion_seen(now);
        m_current_term = view.current_term();
    }
    learn_term(view.highest_seal(), now);
    m_primary = view.primary();
    m_leaving.clear();
    for (const base::endpoint_id& endpoint : m_members)
    {
        if (view.is_leaving(endpoint))
            m_leaving.insert(endpoint);
    }
}

void controller::learn_term(base::term seen, base::instant now)
{
    if (seen <= m_highest_term)
        return;
    m_highest_term = seen;
    if (seen > m_current_term)
        m_foreign_seal_at = now;
}

// Starts an attempt when the group needs a new term and it is this host's turn.
void controller::consider(const group::group_view& view,
                          const evidence_list& evidence, base::instant now,
                          std::vector<action>& actions)
{
    const promotion_cause cause = m_assessment.assess(view, evidence, now);
    if (cause == promotion_cause::none)
    {
        m_cause = cause;
        m_phase = phase::idle;
        return;
    }
    if (m_phase == phase::idle)
    {
        m_phase = phase::waiting;
        m_cause_since = now;
    }
    m_cause = cause;
    const auto start = turn(view, evidence, now);
    if (start && *start <= now)
        begin_attempt(now, actions);
}

// When this host may start; none while its gossip entry would say that it does
// not reach a majority.
std::optional<base::instant> controller::turn(const group::group_view& view,
                                              const evidence_list& evidence,
                                              base::instant now) const
{
    if (!view.is_majority_reachable(now))
        return std::nullopt;
    std::vector<base::host_id> candidates;
    for (const host_evidence& item : evidence)
    {
        if (item.m_live && item.m_host != m_self &&
            item.m_observation.m_group == m_group &&
            item.m_observation.m_majority_reachable)
            candidates.push_back(item.m_host);
    }
    const auto rank = static_cast<double>(
        promoter_rank(m_self, candidates, m_group, m_current_term));
    base::instant from = m_cause_since;
    if (deposes(m_cause))
        from = std::max(from, m_damping.allowed_from());
    if (m_cause == promotion_cause::planned)
        from = std::max(from, m_planned_allowed_from);
    base::instant start = from + m_options.m_rank_delay * rank;
    // Another promoter is at work; give it time for its promote.
    if (m_foreign_seal_at && m_highest_term > m_current_term)
        start = std::max(start, *m_foreign_seal_at +
                                    m_options.m_rank_delay * (rank + 1));
    return start;
}

void controller::begin_attempt(base::instant now, std::vector<action>& actions)
{
    m_highest_term = m_highest_term.next();
    std::vector<base::endpoint_id> first = m_members;
    std::vector<base::endpoint_id> later;
    const std::size_t majority = m_members.size() / 2 + 1;
    // In a planned change the leaving primary goes on writing until the others
    // are sealed, so its log would be the longest and it would be chosen again.
    if (m_cause == promotion_cause::planned && m_primary &&
        m_members.size() > majority)
    {
        std::erase(first, *m_primary);
        later.push_back(*m_primary);
    }
    m_attempt.emplace(m_highest_term, std::move(first), std::move(later),
                      majority, now);
    m_phase = phase::sealing;
    send_seals(now, actions);
}

void controller::send_seals(base::instant now, std::vector<action>& actions)
{
    m_sent_at = now;
    for (const base::endpoint_id& endpoint : m_attempt->unsealed())
        actions.emplace_back(send_seal{endpoint, m_attempt->target()});
}

void controller::send_choice(base::instant now, std::vector<action>& actions)
{
    m_sent_at = now;
    actions.emplace_back(
        send_promote{*m_attempt->chosen(), m_attempt->target()});
}

// Resends what was not answered and gives up what takes too long.
void controller::drive_attempt(const group::group_view& view, base::instant now,
                               std::vector<action>& actions)
{
    if (view.current_term() > m_attempt->target())
    {
        abandon();
        return;
    }
    if (view.current_term() == m_attempt->target())
    {
        // An endpoint accepts a term only after its primary's promotion, so a
        // lost answer does not matter.
        if (m_phase == phase::promoting)
            finish(actions);
        else
            abandon();
        return;
    }
    if (m_phase == phase::promoting)
    {
        if (now - m_chosen_at >= m_options.m_promote_timeout)
        {
            // The endpoint may have become primary of this term, so another
            // endpoint needs a higher one.
            m_attempt.reset();
            begin_attempt(now, actions);
        }
        else if (now - m_sent_at >= m_options.m_resend_after)
            send_choice(now, actions);
        return;
    }
    if (now - m_attempt->begun_at() >= m_options.m_seal_timeout)
        abandon();
    else if (now - m_sent_at >= m_options.m_resend_after)
        send_seals(now, actions);
}

std::vector<action>
controller::seal_answered(const base::endpoint_id& endpoint, base::term target,
                          const base::result<rpc::control_answer>& answer,
                          base::instant now)
{
    std::vector<action> actions;
    if (!m_attempt || m_phase != phase::sealing ||
        target != m_attempt->target() || !answer)
        return actions;
    rpc::endpoint_status status = answer->m_status;
    status.m_endpoint = endpoint;
    // An endpoint that has accepted the term was promoted in it, or follows the
    // one that was: by this host's previous process or by another promoter.
    const bool over = status.m_accepted_term >= target;
    if (over || !answer->m_taken)
    {
        learn_term(std::max(status.m_sealed_term, status.m_accepted_term), now);
        m_foreign_seal_at = now;
        m_attempt->refused(endpoint);
        if (over || m_attempt->is_lost())
            abandon();
        return actions;
    }
    m_attempt->sealed(endpoint, status);
    if (!m_attempt->choose(m_leaving))
        return actions;
    m_phase = phase::promoting;
    m_chosen_at = now;
    send_choice(now, actions);
    for (const base::endpoint_id& other : m_attempt->later())
        actions.emplace_back(send_seal{other, target});
    return actions;
}

std::vector<action> controller::promote_answered(
    const base::endpoint_id& endpoint, base::term target,
    const base::result<rpc::control_answer>& answer, base::instant now)
{
    std::vector<action> actions;
    if (!m_attempt || m_phase != phase::promoting ||
        target != m_attempt->target() || endpoint != m_attempt->chosen())
        return actions;
    // A lost answer is resolved by drive_attempt: by the view or by time.
    if (!answer)
        return actions;
    if (answer->m_taken)
    {
        finish(actions);
        return actions;
    }
    learn_term(std::max(answer->m_status.m_sealed_term,
                        answer->m_status.m_accepted_term),
               now);
    m_foreign_seal_at = now;
    abandon();
    return actions;
}

void controller::finish(std::vector<action>& actions)
{
    MAGNOLIASTACK_INVARIANT(m_attempt && m_attempt->chosen(),
                            "only a chosen endpoint is promoted");
    actions.emplace_back(
        promoted{*m_attempt->chosen(), m_attempt->target(), m_cause});
    abandon();
}

void controller::abandon()
{
    if (m_cause == promotion_cause::planned && m_last_tick)
        m_planned_allowed_from = *m_last_tick + m_options.m_planned_interval;
    m_attempt.reset();
    m_phase = phase::idle;
}

} // namespace magnoliastack::failover
