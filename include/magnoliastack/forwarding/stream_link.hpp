// Statements and their answers between hosts over TCP.
#ifndef MAGNOLIASTACK_FORWARDING_STREAM_LINK_HPP
#define MAGNOLIASTACK_FORWARDING_STREAM_LINK_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/forwarding/stream_settings.hpp"
#include "magnoliastack/logging/logging.hpp"
#include "magnoliastack/metrics/metrics.hpp"
#include "magnoliastack/rpc/forwarding_link.hpp"

#include <utility>

#include <boost/asio.hpp>

#include <memory>
#include <string>

namespace magnoliastack::forwarding
{

// Who a host is to its peers.
struct host_identity
{
    base::host_id m_host;
    base::incarnation m_incarnation;
};

// One stream to each host that is sent to and one from each host that sends.
// A message that is too large for a frame does not reach the stream: a
// statement is answered as not sent with `too_large`, and an answer is replaced
// by `unknown_outcome`. Runs on the io_context's thread.
class stream_link final : public rpc::forwarding_link
{
public:
    stream_link(boost::asio::io_context& loop, const base::clock& clock,
                metrics::registry& metrics, host_identity self,
                stream_settings settings = {});
    stream_link(const stream_link&) = delete;
    stream_link& operator=(const stream_link&) = delete;
    ~stream_link() override;

    // Receives the events from now on; without a receiver they are dropped.
    void set_events(rpc::forwarding_events& events);

    // Accepts streams at `ip:port`.
    base::result<bool> listen(const std::string& address);
    // Accepts streams from a socket that listens already.
    void listen(boost::asio::ip::tcp::acceptor listening);

    // Sends due pings and closes streams that are silent or idle. Call it every
    // 50 ms and before other work of the tick: it also finds out that the host
    // was paused.
    void tick(base::instant now);

    void send(const base::host_id& to, const std::string& address,
              rpc::forwarding_message message) override;
    void reply(const base::host_id& to,
               rpc::forwarding_message message) override;
    void close(const base::host_id& host) override;
    void close_incoming() override;
    void set_awaiting(const base::host_id& host, bool awaiting) override;
    [[nodiscard]] bool is_flushed() const override;

private:
    class core;
    // Handlers of the loop hold it weakly, so none runs after destruction.
    std::shared_ptr<core> m_core;
};

} // namespace magnoliastack::forwarding

#endif
