// Includes the interface headers so that the linter and the compiler see them
// even before a library implements them.
#include "magnoliastack/rpc/endpoint_link.hpp"
#include "magnoliastack/rpc/peer_link.hpp"
#include "magnoliastack/rpc/platform_link.hpp"
