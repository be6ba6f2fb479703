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
    shrink(m_options.m_decrease, m_options.m_decrease_interval, now);
}

void concurrency_limit::shrink(double factor, absl::Duration interval,
                               base::instant now)
{
    if (m_has_decreased && now - m_decreased < interval)
        return;
    m_has_decreased = true;
    m_decreased = now;
    m_limit = std::max(m_options.m_minimum, m_limit * factor);
}

void concurrency_limit::warm_up(std::uint32_t target, base::instant /*now*/)
{
    m_limit = 1;
    m_has_decreased = false;
    m_target = target > 1 ? target : 0;
}

// One more for each answer doubles the limit in an answer time.
void concurrency_limit::answered(absl::Duration took, std::uint32_t in_flight,
                                 base::instant now)
{
    const double weight = m_options.m_answer_weight;
    m_recent = m_recent > absl::ZeroDuration()
                   ? m_recent * (1 - weight) + took * weight
                   : took;
    m_best = m_best > absl::ZeroDuration()
                 ? std::min(m_best * m_options.m_best_growth, m_recent)
                 : m_recent;
    if (!is_warming_up())
        return;
    if (m_recent > m_best * m_options.m_slow_factor)
    {
        shrink(m_options.m_warm_up_decrease, m_recent, now);
        return;
    }
    if (in_flight >= limit())
        m_limit += 1;
    if (m_limit >= m_target)
        m_target = 0;
}

void concurrency_limit::refused(base::instant now)
{
    if (is_warming_up())
        shrink(m_options.m_warm_up_decrease, m_recent, now);
}

std::uint32_t concurrency_limit::limit() const
{
    return static_cast<std::uint32_t>(m_limit);
}

} // namespace magnoliastack::admission
