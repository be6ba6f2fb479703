#include "magnoliastack/group/commit_tracker.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace magnoliastack::group
{

namespace
{

// Terms whose reports are kept. Older answers are resolved by a probe.
constexpr std::size_t kept_terms = 4;

} // namespace

commit_tracker::commit_tracker(std::size_t member_count)
    : m_majority(member_count / 2 + 1)
{
}

void commit_tracker::status_received(const rpc::endpoint_status& status)
{
    if (status.m_accepted_term == base::term())
        return;
    if (m_terms.size() >= kept_terms &&
        status.m_accepted_term < m_terms.begin()->first)
        return;
    term_reports& reports = m_terms[status.m_accepted_term];
    base::log_position& held = reports.m_held[status.m_endpoint];
    held = std::max(held, status.m_held.m_position);
    reports.m_term_start = std::max(reports.m_term_start, status.m_term_start);
    update(reports);
    while (m_terms.size() > kept_terms)
        m_terms.erase(m_terms.begin());
}

void commit_tracker::update(term_reports& reports) const
{
    if (reports.m_held.size() < m_majority ||
        reports.m_term_start == base::log_position())
        return;
    std::vector<base::log_position> held;
    held.reserve(reports.m_held.size());
    for (const auto& [endpoint, position] : reports.m_held)
        held.push_back(position);
    std::ranges::sort(held, std::greater<>());
    const base::log_position by_majority = held[m_majority - 1];
    // Counting copies of an older term's entries proves nothing: a longer log
    // of a term in between could still replace them. The term's first entry
    // on a majority rules that out.
    if (by_majority >= reports.m_term_start)
        reports.m_committed = by_majority;
}

std::optional<base::log_position>
commit_tracker::commit_point(base::term target) const
{
    const auto found = m_terms.find(target);
    return found == m_terms.end() ? std::nullopt : found->second.m_committed;
}

bool commit_tracker::is_committed(base::log_point point) const
{
    if (point.m_position == base::log_position())
        return true;
    const auto committed = commit_point(point.m_term);
    return committed && *committed >= point.m_position;
}

} // namespace magnoliastack::group
