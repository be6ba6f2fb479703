// Divides whole things by weight.
#ifndef MAGNOLIASTACK_QUOTA_DIVISION_HPP
#define MAGNOLIASTACK_QUOTA_DIVISION_HPP

#include "magnoliastack/base/ids.hpp"

#include <cstddef>
#include <map>

namespace magnoliastack::quota
{

// Part of the whole that is divided evenly, so that a host without demand yet
// can begin.
inline constexpr double even_part = 0.3;

// Each host's part of `total`: by its demand, for the most part, and one at
// least. Hosts that know the same demands come to the same parts, and without
// the floor of one the parts add up to the total.
std::map<base::host_id, std::size_t>
divide(std::size_t total, const std::map<base::host_id, double>& demands);

} // namespace magnoliastack::quota

#endif
