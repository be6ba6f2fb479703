// The streams of one host.
#ifndef MAGNOLIASTACK_FORWARDING_STREAM_LINK_CORE_HPP
#define MAGNOLIASTACK_FORWARDING_STREAM_LINK_CORE_HPP

#include "stream.hpp"

#include "magnoliastack/forwarding/stream_link.hpp"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace magnoliastack::forwarding
{

// Behind stream_link. A stream that has ended stays in its map until its event
// is delivered: what is sent meanwhile is dropped and covered by that event,
// instead of leaving on a new stream and being taken for lost as well.
class stream_link::core final : public stream_owner,
                                public std::enable_shared_from_this<core>
{
public:
    core(boost::asio::io_context& loop, const base::clock& clock,
         metrics::registry& metrics, host_identity self,
         stream_settings settings);

    void set_events(rpc::forwarding_events& events);
    base::result<bool> listen(const std::string& address);
    void listen(boost::asio::ip::tcp::acceptor listening);
    void tick(base::instant now);
    void send(const base::host_id& to, const std::string& address,
              const rpc::forwarding_message& message);
    void reply(const base::host_id& to, const rpc::forwarding_message& message);
    void close(const base::host_id& host);
    void close_incoming();
    void set_awaiting(const base::host_id& host, bool awaiting);
    [[nodiscard]] bool is_flushed() const;
    void shut_down();

    [[nodiscard]] base::instant now() const override;
    bool check_pause() override;
    std::span<char> read_buffer() override;
    bool hello_received(stream& from, const hello& what) override;
    void message_received(stream& from,
                          rpc::forwarding_message message) override;
    void failed(stream& which, stream_end reason,
                const std::string& detail) override;

private:
    using stream_pointer = std::shared_ptr<stream>;
    using streams = std::map<base::host_id, stream_pointer>;

    void start_accepting();
    void accept();
    void accepted(const boost::system::error_code& error,
                  boost::asio::ip::tcp::socket socket);
    // Closes what the kernel has accepted for this host, unread.
    void drop_waiting_connections();
    bool check_pause(base::instant now);
    void pause(base::instant now);

    stream_pointer open(const base::host_id& to, const std::string& address);
    bool hello_accepted(stream& from, const hello& what);
    // Ends the stream in the other direction when an older process of the host
    // is at its end.
    void end_older(const streams& where, const hello& what);
    void write(stream& to, const std::string& bytes);
    void answer_too_large(const base::host_id& to,
                          const rpc::forwarded_statement& what);
    void check_opened(stream& which, base::instant now);
    void check_accepted(stream& which, base::instant now);
    // Delivers the end of a stream unless it was forgotten meanwhile.
    void deliver_end(const stream_pointer& ended, stream_end reason);
    // Delivers at once the end of a stream that another one replaces.
    void replace_accepted(const base::host_id& host);

    boost::asio::io_context& m_loop;
    const base::clock& m_clock;
    metrics::registry& m_metrics;
    host_identity m_self;
    stream_settings m_settings;
    rpc::forwarding_events* m_events = nullptr;
    logging::logger m_log{"forwarding"};
    boost::asio::ip::tcp::acceptor m_acceptor;
    // Connections whose accept began before a pause are closed unread.
    std::uint64_t m_accept_round = 0;
    bool m_accept_failed = false;
    // When the loop was last seen to run.
    std::optional<base::instant> m_seen_at;
    streams m_opened;
    streams m_accepted;
    // Accepted streams whose hello has not arrived.
    std::set<stream_pointer> m_unnamed;
    std::set<base::host_id> m_awaiting;
    // Large enough to read a burst of statements with one call.
    std::array<char, 65536> m_read_buffer{};
};

} // namespace magnoliastack::forwarding

#endif
