#include "magnoliastack/datagram/address.hpp"

#include "absl/strings/numbers.h"

namespace magnoliastack::datagram
{

base::result<boost::asio::ip::tcp::endpoint>
parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    std::uint32_t port = 0;
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address_v4(
        text.substr(0, colon == std::string::npos ? 0 : colon), error);
    if (colon == std::string::npos || error ||
        !absl::SimpleAtoi(text.substr(colon + 1), &port) || port == 0 ||
        port > 65535)
        return base::fail(base::error_code::invalid_argument,
                          "\"" + text +
                              "\" is not an address, expected "
                              "IP:PORT such as 10.1.0.26:8465");
    return boost::asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

std::string to_string(const boost::asio::ip::tcp::endpoint& address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace magnoliastack::datagram
