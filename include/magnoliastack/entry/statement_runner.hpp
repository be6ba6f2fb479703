// Runs the sessions' statements on endpoints.
#ifndef MAGNOLIASTACK_ENTRY_STATEMENT_RUNNER_HPP
#define MAGNOLIASTACK_ENTRY_STATEMENT_RUNNER_HPP

#include "magnoliastack/entry/forwarding_peers.hpp"
#include "magnoliastack/entry/group_state.hpp"
#include "magnoliastack/entry/home_regions.hpp"
#include "magnoliastack/entry/placement.hpp"
#include "magnoliastack/entry/session.hpp"
#include "magnoliastack/fleet/evacuations.hpp"
#include "magnoliastack/logging/logging.hpp"
#include "magnoliastack/metrics/metrics.hpp"
#include "magnoliastack/rpc/session_link.hpp"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace magnoliastack::entry
{

// Limits of the runner.
struct runner_options
{
    base::failure_domain_id m_failure_domain;
    region_map m_regions;
    // An endpoint that owes an answer and has sent nothing for this long is
    // suspected; a busy endpoint answers something else meanwhile.
    absl::Duration m_silence = absl::Milliseconds(250);
    // A primary that leaves gets new work for this long after a host has read
    // so; 7 s after the store has said so none may reach it.
    absl::Duration m_leaving_limit = absl::Milliseconds(6000);
    // A connection has to open within this.
    absl::Duration m_connect_timeout = absl::Milliseconds(400);
    // Time between attempts to reach an endpoint that does not answer.
    absl::Duration m_retry_interval = absl::Milliseconds(400);
    // A longer pause between two ticks is the host's own: it says nothing
    // about endpoints.
    absl::Duration m_own_pause = absl::Milliseconds(300);
    // Connections that open at one endpoint at the same time; each takes one
    // of its slots.
    std::size_t m_largest_opening = 1;
    // Endpoints that one statement tries.
    std::size_t m_largest_tries = 4;
    // A replica that lagged this long ago is tried again; it refuses if it
    // still lags.
    absl::Duration m_position_validity = absl::Milliseconds(250);
    // A connection whose caller has left is closed when its answer has not come
    // for this long: it may never come, and the connection counts at the
    // endpoint.
    absl::Duration m_abandoned_limit = absl::Seconds(2);
    // Pause before a statement goes to an endpoint that refused it as busy.
    absl::Duration m_busy_pause = absl::Milliseconds(30);
    // A statement that got no connection for this long is refused, which
    // leaves its caller time for another host.
    absl::Duration m_longest_wait = absl::Milliseconds(400);
    // The staleness that is promised includes the way of the answer; this much
    // is kept for it.
    absl::Duration m_staleness_margin = absl::Milliseconds(100);
    // A holder has half of the time in which a statement may wait, so that the
    // next one has time as well, and never less than this.
    absl::Duration m_least_start = absl::Milliseconds(50);
    // A stream is lost within this when its host is silent. After this time an
    // unanswered forwarded statement is attributed to the endpoint and not to
    // the holder.
    absl::Duration m_holder_silence = absl::Milliseconds(500);
};

// Who is primary of a group, as far as this host may rely on it now.
class primary_source
{
public:
    virtual ~primary_source() = default;

    // The primary that may take new work.
    [[nodiscard]] virtual std::optional<base::endpoint_id>
    primary(const base::group_id& group, base::instant now) const = 0;
    // True while a transaction may go on at this endpoint as the primary.
    [[nodiscard]] virtual bool may_continue(const base::group_id& group,
                                            const base::endpoint_id& endpoint,
                                            base::instant now) const = 0;
    // False when a replacement of the primary may not wait for this commit any
    // more, so its caller may not be told that it will last.
    [[nodiscard]] virtual bool
    may_acknowledge(const base::group_id& group,
                    const base::endpoint_id& endpoint,
                    base::instant now) const = 0;
    // What may be done with endpoints of this failure domain.
    [[nodiscard]] virtual fleet::evacuation_phase
    evacuation(const base::failure_domain_id& domain,
               base::instant now) const = 0;
};

// Receives the end of each statement. Called when the runner's present event is
// over (see event_scope), so the receiver may submit, end and forget sessions.
class runner_events
{
public:
    virtual ~runner_events() = default;

    // The session's work is over; its rows and signature are still there.
    virtual void work_finished(session& who, const statement_result& result,
                               base::instant now) = 0;
    // The connection of the session's open transaction was lost while no
    // statement ran; the endpoint rolls back.
    virtual void transaction_lost(session& who, base::instant now) = 0;
};

// Places statements, opens connections, replays values and prepared statements
// and repeats what is known not to have run.
//
// No handler of an event is entered from within another one: while an event is
// handled, ended statements and groups with waiting work are only noted. Both
// are dealt with when the event is over, since either may place work on, close
// or open the connections that a handler is using.
class statement_runner final : public rpc::statement_events
{
public:
    // The handling of one event by the runner or by one of its callers. The
    // outermost scope settles what was noted meanwhile.
    class event_scope
    {
    public:
        explicit event_scope(statement_runner& runner);
        ~event_scope();
        event_scope(const event_scope&) = delete;
        event_scope& operator=(const event_scope&) = delete;

    private:
        statement_runner& m_runner;
    };

    statement_runner(runner_options options, rpc::statement_link& link,
                     const primary_source& primaries, runner_events& events,
                     metrics::registry& metrics, const base::clock& clock);

    // Sets the endpoints and the connections that each of them takes from this
    // host.
    void set_endpoints(const std::vector<catalogue::endpoint_entry>& entries,
                       const std::map<base::group_id, std::size_t>& shares,
                       base::instant now);

    // Sets this host's part in the requests to cold endpoints. Call it every
    // 50 ms, and before set_endpoints.
    using cold_shares = std::map<base::endpoint_id, admission::cold_share>;
    void set_cold_shares(cold_shares shares, base::instant now);
    // True while the endpoint is slow after its start.
    [[nodiscard]] bool is_cold(const base::endpoint_id& endpoint,
                               base::instant now) const;

    // Connections that this host keeps to endpoints that it holds for others;
    // set_endpoints applies them.
    void set_held(std::map<base::endpoint_id, std::size_t> held)
    {
        m_held = std::move(held);
    }

    // Forwards statements to these hosts; set once, before use.
    void set_peers(forwarding_peers& peers)
    {
        m_peers = &peers;
    }

    // False while the endpoint's failure domain is evacuated, or while the
    // endpoint is cold and other hosts send to it.
    [[nodiscard]] bool takes_work(const base::endpoint_id& endpoint,
                                  base::instant now) const;

    // The endpoints of the failure domain may get work again, at their pace.
    void evacuation_ended(const base::failure_domain_id& domain,
                          base::instant now);

    // Runs the session's m_work; runner_events::work_finished follows, at the
    // earliest when the present event is over.
    void submit(session& who, base::instant now);

    // The session's transaction is over without a commit.
    void roll_back(session& who, base::instant now);

    // The session ends; what it has running is left to itself.
    void forget(session& who, base::instant now);

    // Cancels the session's statement if it has no open connection yet; the
    // session is forgotten then. False otherwise.
    bool withdraw(session& who, base::instant now);

    // Deadlines, silence and what waits. Call it every 50 ms or less.
    void tick(base::instant now);

    // Has the waiting statements of a group tried once more, when the present
    // event is over.
    void place_waiting(const base::group_id& group);

    // Closes the connections to an endpoint that is not to be used any more.
    // Statements on them end as their loss requires.
    void drop_connections(const base::endpoint_id& endpoint, base::instant now);

    group_state* find_group(const base::group_id& group);
    std::map<base::group_id, group_state>& groups()
    {
        return m_groups;
    }
    endpoint_state* find_endpoint(const base::endpoint_id& endpoint);

    // Asks an endpoint for its report on a connection of its own choice; the
    // answer comes to `done`, nothing comes when it cannot be reached.
    using report_callback = std::function<void(const rpc::endpoint_report&)>;
    void request_report(const base::endpoint_id& endpoint, report_callback done,
                        base::instant now);
    // Has an endpoint of a lower term stop being primary.
    void step_down(const base::endpoint_id& endpoint, base::term term,
                   base::instant now);
    // Organisation in whose name the host's own requests are made.
    void set_own_organisation(const base::organisation_id& organisation)
    {
        m_own_organisation = organisation;
    }

    // A holder's answer. Answers to what was dropped are not taken.
    void forwarded_answered(const base::host_id& from,
                            rpc::forwarded_answer answer, base::instant now);
    // A holder has lost a transaction's connection between two statements.
    void forwarded_transaction_lost(const base::host_id& from,
                                    rpc::forwarding_number number,
                                    base::instant now);
    // Nothing is answered any more that was sent to the host. `refused` when
    // it does not listen, so that nothing has arrived.
    void holder_lost(const base::host_id& host, bool refused,
                     base::instant now);

    // Sessions that run a statement or a transaction on the endpoint, here or
    // at a holder.
    [[nodiscard]] std::size_t
    in_flight(const base::endpoint_id& endpoint) const;
    // The same for all endpoints of a failure domain.
    [[nodiscard]] std::size_t
    in_flight_in(const base::failure_domain_id& domain) const;
    // True when the endpoint is listed, stays, and has answered after the
    // instant.
    [[nodiscard]] bool has_answered_since(const base::endpoint_id& endpoint,
                                          base::instant since) const;
    // Tries the endpoint, unless it was heard within the silence that makes one
    // suspected or is being tried.
    void verify(const base::endpoint_id& endpoint, base::instant now);
    // How long the endpoint has not answered; zero when it answers.
    [[nodiscard]] absl::Duration
    unreachable_for(const base::endpoint_id& endpoint, base::instant now) const;

    void opened(base::connection_generation connection,
                std::optional<base::log_point> position) override;
    void rejected(base::connection_generation connection,
                  rpc::statement_error error) override;
    void row_received(base::connection_generation connection,
                      std::string row) override;
    void done_received(base::connection_generation connection,
                       std::string signature) override;
    void failure_received(base::connection_generation connection,
                          rpc::statement_error error,
                          std::string text) override;
    void report_received(base::connection_generation connection,
                         const rpc::endpoint_report& report) override;
    void ready_received(base::connection_generation connection,
                        rpc::transaction_state state,
                        std::optional<base::log_point> position) override;
    void connection_closed(base::connection_generation connection,
                           bool refused) override;

private:
    struct control_request
    {
        rpc::endpoint_request m_request;
        report_callback m_done;
    };

    // A statement or a transaction at a holder.
    struct forwarded_work
    {
        rpc::session_number m_owner;
        forwarding_peer m_holder;
        base::endpoint_id m_endpoint;
        // A statement has no answer yet.
        bool m_awaited = false;
    };
    // What follows from an endpoint's answer.
    enum class answer_consequence
    {
        // The statement is to be placed again.
        repeat,
        // The answer lacks its result.
        broken,
        // The statement has ended.
        end,
    };

    // A session to be told that its statement has ended or that its transaction
    // was lost between two statements.
    struct notice
    {
        rpc::session_number m_session;
        bool m_transaction_lost = false;
    };

    void settle(base::instant now);
    void deliver(const notice& what, base::instant now);
    void place_group(const base::group_id& id, base::instant now);
    void close_unneeded();
    [[nodiscard]] runner_events& receiver_of(const session& who) const;
    void note_transaction_lost(const session& who);
    bool place(session& who, bool may_open, base::instant now);
    bool place_required(session& who, bool may_open, base::instant now);
    void refuse(session& who, const group_state& group,
                const placement_request& request, std::size_t candidates,
                base::instant now);
    [[nodiscard]] static bool is_waiting(const session& who);
    [[nodiscard]] std::vector<rpc::session_number>
    waiting_in_order(const group_state& group) const;
    void wait(session& who);
    [[nodiscard]] const endpoint_state*
    find_endpoint(const base::endpoint_id& endpoint) const;
    void leave_other_group(const catalogue::endpoint_entry& entry,
                           base::instant now);
    void follow_cold(endpoint_state& endpoint,
                     const catalogue::endpoint_entry& entry, bool added,
                     base::instant now);
    void warm_up(endpoint_state& endpoint,
                 const catalogue::endpoint_entry& entry, const char* cause,
                 base::instant now);
    void follow_pace(endpoint_state& endpoint,
                     std::optional<rpc::statement_error> error,
                     absl::Duration took, base::instant now);
    void forgive_pause(base::instant now);
    [[nodiscard]] fleet::evacuation_phase
    evacuation(const endpoint_state& endpoint, base::instant now) const;
    [[nodiscard]] bool is_closed(const endpoint_state& endpoint,
                                 base::instant now) const;
    void close_evacuated(endpoint_state& endpoint, base::instant now);
    // True when the endpoint has left, or is about to, and gets no new work.
    [[nodiscard]] bool has_left(const endpoint_state& endpoint,
                                base::instant now) const;
    [[nodiscard]] bool is_primary_closed(const group_state& group,
                                         base::instant now) const;
    [[nodiscard]] placement_request requirements(const session& who,
                                                 const group_state& group,
                                                 base::instant now) const;
    std::vector<placement_candidate> candidates(const session& who,
                                                group_state& group,
                                                bool may_open,
                                                base::instant now);
    void refuse_unplaced(session& who, const group_state& group,
                         const placement_request& request,
                         const std::vector<placement_candidate>& choices,
                         base::instant now);
    void refuse_excluded(session& who, const group_state& group,
                         const placement_request& request,
                         const std::vector<placement_candidate>& choices,
                         const base::endpoint_id& excluded);
    void send_unsent(endpoint_state& endpoint, base::instant now);
    void use(session& who, endpoint_state& endpoint, base::instant now);
    bool forward(session& who, endpoint_state& endpoint, base::instant now);
    [[nodiscard]] bool may_forward(const session& who,
                                   const endpoint_state& endpoint,
                                   base::instant now) const;
    [[nodiscard]] bool can_forward(const session& who,
                                   const endpoint_state& endpoint,
                                   base::instant now) const;
    void send_forwarded(session& who, rpc::forwarding_number number,
                        forwarded_work& at, base::instant now);
    void submit_forwarded(session& who, base::instant now);
    void stop_awaiting(forwarded_work& at);
    void remove_forwarded(rpc::forwarding_number number);
    void drop_forwarded(rpc::forwarding_number number);
    void forwarded_lost(rpc::forwarding_number number, base::instant now);
    void refused_by_holder(session& who, const base::host_id& holder,
                           std::string_view reason, base::instant now);
    void forwarded_work_lost(const forwarded_work& at,
                             rpc::forwarding_number number, base::instant now);
    void forwarded_ended(session& who, base::endpoint_id endpoint_id,
                         rpc::forwarded_answer answer, base::instant now);
    void answered_through_holder(endpoint_state& endpoint, base::instant now);
    connection& open(endpoint_state& endpoint,
                     const base::organisation_id& organisation,
                     base::instant now);
    void start(session& who, connection& on, base::instant now);
    void prepare(const session& who, connection& on,
                 const prepared_statement* needed);
    void send_statement(session& who, connection& on, base::instant now);
    void send(connection& on, awaited what,
              const rpc::endpoint_request& request);
    void release(connection& item, base::instant now);
    void close(connection& item);
    void answer_ended(connection& on, rpc::transaction_state state,
                      std::optional<base::log_point> position,
                      base::instant now);
    [[nodiscard]] static bool may_follow(const connection& on,
                                         const pending_answer& answered,
                                         const session* who,
                                         rpc::transaction_state state);
    void unexpected_answer(connection& on, const pending_answer& answered,
                           session* who, rpc::transaction_state state,
                           base::instant now);
    void begin_ended(connection& on, session& who, base::instant now);
    void statement_ended(connection& on, session& who,
                         rpc::transaction_state state,
                         std::optional<base::log_point> position,
                         base::instant now);
    bool begin_refused(session& who, const base::endpoint_id& endpoint,
                       rpc::statement_error error, base::instant now);
    void begin_given_up(session& who, rpc::statement_error error);
    answer_consequence judge_answer(session& who,
                                    const base::endpoint_id& endpoint_id,
                                    std::optional<rpc::statement_error> error,
                                    std::optional<base::log_point> position,
                                    base::instant now);
    void note_position(const base::endpoint_id& from, base::log_point position,
                       base::instant sent, base::instant now);
    void connection_lost(connection& item, base::instant now);
    void work_lost(session& who, const base::endpoint_id& endpoint,
                   base::instant now);
    void opening_rejected(connection& item, base::instant now);
    [[nodiscard]] bool is_stuck(const connection& item,
                                const endpoint_state& endpoint,
                                base::instant now) const;
    bool try_again(session& who, const base::endpoint_id& endpoint,
                   const char* cause, base::instant now);
    void finish(session& who, std::optional<rpc::statement_error> error,
                std::string_view text);
    void endpoint_failed(endpoint_state& endpoint, const char* cause,
                         base::instant now);
    void endpoint_answered(endpoint_state& endpoint, base::instant now);
    void check_silence(endpoint_state& endpoint, base::instant now);
    void trim(endpoint_state& endpoint);
    void check_waiting(group_state& group, base::instant now);
    void check_deadlines(base::instant now);
    void end_late(session& who, base::instant now);
    void end_late_forwarded(session& who, base::instant now);
    void end_without_connection(session& who, base::instant now);
    void refuse_waiting(session& who);
    void probe(endpoint_state& endpoint, base::instant now);
    void send_control(const base::endpoint_id& endpoint,
                      control_request request, base::instant now);
    void start_control(connection& on, base::instant now);
    connection* find(base::connection_generation number);
    session* owner_of(const connection& item);
    // The session whose statement has no result yet and is on the connection,
    // or null.
    session* working_on(const connection& item);
    const std::string& prepared_name(const prepared_statement& what);

    runner_options m_options;
    rpc::statement_link& m_link;
    const primary_source& m_primaries;
    runner_events& m_events;
    metrics::registry& m_metrics;
    const base::clock& m_clock;
    logging::logger m_log{"runner"};
    std::map<base::group_id, group_state> m_groups;
    absl::flat_hash_map<base::endpoint_id, base::group_id> m_group_of;
    absl::flat_hash_map<base::connection_generation, connection*> m_connections;
    absl::flat_hash_map<rpc::session_number, session*> m_sessions;
    // Scopes of the present event, and what is to be settled after it.
    std::size_t m_open_scopes = 0;
    std::deque<notice> m_notices;
    std::set<base::group_id> m_groups_to_place;
    // Connections that were given back and are closed if nobody takes them.
    std::vector<base::connection_generation> m_released;
    // Requests of the host itself that wait for their connection's opening or
    // answer.
    absl::flat_hash_map<base::connection_generation, control_request>
        m_controls;
    std::map<std::pair<bool, std::string>, std::string> m_prepared_names;
    cold_shares m_cold_shares;
    bool m_has_endpoints = false;
    std::map<base::endpoint_id, std::size_t> m_held;
    forwarding_peers* m_peers = nullptr;
    std::map<rpc::forwarding_number, forwarded_work> m_forwarded;
    // How many of them are at each endpoint.
    std::map<base::endpoint_id, std::size_t> m_forwarded_at;
    rpc::forwarding_number m_last_forwarding;
    base::organisation_id m_own_organisation;
    base::connection_generation m_last_connection;
    std::optional<base::instant> m_last_tick;
};

} // namespace magnoliastack::entry

#endif
