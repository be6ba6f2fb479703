// Passes rows of members on to hosts that lack them.
#ifndef MAGNOLIASTACK_FLEET_MEMBER_RELAY_HPP
#define MAGNOLIASTACK_FLEET_MEMBER_RELAY_HPP

#include "magnoliastack/fleet/members.hpp"
#include "magnoliastack/fleet/report.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <optional>

namespace magnoliastack::fleet
{

// How much is passed on.
struct relay_options
{
    // Rows of one datagram of 64 KB at most. All hosts of a fleet that restarts
    // change their rows at once, and a host that lacks some for longer than a
    // lease may give out no tokens.
    std::size_t m_largest_update = 600;
    // Time between two updates to the same host; its next report tells what it
    // has taken.
    absl::Duration m_interval = absl::Milliseconds(400);
};

// A host tells in its reports which rows it knows. A host that does not follow
// the store, or cannot reach it, learns the others from its peers.
class member_relay
{
public:
    explicit member_relay(relay_options options = {});

    // The rows that `to` lacks by its last report, or none when it lacks none
    // or was told lately.
    std::optional<member_update> next(const member_book& members,
                                      const member& to, base::instant now);

private:
    relay_options m_options;
    std::map<base::host_id, base::instant> m_last_sent;
};

} // namespace magnoliastack::fleet

#endif
