#include "magnoliastack/group/group_view.hpp"

#include <algorithm>

namespace magnoliastack::group
{

group_view::group_view(base::group_id group,
                       std::vector<base::endpoint_id> members)
    : m_group(std::move(group)), m_members(std::move(members)),
      m_commit(m_members.size()), m_freshness(m_members.size())
{
    for (const base::endpoint_id& endpoint : m_members)
        m_entries[endpoint];
}

base::round_number group_view::begin_round(base::instant now)
{
    if (!m_round_at || now - *m_round_at > pause_gap)
        reset_evidence(now);
    m_round_at = now;
    m_round = m_round.next();
    m_freshness.round_begun(m_round, now);
    if (primary())
        m_primary_seen_at = now;
    return m_round;
}

void group_view::status_received(const base::endpoint_id& endpoint,
                                 base::round_number round,
                                 const rpc::endpoint_status& received,
                                 base::instant now)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return;
    rpc::endpoint_status status = received;
    status.m_endpoint = endpoint;
    m_commit.status_received(status);
    m_freshness.status_received(std::min(round, m_round), status);

    member& entry = found->second;
    if (round <= m_round && round > entry.m_answered_round)
    {
        entry.m_answered_round = round;
        entry.m_answered_at = now;
        entry.m_monitor_lost = false;
    }
    // Terms rise, so a status of a lower term was overtaken by a newer one.
    if (entry.m_status &&
        status.m_accepted_term < entry.m_status->m_accepted_term)
        return;
    m_current_term = std::max(m_current_term, status.m_accepted_term);
    entry.m_status = std::move(status);
    entry.m_status_at = now;
    if (primary())
        m_primary_seen_at = now;
}

void group_view::monitor_lost(const base::endpoint_id& endpoint,
                              base::instant /*now*/)
{
    const auto found = m_entries.find(endpoint);
    if (found != m_entries.end())
        found->second.m_monitor_lost = true;
}

void group_view::reset_evidence(base::instant now)
{
    m_evidence_since = now;
    m_primary_seen_at = now;
    for (auto& [endpoint, entry] : m_entries)
        entry.m_answered_at.reset();
}

const group_view::member*
group_view::find(const base::endpoint_id& endpoint) const
{
    const auto found = m_entries.find(endpoint);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool group_view::is_primary_of(const member& entry, base::term target)
{
    return entry.m_status &&
           entry.m_status->m_role == rpc::endpoint_role::primary &&
           entry.m_status->m_accepted_term == target &&
           entry.m_status->m_sealed_term <= target;
}

base::term group_view::highest_seal() const
{
    base::term highest = m_current_term;
    for (const auto& [endpoint, entry] : m_entries)
    {
        if (entry.m_status)
            highest = std::max(highest, entry.m_status->m_sealed_term);
    }
    return highest;
}

std::optional<base::endpoint_id> group_view::primary() const
{
    for (const auto& [endpoint, entry] : m_entries)
    {
        if (is_primary_of(entry, m_current_term))
            return endpoint;
    }
    return std::nullopt;
}

bool group_view::is_committed(base::log_point point) const
{
    return m_commit.is_committed(point);
}

std::optional<base::log_point> group_view::commit_point() const
{
    const auto position = m_commit.commit_point(m_current_term);
    if (!position)
        return std::nullopt;
    return base::log_point{m_current_term, *position};
}

std::optional<base::instant>
group_view::fresh_as_of(const base::endpoint_id& endpoint,
                        base::log_point point) const
{
    const member* entry = find(endpoint);
    if (entry == nullptr)
        return std::nullopt;
    if (point.m_term == m_current_term && is_primary_of(*entry, point.m_term))
    {
        const auto newest = m_freshness.newest(point.m_term);
        if (newest)
            return newest->m_sent_at;
        return std::nullopt;
    }
    return m_freshness.fresh_as_of(point);
}

std::optional<absl::Duration>
group_view::staleness(const base::endpoint_id& endpoint,
                      base::instant now) const
{
    const rpc::endpoint_status* known = status(endpoint);
    if (known == nullptr)
        return std::nullopt;
    const auto since =
        fresh_as_of(endpoint, {known->m_accepted_term, known->m_applied});
    if (!since)
        return std::nullopt;
    return now - *since;
}

std::optional<absl::Duration> group_view::age_of(base::log_point point,
                                                 base::instant now) const
{
    const auto written = m_freshness.written_by(point);
    if (!written)
        return std::nullopt;
    return now - *written;
}

const rpc::endpoint_status*
group_view::status(const base::endpoint_id& endpoint) const
{
    const member* entry = find(endpoint);
    return entry != nullptr && entry->m_status ? &*entry->m_status : nullptr;
}

std::optional<absl::Duration>
group_view::status_age(const base::endpoint_id& endpoint,
                       base::instant now) const
{
    const member* entry = find(endpoint);
    if (entry == nullptr || !entry->m_status)
        return std::nullopt;
    return now - entry->m_status_at;
}

bool group_view::is_reachable(const base::endpoint_id& endpoint,
                              base::instant now) const
{
    const member* entry = find(endpoint);
    return entry != nullptr && entry->m_answered_at && !entry->m_monitor_lost &&
           now - *entry->m_answered_at < unreachable_after;
}

bool group_view::is_majority_reachable(base::instant now) const
{
    const auto reachable =
        std::ranges::count_if(m_members,
                              [&](const base::endpoint_id& endpoint)
                              {
                                  return is_reachable(endpoint, now);
                              });
    return static_cast<std::size_t>(reachable) >= majority();
}

std::size_t group_view::reported_members() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_entries,
                              [](const auto& item)
                              {
                                  return item.second.m_status.has_value();
                              }));
}

bool group_view::is_leaving(const base::endpoint_id& endpoint) const
{
    const member* entry = find(endpoint);
    return entry != nullptr &&
           (entry->m_marked_leaving ||
            (entry->m_status && entry->m_status->m_leaving));
}

void group_view::mark_leaving(const base::endpoint_id& endpoint, bool leaving)
{
    const auto found = m_entries.find(endpoint);
    if (found != m_entries.end())
        found->second.m_marked_leaving = leaving;
}

rpc::group_observation group_view::observation(base::instant now) const
{
    rpc::group_observation seen;
    seen.m_group = m_group;
    seen.m_term = m_current_term;
    seen.m_majority_reachable = is_majority_reachable(now);
    base::instant since = m_evidence_since;
    const auto primary_now = primary();
    if (primary_now)
    {
        seen.m_primary = *primary_now;
        since = find(*primary_now)->m_answered_at.value_or(m_evidence_since);
    }
    else
    {
        // No member claims the term. Only a host that hears from a majority
        // can tell that from its own isolation.
        since = std::max(m_evidence_since, m_primary_seen_at);
        if (!seen.m_majority_reachable)
            return seen;
    }
    // Without recent rounds of its own the host was paused.
    if (!m_round_at || now - *m_round_at > pause_gap)
        return seen;
    if (now - since >= unreachable_after)
    {
        seen.m_primary_unreachable = true;
        seen.m_unreachable_for = now - since;
    }
    return seen;
}

} // namespace magnoliastack::group
