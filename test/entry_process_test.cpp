// magnolia-entry as a process, against stand-ins of the users' platform.
#include "support/line_platform.hpp"
#include "support/lines.hpp"
#include "support/process.hpp"

#include <utility>

#include <boost/asio.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <signal.h>
#include <sstream>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

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
    while (test::read_line(stream, answer))
    {
        all += answer + "|";
        if (answer.starts_with("READY"))
            break;
    }
    return all;
}

std::ptrdiff_t count(const std::vector<std::string>& lines,
                     const std::string& line)
{
    return std::count(lines.begin(), lines.end(), line);
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

// A settings file whose reader waits: a process that has opened it has begun
// its main function and has no handlers yet.
class held_settings
{
public:
    explicit held_settings(const std::string& path)
        : m_path(path), m_real(path + ".real")
    {
        // A process that has ended leaves a pipe without a reader.
        std::signal(SIGPIPE, SIG_IGN);
        std::rename(m_path.c_str(), m_real.c_str());
        cr_assert_eq(mkfifo(m_path.c_str(), 0600), 0);
    }

    // Waits until the process has opened the file. Readers that come later
    // find the real one.
    void wait_for_reader()
    {
        m_writer.open(m_path);
        std::rename(m_real.c_str(), m_path.c_str());
    }

    void release()
    {
        m_writer << std::ifstream(m_path).rdbuf();
        m_writer.close();
    }

private:
    std::string m_path;
    std::string m_real;
    std::ofstream m_writer;
};

// Waits until the log has a line with this text.
bool log_has(const std::string& path, const std::string& text)
{
    const auto end = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < end)
    {
        std::stringstream all;
        all << std::ifstream(path).rdbuf();
        if (all.str().find(text) != std::string::npos)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

// Blocks the signals for the threads and processes that are started in its
// life.
class blocked_signals
{
public:
    blocked_signals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGHUP);
        sigaddset(&signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &signals, &m_before);
    }
    ~blocked_signals()
    {
        pthread_sigmask(SIG_SETMASK, &m_before, nullptr);
    }

    blocked_signals(const blocked_signals&) = delete;
    blocked_signals& operator=(const blocked_signals&) = delete;

private:
    sigset_t m_before{};
};

constexpr int start_delays_us[] = {0, 300, 1000, 3000, 10'000, 30'000};

} // namespace

// Soak seed 201: a SIGHUP before the handlers were installed ended the
// process. A SIGHUP has to reload and a SIGTERM to start the planned stop.
Test(entry_process, signals_while_the_settings_are_read_are_handled_later)
{
    const entry_fixture f;
    held_settings settings(f.m_settings);
    test::process host("magnolia-entry", {"--settings", f.m_settings}, f.m_log);
    settings.wait_for_reader();
    host.signal(SIGHUP);
    host.signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    settings.release();
    cr_assert(log_has(f.m_log, "event=reloaded"));
    cr_assert(log_has(f.m_log, "event=drain_started"));
    cr_assert_eq(host.wait_for_exit(30), 0);
}

// The same between the reading of the settings and the event loop.
Test(entry_process, signals_after_the_settings_are_read_do_not_end_the_process)
{
    const entry_fixture f;
    for (const int delay : start_delays_us)
    {
        std::remove(f.m_log.c_str());
        held_settings settings(f.m_settings);
        test::process host("magnolia-entry", {"--settings", f.m_settings},
                           f.m_log);
        settings.wait_for_reader();
        settings.release();
        std::this_thread::sleep_for(std::chrono::microseconds(delay));
        host.signal(SIGHUP);
        cr_assert(log_has(f.m_log, "event=reloaded"), "SIGHUP after %d us",
                  delay);
        host.signal(SIGTERM);
        host.signal(SIGHUP);
        cr_assert(log_has(f.m_log, "event=drain_started"));
        if (delay == start_delays_us[0])
            cr_assert_eq(host.wait_for_exit(30), 0);
    }
}

// From the exec to main the process can block nothing, so its parent does it
// here. A process that inherits blocked signals has to unblock them, and what
// was sent before has to take effect.
Test(entry_process, signals_since_the_exec_are_delivered_when_inherited_blocked)
{
    const entry_fixture f;
    for (const int delay : start_delays_us)
    {
        std::remove(f.m_log.c_str());
        const blocked_signals blocked;
        test::process host("magnolia-entry", {"--settings", f.m_settings},
                           f.m_log);
        std::this_thread::sleep_for(std::chrono::microseconds(delay));
        host.signal(SIGHUP);
        host.signal(SIGTERM);
        cr_assert(log_has(f.m_log, "event=reloaded"), "SIGHUP after %d us",
                  delay);
        cr_assert(log_has(f.m_log, "event=drain_started"),
                  "SIGTERM after %d us", delay);
    }
}

