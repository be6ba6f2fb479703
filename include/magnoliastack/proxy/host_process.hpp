// Everything that one magnolia-proxy process runs.
#ifndef MAGNOLIASTACK_PROXY_HOST_PROCESS_HPP
#define MAGNOLIASTACK_PROXY_HOST_PROCESS_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/peer/peer_node.hpp"
#include "magnoliastack/proxy/core.hpp"

#include <memory>
#include <string>

namespace magnoliastack::proxy
{

// Certificates for callers and operators as PEM text; plaintext when empty.
struct caller_tls_options
{
    std::string m_certificate;
    std::string m_private_key;
    // When set, callers have to show a certificate of this authority.
    std::string m_client_authority;
};

// What a process has to know at its start.
struct host_options
{
    core_options m_core;
    // IP address and port for callers and operators.
    std::string m_caller_address;
    std::string m_platform_address;
    // Operators have to show this secret; none is asked for when empty.
    std::string m_operator_secret;
    caller_tls_options m_caller_tls;
    peer::node_options m_peer;
};

// Owns the event loop, the links and the servers.
class host_process
{
public:
    // Starts everything; fails when an address cannot be listened on or a
    // certificate is wrong.
    static base::result<std::unique_ptr<host_process>>
    start(host_options options);

    // Stops at once; requests in progress are answered with `draining`.
    ~host_process();

    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;

    // Starts the planned stop.
    void drain();

    // True when the planned stop is complete and the process may exit.
    [[nodiscard]] bool is_drained() const;

private:
    class impl;
    explicit host_process(std::unique_ptr<impl> parts);
    std::unique_ptr<impl> m_impl;
};

} // namespace magnoliastack::proxy

#endif
