// What operators can ask of a proxy.
#ifndef MAGNOLIASTACK_PROXY_OPERATOR_SERVICE_HPP
#define MAGNOLIASTACK_PROXY_OPERATOR_SERVICE_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/rpc/endpoint_link.hpp"
#include "magnoliastack/rpc/peer_link.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace magnoliastack::proxy
{

// Names a change: the id makes a repeat idempotent, the author is told to the
// losers of a race.
struct change_label
{
    std::string m_change_id;
    std::string m_author;
};

// A new inventory.
struct apply_request
{
    std::string m_inventory;
    base::configuration_version m_based_on;
    change_label m_label;
};

// How a change stands; the values match the public enum.
enum class change_standing
{
    accepted = 1,
    stored_pending = 2,
    conflict = 3,
    invalid = 4,
    unknown = 5,
};

// Outcome of a change.
struct change_report
{
    change_standing m_standing = change_standing::unknown;
    base::configuration_version m_version;
    std::vector<base::host_id> m_pending;
    std::string m_winner;
    std::vector<std::string> m_errors;
};

// A change that issued a key; the text is shown once and stored nowhere.
struct issued_key_report
{
    change_report m_change;
    std::string m_key_text;
};

// The configuration in force, without secrets.
struct shown_configuration
{
    base::configuration_version m_version;
    std::string m_hash;
    std::string m_inventory;
    std::vector<std::pair<base::key_id, base::organisation_id>> m_keys;
};

// One endpoint as a host sees it.
struct endpoint_view
{
    rpc::endpoint_status m_status;
    base::endpoint_id m_endpoint;
    bool m_reachable = false;
    bool m_leaving = false;
    std::size_t m_connections = 0;
};

// One group as a host sees it.
struct group_status
{
    base::group_id m_group;
    base::term m_term;
    base::endpoint_id m_primary;
    base::log_position m_committed;
    std::vector<endpoint_view> m_endpoints;
};

// What a host knows.
struct host_status
{
    base::host_id m_host;
    base::failure_domain_id m_failure_domain;
    // serving, unconfirmed, unconfigured or draining.
    std::string m_state;
    base::configuration_version m_version;
    absl::Duration m_confirmed_age;
    bool m_store_reachable = false;
    std::vector<rpc::member_entry> m_members;
    std::vector<group_status> m_groups;
};

// Serves operators. Calls come from any thread and return at once; `done` is
// called once, on the event loop.
class operator_service
{
public:
    virtual ~operator_service() = default;

    virtual void apply(apply_request request,
                       std::function<void(change_report)> done) = 0;
    virtual void change_status(base::configuration_version version,
                               std::function<void(change_report)> done) = 0;
    virtual void show(std::function<void(shown_configuration)> done) = 0;
    virtual void issue_key(base::organisation_id organisation,
                           change_label label,
                           std::function<void(issued_key_report)> done) = 0;
    virtual void withdraw_key(base::key_id key, change_label label,
                              std::function<void(change_report)> done) = 0;
    virtual void status(std::function<void(host_status)> done) = 0;
    virtual void start_drain(std::function<void()> done) = 0;
};

} // namespace magnoliastack::proxy

#endif
