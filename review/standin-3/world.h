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
#include <cmath>
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

// Accepts connections and serves each in a thread of its own. While it is
// closed it refuses them.
class server
{
public:
    using handler = std::function<void(std::shared_ptr<tcp::socket>)>;

    explicit server(handler serve) : m_serve(std::move(serve))
    {
        m_acceptor = std::make_unique<tcp::acceptor>(
            m_loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        m_where = m_acceptor->local_endpoint();
        m_thread = std::thread(
            [this]
            {
                run();
            });
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_where.port());
    }

    void close()
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        ::shutdown(m_acceptor->native_handle(), SHUT_RDWR);
    }

    void open()
    {
        m_closed = false;
    }

private:
    void run()
    {
        while (true)
        {
            auto socket = std::make_shared<tcp::socket>(m_loop);
            beast::error_code error;
            m_acceptor->accept(*socket, error);
            if (m_closed)
                reopen();
            if (error)
                continue;
            socket->set_option(tcp::no_delay(true), error);
            std::thread(m_serve, socket).detach();
        }
    }

    // Waits for open() and listens at the same address again.
    void reopen()
    {
        m_acceptor->close();
        while (m_closed)
            sleep_ms(5);
        while (true)
        {
            const std::lock_guard lock(m_mutex);
            try
            {
                m_acceptor = std::make_unique<tcp::acceptor>(m_loop, m_where);
                return;
            }
            catch (const boost::system::system_error&)
            {
                sleep_ms(5);
            }
        }
    }

    handler m_serve;
    asio::io_context m_loop;
    std::unique_ptr<tcp::acceptor> m_acceptor;
    tcp::endpoint m_where;
    std::mutex m_mutex;
    std::atomic<bool> m_closed = false;
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

// Work that a backend does at the same time; the rest waits in its order, or is
// refused when too much waits.
class slots
{
public:
    slots(int count, int queue) : m_free(count), m_queue(queue)
    {
    }

    bool take()
    {
        std::unique_lock lock(m_mutex);
        if (m_free == 0 && m_last - m_first >= m_queue)
            return false;
        const int number = m_last++;
        m_changed.wait(lock,
                       [this, number]
                       {
                           return m_free > 0 && m_first == number;
                       });
        ++m_first;
        --m_free;
        m_changed.notify_all();
        return true;
    }

    void give_back()
    {
        const std::lock_guard lock(m_mutex);
        ++m_free;
        m_changed.notify_all();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_free;
    int m_queue;
    // Numbers of the first that waits and of the next to come.
    int m_first = 0;
    int m_last = 0;
};

// One service: a primary and replicas that follow 20 ms behind. A promoted
// backend leads the next term with what it had received; the old primary goes
// on until STEPDOWN, or until a second later.
class database
{
public:
    struct backend
    {
        backend(std::string id, int slot_count)
            : m_id(std::move(id)), m_slots(slot_count, 24)
        {
        }

        std::string m_id;
        slots m_slots;
        std::atomic<int> m_slowness = 1;
        // Guarded by the database's mutex.
        bool m_leads = false;
        bool m_down = false;
        std::uint64_t m_term = 1;
        std::uint64_t m_number = 1;
        std::int64_t m_born = 1774500000000;
        std::vector<std::shared_ptr<tcp::socket>> m_sockets;
        std::unique_ptr<server> m_server;
    };

    // A write that took effect.
    struct committed
    {
        std::string m_id;
        std::string m_backend;
        clock::time_point m_at;
        // Another backend led a newer term already.
        bool m_outdated = false;
    };

    struct options
    {
        std::string m_service;
        int m_copies = 3;
        int m_slots = 5;
        double m_work_ms = 33;
        double m_longest_work_ms = 82;
        std::size_t m_max_conns = 21;
    };

    database(options chosen, store& rows, record& out)
        : m_options(std::move(chosen)), m_rows(rows), m_out(out)
    {
        m_history.emplace_back(clock::now(), 1);
        for (int copy = 0; copy < m_options.m_copies; ++copy)
        {
            auto& added = m_backends.emplace_back(std::make_unique<backend>(
                "i-" + std::to_string(7000 + copy), m_options.m_slots));
            added->m_server = std::make_unique<server>(
                [this, at = added.get()](std::shared_ptr<tcp::socket> socket)
                {
                    if (!admit(*at, socket))
                        return;
                    serve(*at, *socket);
                    forget(*at, socket);
                });
        }
        m_backends.front()->m_leads = true;
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
        return json{
            {"service", service.empty() ? m_options.m_service : service},
            {"addr", item.m_server->address()},
            {"zone", "z0"},
            {"slots", m_options.m_slots},
            {"seq", ++m_seq},
            {"state", "ready"},
            {"born", item.m_born},
            {"version", "v1"},
            {"cold_left_ms", 0},
            {"db_role", item.m_leads ? "primary" : "replica"}}
            .dump();
    }

