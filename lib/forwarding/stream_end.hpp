// Why a stream between hosts was closed.
#ifndef MAGNOLIASTACK_FORWARDING_STREAM_END_HPP
#define MAGNOLIASTACK_FORWARDING_STREAM_END_HPP

namespace magnoliastack::forwarding
{

// Each has a counter `forwarding.closed.NAME`.
enum class stream_end
{
    // The peer or the network ended it.
    connection,
    // The host does not listen.
    refused,
    // The peer's address cannot be parsed.
    address,
    frame_too_large,
    frame_unreadable,
    // The first frame was no hello.
    hello_missing,
    // The hello names other hosts, comes twice or from an older process.
    hello_rejected,
    // A message that only the other side of a stream may send.
    wrong_direction,
    // Too many bytes waited to be written.
    backlog,
    // Nothing came while answers were awaited, or the connection or the hello
    // took too long.
    silence,
    // It was not used for some time.
    idle,
    // This host was paused.
    paused,
    // The peer has opened another stream or runs as a new process.
    replaced,
};

// The name of a reason in logs and counters.
const char* to_string(stream_end reason);

} // namespace magnoliastack::forwarding

#endif
