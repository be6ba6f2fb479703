// Streams between hosts: order, reconnecting, peers that end or misbehave.
#include "stream_fixture.hpp"

#include <array>

using namespace forwarding_test;

namespace
{

std::uint64_t statement_number(const host::received& what)
{
    return std::get<rpc::forwarded_statement>(what.m_message).m_number.value();
}

std::uint64_t answer_number(const host::received& what)
{
    return std::get<rpc::forwarded_answer>(what.m_message).m_number.value();
}

std::string encoded(const forwarding::frame& what)
{
    return forwarding::encode(what).value();
}

// Sends the bytes to the host on a socket of its own; true when the host closes
// the socket.
bool closes_after(world& all, host& to, const std::string& bytes)
{
    tcp::socket socket(all.m_loop);
    socket.connect(
        {asio::ip::address_v4::loopback(),
         static_cast<std::uint16_t>(std::stoul(to.m_address.substr(10)))});
    asio::write(socket, asio::buffer(bytes));
    std::array<char, 256> buffer{};
    bool closed = false;
    std::function<void()> read = [&]
    {
        socket.async_read_some(
            asio::buffer(buffer),
            [&](const boost::system::error_code& error, std::size_t)
            {
                closed = static_cast<bool>(error) &&
                         error != asio::error::operation_aborted;
                if (!error)
                    read();
            });
    };
    read();
    all.settle();
    const bool result = closed;
    socket.close();
    all.settle();
    return result;
}

} // namespace

// Guards against statements or answers that overtake each other or get lost.
Test(stream, keeps_order_in_both_directions)
{
    world all;
    const auto a = all.make(host_a, 1);
    const auto b = all.make(host_b, 2);
    b->m_on_message = [&](const host::received& what)
    {
        b->reply(host_a, statement_number(what));
    };
    for (std::uint64_t number = 1; number <= 500; ++number)
        a->send(host_b, b->m_address, number, std::string(number * 7, 'x'));
    all.until(
        [&]
        {
            return a->m_received.size() == 500;
        });
    for (std::uint64_t index = 0; index < 500; ++index)
    {
        cr_assert_eq(statement_number(b->m_received[index]), index + 1);
        cr_assert(b->m_received[index].m_from == host_a);
        cr_assert(b->m_received[index].m_incarnation == base::incarnation(1));
        cr_assert_eq(answer_number(a->m_received[index]), index + 1);
        cr_assert(a->m_received[index].m_incarnation == base::incarnation(2));
    }
    cr_assert_eq(a->counted("opened"), 1);
}

// Guards against one stream for both directions, whose end would take the
// statements of both hosts with it.
Test(stream, hosts_that_send_to_each_other_use_two_streams)
{
    world all;
    const auto a = all.make(host_a, 1);
    const auto b = all.make(host_b, 2);
    a->send(host_b, b->m_address, 1);
    b->send(host_a, a->m_address, 2);
    all.until(
        [&]
        {
            return a->m_received.size() == 1 && b->m_received.size() == 1;
        });
    a->reply(host_b, 2);
    b->reply(host_a, 1);
    all.until(
        [&]
        {
            return a->m_received.size() == 2 && b->m_received.size() == 2;
        });
    cr_assert_eq(answer_number(a->m_received[1]), 1);
    cr_assert_eq(answer_number(b->m_received[1]), 2);
    cr_assert_eq(a->counted("accepted"), 1);
    cr_assert_eq(b->counted("accepted"), 1);
}

// Guards against a packet for each frame.
Test(stream, frames_of_one_iteration_leave_together)
{
    world all;
    const auto a = all.make(host_a, 1);
    auto acceptor = system_port(all.m_loop);
    a->send(host_b, text(acceptor.local_endpoint()), 1);
    a->send(host_b, text(acceptor.local_endpoint()), 2);
    a->send(host_b, text(acceptor.local_endpoint()), 3);
    all.settle();
    cr_assert(a->m_link.is_flushed());
    auto peer = acceptor.accept();
    std::array<char, 4096> buffer{};
    const auto count = peer.read_some(asio::buffer(buffer));
    std::string_view rest(buffer.data(), count);
    int frames = 0;
    while (!rest.empty())
    {
        rest.remove_prefix(forwarding::length_bytes +
                           forwarding::frame_length(rest));
        ++frames;
    }
    cr_assert_eq(frames, 4); // The hello and three statements.
}

