// Replicas of a group that cannot be asked for their logs any more.
#ifndef MAGNOLIASTACK_HANDOVER_LOST_REPLICAS_HPP
#define MAGNOLIASTACK_HANDOVER_LOST_REPLICAS_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/catalogue/endpoint_entry.hpp"

#include "absl/time/time.h"

#include <optional>
#include <vector>

namespace magnoliastack::handover
{

// An endpoint that is gone from the list, or a process of it that has ended and
// whose log the next one does not have.
struct lost_replica
{
    // Its last entry.
    catalogue::endpoint_entry m_entry;
    // When it was missed first.
    base::instant m_since;
    // Covers every commit that was acknowledged before that; none until the
    // primary has shown the end of its log afterwards.
    std::optional<base::log_point> m_covered_by;
};

// Times of lost replicas.
struct lost_replica_options
{
    // A replica that has been lost for so long is gone for good.
    absl::Duration m_memory = absl::Seconds(60);
};

// A lost replica may have been the only one with a commit that was acknowledged
// before its loss, or since when it still runs. It is remembered until another
// replica is known to have everything up to its loss and it is gone for good.
class lost_replicas
{
public:
    explicit lost_replicas(lost_replica_options options = {})
        : m_options(options)
    {
    }

    // The list of the group's endpoints has changed.
    void entries_changed(const std::vector<catalogue::endpoint_entry>& before,
                         const std::vector<catalogue::endpoint_entry>& after,
                         base::instant now);
    // The group's primary answered a request of `sent` with this end of its
    // log.
    void primary_observed(base::log_point end, base::instant sent);
    // A replica has received the log up to this point.
    void replica_observed(base::log_point received, base::instant now);

    [[nodiscard]] const std::vector<lost_replica>& all() const
    {
        return m_lost;
    }

private:
    lost_replica_options m_options;
    std::vector<lost_replica> m_lost;
};

} // namespace magnoliastack::handover

#endif
