// Accepting, the pause of the host, pings and time limits.
#include "stream_link_core.hpp"

#include "magnoliastack/datagram/listener.hpp"

#include <algorithm>
#include <vector>

namespace magnoliastack::forwarding
{

namespace asio = boost::asio;
using asio::ip::tcp;

base::result<bool> stream_link::core::listen(const std::string& address)
{
    const auto opened = datagram::open_listener(m_acceptor, address,
                                                m_settings.m_accept_backlog);
    if (opened)
        start_accepting();
    return opened;
}

void stream_link::core::listen(tcp::acceptor listening)
{
    m_acceptor = std::move(listening);
    start_accepting();
}

void stream_link::core::start_accepting()
{
    // drop_waiting_connections() must not block.
    boost::system::error_code ignored;
    m_acceptor.non_blocking(true, ignored);
    accept();
}

void stream_link::core::accept()
{
    m_accept_failed = false;
    m_acceptor.async_accept(
        [weak = weak_from_this(), round = m_accept_round](
            const boost::system::error_code& error, tcp::socket socket)
        {
            const auto self = weak.lock();
            if (self && round == self->m_accept_round)
                self->accepted(error, std::move(socket));
        });
}

void stream_link::core::accepted(const boost::system::error_code& error,
                                 tcp::socket socket)
{
    if (error == asio::error::operation_aborted)
        return;
    // After a pause the socket is closed unread, and a new round accepts.
    if (!check_pause())
        return;
    if (error)
    {
        // Without a free descriptor each try fails at once; tick() retries.
        m_accept_failed = true;
        m_log.warning("accept_failed", {{"reason", error.message()}});
        return;
    }
    auto added = std::make_shared<stream>(*this, std::move(socket));
    m_unnamed.insert(added);
    added->start();
    accept();
}

void stream_link::core::drop_waiting_connections()
{
    if (!m_acceptor.is_open())
        return;
    // A connection that the loop has accepted already belongs to the old round.
    ++m_accept_round;
    boost::system::error_code error;
    m_acceptor.cancel(error);
    error.clear();
    while (!error)
    {
        tcp::socket waiting(m_loop);
        m_acceptor.accept(waiting, error);
    }
    accept();
}

bool stream_link::core::check_pause()
{
    return check_pause(now());
}

bool stream_link::core::check_pause(base::instant now)
{
    const bool paused =
        m_seen_at && now - *m_seen_at > m_settings.m_pause_limit;
    m_seen_at = now;
    if (paused)
        pause(now);
    return !paused;
}

void stream_link::core::pause(base::instant now)
{
    m_log.warning("host_was_paused", {{"streams", m_accepted.size()}});
    m_metrics.counter("forwarding.pauses").add();
    std::vector<stream_pointer> incoming(m_unnamed.begin(), m_unnamed.end());
    for (const auto& [host, which] : m_accepted)
        incoming.push_back(which);
    for (const auto& which : incoming)
        failed(*which, stream_end::paused, {});
    drop_waiting_connections();
    // The own pause is not the peers' silence; their answers may wait.
    for (const auto& [host, which] : m_opened)
        which->m_received_at = now;
}

void stream_link::core::tick(base::instant now)
{
    check_pause(now);
    // Nothing below calls the receiver of the events, so the maps do not change
    // except for m_unnamed.
    for (const auto& [host, which] : m_opened)
        check_opened(*which, now);
    for (const auto& [host, which] : m_accepted)
        check_accepted(*which, now);
    const std::vector<stream_pointer> unnamed(m_unnamed.begin(),
                                              m_unnamed.end());
    for (const auto& which : unnamed)
        if (now - which->m_created > m_settings.m_hello_limit)
            failed(*which, stream_end::silence, "no hello");
    if (m_accept_failed)
        accept();
}

void stream_link::core::check_opened(stream& which, base::instant now)
{
    if (which.is_closed())
        return;
    if (!which.is_connected() || which.m_awaiting)
    {
        const auto quiet_since =
            std::max(which.m_received_at, which.m_awaiting_since);
        if (now - quiet_since >= m_settings.m_silence_limit)
            failed(which, stream_end::silence, {});
        else if (which.is_connected() &&
                 now - quiet_since >= m_settings.m_ping_after &&
                 which.m_pinged_at <= quiet_since)
        {
            which.m_pinged_at = now;
            if (const auto bytes = encode(ping{}))
                write(which, *bytes);
        }
        return;
    }
    const auto used_at = std::max(which.m_sent_at, which.m_received_at);
    if (now - used_at >= m_settings.m_idle_limit)
        failed(which, stream_end::idle, {});
}

void stream_link::core::check_accepted(stream& which, base::instant now)
{
    const auto used_at = std::max(which.m_sent_at, which.m_received_at);
    if (!which.is_closed() && now - used_at >= m_settings.m_accepted_idle_limit)
        failed(which, stream_end::idle, {});
}

} // namespace magnoliastack::forwarding
