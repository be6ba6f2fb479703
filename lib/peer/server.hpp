// Answers the calls of peers.
#ifndef MAGNOLIASTACK_LIB_PEER_SERVER_HPP
#define MAGNOLIASTACK_LIB_PEER_SERVER_HPP

#include "task_queue.hpp"
#include "transport.hpp"

#include "magnoliastack/peer/peer_node.hpp"

#include <capnp/capability.h>
#include <kj/async-io.h>

#include <memory>

namespace magnoliastack::peer
{

// Accepts connections and serves them. Lives in the loop's thread.
class server final : private kj::TaskSet::ErrorHandler
{
public:
    server(const node_options& options, rpc::peer_service& service,
           std::shared_ptr<task_queue> queue, transport& streams,
           kj::Timer& timer, kj::Own<kj::ConnectionReceiver> receiver);

    // KJ's handler interface has no virtual destructor of its own.
    virtual ~server() = default;

private:
    class connection;
    class peer_server;

    kj::Promise<void> accept_next();
    void serve(kj::Own<kj::AsyncIoStream> stream);
    void taskFailed(kj::Exception&& exception) override;

    const node_options& m_options;
    transport& m_streams;
    kj::Timer& m_timer;
    capnp::Capability::Client m_bootstrap;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    std::size_t m_connections = 0;
    kj::TaskSet m_tasks;
};

} // namespace magnoliastack::peer

#endif
