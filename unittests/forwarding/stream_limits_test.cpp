// Streams between hosts: silence, idleness, pauses, backlog and memory.
#include "stream_fixture.hpp"

#include <cstdio>
#include <fstream>

#include <unistd.h>

using namespace forwarding_test;

namespace
{

// Resident bytes of this process.
std::size_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

// Two hosts of which `a` has sent a statement to `b`.
struct pair_of_hosts
{
    pair_of_hosts() : m_a(m_all.make(host_a, 1)), m_b(m_all.make(host_b, 2))
    {
        m_a->tick(m_all.m_clock.m_now);
        m_b->tick(m_all.m_clock.m_now);
        m_a->send(host_b, m_b->m_address, 1);
        m_all.until(
            [&]
            {
                return m_b->m_received.size() == 1;
            });
        m_all.settle();
    }

    world m_all;
    std::unique_ptr<host> m_a;
    std::unique_ptr<host> m_b;
};

} // namespace

// Guards against statements that wait for a frozen host: without any byte for
// 500 ms the stream is lost, not before.
Test(limits, silent_host_is_given_up)
{
    pair_of_hosts hosts;
    hosts.m_a->m_link.set_awaiting(host_b, true);
    hosts.m_all.pass(absl::Milliseconds(200), {hosts.m_a.get()});
    cr_assert_eq(hosts.m_a->m_lost, 0);
    // The peer is stopped: its socket stays open, and nobody reads from it.
    hosts.m_all.m_clock.m_now =
        hosts.m_all.m_clock.m_now + absl::Milliseconds(250);
    hosts.m_a->tick(hosts.m_all.m_clock.m_now);
    cr_assert_eq(hosts.m_a->counted("closed.silence"), 0);
    hosts.m_all.m_clock.m_now =
        hosts.m_all.m_clock.m_now + absl::Milliseconds(50);
    hosts.m_a->tick(hosts.m_all.m_clock.m_now);
    cr_assert_eq(hosts.m_a->counted("closed.silence"), 1);
    hosts.m_all.until(
        [&]
        {
            return hosts.m_a->m_lost == 1;
        });
}

// Guards against long statements that are lost although their holder lives: it
// answers pings.
Test(limits, pongs_keep_an_awaited_stream)
{
    pair_of_hosts hosts;
    hosts.m_a->m_link.set_awaiting(host_b, true);
    hosts.m_all.pass(absl::Seconds(65), {hosts.m_a.get(), hosts.m_b.get()});
    cr_assert_eq(hosts.m_a->m_lost + hosts.m_a->m_idle_closed, 0);
    cr_assert_eq(hosts.m_b->m_incoming_lost, 0);
    hosts.m_b->reply(host_a, 1);
    hosts.m_all.until(
        [&]
        {
            return hosts.m_a->m_received.size() == 1;
        });
}

// Guards against a holder that does not accept connections, such as a frozen
// one whose kernel still does, and against one that cannot be reached.
Test(limits, host_that_never_says_hello_is_given_up)
{
    world all;
    const auto a = all.make(host_a, 1);
    auto acceptor = system_port(all.m_loop);
    a->m_link.set_awaiting(host_b, true);
    a->send(host_b, text(acceptor.local_endpoint()), 1);
    all.pass(absl::Milliseconds(600), {a.get()});
    cr_assert_eq(a->m_lost, 1);
}

// Guards against streams that are kept for ever, and against an idle stream
// that is taken for a failure of the host.
Test(limits, unused_stream_is_closed_after_30_s)
{
    pair_of_hosts hosts;
    hosts.m_all.pass(absl::Milliseconds(29900),
                     {hosts.m_a.get(), hosts.m_b.get()});
    cr_assert_eq(hosts.m_a->m_idle_closed, 0);
    hosts.m_all.pass(absl::Milliseconds(200),
                     {hosts.m_a.get(), hosts.m_b.get()});
    hosts.m_all.until(
        [&]
        {
            return hosts.m_a->m_idle_closed == 1 &&
                   hosts.m_b->m_incoming_lost == 1;
        });
    cr_assert_eq(hosts.m_a->m_lost, 0);
}

// Guards against accepted sockets of hosts that vanished without a word.
Test(limits, accepted_streams_end_without_hello_or_use)
{
    pair_of_hosts hosts;
    tcp::socket silent(hosts.m_all.m_loop);
    silent.connect({asio::ip::address_v4::loopback(),
                    static_cast<std::uint16_t>(
                        std::stoul(hosts.m_b->m_address.substr(10)))});
    hosts.m_all.settle();
    hosts.m_all.pass(absl::Milliseconds(2100), {hosts.m_b.get()});
    cr_assert_eq(hosts.m_b->counted("closed.silence"), 1);
    hosts.m_all.pass(absl::Seconds(60), {hosts.m_b.get()});
    cr_assert_eq(hosts.m_b->m_incoming_lost, 1);
}

