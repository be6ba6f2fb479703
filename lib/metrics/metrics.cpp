#include "magnoliastack/metrics/metrics.hpp"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace magnoliastack::metrics
{
namespace
{

namespace histogram = boost::histogram;

constexpr double lowest_us = 1;
constexpr double highest_us = 1e8;
// 100 bins for each power of ten: neighbouring bounds differ by 2.4 %.
constexpr unsigned bin_count = 800;

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using counts = histogram::histogram<std::tuple<log_axis>,
                                    histogram::dense_storage<std::uint64_t>>;

} // namespace

struct latency::bins
{
    counts m_counts = histogram::make_histogram_with(
        histogram::dense_storage<std::uint64_t>(),
        log_axis(bin_count, lowest_us, highest_us));
    std::uint64_t m_total = 0;
    double m_max_us = 0;
};

latency::latency(std::string name)
    : m_name(std::move(name)), m_bins(std::make_unique<bins>())
{
}

latency::~latency() = default;

void latency::record(absl::Duration value)
{
    const double us = std::max(absl::ToDoubleMicroseconds(value), 0.0);
    const std::lock_guard lock(m_mutex);
    // A zero lies outside the logarithm's domain.
    m_bins->m_counts(std::max(us, lowest_us / 2));
    ++m_bins->m_total;
    m_bins->m_max_us = std::max(m_bins->m_max_us, us);
}

absl::Duration latency::at(double quantile) const
{
    const std::lock_guard lock(m_mutex);
    return at_locked(quantile);
}

absl::Duration latency::at_locked(double quantile) const
{
    const auto total = static_cast<double>(m_bins->m_total);
    if (m_bins->m_total == 0)
        return absl::ZeroDuration();
    // The rank of the record that is asked for, from 1.
    const double rank = std::clamp(std::ceil(quantile * total), 1.0, total);
    const auto& axis = m_bins->m_counts.axis();
    std::uint64_t seen = 0;
    for (int index = -1; index <= static_cast<int>(bin_count); ++index)
    {
        const std::uint64_t here = m_bins->m_counts.at(index);
        if (static_cast<double>(seen + here) < rank)
        {
            seen += here;
            continue;
        }
        if (index == static_cast<int>(bin_count))
            break;
        const double inside =
            (rank - static_cast<double>(seen)) / static_cast<double>(here);
        const double us = index < 0 ? lowest_us : axis.value(index + inside);
        return absl::Microseconds(std::min(us, m_bins->m_max_us));
    }
    return absl::Microseconds(m_bins->m_max_us);
}

latency_summary latency::summary() const
{
    const std::lock_guard lock(m_mutex);
    return {m_name,
            m_bins->m_total,
            at_locked(0.5),
            at_locked(0.9),
            at_locked(0.99),
            at_locked(0.999),
            absl::Microseconds(m_bins->m_max_us)};
}

void latency::merge(const latency& other)
{
    const std::scoped_lock lock(m_mutex, other.m_mutex);
    m_bins->m_counts += other.m_bins->m_counts;
    m_bins->m_total += other.m_bins->m_total;
    m_bins->m_max_us = std::max(m_bins->m_max_us, other.m_bins->m_max_us);
}

metrics::counter& registry::counter(std::string_view name)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_counters.find(name);
    if (found != m_counters.end())
        return *found->second;
    return *m_counters
                .emplace(std::string(name),
                         std::make_unique<metrics::counter>())
                .first->second;
}

metrics::latency& registry::latency(std::string_view name)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_latencies.find(name);
    if (found != m_latencies.end())
        return *found->second;
    return *m_latencies
                .emplace(std::string(name),
                         std::make_unique<metrics::latency>(std::string(name)))
                .first->second;
}

snapshot_data registry::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    snapshot_data out;
    for (const auto& [name, item] : m_counters)
        out.m_counters[name] = item->value();
    for (const auto& [name, item] : m_latencies)
        out.m_latencies.push_back(item->summary());
    return out;
}

std::string refusal_counter(base::refusal_reason reason)
{
    return "refused." + std::string(base::to_string(reason));
}

} // namespace magnoliastack::metrics
