#include "server.hpp"

#include "wire.hpp"

#include "magnoliastack/peer.capnp.h"

#include "absl/container/flat_hash_map.h"

#include <capnp/rpc-twoparty.h>

#include <utility>

namespace magnoliastack::peer
{

namespace
{

// Replies that the service has not given yet. A reply arrives in any thread
// and possibly after its call was given up, so it finds its call by number.
template <typename Value>
class pending_replies
    : public std::enable_shared_from_this<pending_replies<Value>>
{
public:
    pending_replies(std::shared_ptr<task_queue> queue, kj::Timer& timer,
                    absl::Duration timeout)
        : m_queue(std::move(queue)), m_timer(timer), m_timeout(timeout)
    {
    }

    // Calls `ask` with a reply function and gives the reply that it made.
    template <typename Ask>
    kj::Promise<std::shared_ptr<Value>> wait(Ask&& ask)
    {
        const std::uint64_t number = ++m_last;
        auto pair = kj::newPromiseAndFulfiller<std::shared_ptr<Value>>();
        m_fulfillers[number] = kj::mv(pair.fulfiller);
        // The reply may be destroyed in any thread, also after the loop has
        // ended, so it holds nothing that belongs to the loop.
        std::weak_ptr<pending_replies> self = this->weak_from_this();
        ask(
            [queue = m_queue, self, number](Value value)
            {
                auto shared = std::make_shared<Value>(std::move(value));
                queue->post(
                    [self, number, shared]()
                    {
                        if (const auto replies = self.lock())
                            replies->finish(number, shared);
                    });
            });
        auto promise = pair.promise.attach(kj::defer(
            [replies = this->shared_from_this(), number]()
            {
                replies->m_fulfillers.erase(number);
            }));
        return m_timer.timeoutAfter(absl::ToInt64Milliseconds(m_timeout) *
                                        kj::MILLISECONDS,
                                    kj::mv(promise));
    }

private:
    void finish(std::uint64_t number, std::shared_ptr<Value> value)
    {
        const auto found = m_fulfillers.find(number);
        if (found != m_fulfillers.end())
            found->second->fulfill(std::move(value));
    }

    std::shared_ptr<task_queue> m_queue;
    kj::Timer& m_timer;
    absl::Duration m_timeout;
    std::uint64_t m_last = 0;
    absl::flat_hash_map<std::uint64_t,
                        kj::Own<kj::PromiseFulfiller<std::shared_ptr<Value>>>>
        m_fulfillers;
};

} // namespace

class server::peer_server final : public wire::Peer::Server
{
public:
    peer_server(const node_options& options, rpc::peer_service& service,
                const std::shared_ptr<task_queue>& queue, kj::Timer& timer)
        : m_service(service),
          m_exchanges(std::make_shared<pending_replies<rpc::exchange_message>>(
              queue, timer, options.m_reply_timeout)),
          m_borrows(std::make_shared<pending_replies<rpc::borrow_response>>(
              queue, timer, options.m_reply_timeout)),
          m_fetches(std::make_shared<
                    pending_replies<base::result<rpc::configuration_object>>>(
              queue, timer, options.m_reply_timeout))
    {
    }

    // The generated interface has no virtual destructor of its own.
    virtual ~peer_server() = default;

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        auto message = read(context.getParams().getRequest());
        return m_exchanges
            ->wait(
                [&](auto reply)
                {
                    m_service.handle_exchange(std::move(message), reply);
                })
            .then(
                [context](auto answer) mutable
                {
                    write(*answer, context.getResults().initResponse());
                });
    }

    kj::Promise<void> borrow(BorrowContext context) override
    {
        auto request = read(context.getParams().getRequest());
        return m_borrows
            ->wait(
                [&](auto reply)
                {
                    m_service.handle_borrow(std::move(request), reply);
                })
            .then(
                [context](auto answer) mutable
                {
                    write(*answer, context.getResults().initResponse());
                });
    }

    kj::Promise<void> giveBack(GiveBackContext context) override
    {
        m_service.handle_give_back(read(context.getParams().getRequest()));
        return kj::READY_NOW;
    }

    kj::Promise<void>
    fetchConfiguration(FetchConfigurationContext context) override
    {
        const base::configuration_version minimum(
            context.getParams().getMinimumVersion());
        return m_fetches
            ->wait(
                [&](auto reply)
                {
                    m_service.handle_fetch_configuration(minimum, reply);
                })
            .then(
                [context](auto answer) mutable
                {
                    if (!*answer)
                        kj::throwFatalException(kj::Exception(
                            kj::Exception::Type::FAILED, __FILE__, __LINE__,
                            kj::heapString(answer->error().m_message.c_str())));
                    write(**answer, context.getResults().initConfiguration());
                });
    }

private:
    rpc::peer_service& m_service;
    std::shared_ptr<pending_replies<rpc::exchange_message>> m_exchanges;
    std::shared_ptr<pending_replies<rpc::borrow_response>> m_borrows;
    std::shared_ptr<pending_replies<base::result<rpc::configuration_object>>>
        m_fetches;
};

// One accepted connection with its RPC state.
class server::connection
{
public:
    connection(server& owner, kj::Own<kj::AsyncIoStream> stream)
        : m_owner(owner), m_stream(kj::mv(stream)),
          m_network(*m_stream, capnp::rpc::twoparty::Side::SERVER,
                    reader_options(owner.m_options.m_max_message_bytes)),
          m_system(capnp::makeRpcServer(m_network, owner.m_bootstrap))
    {
        // Calls that wait for answers may hold one message of full size.
        m_system.setFlowLimit(owner.m_options.m_max_message_bytes /
                              sizeof(capnp::word));
    }

    kj::Promise<void> closed()
    {
        return m_network.onDisconnect();
    }

private:
    server& m_owner;
    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_system;
};

server::server(const node_options& options, rpc::peer_service& service,
               std::shared_ptr<task_queue> queue, transport& streams,
               kj::Timer& timer, kj::Own<kj::ConnectionReceiver> receiver)
    : m_options(options), m_streams(streams), m_timer(timer),
      m_bootstrap(kj::heap<peer_server>(options, service, queue, timer)),
      m_receiver(kj::mv(receiver)), m_tasks(*this)
{
    m_tasks.add(accept_next());
}

kj::Promise<void> server::accept_next()
{
    return m_receiver->accept()
        .then(
            [this](kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void>
            {
                serve(kj::mv(stream));
                return kj::READY_NOW;
            },
            [this](kj::Exception&&) -> kj::Promise<void>
            {
                // Out of descriptors, for example: other connections go on.
                return m_timer.afterDelay(100 * kj::MILLISECONDS);
            })
        .then(
            [this]()
            {
                return accept_next();
            });
}

void server::serve(kj::Own<kj::AsyncIoStream> stream)
{
    if (m_connections >= m_options.m_max_connections)
        return;
    ++m_connections;
    m_tasks.add(kj::evalNow(
                    [&]()
                    {
                        return m_streams.accepted(kj::mv(stream));
                    })
                    .then(
                        [this](kj::Own<kj::AsyncIoStream> ready)
                        {
                            auto made =
                                kj::heap<connection>(*this, kj::mv(ready));
                            auto closed = made->closed();
                            return closed.attach(kj::mv(made));
                        })
                    .attach(kj::defer(
                        [this]()
                        {
                            --m_connections;
                        })));
}

void server::taskFailed(kj::Exception&& exception)
{
    // A connection that broke or sent an unreadable message; it is closed and
    // nothing else is affected.
    static_cast<void>(exception);
}

} // namespace magnoliastack::peer
