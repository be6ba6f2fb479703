#include "magnoliastack/request/machine.hpp"

#include "magnoliastack/base/invariant.hpp"

#include <utility>

namespace magnoliastack::statechart::embedded
{
extern const std::string_view request;
} // namespace magnoliastack::statechart::embedded

namespace magnoliastack::request
{

namespace
{

// Events of charts/request.scxml.
namespace event
{
constexpr std::string_view sent = "sent";
constexpr std::string_view answered = "answered";
constexpr std::string_view not_run = "not_run";
constexpr std::string_view outcome_lost = "outcome_lost";
constexpr std::string_view committed = "committed";
constexpr std::string_view fence_committed = "fence_committed";
constexpr std::string_view backed_off = "backed_off";
constexpr std::string_view failed = "failed";
constexpr std::string_view refused = "refused";
constexpr std::string_view deadline = "deadline";
} // namespace event

// States of charts/request.scxml.
namespace state
{
constexpr std::string_view running = "running";
constexpr std::string_view probe_waiting = "probe_waiting";
constexpr std::string_view probing = "probing";
constexpr std::string_view finished = "finished";
} // namespace state

statechart::chart load_request_chart()
{
    auto loaded = statechart::load(
        statechart::embedded::request,
        {"sent", "answered", "not_run", "outcome_lost", "committed",
         "fence_committed", "backed_off", "failed", "refused", "deadline"});
    MAGNOLIASTACK_INVARIANT(loaded.has_value(),
                            "the embedded request chart is well formed");
    return *std::move(loaded);
}

} // namespace

const statechart::chart& request_chart()
{
    static const statechart::chart chart = load_request_chart();
    return chart;
}

machine::machine(description what, retry_policy& retries)
    : m_what(std::move(what)), m_retries(retries), m_state(request_chart())
{
}

action machine::start() const
{
    return acquire{m_what.m_write};
}

rpc::call machine::next_call(base::term primary_term) const
{
    if (m_state.state() == state::probe_waiting)
        return rpc::probe_call{m_what.m_id, m_attempt, true, primary_term};
    return rpc::execute_call{m_what.m_statements, m_what.m_write, m_what.m_id,
                             m_attempt, primary_term};
}

void machine::sent(base::term primary_term)
{
    m_sent_term = primary_term;
    if (m_what.m_write)
        m_may_have_run = true;
    fire(event::sent, base::instant());
}

action machine::ended(rpc::call_end end, std::vector<rpc::row> rows,
                      base::instant now)
{
    // The endpoint checked the expected term of a write or probe, so its
    // record lies in the log of that term, even if it was written earlier.
    if (m_what.m_write)
        end.m_point.m_term = m_sent_term;
    if (m_state.state() == state::probing)
        return probe_ended(std::move(end), std::move(rows), now);
    return answered(std::move(end), std::move(rows), now);
}

action machine::answered(rpc::call_end end, std::vector<rpc::row> rows,
                         base::instant now)
{
    switch (end.m_outcome)
    {
    case rpc::call_outcome::done:
        m_end = std::move(end);
        m_rows = std::move(rows);
        m_awaiting_fence = false;
        return fire(event::answered, now);
    case rpc::call_outcome::wrong_term:
        m_may_have_run = false;
        return retry(retry_reason::wrong_term, event::not_run, now);
    case rpc::call_outcome::leaving:
        m_may_have_run = false;
        return retry(retry_reason::endpoint_leaving, event::not_run, now);
    case rpc::call_outcome::fenced:
        // Another host fenced this attempt for a repeat of the same request.
        m_may_have_run = false;
        m_attempt = m_attempt.next();
        return retry(retry_reason::fenced_attempt, event::not_run, now);
    case rpc::call_outcome::record_expired:
        return record_expired(now);
    case rpc::call_outcome::failed:
        m_may_have_run = false;
        m_refusal = {base::refusal_reason::statement_failed, execution(),
                     absl::ZeroDuration(), std::move(end.m_detail)};
        return fire(event::failed, now);
    case rpc::call_outcome::not_found:
    case rpc::call_outcome::unspecified:
        break;
    }
    // An outcome that this version does not know proves nothing.
    return outcome_lost(retry_reason::connection_lost, now);
}

action machine::probe_ended(rpc::call_end end, std::vector<rpc::row> rows,
                            base::instant now)
{
    switch (end.m_outcome)
    {
    case rpc::call_outcome::done:
        m_end = std::move(end);
        m_rows = std::move(rows);
        m_awaiting_fence = false;
        return fire(event::answered, now);
    case rpc::call_outcome::not_found:
    case rpc::call_outcome::fenced:
        // Void only once a majority holds the fence.
        m_end = std::move(end);
        m_awaiting_fence = true;
        return fire(event::answered, now);
    case rpc::call_outcome::record_expired:
        return record_expired(now);
    default:
        break;
    }
    return retry(retry_reason::probe_lost, event::outcome_lost, now);
}

action machine::record_expired(base::instant now)
{
    m_refusal = {base::refusal_reason::request_record_expired,
                 base::execution::unknown, absl::ZeroDuration(),
                 "the request id is older than the retention of records"};
    return fire(event::failed, now);
}

action machine::connection_lost(base::instant now)
{
    return outcome_lost(m_state.state() == state::probing
                            ? retry_reason::probe_lost
                            : retry_reason::connection_lost,
                        now);
}

action machine::answer_rejected(base::instant now)
{
    MAGNOLIASTACK_INVARIANT(!m_what.m_write,
                            "only a read's answer can be rejected");
    return retry(retry_reason::stale_answer, event::not_run, now);
}

action machine::outcome_lost(retry_reason reason, base::instant now)
{
    if (m_what.m_write)
        m_earlier_may_have_run = true;
    if (m_state.state() == state::probing)
        return retry(reason, event::outcome_lost, now);
    // A read changes nothing, and a write that may be repeated is matched by
    // its request id, so neither needs a fence before the next attempt.
    if (!m_what.m_write || m_what.m_may_repeat)
        return retry(reason, event::not_run, now);
    m_last_retry = reason;
    return fire(event::outcome_lost, now);
}

action machine::commit_state(commit_progress progress, base::instant now)
{
    if (progress == commit_progress::pending)
        return nothing{};
    if (progress == commit_progress::superseded)
        return outcome_lost(retry_reason::term_superseded, now);
    if (!m_awaiting_fence)
        return fire(event::committed, now);
    m_may_have_run = false;
    m_earlier_may_have_run = false;
    m_attempt = m_attempt.next();
    return retry(retry_reason::fence_committed, event::fence_committed, now);
}

action machine::backed_off()
{
    return fire(event::backed_off, base::instant());
}

action machine::expired()
{
    m_refusal = {base::refusal_reason::deadline_exceeded, execution(),
                 absl::ZeroDuration(), "the deadline passed"};
    return fire(event::deadline, base::instant());
}

action machine::refused(base::refusal_reason reason, absl::Duration retry_delay)
{
    return give_up(reason, retry_delay, "");
}

action machine::give_up(base::refusal_reason reason, absl::Duration retry_delay,
                        std::string detail)
{
    m_refusal = {reason, execution(), retry_delay, std::move(detail)};
    return fire(event::refused, base::instant());
}

action machine::retry(retry_reason reason, std::string_view what,
                      base::instant now)
{
    m_last_retry = reason;
    if (m_what.m_single_attempt && what != event::outcome_lost)
        return give_up(base::refusal_reason::transaction_aborted,
                       absl::ZeroDuration(), "the commit did not run");
    ++m_tries;
    const std::optional<absl::Duration> delay =
        m_retries.next_delay(m_tries, now);
    if (!delay.has_value())
        return give_up(base::refusal_reason::connection_lost,
                       absl::Milliseconds(100), "the retry budget is spent");
    const base::instant until = now + *delay;
    if (until >= m_what.m_deadline)
        return expired();
    fire(what, until);
    return back_off{until};
}

action machine::fire(std::string_view what, base::instant now)
{
    const auto actions = m_state.fire(what);
    MAGNOLIASTACK_INVARIANT(actions.has_value(),
                            "every event of a request is in its chart");
    for (const auto& name : *actions)
    {
        if (name == "acquire")
            return acquire{m_what.m_write};
        if (name == "acquire_probe")
            return acquire{true};
        if (name == "await_commit")
            return await_commit{m_end.m_point};
        if (name == "back_off")
            return back_off{now};
        if (name == "deliver")
            return deliver{std::move(m_rows), m_end.m_point, m_end.m_repeated};
        if (name == "refuse")
            return refuse{m_refusal};
    }
    return nothing{};
}

bool machine::is_finished() const
{
    return m_state.state() == state::finished;
}

bool machine::is_at_endpoint() const
{
    return m_state.state() == state::running ||
           m_state.state() == state::probing;
}

base::execution machine::execution() const
{
    if (m_may_have_run || m_earlier_may_have_run)
        return base::execution::unknown;
    return base::execution::not_run;
}

} // namespace magnoliastack::request
