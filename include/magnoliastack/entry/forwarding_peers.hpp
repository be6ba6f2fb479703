// The hosts that this host forwards statements to.
#ifndef MAGNOLIASTACK_ENTRY_FORWARDING_PEERS_HPP
#define MAGNOLIASTACK_ENTRY_FORWARDING_PEERS_HPP

#include "magnoliastack/base/time.hpp"
#include "magnoliastack/entry/connection_holders.hpp"
#include "magnoliastack/fleet/members.hpp"
#include "magnoliastack/logging/logging.hpp"
#include "magnoliastack/rpc/forwarding_link.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliastack::entry
{

// How long a holder that failed is not used.
struct peer_options
{
    // Its stream was lost.
    absl::Duration m_lost_pause = absl::Seconds(2);
    // It does not listen: an older version perhaps.
    absl::Duration m_refused_pause = absl::Seconds(10);
};

// A host that statements are sent to.
struct forwarding_peer
{
    base::host_id m_host;
    // `ip:port`.
    std::string m_address;
};

// Chooses a usable holder and counts the statements that await an answer from
// each.
class forwarding_peers
{
public:
    forwarding_peers(const connection_holders& holders,
                     const fleet::member_book& members,
                     rpc::forwarding_link* link, peer_options options = {});

    // The holder to ask next, or none: forwarding is off, this host is itself a
    // holder, or no holder is usable that has not refused.
    [[nodiscard]] std::optional<forwarding_peer>
    choose(const base::endpoint_id& endpoint,
           const base::organisation_id& organisation,
           const std::vector<base::host_id>& refused, base::instant now) const;

    // True when other hosts hold the endpoint's connections for this one.
    [[nodiscard]] bool is_forwarded(const base::endpoint_id& endpoint) const;

    void send(const forwarding_peer& to, rpc::forwarding_message message);
    // A statement was sent to the host, or has ended.
    void begin_awaiting(const base::host_id& host);
    void end_awaiting(const base::host_id& host);

    // The stream to the host was lost while something was sent on it.
    void lost(const base::host_id& host, bool refused, base::instant now);
    // That process of the host takes no new statements.
    void draining(const base::host_id& host, base::incarnation incarnation);

private:
    [[nodiscard]] bool is_usable(const base::host_id& host,
                                 const fleet::member& row,
                                 base::instant now) const;

    const connection_holders& m_holders;
    const fleet::member_book& m_members;
    rpc::forwarding_link* m_link;
    peer_options m_options;
    logging::logger m_log{"forwarding"};
    std::map<base::host_id, std::size_t> m_awaited;
    std::map<base::host_id, base::instant> m_unused_until;
    std::map<base::host_id, base::incarnation> m_draining;
};

} // namespace magnoliastack::entry

#endif
