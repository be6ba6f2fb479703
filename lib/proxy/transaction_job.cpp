#include "transaction_job.hpp"

#include "commit_progress.hpp"

#include "magnoliastack/base/invariant.hpp"

#include <string>
#include <utility>

namespace magnoliastack::proxy
{

namespace
{

// Statements in one transaction; a longer one would hold a scarce connection.
constexpr int max_statements = 100;

} // namespace

transaction_job::transaction_job(job_host& host, admitted_transaction what,
                                 std::shared_ptr<caller_reply> reply)
    : m_host(host), m_what(std::move(what)), m_reply(std::move(reply))
{
}

void transaction_job::begin(base::instant now)
{
    m_host.shared().m_timers.schedule(
        deadline(),
        [weak = weak_from_this()]
        {
            const std::shared_ptr<transaction_job> self = weak.lock();
            if (!self || self->m_phase == phase::over)
                return;
            const base::instant at = self->m_host.shared().m_clock.now();
            if (self->m_phase == phase::committing)
                self->apply(self->m_commit->expired(), at);
            else
                self->abort(base::refusal_reason::deadline_exceeded,
                            "the deadline passed", at);
        });
    group_runtime* group = m_host.find_group(m_what.m_group);
    if (group == nullptr)
        return abort(base::refusal_reason::no_endpoint,
                     "the route's group is gone", now);
    group->submit(shared_from_this(), now);
}

void transaction_job::run(rpc::statement what, base::instant now)
{
    if (!may_continue(now))
        return;
    if (++m_statements > max_statements)
        return abort(base::refusal_reason::invalid_request,
                     "expected at most 100 statements in a transaction", now);
    m_phase = phase::running;
    send_on_connection(rpc::statement_call{std::move(what)}, now);
}

void transaction_job::commit(base::request_id id, base::instant now)
{
    if (!may_continue(now))
        return;
    m_phase = phase::committing;
    request::description what;
    what.m_write = true;
    what.m_single_attempt = true;
    what.m_id = id;
    what.m_deadline = deadline();
    m_commit.emplace(std::move(what), m_host.retries());
    m_commit->start();
    m_commit->sent(m_term);
    send_on_connection(rpc::commit_call{id, base::attempt_number(0), m_term},
                       now);
}

void transaction_job::roll_back(base::instant now)
{
    if (!may_continue(now))
        return;
    m_phase = phase::rolling_back;
    send_on_connection(rpc::rollback_call(), now);
}

void transaction_job::abandon(base::instant now)
{
    m_abandoned = true;
    // A commit that is out is settled without the caller.
    if (m_phase == phase::committing || m_phase == phase::over)
        return;
    close_connection(now);
    end();
}

// False when the step was refused.
bool transaction_job::may_continue(base::instant now)
{
    if (m_phase == phase::over)
        return false;
    if (m_lost)
    {
        abort(base::refusal_reason::transaction_aborted,
              "the connection was lost, the transaction was rolled back", now);
        return false;
    }
    if (!m_host.is_still_authorised(m_what.m_authority, now))
    {
        abort(base::refusal_reason::key_rejected, "the key was withdrawn", now);
        return false;
    }
    MAGNOLIASTACK_INVARIANT(m_phase == phase::idle,
                            "a step comes after the answer to the last one");
    return true;
}

void transaction_job::send_on_connection(const rpc::call& what,
                                         base::instant now)
{
    endpoint_runtime* owner = connection_owner();
    if (owner == nullptr ||
        !owner->send_on(m_connection->m_connection, what, now))
        connection_lost(now);
}

endpoint_runtime* transaction_job::connection_owner()
{
    if (!m_connection.has_value())
        return nullptr;
    group_runtime* group = m_host.find_group(m_what.m_group);
    return group == nullptr ? nullptr
                            : group->endpoint(m_connection->m_endpoint);
}

const base::organisation_id& transaction_job::organisation() const
{
    return m_what.m_authority.m_organisation;
}

base::instant transaction_job::deadline() const
{
    return m_what.m_deadline;
}

std::uint64_t transaction_job::cost() const
{
    return 1;
}

placement transaction_job::where() const
{
    return {true,
            {m_what.m_session.position_of(m_what.m_group), absl::ZeroDuration(),
             deadline()}};
}

bool transaction_job::is_wanted(base::instant now)
{
    if (m_phase == phase::over)
        return false;
    if (m_phase == phase::committing)
        return !m_commit->is_finished();
    if (m_host.is_still_authorised(m_what.m_authority, now))
        return true;
    abort(base::refusal_reason::key_rejected, "the key was withdrawn", now);
    return false;
}

rpc::call transaction_job::start_call(const grant& what, base::instant /*now*/)
{
    m_term = what.m_term;
    if (m_phase == phase::committing)
    {
        rpc::call probe = m_commit->next_call(what.m_term);
        m_commit->sent(what.m_term);
        return probe;
    }
    m_connection = what;
    return rpc::begin_call{what.m_term};
}

bool transaction_job::call_ended(rpc::call_end end, std::vector<rpc::row> rows,
                                 base::instant now)
{
    switch (m_phase)
    {
    case phase::opening:
        return begin_ended(end, now);
    case phase::running:
        return statement_ended(std::move(end), std::move(rows), now);
    case phase::rolling_back:
        m_connection.reset();
        deliver_step({});
        this->end();
        return false;
    case phase::committing:
        // The commit's connection or a probe's: neither is needed any more.
        m_connection.reset();
        if (!m_commit->is_finished())
            apply(m_commit->ended(std::move(end), std::move(rows), now), now);
        return false;
    default:
        return false;
    }
}

bool transaction_job::begin_ended(const rpc::call_end& end, base::instant now)
{
    if (end.m_outcome == rpc::call_outcome::done)
    {
        m_phase = phase::idle;
        deliver_step({});
        return true;
    }
    m_connection.reset();
    const auto delay = m_host.retries().next_delay(++m_tries, now);
    if (!delay.has_value())
    {
        abort(base::refusal_reason::no_primary, "the primary changed", now);
        return false;
    }
    m_host.shared().m_metrics.counter("retried.wrong_term").add(1);
    m_host.shared().m_timers.schedule(
        now + *delay,
        [weak = weak_from_this()]
        {
            const std::shared_ptr<transaction_job> self = weak.lock();
            if (!self || self->m_phase != phase::opening)
                return;
            if (group_runtime* group =
                    self->m_host.find_group(self->m_what.m_group))
                group->submit(self, self->m_host.shared().m_clock.now());
        });
    return false;
}

bool transaction_job::statement_ended(rpc::call_end end,
                                      std::vector<rpc::row> rows,
                                      base::instant now)
{
    if (end.m_outcome != rpc::call_outcome::done)
    {
        const base::refusal_reason reason =
            end.m_outcome == rpc::call_outcome::failed
                ? base::refusal_reason::statement_failed
                : base::refusal_reason::transaction_aborted;
        abort(reason, std::move(end.m_detail), now);
        return true;
    }
    const base::log_point needed = m_what.m_session.position_of(m_what.m_group);
    // A primary of an older term than the session's last write lacks it.
    if (end.m_point.m_term < needed.m_term ||
        end.m_point.m_position < needed.m_position)
    {
        abort(base::refusal_reason::transaction_aborted,
              "the endpoint is behind the session", now);
        return true;
    }
    m_phase = phase::releasing;
    m_awaited = end.m_point;
    m_rows = std::move(rows);
    if (group_runtime* group = m_host.find_group(m_what.m_group))
        group->await_commit(shared_from_this(), now);
    return true;
}

void transaction_job::connection_lost(base::instant now)
{
    m_connection.reset();
    switch (m_phase)
    {
    case phase::committing:
        if (!m_commit->is_finished())
            apply(m_commit->connection_lost(now), now);
        return;
    case phase::idle:
        m_lost = true;
        return;
    case phase::over:
        return;
    default:
        abort(base::refusal_reason::transaction_aborted,
              "the connection was lost, the transaction was rolled back", now);
    }
}

void transaction_job::cannot_run(base::refusal_reason reason,
                                 absl::Duration retry_delay, base::instant now)
{
    if (m_phase == phase::over)
        return;
    if (m_phase == phase::committing)
        return apply(m_commit->refused(reason, retry_delay), now);
    refuse({reason, base::execution::not_run, retry_delay, ""});
    close_connection(now);
    end();
}

bool transaction_job::check_commit(const group::group_view& view,
                                   base::instant now)
{
    if (m_phase == phase::over)
        return true;
    const request::commit_progress progress = progress_of(view, m_awaited);
    if (progress == request::commit_progress::pending)
        return false;
    if (m_phase == phase::committing)
    {
        apply(m_commit->commit_state(progress, now), now);
        return true;
    }
    if (progress == request::commit_progress::superseded)
    {
        abort(base::refusal_reason::transaction_aborted,
              "the primary changed, the transaction was rolled back", now);
        return true;
    }
    m_phase = phase::idle;
    deliver_step(std::move(m_rows));
    return true;
}

void transaction_job::apply(request::action what, base::instant now)
{
    group_runtime* group = m_host.find_group(m_what.m_group);
    if (std::holds_alternative<request::acquire>(what))
    {
        if (group != nullptr)
            group->submit(shared_from_this(), now);
    }
    else if (const auto* item = std::get_if<request::await_commit>(&what))
    {
        m_awaited = item->m_point;
        if (group != nullptr)
            group->await_commit(shared_from_this(), now);
    }
    else if (const auto* item = std::get_if<request::back_off>(&what))
    {
        m_host.shared().m_timers.schedule(
            item->m_until,
            [self = shared_from_this()]
            {
                if (!self->m_commit->is_finished())
                    self->apply(self->m_commit->backed_off(),
                                self->m_host.shared().m_clock.now());
            });
    }
    else if (const auto* item = std::get_if<request::deliver>(&what))
    {
        commit_delivered(*item);
    }
    else if (const auto* item = std::get_if<request::refuse>(&what))
    {
        refuse(item->m_refusal);
        end();
    }
}

void transaction_job::commit_delivered(const request::deliver& outcome)
{
    m_what.m_session.advance(m_what.m_group, outcome.m_point);
    m_host.shared().m_metrics.counter("transactions.committed").add(1);
    deliver_step(outcome.m_rows);
    end();
}

void transaction_job::deliver_step(std::vector<rpc::row> rows)
{
    if (m_abandoned)
        return;
    answer result;
    result.m_rows = std::move(rows);
    auto token = m_host.encode(m_what.m_session);
    if (token.has_value())
        result.m_session_token = *std::move(token);
    m_reply->deliver(std::move(result));
}

void transaction_job::abort(base::refusal_reason reason, std::string detail,
                            base::instant now)
{
    refuse({reason, base::execution::not_run, absl::ZeroDuration(),
            std::move(detail)});
    close_connection(now);
    end();
}

void transaction_job::refuse(const base::refusal& what)
{
    m_host.shared()
        .m_metrics.counter(metrics::refusal_counter(what.m_reason))
        .add(1);
    if (!m_abandoned)
        m_reply->refuse(what);
}

void transaction_job::close_connection(base::instant now)
{
    // Closing rolls back, whatever state the connection is in.
    if (endpoint_runtime* owner = connection_owner())
        owner->discard(m_connection->m_connection, now);
    m_connection.reset();
}

void transaction_job::end()
{
    m_phase = phase::over;
    m_host.job_finished(*this);
}

} // namespace magnoliastack::proxy
