// State machine of one database endpoint: terms, log, connections, slots.
#ifndef MAGNOLIASTACK_STANDIN_ENDPOINT_MODEL_HPP
#define MAGNOLIASTACK_STANDIN_ENDPOINT_MODEL_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/rpc/endpoint_link.hpp"
#include "magnoliastack/standin/log_store.hpp"
#include "magnoliastack/standin/replicator.hpp"
#include "magnoliastack/standin/transaction.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace magnoliastack::standin
{

// Identity and size of an endpoint.
struct endpoint_options
{
    base::endpoint_id m_endpoint;
    base::group_id m_group;
    // All endpoints of the group; the own name may be among them.
    std::vector<base::endpoint_id> m_members;
    std::uint32_t m_slots = 3;
    std::uint32_t m_connection_limit = 20;
    absl::Duration m_connect_delay = absl::Milliseconds(10);
    // Time that one statement, commit or probe occupies a slot.
    absl::Duration m_service_time = absl::Milliseconds(2);
    absl::Duration m_replication_delay;
    absl::Duration m_apply_delay;
    // After this time as leaving endpoint new work is refused.
    absl::Duration m_leaving_grace = absl::Seconds(4);
    // Longest time that a pull waits for a new entry.
    absl::Duration m_pull_wait = absl::Milliseconds(50);
    // Entries in one pull answer.
    std::size_t m_pull_entries = 1024;
    // Request records retained; at 1,000 writes a second more than 3 minutes.
    std::size_t m_record_limit = 200'000;
    // Rows in one part of an answer.
    std::size_t m_part_rows = 100;
    // Begins as primary of term 1.
    bool m_initial_primary = false;
    replicator_options m_replicator;
};

// What an endpoint keeps on its disk.
struct durable_state
{
    base::term m_accepted_term;
    base::term m_sealed_term;
    base::host_id m_sealed_by;
    base::log_position m_term_start;
    bool m_primary = false;
    std::vector<log_entry> m_entries;
};

// Tells the host that its connection accepts calls.
struct connection_accepted
{
    base::connection_generation m_connection;
};

// Refuses a connection above the limit or at a leaving endpoint.
struct connection_refused
{
    base::connection_generation m_connection;
    std::string m_reason;
    bool m_leaving = false;
};

// A part of an answer. m_write is set at the end of an answer to a write.
struct send_part
{
    base::connection_generation m_connection;
    rpc::call_part m_part;
    bool m_write = false;
};

// The answer to the pull with this ticket.
struct answer_pull
{
    std::uint64_t m_ticket = 0;
    pull_answer m_answer;
};

using endpoint_action = std::variant<connection_accepted, connection_refused,
                                     send_part, answer_pull, send_pull>;

// Decides everything that an endpoint of a group does. Every event returns the
// actions to carry out; tick() must be called at next_event() at the latest,
// and after seal() and promote().
class endpoint_model
{
public:
    using actions = std::vector<endpoint_action>;

    endpoint_model(endpoint_options options, base::instant now);

    // Starts from what an earlier process of this endpoint kept.
    endpoint_model(endpoint_options options, durable_state kept,
                   base::instant now);

    // Open transactions refer to the log.
    endpoint_model(const endpoint_model&) = delete;
    endpoint_model& operator=(const endpoint_model&) = delete;

    // A host opens a connection; its number is never used again.
    actions connection_opened(base::connection_generation connection,
                              base::instant now);

    // Rolls the connection's transaction back and drops calls that have not
    // begun. A call that has begun runs to its end.
    void connection_closed(base::connection_generation connection,
                           base::instant now);

    // A call; calls of one connection run in order. A ping is answered at
    // once, so that a queued call does not make a connection look silent.
    actions call_received(base::connection_generation connection,
                          base::call_id id, rpc::call what, base::instant now);

    // Takes nothing from a term below `target` from now on, if it is new.
    rpc::control_answer seal(base::term target, const base::host_id& promoter,
                             base::instant now);

    // Becomes primary of `target` if sealed for exactly that by `promoter`.
    rpc::control_answer promote(base::term target,
                                const base::host_id& promoter,
                                base::instant now);

    // Another member asks for entries; the answer carries the ticket and may
    // come later.
    actions pull_received(std::uint64_t ticket, pull_request request,
                          base::instant now);

    // Another member's answer to a pull, or why there is none.
    actions pull_answered(const base::endpoint_id& from, std::uint64_t number,
                          base::result<pull_answer> answer, base::instant now);

    // Does what is due.
    actions tick(base::instant now);

    // When tick() has something to do next.
    [[nodiscard]] std::optional<base::instant> next_event() const;

    // The status as monitors see it.
    [[nodiscard]] rpc::endpoint_status status(base::instant now) const;

    // The log, records and rows.
    [[nodiscard]] const log_store& log() const;

    // What to keep on disk, without the entries.
    [[nodiscard]] durable_state durable() const;

    void set_leaving(bool leaving, base::instant now);
    void set_apply_delay(absl::Duration delay);
    void set_replication_delay(absl::Duration delay);

    // Calls begun and connections accepted later than two seconds after the
    // endpoint was marked as leaving.
    [[nodiscard]] std::uint64_t work_while_leaving() const;

private:
    struct pending_call
    {
        base::call_id m_id;
        rpc::call m_call;
    };

    struct connection_state
    {
        base::instant m_ready_at;
        bool m_ready = false;
        // A call of this connection waits for a slot or runs.
        bool m_busy = false;
        std::deque<pending_call> m_calls;
        std::optional<transaction> m_transaction;
        bool m_transaction_failed = false;
    };

    // A call that waits for a slot or occupies one.
    struct job
    {
        base::connection_generation m_connection;
        base::call_id m_id;
        rpc::call m_call;
        // The transaction of a commit; a close no longer rolls it back.
        std::optional<transaction> m_transaction;
        bool m_transaction_failed = false;
    };

    struct waiting_pull
    {
        std::uint64_t m_ticket = 0;
        pull_request m_request;
        base::instant m_deadline;
    };

    // End of a call and its rows.
    struct outcome
    {
        rpc::call_end m_end;
        std::vector<rpc::row> m_rows;
    };

    // Connections and slots.
    void accept_ready(actions& out, base::instant now);
    void start_next(base::connection_generation number, actions& out,
                    base::instant now);
    void enqueue(base::connection_generation number, pending_call next);
    void fill_slots(base::instant now);
    void finish_jobs(actions& out, base::instant now);
    void answer(base::connection_generation connection, base::call_id id,
                outcome ended, bool write, actions& out) const;
    [[nodiscard]] bool refuses_new_work(base::instant now) const;
    [[nodiscard]] bool is_new_work(const connection_state& connection,
                                   const rpc::call& what) const;
    void count_work_while_leaving(base::instant now);

    // Calls.
    [[nodiscard]] absl::Duration work_of(const rpc::call& what) const;
    std::optional<outcome> refuse_early(const connection_state& connection,
                                        const rpc::call& what,
                                        base::instant now) const;
    outcome run(job& what, connection_state* connection);
    outcome run_call(job& what, connection_state* connection,
                     const rpc::execute_call& item);
    outcome run_call(job& what, connection_state* connection,
                     const rpc::begin_call& item);
    outcome run_call(job& what, connection_state* connection,
                     const rpc::statement_call& item);
    outcome run_call(job& what, connection_state* connection,
                     const rpc::commit_call& item);
    outcome run_call(job& what, connection_state* connection,
                     const rpc::rollback_call& item);
    outcome run_call(job& what, connection_state* connection,
                     const rpc::probe_call& item);
    outcome run_call(job& what, connection_state* connection,
                     const rpc::ping_call& item);
    [[nodiscard]] std::optional<outcome>
    recorded_outcome(const base::request_id& id,
                     base::attempt_number attempt) const;
    outcome record(const base::request_id& id, base::attempt_number attempt,
                   bool fence, std::vector<rpc::row> rows,
                   std::vector<row_change> changes);
    [[nodiscard]] outcome ended(rpc::call_outcome how,
                                std::string detail = {}) const;
    [[nodiscard]] base::log_point applied_point() const;
    // A recorded position as a point of the present term: the log of the
    // present term holds it, and an answer that names an older term would look
    // late to the host.
    [[nodiscard]] base::log_point point_at(base::log_position position) const;

    // Replication.
    [[nodiscard]] bool is_sealed_for(base::term target,
                                     const base::host_id& promoter) const;
    [[nodiscard]] bool is_primary() const;
    [[nodiscard]] bool is_primary_of(base::term expected) const;
    [[nodiscard]] follow_state following() const;
    void append_own(std::optional<request_record> record,
                    std::vector<row_change> changes);
    void take_batches(base::instant now);
    void take_batch(received_batch batch, base::instant now);
    void apply_due(base::instant now);
    std::optional<pull_answer> answer_to(const pull_request& request) const;
    void answer_waiting_pulls(actions& out, base::instant now);
    void check_progress();

    endpoint_options m_options;
    log_store m_log;
    base::term m_accepted;
    base::term m_sealed;
    base::host_id m_sealed_by;
    base::log_position m_term_start;
    bool m_primary_of_accepted = false;
    bool m_leaving = false;
    base::instant m_leaving_since;
    std::uint64_t m_work_while_leaving = 0;

    std::map<base::connection_generation, connection_state> m_connections;
    std::deque<job> m_waiting;
    std::multimap<base::instant, job> m_running;

    replicator m_replicator;
    std::deque<std::pair<base::instant, base::log_position>> m_to_apply;
    std::vector<waiting_pull> m_waiting_pulls;

    // Last seen values, to check that they only rise.
    base::term m_checked_accepted;
    base::term m_checked_sealed;
    base::log_position m_checked_held;
    base::log_position m_checked_applied;
};

} // namespace magnoliastack::standin

#endif
