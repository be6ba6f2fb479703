// What a host knows of one database group.
#ifndef MAGNOLIASTACK_ENTRY_GROUP_STATE_HPP
#define MAGNOLIASTACK_ENTRY_GROUP_STATE_HPP

#include "magnoliastack/admission/cold_gate.hpp"
#include "magnoliastack/admission/concurrency_limit.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/catalogue/endpoint_entry.hpp"
#include "magnoliastack/entry/endpoint_pool.hpp"
#include "magnoliastack/entry/failure_average.hpp"
#include "magnoliastack/replication/commit_bounds.hpp"

#include "absl/time/time.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace magnoliastack::entry
{

// Whether an endpoint answers.
enum class endpoint_health
{
    // Takes work.
    serving,
    // Has not answered for a while; a connection is being tried.
    suspect,
    // Does not answer; tried again from time to time.
    unreachable,
};

// A request whose connection is open, but whose endpoint is cold.
struct unsent_request
{
    base::connection_generation m_connection;
    rpc::endpoint_request m_request;
};

// One endpoint at this host.
struct endpoint_state
{
    catalogue::endpoint_entry m_entry;
    endpoint_pool m_pool;
    endpoint_health m_health = endpoint_health::serving;
    // Last log point that it has shown, and when.
    std::optional<base::log_point> m_position;
    base::instant m_position_at;
    // Moving average of the time of an answer.
    absl::Duration m_answer_time;
    failure_average m_failures;
    admission::concurrency_limit m_pace;
    admission::cold_gate m_cold;
    // Requests that wait for a token of m_cold, oldest first.
    std::deque<unsent_request> m_unsent;
    // Last message, and the oldest request that has had none since.
    base::instant m_heard;
    std::optional<base::instant> m_waiting_since;
    // Since when it does not answer; set while it is not serving.
    base::instant m_failed_since;
    // Next attempt to reach it.
    base::instant m_next_try;
    // Since when its entry has been gone or has said that it leaves.
    std::optional<base::instant> m_leaving_since;
    bool m_listed = true;

    [[nodiscard]] bool is_leaving() const
    {
        return m_leaving_since.has_value();
    }

    // Connections that open or have a request without its answer. A
    // transaction that waits for its caller does not count.
    [[nodiscard]] std::uint32_t in_flight()
    {
        std::uint32_t count = 0;
        for (const connection* item : m_pool.all())
            if (!item->m_open || !item->m_awaited.empty())
                ++count;
        return count;
    }

    // True while it does not answer or fails what it runs.
    [[nodiscard]] bool is_troubled() const
    {
        return m_health != endpoint_health::serving ||
               m_failures.down_since().has_value();
    }
};

// One group at this host.
struct group_state
{
    base::group_id m_id;
    std::map<base::endpoint_id, endpoint_state> m_endpoints;
    replication::commit_bounds m_bounds;
    // When the primary itself has shown the end of its log last.
    base::instant m_observed;
    // Sessions whose work has no connection, oldest first.
    std::deque<rpc::session_number> m_waiting;
    // An endpoint did not answer, or failed what it ran, at the last tick.
    bool m_troubled = false;
};

} // namespace magnoliastack::entry

#endif
