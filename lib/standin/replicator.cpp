#include "magnoliastack/standin/replicator.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::standin
{

replicator::replicator(base::endpoint_id self,
                       std::vector<base::endpoint_id> members,
                       replicator_options options)
    : m_self(std::move(self)), m_options(options)
{
    for (base::endpoint_id& member : members)
        if (member != m_self)
            m_members.emplace(std::move(member), member_state{});
}

void replicator::set_delay(absl::Duration delay)
{
    m_delay = delay;
}

std::vector<send_pull> replicator::tick(const follow_state& state,
                                        const log_store& log, base::instant now)
{
    std::vector<send_pull> pulls;
    for (auto& [member, at] : m_members)
    {
        if (at.m_in_flight || now < at.m_next_pull)
            continue;
        at.m_asked_after = next_point(member, at, log);
        at.m_in_flight = ++m_last_number;
        base::term wanted = std::max(state.m_accepted, state.m_sealed);
        if (state.m_primary)
            wanted = wanted.next();
        if (m_source == member)
            wanted = std::max(wanted, m_source_term);
        pulls.push_back(
            {member,
             m_last_number,
             {m_self, wanted, at.m_asked_after, log.held().m_position}});
    }
    return pulls;
}

void replicator::answered(const base::endpoint_id& from, std::uint64_t number,
                          base::result<pull_answer> answer,
                          const follow_state& state, const log_store& log,
                          base::instant now)
{
    const auto found = m_members.find(from);
    if (found == m_members.end() || found->second.m_in_flight != number)
        return;
    member_state& at = found->second;
    at.m_in_flight.reset();
    if (!answer)
    {
        at.m_next_pull = now + m_options.m_retry_interval;
        return;
    }
    const base::term lowest = state.m_primary
                                  ? state.m_accepted.next()
                                  : std::max(state.m_accepted, state.m_sealed);
    if (answer->m_primary && answer->m_term >= lowest)
    {
        primary_answered(from, at, *std::move(answer), state, log, now);
        return;
    }
    if (m_source == from)
        reset();
    at.m_resume_after.reset();
    const bool searches =
        !state.m_primary && (!m_source || state.m_sealed > state.m_accepted);
    at.m_next_pull = now + (searches ? m_options.m_search_interval
                                     : m_options.m_watch_interval);
}

std::optional<received_batch> replicator::take_due(base::instant now)
{
    if (m_in_transit.empty() || m_in_transit.front().m_due > now)
        return std::nullopt;
    auto batch = std::move(m_in_transit.front());
    m_in_transit.pop_front();
    return batch;
}

void replicator::reset()
{
    m_source.reset();
    m_source_term = base::term(0);
    m_in_transit.clear();
    for (auto& [member, at] : m_members)
    {
        at.m_resume_after.reset();
        // A pull on its way was asked for a log that may have changed since;
        // its answer is ignored.
        at.m_in_flight.reset();
    }
}

std::optional<base::instant> replicator::last_contact() const
{
    return m_last_contact;
}

std::optional<base::instant> replicator::next_event() const
{
    std::optional<base::instant> next;
    const auto consider = [&next](base::instant when)
    {
        if (!next || when < *next)
            next = when;
    };
    for (const auto& [member, at] : m_members)
        if (!at.m_in_flight)
            consider(at.m_next_pull);
    if (!m_in_transit.empty())
        consider(m_in_transit.front().m_due);
    return next;
}

base::log_point replicator::next_point(const base::endpoint_id& member,
                                       const member_state& at,
                                       const log_store& log) const
{
    if (m_source == member && !m_in_transit.empty())
        return tail_in_transit();
    if (at.m_resume_after && *at.m_resume_after <= log.held().m_position)
        return {log.term_at(*at.m_resume_after), *at.m_resume_after};
    return log.held();
}

base::log_point replicator::tail_in_transit() const
{
    const received_batch& last = m_in_transit.back();
    return last.m_entries.empty() ? last.m_after
                                  : last.m_entries.back().m_point;
}

void replicator::primary_answered(const base::endpoint_id& from,
                                  member_state& at, pull_answer answer,
                                  const follow_state& state,
                                  const log_store& log, base::instant now)
{
    if (m_source && answer.m_term < m_source_term)
    {
        at.m_next_pull = now + m_options.m_watch_interval;
        return;
    }
    if (m_source != from || m_source_term != answer.m_term)
    {
        m_in_transit.clear();
        m_source = from;
        m_source_term = answer.m_term;
    }
    m_last_contact = now;
    at.m_next_pull = now;
    at.m_resume_after.reset();
    if (answer.m_diverged)
    {
        m_in_transit.clear();
        // Only a primary that lost its log differs from a replica of its own
        // term; there is nothing to take from it.
        if (answer.m_term == state.m_accepted)
            at.m_next_pull = now + m_options.m_watch_interval;
        else
            at.m_resume_after = answer.m_resume_after;
        return;
    }
    if (answer.m_entries.empty() &&
        (answer.m_term == state.m_accepted || !m_in_transit.empty()))
        return;
    // A pull that was asked before the entries ahead of it were dropped no
    // longer joins on.
    const bool joins = m_in_transit.empty()
                           ? log.contains(at.m_asked_after)
                           : tail_in_transit() == at.m_asked_after;
    if (!joins)
        return;
    m_in_transit.push_back({now + m_delay, from, answer.m_term,
                            at.m_asked_after, std::move(answer.m_entries),
                            answer.m_term_start});
}

} // namespace magnoliastack::standin
