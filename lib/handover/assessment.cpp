#include "magnoliastack/handover/assessment.hpp"

#include <algorithm>
#include <cmath>

namespace magnoliastack::handover
{

need assess(const primary_condition& own,
            const std::vector<absl::Duration>& others,
            const assessment_options& options)
{
    if (own.m_absent)
        return need::failed;
    const bool unreachable = own.m_unreachable >= options.m_suspicion;
    if (own.m_leaving)
        return unreachable ? need::failed : need::planned;
    if (!unreachable)
        return need::none;
    const auto agreeing =
        1 + std::count_if(others.begin(), others.end(),
                          [&options](absl::Duration silence)
                          {
                              return silence >= options.m_suspicion;
                          });
    const std::size_t live = others.size() + 1;
    const auto part = static_cast<std::size_t>(
        std::ceil(static_cast<double>(live) * options.m_part));
    const std::size_t enough = std::max(std::min(options.m_least, live), part);
    return static_cast<std::size_t>(agreeing) >= enough ? need::failed
                                                        : need::none;
}

} // namespace magnoliastack::handover
