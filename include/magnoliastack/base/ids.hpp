// Identifiers and counters that every library shares.
#ifndef MAGNOLIASTACK_BASE_IDS_HPP
#define MAGNOLIASTACK_BASE_IDS_HPP

#include "magnoliastack/base/strong_type.hpp"

#include <array>
#include <compare>
#include <cstdint>

namespace magnoliastack::base
{

using host_id = strong_name<struct host_tag>;
using failure_domain_id = strong_name<struct failure_domain_tag>;
// A group of failure domains that lie close to each other.
using region_id = strong_name<struct region_tag>;
using organisation_id = strong_name<struct organisation_tag>;
using endpoint_id = strong_name<struct endpoint_tag>;
using group_id = strong_name<struct group_tag>;
using route_id = strong_name<struct route_tag>;
using caller_id = strong_name<struct caller_tag>;
using key_id = strong_name<struct key_tag>;

// Number of a primary's reign in a group; 0 means none yet.
using term = strong_number<struct term_tag>;
// Position of an entry in a group's log, from 1; 0 is the empty log.
using log_position = strong_number<struct log_position_tag>;
// Start count of a host's process; a higher one replaces a lower one.
using incarnation = strong_number<struct incarnation_tag>;
// Version of the fleet's configuration, from 1; 0 means none.
using configuration_version = strong_number<struct configuration_version_tag>;
// Index of a share slot, from 0.
using slot_index = strong_number<struct slot_tag>;
// Number of ownership changes of a slot.
using slot_epoch = strong_number<struct slot_epoch_tag>;
// Number of a call on one connection, from 1.
using call_id = strong_number<struct call_tag>;
// Number of a connection among all that this process has opened, from 1.
using connection_generation = strong_number<struct connection_tag>;
// Number of a monitor round, from 1.
using round_number = strong_number<struct round_tag>;
// Number of a try to run one request, from 0.
using attempt_number = strong_number<struct attempt_tag>;
// Identifies a loan of shares at its giver.
using loan_id = strong_number<struct loan_tag>;

// Identifies a caller's request for ever: 128 random bits chosen by the caller
// and the caller's issue time in milliseconds since the Unix epoch. The time
// lets an endpoint tell an id that it has never seen from one whose record it
// has evicted.
struct request_id
{
    std::uint64_t m_high = 0;
    std::uint64_t m_low = 0;
    std::int64_t m_issued_unix_ms = 0;

    auto operator<=>(const request_id&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const request_id& id)
    {
        return Hash::combine(std::move(state), id.m_high, id.m_low);
    }
};

// Place in a group's history. An acknowledged write is found at its position
// in the log of its own term and of every later term.
struct log_point
{
    term m_term;
    log_position m_position;

    auto operator<=>(const log_point&) const = default;
};

} // namespace magnoliastack::base

#endif
