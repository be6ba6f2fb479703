// The operators' inventory: organisations, callers, groups, endpoints, routes.
#ifndef MAGNOLIASTACK_INVENTORY_INVENTORY_HPP
#define MAGNOLIASTACK_INVENTORY_INVENTORY_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/settings/problem.hpp"

#include "absl/time/time.h"
#include "tl/expected.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliastack::inventory
{

// An organisation and what it may use, summed over all hosts.
struct organisation
{
    base::organisation_id m_id;
    // Requests a second.
    double m_rate = 0;
    // Requests.
    std::uint64_t m_burst = 0;

    bool operator==(const organisation&) const = default;
};

// A caller, of exactly one organisation.
struct caller
{
    base::caller_id m_id;
    base::organisation_id m_organisation;

    bool operator==(const caller&) const = default;
};

// A replicated database.
struct group
{
    base::group_id m_id;
    // In the order of their names.
    std::vector<base::endpoint_id> m_endpoints;

    bool operator==(const group&) const = default;
};

// A database server.
struct endpoint
{
    base::endpoint_id m_id;
    base::group_id m_group;
    base::failure_domain_id m_failure_domain;
    // `ip:port`.
    std::string m_address;
    // Statements that it runs at once.
    std::uint32_t m_slots = 0;
    // Connections that it accepts, summed over all hosts.
    std::uint32_t m_connections = 0;

    bool operator==(const endpoint&) const = default;
};

// Who may use a route.
enum class access
{
    // All callers, without a key.
    open,
    // Callers with the key of an organisation.
    keyed,
};

// A name under which callers reach a group.
struct route
{
    base::route_id m_id;
    base::group_id m_group;
    access m_access = access::keyed;
    // Greatest accepted age of data read from a replica; 0 allows only reads
    // at the primary.
    absl::Duration m_staleness;
    // Organisations that may use a keyed route; empty means all.
    std::vector<base::organisation_id> m_organisations;

    bool operator==(const route&) const = default;
};

// A checked inventory.
struct inventory
{
    // Number of parts into which rates and connections are divided.
    std::uint32_t m_slots = 0;
    // A host whose configuration was not confirmed for this long serves open
    // routes only.
    absl::Duration m_configuration_bound;
    std::map<base::organisation_id, organisation> m_organisations;
    std::map<base::caller_id, caller> m_callers;
    std::map<base::group_id, group> m_groups;
    std::map<base::endpoint_id, endpoint> m_endpoints;
    std::map<base::route_id, route> m_routes;

    // The named part, or null.
    [[nodiscard]] const organisation*
    find(const base::organisation_id& id) const;
    [[nodiscard]] const caller* find(const base::caller_id& id) const;
    [[nodiscard]] const group* find(const base::group_id& id) const;
    [[nodiscard]] const endpoint* find(const base::endpoint_id& id) const;
    [[nodiscard]] const route* find(const base::route_id& id) const;

    bool operator==(const inventory&) const = default;
};

// Reads an inventory and checks it in full, references between its parts
// included. The error has all problems in the order of their lines.
tl::expected<inventory, std::vector<settings::problem>>
parse_inventory(std::string_view text, std::string_view file_name);

} // namespace magnoliastack::inventory

#endif
