// Runs one interactive transaction on a connection of its own.
#ifndef MAGNOLIASTACK_LIB_PROXY_TRANSACTION_JOB_HPP
#define MAGNOLIASTACK_LIB_PROXY_TRANSACTION_JOB_HPP

#include "job.hpp"
#include "job_host.hpp"

#include "magnoliastack/proxy/caller.hpp"
#include "magnoliastack/request/machine.hpp"

#include <memory>
#include <optional>

namespace magnoliastack::proxy
{

// A transaction after authorisation.
struct admitted_transaction
{
    authority m_authority;
    base::group_id m_group;
    session::session_state m_session;
    base::instant m_deadline;
};

// One transaction from begin to its outcome. Until the commit is sent, every
// failure means that it did not run: the endpoint rolls back the transaction
// of a closed connection. After that the request machine settles the outcome
// as for a write that cannot be sent again.
class transaction_job final
    : public job,
      public std::enable_shared_from_this<transaction_job>
{
public:
    transaction_job(job_host& host, admitted_transaction what,
                    std::shared_ptr<caller_reply> reply);

    void begin(base::instant now);

    // The caller's steps; each is answered through the reply.
    void run(rpc::statement what, base::instant now);
    void commit(base::request_id id, base::instant now);
    void roll_back(base::instant now);
    void abandon(base::instant now);

    [[nodiscard]] const base::organisation_id& organisation() const override;
    [[nodiscard]] base::instant deadline() const override;
    [[nodiscard]] std::uint64_t cost() const override;
    [[nodiscard]] placement where() const override;
    [[nodiscard]] bool is_wanted(base::instant now) override;
    rpc::call start_call(const grant& what, base::instant now) override;
    bool call_ended(rpc::call_end end, std::vector<rpc::row> rows,
                    base::instant now) override;
    void connection_lost(base::instant now) override;
    void cannot_run(base::refusal_reason reason, absl::Duration retry_delay,
                    base::instant now) override;
    bool check_commit(const group::group_view& view,
                      base::instant now) override;

private:
    enum class phase
    {
        opening,
        // Open, no step out.
        idle,
        running,
        // A statement's rows wait until they may be shown.
        releasing,
        rolling_back,
        committing,
        over,
    };

    bool begin_ended(const rpc::call_end& end, base::instant now);
    bool statement_ended(rpc::call_end end, std::vector<rpc::row> rows,
                         base::instant now);
    void apply(request::action what, base::instant now);
    void send_on_connection(const rpc::call& what, base::instant now);
    bool may_continue(base::instant now);
    void abort(base::refusal_reason reason, std::string detail,
               base::instant now);
    void refuse(const base::refusal& what);
    void close_connection(base::instant now);
    void deliver_step(std::vector<rpc::row> rows);
    void commit_delivered(const request::deliver& outcome);
    void end();
    endpoint_runtime* connection_owner();

    job_host& m_host;
    admitted_transaction m_what;
    std::shared_ptr<caller_reply> m_reply;
    phase m_phase = phase::opening;
    std::optional<request::machine> m_commit;
    std::optional<grant> m_connection;
    base::term m_term;
    base::log_point m_awaited;
    std::vector<rpc::row> m_rows;
    int m_statements = 0;
    int m_tries = 0;
    bool m_abandoned = false;
    // Lost while no step was out; the next step is told.
    bool m_lost = false;
};

} // namespace magnoliastack::proxy

#endif
