// Certificates for tests of TLS between peers.
#ifndef MAGNOLIASTACK_UNITTESTS_PEER_CERTIFICATES_HPP
#define MAGNOLIASTACK_UNITTESTS_PEER_CERTIFICATES_HPP

#include "magnoliastack/peer/peer_node.hpp"

namespace magnoliastack::peer::test
{

// A new authority, and a certificate and key that it signed.
tls_options make_certificates();

} // namespace magnoliastack::peer::test

#endif
