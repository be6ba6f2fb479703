// Log points that cover all commits acknowledged before an instant.
#ifndef MAGNOLIASTACK_REPLICATION_COMMIT_BOUNDS_HPP
#define MAGNOLIASTACK_REPLICATION_COMMIT_BOUNDS_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"

#include "absl/time/time.h"

#include <deque>
#include <optional>

namespace magnoliastack::replication
{

// How many observations are kept.
struct commit_bounds_options
{
    // Older ones serve no route.
    absl::Duration m_retention = absl::Seconds(4);
    // Closer ones are merged.
    absl::Duration m_resolution = absl::Milliseconds(20);
};

// With asynchronous replication only the primary knows the newest commit. Each
// of its answers shows the end of its log, which covers every commit that was
// acknowledged before the request was sent. A replica whose log has the point
// is as fresh as the instant, whenever it received the point.
class commit_bounds
{
public:
    explicit commit_bounds(commit_bounds_options options = {});

    // The primary of the point's term, current at `sent`, answered a request
    // of that instant with this end of its log. Points of an older term than
    // the newest one are ignored.
    void observed(base::log_point point, base::instant sent);

    // Only points of this term count from now on.
    void term_changed(base::term current);

    // The lowest point that covers all commits before `since`. The lowest,
    // because the more replicas have it the less the primary has to do.
    [[nodiscard]] std::optional<base::log_point>
    covering(base::instant since) const;

    // The newest observation, to tell other hosts.
    struct observation
    {
        base::log_point m_point;
        base::instant m_sent;
    };
    [[nodiscard]] std::optional<observation> newest() const;

private:
    commit_bounds_options m_options;
    base::term m_term;
    // Both members rise.
    std::deque<observation> m_observations;
};

} // namespace magnoliastack::replication

#endif
