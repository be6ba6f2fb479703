// Which hosts keep the connections to an endpoint.
#ifndef MAGNOLIASTACK_ENTRY_CONNECTION_HOLDERS_HPP
#define MAGNOLIASTACK_ENTRY_CONNECTION_HOLDERS_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/catalogue/configuration.hpp"
#include "magnoliastack/catalogue/endpoint_entry.hpp"
#include "magnoliastack/fleet/members.hpp"
#include "magnoliastack/logging/logging.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace magnoliastack::entry
{

// When statements are forwarded, and to how many hosts.
struct holder_options
{
    // Part of an endpoint's connections that are kept without forwarding.
    double m_kept_part = 0.6;
    // Forwarding begins below so many kept connections an endpoint and host,
    // and ends above the second number; the gap keeps it from going on and off.
    double m_on_below = 2;
    double m_off_above = 3;
    // Holders of an endpoint, so that the loss of one leaves the other, and the
    // part of its connections of each one. The rest is for direct connections.
    std::size_t m_holders = 2;
    double m_holder_part = 0.45;
    // The members are looked at this often; a lost stream is noticed earlier.
    absl::Duration m_refresh_interval = absl::Milliseconds(250);
};

// Each endpoint has two holders: the first live hosts of its failure domain, or
// of any when its own has none, in rendezvous order. Hosts that know the same
// members compute the same holders without communication.
class connection_holders
{
public:
    connection_holders(base::host_id self, const fleet::member_book& members,
                       holder_options options = {});

    // Sets what is declared and listed.
    void set_endpoints(const catalogue::configuration& configuration,
                       const std::vector<catalogue::endpoint_entry>& entries);

    // Follows members and sizes; does nothing within the interval. True when
    // this host's parts may have changed.
    bool refresh(bool large_fleet, base::instant now);

    // True while statements for the group's endpoints are forwarded.
    [[nodiscard]] bool is_on(const base::group_id& group) const
    {
        return m_on.contains(group);
    }
    // True when this host keeps connections for other hosts.
    [[nodiscard]] bool is_holder(const base::endpoint_id& endpoint) const;
    // True when other hosts keep the endpoint's connections for this one.
    [[nodiscard]] bool is_forwarded(const base::endpoint_id& endpoint) const;
    // The hosts to ask for a connection of the organisation, in their order;
    // empty while forwarding is off.
    [[nodiscard]] std::vector<base::host_id>
    holders(const base::endpoint_id& endpoint,
            const base::organisation_id& organisation) const;
    // Connections of this host to each endpoint that it holds.
    [[nodiscard]] std::map<base::endpoint_id, std::size_t> own_parts() const;
    // Part of a group's connections that all hosts together keep without
    // holding them for others.
    [[nodiscard]] double direct_part(const base::group_id& group) const;

private:
    // An endpoint and its holders, the first in rendezvous order first.
    struct held_endpoint
    {
        base::group_id m_group;
        base::failure_domain_id m_failure_domain;
        std::vector<base::host_id> m_holders;
    };

    [[nodiscard]] bool should_be_on(const catalogue::group& group,
                                    bool large_fleet) const;

    base::host_id m_self;
    const fleet::member_book& m_members;
    holder_options m_options;
    logging::logger m_log{"holders"};
    std::map<base::group_id, catalogue::group> m_groups;
    std::size_t m_organisations = 0;
    std::map<base::endpoint_id, held_endpoint> m_endpoints;
    std::set<base::group_id> m_on;
    base::instant m_next_refresh;
};

} // namespace magnoliastack::entry

#endif
