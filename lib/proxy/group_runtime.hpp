// One database group at this host: monitoring, placement, commit, failover.
#ifndef MAGNOLIASTACK_LIB_PROXY_GROUP_RUNTIME_HPP
#define MAGNOLIASTACK_LIB_PROXY_GROUP_RUNTIME_HPP

#include "context.hpp"
#include "endpoint_runtime.hpp"
#include "job.hpp"

#include "magnoliastack/failover/controller.hpp"
#include "magnoliastack/group/group_view.hpp"
#include "magnoliastack/inventory/inventory.hpp"
#include "magnoliastack/logging/logging.hpp"
#include "magnoliastack/proxy/operator_service.hpp"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace magnoliastack::proxy
{

// Settings of a group at this host.
struct group_options
{
    absl::Duration m_monitor_interval = absl::Milliseconds(50);
    endpoint_options m_endpoint;
};

// Carries out the decisions of group_view, routing and the failover
// controller for one group.
class group_runtime final : public placement_check
{
public:
    group_runtime(context& shared, const inventory::group& description,
                  const std::vector<inventory::endpoint>& endpoints,
                  group_options options);
    ~group_runtime() override;

    group_runtime(const group_runtime&) = delete;
    group_runtime& operator=(const group_runtime&) = delete;

    // Finds an endpoint for the job, or keeps it until there is one.
    void submit(std::shared_ptr<job> what, base::instant now);

    // Calls job::check_commit now and at each change until it returns true.
    void await_commit(std::shared_ptr<job> what, base::instant now);

    void status_received(const base::endpoint_id& endpoint,
                         base::round_number round,
                         const rpc::endpoint_status& status);
    void monitor_lost(const base::endpoint_id& endpoint);

    // Rounds, failover, connections. `evidence` is what the fleet reports of
    // this group.
    void tick(const failover::evidence_list& evidence, base::instant now);

    // The platform's or the peers' word on which endpoints are leaving.
    void set_leaving(const std::set<base::endpoint_id>& leaving);

    [[nodiscard]] const group::group_view& view() const
    {
        return m_view;
    }
    // The endpoint of this group, or null.
    endpoint_runtime* endpoint(const base::endpoint_id& id);
    [[nodiscard]] const std::map<base::endpoint_id,
                                 std::unique_ptr<endpoint_runtime>>&
    endpoints() const
    {
        return m_endpoints;
    }
    // True when no job waits or runs here.
    [[nodiscard]] bool is_idle() const;

    // True when the group has just these endpoints, with these addresses and
    // sizes.
    [[nodiscard]] bool
    has_endpoints(const std::vector<inventory::endpoint>& endpoints) const;

    // For operators.
    [[nodiscard]] group_status status(base::instant now) const;

    std::optional<base::term> term_for(const job& what,
                                       const base::endpoint_id& endpoint,
                                       base::instant now) override;
    void place_again(std::shared_ptr<job> what, base::instant now) override;

private:
    // A job that no endpoint can run at present.
    struct parked
    {
        std::shared_ptr<job> m_job;
        base::instant m_since;
    };

    void submit_since(std::shared_ptr<job> what, base::instant since,
                      base::instant now);
    void submit_write(std::shared_ptr<job> what, base::instant since,
                      base::instant now);
    void submit_read(std::shared_ptr<job> what, base::instant since,
                     base::instant now);
    void park(std::shared_ptr<job> what, base::instant since,
              base::refusal_reason reason, base::instant now);
    void place_parked(base::instant now);
    void check_commits(base::instant now);
    // What the controller does with an answer to a seal or promote.
    using control_event = std::vector<failover::action> (
        failover::controller::*)(const base::endpoint_id&, base::term,
                                 const base::result<rpc::control_answer>&,
                                 base::instant);

    rpc::control_callback control_handler(base::term target,
                                          control_event event);
    void carry_out(const std::vector<failover::action>& actions);
    void report_promotion(const failover::promoted& what);
    [[nodiscard]] std::vector<routing::endpoint_load> loads() const;
    [[nodiscard]] std::optional<base::endpoint_id>
    usable_primary(base::instant now) const;

    context& m_shared;
    logging::logger m_log{"group"};
    group_options m_options;
    group::group_view m_view;
    failover::controller m_failover;
    std::map<base::endpoint_id, std::unique_ptr<endpoint_runtime>> m_endpoints;
    std::map<base::endpoint_id, std::unique_ptr<rpc::endpoint_monitor>>
        m_monitors;
    std::vector<parked> m_parked;
    std::vector<std::shared_ptr<job>> m_awaiting_commit;
    bool m_checking_commits = false;
    base::instant m_next_round;
    // Callbacks of seal and promote hold it weakly, as they may come after the
    // group was removed by a change of the inventory.
    std::shared_ptr<group_runtime*> m_alive;
};

} // namespace magnoliastack::proxy

#endif
