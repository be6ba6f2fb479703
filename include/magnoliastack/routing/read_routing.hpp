// Chooses the endpoint of a read and judges its answer.
#ifndef MAGNOLIASTACK_ROUTING_READ_ROUTING_HPP
#define MAGNOLIASTACK_ROUTING_READ_ROUTING_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/refusal.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/group/group_view.hpp"

#include "absl/time/time.h"

#include <optional>
#include <variant>
#include <vector>

namespace magnoliastack::routing
{

// How long a read waits for a replica before it goes to the primary, unless
// the settings say otherwise.
inline constexpr absl::Duration default_replica_wait = absl::Milliseconds(20);

// What a read's data must have.
struct read_requirements
{
    // The session's point in the group: a lower bound for the answer.
    base::log_point m_session;
    // Oldest data that the route accepts, counted back from the send time of
    // the read. 0 asks for the primary and for no proof of age.
    absl::Duration m_max_staleness;
    base::instant m_deadline;
    // How long the read may wait for a replica.
    absl::Duration m_replica_wait = default_replica_wait;
};

// An endpoint as the pools of this host see it.
struct endpoint_load
{
    base::endpoint_id m_endpoint;
    bool m_same_failure_domain = false;
    std::size_t m_in_flight = 0;
    // A connection is open or being used; without one, the read waits about
    // 10 ms for a new connection.
    bool m_has_connection = false;
};

// Send the read to this endpoint.
struct use_endpoint
{
    base::endpoint_id m_endpoint;
    // False when it is the primary.
    bool m_replica = false;
};

// Choose again at a change of the group's state, at the latest at m_until.
struct wait_for_replica
{
    base::instant m_until;
};

// No endpoint can serve the read now.
struct refuse
{
    base::refusal_reason m_reason = base::refusal_reason::no_endpoint;
};

using read_choice = std::variant<use_endpoint, wait_for_replica, refuse>;

// What to do with an answer.
enum class answer_verdict
{
    // Release it to the caller.
    deliver,
    // Keep it and judge it again after the next status of the group: it is not
    // known to be committed, or the proof of its age is outstanding.
    wait_for_commit,
    // Discard it and choose again: it does not satisfy the requirements.
    retry,
};

// The endpoint for a read: an eligible replica in the host's own failure
// domain, the least loaded other eligible replica, a bounded wait for a replica
// that is expected to become eligible, the primary. Only endpoints in `loads`
// are used. `waiting_since` is when the read began to wait for a replica, none
// at the first choice. The choice lets the read reach an endpoint; check_answer
// has the last word.
read_choice choose_read(const read_requirements& requirements,
                        const group::group_view& view,
                        const std::vector<endpoint_load>& loads,
                        std::optional<base::instant> waiting_since,
                        base::instant now);

// Judges an answer that was read at `answered` (the endpoint's accepted term
// and applied position) for a read sent at `sent_at`.
answer_verdict check_answer(const read_requirements& requirements,
                            const base::endpoint_id& endpoint,
                            base::log_point answered,
                            const group::group_view& view,
                            base::instant sent_at, base::instant now);

} // namespace magnoliastack::routing

#endif
