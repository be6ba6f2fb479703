// What operators declare: routes, organisations, keys and limits.
#ifndef MAGNOLIASTACK_CATALOGUE_CONFIGURATION_HPP
#define MAGNOLIASTACK_CATALOGUE_CONFIGURATION_HPP

#include "magnoliastack/base/ids.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace magnoliastack::catalogue
{

// How fresh the reads of a route have to be.
enum class consistency
{
    // Every acknowledged commit is visible.
    primary,
    // Commits older than the staleness are visible.
    bounded,
    // The same, and all commits of the session.
    read_your_writes,
};

// How one database is served.
struct route
{
    base::route_id m_id;
    base::group_id m_group;
    consistency m_consistency = consistency::primary;
    // Limit of one statement.
    absl::Duration m_statement_timeout;
    absl::Duration m_max_staleness;
    // 0 goes first.
    std::uint32_t m_priority = 0;
    // Callers need no key.
    bool m_open = false;
    // Within this an operation should end; zero when none is declared. Not used
    // for scheduling yet.
    absl::Duration m_objective;
    // Only endpoints in these regions serve it; empty for all.
    std::set<base::region_id> m_home_regions;
};

// An organisation's part of the service.
struct organisation
{
    base::organisation_id m_id;
    // Operations a second, and at once, over all hosts.
    double m_rate = 0;
    double m_burst = 0;
    // False when it has no limit; rate and burst mean nothing then.
    bool m_limited = true;
    // 0 goes first. Not used for scheduling yet.
    std::uint32_t m_priority = 0;
    // Only endpoints in these regions serve it; empty for all.
    std::set<base::region_id> m_home_regions;
};

// A database group.
struct group
{
    base::group_id m_id;
    // Connections that one of its endpoints takes, from all hosts.
    std::uint32_t m_max_connections = 0;
    // Requests a second that all hosts together may send to a cold endpoint; 0
    // for no limit.
    double m_cold_rate = 0;
    // Replicas that have received a commit before it is acknowledged; 0 when
    // it is acknowledged by the primary alone.
    std::uint32_t m_sync_replicas = 0;
};

// One version of the declarations.
struct configuration
{
    base::configuration_version m_version;
    // By the name of the database that callers ask for.
    absl::flat_hash_map<std::string, route> m_routes;
    // By key.
    absl::flat_hash_map<std::string, base::organisation_id> m_keys;
    std::map<base::organisation_id, organisation> m_organisations;
    std::map<base::group_id, group> m_groups;
    // A transaction that is idle for longer may be ended.
    absl::Duration m_idle_transaction;
};

} // namespace magnoliastack::catalogue

#endif
