#include "magnoliastack/entry/placement.hpp"

#include <utility>

namespace magnoliastack::entry
{
namespace
{

// What a new connection costs: 12 ms of a slot, and the wait for it.
constexpr absl::Duration connect_cost = absl::Milliseconds(40);
// Two more crossings between failure domains, 0.5 ms each way.
constexpr absl::Duration remote_cost = absl::Milliseconds(1);
// Reads weigh the primary's time by this factor, because writes and the reads
// that need it have nowhere else to go.
constexpr double primary_weight = 1.3;
// Stands for an endpoint that has not answered yet.
constexpr absl::Duration unknown_answer_time = absl::Milliseconds(20);

bool may_run(const placement_request& request,
             const placement_candidate& candidate)
{
    if (candidate.m_excluded != exclusion::none || candidate.m_saturated)
        return false;
    if (!candidate.m_has_idle_connection && !candidate.m_can_forward &&
        !candidate.m_can_connect)
        return false;
    if (candidate.m_primary)
        return true;
    if (request.m_primary_only || !request.m_after)
        return false;
    return !candidate.m_position || *candidate.m_position >= *request.m_after;
}

absl::Duration expected_time(const placement_request& request,
                             const placement_candidate& candidate)
{
    const absl::Duration measured =
        candidate.m_answer_time > absl::ZeroDuration() ? candidate.m_answer_time
                                                       : unknown_answer_time;
    const double slots = std::max<std::uint32_t>(candidate.m_slots, 1);
    const double load = static_cast<double>(candidate.m_in_flight) / slots;
    absl::Duration time = measured * (1 + load);
    if (candidate.m_primary && !request.m_primary_only)
        time *= primary_weight;
    if (!candidate.m_has_idle_connection)
        time += candidate.m_can_forward ? remote_cost : connect_cost;
    if (!candidate.m_same_failure_domain)
        time += remote_cost;
    return time;
}

} // namespace

std::optional<base::endpoint_id>
choose_endpoint(const placement_request& request,
                const std::vector<placement_candidate>& candidates)
{
    const placement_candidate* best = nullptr;
    absl::Duration best_time;
    for (const auto& candidate : candidates)
    {
        if (!may_run(request, candidate))
            continue;
        const absl::Duration time = expected_time(request, candidate);
        if (best != nullptr && std::make_pair(candidate.m_avoided, time) >=
                                   std::make_pair(best->m_avoided, best_time))
            continue;
        best = &candidate;
        best_time = time;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->m_endpoint;
}

} // namespace magnoliastack::entry
