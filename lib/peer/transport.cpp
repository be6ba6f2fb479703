#include "transport.hpp"

#include "absl/strings/str_cat.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace magnoliastack::peer
{

namespace
{

// A connection to a host that vanished without closing it would stay for ever
// at the side that only answers. Found after 10 s + 3 x 5 s of silence.
void set_socket_options(kj::AsyncIoStream& stream)
{
    const int on = 1;
    const int idle_seconds = 10;
    const int interval_seconds = 5;
    const int probes = 3;
    stream.setsockopt(SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds,
                      sizeof(idle_seconds));
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, &interval_seconds,
                      sizeof(interval_seconds));
    stream.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

base::result<std::unique_ptr<transport>>
transport::create(const tls_options& options, kj::Timer& timer)
{
    std::unique_ptr<transport> made(new transport());
    made->m_name = options.m_name;
    const bool none = options.m_authority.empty() &&
                      options.m_certificate.empty() &&
                      options.m_private_key.empty();
    if (none)
        return made;
    const auto failure = kj::runCatchingExceptions(
        [&]()
        {
            const kj::TlsCertificate authority(
                kj::StringPtr(options.m_authority.c_str()));
            kj::TlsKeypair own{
                kj::TlsPrivateKey(kj::StringPtr(options.m_private_key.c_str())),
                kj::TlsCertificate(
                    kj::StringPtr(options.m_certificate.c_str()))};
            kj::TlsContext::Options tls;
            tls.useSystemTrustStore = false;
            tls.verifyClients = true;
            tls.trustedCertificates = kj::arrayPtr(&authority, 1);
            tls.defaultKeypair = own;
            tls.timer = timer;
            tls.acceptTimeout = 5 * kj::SECONDS;
            made->m_tls = std::make_unique<kj::TlsContext>(kj::mv(tls));
        });
    KJ_IF_MAYBE (reason, failure)
    {
        return base::fail(
            base::error_code::invalid_argument,
            absl::StrCat("TLS between peers cannot be set up, expected an "
                         "authority, a certificate and its private key in "
                         "PEM: ",
                         reason->getDescription().cStr()));
    }
    return made;
}

kj::Promise<kj::Own<kj::AsyncIoStream>>
transport::opened(kj::Own<kj::AsyncIoStream> stream)
{
    set_socket_options(*stream);
    if (!m_tls)
        return kj::mv(stream);
    return m_tls->wrapClient(kj::mv(stream), kj::StringPtr(m_name.c_str()));
}

kj::Promise<kj::Own<kj::AsyncIoStream>>
transport::accepted(kj::Own<kj::AsyncIoStream> stream)
{
    set_socket_options(*stream);
    if (!m_tls)
        return kj::mv(stream);
    return m_tls->wrapServer(kj::mv(stream));
}

capnp::ReaderOptions reader_options(std::size_t max_message_bytes)
{
    // The library refuses messages above the traversal limit before it
    // allocates memory for them.
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_message_bytes / sizeof(capnp::word);
    return options;
}

} // namespace magnoliastack::peer
