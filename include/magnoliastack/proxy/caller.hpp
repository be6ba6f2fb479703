// What the core sees of a caller: its request and where the answer goes.
#ifndef MAGNOLIASTACK_PROXY_CALLER_HPP
#define MAGNOLIASTACK_PROXY_CALLER_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/refusal.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/rpc/endpoint_link.hpp"

#include <memory>
#include <string>
#include <vector>

namespace magnoliastack::proxy
{

// End of a whole answer.
struct answer
{
    std::vector<rpc::row> m_rows;
    std::string m_session_token;
    bool m_repeated = false;
    bool m_from_replica = false;
    absl::Duration m_staleness;
    base::endpoint_id m_endpoint;
};

// Receives the answer to one request or transaction step. Called on the event
// loop; implementations hand over to their own threads.
class caller_reply
{
public:
    virtual ~caller_reply() = default;

    // The whole answer. For a transaction step, the next step may follow.
    virtual void deliver(answer what) = 0;

    // Nothing follows.
    virtual void refuse(const base::refusal& what) = 0;
};

// A request as the caller sent it.
struct caller_request
{
    // Only compared with the key records; never logged or passed on.
    std::string m_key;
    base::route_id m_route;
    std::vector<rpc::statement> m_statements;
    base::request_id m_id;
    bool m_has_id = false;
    bool m_may_repeat = false;
    std::string m_session_token;
    base::instant m_deadline;
};

// First step of a transaction.
struct transaction_request
{
    std::string m_key;
    base::route_id m_route;
    std::string m_session_token;
    base::instant m_deadline;
};

// An open transaction. Calls come from any thread, one step at a time; each
// step is answered through the reply given at the start.
class transaction_handle
{
public:
    virtual ~transaction_handle() = default;

    virtual void run(rpc::statement what) = 0;
    virtual void commit(base::request_id id) = 0;
    virtual void roll_back() = 0;

    // The caller is gone: rolls back without an answer.
    virtual void abandon() = 0;
};

// Serves callers. Calls come from any thread and return at once.
class caller_service
{
public:
    virtual ~caller_service() = default;

    virtual void execute(caller_request request,
                         std::shared_ptr<caller_reply> reply) = 0;

    virtual std::shared_ptr<transaction_handle>
    open_transaction(transaction_request request,
                     std::shared_ptr<caller_reply> reply) = 0;
};

} // namespace magnoliastack::proxy

#endif
