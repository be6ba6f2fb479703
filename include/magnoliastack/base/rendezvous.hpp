// Rendezvous hashing: every host comes to the same order of hosts for a key
// without asking another one, and a lost host changes nobody else's place.
#ifndef MAGNOLIASTACK_BASE_RENDEZVOUS_HPP
#define MAGNOLIASTACK_BASE_RENDEZVOUS_HPP

#include "magnoliastack/base/ids.hpp"

#include <cstdint>
#include <string_view>

namespace magnoliastack::base
{

// The host with the highest weight comes first for the key.
std::uint64_t rendezvous_weight(const host_id& host, std::string_view key);

} // namespace magnoliastack::base

#endif
