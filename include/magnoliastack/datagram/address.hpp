// Addresses as text, such as 10.1.0.26:8465.
#ifndef MAGNOLIASTACK_DATAGRAM_ADDRESS_HPP
#define MAGNOLIASTACK_DATAGRAM_ADDRESS_HPP

#include "magnoliastack/base/error.hpp"

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace magnoliastack::datagram
{

// An IPv4 address and a port; `invalid_argument` for any other text.
base::result<boost::asio::ip::tcp::endpoint>
parse_address(const std::string& text);

// The address in the form that parse_address reads.
std::string to_string(const boost::asio::ip::tcp::endpoint& address);

} // namespace magnoliastack::datagram

#endif
