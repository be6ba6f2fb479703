#include "magnoliastack/forwarding/stream_link.hpp"

#include "stream_link_core.hpp"

namespace magnoliastack::forwarding
{

stream_link::stream_link(boost::asio::io_context& loop,
                         const base::clock& clock, metrics::registry& metrics,
                         host_identity self, stream_settings settings)
    : m_core(std::make_shared<core>(loop, clock, metrics, std::move(self),
                                    settings))
{
}

stream_link::~stream_link()
{
    m_core->shut_down();
}

void stream_link::set_events(rpc::forwarding_events& events)
{
    m_core->set_events(events);
}

base::result<bool> stream_link::listen(const std::string& address)
{
    return m_core->listen(address);
}

void stream_link::listen(boost::asio::ip::tcp::acceptor listening)
{
    m_core->listen(std::move(listening));
}

void stream_link::tick(base::instant now)
{
    m_core->tick(now);
}

void stream_link::send(const base::host_id& to, const std::string& address,
                       rpc::forwarding_message message)
{
    m_core->send(to, address, message);
}

void stream_link::reply(const base::host_id& to,
                        rpc::forwarding_message message)
{
    m_core->reply(to, message);
}

void stream_link::close(const base::host_id& host)
{
    m_core->close(host);
}

void stream_link::close_incoming()
{
    m_core->close_incoming();
}

void stream_link::set_awaiting(const base::host_id& host, bool awaiting)
{
    m_core->set_awaiting(host, awaiting);
}

bool stream_link::is_flushed() const
{
    return m_core->is_flushed();
}

} // namespace magnoliastack::forwarding
