// Chooses the endpoint of a statement.
#ifndef MAGNOLIASTACK_ENTRY_PLACEMENT_HPP
#define MAGNOLIASTACK_ENTRY_PLACEMENT_HPP

#include "magnoliastack/base/ids.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace magnoliastack::entry
{

// Why an endpoint may not run the statement, whatever else is there.
enum class exclusion
{
    none,
    // Its failure domain is in none of the statement's home regions.
    outside_homes,
    // It is cold, and other hosts send to it.
    cold,
};

// An endpoint that could run the statement.
struct placement_candidate
{
    base::endpoint_id m_endpoint;
    bool m_primary = false;
    bool m_same_failure_domain = false;
    exclusion m_excluded = exclusion::none;
    // It takes no further work just now.
    bool m_saturated = false;
    // Last log point that it has shown.
    std::optional<base::log_point> m_position;
    // Statements and transactions of this host on it.
    std::size_t m_in_flight = 0;
    std::uint32_t m_slots = 1;
    // Moving average of its answer times.
    absl::Duration m_answer_time;
    // It fails much of what it runs; used only when no other one may run it.
    bool m_avoided = false;
    // It is the primary, and its failure domain is being evacuated.
    bool m_evacuated = false;
    // A connection of the organisation is idle.
    bool m_has_idle_connection = false;
    // A holder may be asked, whose connections serve the organisation.
    bool m_can_forward = false;
    // A connection may be opened, at the cost of an idle one if need be.
    bool m_can_connect = false;
};

// What the statement asks for.
struct placement_request
{
    // Only the primary may run it.
    bool m_primary_only = false;
    // The log point that a replica must have; without one only the primary
    // may run it.
    std::optional<base::log_point> m_after;
};

// The endpoint with the least expected time, or none when no candidate may run
// it now. A replica that has shown an older log point is not a candidate; one
// that has shown none refuses if it lacks the point.
std::optional<base::endpoint_id>
choose_endpoint(const placement_request& request,
                const std::vector<placement_candidate>& candidates);

} // namespace magnoliastack::entry

#endif
