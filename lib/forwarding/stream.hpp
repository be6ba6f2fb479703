// One stream between two hosts.
#ifndef MAGNOLIASTACK_FORWARDING_STREAM_HPP
#define MAGNOLIASTACK_FORWARDING_STREAM_HPP

#include "stream_end.hpp"

#include "magnoliastack/base/time.hpp"
#include "magnoliastack/forwarding/codec.hpp"
#include "magnoliastack/forwarding/stream_settings.hpp"

#include <utility>

#include <boost/asio.hpp>

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace magnoliastack::forwarding
{

class stream;

// What streams report to the link that owns them, from handlers of the loop.
class stream_owner
{
public:
    virtual ~stream_owner() = default;

    [[nodiscard]] virtual base::instant now() const = 0;
    // False when the host was paused and accepted streams have been closed.
    virtual bool check_pause() = 0;
    // A buffer that all streams share, so that an idle one needs none.
    virtual std::span<char> read_buffer() = 0;
    // The peer's hello has arrived; false when it is not acceptable.
    virtual bool hello_received(stream& from, const hello& what) = 0;
    // A message that is neither hello, ping nor pong.
    virtual void message_received(stream& from,
                                  rpc::forwarding_message message) = 0;
    // The stream has to be closed; it is still open here.
    virtual void failed(stream& which, stream_end reason,
                        const std::string& detail) = 0;
};

// Frames in both directions over one socket. It does nothing and calls nobody
// after close().
class stream final : public std::enable_shared_from_this<stream>
{
public:
    // A stream to open to the host.
    stream(stream_owner& owner, boost::asio::io_context& loop,
           base::host_id peer);
    // A stream that another host has opened; its hello names the host.
    stream(stream_owner& owner, boost::asio::ip::tcp::socket socket);

    // Connects an opened stream.
    void connect(const boost::asio::ip::tcp::endpoint& address);
    // Starts an accepted stream.
    void start();
    // Appends an encoded frame; what one turn of the loop sends leaves
    // together.
    void send(std::string_view bytes);
    // Closes the socket unread.
    void close();

    [[nodiscard]] bool is_accepted() const
    {
        return m_accepted;
    }
    [[nodiscard]] bool is_closed() const
    {
        return m_closed;
    }
    [[nodiscard]] bool is_connected() const
    {
        return m_connected;
    }
    [[nodiscard]] bool has_hello() const
    {
        return m_has_hello;
    }
    // Bytes that wait to be written.
    [[nodiscard]] std::size_t backlog() const
    {
        return m_pending.size() + m_sending.size();
    }
    [[nodiscard]] const base::host_id& peer() const
    {
        return m_peer;
    }
    [[nodiscard]] base::incarnation peer_incarnation() const
    {
        return m_peer_incarnation;
    }

    // When the stream was made, last sent to and last received from. The
    // owner's tick compares them with the limits.
    base::instant m_created;
    base::instant m_sent_at;
    base::instant m_received_at;
    // When the last ping left; before m_received_at without one.
    base::instant m_pinged_at;
    // Since when answers are awaited on the stream.
    base::instant m_awaiting_since;
    bool m_awaiting = false;

private:
    void connected(const boost::system::error_code& error);
    void post_flush();
    void flush();
    void written(const boost::system::error_code& error);
    void wait_for_bytes();
    void read();
    void take_frames();
    // False when the stream has been closed.
    bool handle(std::string_view bytes);
    void fail(stream_end reason, const std::string& detail = {});

    stream_owner* m_owner;
    boost::asio::ip::tcp::socket m_socket;
    base::host_id m_peer;
    base::incarnation m_peer_incarnation;
    // The start of a frame whose rest has not arrived.
    std::string m_input;
    std::string m_pending;
    std::string m_sending;
    bool m_accepted;
    bool m_connected;
    bool m_has_hello = false;
    bool m_writing = false;
    bool m_flush_posted = false;
    bool m_closed = false;
};

} // namespace magnoliastack::forwarding

#endif
