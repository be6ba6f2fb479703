// The connections of this host to one endpoint.
#ifndef MAGNOLIASTACK_POOL_ENDPOINT_POOL_HPP
#define MAGNOLIASTACK_POOL_ENDPOINT_POOL_HPP

#include "magnoliastack/admission/backoff.hpp"
#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/pool/connection_state.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace magnoliastack::pool
{

// Numbers the connections of the process; shared by all pools.
class generation_counter
{
public:
    base::connection_generation next()
    {
        m_last = m_last.next();
        return m_last;
    }

private:
    base::connection_generation m_last;
};

// Times and sizes of a pool.
struct pool_options
{
    // Silence in a call before a ping, and before the connection is closed.
    absl::Duration m_ping_after = absl::Milliseconds(250);
    absl::Duration m_close_after = absl::Milliseconds(750);
    // Time between pings of a connection that runs no call.
    absl::Duration m_idle_ping = absl::Seconds(1);
    // Time for one call's answer. Beyond it the answer counts as lost, even on
    // a connection that answers pings.
    absl::Duration m_call_timeout = absl::Seconds(1);
    absl::Duration m_open_timeout = absl::Seconds(2);
    // Between two ticks further apart than this the host itself stood still,
    // so the silence says nothing about the endpoint.
    absl::Duration m_largest_tick_gap = absl::Milliseconds(300);
    // Connections kept open without demand, and above the recent peak.
    std::size_t m_warm = 1;
    std::size_t m_spare = 1;
    // How long a peak of taken connections counts. A new connection costs
    // about 10 ms, so they are kept for a while.
    absl::Duration m_peak_memory = absl::Seconds(10);
    admission::backoff_options m_backoff;
    // Seeds the jitter of the backoff.
    std::uint64_t m_seed = 0;
};

// Why the pool closes a connection.
enum class close_reason
{
    silent,
    // The call has no answer although the connection is alive.
    call_timeout,
    open_timeout,
    over_allowance,
    surplus,
    // An answer for no call that is out on it: its own answer may have gone to
    // another call.
    crossed_answer,
    // The owner asked for it.
    discarded,
};

// Open a connection under this generation.
struct open
{
    base::connection_generation m_generation;
};
// Close a connection; report connection_closed once it is.
struct close
{
    base::connection_generation m_generation;
    close_reason m_reason = close_reason::silent;
};
// Send a ping under this call id.
struct send_ping
{
    base::connection_generation m_generation;
    base::call_id m_call;
};
using action = std::variant<open, close, send_ping>;

// What to do with a part of an answer.
enum class part_verdict
{
    deliver,
    // Answers a ping; nothing to deliver.
    ping,
    // Of a closed connection: discard.
    late,
    // Of no call that is out: discard; the connection gets closed.
    crossed,
};

// Events since the pool was made.
struct pool_counters
{
    std::uint64_t m_opened = 0;
    std::uint64_t m_closed_silent = 0;
    std::uint64_t m_call_timeouts = 0;
    std::uint64_t m_refused_by_limit = 0;
    std::uint64_t m_open_failed = 0;
    std::uint64_t m_lost = 0;
    std::uint64_t m_pings = 0;
    std::uint64_t m_late_answers = 0;
    std::uint64_t m_crossed_answers = 0;
};

// Decides which connections to open, ping and close. All times are the
// caller's `now`; the caller carries out the actions of tick.
class endpoint_pool
{
public:
    // Without `generations` the pool numbers its connections by itself, for
    // use as the only pool of a process.
    explicit endpoint_pool(
        base::endpoint_id endpoint, pool_options options = {},
        std::shared_ptr<generation_counter> generations = nullptr);

    // Sets how many connections may be open. Surplus idle ones are closed by
    // the next tick, taken ones when they are released.
    void set_allowance(std::size_t count, base::instant now);

    // Takes an idle connection. Nullopt when there is none; the pool then
    // opens another if the allowance permits.
    std::optional<base::connection_generation> acquire(base::instant now);

    // Returns a connection whose calls have all ended and which has no open
    // transaction.
    void release(base::connection_generation generation, base::instant now);

    // Closes a connection about which anything is uncertain. It counts until
    // connection_closed.
    void discard(base::connection_generation generation, base::instant now);

    // The endpoint has accepted the connection.
    void connection_ready(base::connection_generation generation,
                          base::instant now);

    // The connection is gone. An error `unavailable` before it was ready is a
    // refusal by the endpoint's limit.
    void connection_closed(base::connection_generation generation,
                           const base::error& reason, base::instant now);

    // The id for the next call on a taken connection.
    base::call_id next_call(base::connection_generation generation);

    // A call with an id of next_call was sent.
    void call_sent(base::connection_generation generation, base::call_id call,
                   base::instant now);

    // A part of an answer arrived; `last` ends the call.
    part_verdict part_received(base::connection_generation generation,
                               base::call_id call, bool last,
                               base::instant now);

    // The same for a part that is not the last; follow with call_finished.
    part_verdict part_received(base::connection_generation generation,
                               base::call_id call, base::instant now);

    // The present call has its whole answer.
    void call_finished(base::connection_generation generation,
                       base::instant now);

    // Opens, pings and closes what is due.
    std::vector<action> tick(base::instant now);

    [[nodiscard]] const base::endpoint_id& endpoint() const;
    // Connections that count against the endpoint's limit: all that were asked
    // to open and not reported as closed.
    [[nodiscard]] std::size_t open_count() const;
    // Connections taken by requests.
    [[nodiscard]] std::size_t taken_count() const;
    // Connections that acquire can take.
    [[nodiscard]] std::size_t idle_count() const;
    // Connections worth having: taken ones, waiting requests and the warm
    // ones; input for ledger::demand.
    [[nodiscard]] std::size_t wanted_count() const;
    // The state of a connection, if the pool knows it.
    [[nodiscard]] std::optional<connection_state>
    state(base::connection_generation generation) const;
    [[nodiscard]] const pool_counters& counters() const;

private:
    struct connection
    {
        connection_state m_state = connection_state::opening;
        bool m_taken = false;
        base::call_id m_last_call;
        std::optional<base::call_id> m_call;
        base::instant m_call_sent_at;
        std::optional<base::call_id> m_ping;
        // Pings before that which are not answered yet.
        std::set<base::call_id> m_earlier_pings;
        // Start of the present silence.
        base::instant m_heard;
    };

    void fire(connection& item, connection_event event);
    void heard(connection& item, base::instant now);
    void begin_close(base::connection_generation generation, connection& item,
                     close_reason reason);
    void check_silence(base::connection_generation generation, connection& item,
                       base::instant now);
    void send_ping_on(base::connection_generation generation, connection& item,
                      base::instant now);
    void close_surplus();
    void open_missing(base::instant now);
    void note_peak(base::instant now);
    [[nodiscard]] std::size_t live_count() const;
    connection* find(base::connection_generation generation);

    base::endpoint_id m_endpoint;
    pool_options m_options;
    std::shared_ptr<generation_counter> m_generations;
    std::map<base::connection_generation, connection> m_connections;
    std::vector<action> m_actions;
    std::size_t m_allowance = 0;
    // Calls of acquire since the last tick that found nothing.
    std::size_t m_unserved = 0;
    std::size_t m_peak = 0;
    base::instant m_peak_seen;
    std::optional<base::instant> m_last_tick;
    admission::backoff m_backoff;
    std::mt19937_64 m_random;
    std::optional<base::instant> m_no_open_before;
    pool_counters m_counters;
};

} // namespace magnoliastack::pool

#endif
