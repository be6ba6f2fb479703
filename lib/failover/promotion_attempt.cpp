#include "magnoliastack/failover/promotion_attempt.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace magnoliastack::failover
{

promotion_attempt::promotion_attempt(base::term target,
                                     std::vector<base::endpoint_id> first,
                                     std::vector<base::endpoint_id> later,
                                     std::size_t majority)
    : m_target(target), m_first(std::move(first)), m_later(std::move(later)),
      m_majority(majority)
{
}

std::vector<base::endpoint_id> promotion_attempt::unsealed() const
{
    std::vector<base::endpoint_id> missing;
    for (const base::endpoint_id& endpoint : m_first)
    {
        if (!m_sealed.contains(endpoint) && !m_refused.contains(endpoint))
            missing.push_back(endpoint);
    }
    return missing;
}

void promotion_attempt::sealed(const base::endpoint_id& endpoint,
                               const rpc::endpoint_status& status)
{
    m_sealed.insert_or_assign(endpoint, status);
}

void promotion_attempt::refused(const base::endpoint_id& endpoint)
{
    if (!m_sealed.contains(endpoint))
        m_refused.insert(endpoint);
}

bool promotion_attempt::is_lost() const
{
    return m_first.size() < m_refused.size() + m_majority;
}

std::optional<base::endpoint_id>
promotion_attempt::choose(const std::set<base::endpoint_id>& leaving)
{
    if (m_chosen)
        return m_chosen;
    if (m_sealed.size() < m_majority)
        return std::nullopt;
    const auto rank = [&](const auto& item)
    {
        const rpc::endpoint_status& status = item.second;
        const bool stays = !status.m_leaving && !leaving.contains(item.first);
        return std::tuple(status.m_held, stays);
    };
    m_chosen = std::ranges::max_element(m_sealed, {}, rank)->first;
    return m_chosen;
}

} // namespace magnoliastack::failover