// Guards against running statements that waited in a stream while the host was
// paused. The receive handler is the first one to run, before any tick.
Test(limits, paused_host_reads_nothing_that_waits)
{
    pair_of_hosts hosts;
    hosts.m_a->send(host_b, hosts.m_b->m_address, 2);
    hosts.m_all.m_clock.m_now =
        hosts.m_all.m_clock.m_now + absl::Milliseconds(301);
    hosts.m_all.until(
        [&]
        {
            return hosts.m_a->m_lost == 1;
        });
    cr_assert_eq(hosts.m_b->counted("pauses"), 1);
    cr_assert_eq(hosts.m_b->m_incoming_lost, 1);
    cr_assert_eq(hosts.m_b->m_received.size(), 1);
}

// Guards against the same for a connection that waited to be accepted.
Test(limits, paused_host_accepts_nothing_that_waits)
{
    pair_of_hosts hosts;
    const auto c = hosts.m_all.make(base::host_id("host-c"), 3);
    c->send(host_b, hosts.m_b->m_address, 3);
    hosts.m_all.m_clock.m_now =
        hosts.m_all.m_clock.m_now + absl::Milliseconds(301);
    hosts.m_all.until(
        [&]
        {
            return c->m_lost == 1;
        });
    cr_assert_eq(hosts.m_b->counted("pauses"), 1);
    cr_assert_eq(hosts.m_b->m_received.size(), 1);
}

// Guards against the same when the tick runs first.
Test(limits, tick_after_a_pause_closes_incoming_streams)
{
    pair_of_hosts hosts;
    hosts.m_a->send(host_b, hosts.m_b->m_address, 2);
    hosts.m_all.m_clock.m_now =
        hosts.m_all.m_clock.m_now + absl::Milliseconds(301);
    hosts.m_b->tick(hosts.m_all.m_clock.m_now);
    hosts.m_all.until(
        [&]
        {
            return hosts.m_a->m_lost == 1;
        });
    cr_assert_eq(hosts.m_b->m_received.size(), 1);
    // The next stream is served.
    hosts.m_a->send(host_b, hosts.m_b->m_address, 3);
    hosts.m_all.until(
        [&]
        {
            return hosts.m_b->m_received.size() == 2;
        });
}

// Guards against holders that are given up because this host was paused: their
// answers wait in the sockets.
Test(limits, own_pause_does_not_count_as_silence_of_peers)
{
    pair_of_hosts hosts;
    hosts.m_a->m_link.set_awaiting(host_b, true);
    hosts.m_b->reply(host_a, 1);
    hosts.m_all.m_clock.m_now = hosts.m_all.m_clock.m_now + absl::Seconds(2);
    hosts.m_a->tick(hosts.m_all.m_clock.m_now);
    hosts.m_all.until(
        [&]
        {
            return hosts.m_a->m_received.size() == 1;
        });
    cr_assert_eq(hosts.m_a->m_lost, 0);
}

// Guards against memory without a bound for a peer that does not read.
Test(limits, peer_that_stops_reading_is_closed)
{
    world all;
    const auto a = all.make(host_a, 1);
    auto acceptor = system_port(all.m_loop);
    const auto address = text(acceptor.local_endpoint());
    const std::string large(1U << 19, 'x');
    // The kernel's buffers take some MiB before the stream's own fill.
    for (std::uint64_t number = 1; number <= 64 && a->m_lost == 0; ++number)
    {
        a->send(host_b, address, number, large);
        all.m_loop.restart();
        all.m_loop.run_for(std::chrono::milliseconds(2));
    }
    cr_assert_eq(a->m_lost, 1);
    cr_assert_eq(a->counted("closed.backlog"), 1);
}

// Guards against handlers that run after their link was destroyed.
Test(limits, destroyed_link_leaves_no_handlers)
{
    pair_of_hosts hosts;
    hosts.m_a->send(host_b, hosts.m_b->m_address, 2);
    hosts.m_a->send(base::host_id("host-x"), "nowhere", 3);
    hosts.m_a.reset();
    hosts.m_all.settle();
    hosts.m_b.reset();
    hosts.m_all.settle();
}

// Guards against buffers that idle streams keep, as a host has up to two
// streams with each other host of the fleet. Both ends are in this process.
Test(limits, idle_streams_cost_little_memory)
{
    constexpr std::size_t count = 64;
    // Two ends of 16 KiB. A host in a fleet of 200 has 400 ends, which then
    // take a twentieth of the 128 MB that a host may use for control.
    constexpr std::size_t largest_each = 32768;
    world all;
    const auto b = all.make(host_b, 2);
    std::vector<std::unique_ptr<host>> senders;
    for (std::size_t index = 0; index < count; ++index)
        senders.push_back(
            all.make(base::host_id("sender-" + std::to_string(index)), 1));
    all.settle();
    const auto before = resident_bytes();
    for (const auto& sender : senders)
        sender->send(host_b, b->m_address, 1, std::string(3000, 'x'));
    all.until(
        [&]
        {
            return b->m_received.size() == count;
        });
    b->m_received.clear();
    all.settle();
    const auto after = resident_bytes();
    const auto used = after > before ? after - before : 0;
    std::printf("64 idle streams, both ends: %zu resident bytes, %zu each\n",
                used, used / count);
    cr_assert_lt(used / count, largest_each);
}