// A signal after the event loop's end met the default action again.
Test(entry_process, signals_throughout_a_planned_stop_do_not_end_the_process)
{
    const entry_fixture f;
    test::process host("magnolia-entry", {"--settings", f.m_settings}, f.m_log);
    cr_assert(f.wait_until_ready());
    siginfo_t ended{};
    while (ended.si_pid == 0)
    {
        host.signal(SIGTERM);
        std::this_thread::sleep_for(std::chrono::microseconds(200));
        waitid(P_PID, static_cast<id_t>(host.pid()), &ended,
               WEXITED | WNOHANG | WNOWAIT);
    }
    cr_assert_eq(host.wait_for_exit(30), 0);
}

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
    cr_assert_geq(count(received, "START g souq e0"), 1);
    cr_assert_eq(count(received, "QUERY ab12 READ 1a4"), 1);
    for (const auto& line : received)
        cr_assert_eq(line.find("key-1"), std::string::npos,
                     "an endpoint saw a caller's key");
    const auto metrics = entry_fixture::get(f.m_metrics, "/metrics");
    cr_assert_neq(metrics.find("magnolia_sessions_started_total 1"),
                  std::string::npos);
}

// review/5: a line feed ended a line by itself, so an endpoint ran the rest of
// a caller's data as a statement of its own, and a caller took the rest of a
// row for a message.
Test(entry_process, a_message_with_any_byte_stays_one_message)
{
    entry_fixture f;
    const std::string odd =
        "two shells\nQUERY z1 WRITE 9c9 forged\n" + test::all_bytes();
    f.m_platform.set_row(odd);
    const test::process host("magnolia-entry", {"--settings", f.m_settings},
                             f.m_log);
    cr_assert(f.wait_until_ready());
    tcp::iostream caller("127.0.0.1", std::to_string(f.m_callers));
    cr_assert_eq(ask(caller, "START stock key-1"), "READY I -|");
    cr_assert_eq(ask_until_done(caller, "QUERY 1 READ a" + odd),
                 "ROW " + odd + "|DONE sig-1|READY I -|");
    cr_assert_eq(ask(caller, "QUERY 2 SET v " + odd), "DONE -|READY I -|");
    cr_assert_eq(ask(caller, "QUERY 3 PREPARE s WRITE q " + odd),
                 "DONE -|READY I -|");
    cr_assert_eq(ask(caller, "QUERY 4 EXEC s a " + odd), "DONE -|READY I -|");
    cr_assert_eq(ask(caller, "QUERY 5 WRITE a " + odd), "DONE -|READY I -|");
    const auto received = f.m_platform.endpoint_received();
    cr_assert_eq(count(received, "QUERY 1 READ a" + odd), 1);
    cr_assert_geq(count(received, "QUERY - SET v " + odd), 1);
    cr_assert_geq(count(received, "QUERY - PREPARE p1 WRITE q " + odd), 1);
    cr_assert_eq(count(received, "QUERY 4 EXEC p1 a " + odd), 1);
    cr_assert_eq(count(received, "QUERY 5 WRITE a " + odd), 1);
    for (const auto& line : received)
        cr_assert_not(line.starts_with("QUERY z1"));
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

// Guards against statements that arrived together and were read when their
// session was closed: those behind the first got no answer.
Test(entry_process, a_planned_stop_answers_all_statements_that_came_together)
{
    const entry_fixture f;
    test::process host("magnolia-entry", {"--settings", f.m_settings}, f.m_log);
    cr_assert(f.wait_until_ready());
    tcp::iostream caller("127.0.0.1", std::to_string(f.m_callers));
    cr_assert_eq(ask(caller, "START stock key-1"), "READY I -|");
    ask_until_done(caller, "QUERY 1 READ x");
    cr_assert(ask(caller, "QUERY 2 BEGIN").ends_with("READY T -|"));
    host.signal(SIGTERM);
    cr_assert(log_has(f.m_log, "event=drain_closing_sessions"));
    caller << "QUERY 3 ROLLBACK\r\nQUERY 4 READ x\r\nQUERY 5 READ x\r\n"
           << std::flush;
    std::string all;
    std::string line;
    while (test::read_line(caller, line))
        all += line.substr(0, line.find(' ', 4)) + "|";
    cr_assert_eq(all, "DONE|READY|ERR BUSY|READY|ERR BUSY|READY|", "%s",
                 all.c_str());
    cr_assert_eq(host.wait_for_exit(30), 0);
    cr_assert(log_has(f.m_log, "reason=drained"));
}
