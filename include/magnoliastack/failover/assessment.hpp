// Decides whether a group needs a new primary.
#ifndef MAGNOLIASTACK_FAILOVER_ASSESSMENT_HPP
#define MAGNOLIASTACK_FAILOVER_ASSESSMENT_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/failover/evidence.hpp"
#include "magnoliastack/group/group_view.hpp"

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <string_view>

namespace magnoliastack::failover
{

// Why a new term is needed.
enum class promotion_cause
{
    none,
    // The primary is leaving and a replica can take over.
    planned,
    // Hosts of several failure domains do not reach the primary and neither do
    // its replicas.
    unreachable,
    // Most hosts have not reached the primary for long, although it may still
    // replicate.
    unreachable_for_long,
    // So many replicas have lost the primary that it can commit nothing.
    stalled,
    // Endpoints are sealed for a term that no promoter has completed. They can
    // follow no primary until there is a higher term.
    abandoned_seal,
};

// Name for log lines.
std::string_view to_string(promotion_cause cause);

// True when the cause takes the group from a primary that might work.
bool deposes(promotion_cause cause);

// No replica may have heard from a primary for this long before it is deposed.
inline constexpr absl::Duration replica_silence = absl::Milliseconds(500);

// How long most hosts must have lost a primary that still replicates.
inline constexpr absl::Duration long_silence = absl::Seconds(2);

// How long a seal above the current term may stay without a primary. Longer
// than a promoter needs to try two terms.
inline constexpr absl::Duration seal_grace = absl::Milliseconds(1500);

// How long a planned change waits for a replica with the primary's position;
// afterwards one with every committed write will do.
inline constexpr absl::Duration catch_up_wait = absl::Seconds(1);

// Judges the reports of the fleet on one group.
class assessment
{
public:
    explicit assessment(base::host_id self);

    // Discards evidence, after a pause of this host.
    void reset(base::instant now);

    // Why the group needs a new term now; `none` while this host reaches no
    // majority of its endpoints.
    promotion_cause assess(const group::group_view& view,
                           const evidence_list& evidence, base::instant now);

private:
    struct tally;

    [[nodiscard]] tally count_reports(const group::group_view& view,
                                      const evidence_list& evidence,
                                      base::instant now);
    bool is_planned_change_ready(const group::group_view& view,
                                 base::instant now);
    bool is_seal_abandoned(const group::group_view& view, base::instant now);

    base::host_id m_self;
    base::instant m_evidence_since;
    // Since when each host has reported the primary of m_reported_term.
    base::term m_reported_term;
    std::map<base::host_id, base::instant> m_reported_since;
    std::optional<base::instant> m_planned_since;
    base::term m_seal;
    base::instant m_seal_since;
};

} // namespace magnoliastack::failover

#endif
