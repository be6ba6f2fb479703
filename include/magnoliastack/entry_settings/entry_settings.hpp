// The settings of magnolia-entry.
#ifndef MAGNOLIASTACK_ENTRY_SETTINGS_ENTRY_SETTINGS_HPP
#define MAGNOLIASTACK_ENTRY_SETTINGS_ENTRY_SETTINGS_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/settings/problem.hpp"

#include "absl/time/time.h"
#include "tl/expected.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliastack::entry_settings
{

// All settings of one host.
struct entry_settings
{
    base::host_id m_host;
    base::failure_domain_id m_failure_domain;
    // Region of the host; empty when the deployment declares none.
    base::region_id m_region;
    // Region of each failure domain that the deployment declares.
    std::map<base::failure_domain_id, base::region_id> m_regions;
    // `ip:port` each.
    std::string m_callers_address;
    std::string m_probe_address;
    std::string m_peers_address;
    std::string m_metrics_address;
    std::string m_store_address;
    std::string m_duties_address;
    // A name that logging::parse_severity knows.
    std::string m_log_level;
    // Time between SIGTERM and the end of the process at the latest.
    absl::Duration m_stop_limit;
    // Time after the acknowledgement of an evacuation within which nothing may
    // reach the failure domain any more.
    absl::Duration m_evacuation_limit;
    // Time after the acknowledgement of a configuration within which it is in
    // force everywhere.
    absl::Duration m_configuration_limit;
    // Sessions that the host serves at once.
    std::uint32_t m_largest_sessions = 0;
};

// Parses the settings and checks them in full. The error has all problems in
// the order of their lines.
tl::expected<entry_settings, std::vector<settings::problem>>
parse(std::string_view text, std::string_view file_name);

// The same for a file.
tl::expected<entry_settings, std::vector<settings::problem>>
load(const std::string& path);

} // namespace magnoliastack::entry_settings

#endif
