#include "magnoliastack/replication/commit_bounds.hpp"

#include <algorithm>

namespace magnoliastack::replication
{

commit_bounds::commit_bounds(commit_bounds_options options) : m_options(options)
{
}

void commit_bounds::observed(base::log_point point, base::instant sent)
{
    if (point.m_term < m_term)
        return;
    if (point.m_term > m_term)
        term_changed(point.m_term);
    // Answers come in any order. A later request with a lower point proves
    // that point for the earlier ones too, so those are lowered.
    while (!m_observations.empty() &&
           m_observations.back().m_sent >= sent - m_options.m_resolution &&
           m_observations.back().m_sent <= sent && m_observations.size() > 1 &&
           m_observations.back().m_sent -
                   m_observations[m_observations.size() - 2].m_sent <
               m_options.m_resolution)
        m_observations.pop_back();
    const auto place =
        std::lower_bound(m_observations.begin(), m_observations.end(), sent,
                         [](const observation& item, base::instant when)
                         {
                             return item.m_sent < when;
                         });
    const auto added = m_observations.insert(place, {point, sent});
    for (auto item = m_observations.begin(); item != added; ++item)
        item->m_point = std::min(item->m_point, point);
    for (auto item = std::next(added); item != m_observations.end(); ++item)
        if (item->m_point < added->m_point)
            added->m_point = item->m_point;
    while (m_observations.front().m_sent <
           m_observations.back().m_sent - m_options.m_retention)
        m_observations.pop_front();
}

void commit_bounds::term_changed(base::term current)
{
    if (current == m_term)
        return;
    m_term = current;
    m_observations.clear();
}

std::optional<base::log_point>
commit_bounds::covering(base::instant since) const
{
    const auto found =
        std::lower_bound(m_observations.begin(), m_observations.end(), since,
                         [](const observation& item, base::instant when)
                         {
                             return item.m_sent < when;
                         });
    if (found == m_observations.end())
        return std::nullopt;
    return found->m_point;
}

std::optional<commit_bounds::observation> commit_bounds::newest() const
{
    if (m_observations.empty())
        return std::nullopt;
    return m_observations.back();
}

} // namespace magnoliastack::replication
