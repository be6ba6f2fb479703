#include "magnoliastack/admission/demand_meter.hpp"

#include <algorithm>
#include <cmath>

namespace magnoliastack::admission
{

demand_meter::demand_meter(demand_meter_options options) : m_options(options)
{
}

void demand_meter::arrived(base::instant now)
{
    m_rate =
        arrival_rate(now) + 1.0 / absl::ToDoubleSeconds(m_options.m_average);
    m_updated = now;
}

std::uint64_t demand_meter::demand(double rate, std::size_t backlog,
                                   double tokens, base::instant now) const
{
    const double wanted =
        arrival_rate(now) +
        static_cast<double>(backlog) /
            absl::ToDoubleSeconds(m_options.m_backlog_horizon) -
        tokens / absl::ToDoubleSeconds(m_options.m_token_horizon);
    if (wanted < 0.01 || rate <= 0.0)
        return 0;
    return static_cast<std::uint64_t>(
        std::ceil(std::min(wanted / rate, 1.0) * 1e6));
}

double demand_meter::arrival_rate(base::instant now) const
{
    return m_rate *
           std::exp(-absl::FDivDuration(now - m_updated, m_options.m_average));
}

} // namespace magnoliastack::admission
