// Measures how much of an organisation's rate this host needs.
#ifndef MAGNOLIASTACK_ADMISSION_DEMAND_METER_HPP
#define MAGNOLIASTACK_ADMISSION_DEMAND_METER_HPP

#include "magnoliastack/base/time.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>

namespace magnoliastack::admission
{

// Time constants of a demand meter.
struct demand_meter_options
{
    // Time constant of the arrival rate. Short enough to settle a shift of
    // demand within the target of 2 s.
    absl::Duration m_average = absl::Milliseconds(500);
    // Waiting requests are to be admitted within this time.
    absl::Duration m_backlog_horizon = absl::Milliseconds(400);
    // Tokens are spent over this time before more of the rate is asked for;
    // it has to be above the time that a loan takes.
    absl::Duration m_token_horizon = absl::Seconds(1);
};

// Turns arrivals and the backlog into a demand for ledger::demand.
class demand_meter
{
public:
    explicit demand_meter(demand_meter_options options = {});

    // Counts a request, admitted or not.
    void arrived(base::instant now);

    // Demand in millionths of `rate` (requests a second), with `backlog`
    // requests waiting and `tokens` in the bucket. A host with full buckets
    // needs less than its arrivals, so others can have what it does not use.
    [[nodiscard]] std::uint64_t demand(double rate, std::size_t backlog,
                                       double tokens, base::instant now) const;

private:
    [[nodiscard]] double arrival_rate(base::instant now) const;

    demand_meter_options m_options;
    // Exponentially decayed count of arrivals, divided by the time constant.
    double m_rate = 0;
    base::instant m_updated;
};

} // namespace magnoliastack::admission

#endif