    void heartbeat(const backend& item)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (item.m_down)
                return;
        }
        m_rows.put("servers", item.m_id, entry(item));
    }

    void heartbeats()
    {
        for (const auto& item : m_backends)
            heartbeat(*item);
    }

    void promote(const std::string& id)
    {
        {
            const std::lock_guard lock(m_mutex);
            backend* chosen = nullptr;
            for (const auto& item : m_backends)
                if (item->m_id == id)
                    chosen = item.get();
            if (chosen == nullptr || is_platform_primary(id))
                return;
            chosen->m_number = received(*chosen);
            chosen->m_leads = true;
            chosen->m_term = ++m_term;
            m_leader = id;
            m_history = {{clock::now(), chosen->m_number}};
        }
        m_out.line("promotion of " + id + " has taken effect");
        heartbeats();
        std::thread(
            [this]
            {
                sleep_ms(1000);
                step_down_older();
            })
            .detach();
    }

    // Its process ends: connections close, and new ones are refused until it
    // starts.
    void crash(backend& item)
    {
        const std::lock_guard lock(m_mutex);
        item.m_down = true;
        item.m_server->close();
        for (const auto& socket : item.m_sockets)
            ::shutdown(socket->native_handle(), SHUT_RDWR);
        m_out.line(item.m_id + " crashes");
    }

    void start(backend& item)
    {
        {
            const std::lock_guard lock(m_mutex);
            item.m_down = false;
            item.m_born += 60'000;
            item.m_server->open();
            m_out.line(item.m_id + " is back");
        }
        heartbeat(item);
    }

    // A transaction of a connection; number 0 is none.
    struct transaction
    {
        std::uint64_t m_number = 0;
        clock::time_point m_begun;
    };

    // Tells of each caller's statement, and of the transaction that it ran in.
    void
    on_run(std::function<void(const std::string& id, const transaction&)> told)
    {
        m_on_run = std::move(told);
    }

    std::vector<committed> commits()
    {
        const std::lock_guard lock(m_mutex);
        return m_commits;
    }

