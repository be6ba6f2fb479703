#include "magnoliastack/peer/peer_node.hpp"

#include "address.hpp"
#include "client.hpp"
#include "server.hpp"
#include "task_queue.hpp"
#include "wire.hpp"

#include "absl/strings/str_cat.h"

#include <future>
#include <thread>
#include <utility>

namespace magnoliastack::peer
{

class peer_node::impl
{
public:
    impl(node_options options, rpc::peer_service& service)
        : m_options(std::move(options)), m_service(service),
          m_queue(std::make_shared<task_queue>())
    {
    }

    ~impl()
    {
        if (!m_thread.joinable())
            return;
        m_queue->post(
            [this]()
            {
                m_stop->fulfill();
            });
        m_thread.join();
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    base::result<bool> start()
    {
        std::future<base::result<std::uint16_t>> started =
            m_started.get_future();
        m_thread = std::thread(
            [this]()
            {
                run();
            });
        const base::result<std::uint16_t> port = started.get();
        if (!port)
        {
            m_thread.join();
            return tl::make_unexpected(port.error());
        }
        m_port = *port;
        return true;
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

    // Runs a call in the loop's thread.
    template <typename Value, typename Start>
    void call(const std::string& address, absl::Duration timeout,
              std::function<void(base::result<Value>)> done, Start start)
    {
        auto waiting = std::make_shared<completion<Value>>(std::move(done));
        m_queue->post(
            [this, address, timeout, waiting, start = std::move(start)]()
            {
                m_client->call<Value>(address, timeout, waiting, start);
            });
    }

private:
    void run()
    {
        bool reported = false;
        const auto failure = kj::runCatchingExceptions(
            [&]()
            {
                auto io = kj::setupAsyncIo();
                serve(io, reported);
            });
        m_queue->stop();
        KJ_IF_MAYBE (reason, failure)
        {
            if (!reported)
                m_started.set_value(
                    base::fail(base::error_code::unavailable,
                               absl::StrCat("cannot listen on ",
                                            m_options.m_listen_address, ": ",
                                            reason->getDescription().cStr())));
        }
    }

    void serve(kj::AsyncIoContext& io, bool& reported)
    {
        auto& network = io.provider->getNetwork();
        auto& timer = io.provider->getTimer();
        auto address = parse_address(network, m_options.m_listen_address);
        auto streams = transport::create(m_options.m_tls, timer);
        if (!address || !streams)
        {
            reported = true;
            m_started.set_value(tl::make_unexpected(
                !address ? address.error() : streams.error()));
            return;
        }
        auto receiver = (*address)->listen();
        const auto port = static_cast<std::uint16_t>(receiver->getPort());
        auto stop = kj::newPromiseAndFulfiller<void>();
        m_stop = kj::mv(stop.fulfiller);
        server incoming(m_options, m_service, m_queue, **streams, timer,
                        kj::mv(receiver));
        client outgoing(m_options, **streams, network, timer);
        m_client = &outgoing;
        auto tasks = m_queue->run(*io.lowLevelProvider);
        reported = true;
        m_started.set_value(port);
        tasks.exclusiveJoin(kj::mv(stop.promise)).wait(io.waitScope);
        // Tasks refer to the client and the pipe belongs to the loop.
        m_queue->stop();
        m_stop = nullptr;
    }

    node_options m_options;
    rpc::peer_service& m_service;
    std::shared_ptr<task_queue> m_queue;
    std::promise<base::result<std::uint16_t>> m_started;
    std::uint16_t m_port = 0;
    kj::Own<kj::PromiseFulfiller<void>> m_stop;
    client* m_client = nullptr;
    std::thread m_thread;
};

peer_node::peer_node(std::unique_ptr<impl> node) : m_impl(std::move(node))
{
}

peer_node::~peer_node() = default;

base::result<std::unique_ptr<peer_node>>
peer_node::start(node_options options, rpc::peer_service& service)
{
    auto node = std::make_unique<impl>(std::move(options), service);
    const base::result<bool> started = node->start();
    if (!started)
        return tl::make_unexpected(started.error());
    return std::unique_ptr<peer_node>(new peer_node(std::move(node)));
}

std::uint16_t peer_node::port() const
{
    return m_impl->port();
}

void peer_node::exchange(
    const std::string& address, const rpc::exchange_message& message,
    absl::Duration timeout,
    std::function<void(base::result<rpc::exchange_message>)> done)
{
    m_impl->call<rpc::exchange_message>(
        address, timeout, std::move(done),
        [message](wire::Peer::Client& peer)
        {
            auto request = peer.exchangeRequest();
            write(message, request.initRequest());
            return request.send().then(
                [](auto&& answer)
                {
                    return read(answer.getResponse());
                });
        });
}

void peer_node::borrow(
    const std::string& address, const rpc::borrow_request& request,
    absl::Duration timeout,
    std::function<void(base::result<rpc::borrow_response>)> done)
{
    m_impl->call<rpc::borrow_response>(address, timeout, std::move(done),
                                       [request](wire::Peer::Client& peer)
                                       {
                                           auto call = peer.borrowRequest();
                                           write(request, call.initRequest());
                                           return call.send().then(
                                               [](auto&& answer)
                                               {
                                                   return read(
                                                       answer.getResponse());
                                               });
                                       });
}

void peer_node::give_back_loan(const std::string& address,
                               const rpc::give_back& message,
                               absl::Duration timeout,
                               std::function<void(base::result<bool>)> done)
{
    m_impl->call<bool>(address, timeout, std::move(done),
                       [message](wire::Peer::Client& peer)
                       {
                           auto request = peer.giveBackRequest();
                           write(message, request.initRequest());
                           return request.send().then(
                               [](auto&&)
                               {
                                   return true;
                               });
                       });
}

void peer_node::fetch_configuration(
    const std::string& address, base::configuration_version minimum_version,
    absl::Duration timeout,
    std::function<void(base::result<rpc::configuration_object>)> done)
{
    m_impl->call<rpc::configuration_object>(
        address, timeout, std::move(done),
        [minimum_version](wire::Peer::Client& peer)
        {
            auto request = peer.fetchConfigurationRequest();
            request.setMinimumVersion(minimum_version.value());
            return request.send().then(
                [](auto&& answer)
                {
                    return read(answer.getConfiguration());
                });
        });
}

} // namespace magnoliastack::peer
