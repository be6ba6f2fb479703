// Which endpoints are known to hold every acknowledged commit of a group whose
// commits wait for synchronous replicas.
#ifndef MAGNOLIASTACK_HANDOVER_COMMIT_EVIDENCE_HPP
#define MAGNOLIASTACK_HANDOVER_COMMIT_EVIDENCE_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/handover/lost_replicas.hpp"
#include "magnoliastack/rpc/fleet_store.hpp"
#include "magnoliastack/rpc/opaque_statement.hpp"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace magnoliastack::handover
{

// A listed endpoint of the group. Whatever its state, it may have received
// acknowledged commits.
struct commit_holder
{
    base::endpoint_id m_endpoint;
    // It leaves, is evacuated or does not answer: it leads only when no other
    // endpoint is known to hold every acknowledged commit.
    bool m_avoided = false;
    // Slow after its start.
    bool m_cold = false;
};

// The endpoints that may hold acknowledged commits.
struct commit_holders
{
    // Replicas that have received a commit before it is acknowledged; 0 when
    // the primary acknowledges it alone.
    std::uint32_t m_sync_replicas = 0;
    // All listed endpoints, the primary that is replaced among them, and the
    // store's time at which the list was read.
    std::vector<commit_holder> m_listed;
    rpc::store_instant m_listed_at;
    // Replicas that cannot be asked any more.
    std::vector<lost_replica> m_lost;
    // The furthest end of the primary's log that it has shown to any host, so
    // not before any commit that a live host has acknowledged.
    base::log_point m_shown_end;
};

// Reports that were asked for after the last host had released the primary.
using endpoint_reports = std::map<base::endpoint_id, rpc::endpoint_report>;

// A commit is acknowledged once it is at the primary and at m_sync_replicas of
// the replicas. An endpoint is known to hold every one when it is that primary,
// or has all that the primary's report shows, or has as much as each replica of
// which so few have not reported that a commit cannot be at those alone. A
// replica that has not reported counts as one that may have everything.
class commit_evidence
{
public:
    // `published` is the term in which commits were acknowledged last.
    commit_evidence(const commit_holders& holders,
                    const endpoint_reports& reports,
                    const base::endpoint_id& old_primary, base::term published);

    // Replicas that may hold acknowledged commits and whose logs are unknown.
    [[nodiscard]] const std::vector<base::endpoint_id>& missing() const
    {
        return m_missing;
    }
    [[nodiscard]] bool holds_all(const base::endpoint_id& endpoint) const;
    // True when the first one is to lead rather than the second one; both have
    // reported.
    [[nodiscard]] bool is_better(const commit_holder& one,
                                 const commit_holder& other) const;

private:
    // End of an endpoint's log as far as the published term goes: what an older
    // term has beyond the newer one's log was never acknowledged.
    using log_end = std::pair<base::term, base::log_point>;

    [[nodiscard]] bool is_covered(const lost_replica& lost) const;
    [[nodiscard]] log_end end_of(const rpc::endpoint_report& report) const;
    // True for a primary whose log has every acknowledged commit: of the
    // published term, or promoted since from a log that had them.
    [[nodiscard]] bool leads(const rpc::endpoint_report& report) const;
    [[nodiscard]] bool has_log_of_leader(const rpc::endpoint_report& log) const;

    const commit_holders& m_holders;
    const endpoint_reports& m_reports;
    base::endpoint_id m_old_primary;
    base::term m_published;
    std::vector<base::endpoint_id> m_missing;
};

} // namespace magnoliastack::handover

#endif
