// A connection to an endpoint and what it carries.
#ifndef MAGNOLIASTACK_ENTRY_CONNECTION_HPP
#define MAGNOLIASTACK_ENTRY_CONNECTION_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/rpc/opaque_statement.hpp"
#include "magnoliastack/rpc/session_link.hpp"

#include "absl/container/flat_hash_set.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace magnoliastack::entry
{

// What the next answer on a connection belongs to.
enum class awaited
{
    // Values and prepared statements of a session.
    preparation,
    begin,
    statement,
    roll_back,
    report,
};

// A request without its `ready` yet.
struct pending_answer
{
    awaited m_what;
    base::instant m_sent;
};

// Session values by name.
using value_map = std::map<std::string, std::string>;

// One connection. It serves one organisation from its opening to its end.
struct connection
{
    base::connection_generation m_number;
    base::endpoint_id m_endpoint;
    base::organisation_id m_organisation;
    bool m_open = false;
    // Runs requests of the host itself.
    bool m_control = false;
    // Session whose statement or transaction it runs.
    std::optional<rpc::session_number> m_owner;
    // Values and prepared statements that the endpoint keeps for it.
    value_map m_values;
    absl::flat_hash_set<std::string> m_prepared;
    // Requests without their `ready` yet, oldest first.
    std::deque<pending_answer> m_awaited;
    // The transaction as the endpoint's last answer told it.
    rpc::transaction_state m_state = rpc::transaction_state::idle;
    // Number of requests at the end of m_awaited that were not sent yet, since
    // the endpoint is cold.
    std::size_t m_unsent = 0;
    // Set by a failure, until the `ready` that ends the answer.
    std::optional<rpc::statement_error> m_failure;
    base::instant m_opened;
    // Last change of m_owner or m_awaited, and last message received.
    base::instant m_used;
    base::instant m_heard;

    // True when it can take a statement.
    [[nodiscard]] bool is_idle() const
    {
        return m_open && !m_owner && !m_control && m_awaited.empty() &&
               m_state == rpc::transaction_state::idle;
    }
};

} // namespace magnoliastack::entry

#endif
