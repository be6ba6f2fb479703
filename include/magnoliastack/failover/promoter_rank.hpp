// Agrees without messages on the order in which hosts promote.
#ifndef MAGNOLIASTACK_FAILOVER_PROMOTER_RANK_HPP
#define MAGNOLIASTACK_FAILOVER_PROMOTER_RANK_HPP

#include "magnoliastack/base/ids.hpp"

#include <cstddef>
#include <vector>

namespace magnoliastack::failover
{

// The number of candidates that come before `self` in the rendezvous order of
// (host, group, term). The term spreads successive promotions over the hosts.
std::size_t promoter_rank(const base::host_id& self,
                          const std::vector<base::host_id>& candidates,
                          const base::group_id& group, base::term deposed);

} // namespace magnoliastack::failover

#endif
