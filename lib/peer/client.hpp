// Calls peers.
#ifndef MAGNOLIASTACK_LIB_PEER_CLIENT_HPP
#define MAGNOLIASTACK_LIB_PEER_CLIENT_HPP

#include "task_queue.hpp"
#include "transport.hpp"

#include "magnoliastack/peer/peer_node.hpp"

#include "magnoliastack/peer.capnp.h"

#include "absl/container/flat_hash_map.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <memory>
#include <string>

namespace magnoliastack::peer
{

// Keeps one connection for each address. Lives in the loop's thread.
class client final : private kj::TaskSet::ErrorHandler
{
public:
    client(const node_options& options, transport& streams,
           kj::Network& network, kj::Timer& timer);

    // KJ's handler interface has no virtual destructor of its own.
    virtual ~client() = default;

    // Runs a call and reports its outcome. `start` sends the request on the
    // given interface and promises the value.
    template <typename Value, typename Start>
    void call(const std::string& address, absl::Duration timeout,
              std::shared_ptr<completion<Value>> done, Start start);

private:
    // A connection that is open or being opened.
    class connection final : public kj::Refcounted
    {
    public:
        // Resolves when the connection can be used.
        kj::ForkedPromise<void> m_ready = nullptr;
        kj::Own<kj::AsyncIoStream> m_stream;
        kj::Own<capnp::TwoPartyVatNetwork> m_network;
        kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> m_system;
        kj::Maybe<wire::Peer::Client> m_peer;
        std::uint64_t m_answers = 0;
        std::size_t m_open_calls = 0;
    };

    base::result<kj::Own<connection>> find_or_open(const std::string& address);
    kj::Promise<void> open(connection& made, kj::Own<kj::NetworkAddress> to);
    void start_rpc(connection& made, kj::Own<kj::AsyncIoStream> stream);
    void drop(const std::string& address, const connection& broken);
    static base::error to_error(const kj::Exception& reason,
                                const std::string& address);
    void taskFailed(kj::Exception&& exception) override;

    const node_options& m_options;
    transport& m_streams;
    kj::Network& m_network;
    kj::Timer& m_timer;
    absl::flat_hash_map<std::string, kj::Own<connection>> m_connections;
    kj::TaskSet m_tasks;
};

template <typename Value, typename Start>
void client::call(const std::string& address, absl::Duration timeout,
                  std::shared_ptr<completion<Value>> done, Start start)
{
    auto found = find_or_open(address);
    if (!found)
        return done->finish(tl::make_unexpected(found.error()));
    kj::Own<connection> used = kj::mv(*found);
    connection& peer = *used;
    ++peer.m_open_calls;
    const std::uint64_t answers = peer.m_answers;
    kj::Promise<Value> answer = peer.m_ready.addBranch().then(
        [&peer, start = kj::mv(start)]() mutable -> kj::Promise<Value>
        {
            return start(KJ_ASSERT_NONNULL(peer.m_peer));
        });
    m_tasks.add(
        m_timer
            .timeoutAfter(absl::ToInt64Milliseconds(timeout) * kj::MILLISECONDS,
                          kj::mv(answer))
            .then(
                [&peer, done](Value value)
                {
                    ++peer.m_answers;
                    done->finish(std::move(value));
                },
                [this, &peer, done, address, answers](kj::Exception&& reason)
                {
                    // A failure that the peer reported is an answer too.
                    if (reason.getType() == kj::Exception::Type::FAILED)
                        ++peer.m_answers;
                    else if (peer.m_answers == answers)
                        drop(address, peer);
                    done->finish(
                        tl::make_unexpected(to_error(reason, address)));
                })
            .attach(kj::defer(
                [used = kj::mv(used)]() mutable
                {
                    --used->m_open_calls;
                })));
}

} // namespace magnoliastack::peer

#endif
