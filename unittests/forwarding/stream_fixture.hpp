// Hosts with streams on 127.0.0.1 in one process, on a clock that tests move.
#ifndef MAGNOLIASTACK_UNITTESTS_FORWARDING_STREAM_FIXTURE_HPP
#define MAGNOLIASTACK_UNITTESTS_FORWARDING_STREAM_FIXTURE_HPP

#include "magnoliastack/forwarding/codec.hpp"
#include "magnoliastack/forwarding/stream_link.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio.hpp>

#include <criterion/criterion.h>

namespace forwarding_test
{

namespace asio = boost::asio;
namespace base = magnoliastack::base;
namespace forwarding = magnoliastack::forwarding;
namespace metrics = magnoliastack::metrics;
namespace rpc = magnoliastack::rpc;
using asio::ip::tcp;

inline const base::host_id host_a("host-a");
inline const base::host_id host_b("host-b");

class manual_clock final : public base::clock
{
public:
    [[nodiscard]] base::instant now() const override
    {
        return m_now;
    }
    [[nodiscard]] std::int64_t unix_ms() const override
    {
        return 0;
    }

    base::instant m_now = base::instant::from_nanoseconds(1'000'000'000);
};

inline tcp::acceptor system_port(asio::io_context& loop)
{
    return {loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
}

inline std::string text(const tcp::endpoint& address)
{
    return "127.0.0.1:" + std::to_string(address.port());
}

// One host: its link and the events that it has received.
class host final : public rpc::forwarding_events
{
public:
    struct received
    {
        base::host_id m_from;
        base::incarnation m_incarnation;
        rpc::forwarding_message m_message;
    };

    host(asio::io_context& loop, manual_clock& clock, const base::host_id& name,
         std::uint64_t incarnation, forwarding::stream_settings settings = {})
        : m_link(loop, clock, m_metrics, {name, base::incarnation(incarnation)},
                 settings)
    {
        auto acceptor = system_port(loop);
        m_address = text(acceptor.local_endpoint());
        m_link.listen(std::move(acceptor));
        m_link.set_events(*this);
    }

    void message_received(const base::host_id& from,
                          base::incarnation incarnation,
                          rpc::forwarding_message message) override
    {
        cr_assert(!m_in_call, "an event came from within a call");
        m_received.push_back({from, incarnation, std::move(message)});
        if (m_on_message)
            m_on_message(m_received.back());
    }
    void stream_lost(const base::host_id& /*host*/, bool refused) override
    {
        cr_assert(!m_in_call, "an event came from within a call");
        ++(refused ? m_refused : m_lost);
    }
    void incoming_stream_lost(const base::host_id& /*host*/) override
    {
        cr_assert(!m_in_call, "an event came from within a call");
        ++m_incoming_lost;
    }
    void idle_stream_closed(const base::host_id& /*host*/) override
    {
        cr_assert(!m_in_call, "an event came from within a call");
        ++m_idle_closed;
    }

    // Sends a statement with this number and text.
    void send(const base::host_id& to, const std::string& address,
              std::uint64_t number, std::string statement = "SELECT")
    {
        rpc::forwarded_statement what;
        what.m_number = rpc::forwarding_number(number);
        what.m_statement.m_text = std::move(statement);
        m_in_call = true;
        m_link.send(to, address, what);
        m_in_call = false;
    }
    void reply(const base::host_id& to, std::uint64_t number,
               std::string row = {})
    {
        rpc::forwarded_answer what;
        what.m_number = rpc::forwarding_number(number);
        what.m_rows.push_back(std::move(row));
        m_in_call = true;
        m_link.reply(to, what);
        m_in_call = false;
    }
    void tick(base::instant now)
    {
        m_in_call = true;
        m_link.tick(now);
        m_in_call = false;
    }
    std::uint64_t counted(const std::string& name)
    {
        return m_metrics.counter("forwarding." + name).value();
    }

    metrics::registry m_metrics;
    forwarding::stream_link m_link;
    std::string m_address;
    std::vector<received> m_received;
    std::function<void(const received&)> m_on_message;
    int m_lost = 0;
    int m_refused = 0;
    int m_incoming_lost = 0;
    int m_idle_closed = 0;
    bool m_in_call = false;
};

// Runs the loop until the condition holds; fails the test after 5 s.
class world
{
public:
    std::unique_ptr<host> make(const base::host_id& name,
                               std::uint64_t incarnation,
                               forwarding::stream_settings settings = {})
    {
        return std::make_unique<host>(m_loop, m_clock, name, incarnation,
                                      settings);
    }

    void until(const std::function<bool()>& condition)
    {
        const auto end =
            std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!condition())
        {
            cr_assert(std::chrono::steady_clock::now() < end,
                      "the condition did not come true");
            m_loop.restart();
            m_loop.run_for(std::chrono::milliseconds(1));
        }
    }
    // Runs what is due, for conditions that must not come true.
    void settle()
    {
        m_loop.restart();
        m_loop.run_for(std::chrono::milliseconds(30));
    }
    // Moves the clock in steps of 50 ms, with a tick of each host.
    void pass(absl::Duration time, const std::vector<host*>& hosts)
    {
        for (absl::Duration step; step < time; step += absl::Milliseconds(50))
        {
            m_clock.m_now = m_clock.m_now + absl::Milliseconds(50);
            for (auto* each : hosts)
                each->tick(m_clock.m_now);
            m_loop.restart();
            m_loop.run_for(std::chrono::milliseconds(1));
        }
    }

    manual_clock m_clock;
    asio::io_context m_loop{1};
};

} // namespace forwarding_test

#endif
