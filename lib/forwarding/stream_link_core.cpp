#include "stream_link_core.hpp"

#include "magnoliastack/datagram/address.hpp"

#include <algorithm>

namespace magnoliastack::forwarding
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

// Statements and what follows them go to the host that accepted a stream,
// answers come back from it; both may say that they end.
bool may_arrive(bool on_accepted, const rpc::forwarding_message& message)
{
    if (std::holds_alternative<rpc::forwarding_draining>(message))
        return true;
    const bool is_answer =
        std::holds_alternative<rpc::forwarded_answer>(message) ||
        std::holds_alternative<rpc::forwarded_transaction_lost>(message);
    return is_answer != on_accepted;
}

} // namespace

stream_link::core::core(asio::io_context& loop, const base::clock& clock,
                        metrics::registry& metrics, host_identity self,
                        stream_settings settings)
    : m_loop(loop), m_clock(clock), m_metrics(metrics), m_self(std::move(self)),
      m_settings(settings), m_acceptor(loop)
{
}

void stream_link::core::set_events(rpc::forwarding_events& events)
{
    m_events = &events;
}

base::instant stream_link::core::now() const
{
    return m_clock.now();
}

std::span<char> stream_link::core::read_buffer()
{
    return m_read_buffer;
}

void stream_link::core::send(const base::host_id& to,
                             const std::string& address,
                             const rpc::forwarding_message& message)
{
    const auto bytes = encode(frame(message));
    if (!bytes)
    {
        m_metrics.counter("forwarding.too_large").add();
        m_log.warning("message_too_large",
                      {{"to", to}, {"reason", bytes.error().m_message}});
        if (const auto* what = std::get_if<rpc::forwarded_statement>(&message))
            answer_too_large(to, *what);
        return;
    }
    const auto found = m_opened.find(to);
    const auto target =
        found != m_opened.end() ? found->second : open(to, address);
    write(*target, *bytes);
}

void stream_link::core::answer_too_large(const base::host_id& to,
                                         const rpc::forwarded_statement& what)
{
    rpc::forwarded_answer answer;
    answer.m_number = what.m_number;
    answer.m_not_sent = true;
    answer.m_error = rpc::statement_error::too_large;
    answer.m_error_text = "the statement is too large to be forwarded";
    asio::post(m_loop,
               [weak = weak_from_this(), to, answer]
               {
                   const auto self = weak.lock();
                   if (!self || self->m_events == nullptr)
                       return;
                   const auto found = self->m_opened.find(to);
                   self->m_events->message_received(
                       to,
                       found == self->m_opened.end()
                           ? base::incarnation()
                           : found->second->peer_incarnation(),
                       answer);
               });
}

stream_link::core::stream_pointer
stream_link::core::open(const base::host_id& to, const std::string& address)
{
    auto added = std::make_shared<stream>(*this, m_loop, to);
    added->m_awaiting = m_awaiting.contains(to);
    added->m_awaiting_since = added->m_created;
    m_opened.emplace(to, added);
    m_metrics.counter("forwarding.opened").add();
    const auto where = datagram::parse_address(address);
    if (!where)
    {
        failed(*added, stream_end::address, where.error().m_message);
        return added;
    }
    if (const auto greeting =
            encode(hello{to, m_self.m_host, m_self.m_incarnation}))
        added->send(*greeting);
    added->connect(*where);
    return added;
}

void stream_link::core::reply(const base::host_id& to,
                              const rpc::forwarding_message& message)
{
    const auto found = m_accepted.find(to);
    if (found == m_accepted.end())
        return;
    auto bytes = encode(frame(message));
    if (!bytes)
    {
        m_metrics.counter("forwarding.too_large").add();
        m_log.warning("message_too_large",
                      {{"to", to}, {"reason", bytes.error().m_message}});
        const auto* what = std::get_if<rpc::forwarded_answer>(&message);
        if (what == nullptr)
            return;
        // The statement has run, so the sender may not repeat it.
        rpc::forwarded_answer shorter;
        shorter.m_number = what->m_number;
        shorter.m_error = rpc::statement_error::unknown_outcome;
        shorter.m_error_text = "the answer is too large to be forwarded";
        shorter.m_state = what->m_state;
        shorter.m_position = what->m_position;
        bytes = encode(rpc::forwarding_message(shorter));
    }
    if (bytes)
        write(*found->second, *bytes);
}

void stream_link::core::write(stream& to, const std::string& bytes)
{
    if (to.is_closed())
        return;
    if (to.backlog() + bytes.size() > m_settings.m_largest_backlog)
        failed(to, stream_end::backlog, std::to_string(to.backlog()));
    else
        to.send(bytes);
}

void stream_link::core::close(const base::host_id& host)
{
    for (auto* where : {&m_opened, &m_accepted})
    {
        const auto found = where->find(host);
        if (found == where->end())
            continue;
        found->second->close();
        where->erase(found);
    }
}

