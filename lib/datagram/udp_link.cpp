#include "magnoliastack/datagram/udp_link.hpp"

#include "magnoliastack/datagram/address.hpp"

namespace magnoliastack::datagram
{

namespace asio = boost::asio;
using asio::ip::udp;

udp_link::udp_link(asio::io_context& loop) : m_socket(loop)
{
}

base::result<bool>
udp_link::listen(const std::string& address,
                 std::function<void(std::string_view)> received)
{
    const auto where = parse_address(address);
    if (!where)
        return tl::make_unexpected(where.error());
    m_received = std::move(received);
    boost::system::error_code error;
    m_socket.open(udp::v4(), error);
    if (!error)
        m_socket.bind(udp::endpoint(where->address(), where->port()), error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return base::fail(base::error_code::unavailable,
                          "cannot bind " + address + ": " + error.message());
    receive();
    return true;
}

void udp_link::send(const std::string& address, const std::string& bytes)
{
    const auto where = parse_address(address);
    if (!where)
    {
        m_log.warning("address_unreadable",
                      {{"reason", where.error().m_message}});
        return;
    }
    boost::system::error_code error;
    m_socket.send_to(asio::buffer(bytes),
                     udp::endpoint(where->address(), where->port()), 0, error);
    // The next report replaces a lost one.
    if (error && error != asio::error::would_block)
        m_log.debug("send_failed",
                    {{"to", address}, {"reason", error.message()}});
}

void udp_link::receive()
{
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_from,
        [this](const boost::system::error_code& error, std::size_t count)
        {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                m_received({m_buffer.data(), count});
            receive();
        });
}

} // namespace magnoliastack::datagram
