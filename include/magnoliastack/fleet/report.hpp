// What a host tells the others.
#ifndef MAGNOLIASTACK_FLEET_REPORT_HPP
#define MAGNOLIASTACK_FLEET_REPORT_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/catalogue/endpoint_entry.hpp"
#include "magnoliastack/fleet/evacuations.hpp"
#include "magnoliastack/fleet/rows.hpp"
#include "magnoliastack/quota/demand_table.hpp"
#include "magnoliastack/rpc/fleet_store.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace magnoliastack::fleet
{

// One group as a host sees it.
struct group_report
{
    base::group_id m_group;
    // The newest replacement of the primary after which this host uses the
    // one before no more.
    std::uint64_t m_stopped_generation = 0;
    // Empty when the host relies on none.
    base::endpoint_id m_primary;
    // Covers all commits acknowledged before m_covered_at.
    base::log_point m_covered;
    rpc::store_instant m_covered_at;
    // Zero when the primary answers.
    absl::Duration m_unreachable;
    // The leadership row with its version, while it is new, for hosts that do
    // not follow the store or cannot reach it.
    rpc::row_version m_row_version;
    std::optional<leadership_row> m_row;
};

// One report; the next one replaces it.
struct host_report
{
    base::host_id m_host;
    base::incarnation m_incarnation;
    std::uint64_t m_number = 0;
    bool m_leaving = false;
    bool m_store_reachable = false;
    base::configuration_version m_configuration;
    // Era of the store that all versions of the report are of.
    rpc::store_era m_era;
    // The host was there before the era, and the store has all that it knew.
    bool m_recovered = false;
    // 0 while the host may lack rows that the store has lost.
    rpc::store_instant m_confirmed_at;
    // Highest version of a member's row that the host knows, with all before.
    rpc::row_version m_members_version;
    // Endpoints as the host has read them last, and when it did.
    std::uint64_t m_endpoints_digest = 0;
    rpc::store_instant m_endpoints_read_at;
    // Highest version of a leadership row that the host knows, with all before,
    // and the version after which all of these rows are in m_groups.
    rpc::row_version m_leaderships_version;
    rpc::row_version m_leaderships_after;
    quota::demand_report m_demand;
    evacuation_set m_evacuations;
    // A time of the store at which the configuration and the evacuations above
    // were the newest ones; 0 when none is known.
    rpc::store_instant m_operator_confirmed_at;
    // Groups of which the host has news; the primaries of the others answer it,
    // or it has not asked them.
    std::vector<group_report> m_groups;
};

// Rows of members, passed on to a host that has told that it lacks them.
struct member_update
{
    struct item
    {
        member_row m_row;
        rpc::row_version m_version;
    };

    // Era of the store that all versions are of.
    rpc::store_era m_era;
    // The rows follow this version, and all up to m_complete are among them.
    rpc::row_version m_after;
    rpc::row_version m_complete;
    // The oldest first.
    std::vector<item> m_rows;
};

// Tokens of an organisation's rate on their way between two hosts.
struct token_transfer
{
    // The sender.
    base::host_id m_host;
    base::incarnation m_incarnation;
    base::organisation_id m_organisation;
    std::uint32_t m_amount = 0;
};
// The sender has run out and asks for tokens.
struct token_request
{
    token_transfer m_tokens;
};
// The sender got the tokens from the receiver and did not use them.
struct token_return
{
    token_transfer m_tokens;
};
// The sender has taken the tokens out of its own.
struct token_grant
{
    token_transfer m_tokens;
};

// The sender asks for the endpoints that the receiver has read.
struct endpoint_request
{
    base::host_id m_host;
};

// A part of the endpoints as the store had them at that time.
struct endpoint_update
{
    // The sender.
    base::host_id m_host;
    rpc::store_instant m_read_at;
    // Counted from 0, and how many parts there are.
    std::uint32_t m_part = 0;
    std::uint32_t m_parts = 1;
    std::vector<catalogue::endpoint_entry> m_endpoints;
};

// The sender asks for the configuration that the receiver has in force.
struct configuration_request
{
    base::host_id m_host;
};

// A configuration, passed on.
struct configuration_update
{
    rpc::configuration_ptr m_configuration;
};

// Part of an encoded configuration_update that is too large for one datagram.
struct configuration_part
{
    base::host_id m_host;
    base::configuration_version m_version;
    // Which part it is, counted from 0, and how many there are.
    std::uint32_t m_part = 0;
    std::uint32_t m_parts = 0;
    std::string m_bytes;
};

using datagram =
    std::variant<host_report, token_request, token_grant, member_update,
                 endpoint_request, endpoint_update, configuration_request,
                 configuration_update, token_return, configuration_part>;

std::string encode(const datagram& what);
// `corrupt` when the bytes are no datagram.
base::result<datagram> decode(std::string_view bytes);
// The same for what came in parts and may be larger than a datagram.
base::result<datagram> decode_joined(std::string_view bytes);

} // namespace magnoliastack::fleet

#endif
