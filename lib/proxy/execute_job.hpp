// Runs one Execute request: connects its decisions to the group.
#ifndef MAGNOLIASTACK_LIB_PROXY_EXECUTE_JOB_HPP
#define MAGNOLIASTACK_LIB_PROXY_EXECUTE_JOB_HPP

#include "job.hpp"
#include "job_host.hpp"

#include "magnoliastack/proxy/caller.hpp"
#include "magnoliastack/request/machine.hpp"

#include <memory>

namespace magnoliastack::proxy
{

// A request after authorisation.
struct admitted_request
{
    request::description m_what;
    authority m_authority;
    base::group_id m_group;
    absl::Duration m_max_staleness;
    absl::Duration m_replica_wait = routing::default_replica_wait;
    session::session_state m_session;
};

// One request from its admission to its answer.
class execute_job final : public job,
                          public std::enable_shared_from_this<execute_job>
{
public:
    execute_job(job_host& host, admitted_request request,
                std::shared_ptr<caller_reply> reply);

    // Starts; the job keeps itself alive through the queues it waits in.
    void begin(base::instant now);

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
    void apply(request::action what, base::instant now);
    void submit(base::instant now);
    void schedule_deadline();
    void finish(request::deliver outcome, base::instant now);
    void finish(const request::refuse& outcome);
    [[nodiscard]] routing::read_requirements requirements() const;
    [[nodiscard]] bool served_by_replica() const;

    job_host& m_host;
    admitted_request m_request;
    std::shared_ptr<caller_reply> m_reply;
    request::machine m_machine;
    base::instant m_started;
    base::instant m_sent_at;
    bool m_primary_only;
    grant m_grant;
    base::log_point m_awaited;
    absl::Duration m_staleness;
};

} // namespace magnoliastack::proxy

#endif
