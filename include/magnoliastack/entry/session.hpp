// A caller's session and the statement that it waits for.
#ifndef MAGNOLIASTACK_ENTRY_SESSION_HPP
#define MAGNOLIASTACK_ENTRY_SESSION_HPP

#include "magnoliastack/base/time.hpp"
#include "magnoliastack/catalogue/configuration.hpp"
#include "magnoliastack/entry/connection.hpp"
#include "magnoliastack/entry/home_regions.hpp"
#include "magnoliastack/rpc/forwarding_link.hpp"
#include "magnoliastack/rpc/opaque_statement.hpp"
#include "magnoliastack/rpc/session_link.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliastack::entry
{

class runner_events;

// A statement that the session has prepared.
struct prepared_statement
{
    bool m_writes = false;
    std::string m_shape;
};

// How far a statement has come.
enum class work_stage
{
    // No connection yet.
    waiting,
    // Its connection opens.
    connecting,
    // Values, prepared statements and the begin are on their way.
    preparing,
    // The endpoint has the statement.
    running,
};

// How a statement ended.
struct statement_result
{
    std::optional<rpc::statement_error> m_error;
    std::string m_text;
};

// A statement that an endpoint has to run.
struct work
{
    rpc::opaque_statement m_statement;
    bool m_writes = false;
    bool m_primary_only = false;
    work_stage m_stage = work_stage::waiting;
    base::instant m_arrived;
    // Limit of the statement.
    base::instant m_deadline;
    // Not placed again before.
    base::instant m_not_before;
    // Endpoints that have refused it or were lost while it ran there.
    std::vector<base::endpoint_id> m_tried;
    base::connection_generation m_connection;
    // Set while a holder has it.
    std::optional<rpc::forwarding_number> m_forwarded;
    // Holders that did not run it.
    std::vector<base::host_id> m_refused_by;
    // The log point that its endpoint was asked to have.
    std::optional<base::log_point> m_after;
    base::instant m_sent;
    // The answer so far; it goes to the caller as a whole.
    std::vector<std::string> m_rows;
    std::optional<std::string> m_signature;
    std::string m_failure_text;
    // The transaction's state and the log's end after the endpoint's answer.
    std::optional<rpc::transaction_state> m_answered_state;
    std::optional<base::log_point> m_answered_position;
    // The endpoint has refused to begin the transaction.
    bool m_begin_refused = false;
    // Set when it has ended, until its receiver is told.
    std::optional<statement_result> m_result;
};

// One caller's connection. It is also the caller's session: its values,
// prepared statements and the log point of its own writes.
struct session
{
    rpc::session_number m_number;
    std::string m_database;
    std::string m_key;
    base::organisation_id m_organisation;
    // The route of the present operation.
    catalogue::route m_route;
    // Home regions of the present operation.
    home_regions m_homes;
    rpc::transaction_state m_state = rpc::transaction_state::idle;
    bool m_read_only = false;
    // The transaction has sent a write.
    bool m_wrote = false;
    // The operation has not been sent to an endpoint yet, so its token of the
    // organisation's rate may be returned.
    bool m_holds_token = false;
    // The host that the token came from; none when it is an own one.
    std::optional<base::host_id> m_token_lender;
    // The endpoint has rolled the open transaction back; the caller learns it
    // from its next statement.
    bool m_lost = false;
    // Connection of the open transaction, once its first statement ran.
    std::optional<base::connection_generation> m_pinned;
    // The same when the transaction runs at a holder.
    std::optional<rpc::forwarding_number> m_pinned_forward;
    // Set when another host has chosen the endpoint: the statements run there
    // or not at all, and are neither repeated nor forwarded.
    std::optional<base::endpoint_id> m_required_endpoint;
    // Receives the ends of the statements; without one the runner's receiver.
    runner_events* m_events = nullptr;
    value_map m_values;
    std::map<std::string, prepared_statement> m_prepared;
    // Log point of the session's last write in each group; its route may go to
    // another one and come back.
    std::map<base::group_id, base::log_point> m_own_writes;
    std::deque<rpc::opaque_statement> m_inbox;
    std::optional<work> m_work;
    // Its next operation waits for a token.
    bool m_awaits_token = false;
    base::instant m_started;
    base::instant m_last_activity;

    // True while a statement has no result.
    [[nodiscard]] bool is_working() const
    {
        return m_work && !m_work->m_result;
    }

    // True when a statement of the open transaction has run.
    [[nodiscard]] bool is_pinned() const
    {
        return m_pinned || m_pinned_forward;
    }
};

} // namespace magnoliastack::entry

#endif
