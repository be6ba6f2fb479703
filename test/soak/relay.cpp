#include "relay.hpp"

#include <arpa/inet.h>
#include <cstdint>
#include <deque>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace magnoliastack::soak
{
namespace
{

using error_code = boost::system::error_code;

// Bytes that a cut or slow way holds before the sender is no longer read.
constexpr std::size_t largest_held = 1U << 20;
// How often held bytes are looked at.
constexpr std::chrono::milliseconds retry_interval{5};

const auto loopback = asio::ip::address_v4::loopback();

// Below the range from which the system takes ports for outgoing connections,
// so that none takes a host's port while the host is down.
constexpr unsigned lowest_port = 11'000;
constexpr unsigned ranges = 10;
constexpr unsigned ports_in_range = 1'500;

// True when this process has the port from now on until its end.
bool take_port(unsigned port)
{
    const int bound = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (bound >= 0 && ::bind(bound, reinterpret_cast<sockaddr*>(&address),
                             sizeof address) == 0)
        return true;
    ::close(bound);
    return false;
}

// The first port of a range that this soak has for itself. Two soaks that chose
// free ports from one range could choose the same one before either used it.
unsigned reserve_range()
{
    for (unsigned range = 0; range < ranges; ++range)
        if (take_port(lowest_port + range * ports_in_range))
            return lowest_port + range * ports_in_range;
    throw std::runtime_error("too many soaks beside each other");
}

void abort_socket(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

unsigned short unused_port(asio::io_context& loop)
{
    static const unsigned first = reserve_range();
    static unsigned next = 0;
    while (true)
    {
        const auto port = static_cast<unsigned short>(
            first + 1 + next++ % (ports_in_range - 1));
        error_code error;
        tcp::acceptor probe(loop);
        probe.open(tcp::v4(), error);
        probe.set_option(tcp::acceptor::reuse_address(true), error);
        probe.bind({loopback, port}, error);
        if (!error)
            return port;
    }
}

struct tcp_relay::connection : std::enable_shared_from_this<connection>
{
    using clock = std::chrono::steady_clock;

    // One of the two directions.
    struct direction
    {
        tcp::socket* m_from;
        tcp::socket* m_to;
        bool m_forward;
        std::array<char, 16384> m_buffer{};
        std::deque<std::pair<clock::time_point, std::string>> m_held;
        std::size_t m_held_bytes = 0;
        bool m_writing = false;
        bool m_ended = false;
    };

    connection(tcp_relay& owner, tcp::socket client)
        : m_owner(owner), m_client(std::move(client)), m_server(owner.m_loop),
          m_timer(owner.m_loop), m_out{&m_client, &m_server, true, {}, {}},
          m_back{&m_server, &m_client, false, {}, {}}
    {
    }

    // As on a cut link the connection is made when the cut ends; the client
    // may have sent and closed by then, of which nothing arrives.
    void start()
    {
        error_code ignored;
        m_client.set_option(tcp::no_delay(true), ignored);
        read(m_out);
        look();
    }

    void connect()
    {
        m_connecting = true;
        m_server.async_connect({loopback, m_owner.m_server},
                               [self = shared_from_this()](error_code error)
                               {
                                   if (error)
                                       self->stop();
                                   else
                                       self->connected();
                               });
    }

    void connected()
    {
        error_code ignored;
        m_server.set_option(tcp::no_delay(true), ignored);
        m_connected = true;
        read(m_back);
        pass(m_out);
    }

    void read(direction& way)
    {
        way.m_from->async_read_some(
            asio::buffer(way.m_buffer),
            [self = shared_from_this(), &way](error_code error,
                                              std::size_t count)
            {
                if (error)
                {
                    // What a cut holds is lost when its sender resets the
                    // connection. After a plain close it still arrives.
                    way.m_ended = true;
                    if (error != asio::error::eof || self->m_silent ||
                        !self->m_connected || way.m_held.empty())
                        self->stop();
                    return;
                }
                if (!self->m_silent)
                {
                    way.m_held.emplace_back(
                        clock::now() + self->m_owner.m_state.m_delay,
                        std::string(way.m_buffer.data(), count));
                    way.m_held_bytes += count;
                }
                self->pass(way);
                if (way.m_held_bytes < largest_held)
                    self->read(way);
                else
                    self->stop();
            });
    }

    [[nodiscard]] bool is_held(const direction& way) const
    {
        return m_silent || (way.m_forward ? m_owner.m_state.m_cut_forward
                                          : m_owner.m_state.m_cut_back);
    }

    void pass(direction& way)
    {
        if (!m_connected || way.m_writing || way.m_held.empty() ||
            is_held(way) || way.m_held.front().first > clock::now())
            return;
        way.m_writing = true;
        asio::async_write(
            *way.m_to, asio::buffer(way.m_held.front().second),
            [self = shared_from_this(), &way](error_code error, std::size_t n)
            {
                way.m_writing = false;
                if (error)
                {
                    self->stop();
                    return;
                }
                way.m_held_bytes -= n;
                way.m_held.pop_front();
                if (way.m_ended && way.m_held.empty())
                    self->stop();
                else
                    self->pass(way);
            });
    }

    void look()
    {
        m_timer.expires_after(retry_interval);
        m_timer.async_wait(
            [weak = weak_from_this()](error_code error)
            {
                const auto self = weak.lock();
                if (error || !self || self->m_stopped)
                    return;
                if (!self->m_connecting && !self->m_owner.is_cut())
                    self->connect();
                self->pass(self->m_out);
                self->pass(self->m_back);
                self->look();
            });
    }

    void stop()
    {
        m_stopped = true;
        error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
        m_timer.cancel();
    }

    void reset()
    {
        abort_socket(m_client);
        abort_socket(m_server);
        stop();
    }

    tcp_relay& m_owner;
    tcp::socket m_client;
    tcp::socket m_server;
    asio::steady_timer m_timer;
    direction m_out;
    direction m_back;
    bool m_connecting = false;
    bool m_connected = false;
    bool m_silent = false;
    bool m_stopped = false;
};

tcp_relay::tcp_relay(asio::io_context& loop, unsigned short server,
                     unsigned short port)
    : m_loop(loop), m_server(server), m_acceptor(loop, {loopback, port})
{
    accept();
}

void tcp_relay::accept()
{
    m_acceptor.async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (error)
                return;
            auto added = std::make_shared<connection>(*this, std::move(socket));
            m_connections.remove_if(
                [](const auto& item)
                {
                    return item.expired();
                });
            m_connections.push_back(added);
            added->start();
            accept();
        });
}

void tcp_relay::set(const link_state& state)
{
    m_state = state;
}

void tcp_relay::reset()
{
    for (const auto& item : m_connections)
        if (const auto live = item.lock())
            live->reset();
}

void tcp_relay::silence()
{
    for (const auto& item : m_connections)
        if (const auto live = item.lock())
            live->m_silent = true;
}

udp_relay::udp_relay(asio::io_context& loop, unsigned short host,
                     unsigned short port, filter passes)
    : m_socket(loop, udp::endpoint(loopback, port)), m_host(loopback, host),
      m_passes(std::move(passes))
{
    receive();
}

void udp_relay::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_from,
                                [this](error_code error, std::size_t count)
                                {
                                    if (error == asio::error::operation_aborted)
                                        return;
                                    if (!error && m_passes(m_from.port()))
                                    {
                                        // A host that does not run refuses; the
                                        // datagram is lost.
                                        error_code ignored;
                                        m_socket.send_to(
                                            asio::buffer(m_buffer, count),
                                            m_host, 0, ignored);
                                    }
                                    receive();
                                });
}

} // namespace magnoliastack::soak
