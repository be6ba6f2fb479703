#include "magnoliastack/routing/read_routing.hpp"

#include <algorithm>
#include <tuple>

namespace magnoliastack::routing
{

namespace
{

using rpc::endpoint_status;

// True when data of this point has everything that the session has seen. The
// term is compared first: a deposed primary may have a higher position and lack
// the session's writes.
bool satisfies_session(base::log_point session, base::log_point data)
{
    return data.m_term >= session.m_term &&
           data.m_position >= session.m_position;
}

// The status of a replica that may be read at all: reachable, not leaving and
// in the current term. Null otherwise.
const endpoint_status* usable_replica(const group::group_view& view,
                                      const base::endpoint_id& endpoint,
                                      base::instant now)
{
    const endpoint_status* status = view.status(endpoint);
    if (status == nullptr || view.is_leaving(endpoint) ||
        !view.is_reachable(endpoint, now))
        return nullptr;
    if (status->m_role == rpc::endpoint_role::primary ||
        status->m_accepted_term != view.current_term())
        return nullptr;
    return status;
}

bool is_eligible(const read_requirements& requirements,
                 const group::group_view& view,
                 const base::endpoint_id& endpoint,
                 const endpoint_status& status, base::instant now)
{
    if (!satisfies_session(requirements.m_session,
                           {status.m_accepted_term, status.m_applied}))
        return false;
    const auto staleness = view.staleness(endpoint, now);
    return staleness && *staleness <= requirements.m_max_staleness;
}

// True when the replica is likely to have applied the session's point within
// `remaining`: its lag at the time of its status, less the age of the point, is
// the time that it still needs.
bool is_expected(const read_requirements& requirements,
                 const group::group_view& view,
                 const base::endpoint_id& endpoint,
                 const endpoint_status& status, absl::Duration remaining,
                 base::instant now)
{
    if (status.m_accepted_term < requirements.m_session.m_term ||
        status.m_applied >= requirements.m_session.m_position)
        return false;
    const auto staleness = view.staleness(endpoint, now);
    if (!staleness || *staleness > requirements.m_max_staleness)
        return false;
    const absl::Duration lag =
        *staleness -
        view.status_age(endpoint, now).value_or(absl::ZeroDuration());
    const base::log_point point{status.m_accepted_term,
                                requirements.m_session.m_position};
    const auto age = view.age_of(point, now);
    return lag - age.value_or(absl::ZeroDuration()) <= remaining;
}

// Orders replicas: one with a connection first, then the own failure domain,
// then the least load.
bool is_better(const endpoint_load& left, const endpoint_load& right)
{
    const auto rank = [](const endpoint_load& load)
    {
        return std::tuple(!load.m_has_connection, !load.m_same_failure_domain,
                          load.m_in_flight);
    };
    return rank(left) < rank(right);
}

// The choice when no replica can serve the read.
read_choice choose_primary(const read_requirements& requirements,
                           const group::group_view& view,
                           const std::vector<endpoint_load>& loads,
                           base::instant now)
{
    const auto primary = view.primary();
    const bool listed =
        primary && std::ranges::any_of(loads,
                                       [&](const endpoint_load& load)
                                       {
                                           return load.m_endpoint == *primary;
                                       });
    if (!listed || !view.is_reachable(*primary, now))
    {
        const bool any_reachable = std::ranges::any_of(
            loads,
            [&](const endpoint_load& load)
            {
                return view.is_reachable(load.m_endpoint, now);
            });
        return refuse{any_reachable ? base::refusal_reason::no_primary
                                    : base::refusal_reason::no_endpoint};
    }
    if (view.current_term() < requirements.m_session.m_term)
        return refuse{base::refusal_reason::no_primary};
    if (requirements.m_max_staleness > absl::ZeroDuration())
    {
        // The answer's age is proven by a round after the read was sent, which
        // needs a majority.
        const auto staleness = view.staleness(*primary, now);
        const bool proven =
            staleness && *staleness <= requirements.m_max_staleness;
        if (!proven && !view.is_majority_reachable(now))
            return refuse{base::refusal_reason::staleness_unproven};
    }
    return use_endpoint{*primary, false};
}

} // namespace

read_choice choose_read(const read_requirements& requirements,
                        const group::group_view& view,
                        const std::vector<endpoint_load>& loads,
                        std::optional<base::instant> waiting_since,
                        base::instant now)
{
    if (now >= requirements.m_deadline)
        return refuse{base::refusal_reason::deadline_exceeded};
    if (requirements.m_max_staleness <= absl::ZeroDuration())
        return choose_primary(requirements, view, loads, now);

    const base::instant until =
        std::min(waiting_since.value_or(now) + requirements.m_replica_wait,
                 requirements.m_deadline);
    const endpoint_load* best = nullptr;
    bool expected = false;
    for (const endpoint_load& load : loads)
    {
        const endpoint_status* status =
            usable_replica(view, load.m_endpoint, now);
        if (status == nullptr)
            continue;
        if (is_eligible(requirements, view, load.m_endpoint, *status, now))
        {
            if (best == nullptr || is_better(load, *best))
                best = &load;
            continue;
        }
        if (until > now && is_expected(requirements, view, load.m_endpoint,
                                       *status, until - now, now))
            expected = true;
    }
    if (best != nullptr)
        return use_endpoint{best->m_endpoint, true};
    if (expected)
        return wait_for_replica{until};
    return choose_primary(requirements, view, loads, now);
}

answer_verdict check_answer(const read_requirements& requirements,
                            const base::endpoint_id& endpoint,
                            base::log_point answered,
                            const group::group_view& view,
                            base::instant sent_at, base::instant /*now*/)
{
    // A term that the group has left: the data may lack newer writes and may
    // have entries that the new term's log replaced.
    if (answered.m_term < view.current_term())
        return answer_verdict::retry;
    if (!satisfies_session(requirements.m_session, answered))
        return answer_verdict::retry;
    if (!view.is_committed(answered))
        return answer_verdict::wait_for_commit;
    if (requirements.m_max_staleness <= absl::ZeroDuration())
        return answer_verdict::deliver;
    const auto fresh = view.fresh_as_of(endpoint, answered);
    if (fresh && *fresh >= sent_at - requirements.m_max_staleness)
        return answer_verdict::deliver;
    // A read at the primary is proven by the next round; for a replica each
    // later round can only ask for a higher position.
    return view.primary() == endpoint ? answer_verdict::wait_for_commit
                                      : answer_verdict::retry;
}

} // namespace magnoliastack::routing
