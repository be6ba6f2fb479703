// Texts of datagrams.
#ifndef MAGNOLIASTACK_FLEET_WIRE_TEXT_HPP
#define MAGNOLIASTACK_FLEET_WIRE_TEXT_HPP

#include <capnp/blob.h>

#include <string>

namespace magnoliastack::fleet
{

// The text with any bytes in it, also zeros.
inline std::string text(capnp::Text::Reader value)
{
    return {value.cStr(), value.size()};
}

} // namespace magnoliastack::fleet

#endif
