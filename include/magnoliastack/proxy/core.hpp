// The proxy itself: authorises requests, runs them, and answers operators and
// peers.
#ifndef MAGNOLIASTACK_PROXY_CORE_HPP
#define MAGNOLIASTACK_PROXY_CORE_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/metrics/metrics.hpp"
#include "magnoliastack/proxy/caller.hpp"
#include "magnoliastack/proxy/operator_service.hpp"
#include "magnoliastack/rpc/endpoint_link.hpp"
#include "magnoliastack/rpc/peer_link.hpp"
#include "magnoliastack/rpc/platform_link.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliastack::proxy
{

// What a core has to know at its start.
struct core_options
{
    base::host_id m_self;
    base::failure_domain_id m_failure_domain;
    // Start count of the process; higher than any earlier one of this host.
    base::incarnation m_incarnation;
    std::string m_peer_address;
    std::vector<std::string> m_seeds;
    absl::Duration m_monitor_interval = absl::Milliseconds(50);
    // How long a read waits for a replica before it goes to the primary.
    absl::Duration m_replica_wait = absl::Milliseconds(20);
    std::size_t m_queue_per_organisation = 256;
    // Time for one statement list at an endpoint; beyond it the answer counts
    // as lost.
    absl::Duration m_call_timeout = absl::Seconds(1);
    // Requests and transactions in progress; more are refused at once.
    std::size_t m_max_requests = 20'000;
};

// The links to the outside; they outlive the core.
struct core_links
{
    const base::clock& m_clock;
    rpc::endpoint_link& m_endpoints;
    rpc::platform_link& m_platform;
    rpc::peer_link& m_peers;
    metrics::registry& m_metrics;
    // Runs a task on the event loop; from any thread.
    std::function<void(std::function<void()>)> m_post;
};

// All functions of the base classes may be called from any thread; tick and
// what begins with `drain` run on the event loop.
class core final : public caller_service,
                   public operator_service,
                   public rpc::peer_service
{
public:
    core(core_options options, core_links links);
    ~core() override;

    core(const core&) = delete;
    core& operator=(const core&) = delete;

    // Runs everything that is due; call it every 5 ms.
    void tick();

    // Takes no new request from now on and finishes those that run.
    void drain();

    // True once a planned stop was asked for, by a signal or an operator.
    [[nodiscard]] bool is_draining() const;

    // True when the planned stop is complete.
    [[nodiscard]] bool is_drained() const;

    // Drops all work and connections; the loop must have stopped. Callbacks of
    // the links refer to the core, so the links are destroyed between this and
    // the core's destruction.
    void close();

    // Has the platform drop this host from its list; last step of a stop.
    void announce_gone();

    void execute(caller_request request,
                 std::shared_ptr<caller_reply> reply) override;
    std::shared_ptr<transaction_handle>
    open_transaction(transaction_request request,
                     std::shared_ptr<caller_reply> reply) override;

    void apply(apply_request request,
               std::function<void(change_report)> done) override;
    void change_status(base::configuration_version version,
                       std::function<void(change_report)> done) override;
    void show(std::function<void(shown_configuration)> done) override;
    void issue_key(base::organisation_id organisation, change_label label,
                   std::function<void(issued_key_report)> done) override;
    void withdraw_key(base::key_id key, change_label label,
                      std::function<void(change_report)> done) override;
    void status(std::function<void(host_status)> done) override;
    void start_drain(std::function<void()> done) override;

    void
    handle_exchange(rpc::exchange_message message,
                    std::function<void(rpc::exchange_message)> reply) override;
    void
    handle_borrow(rpc::borrow_request request,
                  std::function<void(rpc::borrow_response)> reply) override;
    void handle_give_back(rpc::give_back message) override;
    void handle_fetch_configuration(
        base::configuration_version minimum_version,
        std::function<void(base::result<rpc::configuration_object>)> reply)
        override;

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace magnoliastack::proxy

#endif
