#include "magnoliastack/failover/promoter_rank.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <xxhash.h>

namespace magnoliastack::failover
{

namespace
{

// The host's weight; ties are broken by the name.
std::pair<std::uint64_t, std::string> weight(const base::host_id& host,
                                             const base::group_id& group,
                                             base::term deposed)
{
    std::string text = host.str();
    text += '\0';
    text += group.str();
    text += '\0';
    text += std::to_string(deposed.value());
    return {XXH3_64bits(text.data(), text.size()), host.str()};
}

} // namespace

std::size_t promoter_rank(const base::host_id& self,
                          const std::vector<base::host_id>& candidates,
                          const base::group_id& group, base::term deposed)
{
    const auto own = weight(self, group, deposed);
    return static_cast<std::size_t>(
        std::ranges::count_if(candidates,
                              [&](const base::host_id& host)
                              {
                                  return weight(host, group, deposed) > own;
                              }));
}

} // namespace magnoliastack::failover
