// Named counters and latency histograms.
#ifndef MAGNOLIASTACK_METRICS_METRICS_HPP
#define MAGNOLIASTACK_METRICS_METRICS_HPP

#include "magnoliastack/base/refusal.hpp"

#include "absl/time/time.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliastack::metrics
{

// Counts events since the start of the process.
class counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

// Quantiles of a latency. Each is exact to 2.4 %; the maximum is exact.
struct latency_summary
{
    std::string m_name;
    std::uint64_t m_count = 0;
    absl::Duration m_p50;
    absl::Duration m_p90;
    absl::Duration m_p99;
    absl::Duration m_p999;
    absl::Duration m_max;
};

// A latency from 1 us to 100 s in logarithmic bins; values outside count at
// the ends. Usable from any thread.
class latency
{
public:
    explicit latency(std::string name);
    latency(const latency&) = delete;
    latency& operator=(const latency&) = delete;
    ~latency();

    void record(absl::Duration value);

    // The value that the share `quantile` (0 to 1) of all records does not
    // exceed; zero without a record.
    [[nodiscard]] absl::Duration at(double quantile) const;

    [[nodiscard]] latency_summary summary() const;

    // Adds all records of another histogram.
    void merge(const latency& other);

private:
    struct bins;

    [[nodiscard]] absl::Duration at_locked(double quantile) const;

    std::string m_name;
    mutable std::mutex m_mutex;
    std::unique_ptr<bins> m_bins;
};

// All counters and latencies of a moment, in the order of their names.
struct snapshot_data
{
    std::map<std::string, std::uint64_t> m_counters;
    std::vector<latency_summary> m_latencies;
};

// Owns the process's counters and latencies. A name is created at its first
// use; references stay valid for the registry's life. Usable from any thread.
class registry
{
public:
    metrics::counter& counter(std::string_view name);
    metrics::latency& latency(std::string_view name);
    [[nodiscard]] snapshot_data snapshot() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<metrics::counter>, std::less<>>
        m_counters;
    std::map<std::string, std::unique_ptr<metrics::latency>, std::less<>>
        m_latencies;
};

// Name of the counter of a refusal: `refused.queue_full`.
std::string refusal_counter(base::refusal_reason reason);

} // namespace magnoliastack::metrics

#endif
