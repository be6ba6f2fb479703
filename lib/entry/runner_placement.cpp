// Which endpoint runs a statement, and which statement waits.
#include "magnoliastack/entry/statement_runner.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::entry
{
namespace
{

// What the evacuated primary is not needed for goes elsewhere, even when that
// means to wait for a connection.
void leave_evacuated_out(const placement_request& request,
                         std::vector<placement_candidate>& choices)
{
    if (request.m_primary_only || std::none_of(choices.begin(), choices.end(),
                                               [](const auto& choice)
                                               {
                                                   return choice.m_evacuated;
                                               }))
        return;
    std::vector<placement_candidate> others = choices;
    std::erase_if(others,
                  [](const auto& choice)
                  {
                      return choice.m_evacuated;
                  });
    auto free = others;
    for (auto& choice : free)
        choice.m_can_connect = true;
    if (choose_endpoint(request, free))
        choices = std::move(others);
}

} // namespace

placement_request statement_runner::requirements(const session& who,
                                                 const group_state& group,
                                                 base::instant now) const
{
    placement_request request;
    request.m_primary_only = who.m_work->m_primary_only;
    if (request.m_primary_only)
        return request;
    const absl::Duration staleness =
        who.m_route.m_max_staleness - m_options.m_staleness_margin;
    request.m_after = group.m_bounds.covering(now - staleness);
    const auto own = who.m_own_writes.find(group.m_id);
    if (request.m_after && own != who.m_own_writes.end())
        request.m_after = std::max(*request.m_after, own->second);
    return request;
}

std::vector<placement_candidate>
statement_runner::candidates(const session& who, group_state& group,
                             bool may_open, base::instant now)
{
    const auto primary = m_primaries.primary(group.m_id, now);
    const auto& tried = who.m_work->m_tried;
    std::vector<placement_candidate> result;
    for (auto& [id, endpoint] : group.m_endpoints)
    {
        const bool is_primary = primary == id;
        const auto phase = evacuation(endpoint, now);
        if (phase == fleet::evacuation_phase::closed ||
            (phase == fleet::evacuation_phase::leaving && !is_primary))
            continue;
        if (endpoint.m_health != endpoint_health::serving ||
            (endpoint.is_leaving() && !is_primary) || has_left(endpoint, now))
            continue;
        if (!is_primary &&
            std::find(tried.begin(), tried.end(), id) != tried.end())
            continue;
        placement_candidate candidate;
        candidate.m_endpoint = id;
        candidate.m_primary = is_primary;
        candidate.m_same_failure_domain =
            endpoint.m_entry.m_failure_domain == m_options.m_failure_domain;
        if (!m_options.m_regions.may_serve(endpoint.m_entry.m_failure_domain,
                                           who.m_homes))
            candidate.m_excluded = exclusion::outside_homes;
        else if (endpoint.m_cold.is_closed(now))
            candidate.m_excluded = exclusion::cold;
        candidate.m_saturated =
            !endpoint.m_unsent.empty() || !endpoint.m_cold.has_token(now) ||
            (endpoint.m_pace.is_warming_up() &&
             !endpoint.m_pace.has_room(endpoint.in_flight()));
        if (now - endpoint.m_position_at < m_options.m_position_validity)
            candidate.m_position = endpoint.m_position;
        candidate.m_avoided =
            endpoint.m_failures.is_avoided(now) || endpoint.m_cold.is_cold(now);
        candidate.m_evacuated = phase != fleet::evacuation_phase::none;
        candidate.m_in_flight = endpoint.m_pool.busy();
        candidate.m_slots = endpoint.m_entry.m_slots;
        candidate.m_answer_time = endpoint.m_answer_time;
        candidate.m_has_idle_connection =
            endpoint.m_pool.find_idle(who.m_organisation, who.m_values) !=
            nullptr;
        candidate.m_can_forward = can_forward(who, endpoint, now);
        candidate.m_can_connect =
            may_open &&
            endpoint.m_pool.opening() < m_options.m_largest_opening &&
            (endpoint.m_pool.can_open(now) ||
             endpoint.m_pool.oldest_idle() != nullptr);
        result.push_back(candidate);
    }
    return result;
}

bool statement_runner::has_left(const endpoint_state& endpoint,
                                base::instant now) const
{
    return endpoint.m_leaving_since &&
           now - *endpoint.m_leaving_since >= m_options.m_leaving_limit;
}

bool statement_runner::is_primary_closed(const group_state& group,
                                         base::instant now) const
{
    const auto primary = m_primaries.primary(group.m_id, now);
    if (!primary)
        return false;
    const auto found = group.m_endpoints.find(*primary);
    return found != group.m_endpoints.end() && is_closed(found->second, now);
}

// Refuses what no endpoint may run.
void statement_runner::refuse(session& who, const group_state& group,
                              const placement_request& request,
                              std::size_t candidates, base::instant now)
{
    const bool evacuated = is_primary_closed(group, now);
    m_metrics.counter(evacuated ? "refused.evacuated" : "refused.no_endpoint")
        .add();
    const auto newest = group.m_bounds.newest();
    const auto primary = m_primaries.primary(group.m_id, now);
    m_log.info("no_endpoint",
               {{"request", who.m_work->m_statement.m_id},
                {"group", group.m_id},
                {"primary", primary.value_or(base::endpoint_id())},
                {"primary_only", request.m_primary_only},
                {"evacuated", evacuated},
                {"candidates", candidates},
                {"log_end_age",
                 newest ? now - newest->m_sent : absl::InfiniteDuration()},
                {"staleness", who.m_route.m_max_staleness}});
    const char* reason = "no endpoint is fresh enough";
    if (evacuated)
        reason = "the primary's failure domain is evacuated";
    else if (request.m_primary_only)
        reason = "no primary is known";
    finish(who, rpc::statement_error::busy, reason);
}

// True when the work got an endpoint or ended.
bool statement_runner::place(session& who, bool may_open, base::instant now)
{
    if (who.m_required_endpoint)
        return place_required(who, may_open, now);
    group_state* group = find_group(who.m_route.m_group);
    if (group == nullptr)
    {
        finish(who, rpc::statement_error::busy, "no endpoint is known");
        return true;
    }
    const auto request = requirements(who, *group, now);
    auto choices = candidates(who, *group, may_open, now);
    leave_evacuated_out(request, choices);
    if (const auto chosen = choose_endpoint(request, choices))
    {
        who.m_work->m_after = request.m_after;
        use(who, group->m_endpoints.at(*chosen), now);
        return true;
    }
    // Would there be an endpoint if it had a free connection?
    for (auto& choice : choices)
    {
        choice.m_can_connect = true;
        choice.m_saturated = false;
    }
    if (choose_endpoint(request, choices))
    {
        wait(who);
        return false;
    }
    refuse_unplaced(who, *group, request, choices, now);
    return true;
}

// No candidate may run the statement, with or without a free connection.
void statement_runner::refuse_unplaced(
    session& who, const group_state& group, const placement_request& request,
    const std::vector<placement_candidate>& choices, base::instant now)
{
    auto allowed = choices;
    for (auto& choice : allowed)
        choice.m_excluded = exclusion::none;
    if (const auto excluded = choose_endpoint(request, allowed))
    {
        refuse_excluded(who, group, request, choices, *excluded);
        return;
    }
    refuse(who, group, request, choices.size(), now);
}

// `excluded` could run the statement, were it not for its exclusion.
void statement_runner::refuse_excluded(
    session& who, const group_state& group, const placement_request& request,
    const std::vector<placement_candidate>& choices,
    const base::endpoint_id& excluded)
{
    const auto found = std::find_if(choices.begin(), choices.end(),
                                    [&excluded](const placement_candidate& item)
                                    {
                                        return item.m_endpoint == excluded;
                                    });
    const bool cold =
        found != choices.end() && found->m_excluded == exclusion::cold;
    m_metrics.counter(cold ? "refused.cold_endpoint" : "refused.home_regions")
        .add();
    m_log.info(cold ? "endpoint_cold_at_other_hosts"
                    : "no_endpoint_in_home_regions",
               {{"request", who.m_work->m_statement.m_id},
                {"organisation", who.m_organisation},
                {"group", group.m_id},
                {"primary_only", request.m_primary_only},
                {"excluded", excluded},
                {"candidates", choices.size()}});
    if (cold)
        finish(who, rpc::statement_error::busy,
               "the endpoint has just started and other hosts send to it");
    else
        finish(who, rpc::statement_error::busy,
               request.m_primary_only
                   ? "the primary is outside the home regions"
                   : "no endpoint in the home regions can run this");
}

void statement_runner::wait(session& who)
{
    who.m_work->m_stage = work_stage::waiting;
    group_state* group = find_group(who.m_route.m_group);
    if (group == nullptr)
    {
        finish(who, rpc::statement_error::busy, "no endpoint is known");
        return;
    }
    auto& waiting = group->m_waiting;
    if (std::find(waiting.begin(), waiting.end(), who.m_number) ==
        waiting.end())
        waiting.push_back(who.m_number);
}

// First what finds an idle connection of its organisation, then what needs a
// new one: each connection that is opened or closed for another organisation
// costs a slot of the endpoint for 12 ms. Within both, urgent routes go first
// and then those that have waited longest.
void statement_runner::place_group(const base::group_id& id, base::instant now)
{
    group_state* group = find_group(id);
    if (group == nullptr || group->m_waiting.empty())
        return;
    for (const bool may_open : {false, true})
    {
        for (const auto number : waiting_in_order(*group))
        {
            const auto found = m_sessions.find(number);
            if (found == m_sessions.end() || !is_waiting(*found->second))
                continue;
            session& who = *found->second;
            if (now >= who.m_work->m_not_before)
                place(who, may_open, now);
        }
    }
    std::erase_if(group->m_waiting,
                  [this](rpc::session_number number)
                  {
                      const auto found = m_sessions.find(number);
                      return found == m_sessions.end() ||
                             !is_waiting(*found->second);
                  });
}

void statement_runner::place_waiting(const base::group_id& id)
{
    const event_scope event(*this);
    m_groups_to_place.insert(id);
}

bool statement_runner::is_waiting(const session& who)
{
    return who.is_working() && who.m_work->m_stage == work_stage::waiting;
}

std::vector<rpc::session_number>
statement_runner::waiting_in_order(const group_state& group) const
{
    std::vector<std::pair<std::uint32_t, rpc::session_number>> keyed;
    for (const auto number : group.m_waiting)
    {
        const auto found = m_sessions.find(number);
        if (found != m_sessions.end() && is_waiting(*found->second))
            keyed.emplace_back(found->second->m_route.m_priority, number);
    }
    std::stable_sort(keyed.begin(), keyed.end(),
                     [](const auto& one, const auto& other)
                     {
                         return one.first < other.first;
                     });
    std::vector<rpc::session_number> result;
    result.reserve(keyed.size());
    for (const auto& item : keyed)
        result.push_back(item.second);
    return result;
}

} // namespace magnoliastack::entry
