// magnolia-entry as a process, against stand-ins of the users' platform.
#include "support/line_platform.hpp"
#include "support/process.hpp"

#include <utility>

#include <boost/asio.hpp>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

#include <criterion/criterion.h>

namespace
{

namespace test = magnoliastack::test;
using boost::asio::ip::tcp;

// Longest time that anything here may take on a loaded machine.
constexpr auto patience = std::chrono::seconds(30);

std::string local(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// One host with its platform and a settings file.
struct entry_fixture
{
    entry_fixture()
        : m_callers(test::free_port()), m_probe(test::free_port()),
          m_metrics(test::free_port()),
          m_settings("entry_process_" + std::to_string(m_callers) + ".ini"),
          m_log("entry_process_" + std::to_string(m_callers) + ".log")
    {
        std::ofstream(m_settings)
            << "[host]\nid = h0\nfailure_domain = d\n[listen]\ncallers = "
            << local(m_callers) << "\nprobe = " << local(m_probe)
            << "\npeers = " << local(test::free_port())
            << "\nmetrics = " << local(m_metrics)
            << "\n[platform]\nstore = " << m_platform.store_address()
            << "\nduties = " << m_platform.store_address() << "\n";
    }

    ~entry_fixture()
    {
        std::remove(m_settings.c_str());
        std::remove(m_log.c_str());
    }

    // The whole answer to a GET request, or nothing.
    static std::string get(int port, const std::string& path)
    {
        tcp::iostream stream("127.0.0.1", std::to_string(port));
        stream << "GET " << path
               << " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
               << std::flush;
        std::stringstream all;
        all << stream.rdbuf();
        return all.str();
    }

    [[nodiscard]] bool wait_until_ready() const
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (std::chrono::steady_clock::now() < end)
        {
            if (get(m_probe, "/magnoliastack/ready")
                    .starts_with("HTTP/1.1 200"))
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return false;
    }

    test::line_platform m_platform;
    int m_callers;
    int m_probe;
    int m_metrics;
    std::string m_settings;
    std::string m_log;
};

// Sends a line and returns all lines up to and with READY.
std::string ask(tcp::iostream& stream, const std::string& line)
{
    stream << line << "\r\n" << std::flush;
    std::string all;
    std::string answer;
    while (std::getline(stream, answer))
    {
        answer.pop_back();
        all += answer + "|";
        if (answer.starts_with("READY"))
            break;
    }
    return all;
}

// Repeats a read while the host still confirms its rows after the start.
std::string ask_until_done(tcp::iostream& stream, const std::string& line)
{
    const auto end = std::chrono::steady_clock::now() + patience;
    std::string answer;
    do
        answer = ask(stream, line);
    while (answer.find("BUSY") != std::string::npos &&
           std::chrono::steady_clock::now() < end);
    return answer;
}

} // namespace

Test(entry_process, a_statement_crosses_the_sockets_and_no_key_does)
{
    const entry_fixture f;
    const test::process host("magnolia-entry", {"--settings", f.m_settings},
                             f.m_log);
    cr_assert(f.wait_until_ready());
    tcp::iostream caller("127.0.0.1", std::to_string(f.m_callers));
    cr_assert_eq(ask(caller, "START stock key-1"), "READY I -|");
    cr_assert_eq(ask_until_done(caller, "QUERY ab12 READ 1a4"),
                 "ROW pearl|DONE sig-1|READY I -|");
    const auto received = f.m_platform.endpoint_received();
    cr_assert_neq(received.find("START g souq e0"), std::string::npos);
    cr_assert_neq(received.find("QUERY ab12 READ 1a4"), std::string::npos);
    cr_assert_eq(received.find("key-1"), std::string::npos,
                 "an endpoint saw a caller's key");
    const auto metrics = entry_fixture::get(f.m_metrics, "/metrics");
    cr_assert_neq(metrics.find("magnolia_sessions_started_total 1"),
                  std::string::npos);
}

// Operators of the platform saw an added route that was not served after the
// store had come back from an older copy: its row lay below the version from
// which the host's watch went on.
Test(entry_process, a_configuration_after_a_return_of_the_store_is_in_force)
{
    entry_fixture f;
    const test::process host("magnolia-entry", {"--settings", f.m_settings},
                             f.m_log);
    cr_assert(f.wait_until_ready());
    const auto is_served = [&f](const std::string& database)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (std::chrono::steady_clock::now() < end)
        {
            tcp::iostream caller("127.0.0.1", std::to_string(f.m_callers));
            if (ask(caller, "START " + database + " key-1") == "READY I -|")
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    };
    f.m_platform.keep_copy();
    f.m_platform.add_database("dispatch");
    cr_assert(is_served("dispatch"));
    f.m_platform.come_back_with_database("wages");
    cr_assert(is_served("wages"));
    cr_assert(is_served("dispatch"));
    tcp::iostream caller("127.0.0.1", std::to_string(f.m_callers));
    cr_assert_eq(ask(caller, "START stock key-1"), "READY I -|");
    cr_assert_eq(ask_until_done(caller, "QUERY ab12 READ 1a4"),
                 "ROW pearl|DONE sig-1|READY I -|");
    const auto metrics = entry_fixture::get(f.m_metrics, "/metrics");
    cr_assert_neq(metrics.find("magnolia_store_returns_total 1"),
                  std::string::npos);
}

Test(entry_process, an_unknown_key_and_bad_input_cost_only_their_own_session)
{
    const entry_fixture f;
    const test::process host("magnolia-entry", {"--settings", f.m_settings},
                             f.m_log);
    cr_assert(f.wait_until_ready());
    tcp::iostream caller("127.0.0.1", std::to_string(f.m_callers));
    cr_assert_eq(ask(caller, "START stock key-1"), "READY I -|");
    tcp::iostream stranger("127.0.0.1", std::to_string(f.m_callers));
    cr_assert(ask(stranger, "START stock key-2").starts_with("ERR NOAUTH"));
    tcp::iostream noise("127.0.0.1", std::to_string(f.m_callers));
    cr_assert(
        ask(noise, std::string("\x01\xff\x00 noise", 9)).starts_with("ERR"));
    cr_assert_neq(ask_until_done(caller, "QUERY 1 READ x").find("DONE sig-1"),
                  std::string::npos);
}

Test(entry_process, a_planned_stop_ends_with_zero)
{
    const entry_fixture f;
    test::process host("magnolia-entry", {"--settings", f.m_settings}, f.m_log);
    cr_assert(f.wait_until_ready());
    tcp::iostream caller("127.0.0.1", std::to_string(f.m_callers));
    cr_assert_eq(ask(caller, "START stock key-1"), "READY I -|");
    host.signal(SIGTERM);
    cr_assert_neq(ask_until_done(caller, "QUERY 1 READ x").find("DONE sig-1"),
                  std::string::npos, "a statement after TERM was cut");
    cr_assert_eq(host.wait_for_exit(30), 0);
}
