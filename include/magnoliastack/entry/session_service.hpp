// Serves callers' sessions: admission, transactions, values, answers.
#ifndef MAGNOLIASTACK_ENTRY_SESSION_SERVICE_HPP
#define MAGNOLIASTACK_ENTRY_SESSION_SERVICE_HPP

#include "magnoliastack/entry/fleet_service.hpp"
#include "magnoliastack/entry/statement_runner.hpp"
#include "magnoliastack/quota/demand_table.hpp"
#include "magnoliastack/quota/token_gate.hpp"
#include "magnoliastack/rpc/fleet_store.hpp"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace magnoliastack::entry
{

// Limits of the service.
struct session_options
{
    // How long an operation waits for a token, of another host or its own: a
    // short wait serves callers better than a refusal and their return.
    absl::Duration m_token_wait = absl::Milliseconds(40);
    // The same when a host was asked: one that has ended answers nothing, and
    // the next one is asked at the next tick.
    absl::Duration m_answer_wait = absl::Milliseconds(120);
    // Shares of the rates are applied this often; a share that was not applied
    // for twice as long has lapsed.
    absl::Duration m_refresh_interval = absl::Milliseconds(90);
    // Operations of an organisation that wait for tokens of other hosts.
    std::size_t m_largest_queue = 8;
    // Statements that one session may have waiting.
    std::size_t m_largest_inbox = 64;
    // Sessions of this host; the rest is refused at once.
    std::size_t m_largest_sessions = 3500;
};

// Answers what needs no endpoint by itself and gives the rest to the runner.
class session_service final : public rpc::session_events,
                              public runner_events,
                              public token_receiver
{
public:
    session_service(session_options options, rpc::session_link& link,
                    quota::demand_table& demand, quota::token_gate& gate,
                    metrics::registry& metrics, const base::clock& clock);

    // The runner that runs the sessions' statements; set once, before use.
    void set_runner(statement_runner& runner)
    {
        m_runner = &runner;
    }

    // Where tokens can be borrowed; set once, before use.
    void set_token_source(token_source& source)
    {
        m_token_source = &source;
    }

    // Whether the configuration is known to be the newest; set once, before
    // use.
    void set_configuration_status(const configuration_status& status)
    {
        m_configuration_status = &status;
    }

    // Takes a newer configuration. Open transactions keep the old routes.
    void set_configuration(rpc::configuration_ptr configuration);
    [[nodiscard]] const rpc::configuration_ptr& configuration() const
    {
        return m_configuration;
    }

    // Idle transactions and stops. Call it every 50 ms or less.
    void tick(base::instant now);

    // Closes sessions that are between operations and started until then; their
    // callers come back through the balancer.
    void close_idle(base::instant started_until, base::instant now);
    // Planned stop: from now on no operation begins, and each session is closed
    // when it is between operations.
    void close_between_operations(base::instant now);
    // Planned stop: ends open transactions as well, each after its running
    // statement.
    void abort_transactions(base::instant now);
    // Planned stop: the time of all running statements is over.
    void cancel_running(base::instant now);
    // Sessions that wait for an answer.
    [[nodiscard]] std::size_t working_count() const;
    [[nodiscard]] std::size_t session_count() const
    {
        return m_sessions.size();
    }

    void session_started(rpc::session_number number,
                         const std::string& database,
                         const std::string& key) override;
    void statement_received(rpc::session_number number,
                            rpc::opaque_statement what) override;
    void session_closed(rpc::session_number number) override;

    void work_finished(session& who, const statement_result& result,
                       base::instant now) override;
    void transaction_lost(session& who, base::instant now) override;

    std::uint32_t lend_tokens(const base::organisation_id& who,
                              std::uint32_t amount, base::instant now) override;
    void tokens_granted(const base::organisation_id& who,
                        const base::host_id& lender, std::uint32_t amount,
                        base::instant now) override;
    void tokens_returned(const base::organisation_id& who, std::uint32_t amount,
                         base::instant now) override;
    [[nodiscard]] std::map<base::organisation_id, std::uint32_t>
    tokens(base::instant now) const override;

private:
    // An operation that waits for a token.
    struct token_waiter
    {
        rpc::session_number m_session;
        rpc::opaque_statement m_statement;
        base::instant m_until;
    };
    // Outcome of the check whether an operation may begin.
    struct admission_result
    {
        std::optional<rpc::statement_error> m_error;
        std::string m_text;
        // The session has no business here any more.
        bool m_close = false;
    };

    void serve_next(session& who, base::instant now);
    void serve(session& who, rpc::opaque_statement what, base::instant now);
    void serve_idle(session& who, rpc::opaque_statement what,
                    base::instant now);
    void serve_open(session& who, rpc::opaque_statement what,
                    base::instant now);
    void serve_failed(session& who, const rpc::opaque_statement& what);
    bool serve_locally(session& who, const rpc::opaque_statement& what);
    void run(session& who, rpc::opaque_statement what, base::instant now);
    [[nodiscard]] admission_result identify(session& who) const;
    // The configuration lacks what a session names.
    [[nodiscard]] admission_result not_configured(rpc::statement_error error,
                                                  const char* text) const;
    void start(session& who, rpc::opaque_statement what,
               const std::optional<base::host_id>& lender, base::instant now);
    void wait_for_token(session& who, rpc::opaque_statement what,
                        base::instant now);
    [[nodiscard]] admission_result no_token() const;
    void refuse_waiting(const base::organisation_id& who, base::instant now);
    void refuse_first(const base::organisation_id& who, base::instant now);
    void admit_waiting(const base::organisation_id& who, base::instant now);
    bool admit_next(const base::organisation_id& who,
                    const std::optional<base::host_id>& lender,
                    base::instant now);
    void give_back(session& who, base::instant now);
    void refuse(session& who, const rpc::opaque_statement& what,
                const admission_result& why);
    void answer(session& who, std::optional<rpc::statement_error> error,
                std::string_view text);
    void end(rpc::session_number number, base::instant now);
    void close_between_operations(rpc::session_number number,
                                  base::instant now);
    [[nodiscard]] bool may_close(const session& who) const;
    void end_transaction(session& who, base::instant now);

    session_options m_options;
    rpc::session_link& m_link;
    quota::demand_table& m_demand;
    quota::token_gate& m_gate;
    metrics::registry& m_metrics;
    const base::clock& m_clock;
    logging::logger m_log{"session"};
    statement_runner* m_runner = nullptr;
    rpc::configuration_ptr m_configuration;
    absl::flat_hash_map<rpc::session_number, std::unique_ptr<session>>
        m_sessions;
    token_source* m_token_source = nullptr;
    const configuration_status* m_configuration_status = nullptr;
    base::instant m_next_refresh;
    // Steps of a planned stop.
    bool m_closing_sessions = false;
    bool m_aborting = false;
    std::map<base::organisation_id, std::deque<token_waiter>> m_token_waiters;
};

} // namespace magnoliastack::entry

#endif
