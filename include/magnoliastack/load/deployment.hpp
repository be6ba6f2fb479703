// A running deployment: preparation, faults and its final state.
#ifndef MAGNOLIASTACK_LOAD_DEPLOYMENT_HPP
#define MAGNOLIASTACK_LOAD_DEPLOYMENT_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/load/driver.hpp"

#include "absl/time/time.h"

#include <map>
#include <string>
#include <vector>

namespace magnoliastack::load
{

// Addresses of a group's endpoints by name.
using endpoint_addresses = std::map<std::string, std::string>;

// The endpoints of each group in an inventory text.
base::result<std::map<std::string, endpoint_addresses>>
groups_of(const std::string& inventory_text, const std::string& file_name);

// The endpoint that is primary of the highest term.
struct primary_endpoint
{
    std::string m_name;
    std::string m_address;
    // Its rows, by key.
    std::map<std::string, std::string> m_rows;
};
base::result<primary_endpoint> find_primary(const endpoint_addresses& members);

// Applies the inventory at one proxy, issues a key for each organisation and
// waits until the last change is in force on every host. Repeats what the
// proxy cannot do yet, for at most `patience`.
base::result<organisation_keys>
prepare(const std::string& proxy, const std::string& inventory_text,
        const std::vector<std::string>& organisations, absl::Duration patience);

// Sets faults of a stand-in endpoint or platform. `json` is a message
// EndpointFaults or PlatformFaults in protobuf's JSON form.
base::result<void> set_endpoint_faults(const std::string& address,
                                       const std::string& json);
base::result<void> set_platform_faults(const std::string& address,
                                       const std::string& json);

// Keys in a text of lines `organisation key`.
std::string to_text(const organisation_keys& keys);
organisation_keys parse_keys(const std::string& text);

} // namespace magnoliastack::load

#endif
