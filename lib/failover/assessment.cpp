#include "magnoliastack/failover/assessment.hpp"

#include <algorithm>
#include <set>

namespace magnoliastack::failover
{

namespace
{

using rpc::endpoint_status;

// The status of a reachable replica in the current term, or null.
const endpoint_status* reachable_replica(const group::group_view& view,
                                         const base::endpoint_id& endpoint,
                                         base::instant now)
{
    const endpoint_status* status = view.status(endpoint);
    if (status == nullptr || !view.is_reachable(endpoint, now) ||
        status->m_role != rpc::endpoint_role::replica ||
        status->m_accepted_term != view.current_term())
        return nullptr;
    return status;
}

bool has_replica_heard(const group::group_view& view, base::instant now)
{
    return std::ranges::any_of(view.members(),
                               [&](const base::endpoint_id& endpoint)
                               {
                                   const endpoint_status* status =
                                       reachable_replica(view, endpoint, now);
                                   return status != nullptr &&
                                          status->m_primary_contact_age <
                                              replica_silence;
                               });
}

// True when so many replicas have lost the primary that the others, the
// primary included, are no majority.
bool is_stalled(const group::group_view& view, base::instant now)
{
    const auto lost = std::ranges::count_if(
        view.members(),
        [&](const base::endpoint_id& endpoint)
        {
            const endpoint_status* status =
                reachable_replica(view, endpoint, now);
            return status != nullptr &&
                   status->m_primary_contact_age >= long_silence;
        });
    return view.members().size() - static_cast<std::size_t>(lost) <
           view.majority();
}

} // namespace

std::string_view to_string(promotion_cause cause)
{
    switch (cause)
    {
    case promotion_cause::none:
        return "none";
    case promotion_cause::planned:
        return "planned";
    case promotion_cause::unreachable:
        return "unreachable";
    case promotion_cause::unreachable_for_long:
        return "unreachable_for_long";
    case promotion_cause::stalled:
        return "stalled";
    case promotion_cause::abandoned_seal:
        return "abandoned_seal";
    }
    return "none";
}

bool deposes(promotion_cause cause)
{
    return cause == promotion_cause::unreachable ||
           cause == promotion_cause::unreachable_for_long ||
           cause == promotion_cause::stalled ||
           cause == promotion_cause::abandoned_seal;
}

// How many live hosts monitor the group, and how many do not reach its primary.
struct assessment::tally
{
    std::size_t m_observers = 0;
    std::size_t m_reports = 0;
    std::size_t m_long_reports = 0;
    std::set<base::failure_domain_id> m_failure_domains;
};

assessment::assessment(base::host_id self) : m_self(std::move(self))
{
}

void assessment::reset(base::instant now)
{
    m_evidence_since = now;
    m_reported_since.clear();
}

assessment::tally assessment::count_reports(const group::group_view& view,
                                            const evidence_list& evidence,
                                            base::instant now)
{
    if (m_reported_term != view.current_term())
    {
        m_reported_term = view.current_term();
        m_reported_since.clear();
    }
    tally result;
    const auto add = [&](const base::host_id& host,
                         const base::failure_domain_id& failure_domain,
                         const rpc::group_observation& seen)
    {
        ++result.m_observers;
        if (!seen.m_primary_unreachable || seen.m_term != view.current_term())
        {
            m_reported_since.erase(host);
            return;
        }
        const auto since = m_reported_since.try_emplace(host, now).first;
        ++result.m_reports;
        if (!failure_domain.empty())
            result.m_failure_domains.insert(failure_domain);
        // The gossip sends an entry when it changes, so its duration may be
        // old.
        if (std::max(seen.m_unreachable_for, now - since->second) >=
            long_silence)
            ++result.m_long_reports;
    };

    base::failure_domain_id own_domain;
    for (const host_evidence& item : evidence)
    {
        if (item.m_host == m_self)
            own_domain = item.m_failure_domain;
        else if (item.m_live && item.m_observation.m_group == view.group())
            add(item.m_host, item.m_failure_domain, item.m_observation);
        else
            m_reported_since.erase(item.m_host);
    }
    add(m_self, own_domain, view.observation(now));
    return result;
}

bool assessment::is_planned_change_ready(const group::group_view& view,
                                         base::instant now)
{
    const auto primary = view.primary();
    if (!primary || !view.is_leaving(*primary) ||
        !view.is_reachable(*primary, now))
    {
        m_planned_since.reset();
        return false;
    }
    if (!m_planned_since)
        m_planned_since = now;
    base::log_position wanted = view.status(*primary)->m_held.m_position;
    const auto committed = view.commit_point();
    if (now - *m_planned_since >= catch_up_wait && committed)
        wanted = std::min(wanted, committed->m_position);
    return std::ranges::any_of(view.members(),
                               [&](const base::endpoint_id& endpoint)
                               {
                                   const endpoint_status* status =
                                       reachable_replica(view, endpoint, now);
                                   return status != nullptr &&
                                          !view.is_leaving(endpoint) &&
                                          status->m_held.m_position >= wanted;
                               });
}

bool assessment::is_seal_abandoned(const group::group_view& view,
                                   base::instant now)
{
    if (view.highest_seal() > m_seal)
    {
        m_seal = view.highest_seal();
        m_seal_since = now;
    }
    return m_seal > view.current_term() && now - m_seal_since >= seal_grace;
}

promotion_cause assessment::assess(const group::group_view& view,
                                   const evidence_list& evidence,
                                   base::instant now)
{
    const tally reports = count_reports(view, evidence, now);
    const bool abandoned = is_seal_abandoned(view, now);
    const bool planned = is_planned_change_ready(view, now);
    if (!view.is_majority_reachable(now) ||
        view.reported_members() < view.majority())
        return promotion_cause::none;
    if (planned)
        return promotion_cause::planned;
    if (now - m_evidence_since < group::unreachable_after)
        return promotion_cause::none;
    if (reports.m_reports >= 2 && reports.m_failure_domains.size() >= 2 &&
        !has_replica_heard(view, now))
        return promotion_cause::unreachable;
    if (reports.m_long_reports * 2 > reports.m_observers)
        return promotion_cause::unreachable_for_long;
    if (is_stalled(view, now))
        return promotion_cause::stalled;
    if (abandoned)
        return promotion_cause::abandoned_seal;
    return promotion_cause::none;
}

} // namespace magnoliastack::failover
