// One endpoint at this host: its queue, its connections, its calls.
#ifndef MAGNOLIASTACK_LIB_PROXY_ENDPOINT_RUNTIME_HPP
#define MAGNOLIASTACK_LIB_PROXY_ENDPOINT_RUNTIME_HPP

#include "context.hpp"
#include "job.hpp"

#include "magnoliastack/admission/concurrency_limit.hpp"
#include "magnoliastack/admission/fair_queue.hpp"
#include "magnoliastack/admission/service_estimate.hpp"
#include "magnoliastack/inventory/inventory.hpp"
#include "magnoliastack/pool/endpoint_pool.hpp"

#include <map>
#include <memory>
#include <optional>

namespace magnoliastack::proxy
{

// Decides for the endpoint whether a popped job may run on it now.
class placement_check
{
public:
    virtual ~placement_check() = default;

    // The term to name in the job's call, or nothing when the job has to be
    // placed anew.
    virtual std::optional<base::term>
    term_for(const job& what, const base::endpoint_id& endpoint,
             base::instant now) = 0;

    // Places the job anew.
    virtual void place_again(std::shared_ptr<job> what, base::instant now) = 0;
};

// Settings of an endpoint at this host.
struct endpoint_options
{
    // Waiting requests of one organisation.
    std::size_t m_queue_bound = 256;
    // Time for one call's answer.
    absl::Duration m_call_timeout = absl::Seconds(1);
};

// Carries out the decisions of the pool, the fair queue and the limits.
class endpoint_runtime
{
public:
    endpoint_runtime(context& shared, inventory::endpoint description,
                     const endpoint_options& options, placement_check& check);
    ~endpoint_runtime();

    endpoint_runtime(const endpoint_runtime&) = delete;
    endpoint_runtime& operator=(const endpoint_runtime&) = delete;

    [[nodiscard]] const base::endpoint_id& id() const
    {
        return m_description.m_id;
    }
    [[nodiscard]] const inventory::endpoint& description() const
    {
        return m_description;
    }

    // Queues a job, or tells it that it cannot run.
    void enqueue(std::shared_ptr<job> what, base::instant now);

    // Starts queued jobs as far as limits and connections allow.
    void dispatch(base::instant now);

    // Sends another call on a connection that a job has kept. False when the
    // connection is gone.
    bool send_on(base::connection_generation connection, const rpc::call& what,
                 base::instant now);

    // A job gives a kept connection back, or has it closed when its state is
    // uncertain.
    void release(base::connection_generation connection, base::instant now);
    void discard(base::connection_generation connection, base::instant now);

    void connection_ready(base::connection_generation connection);
    void call_answered(base::connection_generation connection,
                       rpc::call_part part);
    void connection_closed(base::connection_generation connection,
                           const base::error& reason);

    // A status of the endpoint, for the adaptive limit.
    void status_received(const rpc::endpoint_status& status, base::instant now);

    // Connections that this host may have open.
    void set_allowance(std::size_t count, base::instant now);

    void tick(base::instant now);

    [[nodiscard]] routing::endpoint_load load() const;
    [[nodiscard]] const pool::endpoint_pool& connections() const
    {
        return m_pool;
    }
    // True when no job waits or runs here.
    [[nodiscard]] bool is_idle() const;

private:
    // A connection in the hands of a job.
    struct taken
    {
        std::shared_ptr<job> m_job;
        base::call_id m_call;
        bool m_in_call = false;
        // A successful answer to the call has a point in the log.
        bool m_has_point = false;
        base::instant m_sent_at;
        std::vector<rpc::row> m_rows;
    };

    void open(base::connection_generation connection);
    void close(base::connection_generation connection,
               pool::close_reason reason, base::instant now);
    void start(std::shared_ptr<job> what, base::term term, base::instant now);
    void send(base::connection_generation connection, taken& holder,
              const rpc::call& what, base::instant now);
    void finish_call(base::connection_generation connection, rpc::call_end end,
                     base::instant now);
    void lose(base::connection_generation connection, base::instant now);
    [[nodiscard]] std::uint32_t calls_in_flight() const
    {
        return m_calls_in_flight;
    }

    context& m_shared;
    inventory::endpoint m_description;
    placement_check& m_check;
    pool::endpoint_pool m_pool;
    admission::fair_queue<std::shared_ptr<job>> m_queue;
    admission::concurrency_limit m_limit;
    admission::service_estimate m_estimate;
    std::map<base::connection_generation,
             std::unique_ptr<rpc::endpoint_connection>>
        m_connections;
    std::map<base::connection_generation, taken> m_taken;
    std::uint32_t m_calls_in_flight = 0;
    bool m_dispatching = false;
};

} // namespace magnoliastack::proxy

#endif
