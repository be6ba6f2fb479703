// The two deployments of docs/design.md, section 1, as workload data.
#ifndef MAGNOLIASTACK_LOAD_PROFILE_HPP
#define MAGNOLIASTACK_LOAD_PROFILE_HPP

#include "absl/time/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliastack::load
{

// What a caller asks for.
enum class operation_kind
{
    // Two gets in a session: the caller's own key and one of a colleague.
    read,
    // One put that may be repeated.
    put,
    // Adds 1 to a counter; may not be repeated.
    add,
    // Begin, get, put and commit on a transaction stream.
    transaction,
};

inline constexpr std::size_t operation_kind_count = 4;

// The stable name of a kind, as in reports.
std::string to_string(operation_kind kind);

// One kind's part of the requests. Requests of one arrival start together.
struct mix_entry
{
    operation_kind m_kind = operation_kind::read;
    // Part of all requests; the parts of a profile sum to 1.
    double m_share = 0;
    // Requests of one arrival.
    std::uint32_t m_burst = 1;
};

struct organisation_share
{
    std::string m_name;
    // Part of the requests; the parts of a profile sum to 1.
    double m_share = 0;
};

// A deployment's callers, groups and network.
struct profile
{
    std::string m_name;
    std::vector<organisation_share> m_organisations;
    std::vector<std::string> m_groups;
    std::array<mix_entry, operation_kind_count> m_mix;
    std::vector<std::string> m_failure_domains;
    // Between a client and its proxy, one way.
    absl::Duration m_client_delay;
    // Requests a second of all organisations together.
    double m_rate = 0;
    std::uint32_t m_endpoint_slots = 0;
    std::uint32_t m_endpoint_connections = 0;
    // What a read accepts.
    absl::Duration m_staleness;
};

// `muscat` or `nordurljos`; null for another name.
const profile* find_profile(std::string_view name);

inline constexpr std::size_t endpoints_per_group = 3;

// What an operator configures for an organisation: twice the offered rate, and
// a burst that covers two seconds of it plus several bursts of settlements.
struct limits
{
    double m_rate = 0;
    std::uint64_t m_burst = 0;
};
limits limits_of(const profile& what, const organisation_share& who);

// The operators' inventory of a deployment whose endpoints listen on loopback
// from `first_port` on, group by group. `factor` multiplies the rates and
// bursts; a reconnect storm at the normal rates measures only the rates.
std::string inventory_text(const profile& what, std::uint32_t slots,
                           std::uint16_t first_port, double factor = 1);

} // namespace magnoliastack::load

#endif
