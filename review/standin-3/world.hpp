// Stand-ins for the cases of the third review: the platform's store, the
// promotion call, one database service in the line protocol, callers, and
// processes of magnolia-entry. They follow the users' pages; everything is on
// loopback addresses.
#pragma once

#include <optional>
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using json = nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const clock::time_point origin = clock::now();

inline double seconds_now()
{
    return std::chrono::duration<double>(clock::now() - origin).count();
}

inline void sleep_ms(long ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// record.txt: what was sent, answered and run.
class record
{
public:
    explicit record(const std::string& path) : m_out(path)
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", seconds_now());
        m_out << time << text << '\n';
        m_out.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

inline std::string base64(const std::string& in)
{
    static const char table[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < in.size(); at += 3)
    {
        unsigned value = static_cast<unsigned char>(in[at]) << 16;
        if (at + 1 < in.size())
            value |= static_cast<unsigned char>(in[at + 1]) << 8;
        if (at + 2 < in.size())
            value |= static_cast<unsigned char>(in[at + 2]);
        out.push_back(table[value >> 18 & 63]);
        out.push_back(table[value >> 12 & 63]);
        out.push_back(at + 1 < in.size() ? table[value >> 6 & 63] : '=');
        out.push_back(at + 2 < in.size() ? table[value & 63] : '=');
    }
    return out;
}

inline unsigned short free_port(const std::string& address = "127.0.0.1")
{
    asio::io_context loop;
    tcp::acceptor acceptor(loop, {asio::ip::make_address(address), 0});
    return acceptor.local_endpoint().port();
}

// Accepts connections and serves each in a thread of its own.
class server
{
public:
    using handler = std::function<void(std::shared_ptr<tcp::socket>)>;

    explicit server(handler serve) : m_serve(std::move(serve))
    {
        m_acceptor = std::make_unique<tcp::acceptor>(
            m_loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        m_thread = std::thread(
            [this]
            {
                run();
            });
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(m_acceptor->local_endpoint().port());
    }

    // Ends the threads; call it once, before the end of the process.
    void stop()
    {
        m_stopped = true;
        ::shutdown(m_acceptor->native_handle(), SHUT_RDWR);
        m_thread.join();
    }

private:
    void run()
    {
        while (!m_stopped)
        {
            auto socket = std::make_shared<tcp::socket>(m_loop);
            beast::error_code error;
            m_acceptor->accept(*socket, error);
            if (m_stopped)
                return;
            if (error)
                continue;
            socket->set_option(tcp::no_delay(true), error);
            std::thread(m_serve, socket).detach();
        }
    }

    handler m_serve;
    asio::io_context m_loop;
    std::unique_ptr<tcp::acceptor> m_acceptor;
    std::atomic<bool> m_stopped = false;
    std::thread m_thread;
};

// The platform's store: rows in tables, transactions and feeds.
class store
{
public:
    store()
        : m_server(
              [this](std::shared_ptr<tcp::socket> socket)
              {
                  serve(*socket);
              })
    {
    }

    [[nodiscard]] std::string address() const
    {
        return m_server.address();
    }

    void put(const std::string& table, const std::string& key,
             const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        ++m_version;
        m_rows[table][key] = {{"table", table},
                              {"part", ""},
                              {"key", key},
                              {"value", base64(value)},
                              {"ver", m_version}};
        m_changed.notify_all();
    }

    void stop()
    {
        m_server.stop();
    }

private:
    static std::string parameter(const std::string& target,
                                 const std::string& name)
    {
        for (const char* before : {"?", "&"})
        {
            const auto at = target.find(before + name + "=");
            if (at == std::string::npos)
                continue;
            const auto from = at + name.size() + 2;
            return target.substr(from, target.find('&', from) - from);
        }
        return {};
    }

    json answer(json document) const
    {
        document["ver"] = m_version;
        document["now_ms"] =
            std::chrono::duration_cast<milliseconds>(clock::now() - origin)
                .count() +
            1'000'000;
        return document;
    }

    json rows_after(const std::string& table, std::uint64_t after)
    {
        json found = json::array();
        for (const auto& [key, row] : m_rows[table])
            if (row.at("ver").get<std::uint64_t>() > after)
                found.push_back(row);
        std::sort(found.begin(), found.end(),
                  [](const json& one, const json& other)
                  {
                      return one.at("ver") < other.at("ver");
                  });
        return found;
    }

    json get(const std::string& target)
    {
        const std::lock_guard lock(m_mutex);
        json found = json::array();
        for (const auto& [key, row] : m_rows[parameter(target, "table")])
            if (key >= parameter(target, "from"))
                found.push_back(row);
        return answer({{"rows", found}, {"more_pages", false}});
    }

    json feed(const std::string& target)
    {
        std::unique_lock lock(m_mutex);
        const std::string table = parameter(target, "table");
        const std::uint64_t after = std::stoull(parameter(target, "after"));
        const auto end = clock::now() +
                         milliseconds(std::stol(parameter(target, "wait_ms")));
        while (rows_after(table, after).empty() &&
               m_changed.wait_until(lock, end) != std::cv_status::timeout)
            ;
        return answer({{"rows", rows_after(table, after)}});
    }

    json change(const std::string& body, unsigned& status)
    {
        const std::lock_guard lock(m_mutex);
        const json asked = json::parse(body);
        json present = json::array();
        bool holds = true;
        for (const auto& expected : asked.at("expect_rev"))
        {
            const auto& table = m_rows[expected.at("table")];
            const auto row = table.find(expected.at("key"));
            const std::uint64_t version =
                row == table.end() ? 0
                                   : row->second.at("ver").get<std::uint64_t>();
            holds = holds && version == expected.at("ver");
            if (row != table.end())
                present.push_back(row->second);
        }
        status = holds ? 200 : 412;
        if (!holds)
            return answer({{"rows", present}});
        ++m_version;
        for (auto row : asked.at("writes"))
        {
            row["ver"] = m_version;
            m_rows[row.at("table")][row.at("key")] = row;
        }
        m_changed.notify_all();
        return answer(json::object());
    }

    void serve(tcp::socket& socket)
    {
        beast::flat_buffer buffer;
        while (true)
        {
            beast::error_code error;
            http::request<http::string_body> request;
            http::read(socket, buffer, request, error);
            if (error)
                return;
            const std::string target(request.target());
            unsigned status = 200;
            json body;
            if (target.starts_with("/magnoliastack/rows-tx"))
                body = change(request.body(), status);
            else if (target.starts_with("/magnoliastack/rows-feed"))
                body = feed(target);
            else
                body = get(target);
            sleep_ms(4);
            http::response<http::string_body> response;
            response.result(status);
            response.body() = body.dump();
            response.prepare_payload();
            http::write(socket, response, error);
            if (error)
                return;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, json>> m_rows;
    std::uint64_t m_version = 0;
    server m_server;
};

// Reads lines that end with CR LF; none at the end of the connection.
class line_reader
{
public:
    explicit line_reader(tcp::socket& socket) : m_socket(socket)
    {
    }

    std::optional<std::string> next()
    {
        while (true)
        {
            const auto end = m_bytes.find("\r\n");
            if (end != std::string::npos)
            {
                std::string line = m_bytes.substr(0, end);
                m_bytes.erase(0, end + 2);
                return line;
            }
            char chunk[4096];
            beast::error_code error;
            const auto count =
                m_socket.read_some(asio::buffer(chunk, sizeof chunk), error);
            if (error)
                return std::nullopt;
            m_bytes.append(chunk, count);
        }
    }

private:
    tcp::socket& m_socket;
    std::string m_bytes;
};

inline bool send_text(tcp::socket& socket, const std::string& text)
{
    beast::error_code error;
    asio::write(socket, asio::buffer(text), error);
    return !error;
}

inline std::string take_word(std::string& text)
{
    const auto end = text.find(' ');
    const std::string word = text.substr(0, end);
    text = end == std::string::npos ? "" : text.substr(end + 1);
    return word;
}

// One service: a primary and replicas that follow 20 ms behind.
class database
{
public:
    struct backend
    {
        std::string m_id;
        std::unique_ptr<server> m_server;
        std::atomic<bool> m_draining = false;
    };

    database(std::string service, store& rows, record& out, int copies,
             long work_ms)
        : m_service(std::move(service)), m_rows(rows), m_out(out),
          m_work_ms(work_ms)
    {
        m_history.emplace_back(clock::now(), 1);
        for (int copy = 0; copy < copies; ++copy)
        {
            auto& added = m_backends.emplace_back(std::make_unique<backend>());
            added->m_id = "i-" + std::to_string(7000 + copy);
            added->m_server = std::make_unique<server>(
                [this, at = added.get()](std::shared_ptr<tcp::socket> socket)
                {
                    serve(*at, *socket);
                });
        }
        m_primary = m_backends.front()->m_id;
        for (const auto& item : m_backends)
            heartbeat(*item);
    }

    backend& at(std::size_t index)
    {
        return *m_backends.at(index);
    }

    // The entry of the backend as it reports itself.
    std::string entry(const backend& item, const std::string& service = "")
    {
        const std::lock_guard lock(m_mutex);
        return json{{"service", service.empty() ? m_service : service},
                    {"addr", item.m_server->address()},
                    {"zone", "rvk-a"},
                    {"slots", 5},
                    {"seq", ++m_seq},
                    {"state", item.m_draining ? "draining" : "ready"},
                    {"born", 1774500000000},
                    {"version", "v1"},
                    {"cold_left_ms", 0},
                    {"db_role", item.m_id == m_primary ? "primary" : "replica"}}
            .dump();
    }

    void heartbeat(const backend& item)
    {
        m_rows.put("servers", item.m_id, entry(item));
    }

    void promote(const std::string& id)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_primary == id)
                return;
            m_primary = id;
            ++m_term;
        }
        m_out.line("promoted " + id);
        for (const auto& item : m_backends)
            heartbeat(*item);
    }

    void stop()
    {
        for (const auto& item : m_backends)
            item->m_server->stop();
    }

    std::string m_service;
    std::atomic<bool> m_ends = false;

private:
    std::uint64_t position(const backend& item)
    {
        const std::lock_guard lock(m_mutex);
        if (item.m_id == m_primary)
            return m_history.back().second;
        const auto until = clock::now() - milliseconds(20);
        std::uint64_t result = m_history.front().second;
        for (const auto& [when, number] : m_history)
            if (when <= until)
                result = number;
        while (m_history.size() > 2 && m_history[1].first <= until)
            m_history.pop_front();
        return result;
    }

    std::string ready(const backend& item, char state)
    {
        const auto number = position(item);
        const std::lock_guard lock(m_mutex);
        return std::string("READY ") + state + " " + std::to_string(m_term) +
               "." + std::to_string(number) + "\r\n";
    }

    bool is_primary(const backend& item)
    {
        const std::lock_guard lock(m_mutex);
        return item.m_id == m_primary;
    }

    void commit()
    {
        const std::lock_guard lock(m_mutex);
        m_history.emplace_back(clock::now(), m_history.back().second + 1);
    }

    void serve(backend& item, tcp::socket& socket)
    {
        line_reader lines(socket);
        auto start = lines.next();
        if (!start || take_word(*start) != "START")
            return;
        const std::string service = take_word(*start);
        const std::string who = take_word(*start);
        sleep_ms(12);
        if (service != m_service || (!start->empty() && *start != item.m_id))
        {
            send_text(socket, "ERR MOVED another\r\n");
            return;
        }
        char state = 'I';
        bool wrote = false;
        send_text(socket, ready(item, state));
        while (auto line = lines.next())
        {
            if (take_word(*line) != "QUERY")
                return;
            const std::string id = take_word(*line);
            const std::string reply = run(item, who, id, *line, state, wrote);
            if (!send_text(socket, reply + ready(item, state)))
                return;
        }
    }

    std::string run(backend& item, const std::string& who,
                    const std::string& id, std::string text, char& state,
                    bool& wrote)
    {
        const std::string whole = text;
        std::string verb = take_word(text);
        if (verb == "AFTER")
        {
            const std::string point = take_word(text);
            const auto dot = point.find('.');
            const auto number = std::stoull(point.substr(dot + 1));
            if (position(item) < number)
                return "ERR LAGGING -\r\n";
            verb = take_word(text);
        }
        if (verb == "STATUS")
        {
            const auto number = position(item);
            const bool primary = is_primary(item);
            const std::lock_guard lock(m_mutex);
            const std::string term = std::to_string(m_term);
            return std::string("ROW ") + (primary ? "primary " : "replica ") +
                   term + " " + term + "." + std::to_string(number) + " " +
                   term + " 0 0 10\r\nDONE -\r\n";
        }
        if (verb == "STEPDOWN")
            return "DONE -\r\n";
        if (verb == "BEGIN")
        {
            if (text != "READ" && !is_primary(item))
                return "ERR READONLY " + m_primary + "\r\n";
            state = 'T';
            wrote = false;
            return "DONE -\r\n";
        }
        if (verb == "ROLLBACK")
        {
            state = 'I';
            return "DONE -\r\n";
        }
        const bool is_write = verb == "WRITE";
        if (is_write && !is_primary(item))
        {
            if (state == 'T')
                state = 'E';
            return "ERR READONLY " + m_primary + "\r\n";
        }
        if (verb == "COMMIT")
        {
            if (wrote)
                commit();
            state = 'I';
        }
        else if (verb == "READ" || is_write)
            sleep_ms(m_work_ms);
        if (is_write && state == 'T')
            wrote = true;
        else if (is_write)
            commit();
        if (id != "-")
            m_out.line(item.m_id + " runs " + id + " for " + who + ": " +
                       whole);
        return (verb == "READ" ? "ROW pearl\r\n" : "") +
               std::string("DONE s.") + item.m_id + "." + id + "\r\n";
    }

    store& m_rows;
    record& m_out;
    long m_work_ms;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<backend>> m_backends;
    std::string m_primary;
    std::uint64_t m_term = 1;
    std::uint64_t m_seq = 0;
    std::deque<std::pair<clock::time_point, std::uint64_t>> m_history;
};

// The platform's calls: a promotion takes effect after 300 ms.
class promotions
{
public:
    promotions(database& data, record& out)
        : m_data(data), m_out(out),
          m_server(
              [this](std::shared_ptr<tcp::socket> socket)
              {
                  serve(*socket);
              })
    {
    }

    [[nodiscard]] std::string address() const
    {
        return m_server.address();
    }

    void stop()
    {
        m_server.stop();
    }

private:
    void serve(tcp::socket& socket)
    {
        beast::flat_buffer buffer;
        while (true)
        {
            beast::error_code error;
            http::request<http::string_body> request;
            http::read(socket, buffer, request, error);
            if (error)
                return;
            const json asked = json::parse(request.body());
            m_out.line("promote asked: " + request.body() + " by " +
                       std::string(request["Magnoliastack-Duty-Holder"]) + " " +
                       std::string(request["Magnoliastack-Fence-Token"]));
            std::thread(
                [this, id = asked.at("id").get<std::string>()]
                {
                    sleep_ms(300);
                    m_data.promote(id);
                })
                .detach();
            http::response<http::string_body> response;
            response.result(200);
            response.prepare_payload();
            http::write(socket, response, error);
            if (error)
                return;
        }
    }

    database& m_data;
    record& m_out;
    server m_server;
};

// Processes of magnolia-entry, each at a loopback address of its own, with
// settings as deploy/entry.ini has them.
class hosts
{
public:
    hosts(int count, const std::string& store_address,
          const std::string& duty_address, int stop_s)
        : m_folder(make_folder()), m_count(count)
    {
        m_callers = free_port();
        m_probe = free_port();
        m_peers = free_port();
        m_metrics = free_port();
        for (int host = 0; host < count; ++host)
        {
            std::ofstream out(m_folder + "/h" + std::to_string(host) + ".ini");
            const std::string ip = address(host);
            out << "[host]\nid = front-" << host << "\nfailure_domain = z"
                << host % 3
                << "\nregion = is-south\n\n[failure_domains]\nz0 = is-south\n"
                   "z1 = is-south\nz2 = is-south\n\n[listen]\ncallers = "
                << ip << ":" << m_callers << "\nprobe = " << ip << ":"
                << m_probe << "\npeers = " << ip << ":" << m_peers
                << "\nmetrics = " << ip << ":" << m_metrics
                << "\n\n[platform]\nstore = " << store_address
                << "\nduties = " << duty_address
                << "\n\n[limits]\nstop = " << stop_s
                << "s\nconfiguration = 3000ms\n";
            out.close();
            m_processes.push_back(start(host));
        }
    }

    ~hosts()
    {
        for (const pid_t process : m_processes)
            if (process > 0)
            {
                ::kill(process, SIGKILL);
                ::waitpid(process, nullptr, 0);
            }
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(m_folder, ignored);
    }

    hosts(const hosts&) = delete;
    hosts& operator=(const hosts&) = delete;

    [[nodiscard]] static std::string address(int host)
    {
        return "127.0.1." + std::to_string(host + 1);
    }

    [[nodiscard]] tcp::endpoint callers(int host) const
    {
        return {asio::ip::make_address(address(host)), m_callers};
    }

    [[nodiscard]] const std::string& folder() const
    {
        return m_folder;
    }

    void signal(int host, int number)
    {
        ::kill(m_processes.at(host), number);
    }

    // True when the process has ended; its status is collected.
    bool has_ended(int host)
    {
        if (m_processes.at(host) < 0)
            return true;
        if (::waitpid(m_processes.at(host), nullptr, WNOHANG) == 0)
            return false;
        m_processes.at(host) = -1;
        return true;
    }

    [[nodiscard]] bool is_ready(int host) const
    {
        tcp::iostream stream(address(host), std::to_string(m_probe));
        stream << "GET /magnoliastack/ready HTTP/1.1\r\nHost: h\r\n"
                  "Connection: close\r\n\r\n"
               << std::flush;
        std::string line;
        std::getline(stream, line);
        return line.find(" 200 ") != std::string::npos;
    }

    bool wait_ready(int limit_s) const
    {
        const auto end = clock::now() + std::chrono::seconds(limit_s);
        for (int host = 0; host < m_count; ++host)
            while (!is_ready(host))
            {
                if (clock::now() > end)
                    return false;
                sleep_ms(50);
            }
        return true;
    }

private:
    // As the deploy file has it.
    static constexpr const char* program = "target/bin/magnolia-entry";

    static std::string make_folder()
    {
        std::string name =
            (std::filesystem::temp_directory_path() / "reviewXXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr)
            std::exit(2);
        return name;
    }

    pid_t start(int host) const
    {
        const std::string name = m_folder + "/h" + std::to_string(host);
        const std::string log_name = name + ".log";
        const std::string setting = "MAGNOLIASTACK_SETTINGS=" + name + ".ini";
        char* const environment[] = {const_cast<char*>(setting.c_str()),
                                     nullptr};
        char* const words[] = {const_cast<char*>(program), nullptr};
        const pid_t process = ::fork();
        if (process != 0)
            return process;
        // Other threads may hold locks, so the child only calls the kernel.
        const int log =
            ::open(log_name.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        for (int other = 3; other < 1024; ++other)
            ::close(other);
        ::execve(program, words, environment);
        ::_exit(127);
    }

    std::string m_folder;
    int m_count;
    unsigned short m_callers = 0;
    unsigned short m_probe = 0;
    unsigned short m_peers = 0;
    unsigned short m_metrics = 0;
    std::vector<pid_t> m_processes;
};

// One session of a caller.
class caller
{
public:
    caller(tcp::endpoint where, const std::string& name, record& out)
        : m_socket(m_loop), m_lines(m_socket), m_name(name), m_out(out)
    {
        beast::error_code error;
        m_socket.connect(where, error);
        m_open = !error;
        if (m_open)
            m_socket.set_option(tcp::no_delay(true), error);
    }

    struct answer
    {
        // The connection ended before the answer was complete.
        bool m_ended = false;
        std::string m_error;
        char m_state = 'I';
        std::vector<std::string> m_rows;
        clock::time_point m_sent;
        clock::time_point m_at;
    };

    bool start(const std::string& database, const std::string& key)
    {
        return m_open &&
               send_text(m_socket, "START " + database + " " + key + "\r\n") &&
               !receive(answer()).m_ended;
    }

    answer query(const std::string& id, const std::string& text)
    {
        answer result;
        result.m_sent = clock::now();
        m_out.line(m_name + " sends " + id + ": " + text);
        if (!send_text(m_socket, "QUERY " + id + " " + text + "\r\n"))
        {
            result.m_ended = true;
            result.m_at = clock::now();
            m_out.line(m_name + " can't send " + id);
            return result;
        }
        result = receive(result);
        m_out.line(m_name + " gets for " + id + ": " +
                   (result.m_ended           ? "the end of the connection"
                    : result.m_error.empty() ? "done"
                                             : "ERR " + result.m_error));
        return result;
    }

    // Ends the caller's wait from another thread.
    void abandon()
    {
        ::shutdown(m_socket.native_handle(), SHUT_RDWR);
    }

private:
    answer receive(answer result)
    {
        while (auto line = m_lines.next())
        {
            const std::string word = take_word(*line);
            if (word == "ROW")
                result.m_rows.push_back(*line);
            else if (word == "ERR")
                result.m_error = *line;
            else if (word == "READY")
            {
                result.m_state = line->empty() ? 'I' : line->front();
                result.m_at = clock::now();
                return result;
            }
        }
        result.m_ended = true;
        result.m_at = clock::now();
        return result;
    }

    asio::io_context m_loop;
    tcp::socket m_socket;
    line_reader m_lines;
    std::string m_name;
    record& m_out;
    bool m_open = false;
};

} // namespace review
