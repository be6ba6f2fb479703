// Limits of the streams between hosts.
#ifndef MAGNOLIASTACK_FORWARDING_STREAM_SETTINGS_HPP
#define MAGNOLIASTACK_FORWARDING_STREAM_SETTINGS_HPP

#include "absl/time/time.h"

#include <cstddef>

namespace magnoliastack::forwarding
{

// Limits of each stream; durations are measured by base::clock.
struct stream_settings
{
    // A stream that was not used for this long is closed by the host that
    // opened it. Opening one costs a round trip, keeping one a descriptor.
    absl::Duration m_idle_limit = absl::Seconds(30);
    // The host that accepted a stream closes it only after this, in case the
    // opener ended without a word. It exceeds m_idle_limit, so that an accepted
    // stream is never closed while a statement is on its way.
    absl::Duration m_accepted_idle_limit = absl::Seconds(60);
    // A ping is sent after this time without a byte while answers are awaited:
    // half of m_silence_limit, so that one late pong does no harm.
    absl::Duration m_ping_after = absl::Milliseconds(250);
    // A host that sends nothing for this long while answers are awaited is
    // taken for dead; it also bounds the opening of a stream.
    absl::Duration m_silence_limit = absl::Milliseconds(500);
    // The opener's hello leaves with the first packet, so a peer that has not
    // sent it by now is no host.
    absl::Duration m_hello_limit = absl::Seconds(2);
    // After a pause of the loop of this length, peers may have given up what
    // they sent. Below m_silence_limit, above several ticks of 50 ms.
    absl::Duration m_pause_limit = absl::Milliseconds(300);
    // Bytes that may wait to be written: a peer that reads too slowly would
    // cost memory without a bound. Room for three of the largest frames.
    std::size_t m_largest_backlog = std::size_t{4} << 20;
    // Connections that the kernel keeps until they are accepted: one of each
    // host of a large fleet, after all were restarted at once.
    int m_accept_backlog = 512;
};

} // namespace magnoliastack::forwarding

#endif
