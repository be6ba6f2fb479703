// Frames of the streams between hosts as bytes.
#ifndef MAGNOLIASTACK_FORWARDING_CODEC_HPP
#define MAGNOLIASTACK_FORWARDING_CODEC_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/rpc/forwarding_link.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace magnoliastack::forwarding
{

// Bytes of the length that precedes each frame.
constexpr std::size_t length_bytes = 4;
// Largest frame without its length: the largest statement has 1 MiB, the rest
// is for its names, values and numbers.
constexpr std::size_t largest_frame = (1U << 20) + (64U << 10);

// The first frame of each direction of a stream.
struct hello
{
    // The host that the sender means; its address may have passed to another.
    base::host_id m_to;
    base::host_id m_from;
    base::incarnation m_incarnation;
};

// Asks for a pong.
struct ping
{
};

// The response to a ping.
struct pong
{
};

using frame = std::variant<hello, ping, pong, rpc::forwarding_message>;

// The frame with its length before it; `invalid_argument` when it is larger
// than the limit.
base::result<std::string> encode(const frame& what);

// The length of the frame that starts with these bytes, which are at least
// `length_bytes`; it may exceed the limit.
std::size_t frame_length(std::string_view bytes);

// The frame of these bytes, which are without the length; `corrupt` when they
// hold none.
base::result<frame> decode(std::string_view bytes);

} // namespace magnoliastack::forwarding

#endif
