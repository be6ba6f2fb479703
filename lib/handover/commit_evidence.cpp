#include "magnoliastack/handover/commit_evidence.hpp"

#include <algorithm>
#include <tuple>

namespace magnoliastack::handover
{

commit_evidence::commit_evidence(const commit_holders& holders,
                                 const endpoint_reports& reports,
                                 const base::endpoint_id& old_primary,
                                 base::term published)
    : m_holders(holders), m_reports(reports), m_old_primary(old_primary),
      m_published(published)
{
    for (const auto& holder : m_holders.m_listed)
        if (holder.m_endpoint != m_old_primary &&
            !m_reports.contains(holder.m_endpoint))
            m_missing.push_back(holder.m_endpoint);
    for (const auto& lost : m_holders.m_lost)
        if (!is_covered(lost))
            m_missing.push_back(lost.m_entry.m_id);
}

bool commit_evidence::holds_all(const base::endpoint_id& endpoint) const
{
    const auto found = m_reports.find(endpoint);
    if (found == m_reports.end())
        return false;
    const rpc::endpoint_report& log = found->second;
    if (leads(log) || has_log_of_leader(log))
        return true;
    if (m_missing.size() >= m_holders.m_sync_replicas)
        return false;
    return std::all_of(m_reports.begin(), m_reports.end(),
                       [this, &log](const auto& item)
                       {
                           return item.first == m_old_primary ||
                                  end_of(item.second) <= end_of(log);
                       });
}

bool commit_evidence::is_better(const commit_holder& one,
                                const commit_holder& other) const
{
    const auto rank = [this](const commit_holder& holder)
    {
        const rpc::endpoint_report& report = m_reports.at(holder.m_endpoint);
        const bool promoted = report.m_primary && report.m_term > m_published;
        return std::make_tuple(promoted ? report.m_term : base::term(),
                               !holder.m_avoided, end_of(report),
                               !holder.m_cold, report.m_primary);
    };
    return rank(one) > rank(other);
}

bool commit_evidence::is_covered(const lost_replica& lost) const
{
    const bool was_old_primary = m_old_primary.empty()
                                     ? lost.m_entry.m_primary
                                     : lost.m_entry.m_id == m_old_primary;
    if (was_old_primary)
        return true;
    if (!lost.m_covered_by)
        return false;
    // An endpoint without an entry may still run, or have run again unseen, and
    // have received commits after its loss.
    const base::log_point needed =
        std::max(*lost.m_covered_by, m_holders.m_shown_end);
    return std::any_of(m_reports.begin(), m_reports.end(),
                       [this, needed](const auto& item)
                       {
                           return item.first != m_old_primary &&
                                  item.second.m_term >= m_published &&
                                  item.second.m_received >= needed;
                       });
}

commit_evidence::log_end
commit_evidence::end_of(const rpc::endpoint_report& report) const
{
    return {std::min(report.m_term, m_published), report.m_received};
}

bool commit_evidence::leads(const rpc::endpoint_report& report) const
{
    return report.m_primary && report.m_term >= m_published;
}

bool commit_evidence::has_log_of_leader(const rpc::endpoint_report& log) const
{
    return std::any_of(m_reports.begin(), m_reports.end(),
                       [this, &log](const auto& item)
                       {
                           const rpc::endpoint_report& leader = item.second;
                           return leads(leader) &&
                                  log.m_term >= leader.m_term &&
                                  log.m_received >= leader.m_received;
                       });
}

} // namespace magnoliastack::handover
