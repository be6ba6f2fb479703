#include "magnoliastack/admission/service_estimate.hpp"

#include <algorithm>

namespace magnoliastack::admission
{

service_estimate::service_estimate(double weight) : m_weight(weight)
{
}

void service_estimate::completed(std::uint64_t cost, absl::Duration took)
{
    const absl::Duration sample =
        took / static_cast<double>(std::max<std::uint64_t>(cost, 1));
    m_per_cost =
        m_measured ? m_per_cost + m_weight * (sample - m_per_cost) : sample;
    m_measured = true;
}

absl::Duration service_estimate::expected_wait(std::uint64_t cost_ahead,
                                               std::uint32_t concurrency) const
{
    return m_per_cost * static_cast<double>(cost_ahead) /
           static_cast<double>(std::max<std::uint32_t>(concurrency, 1));
}

bool service_estimate::can_meet(std::uint64_t cost_ahead, std::uint64_t cost,
                                std::uint32_t concurrency,
                                base::instant deadline, base::instant now) const
{
    const absl::Duration own = m_per_cost * static_cast<double>(cost);
    return expected_wait(cost_ahead, concurrency) + own <= deadline - now;
}

} // namespace magnoliastack::admission
