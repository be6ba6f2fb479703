// Interfaces between the decisions and the callers' and endpoints' streams.
#ifndef MAGNOLIASTACK_RPC_SESSION_LINK_HPP
#define MAGNOLIASTACK_RPC_SESSION_LINK_HPP

#include "magnoliastack/rpc/opaque_statement.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace magnoliastack::rpc
{

// Number of a caller's session among all that this process has served.
using session_number = base::strong_number<struct session_tag>;

// Answers callers. Calls for a session that has ended do nothing.
class session_link
{
public:
    virtual ~session_link() = default;

    virtual void row(session_number session, std::string_view row) = 0;
    // The signature is empty when the proxy itself answers.
    virtual void done(session_number session, std::string_view signature) = 0;
    virtual void failed(session_number session, statement_error error,
                        std::string_view text) = 0;
    // Ends the answer to one statement.
    virtual void ready(session_number session, transaction_state state) = 0;
    // Sends what is waiting and closes.
    virtual void close(session_number session) = 0;
    // Closes a session that is between operations. Statements that have arrived
    // and were not read are refused as busy: they have not run.
    virtual void close_between_operations(session_number session) = 0;
    // True while the output of a closed session is not sent completely.
    [[nodiscard]] virtual bool has_output() const = 0;
};

// Receives what callers do.
class session_events
{
public:
    virtual ~session_events() = default;

    virtual void session_started(session_number session,
                                 const std::string& database,
                                 const std::string& key) = 0;
    virtual void statement_received(session_number session,
                                    opaque_statement what) = 0;
    virtual void session_closed(session_number session) = 0;
};

// Where a connection to an endpoint leads and for whom.
struct connection_target
{
    std::string m_address;
    base::group_id m_group;
    base::organisation_id m_organisation;
    base::endpoint_id m_endpoint;
};

// Opens and uses connections to endpoints. Answers come to
// statement_events, never from within a call.
class statement_link
{
public:
    virtual ~statement_link() = default;

    virtual void open(base::connection_generation connection,
                      const connection_target& target) = 0;
    virtual void send(base::connection_generation connection,
                      const endpoint_request& request) = 0;
    // No event of the connection comes after this.
    virtual void close(base::connection_generation connection) = 0;
};

// Receives what endpoints answer. Each request ends with `ready`.
class statement_events
{
public:
    virtual ~statement_events() = default;

    // The first `ready` of the connection.
    virtual void opened(base::connection_generation connection,
                        std::optional<base::log_point> position) = 0;
    // The endpoint refused the connection and closed it.
    virtual void rejected(base::connection_generation connection,
                          statement_error error) = 0;
    virtual void row_received(base::connection_generation connection,
                              std::string row) = 0;
    virtual void done_received(base::connection_generation connection,
                               std::string signature) = 0;
    virtual void failure_received(base::connection_generation connection,
                                  statement_error error, std::string text) = 0;
    virtual void report_received(base::connection_generation connection,
                                 const endpoint_report& report) = 0;
    virtual void ready_received(base::connection_generation connection,
                                transaction_state state,
                                std::optional<base::log_point> position) = 0;
    // `refused` when nothing listens at the address.
    virtual void connection_closed(base::connection_generation connection,
                                   bool refused) = 0;
};

} // namespace magnoliastack::rpc

#endif
