// Estimate of how long queued work waits, for refusing early.
#ifndef MAGNOLIASTACK_ADMISSION_SERVICE_ESTIMATE_HPP
#define MAGNOLIASTACK_ADMISSION_SERVICE_ESTIMATE_HPP

#include "magnoliastack/base/time.hpp"

#include "absl/time/time.h"

#include <cstdint>

namespace magnoliastack::admission
{

// Keeps a moving average of the time that one unit of cost takes.
class service_estimate
{
public:
    // Weight of a new sample; 1/16 follows a change within some 40 requests.
    explicit service_estimate(double weight = 1.0 / 16);

    // Takes a finished request: its cost and its time at the endpoint.
    void completed(std::uint64_t cost, absl::Duration took);

    // Wait of a request with `cost_ahead` in front of it while `concurrency`
    // run at once. Zero until the first sample: nothing is refused unmeasured.
    [[nodiscard]] absl::Duration expected_wait(std::uint64_t cost_ahead,
                                               std::uint32_t concurrency) const;

    // True when a request of `cost` behind `cost_ahead` can end by its
    // deadline.
    [[nodiscard]] bool can_meet(std::uint64_t cost_ahead, std::uint64_t cost,
                                std::uint32_t concurrency,
                                base::instant deadline,
                                base::instant now) const;

private:
    double m_weight;
    bool m_measured = false;
    absl::Duration m_per_cost;
};

} // namespace magnoliastack::admission

#endif
