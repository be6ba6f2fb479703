// The core's state on the event loop.
#ifndef MAGNOLIASTACK_LIB_PROXY_CORE_STATE_HPP
#define MAGNOLIASTACK_LIB_PROXY_CORE_STATE_HPP

#include "control_plane.hpp"
#include "event_sink.hpp"
#include "execute_job.hpp"
#include "group_runtime.hpp"
#include "job_host.hpp"
#include "rate_gate.hpp"
#include "transaction_job.hpp"

#include "magnoliastack/admission/backoff.hpp"
#include "magnoliastack/admission/retry_budget.hpp"
#include "magnoliastack/credentials/issue.hpp"
#include "magnoliastack/proxy/core.hpp"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <memory>
#include <string>

namespace magnoliastack::proxy
{

// Grants retries out of the budget, with jittered backoff.
class budgeted_retries final : public request::retry_policy
{
public:
    std::optional<absl::Duration> next_delay(int tries,
                                             base::instant now) override;

    // Counts a first attempt, which earns a part of a retry.
    void attempt_started();

private:
    admission::retry_budget m_budget;
    absl::BitGen m_random;
};

// A request on its way through authorisation.
struct authorised
{
    authority m_authority;
    const inventory::route* m_route = nullptr;
    // Null on an open route.
    const inventory::organisation* m_organisation = nullptr;
    session::session_state m_session;
};

// Everything that runs on the loop. Split from core so that core's own
// functions only post.
class core::state final : public job_host
{
public:
    state(core_options options, core_links links);
    ~state() override;

    state(const state&) = delete;
    state& operator=(const state&) = delete;

    void tick();
    void close();
    void drain();
    [[nodiscard]] bool is_drained() const;
    [[nodiscard]] bool is_draining() const
    {
        return m_draining;
    }

    void execute(caller_request request,
                 const std::shared_ptr<caller_reply>& reply);
    // The job, or null when it was refused.
    std::shared_ptr<transaction_job>
    open_transaction(const transaction_request& request,
                     const std::shared_ptr<caller_reply>& reply);

    void apply(apply_request request,
               const std::function<void(change_report)>& done);
    void change_status(base::configuration_version version,
                       const std::function<void(change_report)>& done);
    [[nodiscard]] shown_configuration show() const;
    void issue_key(const base::organisation_id& organisation,
                   change_label label,
                   const std::function<void(issued_key_report)>& done);
    void withdraw_key(const base::key_id& key, change_label label,
                      const std::function<void(change_report)>& done);
    [[nodiscard]] host_status status();

    rpc::borrow_response borrow(const rpc::borrow_request& request);

    control_plane& control()
    {
        return m_control;
    }

    context& shared() override;
    request::retry_policy& retries() override;
    group_runtime* find_group(const base::group_id& id) override;
    bool is_still_authorised(const authority& what, base::instant now) override;
    base::result<std::string>
    encode(const session::session_state& state) override;
    void job_finished(const job& what) override;

    const std::function<void(std::function<void()>)> m_post;

private:
    tl::expected<authorised, base::refusal>
    authorise(const std::string& key, const base::route_id& route,
              const std::string& token, base::instant now);
    base::result<base::key_id>
    check_key(const std::string& key, const inventory::route& route,
              authorised& result, base::refusal& refusal, base::instant now);
    void refuse(const std::shared_ptr<caller_reply>& reply,
                base::refusal refusal);
    [[nodiscard]] absl::Duration jittered(absl::Duration delay);
    void admit(const authorised& who, base::instant deadline,
               const std::shared_ptr<caller_reply>& reply,
               std::function<void(base::instant)> run, base::instant now);
    void refresh_groups(base::instant now);
    void apply_shares(base::instant now);
    [[nodiscard]] token_pooling
    pooling_of(const inventory::organisation& who) const;
    void ask_for_tokens(const token_request& what, base::instant now);
    rpc::borrow_response lend_tokens(const base::organisation_id& organisation,
                                     std::uint64_t amount, base::instant now);
    void publish_observations(base::instant now);
    [[nodiscard]] configuration::content present_content() const;
    [[nodiscard]] static change_report report(const change_result& result);

    core_options m_options;
    event_sink m_sink;
    context m_shared;
    logging::logger m_log{"core"};
    control_plane m_control;
    rate_gate m_gate;
    budgeted_retries m_retries;
    base::configuration_version m_groups_version;
    absl::flat_hash_map<base::group_id, std::unique_ptr<group_runtime>>
        m_groups;
    // Keeps running jobs alive while only timers refer to them.
    absl::flat_hash_map<const job*, std::shared_ptr<job>> m_jobs;
    bool m_draining = false;
};

} // namespace magnoliastack::proxy

#endif
