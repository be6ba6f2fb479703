#include "magnoliastack/failover/controller.hpp"

#include "magnoliastack/base/invariant.hpp"
#include "magnoliastack/failover/promoter_rank.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::statechart::embedded
{
extern const std::string_view failover;
} // namespace magnoliastack::statechart::embedded

namespace magnoliastack::failover
{

namespace
{

statechart::chart load_chart()
{
    auto loaded = statechart::load(
        statechart::embedded::failover,
        {"term_needed", "term_not_needed", "host_was_paused", "turn_came",
         "answer_overdue", "majority_sealed", "promote_unanswered",
         "endpoint_promoted", "attempt_lost"});
    MAGNOLIASTACK_INVARIANT(loaded.has_value(),
                            "the embedded failover chart is well formed");
    return *std::move(loaded);
}

const statechart::chart& failover_chart()
{
    static const statechart::chart chart = load_chart();
    return chart;
}

} // namespace

controller::controller(base::group_id group, base::host_id self,
                       std::vector<base::endpoint_id> members,
                       controller_options options)
    : m_group(std::move(group)), m_self(std::move(self)),
      m_members(std::move(members)), m_options(options), m_assessment(m_self),
      m_machine(failover_chart())
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
        if (m_machine.can_fire("host_was_paused"))
            fire("host_was_paused", now, actions);
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
    m_cause = m_assessment.assess(view, evidence, now);
    const std::string_view event =
        m_cause == promotion_cause::none ? "term_not_needed" : "term_needed";
    if (m_machine.can_fire(event))
    {
        m_cause_since = now;
        fire(event, now, actions);
    }
    if (m_cause == promotion_cause::none)
        return;
    const auto start = turn(view, evidence, now);
    if (start && *start <= now)
        fire("turn_came", now, actions);
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

// Resends what was not answered and gives up what takes too long.
void controller::drive_attempt(const group::group_view& view, base::instant now,
                               std::vector<action>& actions)
{
    const base::term target = m_attempt->target();
    const absl::Duration age = now - m_state_since;
    // An endpoint accepts a term only after its primary's promotion, and only
    // this host promotes in a term that a majority sealed for it. So a lost
    // answer does not matter.
    if (view.current_term() == target && is_promoting())
        fire("endpoint_promoted", now, actions);
    else if (view.current_term() >= target)
        fire("attempt_lost", now, actions);
    else if (is_promoting() && age >= m_options.m_promote_timeout)
        fire("promote_unanswered", now, actions);
    else if (!is_promoting() && age >= m_options.m_seal_timeout)
        fire("attempt_lost", now, actions);
    else if (now - m_sent_at >= m_options.m_resend_after)
        fire("answer_overdue", now, actions);
}

std::vector<action>
controller::seal_answered(const base::endpoint_id& endpoint, base::term target,
                          const base::result<rpc::control_answer>& answer,
                          base::instant now)
{
    std::vector<action> actions;
    if (!m_attempt || is_promoting() || target != m_attempt->target() ||
        !answer)
        return actions;
    rpc::endpoint_status status = answer->m_status;
    status.m_endpoint = endpoint;
    // An endpoint that has accepted the term was promoted in it, or follows the
    // one that was: by this host's previous process or by another promoter.
    const bool over = status.m_accepted_term >= target;
    if (over || !answer->m_taken)
    {
        refused(endpoint, status, now);
        if (over || m_attempt->is_lost())
            fire("attempt_lost", now, actions);
        return actions;
    }
    m_attempt->sealed(endpoint, status);
    if (m_attempt->choose(m_leaving))
        fire("majority_sealed", now, actions);
    return actions;
}

std::vector<action> controller::promote_answered(
    const base::endpoint_id& endpoint, base::term target,
    const base::result<rpc::control_answer>& answer, base::instant now)
{
    std::vector<action> actions;
    // A lost answer is resolved by drive_attempt: by the view or by time.
    if (!m_attempt || !is_promoting() || target != m_attempt->target() ||
        endpoint != m_attempt->chosen() || !answer)
        return actions;
    if (!answer->m_taken)
        refused(endpoint, answer->m_status, now);
    fire(answer->m_taken ? "endpoint_promoted" : "attempt_lost", now, actions);
    return actions;
}

// Notes that another promoter holds the endpoint's seal.
void controller::refused(const base::endpoint_id& endpoint,
                         const rpc::endpoint_status& status, base::instant now)
{
    learn_term(std::max(status.m_sealed_term, status.m_accepted_term), now);
    m_foreign_seal_at = now;
    m_attempt->refused(endpoint);
}

void controller::fire(std::string_view event, base::instant now,
                      std::vector<action>& actions)
{
    const std::string before = m_machine.state();
    const auto steps = m_machine.fire(event);
    MAGNOLIASTACK_INVARIANT(steps.has_value(),
                            "the failover chart handles the event");
    if (m_machine.state() != before)
        m_state_since = now;
    for (const statechart::action_name& step : *steps)
        carry_out(step, now, actions);
}

// Runs one action of the chart.
void controller::carry_out(std::string_view step, base::instant now,
                           std::vector<action>& actions)
{
    if (step == "begin_attempt")
        return begin_attempt();
    MAGNOLIASTACK_INVARIANT(m_attempt.has_value(),
                            "only an attempt sends seals and promotes");
    const base::term target = m_attempt->target();
    if (step == "send_seals")
    {
        m_sent_at = now;
        for (const base::endpoint_id& endpoint : m_attempt->unsealed())
            actions.emplace_back(send_seal{endpoint, target});
    }
    else if (step == "send_later_seals")
    {
        for (const base::endpoint_id& endpoint : m_attempt->later())
            actions.emplace_back(send_seal{endpoint, target});
    }
    else if (step == "send_promote")
    {
        m_sent_at = now;
        actions.emplace_back(send_promote{m_attempt->chosen().value(), target});
    }
    else if (step == "report_promotion")
    {
        actions.emplace_back(
            promoted{m_attempt->chosen().value(), target, m_cause});
    }
    else
    {
        MAGNOLIASTACK_INVARIANT(step == "end_attempt",
                                "every action of the failover chart is known");
        if (m_cause == promotion_cause::planned)
            m_planned_allowed_from = now + m_options.m_planned_interval;
        m_attempt.reset();
    }
}

// Chooses a term that no endpoint is known to have sealed.
void controller::begin_attempt()
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
                      majority);
}

bool controller::is_promoting() const
{
    return m_attempt && m_attempt->chosen();
}

} // namespace magnoliastack::failover
