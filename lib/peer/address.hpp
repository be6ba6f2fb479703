// Network addresses of peers.
#ifndef MAGNOLIASTACK_LIB_PEER_ADDRESS_HPP
#define MAGNOLIASTACK_LIB_PEER_ADDRESS_HPP

#include "magnoliastack/base/error.hpp"

#include <kj/async-io.h>

#include <string>

namespace magnoliastack::peer
{

// Reads `192.0.2.1:4000` or `[2001:db8::1]:4000`. Names are refused, because
// resolving one blocks, and so are paths of local sockets, because addresses
// come from other hosts.
base::result<kj::Own<kj::NetworkAddress>>
parse_address(kj::Network& network, const std::string& text);

} // namespace magnoliastack::peer

#endif
