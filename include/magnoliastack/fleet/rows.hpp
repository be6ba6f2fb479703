// The rows that the fleet keeps in the platform's store.
#ifndef MAGNOLIASTACK_FLEET_ROWS_HPP
#define MAGNOLIASTACK_FLEET_ROWS_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/rpc/fleet_store.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliastack::fleet
{

// A host's process. It writes the row at its start, and others mark it when
// the host is silent.
struct member_row
{
    base::host_id m_host;
    base::incarnation m_incarnation;
    // `ip:port` for datagrams of other hosts.
    std::string m_address;
    base::failure_domain_id m_failure_domain;
    // Since when its host has been a member, restarts included: a time of the
    // store after which every host either knows that or relies on no row.
    rpc::store_instant m_member_since;
    // Its host relies on no row until it has written the row anew. The time
    // is the store's at the marking.
    std::optional<rpc::store_instant> m_out_since;
};

// Whether a group has a primary.
enum class leadership_phase
{
    // The primary may be used.
    serving,
    // The primary is being replaced; nobody may use it.
    moving,
};

// Who leads a group. Without a row the endpoint that calls itself primary
// leads: nothing has been promoted yet.
struct leadership_row
{
    base::group_id m_group;
    // Counts the replacements.
    std::uint64_t m_generation = 0;
    leadership_phase m_phase = leadership_phase::serving;
    // The primary, or while it is moving the one that is replaced.
    base::endpoint_id m_primary;
    // Term of the primary, while it serves.
    base::term m_term;
    // Host that replaces it.
    base::host_id m_holder;
};

// The one host that may ask the platform for promotions.
struct duty_row
{
    base::host_id m_holder;
    base::incarnation m_incarnation;
    // Grows with each change of the holder.
    std::uint64_t m_token = 0;
    // The store's time at which the holder's right ends.
    rpc::store_instant m_until;
};

// The era of the store that the fleet's rows are of. Every change of rows
// expects this one, so a change that was asked for before a return is not
// carried out after it, even when its other rows have the expected versions by
// chance.
struct era_row
{
    rpc::store_era m_era;
    // A time of the store after the era's beginning; 0 when there was no row of
    // the fleet before.
    rpc::store_instant m_since;
};

// The number that follows `last` in this era. Tokens and generations are
// counted from a row that may have gone back; each era has numbers of its own,
// so that one that was used is never given out again.
std::uint64_t next_number(std::uint64_t last, rpc::store_era era);

std::string member_key(const base::host_id& host);
bool is_member_key(std::string_view key);
std::string leadership_key(const base::group_id& group);
inline const std::string duty_key = "duty";
inline const std::string era_key = "era";

std::string encode(const member_row& row);
std::string encode(const leadership_row& row);
std::string encode(const duty_row& row);
std::string encode(const era_row& row);

// Each is none when the row is of another kind, and `corrupt` when it cannot
// be read.
base::result<std::optional<member_row>>
decode_member(const rpc::fleet_row& row);
base::result<std::optional<leadership_row>>
decode_leadership(const rpc::fleet_row& row);
base::result<std::optional<duty_row>> decode_duty(const rpc::fleet_row& row);
base::result<std::optional<era_row>> decode_era(const rpc::fleet_row& row);

} // namespace magnoliastack::fleet

#endif
