// Streams between peers, with TLS when it is configured.
#ifndef MAGNOLIASTACK_LIB_PEER_TRANSPORT_HPP
#define MAGNOLIASTACK_LIB_PEER_TRANSPORT_HPP

#include "magnoliastack/peer/peer_node.hpp"

#include <capnp/message.h>
#include <kj/async-io.h>
#include <kj/compat/tls.h>

#include <memory>

namespace magnoliastack::peer
{

// Makes and accepts streams. Lives in the loop's thread.
class transport
{
public:
    // Fails with invalid_argument when the TLS texts cannot be used.
    static base::result<std::unique_ptr<transport>>
    create(const tls_options& options, kj::Timer& timer);

    // Prepares a connection that this host opened.
    kj::Promise<kj::Own<kj::AsyncIoStream>>
    opened(kj::Own<kj::AsyncIoStream> stream);

    // Prepares a connection that another host opened.
    kj::Promise<kj::Own<kj::AsyncIoStream>>
    accepted(kj::Own<kj::AsyncIoStream> stream);

private:
    transport() = default;

    std::string m_name;
    std::unique_ptr<kj::TlsContext> m_tls;
};

// Limits for the messages that are received.
capnp::ReaderOptions reader_options(std::size_t max_message_bytes);

} // namespace magnoliastack::peer

#endif
