// Loopback relays between the processes of the soak: they delay, hold, reset
// and silence what passes, in one direction or both.
#ifndef MAGNOLIASTACK_TEST_SOAK_RELAY_HPP
#define MAGNOLIASTACK_TEST_SOAK_RELAY_HPP

#include <utility>

#include <boost/asio.hpp>

#include <array>
#include <chrono>
#include <list>
#include <memory>

namespace magnoliastack::soak
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

// A free port that no outgoing connection takes, so that a process finds its
// own again after it was down.
unsigned short unused_port(asio::io_context& loop);

// What is wrong on one way at present.
struct link_state
{
    // Nothing passes, no new connection either; bytes wait until the cut ends.
    bool m_cut_forward = false;
    bool m_cut_back = false;
    std::chrono::milliseconds m_delay{0};

    [[nodiscard]] bool is_calm() const
    {
        return !m_cut_forward && !m_cut_back && m_delay.count() == 0;
    }
};

// Relays the TCP connections of one client to one server.
class tcp_relay
{
public:
    // Listens at `port`, or at any free one for 0.
    tcp_relay(asio::io_context& loop, unsigned short server,
              unsigned short port = 0);

    [[nodiscard]] unsigned short port() const
    {
        return m_acceptor.local_endpoint().port();
    }
    void set(const link_state& state);
    [[nodiscard]] const link_state& state() const
    {
        return m_state;
    }
    // Ends all connections with a reset.
    void reset();
    // The open connections pass nothing any more; new ones do.
    void silence();

private:
    struct connection;

    void accept();
    [[nodiscard]] bool is_cut() const
    {
        return m_state.m_cut_forward || m_state.m_cut_back;
    }

    asio::io_context& m_loop;
    unsigned short m_server;
    tcp::acceptor m_acceptor;
    link_state m_state;
    std::list<std::weak_ptr<connection>> m_connections;
};

// Relays datagrams to one host; the sender is known by its port.
class udp_relay
{
public:
    // Tells whether a datagram of the sender passes.
    using filter = std::function<bool(unsigned short sender)>;

    udp_relay(asio::io_context& loop, unsigned short host, unsigned short port,
              filter passes);

    [[nodiscard]] unsigned short port() const
    {
        return m_socket.local_endpoint().port();
    }

private:
    void receive();

    udp::socket m_socket;
    udp::endpoint m_host;
    udp::endpoint m_from;
    filter m_passes;
    std::array<char, 65536> m_buffer{};
};

} // namespace magnoliastack::soak

#endif
