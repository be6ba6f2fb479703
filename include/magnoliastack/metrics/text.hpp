// Counters and latencies as text, one a line.
#ifndef MAGNOLIASTACK_METRICS_TEXT_HPP
#define MAGNOLIASTACK_METRICS_TEXT_HPP

#include "magnoliastack/metrics/metrics.hpp"

#include <string>

namespace magnoliastack::metrics
{

// The Prometheus text format: each counter as magnolia_NAME, each latency as
// a summary in seconds with its quantiles.
std::string to_text(const snapshot_data& data);

} // namespace magnoliastack::metrics

#endif
