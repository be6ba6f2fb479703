#include "magnoliastack/standin/endpoint_model.hpp"

#include "magnoliastack/base/invariant.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::standin
{

namespace
{

// Bound of one pull answer; gRPC refuses messages above 4 MB by default.
constexpr std::size_t pull_bytes = 1'000'000;

} // namespace

endpoint_model::endpoint_model(endpoint_options options, base::instant now)
    : endpoint_model(std::move(options), durable_state{}, now)
{
    // Term 1 belongs to the initial primary. Without the seal a promoter that
    // reaches only the others could win it too.
    m_sealed = base::term(1);
    if (!m_options.m_initial_primary)
        return;
    m_accepted = base::term(1);
    m_primary_of_accepted = true;
    append_own(std::nullopt, {});
    m_term_start = m_log.held().m_position;
}

endpoint_model::endpoint_model(endpoint_options options, durable_state kept,
                               base::instant /*now*/)
    : m_options(std::move(options)), m_log(m_options.m_record_limit),
      m_accepted(kept.m_accepted_term), m_sealed(kept.m_sealed_term),
      m_sealed_by(std::move(kept.m_sealed_by)), m_term_start(kept.m_term_start),
      m_primary_of_accepted(kept.m_primary),
      m_replicator(m_options.m_endpoint, m_options.m_members,
                   m_options.m_replicator)
{
    for (log_entry& entry : kept.m_entries)
        m_log.append(std::move(entry));
    m_log.apply_up_to(m_log.held().m_position);
    m_replicator.set_delay(m_options.m_replication_delay);
    check_progress();
}

rpc::control_answer endpoint_model::seal(base::term target,
                                         const base::host_id& promoter,
                                         base::instant now)
{
    const bool fresh = target > m_sealed && target > m_accepted;
    const bool again = is_sealed_for(target, promoter);
    if (fresh)
    {
        m_sealed = target;
        m_sealed_by = promoter;
    }
    check_progress();
    return {fresh || again, status(now)};
}

rpc::control_answer endpoint_model::promote(base::term target,
                                            const base::host_id& promoter,
                                            base::instant now)
{
    const bool sealed_for_it = is_sealed_for(target, promoter);
    const bool again =
        sealed_for_it && target == m_accepted && m_primary_of_accepted;
    const bool fresh = sealed_for_it && target > m_accepted;
    if (fresh)
    {
        m_to_apply.clear();
        m_replicator.reset();
        m_accepted = target;
        m_primary_of_accepted = true;
        append_own(std::nullopt, {});
        m_term_start = m_log.held().m_position;
    }
    check_progress();
    return {fresh || again, status(now)};
}

endpoint_model::actions endpoint_model::pull_received(std::uint64_t ticket,
                                                      pull_request request,
                                                      base::instant now)
{
    m_waiting_pulls.push_back(
        {ticket, std::move(request), now + m_options.m_pull_wait});
    return tick(now);
}

endpoint_model::actions endpoint_model::pull_answered(
    const base::endpoint_id& from, std::uint64_t number,
    base::result<pull_answer> answer, base::instant now)
{
    m_replicator.answered(from, number, std::move(answer), following(), m_log,
                          now);
    return tick(now);
}

endpoint_model::actions endpoint_model::tick(base::instant now)
{
    actions out;
    accept_ready(out, now);
    take_batches(now);
    apply_due(now);
    finish_jobs(out, now);
    answer_waiting_pulls(out, now);
    for (send_pull& pull : m_replicator.tick(following(), m_log, now))
        out.emplace_back(std::move(pull));
    check_progress();
    return out;
}

std::optional<base::instant> endpoint_model::next_event() const
{
    std::optional<base::instant> next = m_replicator.next_event();
    const auto consider = [&next](base::instant when)
    {
        if (!next || when < *next)
            next = when;
    };
    for (const auto& [number, connection] : m_connections)
        if (!connection.m_ready)
            consider(connection.m_ready_at);
    if (!m_running.empty())
        consider(m_running.begin()->first);
    if (!m_to_apply.empty())
        consider(m_to_apply.front().first);
    for (const waiting_pull& pull : m_waiting_pulls)
        consider(pull.m_deadline);
    return next;
}

rpc::endpoint_status endpoint_model::status(base::instant now) const
{
    rpc::endpoint_status out;
    out.m_endpoint = m_options.m_endpoint;
    out.m_group = m_options.m_group;
    out.m_role = is_primary()            ? rpc::endpoint_role::primary
                 : m_sealed > m_accepted ? rpc::endpoint_role::sealed
                                         : rpc::endpoint_role::replica;
    out.m_accepted_term = m_accepted;
    out.m_sealed_term = m_sealed;
    out.m_sealed_by = m_sealed_by;
    out.m_held = m_log.held();
    out.m_applied = m_log.applied();
    if (m_term_start <= m_log.held().m_position)
        out.m_term_start = m_term_start;
    out.m_queue_length = static_cast<std::uint32_t>(m_waiting.size());
    out.m_slots = m_options.m_slots;
    out.m_connections = static_cast<std::uint32_t>(m_connections.size());
    out.m_connection_limit = m_options.m_connection_limit;
    out.m_leaving = m_leaving;
    if (!is_primary())
    {
        const auto contact = m_replicator.last_contact();
        out.m_primary_contact_age =
            contact ? now - *contact : absl::InfiniteDuration();
    }
    return out;
}

const log_store& endpoint_model::log() const
{
    return m_log;
}

durable_state endpoint_model::durable() const
{
    return {
        m_accepted, m_sealed, m_sealed_by, m_term_start, m_primary_of_accepted,
        {}};
}

void endpoint_model::set_leaving(bool leaving, base::instant now)
{
    if (leaving && !m_leaving)
        m_leaving_since = now;
    m_leaving = leaving;
}

void endpoint_model::set_apply_delay(absl::Duration delay)
{
    m_options.m_apply_delay = delay;
}

void endpoint_model::set_replication_delay(absl::Duration delay)
{
    m_replicator.set_delay(delay);
}

bool endpoint_model::is_sealed_for(base::term target,
                                   const base::host_id& promoter) const
{
    // The seal of term 1 has no promoter.
    return target == m_sealed && !promoter.empty() && promoter == m_sealed_by;
}

bool endpoint_model::is_primary() const
{
    return m_primary_of_accepted && m_sealed <= m_accepted;
}

bool endpoint_model::is_primary_of(base::term expected) const
{
    return is_primary() && m_accepted == expected;
}

follow_state endpoint_model::following() const
{
    return {m_accepted, m_sealed, is_primary()};
}

void endpoint_model::append_own(std::optional<request_record> record,
                                std::vector<row_change> changes)
{
    MAGNOLIASTACK_INVARIANT(is_primary(), "only a primary writes to its log");
    const base::log_position position = m_log.held().m_position.next();
    m_log.append(
        {{m_accepted, position}, std::move(record), std::move(changes)});
    m_log.apply_up_to(position);
}

void endpoint_model::take_batches(base::instant now)
{
    while (auto batch = m_replicator.take_due(now))
        take_batch(*std::move(batch), now);
}

void endpoint_model::take_batch(received_batch batch, base::instant now)
{
    const base::term lowest = std::max(m_accepted, m_sealed);
    if (batch.m_term < lowest || (is_primary() && batch.m_term <= m_accepted) ||
        !m_log.contains(batch.m_after))
    {
        m_replicator.reset();
        return;
    }
    if (batch.m_term > m_accepted)
    {
        // The log may have grown since the pull was sent. Dropping entries
        // that the primary has, even if only to take them again, could drop
        // the copy that makes up a majority.
        if (!batch.m_entries.empty() &&
            m_log.contains(batch.m_entries.front().m_point))
        {
            m_replicator.reset();
            return;
        }
        // What lies after the agreed entry is not in the new primary's log.
        const base::log_position kept = batch.m_after.m_position;
        m_log.truncate(kept);
        std::erase_if(m_to_apply,
                      [kept](const auto& item)
                      {
                          return item.second > kept;
                      });
        m_accepted = batch.m_term;
        m_primary_of_accepted = false;
    }
    else if (batch.m_after != m_log.held())
    {
        m_replicator.reset();
        return;
    }
    m_term_start = batch.m_term_start;
    MAGNOLIASTACK_INVARIANT(batch.m_term >= m_sealed &&
                                batch.m_term == m_accepted,
                            "no entry is taken from a term below the seal");
    for (log_entry& entry : batch.m_entries)
        m_log.append(std::move(entry));
    m_to_apply.emplace_back(now + m_options.m_apply_delay,
                            m_log.held().m_position);
}

void endpoint_model::apply_due(base::instant now)
{
    while (!m_to_apply.empty() && m_to_apply.front().first <= now)
    {
        m_log.apply_up_to(m_to_apply.front().second);
        m_to_apply.pop_front();
    }
}

std::optional<pull_answer>
endpoint_model::answer_to(const pull_request& request) const
{
    pull_answer out;
    out.m_term = m_accepted;
    if (!is_primary() || request.m_term > m_accepted)
        return out;
    out.m_primary = true;
    out.m_term_start = m_term_start;
    if (!m_log.contains(request.m_after))
    {
        out.m_diverged = true;
        out.m_resume_after = m_log.resume_after(request.m_after);
        return out;
    }
    out.m_entries = m_log.entries_after(request.m_after.m_position,
                                        m_options.m_pull_entries, pull_bytes);
    if (out.m_entries.empty() && request.m_term == m_accepted)
        return std::nullopt;
    return out;
}

void endpoint_model::answer_waiting_pulls(actions& out, base::instant now)
{
    std::erase_if(
        m_waiting_pulls,
        [&](const waiting_pull& pull)
        {
            auto answer = answer_to(pull.m_request);
            if (!answer && now < pull.m_deadline)
                return false;
            if (!answer)
                answer =
                    pull_answer{true, m_accepted, false, {}, {}, m_term_start};
            out.emplace_back(answer_pull{pull.m_ticket, *std::move(answer)});
            return true;
        });
}

void endpoint_model::check_progress()
{
    const base::log_position held = m_log.held().m_position;
    MAGNOLIASTACK_INVARIANT(m_accepted >= m_checked_accepted,
                            "the accepted term never falls");
    MAGNOLIASTACK_INVARIANT(m_sealed >= m_checked_sealed,
                            "the sealed term never falls");
    MAGNOLIASTACK_INVARIANT(
        m_accepted > m_checked_accepted ||
            (held >= m_checked_held && m_log.applied() >= m_checked_applied),
        "positions only rise within a term");
    MAGNOLIASTACK_INVARIANT(m_log.held().m_term <= m_accepted,
                            "no entry is newer than the accepted term");
    MAGNOLIASTACK_INVARIANT(m_log.applied() <= held,
                            "only held entries are visible");
    m_checked_accepted = m_accepted;
    m_checked_sealed = m_sealed;
    m_checked_held = held;
    m_checked_applied = m_log.applied();
}

} // namespace magnoliastack::standin
