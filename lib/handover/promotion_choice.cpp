// Which endpoint a promotion asks to lead.
#include "magnoliastack/handover/promotion.hpp"

#include <algorithm>

namespace magnoliastack::handover
{
namespace
{

// The newest term first: what an endpoint of an older term holds or calls
// itself counts for nothing. Within a term its leader, whose log is the one
// that the others follow; without it the longest log.
bool is_ahead(const rpc::endpoint_report& one,
              const rpc::endpoint_report& other)
{
    if (one.m_term != other.m_term)
        return one.m_term > other.m_term;
    if (one.m_primary != other.m_primary)
        return one.m_primary;
    return one.m_received > other.m_received;
}

} // namespace

std::optional<base::endpoint_id>
promotion::choose_candidate(const promotion_inputs& inputs,
                            base::instant now) const
{
    const auto best = best_candidate(inputs, now);
    if (!best)
        return std::nullopt;
    const bool all_known =
        std::all_of(inputs.m_candidates.begin(), inputs.m_candidates.end(),
                    [this](const base::endpoint_id& id)
                    {
                        return m_reports.contains(id);
                    });
    if (!all_known && now - m_entered < m_options.m_report_wait)
        return std::nullopt;
    if (m_need == need::planned && !has_caught_up(*best) &&
        now - m_entered < m_options.m_catch_up_wait)
        return std::nullopt;
    return best;
}

// The best of the endpoints that hold every acknowledged commit. While none is
// known to, the group waits, however long.
std::optional<base::endpoint_id>
promotion::choose_holder(const promotion_inputs& inputs, base::instant now)
{
    const absl::Duration passed = now - m_entered;
    // A replica that has joined meanwhile may have commits too.
    m_awaits_list = inputs.m_holders.m_listed_at < m_released_at;
    if (m_awaits_list)
        return std::nullopt;
    const endpoint_reports reports = reports_since_release();
    const commit_evidence evidence(inputs.m_holders, reports, m_old,
                                   inputs.m_leadership->m_term);
    if (!evidence.missing().empty() && passed < m_options.m_report_wait)
        return std::nullopt;
    const bool may_catch_up =
        m_need == need::planned && passed < m_options.m_catch_up_wait;
    const commit_holder* best = nullptr;
    for (const auto& holder : inputs.m_holders.m_listed)
    {
        const base::endpoint_id& id = holder.m_endpoint;
        if (!evidence.holds_all(id) || !may_lead(id, inputs, now) ||
            (may_catch_up && (id == m_old || !has_caught_up(id))))
            continue;
        if (best == nullptr || evidence.is_better(holder, *best))
            best = &holder;
    }
    if (best != nullptr)
        return best->m_endpoint;
    m_awaited = evidence.missing();
    return std::nullopt;
}

endpoint_reports promotion::reports_since_release() const
{
    endpoint_reports result;
    for (const auto& [id, known] : m_reports)
        if (known.m_asked >= m_released)
            result.emplace(id, known.m_report);
    return result;
}

// True when a replica had received what the primary had at the request before,
// so that writes do not wait for the replica once the primary is claimed.
bool promotion::has_replica_in_step(const promotion_inputs& inputs,
                                    actions& out, base::instant now)
{
    const auto primary = report_of_round(inputs.m_primary);
    if (primary)
    {
        const base::log_point end = m_end_before.value_or(primary->m_received);
        for (const auto& id : inputs.m_candidates)
            if (const auto replica = report_of_round(id);
                replica && replica->m_received >= end)
                return true;
    }
    if (m_round_asked && now - *m_round_asked < m_options.m_in_step_interval)
        return false;
    m_round_asked = now;
    if (primary)
        m_end_before = primary->m_received;
    for (const auto& id : inputs.m_candidates)
        out.emplace_back(ask_report{id});
    out.emplace_back(ask_report{inputs.m_primary});
    return false;
}

// The endpoint's report of the last round of requests before a planned change.
std::optional<rpc::endpoint_report>
promotion::report_of_round(const base::endpoint_id& endpoint) const
{
    const auto found = m_reports.find(endpoint);
    if (!m_round_asked || found == m_reports.end() ||
        found->second.m_asked < *m_round_asked)
        return std::nullopt;
    return found->second.m_report;
}

std::optional<base::endpoint_id>
promotion::best_candidate(const promotion_inputs& inputs,
                          base::instant now) const
{
    std::optional<base::endpoint_id> best;
    for (const auto& id : inputs.m_candidates)
        if (m_reports.contains(id) && may_lead(id, inputs, now) &&
            (!best || is_better(id, *best, inputs)))
            best = id;
    return best;
}

// An endpoint that has not seen the term of the published primary lacks commits
// that were acknowledged in it, which come back with the primary. It leads only
// when the primary has been missing for longer than an outage lasts.
bool promotion::may_lead(const base::endpoint_id& id,
                         const promotion_inputs& inputs,
                         base::instant now) const
{
    return m_reports.at(id).m_report.m_term >= inputs.m_leadership->m_term ||
           now - m_claimed >= m_options.m_older_term_wait;
}

// An endpoint that is not cold goes first within a term. In a planned change
// its log catches up; after a failure it only decides between equal logs, since
// a shorter log loses commits.
bool promotion::is_better(const base::endpoint_id& one,
                          const base::endpoint_id& other,
                          const promotion_inputs& inputs) const
{
    const rpc::endpoint_report& first = m_reports.at(one).m_report;
    const rpc::endpoint_report& second = m_reports.at(other).m_report;
    const bool first_cold = inputs.m_cold.contains(one);
    const bool same_log = !is_ahead(first, second) && !is_ahead(second, first);
    const bool may_catch_up =
        m_need == need::planned && first.m_term == second.m_term;
    if (first_cold != inputs.m_cold.contains(other) &&
        (same_log || may_catch_up))
        return !first_cold;
    return is_ahead(first, second);
}

bool promotion::has_caught_up(const base::endpoint_id& candidate) const
{
    const auto old = m_reports.find(m_old);
    if (old == m_reports.end())
        return false;
    return m_reports.at(candidate).m_report.m_received >=
           old->second.m_report.m_received;
}

} // namespace magnoliastack::handover
