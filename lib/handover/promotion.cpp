#include "magnoliastack/handover/promotion.hpp"

#include "magnoliastack/base/invariant.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace magnoliastack::statechart::embedded
{
extern const std::string_view promotion;
} // namespace magnoliastack::statechart::embedded

namespace magnoliastack::handover
{
namespace
{

statechart::chart load_chart()
{
    auto loaded = statechart::load(statechart::embedded::promotion,
                                   {"needed", "claimed", "recovered",
                                    "released", "chosen", "promoted", "refused",
                                    "unanswered", "confirmed", "unconfirmed",
                                    "published", "abandoned"});
    MAGNOLIASTACK_INVARIANT(loaded.has_value(),
                            "the embedded promotion chart is well formed");
    return *std::move(loaded);
}

std::uint64_t milliseconds(absl::Duration span)
{
    return static_cast<std::uint64_t>(absl::ToInt64Milliseconds(span));
}

} // namespace

promotion::promotion(base::group_id group, base::host_id self,
                     base::incarnation incarnation, promotion_options options)
    : m_group(std::move(group)), m_self(std::move(self)),
      m_incarnation(incarnation), m_options(options), m_chart(load_chart()),
      m_machine(m_chart)
{
}

bool promotion::is_idle() const
{
    return m_machine.state() == "idle";
}

std::vector<promotion_action> promotion::tick(const promotion_inputs& inputs,
                                              base::instant now)
{
    actions out;
    const std::string state = m_machine.state();
    if (state == "idle")
    {
        tick_idle(inputs, out, now);
        return out;
    }
    if (state == "claiming")
    {
        tick_claiming(inputs, out, now);
        return out;
    }
    // From here on the claim has to stay this host's own.
    if (state != "publishing" &&
        (!is_own_claim(inputs) || !holds_duty(inputs, absl::ZeroDuration())))
    {
        fire("abandoned", inputs, out, now);
        return out;
    }
    renew(inputs, out);
    if (state == "releasing" && inputs.m_primary_answers && m_may_reinstate)
        reinstate(inputs, out, now);
    else if (state == "releasing" && inputs.m_released)
        fire("released", inputs, out, now);
    else if (state == "choosing")
        tick_choosing(inputs, out, now);
    else if (state == "promoting")
        tick_promoting(inputs, out, now);
    else if (state == "confirming")
        tick_confirming(inputs, out, now);
    else if (state == "publishing")
        tick_publishing(inputs, out, now);
    return out;
}

void promotion::tick_idle(const promotion_inputs& inputs, actions& out,
                          base::instant now)
{
    if (inputs.m_need == need::none || !inputs.m_may_start ||
        m_change_running || !may_take_duty(inputs))
        return;
    if (inputs.m_need == need::planned && inputs.m_primary_may_stay &&
        inputs.m_holders.m_sync_replicas > 0 &&
        !has_replica_in_step(inputs, out, now))
        return;
    m_need = inputs.m_need;
    m_left_moving = inputs.m_leadership && inputs.m_leadership->m_phase ==
                                               fleet::leadership_phase::moving;
    m_may_reinstate = m_need == need::failed && !m_left_moving;
    fire("needed", inputs, out, now);
}

// The claim counts when its row comes back, whatever the answer said.
void promotion::tick_claiming(const promotion_inputs& inputs, actions& out,
                              base::instant now)
{
    if (is_own_claim(inputs) &&
        inputs.m_leadership->m_generation == m_generation)
    {
        m_claimed = now;
        fire("claimed", inputs, out, now);
    }
    else if (m_change_applied == false ||
             now - m_entered > 2 * m_options.m_change_timeout)
        fire("abandoned", inputs, out, now);
}

// Nothing has been promoted yet, so the primary that is back may go on: a new
// one would take longer and lose what was not replicated.
void promotion::reinstate(const promotion_inputs& inputs, actions& out,
                          base::instant now)
{
    m_candidate = m_old;
    m_term = inputs.m_leadership->m_term;
    fire("recovered", inputs, out, now);
}

void promotion::tick_choosing(const promotion_inputs& inputs, actions& out,
                              base::instant now)
{
    ask_reports(inputs, out, now);
    const auto best = inputs.m_holders.m_sync_replicas > 0
                          ? choose_holder(inputs, now)
                          : choose_candidate(inputs, now);
    if (!best || !holds_duty(inputs, m_options.m_tenure_margin))
        return;
    m_candidate = *best;
    m_awaited.clear();
    fire("chosen", inputs, out, now);
}

void promotion::tick_promoting(const promotion_inputs& inputs, actions& out,
                               base::instant now)
{
    if (!m_promote_result)
        return;
    const auto result = *std::exchange(m_promote_result, std::nullopt);
    if (!result)
    {
        if (holds_duty(inputs, m_options.m_tenure_margin))
            fire("unanswered", inputs, out, now);
        else
            m_promote_result = result;
    }
    else if (*result)
        fire("promoted", inputs, out, now);
    else
        fire("refused", inputs, out, now);
}

void promotion::tick_confirming(const promotion_inputs& inputs, actions& out,
                                base::instant now)
{
    const auto found = m_reports.find(m_candidate);
    if (found != m_reports.end() && found->second.m_at >= m_entered &&
        leads(found->second))
    {
        m_term = found->second.m_report.m_term;
        fire("confirmed", inputs, out, now);
        return;
    }
    if (now - m_entered > m_options.m_confirm_wait)
    {
        m_reports.erase(m_candidate);
        fire("unconfirmed", inputs, out, now);
        return;
    }
    if (now - m_asked < m_options.m_ask_interval)
        return;
    m_asked = now;
    out.emplace_back(ask_report{m_candidate});
}

// An old primary calls itself primary too, also after the promotion of another
// endpoint, of which this host may know nothing: its holder was lost, or the
// endpoint cannot be asked. Only a newer term shows that the promotion has
// taken effect. The platform's present primary keeps its term.
bool promotion::leads(const known_report& candidate) const
{
    const rpc::endpoint_report& report = candidate.m_report;
    if (!report.m_primary || report.m_term < m_term_before)
        return false;
    return report.m_term > m_term_before || is_only_candidate() ||
           candidate.m_at - m_entered >= m_options.m_effect_wait;
}

// True when nobody can have promoted another endpoint than the candidate since
// the row was published, or ever.
bool promotion::is_only_candidate() const
{
    return !m_left_moving && !m_attempted_other;
}

// A repeated call for the same endpoint may have taken effect the first time.
void promotion::begin_attempt(const promotion_inputs& inputs)
{
    if (m_attempted == m_candidate)
        return;
    m_attempted_other = !m_attempted.empty();
    m_attempted = m_candidate;
    m_term_before = std::max(m_newest_term, inputs.m_leadership->m_term);
}

void promotion::tick_publishing(const promotion_inputs& inputs, actions& out,
                                base::instant now)
{
    const auto& row = inputs.m_leadership;
    if (row && row->m_generation == m_generation &&
        row->m_phase == fleet::leadership_phase::serving)
        fire("published", inputs, out, now);
    else if (!is_own_claim(inputs))
        fire("abandoned", inputs, out, now);
    else if (!m_change_running)
        fire("unanswered", inputs, out, now);
}

void promotion::change_ended(const base::result<rpc::change_outcome>& result,
                             base::instant /*now*/)
{
    m_change_running = false;
    if (result)
        m_change_applied = result->m_applied;
    else if (result.error().m_code != base::error_code::deadline_exceeded)
        m_change_applied = false;
}

void promotion::report_received(const base::endpoint_id& endpoint,
                                const rpc::endpoint_report& report,
                                base::instant asked, base::instant now)
{
    m_reports[endpoint] = {report, asked, now};
    m_newest_term = std::max(m_newest_term, report.m_term);
}

void promotion::promote_ended(const base::result<bool>& result,
                              base::instant /*now*/)
{
    if (std::exchange(m_promote_running, false))
        m_promote_result = result;
}

void promotion::fire(const char* event, const promotion_inputs& inputs,
                     actions& out, base::instant now)
{
    const auto taken = m_machine.fire(event);
    MAGNOLIASTACK_INVARIANT(taken.has_value(),
                            "the promotion chart allows the event");
    m_entered = now;
    m_awaited.clear();
    m_awaits_list = false;
    if (event == std::string_view("released"))
    {
        m_released = now;
        m_released_at = inputs.m_store_latest;
    }
    for (const auto& action : *taken)
        act(action, inputs, out, now);
}

void promotion::act(const std::string& action, const promotion_inputs& inputs,
                    actions& out, base::instant now)
{
    if (action == "send_claim")
        send_claim(inputs, out);
    else if (action == "ask_reports")
    {
        m_asked = {};
        m_reports.clear();
        ask_reports(inputs, out, now);
    }
    else if (action == "send_promote")
    {
        begin_attempt(inputs);
        m_promote_running = true;
        m_promote_result.reset();
        out.emplace_back(promote_endpoint{m_candidate, inputs.m_duty->m_token});
    }
    else if (action == "ask_candidate")
        m_asked = {};
    else if (action == "send_step_down")
    {
        if (!m_old.empty() && m_old != m_candidate)
            out.emplace_back(step_down_endpoint{m_old, m_term});
    }
    else if (action == "send_publish")
        send_publish(inputs, out);
}

bool promotion::may_take_duty(const promotion_inputs& inputs) const
{
    if (!inputs.m_duty || (inputs.m_duty->m_holder == m_self &&
                           inputs.m_duty->m_incarnation == m_incarnation))
        return true;
    return inputs.m_store_earliest > inputs.m_duty->m_until;
}

bool promotion::holds_duty(const promotion_inputs& inputs,
                           absl::Duration margin) const
{
    return inputs.m_duty && inputs.m_duty->m_holder == m_self &&
           inputs.m_duty->m_incarnation == m_incarnation &&
           inputs.m_store_latest.value() + milliseconds(margin) <
               inputs.m_duty->m_until.value();
}

bool promotion::is_own_claim(const promotion_inputs& inputs) const
{
    return inputs.m_leadership &&
           inputs.m_leadership->m_phase == fleet::leadership_phase::moving &&
           inputs.m_leadership->m_holder == m_self &&
           inputs.m_leadership->m_generation == m_generation;
}

fleet::duty_row promotion::next_duty(const promotion_inputs& inputs) const
{
    fleet::duty_row duty;
    duty.m_holder = m_self;
    duty.m_incarnation = m_incarnation;
    const bool same = inputs.m_duty && inputs.m_duty->m_holder == m_self &&
                      inputs.m_duty->m_incarnation == m_incarnation;
    const std::uint64_t last = inputs.m_duty ? inputs.m_duty->m_token : 0;
    // A holder keeps its token within an era.
    duty.m_token = fleet::next_number(same ? last - 1 : last, inputs.m_era);
    duty.m_until = rpc::store_instant(inputs.m_store_latest.value() +
                                      milliseconds(m_options.m_tenure));
    return duty;
}

void promotion::send_claim(const promotion_inputs& inputs, actions& out)
{
    fleet::leadership_row row;
    row.m_group = m_group;
    row.m_generation = fleet::next_number(
        inputs.m_leadership ? inputs.m_leadership->m_generation : 0,
        inputs.m_era);
    row.m_phase = fleet::leadership_phase::moving;
    row.m_primary = inputs.m_primary;
    row.m_term =
        inputs.m_leadership ? inputs.m_leadership->m_term : base::term();
    row.m_holder = m_self;
    m_generation = row.m_generation;
    m_old = inputs.m_primary;
    m_newest_term = {};
    m_attempted = {};
    m_attempted_other = false;
    m_round_asked.reset();
    m_end_before.reset();
    m_change_running = true;
    m_change_applied.reset();
    change_rows claim{
        {{{fleet::duty_key, inputs.m_duty_version},
          {fleet::leadership_key(m_group), inputs.m_leadership_version}},
         {{fleet::leadership_key(m_group), fleet::encode(row)}}}};
    // The duty owner's claims for several groups at once would expect each
    // other's version of the duty's row if each wrote it, and all but one would
    // fail.
    if (!holds_duty(inputs, m_options.m_tenure / 2))
        claim.m_change.m_writes.emplace_back(fleet::duty_key,
                                             fleet::encode(next_duty(inputs)));
    out.emplace_back(std::move(claim));
}

void promotion::send_publish(const promotion_inputs& inputs, actions& out)
{
    fleet::leadership_row row = *inputs.m_leadership;
    row.m_phase = fleet::leadership_phase::serving;
    row.m_primary = m_candidate;
    row.m_term = m_term;
    m_change_running = true;
    out.emplace_back(change_rows{
        {{{fleet::leadership_key(m_group), inputs.m_leadership_version}},
         {{fleet::leadership_key(m_group), fleet::encode(row)}}}});
}

void promotion::renew(const promotion_inputs& inputs, actions& out)
{
    if (m_change_running || holds_duty(inputs, m_options.m_tenure / 2) ||
        !holds_duty(inputs, absl::ZeroDuration()))
        return;
    m_change_running = true;
    out.emplace_back(
        change_rows{{{{fleet::duty_key, inputs.m_duty_version}},
                     {{fleet::duty_key, fleet::encode(next_duty(inputs))}}}});
}

void promotion::ask_reports(const promotion_inputs& inputs, actions& out,
                            base::instant now)
{
    if (now - m_asked < m_options.m_ask_interval)
        return;
    m_asked = now;
    std::set<base::endpoint_id> asked(inputs.m_candidates.begin(),
                                      inputs.m_candidates.end());
    // Endpoints that are no candidates may hold acknowledged commits too.
    if (inputs.m_holders.m_sync_replicas > 0)
        for (const auto& holder : inputs.m_holders.m_listed)
            asked.insert(holder.m_endpoint);
    if (m_need == need::planned && !m_old.empty())
        asked.insert(m_old);
    // Once nobody writes, one report of each is enough.
    for (const auto& id : asked)
        if (!m_reports.contains(id) || !inputs.m_released ||
            m_need == need::planned)
            out.emplace_back(ask_report{id});
}

} // namespace magnoliastack::handover