// Guards against a caller that waits for the answer of a host that has ended,
// and against a holder that keeps the transactions of such a host.
Test(stream, end_of_peer_is_reported_and_next_send_reconnects)
{
    world all;
    auto a = all.make(host_a, 1);
    auto b = all.make(host_b, 2);
    a->send(host_b, b->m_address, 1);
    all.until(
        [&]
        {
            return b->m_received.size() == 1;
        });
    b.reset();
    all.until(
        [&]
        {
            return a->m_lost == 1;
        });
    b = all.make(host_b, 3);
    a->send(host_b, b->m_address, 2);
    all.until(
        [&]
        {
            return b->m_received.size() == 1;
        });
    b->reply(host_a, 2);
    all.until(
        [&]
        {
            return a->m_received.size() == 1;
        });
    // The process that answers is another one: its transactions are others.
    cr_assert(a->m_received[0].m_incarnation == base::incarnation(3));
    a.reset();
    all.until(
        [&]
        {
            return b->m_incoming_lost == 1;
        });
    cr_assert_eq(b->m_lost, 0);
}

// Guards against waiting for a host that does not listen.
Test(stream, refused_connection_is_reported_as_refused)
{
    world all;
    const auto a = all.make(host_a, 1);
    auto acceptor = system_port(all.m_loop);
    const auto address = text(acceptor.local_endpoint());
    acceptor.close();
    a->send(host_b, address, 1);
    all.until(
        [&]
        {
            return a->m_refused == 1;
        });
    cr_assert_eq(a->m_lost, 0);
}

// Guards against an unreadable address that leaves a statement unanswered.
Test(stream, unreadable_address_is_reported)
{
    world all;
    const auto a = all.make(host_a, 1);
    a->send(host_b, "nowhere", 1);
    all.until(
        [&]
        {
            return a->m_lost == 1;
        });
}

// Guards against a statement that leaves on a new stream between the end of the
// old one and its event: it would run although it counts as lost.
Test(stream, sends_before_the_event_of_the_loss_are_covered_by_it)
{
    world all;
    const auto a = all.make(host_a, 1);
    const auto b = all.make(host_b, 2);
    a->send(host_b, "nowhere", 1);
    a->send(host_b, b->m_address, 2);
    all.settle();
    cr_assert_eq(a->m_lost, 1);
    cr_assert(b->m_received.empty());
}

// Guards against events of streams that the owner has closed.
Test(stream, close_is_without_event)
{
    world all;
    const auto a = all.make(host_a, 1);
    const auto b = all.make(host_b, 2);
    a->send(host_b, b->m_address, 1);
    all.until(
        [&]
        {
            return b->m_received.size() == 1;
        });
    a->m_link.close(host_b);
    all.settle();
    cr_assert_eq(a->m_lost, 0);
    cr_assert_eq(b->m_incoming_lost, 1);
}

// Guards against statements that are read after the owner gave up what waits,
// also from a stream that is not accepted yet.
Test(stream, close_incoming_reads_nothing_that_waits)
{
    world all;
    const auto a = all.make(host_a, 1);
    const auto b = all.make(host_b, 2);
    const auto c = all.make(base::host_id("host-c"), 3);
    a->send(host_b, b->m_address, 1);
    all.until(
        [&]
        {
            return b->m_received.size() == 1;
        });
    a->send(host_b, b->m_address, 2);
    c->send(host_b, b->m_address, 3);
    b->m_link.close_incoming();
    all.until(
        [&]
        {
            return a->m_lost == 1;
        });
    all.settle();
    for (const auto& what : b->m_received)
        cr_assert_neq(statement_number(what), 2);
    cr_assert_eq(b->m_incoming_lost, 0);
    // New streams are accepted again.
    a->send(host_b, b->m_address, 4);
    all.until(
        [&]
        {
            return !b->m_received.empty() &&
                   statement_number(b->m_received.back()) == 4;
        });
}

