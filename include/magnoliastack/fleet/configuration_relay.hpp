// Passes a configuration on to a host that the store turns away.
#ifndef MAGNOLIASTACK_FLEET_CONFIGURATION_RELAY_HPP
#define MAGNOLIASTACK_FLEET_CONFIGURATION_RELAY_HPP

#include "magnoliastack/base/time.hpp"
#include "magnoliastack/fleet/report.hpp"
#include "magnoliastack/rpc/fleet_store.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace magnoliastack::fleet
{

// Limits of the relay.
struct configuration_relay_options
{
    // Bytes of one datagram, which holds 64 KB at most, and datagrams of one
    // configuration; a larger one is read from the store by each host.
    std::size_t m_largest_part = 32'768;
    std::size_t m_largest_parts = 64;
    // Parts that follow each other later than this are lost.
    absl::Duration m_part_wait = absl::Milliseconds(500);
};

// A configuration of some hundred routes does not fit into one datagram and is
// sent in parts.
class configuration_relay
{
public:
    explicit configuration_relay(base::host_id self,
                                 configuration_relay_options options = {});

    // The datagrams to send to a host that asks; none when it is too large.
    // They are kept, since many hosts ask within a moment.
    const std::vector<std::string>&
    datagrams(const rpc::configuration_ptr& configuration);

    // Takes a part; returns the configuration when this part completes it.
    // Parts of another sender or version begin anew.
    rpc::configuration_ptr received(configuration_part part, base::instant now);

    // True while more parts may be on their way; what another sender sent would
    // only add to them.
    [[nodiscard]] bool is_receiving(base::instant now) const;

private:
    base::host_id m_self;
    configuration_relay_options m_options;
    rpc::configuration_ptr m_encoded;
    std::vector<std::string> m_datagrams;
    // What has been received of the sender's configuration.
    base::host_id m_from;
    base::configuration_version m_version;
    std::map<std::uint32_t, std::string> m_parts;
    base::instant m_received;
};

} // namespace magnoliastack::fleet

#endif
