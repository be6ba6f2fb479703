// Passes the endpoints on from hosts that have read them.
#ifndef MAGNOLIASTACK_FLEET_ENDPOINT_RELAY_HPP
#define MAGNOLIASTACK_FLEET_ENDPOINT_RELAY_HPP

#include "magnoliastack/base/time.hpp"
#include "magnoliastack/fleet/report.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace magnoliastack::fleet
{

// Limits of the relay.
struct endpoint_relay_options
{
    // Endpoints of one datagram, and bytes of their texts: a datagram holds
    // 64 KB at most.
    std::size_t m_largest_update = 300;
    std::size_t m_largest_texts = 32'768;
    // Datagrams of one list; a larger one is read from the store by each host.
    std::size_t m_largest_parts = 32;
    // Time between two requests of this host.
    absl::Duration m_interval = absl::Milliseconds(300);
};

// Reports tell a hash of the endpoints and when they were read. A host that
// hears of a later reading with another hash asks that peer for them.
class endpoint_relay
{
public:
    explicit endpoint_relay(base::host_id self,
                            endpoint_relay_options options = {});

    // This host has the endpoints as of that time.
    void read(const std::vector<catalogue::endpoint_entry>& endpoints,
              rpc::store_instant at);

    [[nodiscard]] std::uint64_t digest() const
    {
        return m_digest;
    }
    [[nodiscard]] rpc::store_instant read_at() const
    {
        return m_read_at;
    }

    // True when the reporting peer is to be asked now.
    bool should_ask(const host_report& report, base::instant now);

    // What to send to a peer that asks: the parts of the list, or nothing when
    // there is none or it is too large.
    [[nodiscard]] std::vector<endpoint_update> updates() const;

    // Takes a part; returns the whole list when this part completes one that is
    // later than what this host has.
    std::optional<std::vector<catalogue::endpoint_entry>>
    received(endpoint_update part);

private:
    // A list of which some parts have come.
    struct partial_list
    {
        base::host_id m_host;
        rpc::store_instant m_read_at;
        std::map<std::uint32_t, std::vector<catalogue::endpoint_entry>> m_parts;
    };

    base::host_id m_self;
    endpoint_relay_options m_options;
    partial_list m_partial;
    std::vector<catalogue::endpoint_entry> m_endpoints;
    std::uint64_t m_digest = 0;
    rpc::store_instant m_read_at;
    std::optional<base::instant> m_asked;
};

} // namespace magnoliastack::fleet

#endif