private:
    bool admit(backend& item, const std::shared_ptr<tcp::socket>& socket)
    {
        const std::lock_guard lock(m_mutex);
        if (!item.m_down)
            item.m_sockets.push_back(socket);
        return !item.m_down;
    }

    bool has_too_many(const backend& item)
    {
        const std::lock_guard lock(m_mutex);
        return item.m_sockets.size() > m_options.m_max_conns;
    }

    void forget(backend& item, const std::shared_ptr<tcp::socket>& socket)
    {
        const std::lock_guard lock(m_mutex);
        std::erase(item.m_sockets, socket);
    }

    // The first backend leads until the first promotion.
    [[nodiscard]] bool is_platform_primary(const std::string& id) const
    {
        return id == (m_leader.empty() ? m_backends.front()->m_id : m_leader);
    }

    void step_down_older()
    {
        {
            const std::lock_guard lock(m_mutex);
            for (const auto& item : m_backends)
                if (item->m_term < m_term)
                {
                    item->m_leads = false;
                    item->m_term = m_term;
                }
        }
        heartbeats();
    }

    // What a replica has of the newest leader's log.
    std::uint64_t received(const backend& item)
    {
        if (item.m_leads)
            return item.m_number;
        const auto until = clock::now() - milliseconds(20);
        std::uint64_t result = m_history.front().second;
        for (const auto& [when, number] : m_history)
            if (when <= until)
                result = number;
        while (m_history.size() > 2 && m_history[1].first <= until)
            m_history.pop_front();
        return result;
    }

    std::string point(backend& item)
    {
        const std::lock_guard lock(m_mutex);
        const auto term = item.m_leads ? item.m_term : m_term;
        return std::to_string(term) + "." + std::to_string(received(item));
    }

    bool lacks(backend& item, const std::string& asked)
    {
        const auto dot = asked.find('.');
        const auto term = std::stoull(asked.substr(0, dot));
        const auto number = std::stoull(asked.substr(dot + 1));
        const std::lock_guard lock(m_mutex);
        const auto own = item.m_leads ? item.m_term : m_term;
        return own < term || (own == term && received(item) < number);
    }

    bool leads(const backend& item)
    {
        const std::lock_guard lock(m_mutex);
        return item.m_leads;
    }

    // False when the backend has lost the lead.
    bool commit(backend& item, const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        if (!item.m_leads)
            return false;
        ++item.m_number;
        const bool outdated = item.m_term < m_term;
        if (!outdated)
            m_history.emplace_back(clock::now(), item.m_number);
        m_commits.push_back({id, item.m_id, clock::now(), outdated});
        m_out.line(item.m_id + " commits " + id +
                   (outdated ? " though a newer term is led elsewhere" : ""));
        return true;
    }

    void work(const backend& item)
    {
        thread_local std::mt19937 random{std::random_device{}()};
        std::lognormal_distribution<double> drawn(
            std::log(m_options.m_work_ms) - 0.2, 0.63);
        sleep_ms(static_cast<long>(
            std::min(drawn(random), m_options.m_longest_work_ms) *
            item.m_slowness));
    }

    void serve(backend& item, tcp::socket& socket)
    {
        line_reader lines(socket);
        auto start = lines.next();
        if (!start || take_word(*start) != "START")
            return;
        const std::string service = take_word(*start);
        const std::string who = take_word(*start);
        if (service != m_options.m_service ||
            (!start->empty() && *start != item.m_id))
        {
            send_text(socket, "ERR MOVED another\r\n");
            return;
        }
        if (has_too_many(item))
        {
            send_text(socket, "ERR MAXCONN -\r\n");
            return;
        }
        if (!item.m_slots.take())
        {
            send_text(socket, "ERR BUSY -\r\n");
            return;
        }
        sleep_ms(12);
        item.m_slots.give_back();
        char state = 'I';
        bool wrote = false;
        transaction opened;
        send_text(socket, "READY I " + point(item) + "\r\n");
        while (auto line = lines.next())
        {
            if (take_word(*line) != "QUERY")
                return;
            const std::string id = take_word(*line);
            const std::string reply =
                run(item, who, id, *line, state, wrote, opened);
            if (!send_text(socket, reply + "READY " + state + " " +
                                       point(item) + "\r\n"))
                return;
        }
    }

    std::string run(backend& item, const std::string& who,
                    const std::string& id, std::string text, char& state,
                    bool& wrote, transaction& opened)
    {
        const std::string whole = text;
        std::string verb = take_word(text);
        if (verb == "AFTER")
        {
            if (lacks(item, take_word(text)))
                return "ERR LAGGING -\r\n";
            verb = take_word(text);
        }
        if (verb == "STATUS")
            return status(item);
        if (verb == "STEPDOWN")
        {
            step_down_older();
            return "DONE -\r\n";
        }
        if (verb == "ROLLBACK")
        {
            state = 'I';
            return "DONE -\r\n";
        }
        const bool begins = verb == "BEGIN";
        if (((begins && text != "READ") || verb == "WRITE") && !leads(item))
            return read_only(state);
        // As magnolia-entry itself answers its callers.
        if (begins && state != 'I')
        {
            m_out.line(item.m_id + " refuses a BEGIN inside transaction " +
                       std::to_string(opened.m_number));
            return "ERR MALFORMED a transaction is open\r\n";
        }
        if (begins)
        {
            opened = {++m_last_transaction, clock::now()};
            m_out.line(item.m_id + " begins transaction " +
                       std::to_string(opened.m_number) + " for " + who);
            state = 'T';
            wrote = false;
            return "DONE -\r\n";
        }
        if (verb != "READ" && verb != "WRITE" && verb != "COMMIT")
            return "DONE -\r\n";
        if (!item.m_slots.take())
            return "ERR BUSY -\r\n";
        work(item);
        item.m_slots.give_back();
        const transaction inside = state == 'T' ? opened : transaction();
        const bool writes = verb == "WRITE" && state == 'I';
        if ((writes || (verb == "COMMIT" && wrote)) && !commit(item, id))
            return read_only(state);
        wrote = wrote || verb == "WRITE";
        if (verb == "COMMIT")
            state = 'I';
        if (id != "-")
        {
            m_out.line(item.m_id + " has run " + id + " for " + who + ": " +
                       whole);
            if (m_on_run)
                m_on_run(id, inside);
        }
        return (verb == "READ" ? "ROW pearl\r\n" : "") +
               std::string("DONE s.") + item.m_id + "." + id + "\r\n";
    }

    static std::string read_only(char& state)
    {
        if (state == 'T')
            state = 'E';
        return "ERR READONLY -\r\n";
    }

    std::string status(backend& item)
    {
        if (!item.m_slots.take())
            return "ERR BUSY -\r\n";
        item.m_slots.give_back();
        const std::string end = point(item);
        const std::lock_guard lock(m_mutex);
        const auto term = std::to_string(item.m_leads ? item.m_term : m_term);
        return std::string("ROW ") + (item.m_leads ? "primary " : "replica ") +
               term + " " + end + " " + term + " 0 0 10\r\nDONE -\r\n";
    }

    options m_options;
    store& m_rows;
    record& m_out;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<backend>> m_backends;
    std::string m_leader;
    std::uint64_t m_term = 1;
    std::uint64_t m_seq = 0;
    std::atomic<std::uint64_t> m_last_transaction = 0;
    std::function<void(const std::string&, const transaction&)> m_on_run;
    std::deque<std::pair<clock::time_point, std::uint64_t>> m_history;
    std::vector<committed> m_commits;
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