// Guards against transactions of an ended process that live on when its stream
// did not end, and against a late connection of that process.
Test(stream, newer_process_of_a_host_replaces_the_older_one)
{
    world all;
    const auto b = all.make(host_b, 2);
    const auto old = all.make(host_a, 5);
    const auto newer = all.make(host_a, 6);
    old->send(host_b, b->m_address, 1);
    all.until(
        [&]
        {
            return b->m_received.size() == 1;
        });
    int lost_before_message = -1;
    b->m_on_message = [&](const host::received&)
    {
        lost_before_message = b->m_incoming_lost;
    };
    newer->send(host_b, b->m_address, 2);
    all.until(
        [&]
        {
            return b->m_received.size() == 2;
        });
    cr_assert_eq(lost_before_message, 1);
    cr_assert(b->m_received[1].m_incarnation == base::incarnation(6));
    all.until(
        [&]
        {
            return old->m_lost == 1;
        });
    old->send(host_b, b->m_address, 3);
    all.until(
        [&]
        {
            return old->m_lost == 2;
        });
    cr_assert_eq(b->m_received.size(), 2);
    cr_assert_eq(b->counted("closed.hello_rejected"), 1);
}

// Guards against a stream to a process that has been replaced: the host's new
// process says hello while the old stream has not ended.
Test(stream, hello_of_a_new_process_ends_the_stream_to_the_old_one)
{
    world all;
    const auto a = all.make(host_a, 1);
    const auto old = all.make(host_b, 5);
    const auto newer = all.make(host_b, 6);
    a->send(host_b, old->m_address, 1);
    all.until(
        [&]
        {
            return old->m_received.size() == 1;
        });
    old->reply(host_a, 1);
    all.until(
        [&]
        {
            return a->m_received.size() == 1;
        });
    newer->send(host_a, a->m_address, 2);
    all.until(
        [&]
        {
            return a->m_lost == 1 && a->m_received.size() == 2;
        });
}

// Guards against statements that run on a host that took over an address.
Test(stream, hello_for_another_host_is_rejected)
{
    world all;
    const auto a = all.make(host_a, 1);
    const auto b = all.make(host_b, 2);
    a->send(base::host_id("host-x"), b->m_address, 1);
    all.until(
        [&]
        {
            return a->m_lost == 1;
        });
    cr_assert(b->m_received.empty());
    cr_assert_eq(b->counted("closed.hello_rejected"), 1);
}

// Guards against damaged, too large or early frames that are skipped: what
// follows them could be read as something else.
Test(stream, bad_frames_close_the_stream_and_are_counted)
{
    world all;
    const auto b = all.make(host_b, 2);
    const auto greeting =
        encoded(forwarding::hello{host_b, host_a, base::incarnation(1)});
    using namespace std::string_literals;
    cr_assert(closes_after(all, *b, greeting + "\x01\x00\x11\x00"s));
    cr_assert_eq(b->counted("closed.frame_too_large"), 1);
    cr_assert(closes_after(all, *b, greeting + "\x03\x00\x00\x00xyz"s));
    cr_assert_eq(b->counted("closed.frame_unreadable"), 1);
    cr_assert(closes_after(all, *b, encoded(forwarding::ping{})));
    cr_assert_eq(b->counted("closed.hello_missing"), 1);
    cr_assert(closes_after(all, *b, greeting + greeting));
    cr_assert_eq(b->counted("closed.hello_rejected"), 1);
    cr_assert(closes_after(
        all, *b,
        greeting + encoded(rpc::forwarding_message(rpc::forwarded_answer{}))));
    cr_assert_eq(b->counted("closed.wrong_direction"), 1);
    cr_assert(!closes_after(all, *b, greeting + encoded(forwarding::ping{})));
    cr_assert(b->m_received.empty());
}

// Guards against a message that is too large for a frame and leaves the sender
// without an answer, or with one that allows a repetition of what has run.
Test(stream, too_large_messages_are_answered)
{
    world all;
    const auto a = all.make(host_a, 1);
    const auto b = all.make(host_b, 2);
    const std::string large(forwarding::largest_frame, 'x');
    a->send(host_b, b->m_address, 1, large);
    all.until(
        [&]
        {
            return a->m_received.size() == 1;
        });
    const auto refused =
        std::get<rpc::forwarded_answer>(a->m_received[0].m_message);
    cr_assert(refused.m_not_sent);
    cr_assert(refused.m_error == rpc::statement_error::too_large);
    a->send(host_b, b->m_address, 2);
    all.until(
        [&]
        {
            return b->m_received.size() == 1;
        });
    b->reply(host_a, 2, large);
    all.until(
        [&]
        {
            return a->m_received.size() == 2;
        });
    const auto cut =
        std::get<rpc::forwarded_answer>(a->m_received[1].m_message);
    cr_assert(!cut.m_not_sent);
    cr_assert(cut.m_error == rpc::statement_error::unknown_outcome);
}
