#include "magnoliastack/entry/home_regions.hpp"

#include <utility>

namespace magnoliastack::entry
{

bool home_regions::contains(const base::region_id& region) const
{
    return (m_route.empty() || m_route.contains(region)) &&
           (m_organisation.empty() || m_organisation.contains(region));
}

region_map::region_map(
    base::region_id own,
    std::map<base::failure_domain_id, base::region_id> regions)
    : m_own(std::move(own)), m_regions(std::move(regions))
{
}

bool region_map::may_serve(const base::failure_domain_id& domain,
                           const home_regions& homes) const
{
    if (homes.empty())
        return true;
    const base::region_id* region = find(domain);
    return region != nullptr && homes.contains(*region);
}

bool region_map::may_forward(const base::failure_domain_id& domain,
                             const home_regions& homes) const
{
    if (may_serve(domain, homes))
        return true;
    const base::region_id* region = find(domain);
    return region != nullptr && *region == m_own;
}

const base::region_id*
region_map::find(const base::failure_domain_id& domain) const
{
    const auto found = m_regions.find(domain);
    return found == m_regions.end() ? nullptr : &found->second;
}

} // namespace magnoliastack::entry
