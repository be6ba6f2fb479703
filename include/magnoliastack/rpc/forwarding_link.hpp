// Statements that one host passes on to another one, which holds connections to
// the endpoint.
#ifndef MAGNOLIASTACK_RPC_FORWARDING_LINK_HPP
#define MAGNOLIASTACK_RPC_FORWARDING_LINK_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/rpc/opaque_statement.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace magnoliastack::rpc
{

// Number of a forwarded statement or transaction, unique for a sending process.
using forwarding_number = base::strong_number<struct forwarding_number_tag>;

// The transaction that a forwarded statement belongs to.
enum class forwarded_scope
{
    // The statement is an operation of its own.
    single,
    // It is the first one of a transaction, which is begun before it.
    first,
    first_read_only,
    // The transaction of the same number runs already.
    next,
};

// A statement to run at one endpoint.
struct forwarded_statement
{
    forwarding_number m_number;
    base::endpoint_id m_endpoint;
    // Start of the endpoint's process; another process holds other data.
    std::int64_t m_endpoint_started_unix_ms = 0;
    base::group_id m_group;
    base::organisation_id m_organisation;
    forwarded_scope m_scope = forwarded_scope::single;
    opaque_statement m_statement;
    bool m_writes = false;
    // The shape and kind of the prepared statement that is executed.
    std::string m_prepared_shape;
    bool m_prepared_writes = false;
    std::map<std::string, std::string> m_values;
    std::optional<base::log_point> m_after;
    // Priorities of the route and of the organisation; 0 goes first. The
    // organisation's is not set yet.
    std::uint32_t m_route_priority = 0;
    std::uint32_t m_organisation_priority = 0;
    // Time that is left for the statement when it is sent, and the time within
    // which it should have started.
    absl::Duration m_time_left;
    absl::Duration m_start_within;
};

// How a forwarded statement ended.
struct forwarded_answer
{
    forwarding_number m_number;
    // Nothing of the statement was sent to the endpoint.
    bool m_not_sent = false;
    std::optional<statement_error> m_error;
    std::string m_error_text;
    std::vector<std::string> m_rows;
    std::optional<std::string> m_signature;
    transaction_state m_state = transaction_state::idle;
    std::optional<base::log_point> m_position;
};

// Ends a transaction without a commit.
struct forwarded_roll_back
{
    forwarding_number m_number;
};

// Nobody waits for the statement or the transaction any more.
struct forwarded_forget
{
    forwarding_number m_number;
};

// The transaction's connection was lost while no statement ran.
struct forwarded_transaction_lost
{
    forwarding_number m_number;
};

// The sender takes no new statements and ends soon.
struct forwarding_draining
{
};

using forwarding_message =
    std::variant<forwarded_statement, forwarded_answer, forwarded_roll_back,
                 forwarded_forget, forwarded_transaction_lost,
                 forwarding_draining>;

// Receives what comes from other hosts, on the event loop and never from within
// a call of the link.
class forwarding_events
{
public:
    virtual ~forwarding_events() = default;

    // A message of that process of the host.
    virtual void message_received(const base::host_id& from,
                                  base::incarnation incarnation,
                                  forwarding_message message) = 0;
    // The stream with the host has ended or could not be opened; nothing that
    // was sent on it is answered any more. `refused` is true when the host does
    // not listen.
    virtual void stream_lost(const base::host_id& host, bool refused) = 0;
    // The stream that the host has opened has ended; its open transactions are
    // to be rolled back. What this host sent to it is not affected.
    virtual void incoming_stream_lost(const base::host_id& host)
    {
        stream_lost(host, false);
    }
    // The stream to the host was closed because it had not been used for long;
    // open transactions on it are lost. By default treated like `stream_lost`:
    // with open transactions the host is not used for a short time.
    virtual void idle_stream_closed(const base::host_id& host)
    {
        stream_lost(host, false);
    }
};

// Passes messages to other hosts in order, on one stream for each host, which
// is opened on demand. Two hosts that send to each other use one stream in each
// direction; an answer goes back on the stream that its statement came on.
class forwarding_link
{
public:
    virtual ~forwarding_link() = default;

    // Sends a statement or a message that follows one; `address` is `ip:port`.
    virtual void send(const base::host_id& to, const std::string& address,
                      forwarding_message message) = 0;
    // Sends to the host on the stream that it has opened; without one nothing
    // is sent.
    virtual void reply(const base::host_id& to, forwarding_message message) = 0;
    // Closes the streams with the host; no event follows.
    virtual void close(const base::host_id& host) = 0;
    // Closes all streams that other hosts have opened, unread.
    virtual void close_incoming() = 0;
    // While true, answers are awaited from the host, so its silence counts.
    virtual void set_awaiting(const base::host_id& host, bool awaiting) = 0;
    // True when all that was sent has been written to the sockets; a planned
    // stop waits for it.
    [[nodiscard]] virtual bool is_flushed() const
    {
        return true;
    }
};

} // namespace magnoliastack::rpc

#endif
