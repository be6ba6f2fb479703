#include "magnoliastack/admission/concurrency_limit.hpp"

#include <algorithm>

namespace magnoliastack::admission
{

concurrency_limit::concurrency_limit(concurrency_limit_options options)
    : m_options(options), m_limit(options.m_initial)
{
}

void concurrency_limit::reported(std::uint32_t queue_length,
                                 std::uint32_t slots, std::uint32_t in_flight,
                                 base::instant now)
{
    if (queue_length <= slots)
    {
        if (in_flight >= limit())
            m_limit =
                std::min(m_options.m_maximum, m_limit + m_options.m_increase);
        return;
    }
    if (m_has_decreased && now - m_decreased < m_options.m_decrease_interval)
        return;
    m_has_decreased = true;
    m_decreased = now;
    m_limit = std::max(m_options.m_minimum, m_limit * m_options.m_decrease);
}

std::uint32_t concurrency_limit::limit() const
{
    return static_cast<std::uint32_t>(m_limit);
}

} // namespace magnoliastack::admission
