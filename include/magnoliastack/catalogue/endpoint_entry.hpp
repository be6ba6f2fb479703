// What an endpoint publishes about itself.
#ifndef MAGNOLIASTACK_CATALOGUE_ENDPOINT_ENTRY_HPP
#define MAGNOLIASTACK_CATALOGUE_ENDPOINT_ENTRY_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/ids.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace magnoliastack::catalogue
{

// One endpoint's entry in the directory.
struct endpoint_entry
{
    base::endpoint_id m_id;
    base::group_id m_group;
    std::string m_address;
    base::failure_domain_id m_failure_domain;
    // Statements that it runs at once.
    std::uint32_t m_slots = 0;
    // It is about to stop and takes no new work.
    bool m_leaving = false;
    // Its own view of its role.
    bool m_primary = false;
    // Start of its process, in milliseconds since the Unix epoch. An endpoint
    // that restarts keeps its id and forgets everything else.
    std::int64_t m_started_unix_ms = 0;
    // How much longer it stays slow after its start, as of its last change.
    absl::Duration m_cold_left;

    bool operator==(const endpoint_entry&) const = default;
};

// Longest id or name of an entry, in bytes, as the platform's store limits its
// keys. Longer ones would not fit into a datagram between hosts either.
inline constexpr std::size_t largest_entry_name = 200;

// Longest time that an entry may say its endpoint stays slow; hosts tell it to
// each other as 32 bits of milliseconds.
inline constexpr absl::Duration largest_cold_time = absl::Hours(24 * 30);

// Checks what an entry says, whoever wrote it or passed it on: names have to be
// single words of the protocol and numbers in their ranges. The error says
// which field is wrong.
base::result<bool> check(const endpoint_entry& entry);

// Hash of all entries, the same at every host for the same entries in the same
// order.
std::uint64_t digest(const std::vector<endpoint_entry>& entries);

} // namespace magnoliastack::catalogue

#endif
