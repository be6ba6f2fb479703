// Work that waits for, or uses, a connection to an endpoint.
#ifndef MAGNOLIASTACK_LIB_PROXY_JOB_HPP
#define MAGNOLIASTACK_LIB_PROXY_JOB_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/refusal.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/group/group_view.hpp"
#include "magnoliastack/routing/read_routing.hpp"
#include "magnoliastack/rpc/endpoint_link.hpp"

#include <vector>

namespace magnoliastack::proxy
{

// Where a job may run.
struct placement
{
    // Only on the primary; otherwise as m_read allows.
    bool m_primary = false;
    routing::read_requirements m_read;
};

// The connection that a job has got.
struct grant
{
    base::endpoint_id m_endpoint;
    base::connection_generation m_connection;
    // The term in which the endpoint was seen as primary.
    base::term m_term;
};

// One request or transaction as the group and its endpoints see it. All
// functions run on the event loop.
class job
{
public:
    virtual ~job() = default;

    [[nodiscard]] virtual const base::organisation_id& organisation() const = 0;
    [[nodiscard]] virtual base::instant deadline() const = 0;
    // Statements that it runs; its weight in the fair queue.
    [[nodiscard]] virtual std::uint64_t cost() const = 0;
    [[nodiscard]] virtual placement where() const = 0;

    // False once the job is over or may not run any more; queues drop it.
    [[nodiscard]] virtual bool is_wanted(base::instant now) = 0;

    // A connection is at hand: returns the call to send on it.
    virtual rpc::call start_call(const grant& what, base::instant now) = 0;

    // The whole answer to the last call. True keeps the connection with the
    // job; false gives it back.
    virtual bool call_ended(rpc::call_end end, std::vector<rpc::row> rows,
                            base::instant now) = 0;

    // The connection was lost during a call or while the job kept it.
    virtual void connection_lost(base::instant now) = 0;

    // It cannot be queued, and waiting does not help.
    virtual void cannot_run(base::refusal_reason reason,
                            absl::Duration retry_delay, base::instant now) = 0;

    // The group's state changed while the job waits for a commit point. True
    // when the job waits no longer.
    virtual bool check_commit(const group::group_view& view,
                              base::instant now) = 0;
};

} // namespace magnoliastack::proxy

#endif