void stream_link::core::close_incoming()
{
    for (const auto& [host, which] : m_accepted)
        which->close();
    for (const auto& which : m_unnamed)
        which->close();
    m_accepted.clear();
    m_unnamed.clear();
    drop_waiting_connections();
}

void stream_link::core::set_awaiting(const base::host_id& host, bool awaiting)
{
    if (awaiting)
        m_awaiting.insert(host);
    else
        m_awaiting.erase(host);
    const auto found = m_opened.find(host);
    if (found == m_opened.end())
        return;
    if (awaiting && !found->second->m_awaiting)
        found->second->m_awaiting_since = now();
    found->second->m_awaiting = awaiting;
}

bool stream_link::core::is_flushed() const
{
    const auto flushed = [](const auto& entry)
    {
        return entry.second->is_closed() || entry.second->backlog() == 0;
    };
    return std::all_of(m_opened.begin(), m_opened.end(), flushed) &&
           std::all_of(m_accepted.begin(), m_accepted.end(), flushed);
}

void stream_link::core::shut_down()
{
    m_events = nullptr;
    close_incoming();
    for (const auto& [host, which] : m_opened)
        which->close();
    m_opened.clear();
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

bool stream_link::core::hello_received(stream& from, const hello& what)
{
    if (what.m_to != m_self.m_host)
        return false;
    if (from.is_accepted())
        return hello_accepted(from, what);
    if (what.m_from != from.peer())
        return false;
    end_older(m_accepted, what);
    return true;
}

bool stream_link::core::hello_accepted(stream& from, const hello& what)
{
    const auto found = m_accepted.find(what.m_from);
    // A connection of a process that has been replaced may arrive late.
    if (found != m_accepted.end() &&
        what.m_incarnation < found->second->peer_incarnation())
        return false;
    const auto answer =
        encode(hello{what.m_from, m_self.m_host, m_self.m_incarnation});
    if (!answer)
        return false;
    const auto self = from.shared_from_this();
    replace_accepted(what.m_from);
    // The receiver of the event may have closed all incoming streams.
    if (from.is_closed())
        return false;
    end_older(m_opened, what);
    m_unnamed.erase(self);
    m_accepted.insert_or_assign(what.m_from, self);
    m_metrics.counter("forwarding.accepted").add();
    from.send(*answer);
    return true;
}

void stream_link::core::replace_accepted(const base::host_id& host)
{
    const auto found = m_accepted.find(host);
    if (found == m_accepted.end())
        return;
    const auto old = found->second;
    if (!old->is_closed())
    {
        old->close();
        m_metrics.counter("forwarding.closed.replaced").add();
        m_log.info("stream_replaced", {{"host", host}});
    }
    deliver_end(old, stream_end::replaced);
}

void stream_link::core::end_older(const streams& where, const hello& what)
{
    const auto found = where.find(what.m_from);
    if (found != where.end() && found->second->has_hello() &&
        found->second->peer_incarnation() < what.m_incarnation)
        failed(*found->second, stream_end::replaced, "the host has restarted");
}

void stream_link::core::message_received(stream& from,
                                         rpc::forwarding_message message)
{
    if (!may_arrive(from.is_accepted(), message))
        failed(from, stream_end::wrong_direction, {});
    else if (m_events != nullptr)
        m_events->message_received(from.peer(), from.peer_incarnation(),
                                   std::move(message));
}

void stream_link::core::failed(stream& which, stream_end reason,
                               const std::string& detail)
{
    if (which.is_closed())
        return;
    const auto ended = which.shared_from_this();
    ended->close();
    m_metrics.counter(std::string("forwarding.closed.") + to_string(reason))
        .add();
    m_log.info("stream_closed", {{"host", ended->peer()},
                                 {"accepted", ended->is_accepted()},
                                 {"reason", to_string(reason)},
                                 {"detail", detail}});
    if (m_unnamed.erase(ended) > 0)
        return;
    asio::post(m_loop,
               [weak = weak_from_this(), ended, reason]
               {
                   if (const auto self = weak.lock())
                       self->deliver_end(ended, reason);
               });
}

void stream_link::core::deliver_end(const stream_pointer& ended,
                                    stream_end reason)
{
    auto& where = ended->is_accepted() ? m_accepted : m_opened;
    const auto found = where.find(ended->peer());
    if (found == where.end() || found->second != ended)
        return;
    const auto host = found->first;
    where.erase(found);
    if (m_events == nullptr)
        return;
    if (ended->is_accepted())
        m_events->incoming_stream_lost(host);
    else if (reason == stream_end::idle)
        m_events->idle_stream_closed(host);
    else
        m_events->stream_lost(host, reason == stream_end::refused);
}

} // namespace magnoliastack::forwarding
