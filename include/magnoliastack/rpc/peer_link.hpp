// Abstract interface between proxies: gossip, loans, configuration.
#ifndef MAGNOLIASTACK_RPC_PEER_LINK_HPP
#define MAGNOLIASTACK_RPC_PEER_LINK_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/ids.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace magnoliastack::rpc
{

// What a host has seen of one group.
struct group_observation
{
    base::group_id m_group;
    base::term m_term;
    base::endpoint_id m_primary;
    bool m_primary_unreachable = false;
    bool m_majority_reachable = false;
    absl::Duration m_unreachable_for;

    bool operator==(const group_observation&) const = default;
};

// A slot that a host holds and the epoch of its claim.
struct slot_holding
{
    base::slot_index m_slot;
    base::slot_epoch m_epoch;

    bool operator==(const slot_holding&) const = default;
};

// State of a fleet member; the values match the wire.
enum class member_state
{
    alive = 0,
    suspect = 1,
    dead = 2,
    leaving = 3,
};

// One member's entry in the gossip.
struct member_entry
{
    base::host_id m_host;
    base::incarnation m_incarnation;
    std::uint64_t m_heartbeat = 0;
    base::failure_domain_id m_failure_domain;
    std::string m_peer_address;
    member_state m_state = member_state::alive;
    base::configuration_version m_configuration_version;
    bool m_store_reachable = false;
    std::vector<group_observation> m_groups;
    std::vector<slot_holding> m_slots;
    std::vector<base::endpoint_id> m_leaving_endpoints;
    // Version of the row `slots` that the member has seen.
    std::uint64_t m_slots_version = 0;

    bool operator==(const member_entry&) const = default;
};

// A gossip message, in both directions.
struct exchange_message
{
    base::host_id m_sender;
    base::incarnation m_incarnation;
    base::configuration_version m_configuration_version;
    std::uint64_t m_slots_version = 0;
    std::vector<member_entry> m_entries;
};

// Asks a peer to lend a part of a resource.
struct borrow_request
{
    base::host_id m_borrower;
    base::incarnation m_incarnation;
    // "org/<organisation>" or "endpoint/<endpoint>".
    std::string m_resource;
    // Millionths of a rate, or connections of an endpoint.
    std::uint64_t m_amount = 0;
};

// What was lent; an amount of 0 means nothing. The length counts from the
// borrower's send time.
struct borrow_response
{
    base::loan_id m_loan;
    std::uint64_t m_amount = 0;
    absl::Duration m_length;
};

// Ends a loan early.
struct give_back
{
    base::host_id m_borrower;
    base::loan_id m_loan;
    std::string m_resource;
};

// A configuration as a peer passes it on.
struct configuration_object
{
    base::configuration_version m_version;
    std::string m_hash;
    std::string m_change_id;
    std::string m_author;
    std::string m_content;
};

// Calls other proxies. Callbacks come once each, from threads of the client.
class peer_link
{
public:
    virtual ~peer_link() = default;

    virtual void
    exchange(const std::string& address, const exchange_message& message,
             absl::Duration timeout,
             std::function<void(base::result<exchange_message>)> done) = 0;

    virtual void
    borrow(const std::string& address, const borrow_request& request,
           absl::Duration timeout,
           std::function<void(base::result<borrow_response>)> done) = 0;

    virtual void
    give_back_loan(const std::string& address, const give_back& message,
                   absl::Duration timeout,
                   std::function<void(base::result<bool>)> done) = 0;

    virtual void fetch_configuration(
        const std::string& address, base::configuration_version minimum_version,
        absl::Duration timeout,
        std::function<void(base::result<configuration_object>)> done) = 0;
};

// Answers the calls of other proxies. `reply` may be called later, once, from
// any thread.
class peer_service
{
public:
    virtual ~peer_service() = default;

    virtual void
    handle_exchange(exchange_message message,
                    std::function<void(exchange_message)> reply) = 0;

    virtual void handle_borrow(borrow_request request,
                               std::function<void(borrow_response)> reply) = 0;

    virtual void handle_give_back(give_back message) = 0;

    // Replies with an error when the host has no such version.
    virtual void handle_fetch_configuration(
        base::configuration_version minimum_version,
        std::function<void(base::result<configuration_object>)> reply) = 0;
};

} // namespace magnoliastack::rpc

#endif
