// Datagrams between hosts over UDP.
#ifndef MAGNOLIASTACK_DATAGRAM_UDP_LINK_HPP
#define MAGNOLIASTACK_DATAGRAM_UDP_LINK_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/logging/logging.hpp"
#include "magnoliastack/rpc/fleet_store.hpp"

#include <utility>

#include <boost/asio.hpp>

#include <array>
#include <functional>
#include <string>
#include <string_view>

namespace magnoliastack::datagram
{

// One socket. Runs on the io_context's thread.
class udp_link final : public rpc::datagram_link
{
public:
    explicit udp_link(boost::asio::io_context& loop);

    // Passes what arrives at the address to `received`.
    base::result<bool> listen(const std::string& address,
                              std::function<void(std::string_view)> received);

    void send(const std::string& address, const std::string& bytes) override;

private:
    void receive();

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_from;
    std::array<char, 65536> m_buffer{};
    std::function<void(std::string_view)> m_received;
    logging::logger m_log{"datagram"};
};

} // namespace magnoliastack::datagram

#endif
