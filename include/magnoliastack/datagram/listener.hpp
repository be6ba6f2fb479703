// Opens listening sockets.
#ifndef MAGNOLIASTACK_DATAGRAM_LISTENER_HPP
#define MAGNOLIASTACK_DATAGRAM_LISTENER_HPP

#include "magnoliastack/base/error.hpp"

#include <utility>

#include <boost/asio.hpp>

#include <string>

namespace magnoliastack::datagram
{

// Binds the acceptor to `ip:port` and listens with room for `backlog`
// connections that are not accepted yet.
base::result<bool> open_listener(boost::asio::ip::tcp::acceptor& acceptor,
                                 const std::string& address, int backlog);

} // namespace magnoliastack::datagram

#endif
