// What one host knows of one database group.
#ifndef MAGNOLIASTACK_GROUP_GROUP_VIEW_HPP
#define MAGNOLIASTACK_GROUP_GROUP_VIEW_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/group/commit_tracker.hpp"
#include "magnoliastack/group/freshness_tracker.hpp"
#include "magnoliastack/rpc/endpoint_link.hpp"
#include "magnoliastack/rpc/peer_link.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace magnoliastack::group
{

// An endpoint without an answer to a monitor round for this long counts as
// unreachable. Twelve rounds of 50 ms, so that a few lost or slow ones depose
// nobody.
inline constexpr absl::Duration unreachable_after = absl::Milliseconds(600);

// A host whose own rounds are further apart than this was paused, so silence
// says nothing about an endpoint.
inline constexpr absl::Duration pause_gap = absl::Milliseconds(300);

// Terms, commit point, freshness and reachability of a group, from monitor
// rounds and status pushes.
class group_view
{
public:
    group_view(base::group_id group, std::vector<base::endpoint_id> members);

    // Starts a round; call it every 50 ms and send the number to every member.
    // A gap of more than `pause_gap` since the last call resets the evidence.
    base::round_number begin_round(base::instant now);

    // Takes in a status; `round` is the newest round that the endpoint had
    // received. Statuses of other endpoints are ignored.
    void status_received(const base::endpoint_id& endpoint,
                         base::round_number round,
                         const rpc::endpoint_status& status, base::instant now);

    // The monitor stream broke: the endpoint gets no reads until it answers a
    // round again.
    void monitor_lost(const base::endpoint_id& endpoint, base::instant now);

    // Discards what silence seemed to show, after a pause of this host. Facts
    // that endpoints reported stay.
    void reset_evidence(base::instant now);

    [[nodiscard]] const base::group_id& group() const
    {
        return m_group;
    }
    [[nodiscard]] const std::vector<base::endpoint_id>& members() const
    {
        return m_members;
    }
    // Number of members that make a majority.
    [[nodiscard]] std::size_t majority() const
    {
        return m_members.size() / 2 + 1;
    }

    // The highest term that a member has accepted; 0 before the first status.
    [[nodiscard]] base::term current_term() const
    {
        return m_current_term;
    }

    // The highest term that a member has accepted or was sealed for.
    [[nodiscard]] base::term highest_seal() const;

    // The member that says it is the primary of the current term; it may be
    // unreachable by now.
    [[nodiscard]] std::optional<base::endpoint_id> primary() const;

    // True when the log up to the point is in the log of every later primary.
    // False may also mean that this host does not know.
    [[nodiscard]] bool is_committed(base::log_point point) const;

    // The commit point of the current term, if it is known.
    [[nodiscard]] std::optional<base::log_point> commit_point() const;

    // Upper bound of the age of the endpoint's data; none without a proof.
    [[nodiscard]] std::optional<absl::Duration>
    staleness(const base::endpoint_id& endpoint, base::instant now) const;

    // Data read from the endpoint at `point` has every write acknowledged
    // before this instant; none without a proof.
    [[nodiscard]] std::optional<base::instant>
    fresh_as_of(const base::endpoint_id& endpoint, base::log_point point) const;

    // About how long ago the point was written; none when it is younger than
    // the newest proven round.
    [[nodiscard]] std::optional<absl::Duration> age_of(base::log_point point,
                                                       base::instant now) const;

    // The newest status of a member; null before the first one.
    [[nodiscard]] const rpc::endpoint_status*
    status(const base::endpoint_id& endpoint) const;

    // How long ago the newest status was received; none before the first one.
    [[nodiscard]] std::optional<absl::Duration>
    status_age(const base::endpoint_id& endpoint, base::instant now) const;

    // True when the member answered a round within `unreachable_after`.
    [[nodiscard]] bool is_reachable(const base::endpoint_id& endpoint,
                                    base::instant now) const;
    [[nodiscard]] bool is_majority_reachable(base::instant now) const;

    // How many members have reported to this process.
    [[nodiscard]] std::size_t reported_members() const;

    // True when the platform or the endpoint itself says that it is leaving.
    [[nodiscard]] bool is_leaving(const base::endpoint_id& endpoint) const;
    void mark_leaving(const base::endpoint_id& endpoint, bool leaving);

    // What the gossip tells other hosts of this group.
    [[nodiscard]] rpc::group_observation observation(base::instant now) const;

private:
    struct member
    {
        std::optional<rpc::endpoint_status> m_status;
        base::instant m_status_at;
        base::round_number m_answered_round;
        // Receipt of the newest answer to a round since the last reset.
        std::optional<base::instant> m_answered_at;
        bool m_monitor_lost = false;
        bool m_marked_leaving = false;
    };

    [[nodiscard]] const member* find(const base::endpoint_id& endpoint) const;
    [[nodiscard]] static bool is_primary_of(const member& entry,
                                            base::term target);

    base::group_id m_group;
    std::vector<base::endpoint_id> m_members;
    std::map<base::endpoint_id, member> m_entries;
    commit_tracker m_commit;
    freshness_tracker m_freshness;
    base::term m_current_term;
    base::round_number m_round;
    std::optional<base::instant> m_round_at;
    // Silence is counted from here at the earliest.
    base::instant m_evidence_since;
    // When the view last had a member that claimed to be primary.
    base::instant m_primary_seen_at;
};

} // namespace magnoliastack::group

#endif
