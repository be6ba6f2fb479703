// Which failure domains may serve a route and an organisation.
#ifndef MAGNOLIASTACK_ENTRY_HOME_REGIONS_HPP
#define MAGNOLIASTACK_ENTRY_HOME_REGIONS_HPP

#include "magnoliastack/base/ids.hpp"

#include <map>
#include <set>

namespace magnoliastack::entry
{

// The home regions that a statement has to respect. Each set that is not empty
// applies; with both, only regions in both remain.
struct home_regions
{
    std::set<base::region_id> m_route;
    std::set<base::region_id> m_organisation;

    [[nodiscard]] bool empty() const
    {
        return m_route.empty() && m_organisation.empty();
    }
    [[nodiscard]] bool contains(const base::region_id& region) const;
};

// The regions of the failure domains and of this host, from the settings.
class region_map
{
public:
    region_map() = default;
    region_map(base::region_id own,
               std::map<base::failure_domain_id, base::region_id> regions);

    // True when an endpoint of the failure domain may run the statement. A
    // domain without a known region serves only what has no home regions.
    [[nodiscard]] bool may_serve(const base::failure_domain_id& domain,
                                 const home_regions& homes) const;

    // True when the statement may be forwarded to a host of the failure
    // domain: in a home region, or in the region of this host, which accepted
    // the session. Not used yet: statements with home regions are not
    // forwarded.
    [[nodiscard]] bool may_forward(const base::failure_domain_id& domain,
                                   const home_regions& homes) const;

private:
    [[nodiscard]] const base::region_id*
    find(const base::failure_domain_id& domain) const;

    base::region_id m_own;
    std::map<base::failure_domain_id, base::region_id> m_regions;
};

} // namespace magnoliastack::entry

#endif
