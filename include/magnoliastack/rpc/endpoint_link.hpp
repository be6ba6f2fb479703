// Abstract interface to database endpoints: connections, monitoring, seal and
// promote. The gRPC client stands behind it; tests use mocks.
#ifndef MAGNOLIASTACK_RPC_ENDPOINT_LINK_HPP
#define MAGNOLIASTACK_RPC_ENDPOINT_LINK_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/ids.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace magnoliastack::rpc
{

// The value of one key.
struct get_statement
{
    std::string m_key;
};

// Up to m_limit rows whose keys start with m_prefix; 0 means 1000.
struct scan_statement
{
    std::string m_prefix;
    std::uint32_t m_limit = 0;
};

// Sets the value of one key.
struct put_statement
{
    std::string m_key;
    std::string m_value;
};

// Adds to a number; a missing key counts as 0.
struct add_statement
{
    std::string m_key;
    std::int64_t m_amount = 0;
};

// Removes one key.
struct delete_statement
{
    std::string m_key;
};

using statement = std::variant<get_statement, scan_statement, put_statement,
                               add_statement, delete_statement>;

// True for the statements that change data.
inline bool is_write(const statement& item)
{
    return item.index() >= 2;
}

// One row of an answer.
struct row
{
    std::string m_key;
    std::string m_value;

    bool operator==(const row&) const = default;
};

// Runs statements as one transaction. A write carries a request id and runs
// only at the primary of the expected term.
struct execute_call
{
    std::vector<statement> m_statements;
    bool m_write = false;
    base::request_id m_request_id;
    base::attempt_number m_attempt;
    base::term m_expected_term;
};

// Opens a transaction on the connection.
struct begin_call
{
    base::term m_expected_term;
};

// Runs one statement of the open transaction.
struct statement_call
{
    statement m_statement;
};

// Commits the open transaction under a request id.
struct commit_call
{
    base::request_id m_request_id;
    base::attempt_number m_attempt;
    base::term m_expected_term;
};

// Rolls the open transaction back.
struct rollback_call
{
};

// Asks for a request's recorded outcome; with m_fence, attempts up to
// m_attempt are refused from then on if none is recorded.
struct probe_call
{
    base::request_id m_request_id;
    base::attempt_number m_attempt;
    bool m_fence = false;
    base::term m_expected_term;
};

// Shows that the connection is alive.
struct ping_call
{
};

using call = std::variant<execute_call, begin_call, statement_call, commit_call,
                          rollback_call, probe_call, ping_call>;

// How a call ended at the endpoint; the values match the public enum.
enum class call_outcome
{
    unspecified = 0,
    done = 1,
    wrong_term = 2,
    fenced = 3,
    record_expired = 4,
    failed = 5,
    not_found = 6,
    leaving = 7,
};

// End of a call's answer. Nothing of it may be told to a caller before m_point
// is committed.
struct call_end
{
    call_outcome m_outcome = call_outcome::unspecified;
    std::uint64_t m_row_count = 0;
    base::log_point m_point;
    bool m_repeated = false;
    std::string m_detail;
};

// One part of an answer; the last part has an end.
struct call_part
{
    base::call_id m_call;
    std::vector<row> m_rows;
    std::optional<call_end> m_end;
};

// What an endpoint is to its group; the values match the public enum.
enum class endpoint_role
{
    unspecified = 0,
    primary = 1,
    replica = 2,
    sealed = 3,
};

// State of an endpoint as it reported it.
struct endpoint_status
{
    base::endpoint_id m_endpoint;
    base::group_id m_group;
    endpoint_role m_role = endpoint_role::unspecified;
    base::term m_accepted_term;
    base::term m_sealed_term;
    base::host_id m_sealed_by;
    base::log_point m_held;
    base::log_position m_applied;
    base::log_position m_term_start;
    std::uint32_t m_queue_length = 0;
    std::uint32_t m_slots = 0;
    std::uint32_t m_connections = 0;
    std::uint32_t m_connection_limit = 0;
    bool m_leaving = false;
    absl::Duration m_primary_contact_age;
};

// Receives what happens on connections. Called from threads of the client;
// implementations post to the event loop.
class connection_listener
{
public:
    virtual ~connection_listener() = default;

    // The endpoint has accepted the connection.
    virtual void connection_ready(base::connection_generation generation) = 0;

    // A part of an answer arrived.
    virtual void call_answered(base::connection_generation generation,
                               call_part part) = 0;

    // The connection is gone; the last event of its generation. The code tells
    // a refusal (unavailable: limit reached) from a loss.
    virtual void connection_closed(base::connection_generation generation,
                                   base::error reason) = 0;
};

// One database connection. Destruction closes it.
class endpoint_connection
{
public:
    virtual ~endpoint_connection() = default;

    // Sends a call; the answer arrives at the listener.
    virtual void send(base::call_id id, const call& what) = 0;
};

// Receives statuses of one endpoint, from threads of the client.
class monitor_listener
{
public:
    virtual ~monitor_listener() = default;

    // A status; m_round is the newest round that the endpoint had received.
    virtual void status_received(base::endpoint_id endpoint,
                                 base::round_number round,
                                 endpoint_status status) = 0;

    // The monitor stream broke. The client opens a new one by itself, at once
    // for the first time and then every 100 ms.
    virtual void monitor_lost(base::endpoint_id endpoint) = 0;
};

// Monitors one endpoint. Destruction ends it.
class endpoint_monitor
{
public:
    virtual ~endpoint_monitor() = default;

    // Asks for a status.
    virtual void send_round(base::round_number round) = 0;
};

// Outcome of a seal or promote; the flag tells whether it took effect.
struct control_answer
{
    bool m_taken = false;
    endpoint_status m_status;
};

using control_callback =
    std::function<void(base::endpoint_id, base::result<control_answer>)>;

// Reaches the endpoints. Callbacks come from threads of the client.
class endpoint_link
{
public:
    virtual ~endpoint_link() = default;

    // Opens a database connection over a transport connection of its own, so
    // that a silent one does not take others with it.
    virtual std::unique_ptr<endpoint_connection>
    connect(const base::endpoint_id& endpoint, const std::string& address,
            base::connection_generation generation,
            connection_listener& listener) = 0;

    // Starts to monitor an endpoint.
    virtual std::unique_ptr<endpoint_monitor>
    monitor(const base::endpoint_id& endpoint, const std::string& address,
            monitor_listener& listener) = 0;

    // Asks an endpoint to take nothing from a term below `target`.
    virtual void seal(const base::endpoint_id& endpoint,
                      const std::string& address, base::term target,
                      const base::host_id& promoter, absl::Duration timeout,
                      control_callback done) = 0;

    // Asks a sealed endpoint to become primary of `target`.
    virtual void promote(const base::endpoint_id& endpoint,
                         const std::string& address, base::term target,
                         const base::host_id& promoter, absl::Duration timeout,
                         control_callback done) = 0;
};

} // namespace magnoliastack::rpc

#endif
