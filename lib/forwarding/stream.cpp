#include "stream.hpp"

#include <utility>

namespace magnoliastack::forwarding
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

// Buffers above this size are freed once they are empty, so that one large
// statement does not cost an idle stream memory.
constexpr std::size_t kept_capacity = 1024;

void empty(std::string& buffer)
{
    buffer.clear();
    if (buffer.capacity() > kept_capacity)
        buffer.shrink_to_fit();
}

} // namespace

stream::stream(stream_owner& owner, asio::io_context& loop, base::host_id peer)
    : m_created(owner.now()), m_sent_at(m_created), m_received_at(m_created),
      m_owner(&owner), m_socket(loop), m_peer(std::move(peer)),
      m_accepted(false), m_connected(false)
{
}

stream::stream(stream_owner& owner, tcp::socket socket)
    : m_created(owner.now()), m_sent_at(m_created), m_received_at(m_created),
      m_owner(&owner), m_socket(std::move(socket)), m_accepted(true),
      m_connected(true)
{
}

void stream::connect(const tcp::endpoint& address)
{
    m_socket.async_connect(
        address,
        [self = shared_from_this()](const boost::system::error_code& error)
        {
            self->connected(error);
        });
}

void stream::connected(const boost::system::error_code& error)
{
    if (m_closed)
        return;
    if (error)
    {
        fail(error == asio::error::connection_refused ? stream_end::refused
                                                      : stream_end::connection,
             error.message());
        return;
    }
    m_connected = true;
    m_received_at = m_owner->now();
    start();
    flush();
}

void stream::start()
{
    boost::system::error_code error;
    m_socket.set_option(tcp::no_delay(true), error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        fail(stream_end::connection, error.message());
    else
        wait_for_bytes();
}

void stream::send(std::string_view bytes)
{
    if (m_closed)
        return;
    m_pending += bytes;
    m_sent_at = m_owner->now();
    if (m_connected && !m_writing && !std::exchange(m_flush_posted, true))
        post_flush();
}

void stream::post_flush()
{
    asio::post(m_socket.get_executor(),
               [self = shared_from_this()]
               {
                   self->m_flush_posted = false;
                   self->flush();
               });
}

void stream::flush()
{
    if (m_closed || m_writing || m_pending.empty())
        return;
    m_writing = true;
    m_sending.swap(m_pending);
    asio::async_write(
        m_socket, asio::buffer(m_sending),
        [self = shared_from_this()](const boost::system::error_code& error,
                                    std::size_t /*count*/)
        {
            self->written(error);
        });
}

void stream::written(const boost::system::error_code& error)
{
    m_writing = false;
    empty(m_sending);
    if (m_closed)
        return;
    if (error)
        fail(stream_end::connection, error.message());
    else
        flush();
}

void stream::wait_for_bytes()
{
    m_socket.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](const boost::system::error_code& error)
        {
            if (self->m_closed)
                return;
            if (error)
                self->fail(stream_end::connection, error.message());
            else
                self->read();
        });
}

void stream::read()
{
    // The handler may be the first one to run after a pause; what waits in an
    // accepted stream is then too old to be run.
    if (!m_owner->check_pause() && m_closed)
        return;
    const auto buffer = m_owner->read_buffer();
    boost::system::error_code error;
    const auto count =
        m_socket.read_some(asio::buffer(buffer.data(), buffer.size()), error);
    if (error && error != asio::error::would_block)
    {
        fail(stream_end::connection, error.message());
        return;
    }
    if (count > 0)
    {
        m_received_at = m_owner->now();
        m_input.append(buffer.data(), count);
        take_frames();
    }
    if (!m_closed)
        wait_for_bytes();
}

void stream::take_frames()
{
    std::size_t used = 0;
    while (m_input.size() - used >= length_bytes)
    {
        const auto rest = std::string_view(m_input).substr(used);
        const auto length = frame_length(rest);
        if (length > largest_frame)
        {
            fail(stream_end::frame_too_large, std::to_string(length));
            return;
        }
        if (rest.size() < length_bytes + length)
            break;
        if (!handle(rest.substr(length_bytes, length)))
            return;
        used += length_bytes + length;
    }
    m_input.erase(0, used);
    if (m_input.empty())
        empty(m_input);
}

bool stream::handle(std::string_view bytes)
{
    auto what = decode(bytes);
    if (!what)
    {
        fail(stream_end::frame_unreadable, what.error().m_message);
        return false;
    }
    if (const auto* peer = std::get_if<hello>(&*what))
    {
        if (m_has_hello || !m_owner->hello_received(*this, *peer))
        {
            fail(stream_end::hello_rejected);
            return false;
        }
        m_has_hello = true;
        m_peer = peer->m_from;
        m_peer_incarnation = peer->m_incarnation;
        return !m_closed;
    }
    if (!m_has_hello)
    {
        fail(stream_end::hello_missing);
        return false;
    }
    if (std::holds_alternative<ping>(*what))
    {
        if (const auto answer = encode(pong{}))
            send(*answer);
    }
    else if (auto* message = std::get_if<rpc::forwarding_message>(&*what))
        m_owner->message_received(*this, std::move(*message));
    return !m_closed;
}

void stream::fail(stream_end reason, const std::string& detail)
{
    if (!m_closed)
        m_owner->failed(*this, reason, detail);
}

void stream::close()
{
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_input.clear();
    m_pending.clear();
}

} // namespace magnoliastack::forwarding
