// Adaptive limit of the requests that a host has in flight at one endpoint.
#ifndef MAGNOLIASTACK_ADMISSION_CONCURRENCY_LIMIT_HPP
#define MAGNOLIASTACK_ADMISSION_CONCURRENCY_LIMIT_HPP

#include "magnoliastack/base/time.hpp"

#include "absl/time/time.h"

#include <cstdint>

namespace magnoliastack::admission
{

// Bounds and steps of a concurrency limit.
struct concurrency_limit_options
{
    double m_minimum = 1;
    double m_maximum = 64;
    double m_initial = 2;
    // Added for each report that allows it.
    double m_increase = 0.5;
    // Factor for a report of a queue above one statement per slot.
    double m_decrease = 0.8;
    // A decrease takes a round trip to show at the endpoint; a second one
    // before that would react to the same queue twice.
    absl::Duration m_decrease_interval = absl::Milliseconds(100);
};

// Grows additively while the endpoint's queue is at most one statement per
// slot, shrinks multiplicatively above that.
class concurrency_limit
{
public:
    explicit concurrency_limit(concurrency_limit_options options = {});

    // Takes a status of the endpoint: statements that wait for a slot, and its
    // slots. `in_flight` is this host's count; an unused limit does not grow.
    void reported(std::uint32_t queue_length, std::uint32_t slots,
                  std::uint32_t in_flight, base::instant now);

    // Requests that may be in flight.
    [[nodiscard]] std::uint32_t limit() const;

private:
    concurrency_limit_options m_options;
    double m_limit;
    base::instant m_decreased;
    bool m_has_decreased = false;
};

} // namespace magnoliastack::admission

#endif
