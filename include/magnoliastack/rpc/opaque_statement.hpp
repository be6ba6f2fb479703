// Statements whose text the proxy passes on unchanged, and what may come back.
#ifndef MAGNOLIASTACK_RPC_OPAQUE_STATEMENT_HPP
#define MAGNOLIASTACK_RPC_OPAQUE_STATEMENT_HPP

#include "magnoliastack/base/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace magnoliastack::rpc
{

// What a statement does, as far as the proxy has to know.
enum class statement_kind
{
    begin,
    begin_read_only,
    commit,
    roll_back,
    read,
    write,
    set_value,
    prepare,
    execute,
    deallocate,
    malformed,
};

// A caller's statement.
struct opaque_statement
{
    // The caller's id; it travels to the endpoint unchanged.
    std::string m_id;
    statement_kind m_kind = statement_kind::malformed;
    // The text as received.
    std::string m_text;
    // Name of the value or of the prepared statement.
    std::string m_name;
    // The value, the prepared shape, or the arguments of an execution.
    std::string m_argument;
    // The prepared statement writes.
    bool m_prepares_write = false;
};

// Why a statement failed.
enum class statement_error
{
    busy,
    aborted,
    lagging,
    read_only,
    moved,
    too_many_connections,
    unknown_outcome,
    timeout,
    failed,
    unknown_prepared,
    unauthenticated,
    unknown_database,
    too_large,
    malformed,
};

// The name of an error in logs and counters.
const char* to_string(statement_error error);

// True for errors that mean that nothing of the statement was done.
bool is_not_run(statement_error error);

// The transaction that a session or a connection is in.
enum class transaction_state
{
    idle,
    open,
    failed,
};

// A request on a connection to an endpoint.
struct endpoint_request
{
    enum class action
    {
        // m_text is a caller's read, write or commit.
        forward,
        begin,
        begin_read_only,
        roll_back,
        set_value,
        prepare_read,
        prepare_write,
        execute,
        // Drops values and prepared statements.
        reset,
        status,
        step_down,
    };

    action m_action = action::forward;
    // The caller's id; empty for requests of the proxy itself.
    std::string m_id;
    std::string m_text;
    std::string m_name;
    // The endpoint refuses with `lagging` unless its log has this point.
    std::optional<base::log_point> m_after;
    // The term of a step down.
    base::term m_term;
};

// What an endpoint reports of itself.
struct endpoint_report
{
    bool m_primary = false;
    base::term m_term;
    // End of the received log, applied or not.
    base::log_point m_received;
    std::uint32_t m_busy = 0;
    std::uint32_t m_connections = 0;
};

} // namespace magnoliastack::rpc

#endif
