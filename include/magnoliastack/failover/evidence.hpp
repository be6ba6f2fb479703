// What the hosts of the fleet report of a group's primary.
#ifndef MAGNOLIASTACK_FAILOVER_EVIDENCE_HPP
#define MAGNOLIASTACK_FAILOVER_EVIDENCE_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/rpc/peer_link.hpp"

#include <vector>

namespace magnoliastack::failover
{

// One host's report, from the gossip. A host that does not monitor the group
// has another group's name, or none, in its observation and does not count.
struct host_evidence
{
    base::host_id m_host;
    base::failure_domain_id m_failure_domain;
    // The membership holds the host for alive.
    bool m_live = false;
    rpc::group_observation m_observation;
};

// The list has an entry for the own host too, which gives its failure domain;
// the own observation is taken from the view instead.
using evidence_list = std::vector<host_evidence>;

} // namespace magnoliastack::failover

#endif
