#include "execute_job.hpp"

#include "commit_progress.hpp"

#include <string>
#include <utility>

namespace magnoliastack::proxy
{

execute_job::execute_job(job_host& host, admitted_request request,
                         std::shared_ptr<caller_reply> reply)
    : m_host(host), m_request(std::move(request)), m_reply(std::move(reply)),
      m_machine(m_request.m_what, host.retries()),
      m_primary_only(m_request.m_what.m_write)
{
}

void execute_job::begin(base::instant now)
{
    m_started = now;
    schedule_deadline();
    apply(m_machine.start(), now);
}

const base::organisation_id& execute_job::organisation() const
{
    return m_request.m_authority.m_organisation;
}

base::instant execute_job::deadline() const
{
    return m_request.m_what.m_deadline;
}

std::uint64_t execute_job::cost() const
{
    return m_request.m_what.m_statements.size();
}

routing::read_requirements execute_job::requirements() const
{
    return {m_request.m_session.position_of(m_request.m_group),
            m_request.m_max_staleness, deadline(), m_request.m_replica_wait};
}

placement execute_job::where() const
{
    return {m_primary_only, requirements()};
}

bool execute_job::is_wanted(base::instant now)
{
    if (m_machine.is_finished())
        return false;
    if (m_host.is_still_authorised(m_request.m_authority, now))
        return true;
    apply(m_machine.refused(base::refusal_reason::key_rejected,
                            absl::ZeroDuration()),
          now);
    return false;
}

rpc::call execute_job::start_call(const grant& what, base::instant now)
{
    m_grant = what;
    m_sent_at = now;
    rpc::call call = m_machine.next_call(what.m_term);
    m_machine.sent(what.m_term);
    return call;
}

bool execute_job::call_ended(rpc::call_end end, std::vector<rpc::row> rows,
                             base::instant now)
{
    if (!m_machine.is_finished())
        apply(m_machine.ended(std::move(end), std::move(rows), now), now);
    return false;
}

void execute_job::connection_lost(base::instant now)
{
    if (!m_machine.is_finished())
        apply(m_machine.connection_lost(now), now);
}

void execute_job::cannot_run(base::refusal_reason reason,
                             absl::Duration retry_delay, base::instant now)
{
    if (!m_machine.is_finished())
        apply(m_machine.refused(reason, retry_delay), now);
}

bool execute_job::check_commit(const group::group_view& view, base::instant now)
{
    if (m_machine.is_finished())
        return true;
    request::commit_progress progress = progress_of(view, m_awaited);
    if (!m_request.m_what.m_write)
    {
        const routing::answer_verdict verdict =
            routing::check_answer(requirements(), m_grant.m_endpoint, m_awaited,
                                  view, m_sent_at, now);
        if (verdict == routing::answer_verdict::retry)
        {
            apply(m_machine.answer_rejected(now), now);
            return true;
        }
        progress = verdict == routing::answer_verdict::deliver
                       ? request::commit_progress::committed
                       : request::commit_progress::pending;
        m_staleness = view.staleness(m_grant.m_endpoint, now)
                          .value_or(absl::ZeroDuration());
    }
    if (progress == request::commit_progress::pending)
        return false;
    apply(m_machine.commit_state(progress, now), now);
    return true;
}

void execute_job::apply(request::action what, base::instant now)
{
    if (const auto* item = std::get_if<request::acquire>(&what))
    {
        m_primary_only = item->m_primary;
        submit(now);
    }
    else if (const auto* item = std::get_if<request::await_commit>(&what))
    {
        m_awaited = item->m_point;
        group_runtime* group = m_host.find_group(m_request.m_group);
        if (group != nullptr)
            group->await_commit(shared_from_this(), now);
    }
    else if (const auto* item = std::get_if<request::back_off>(&what))
    {
        m_host.shared()
            .m_metrics
            .counter("retried." +
                     std::string(to_string(m_machine.last_retry())))
            .add(1);
        m_host.shared().m_timers.schedule(
            item->m_until,
            [self = shared_from_this()]
            {
                if (!self->m_machine.is_finished())
                    self->apply(self->m_machine.backed_off(),
                                self->m_host.shared().m_clock.now());
            });
    }
    else if (auto* item = std::get_if<request::deliver>(&what))
    {
        finish(std::move(*item), now);
    }
    else if (const auto* item = std::get_if<request::refuse>(&what))
    {
        finish(*item);
    }
}

void execute_job::submit(base::instant now)
{
    group_runtime* group = m_host.find_group(m_request.m_group);
    if (group == nullptr)
        return apply(m_machine.refused(base::refusal_reason::no_endpoint,
                                       absl::ZeroDuration()),
                     now);
    group->submit(shared_from_this(), now);
}

void execute_job::schedule_deadline()
{
    m_host.shared().m_timers.schedule(
        deadline(),
        [weak = weak_from_this()]
        {
            const std::shared_ptr<execute_job> self = weak.lock();
            if (self && !self->m_machine.is_finished())
                self->apply(self->m_machine.expired(),
                            self->m_host.shared().m_clock.now());
        });
}

bool execute_job::served_by_replica() const
{
    group_runtime* group = m_host.find_group(m_request.m_group);
    return group != nullptr && !m_request.m_what.m_write &&
           group->view().primary() != m_grant.m_endpoint;
}

void execute_job::finish(request::deliver outcome, base::instant now)
{
    metrics::registry& metrics = m_host.shared().m_metrics;
    answer result;
    result.m_rows = std::move(outcome.m_rows);
    result.m_repeated = outcome.m_repeated;
    result.m_endpoint = m_grant.m_endpoint;
    if (m_request.m_what.m_write)
    {
        m_request.m_session.advance(m_request.m_group, outcome.m_point);
        metrics.counter("requests.write").add(1);
        metrics.latency("request.write").record(now - m_started);
    }
    else
    {
        result.m_from_replica = served_by_replica();
        result.m_staleness = m_staleness;
        metrics
            .counter(result.m_from_replica ? "requests.read.replica"
                                           : "requests.read.primary")
            .add(1);
        metrics.latency("request.read").record(now - m_started);
    }
    auto token = m_host.encode(m_request.m_session);
    // Whether the token fits was checked before the request ran.
    if (token.has_value())
        result.m_session_token = *std::move(token);
    m_reply->deliver(std::move(result));
    m_host.job_finished(*this);
}

void execute_job::finish(const request::refuse& outcome)
{
    m_host.shared()
        .m_metrics.counter(metrics::refusal_counter(outcome.m_refusal.m_reason))
        .add(1);
    m_reply->refuse(outcome.m_refusal);
    m_host.job_finished(*this);
}

} // namespace magnoliastack::proxy
