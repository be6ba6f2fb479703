// Cap'n Proto RPC between proxies: the client and the server of one host.
#ifndef MAGNOLIASTACK_PEER_PEER_NODE_HPP
#define MAGNOLIASTACK_PEER_PEER_NODE_HPP

#include "magnoliastack/rpc/peer_link.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace magnoliastack::peer
{

// Mutual TLS between peers; off when all three are empty. The texts are PEM.
struct tls_options
{
    // Signs the certificates of all peers.
    std::string m_authority;
    std::string m_certificate;
    std::string m_private_key;
    // Name that every peer's certificate contains; addresses change with
    // hosts, so they are not in the certificates.
    std::string m_name = "magnolia-peer";
};

// Address and limits of a node.
struct node_options
{
    // IP address and port to listen on; port 0 chooses one.
    std::string m_listen_address = "127.0.0.1:0";
    // Larger messages are refused and close the connection. The largest one
    // has a configuration of up to 16 MB.
    std::size_t m_max_message_bytes = 20U << 20U;
    // Connections from peers; further ones are closed at once.
    std::size_t m_max_connections = 2'048;
    // Calls without an answer to one address; further ones fail at once.
    std::size_t m_max_calls_per_peer = 256;
    // A call of a peer that is not answered in this time is given up.
    absl::Duration m_reply_timeout = absl::Seconds(10);
    tls_options m_tls;
};

// Calls and serves peers in one thread of its own. Connections are opened when
// needed and closed when a call gets no answer in its timeout and nothing else
// arrived meanwhile, so a connection that has stopped to work is replaced.
//
// Callbacks and the service are called from the node's thread and must return
// quickly. Each callback comes once; calls that are open when the node stops
// fail with unavailable, and calls made after that fail in the caller's thread.
class peer_node final : public rpc::peer_link
{
public:
    // Starts to listen. Fails with invalid_argument for a wrong address or
    // certificate and with unavailable when the port is taken. The service
    // must outlive the node; its replies may come later.
    static base::result<std::unique_ptr<peer_node>>
    start(node_options options, rpc::peer_service& service);

    // Closes all connections and ends the thread.
    ~peer_node() override;

    peer_node(const peer_node&) = delete;
    peer_node& operator=(const peer_node&) = delete;

    // The port that the node listens on.
    [[nodiscard]] std::uint16_t port() const;

    void exchange(
        const std::string& address, const rpc::exchange_message& message,
        absl::Duration timeout,
        std::function<void(base::result<rpc::exchange_message>)> done) override;

    void borrow(
        const std::string& address, const rpc::borrow_request& request,
        absl::Duration timeout,
        std::function<void(base::result<rpc::borrow_response>)> done) override;

    void give_back_loan(const std::string& address,
                        const rpc::give_back& message, absl::Duration timeout,
                        std::function<void(base::result<bool>)> done) override;

    void fetch_configuration(
        const std::string& address, base::configuration_version minimum_version,
        absl::Duration timeout,
        std::function<void(base::result<rpc::configuration_object>)> done)
        override;

private:
    class impl;

    explicit peer_node(std::unique_ptr<impl> node);

    std::unique_ptr<impl> m_impl;
};

} // namespace magnoliastack::peer

#endif
