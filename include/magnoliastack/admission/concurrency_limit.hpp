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
    // Factor for a refusal, or for answers that are too slow, while the
    // endpoint warms up.
    double m_warm_up_decrease = 0.7;
    // Answers are too slow above this multiple of the lowest average answer
    // time. Statements of several kinds differ, so averages are compared.
    double m_slow_factor = 2;
    // Weight of the newest answer in the moving average.
    double m_answer_weight = 0.25;
    // The lowest average grows by this factor with each answer, so that an
    // endpoint that stays slower than before is measured by what it does now.
    double m_best_growth = 1.01;
};

// With reports of the endpoint's queue, the limit grows additively while the
// queue is at most one statement per slot, and shrinks multiplicatively above
// that. Without reports, answers tell how an endpoint that warms up does.
class concurrency_limit
{
public:
    explicit concurrency_limit(concurrency_limit_options options = {});

    // Takes a status of the endpoint: statements that wait for a slot, and its
    // slots. `in_flight` is this host's count; an unused limit does not grow.
    void reported(std::uint32_t queue_length, std::uint32_t slots,
                  std::uint32_t in_flight, base::instant now);

    // The endpoint has just started or recovered: the limit is 1 and doubles
    // with each answer time until it has reached `target`, while the endpoint
    // answers well.
    void warm_up(std::uint32_t target, base::instant now);
    // True until the target is reached; the limit is enforced only until then.
    [[nodiscard]] bool is_warming_up() const
    {
        return m_target > 0;
    }
    // A statement was answered; `in_flight` includes it.
    void answered(absl::Duration took, std::uint32_t in_flight,
                  base::instant now);
    // The endpoint refused a statement as busy or did not answer it in time.
    void refused(base::instant now);
    // True when another request may be sent while the endpoint warms up.
    [[nodiscard]] bool has_room(std::uint32_t in_flight) const
    {
        return !is_warming_up() || in_flight < limit();
    }

    // Requests that may be in flight.
    [[nodiscard]] std::uint32_t limit() const;

private:
    void shrink(double factor, absl::Duration interval, base::instant now);

    concurrency_limit_options m_options;
    double m_limit;
    base::instant m_decreased;
    bool m_has_decreased = false;
    // Limit at which the endpoint is warm; 0 while it is.
    std::uint32_t m_target = 0;
    // Average of the answer times, and the least that it was.
    absl::Duration m_recent;
    absl::Duration m_best;
};

} // namespace magnoliastack::admission

#endif
