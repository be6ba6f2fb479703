// A small deployment on loopback: the platform's store and promotion call, one
// database service of three backends, clients, and magnolia-entry as separate
// processes. It brings one disruption about and judges one rule from what
// clients, backends and the platform see.
//
// Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <spawn.h>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace stage
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using json = nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using ec = boost::system::error_code;

// Figures of the deployment, from the sheet and site file of mia-inlay.
constexpr int host_count = 8;
constexpr int slots = 3;
constexpr std::size_t queue_limit = 24;
constexpr std::size_t max_conns = 21;
constexpr milliseconds handshake{12};
constexpr milliseconds heartbeat{1200};
constexpr milliseconds lapse{3 * 1200};
constexpr milliseconds store_answer{4};
constexpr milliseconds promote_time{1000};
constexpr milliseconds replica_lag{20};
constexpr milliseconds link_time{1};
constexpr int sessions_per_service = 96;
// Operations a second of one of the three services: (54 + 54 + 252) / 3.
constexpr double operations_per_s = 120;

clock::time_point started;
std::ofstream record_file;
std::mt19937 random_source{1};

double since_start()
{
    return std::chrono::duration<double>(clock::now() - started).count();
}

void record(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", since_start());
    record_file << time << line << "\n";
}

double uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(random_source);
}

// Times the usual traffic.
double burst = 1;

// The sheet's traffic rises and falls by 0.15 within 11 s; a crest lies at 18
// s.
double wave()
{
    constexpr double pi = 3.14159265358979;
    return burst * (1 + 0.15 * std::cos(2 * pi * (since_start() - 18) / 11));
}

milliseconds work_of(double mean, double most)
{
    // Log-normal with the spread of the site file.
    std::lognormal_distribution<double> draw(std::log(mean) - 0.245, 0.7);
    return milliseconds(static_cast<int>(std::min(draw(random_source), most)));
}

void after(asio::io_context& loop, milliseconds time,
           std::function<void()> what)
{
    auto timer = std::make_shared<asio::steady_timer>(loop, time);
    timer->async_wait(
        [timer, what = std::move(what)](ec error)
        {
            if (!error)
                what();
        });
}

std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

std::string base64(const std::string& text)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3)
    {
        std::uint32_t bits = 0;
        const auto left = std::min<std::size_t>(3, text.size() - at);
        for (std::size_t i = 0; i < 3; ++i)
            bits = bits << 8 |
                   (i < left ? static_cast<unsigned char>(text[at + i]) : 0U);
        for (std::size_t i = 0; i < 4; ++i)
            out += i <= left ? digits[bits >> (18 - 6 * i) & 63] : '=';
    }
    return out;
}

std::vector<std::string> words_of(const std::string& text)
{
    std::vector<std::string> result;
    std::size_t from = 0;
    while (from <= text.size())
    {
        const auto to = std::min(text.find(' ', from), text.size());
        result.push_back(text.substr(from, to - from));
        from = to + 1;
    }
    return result;
}

// One commit of the service's log.
struct commit
{
    std::uint64_t m_number = 0;
    std::vector<std::string> m_writes;
    std::optional<clock::time_point> m_acknowledged;
};
using commit_ptr = std::shared_ptr<commit>;

struct service;

// One database server.
struct backend
{
    struct connection;

    backend(service& owner, std::string id, std::string zone);
    void start();
    void crash();
    void accept();
    // Runs `work` in a slot; false as BUSY when the queue is full.
    void in_slot(milliseconds time, bool may_wait,
                 std::function<void(bool)> done);
    void slot_free();
    void receive(std::uint64_t index);
    void catch_up();

    service& m_owner;
    std::string m_id;
    std::string m_zone;
    unsigned short m_port = 0;
    std::optional<tcp::acceptor> m_acceptor;
    bool m_primary = false;
    bool m_draining = false;
    // Receives nothing from the primary.
    bool m_deaf = false;
    std::uint64_t m_term = 1;
    std::vector<commit_ptr> m_log;
    std::uint64_t m_applied = 0;
    std::uint64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    clock::time_point m_heard;
    int m_busy = 0;
    std::deque<std::pair<milliseconds, std::function<void(bool)>>> m_queue;
    std::set<std::shared_ptr<connection>> m_connections;
};

// The platform's store: rows in tables, one counter of versions.
struct store
{
    struct connection;
    explicit store(asio::io_context& loop);
    void accept();
    void put(const std::string& table, const std::string& key,
             const std::string& value);
    void remove(const std::string& table, const std::string& key);
    json rows(const std::string& table, std::uint64_t after_version) const;
    json envelope(json found) const;
    bool change(const json& asked, json& answer);
    void notify();

    asio::io_context& m_loop;
    tcp::acceptor m_acceptor;
    std::uint64_t m_version = 1;
    std::map<std::string, std::map<std::string, json>> m_rows;
    std::vector<std::weak_ptr<connection>> m_watchers;
    std::function<int(const std::string& service, const std::string& id,
                      const std::string& holder, std::uint64_t token)>
        m_promote;
};

// The replicated service: one primary and its replicas.
struct service
{
    service(asio::io_context& loop, store& rows, std::string name,
            const std::string& id_prefix);
    void beat();
    void publish(backend& who);
    backend& primary();
    void committed(backend& on, const commit_ptr& what,
                   std::function<void()> acknowledge);
    int promote(const std::string& id, const std::string& holder,
                std::uint64_t token);
    void lead(backend& chosen);
    void judge(const backend& chosen);
    // STALE: a read of a session lacks that session's own commit.
    void read_ran(const backend& on, const std::string& id);

    asio::io_context& m_loop;
    store& m_store;
    std::string m_name;
    int m_sync_replicas = 0;
    // How late replicas apply what they have received.
    milliseconds m_lag = replica_lag;
    std::vector<std::unique_ptr<backend>> m_backends;
    std::uint64_t m_term = 1;
    int m_promotions = 0;
    std::vector<std::string> m_broken;
    // Acknowledgements that wait until one replica has the commit.
    std::map<std::uint64_t, std::function<void()>> m_unacknowledged;
    std::map<std::string, commit_ptr> m_commit_of;
    // The newest acknowledged commit of each session, by the part of an id
    // before its first x.
    std::map<std::string, commit_ptr> m_own;
};

struct backend::connection : std::enable_shared_from_this<connection>
{
    connection(backend& owner, tcp::socket socket)
        : m_owner(owner), m_socket(std::move(socket))
    {
    }

    void read()
    {
        asio::async_read_until(
            m_socket, m_input, "\r\n",
            [self = shared_from_this()](ec error, std::size_t size)
            {
                if (error)
                {
                    self->close();
                    return;
                }
                std::string line(
                    static_cast<const char*>(self->m_input.data().data()),
                    size - 2);
                self->m_input.consume(size);
                self->serve(line);
            });
    }

    void serve(const std::string& line)
    {
        if (line.rfind("START ", 0) == 0)
        {
            const auto parts = words_of(line);
            const bool wrong = parts.size() < 3 ||
                               parts[1] != m_owner.m_owner.m_name ||
                               (parts.size() > 3 && parts[3] != m_owner.m_id);
            if (wrong || m_owner.m_connections.size() > max_conns)
            {
                m_last = true;
                answer(wrong ? "ERR MOVED -\r\n" : "ERR MAXCONN -\r\n");
                return;
            }
            m_owner.in_slot(handshake, true,
                            [self = shared_from_this()](bool ran)
                            {
                                self->m_last = !ran;
                                self->answer(ran ? self->ready()
                                                 : "ERR BUSY -\r\n");
                            });
            return;
        }
        if (line.rfind("QUERY ", 0) != 0)
        {
            close();
            return;
        }
        const auto blank = line.find(' ', 6);
        m_id = line.substr(6, blank - 6);
        std::string text = line.substr(blank + 1);
        if (text.rfind("AFTER ", 0) == 0)
        {
            const auto end = text.find(' ', 6);
            const std::string point = text.substr(6, end - 6);
            const auto dot = point.find('.');
            if (std::stoull(point.substr(0, dot)) > m_owner.m_term ||
                std::stoull(point.substr(dot + 1)) > m_owner.m_applied)
            {
                fail("LAGGING");
                return;
            }
            text.erase(0, end + 1);
        }
        run(text);
    }

    void run(const std::string& text)
    {
        const auto words = words_of(text);
        const std::string& verb = words[0];
        if (verb == "STATUS" || verb == "STEPDOWN")
        {
            if (verb == "STEPDOWN" && std::stoull(words.at(1)) > m_owner.m_term)
                m_owner.m_primary = false;
            // It takes a slot; without a free one it is answered BUSY.
            m_owner.in_slot(
                milliseconds(1), false,
                [self = shared_from_this(), verb](bool ran)
                {
                    record("status " + self->m_owner.m_id +
                           (ran ? " answered, received " +
                                      std::to_string(self->m_owner.m_log.size())
                                : " answered BUSY, no slot free"));
                    if (ran)
                        self->answer(self->status());
                    else
                        self->fail("BUSY");
                });
        }
        else if (verb == "BEGIN")
        {
            m_read_only = words.size() > 1;
            if (!m_read_only && !m_owner.m_primary)
            {
                fail("READONLY");
                return;
            }
            m_state = 'T';
            m_writes.clear();
            done("-");
        }
        else if (verb == "ROLLBACK")
        {
            m_state = 'I';
            m_writes.clear();
            done("-");
        }
        else if (verb == "READ" || verb == "WRITE" || verb == "COMMIT")
            m_owner.in_slot(work(verb), true,
                            [self = shared_from_this(), verb](bool ran)
                            {
                                if (ran)
                                    self->ran(verb);
                                else
                                    self->fail("BUSY");
                            });
        else
            done("-");
    }

    // The first letter of an id tells the kind of request.
    [[nodiscard]] milliseconds work(const std::string& verb) const
    {
        if (verb == "COMMIT")
            return milliseconds(2);
        if (m_id[0] == 'o')
            return work_of(8, 60);
        return m_id[0] == 's' ? work_of(40, 300) : work_of(24, 60);
    }

    void ran(const std::string& verb)
    {
        if (!m_socket.is_open())
            return;
        if (verb == "READ")
        {
            m_owner.m_owner.read_ran(m_owner, m_id);
            answer("ROW r-" + m_id + "\r\nDONE s-" + m_id + "\r\n" + ready());
            return;
        }
        const bool lost_lead = !m_owner.m_primary || m_read_only;
        if (verb == "WRITE" && lost_lead)
        {
            if (m_state == 'T')
                m_state = 'E';
            fail("READONLY");
            return;
        }
        if (verb == "WRITE")
            m_writes.push_back(m_id);
        if (verb == "WRITE" && m_state == 'T')
        {
            done("s-" + m_id);
            return;
        }
        m_state = 'I';
        if (m_writes.empty())
        {
            done("s-" + m_id);
            return;
        }
        if (lost_lead)
        {
            m_writes.clear();
            fail("READONLY");
            return;
        }
        m_writes.push_back(m_id);
        auto what = std::make_shared<commit>();
        what->m_number = m_owner.m_log.size() + 1;
        what->m_writes = std::exchange(m_writes, {});
        m_owner.m_log.push_back(what);
        m_owner.m_applied = m_owner.m_log.size();
        record("commit " + std::to_string(what->m_number) + " of " + m_id +
               " at " + m_owner.m_id);
        m_owner.m_owner.committed(m_owner, what,
                                  [self = shared_from_this(), id = m_id]
                                  {
                                      self->done("s-" + id);
                                  });
    }

    [[nodiscard]] std::string status() const
    {
        return std::string("ROW ") +
               (m_owner.m_primary ? "primary " : "replica ") +
               std::to_string(m_owner.m_term) + " " +
               std::to_string(m_owner.m_term) + "." +
               std::to_string(m_owner.m_log.size()) + " 0 0 " +
               std::to_string(m_owner.m_busy) + " " +
               std::to_string(m_owner.m_connections.size()) + "\r\nDONE -\r\n" +
               ready();
    }
    [[nodiscard]] std::string ready() const
    {
        return std::string("READY ") + m_state + " " +
               std::to_string(m_owner.m_term) + "." +
               std::to_string(m_owner.m_applied) + "\r\n";
    }
    void done(const std::string& signature)
    {
        answer("DONE " + signature + "\r\n" + ready());
    }
    void fail(const std::string& code)
    {
        answer("ERR " + code + " -\r\n" + ready());
    }
    void answer(std::string text)
    {
        if (!m_socket.is_open())
            return;
        m_output = std::move(text);
        asio::async_write(m_socket, asio::buffer(m_output),
                          [self = shared_from_this()](ec error, std::size_t)
                          {
                              if (error || self->m_last)
                                  self->close();
                              else
                                  self->read();
                          });
    }
    void close()
    {
        ec ignored;
        m_socket.close(ignored);
        m_owner.m_connections.erase(shared_from_this());
    }

    backend& m_owner;
    tcp::socket m_socket;
    asio::streambuf m_input;
    std::string m_output;
    std::string m_id;
    std::vector<std::string> m_writes;
    char m_state = 'I';
    bool m_read_only = false;
    bool m_last = false;
};

backend::backend(service& owner, std::string id, std::string zone)
    : m_owner(owner), m_id(std::move(id)), m_zone(std::move(zone))
{
    start();
}

void backend::start()
{
    m_acceptor.emplace(m_owner.m_loop,
                       tcp::endpoint(asio::ip::address_v4::loopback(), m_port));
    m_port = m_acceptor->local_endpoint().port();
    m_born = unix_ms();
    // A primary that crashed comes back as a replica when another was promoted.
    if (m_owner.m_term > m_term)
        m_primary = false;
    accept();
}

void backend::crash()
{
    record("crash of " + m_id);
    m_acceptor.reset();
    for (const auto& item : std::set(m_connections))
        item->close();
    m_queue.clear();
    m_busy = 0;
}

void backend::accept()
{
    m_acceptor->async_accept(
        [this](ec error, tcp::socket socket)
        {
            if (error)
                return;
            auto added = std::make_shared<connection>(*this, std::move(socket));
            m_connections.insert(added);
            added->read();
            if (m_acceptor)
                accept();
        });
}

void backend::in_slot(milliseconds time, bool may_wait,
                      std::function<void(bool)> done)
{
    if (m_busy >= slots)
    {
        if (may_wait && m_queue.size() < queue_limit)
            m_queue.emplace_back(time, std::move(done));
        else
            done(false);
        return;
    }
    ++m_busy;
    after(m_owner.m_loop, time,
          [this, born = m_born, done = std::move(done)]
          {
              if (!m_acceptor || born != m_born)
                  return;
              done(true);
              slot_free();
          });
}

void backend::slot_free()
{
    --m_busy;
    if (m_queue.empty())
        return;
    auto next = std::move(m_queue.front());
    m_queue.pop_front();
    in_slot(next.first, true, std::move(next.second));
}

void backend::receive(std::uint64_t index)
{
    if (m_deaf || !m_acceptor || m_primary)
        return;
    const backend& from = m_owner.primary();
    while (m_log.size() <= index && m_log.size() < from.m_log.size())
        m_log.push_back(from.m_log[m_log.size()]);
    after(m_owner.m_loop, m_owner.m_lag,
          [this, size = m_log.size()]
          {
              m_applied = std::max<std::uint64_t>(
                  m_applied, std::min<std::uint64_t>(size, m_log.size()));
          });
    auto& waiting = m_owner.m_unacknowledged;
    while (!waiting.empty() && waiting.begin()->first <= m_log.size())
    {
        const auto acknowledge = waiting.begin()->second;
        waiting.erase(waiting.begin());
        acknowledge();
    }
}

void backend::catch_up()
{
    const backend& from = m_owner.primary();
    if (&from != this && from.m_acceptor && !from.m_log.empty())
        receive(from.m_log.size() - 1);
}

service::service(asio::io_context& loop, store& rows, std::string name,
                 const std::string& id_prefix)
    : m_loop(loop), m_store(rows), m_name(std::move(name))
{
    const char* const zones[] = {"sohar", "barka", "seeb"};
    for (int index = 0; index < 3; ++index)
        m_backends.push_back(std::make_unique<backend>(
            *this, id_prefix + std::to_string(index + 1), zones[index]));
    m_backends[0]->m_primary = true;
    beat();
}

backend& service::primary()
{
    for (const auto& item : m_backends)
        if (item->m_primary && item->m_term == m_term)
            return *item;
    return *m_backends[0];
}

void service::publish(backend& who)
{
    const json entry = {{"service", m_name},
                        {"addr", "127.0.0.1:" + std::to_string(who.m_port)},
                        {"zone", who.m_zone},
                        {"version", "v1"},
                        {"slots", slots},
                        {"state", who.m_draining ? "draining" : "ready"},
                        {"cold_left_ms", 0},
                        {"db_role", who.m_primary ? "primary" : "replica"},
                        {"seq", ++who.m_sequence},
                        {"born", who.m_born}};
    who.m_heard = clock::now();
    m_store.put("servers", who.m_id, entry.dump());
}

void service::beat()
{
    for (const auto& item : m_backends)
        if (item->m_acceptor)
            publish(*item);
        else if (clock::now() - item->m_heard >= lapse)
            m_store.remove("servers", item->m_id);
    after(m_loop, heartbeat,
          [this]
          {
              beat();
          });
}

void service::committed(backend& on, const commit_ptr& what,
                        std::function<void()> acknowledge)
{
    for (const auto& id : what->m_writes)
        m_commit_of[id] = what;
    if (m_sync_replicas == 0)
        acknowledge();
    else
        m_unacknowledged[what->m_number] = std::move(acknowledge);
    for (const auto& item : m_backends)
        if (item.get() != &on)
            after(m_loop, link_time,
                  [item = item.get(), index = what->m_number - 1, &on]
                  {
                      if (on.m_acceptor)
                          item->receive(index);
                  });
}

int service::promote(const std::string& id, const std::string& holder,
                     std::uint64_t token)
{
    record("promote " + id + " by " + holder + " token " +
           std::to_string(token));
    for (const auto& item : m_backends)
    {
        if (item->m_id != id || !item->m_acceptor)
            continue;
        if (&primary() != item.get())
            after(m_loop, promote_time,
                  [this, chosen = item.get()]
                  {
                      if (chosen->m_acceptor && &primary() != chosen)
                          lead(*chosen);
                  });
        return 200;
    }
    return 409;
}

void service::lead(backend& chosen)
{
    judge(chosen);
    ++m_promotions;
    ++m_term;
    m_unacknowledged.clear();
    for (const auto& item : m_backends)
    {
        if (item.get() == &chosen || !item->m_acceptor)
            continue;
        item->m_primary = false;
        item->m_term = m_term;
        // What was ahead is rolled back.
        if (item->m_log.size() > chosen.m_log.size())
            item->m_log.resize(chosen.m_log.size());
        item->m_applied =
            std::min<std::uint64_t>(item->m_applied, item->m_log.size());
    }
    chosen.m_primary = true;
    chosen.m_term = m_term;
    chosen.m_applied = chosen.m_log.size();
    record(chosen.m_id + " leads term " + std::to_string(m_term) + " with " +
           std::to_string(chosen.m_log.size()) + " commits");
    for (const auto& item : m_backends)
        if (item->m_acceptor)
            publish(*item);
}

// LOST: an acknowledged commit is not in the log of the promoted backend.
void service::judge(const backend& chosen)
{
    if (m_sync_replicas == 0)
        return;
    for (const auto& item : m_backends)
        for (const auto& made : item->m_log)
        {
            if (!made->m_acknowledged ||
                (made->m_number <= chosen.m_log.size() &&
                 chosen.m_log[made->m_number - 1] == made))
                continue;
            const std::string line =
                "LOST commit " + std::to_string(made->m_number) + " of " +
                made->m_writes.back() + " was acknowledged and is not at " +
                chosen.m_id + ", which is promoted; " + item->m_id + " has it";
            record(line);
            m_broken.push_back(line);
        }
}

void service::read_ran(const backend& on, const std::string& id)
{
    const auto own = m_own.find(id.substr(0, id.find('x')));
    if (own == m_own.end())
        return;
    const auto& item = *own->second;
    const bool there = item.m_number <= on.m_applied;
    record("read " + id + " runs at " + on.m_id + ", which shows " +
           std::to_string(on.m_applied) + " commits");
    if (there)
        return;
    const std::string line =
        "STALE read " + id + " ran at " + on.m_id + ", which shows " +
        std::to_string(on.m_applied) + " commits and lacks commit " +
        std::to_string(item.m_number) + " (" + item.m_writes.back() +
        ") of the same session, acknowledged before";
    record(line);
    m_broken.push_back(line);
}

struct store::connection : std::enable_shared_from_this<connection>
{
    connection(store& owner, tcp::socket socket)
        : m_owner(owner), m_socket(std::move(socket)), m_timer(owner.m_loop)
    {
    }

    void read()
    {
        m_request = {};
        http::async_read(m_socket, m_buffer, m_request,
                         [self = shared_from_this()](ec error, std::size_t)
                         {
                             if (!error)
                                 after(self->m_owner.m_loop, store_answer,
                                       [self]
                                       {
                                           self->serve();
                                       });
                         });
    }

    [[nodiscard]] std::string parameter(const std::string& name) const
    {
        const std::string target(m_request.target());
        auto at = target.find("?" + name + "=");
        if (at == std::string::npos)
            at = target.find("&" + name + "=");
        if (at == std::string::npos)
            return {};
        const auto from = at + name.size() + 2;
        return target.substr(from, target.find('&', from) - from);
    }
    [[nodiscard]] std::uint64_t number(const std::string& name) const
    {
        const std::string text = parameter(name);
        return text.empty() ? 0 : std::stoull(text);
    }

    void serve()
    {
        const std::string target(m_request.target());
        if (target.find("/rows-feed") != std::string::npos)
        {
            if (answer_watch(number("wait_ms") == 0))
                return;
            m_watching = true;
            m_owner.m_watchers.push_back(weak_from_this());
            m_timer.expires_after(milliseconds(number("wait_ms")));
            m_timer.async_wait(
                [self = shared_from_this()](ec error)
                {
                    if (!error && std::exchange(self->m_watching, false))
                        self->answer_watch(true);
                });
        }
        else if (target.find("/rows-get") != std::string::npos)
            answer(
                200,
                m_owner.envelope(m_owner.rows(parameter("table"), 0)).dump());
        else if (target.find("/rows-tx") != std::string::npos)
        {
            json reply;
            const bool applied =
                m_owner.change(json::parse(m_request.body()), reply);
            answer(applied ? 200 : 412, reply.dump());
        }
        else if (target == "/promote")
        {
            const json asked = json::parse(m_request.body());
            const int status = m_owner.m_promote(
                asked.at("service"), asked.at("id"),
                std::string(m_request["Magnoliastack-Duty-Holder"]),
                std::stoull(
                    std::string(m_request["Magnoliastack-Fence-Token"])));
            answer(static_cast<unsigned>(status), "{}");
        }
        else
            answer(404, "{}");
    }

    bool answer_watch(bool at_once)
    {
        json found = m_owner.rows(parameter("table"), number("after"));
        if (found.empty() && !at_once)
            return false;
        m_watching = false;
        m_timer.cancel();
        answer(200, m_owner.envelope(std::move(found)).dump());
        return true;
    }

    void answer(unsigned status, std::string body)
    {
        m_answer = {};
        m_answer.result(status);
        m_answer.set(http::field::content_type, "application/json");
        m_answer.body() = std::move(body);
        m_answer.prepare_payload();
        http::async_write(m_socket, m_answer,
                          [self = shared_from_this()](ec error, std::size_t)
                          {
                              if (!error)
                                  self->read();
                          });
    }

    store& m_owner;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_answer;
    bool m_watching = false;
};

store::store(asio::io_context& loop)
    : m_loop(loop),
      m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    accept();
}

void store::accept()
{
    m_acceptor.async_accept(
        [this](ec error, tcp::socket socket)
        {
            if (error)
                return;
            std::make_shared<connection>(*this, std::move(socket))->read();
            accept();
        });
}

json store::rows(const std::string& table, std::uint64_t after_version) const
{
    std::map<std::uint64_t, json> ordered;
    std::uint64_t extra = 0;
    const auto found = m_rows.find(table);
    json result = json::array();
    if (found == m_rows.end())
        return result;
    for (const auto& [key, row] : found->second)
    {
        if (after_version == 0)
        {
            if (!row.contains("removed"))
                result.push_back(row);
        }
        else if (row.at("ver").get<std::uint64_t>() > after_version)
            // Rows of one transaction have one version.
            ordered[row.at("ver").get<std::uint64_t>() * 1000 + extra++] = row;
    }
    for (auto& [version, row] : ordered)
        result.push_back(row);
    return result;
}

json store::envelope(json found) const
{
    return {{"rows", std::move(found)},
            {"more_pages", false},
            {"ver", m_version},
            {"now_ms", std::chrono::duration_cast<milliseconds>(
                           clock::now().time_since_epoch())
                           .count()}};
}

bool store::change(const json& asked, json& answer)
{
    json present = json::array();
    bool right = true;
    for (const auto& expected : asked.at("expect_rev"))
    {
        const auto& table = m_rows[expected.at("table")];
        const auto row = table.find(expected.at("key").get<std::string>());
        const bool there =
            row != table.end() && !row->second.contains("removed");
        if (there)
            present.push_back(row->second);
        right = right && (there ? row->second.at("ver").get<std::uint64_t>()
                                : 0) == expected.at("ver").get<std::uint64_t>();
    }
    if (right)
    {
        ++m_version;
        for (auto row : asked.at("writes"))
        {
            row["ver"] = m_version;
            m_rows[row.at("table")][row.at("key")] = row;
        }
    }
    answer = envelope(right ? json::array() : std::move(present));
    if (right)
        notify();
    return right;
}

void store::put(const std::string& table, const std::string& key,
                const std::string& value)
{
    ++m_version;
    m_rows[table][key] = {{"table", table},
                          {"part", ""},
                          {"key", key},
                          {"value", base64(value)},
                          {"ver", m_version}};
    notify();
}

void store::remove(const std::string& table, const std::string& key)
{
    const auto found = m_rows[table].find(key);
    if (found == m_rows[table].end() || found->second.contains("removed"))
        return;
    found->second = {{"table", table},
                     {"part", ""},
                     {"key", key},
                     {"removed", true},
                     {"ver", ++m_version}};
    notify();
}

void store::notify()
{
    for (const auto& item : std::exchange(m_watchers, {}))
    {
        const auto live = item.lock();
        if (live && live->m_watching && !live->answer_watch(false))
            m_watchers.push_back(item);
    }
}

// One magnolia-entry.
struct host
{
    std::string m_name;
    std::string m_zone;
    unsigned short m_callers = 0;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

// A client's session: one operation after the other.
struct client : std::enable_shared_from_this<client>
{
    client(asio::io_context& loop, service& target,
           const std::vector<host>& hosts, int number)
        : m_loop(loop), m_service(target), m_hosts(hosts), m_number(number),
          m_socket(loop), m_timer(loop)
    {
        // The mix of the site file: 1.5 to 1.5 to 7.
        const double drawn = uniform();
        m_kind = drawn < 0.15 ? 'o' : drawn < 0.3 ? 's' : 'c';
    }

    void connect()
    {
        if (m_stopped)
            return;
        m_reconnects = false;
        ec ignored;
        m_socket.close(ignored);
        m_socket = tcp::socket(m_loop);
        m_input.consume(m_input.size());
        const auto& to =
            m_hosts[static_cast<std::size_t>(m_number + m_tries++) %
                    m_hosts.size()];
        m_host = to.m_name;
        m_socket.async_connect({asio::ip::address_v4::loopback(), to.m_callers},
                               [self = shared_from_this()](ec error)
                               {
                                   if (error)
                                   {
                                       self->lost();
                                       return;
                                   }
                                   self->m_starting = true;
                                   self->send(std::string("START ") +
                                              self->m_kind + "-db u3f1");
                               });
    }

    void send(const std::string& line)
    {
        m_output = line + "\r\n";
        m_error.clear();
        arm();
        asio::async_write(m_socket, asio::buffer(m_output),
                          [self = shared_from_this()](ec error, std::size_t)
                          {
                              if (error)
                                  self->lost();
                              else
                                  self->read();
                          });
    }

    void arm()
    {
        m_timer.expires_after(milliseconds(3000));
        m_timer.async_wait(
            [self = shared_from_this()](ec error)
            {
                if (!error)
                    self->lost();
            });
    }

    void read()
    {
        asio::async_read_until(
            m_socket, m_input, "\r\n",
            [self = shared_from_this()](ec error, std::size_t size)
            {
                if (error)
                {
                    self->lost();
                    return;
                }
                std::string line(
                    static_cast<const char*>(self->m_input.data().data()),
                    size - 2);
                self->m_input.consume(size);
                self->received(line);
            });
    }

    void received(const std::string& line)
    {
        if (line.rfind("ERR ", 0) == 0)
            m_error = words_of(line).at(1);
        if (line.rfind("READY ", 0) != 0)
        {
            read();
            return;
        }
        m_timer.cancel();
        if (std::exchange(m_starting, false))
            next_operation();
        else
            statement_ended(line[6]);
    }

    void next_operation()
    {
        std::exponential_distribution<double> pause(operations_per_s * wave() /
                                                    sessions_per_service);
        m_timer.expires_after(
            milliseconds(static_cast<int>(pause(random_source) * 1000)));
        m_timer.async_wait(
            [self = shared_from_this()](ec error)
            {
                if (!error && !self->m_stopped)
                    self->begin_operation();
            });
    }

    void begin_operation()
    {
        const double drawn = uniform();
        const double writes = m_kind == 'o' ? 0.2 : m_kind == 'c' ? 0.12 : 0;
        const double transactions = m_kind == 'o'   ? 0.4
                                    : m_kind == 's' ? 0.1
                                                    : 0.12;
        m_writes = true;
        if (drawn < writes)
            m_plan = {"WRITE a x"};
        else if (drawn < writes + transactions && m_kind != 's')
            m_plan = {"BEGIN", "READ a", "WRITE a x", "COMMIT"};
        else
        {
            m_writes = false;
            m_plan = {"READ a"};
        }
        ++m_operation;
        m_at = 0;
        next_statement();
    }

    void next_statement()
    {
        m_id = m_kind + std::to_string(m_number) + "x" +
               std::to_string(m_operation) + "x" + std::to_string(m_at);
        const std::string text = m_plan[m_at++];
        if (m_writes)
            record("sent " + m_id + " " + text + " to " + m_host);
        send("QUERY " + m_id + " " + text);
    }

    void statement_ended(char state)
    {
        if (m_writes)
            record("answered " + m_id + " " +
                   (m_error.empty() ? "DONE" : m_error));
        if (!m_error.empty())
        {
            ++s_errors[m_error];
            if (state != 'I')
                connect();
            else
                next_operation();
            return;
        }
        if (m_at < m_plan.size())
        {
            next_statement();
            return;
        }
        ++s_succeeded;
        const auto made = m_service.m_commit_of.find(m_id);
        if (m_writes && made != m_service.m_commit_of.end())
            made->second->m_acknowledged = clock::now();
        next_operation();
    }

    // Handlers of a session that was lost already come here again.
    void lost()
    {
        if (std::exchange(m_reconnects, true))
            return;
        m_timer.cancel();
        ec ignored;
        m_socket.close(ignored);
        if (m_writes && m_at > 0)
            record("lost " + m_id);
        ++s_errors["lost"];
        m_at = 0;
        m_starting = false;
        after(m_loop, milliseconds(200),
              [self = shared_from_this()]
              {
                  self->connect();
              });
    }

    inline static std::size_t s_succeeded = 0;
    inline static std::map<std::string, std::size_t> s_errors;

    asio::io_context& m_loop;
    service& m_service;
    const std::vector<host>& m_hosts;
    int m_number;
    char m_kind;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    asio::streambuf m_input;
    std::string m_output;
    std::string m_error;
    std::string m_id;
    std::string m_host;
    std::vector<std::string> m_plan;
    std::size_t m_at = 0;
    std::uint64_t m_operation = 0;
    int m_tries = 0;
    bool m_writes = false;
    bool m_starting = false;
    bool m_stopped = false;
    bool m_reconnects = false;
};

// Everything of one run.
struct deployment
{
    explicit deployment(std::string folder, std::string program)
        : m_folder(std::move(folder)), m_program(std::move(program)),
          m_store(m_loop), m_service(m_loop, m_store, "huvo11a", "i-"),
          m_other_service(m_loop, m_store, "wuno96b", "j-")
    {
        m_store.m_promote =
            [this](const std::string& name, const std::string& id,
                   const std::string& holder, std::uint64_t token)
        {
            return (name == m_service.m_name ? m_service : m_other_service)
                .promote(id, holder, token);
        };
        const char* const zones[] = {"sohar", "barka", "seeb", "suwaiq"};
        for (int index = 0; index < host_count; ++index)
        {
            host item;
            item.m_name = "front-" + std::to_string(index + 1);
            item.m_zone = zones[index % 4];
            item.m_settings = m_folder + "/" + item.m_name + ".ini";
            item.m_log = m_folder + "/" + item.m_name + ".log";
            item.m_callers = free_port();
            std::ofstream(item.m_settings)
                << "[host]\nid = " << item.m_name
                << "\nfailure_domain = " << item.m_zone
                << "\nregion = batinah\n\n[failure_domains]\nsohar = batinah\n"
                   "barka = batinah\nseeb = batinah\nsuwaiq = batinah\n\n"
                   "[listen]\ncallers = "
                << local(item.m_callers) << "\nprobe = " << local(free_port())
                << "\npeers = " << local(free_port())
                << "\nmetrics = " << local(free_port())
                << "\n\n[platform]\nstore = " << store_address()
                << "\nduties = " << store_address()
                << "\n\n[limits]\nstop = 6s\nconfiguration = 3000ms\n";
            m_hosts.push_back(item);
        }
    }

    ~deployment()
    {
        for (const auto& item : m_hosts)
            if (item.m_pid > 0)
                ::kill(item.m_pid, SIGKILL);
        for (const auto& item : m_hosts)
            if (item.m_pid > 0)
                ::waitpid(item.m_pid, nullptr, 0);
    }

    static std::string local(unsigned short port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }
    std::string store_address()
    {
        return local(m_store.m_acceptor.local_endpoint().port());
    }
    // Below the ports that outgoing connections take. It stays reserved by its
    // socket until all ports are drawn.
    unsigned short free_port()
    {
        std::uniform_int_distribution<int> draw(12000, 31000);
        while (true)
        {
            const auto port = static_cast<unsigned short>(draw(random_source));
            tcp::acceptor item(m_loop);
            item.open(tcp::v4());
            ec error;
            item.bind({asio::ip::address_v4::loopback(), port}, error);
            if (error)
                continue;
            m_reserved.push_back(std::move(item));
            return port;
        }
    }

    void configure()
    {
        json routes = json::array();
        const auto route = [&](char kind, const char* type, int timeout,
                               int staleness, int priority)
        {
            json item = {{"name", std::string("r-") + kind},
                         {"host", std::string(1, kind) + "-db"},
                         {"prefix", "/"},
                         {"kind", type},
                         {"timeout_ms", timeout},
                         {"slo_ms", 400},
                         {"priority", priority},
                         {"service",
                          kind == 'c' ? m_own_route->m_name : m_service.m_name},
                         {"max_attempts", 2},
                         {"public", false}};
            if (staleness > 0)
                item["max_staleness_ms"] = staleness;
            routes.push_back(item);
        };
        route('o', "primary", 1000, 0, 1);
        route('s', "bounded", 2000, 1500, 2);
        route('c', "read_your_writes", 1000, 2500, 2);
        json services = json::array();
        for (const service* item : {&m_service, &m_other_service})
            services.push_back({{"name", item->m_name},
                                {"health_path", "/health"},
                                {"max_conns", max_conns},
                                {"proto", "h1"},
                                {"tls", false},
                                {"sync_replicas", item->m_sync_replicas}});
        const json all = {
            {"version", m_version},
            {"routes", routes},
            {"services", services},
            {"limits", {{"idle_timeout_ms", 15000}, {"tx_idle_ms", 3000}}},
            {"tenants", json::array({{{"name", "nypu920"},
                                      {"api_keys", {"u3f1"}},
                                      {"priority", 1},
                                      {"rate_per_s", 2000},
                                      {"burst", 2000}}})}};
        record("operator: version " + std::to_string(m_version) + ", c-db at " +
               m_own_route->m_name);
        m_version += 3;
        m_store.put("op", "config", all.dump());
    }

    void start_hosts()
    {
        m_reserved.clear();
        for (auto& item : m_hosts)
        {
            const pid_t child = ::fork();
            if (child == 0)
            {
                ::prctl(PR_SET_PDEATHSIG, SIGKILL);
                ::setenv("MAGNOLIASTACK_SETTINGS", item.m_settings.c_str(), 1);
                if (std::freopen(item.m_log.c_str(), "w", stdout) == nullptr)
                    std::_Exit(126);
                ::dup2(1, 2);
                ::execl(m_program.c_str(), m_program.c_str(), nullptr);
                std::_Exit(127);
            }
            item.m_pid = child;
        }
    }

    void run_for(milliseconds span)
    {
        m_loop.restart();
        m_loop.run_for(span);
    }

    void start_clients()
    {
        for (int index = 0; index < sessions_per_service; ++index)
        {
            auto added =
                std::make_shared<client>(m_loop, m_service, m_hosts, index);
            m_clients.push_back(added);
            after(m_loop, milliseconds(index * 10),
                  [added]
                  {
                      added->connect();
                  });
        }
    }

    [[nodiscard]] bool all_run()
    {
        for (const auto& item : m_hosts)
        {
            int status = 0;
            if (::waitpid(item.m_pid, &status, WNOHANG) != 0)
            {
                record("process of " + item.m_name + " ended");
                return false;
            }
        }
        return true;
    }

    asio::io_context m_loop{1};
    std::string m_folder;
    std::string m_program;
    std::vector<tcp::acceptor> m_reserved;
    store m_store;
    service m_service;
    service m_other_service;
    // The service of the route read_your_writes.
    service* m_own_route = &m_service;
    int m_version = 7;
    std::vector<host> m_hosts;
    std::vector<std::shared_ptr<client>> m_clients;
};

// `replica_lag` with "deaf crash": a replica receives nothing for 6 s, and the
// primary crashes meanwhile, in a `burst` of 3.7 s. The service has
// sync_replicas = 1, so the other replica has every acknowledged commit.
int sync_replica(deployment& all, bool trouble)
{
    service& db = all.m_service;
    db.m_sync_replicas = 1;
    all.configure();
    all.start_hosts();
    all.run_for(milliseconds(6000));
    all.start_clients();
    all.run_for(milliseconds(8000));
    const auto before = client::s_succeeded;
    record("served before the disruption: " + std::to_string(before));
    if (before < 100)
        return 2;
    backend& primary = db.primary();
    backend& deaf = *db.m_backends[2];
    if (trouble)
    {
        record(deaf.m_id + " receives nothing from now on");
        deaf.m_deaf = true;
    }
    all.run_for(milliseconds(2000));
    if (trouble)
    {
        record("many users come at once: 1.7 times the traffic");
        burst = 1.7;
    }
    all.run_for(milliseconds(2000));
    if (trouble)
        primary.crash();
    all.run_for(milliseconds(1700));
    burst = 1;
    all.run_for(milliseconds(300));
    deaf.m_deaf = false;
    if (trouble)
        deaf.catch_up();
    all.run_for(milliseconds(4400));
    record("served in all: " + std::to_string(client::s_succeeded) +
           ", promotions: " + std::to_string(db.m_promotions));
    for (const auto& [code, count] : client::s_errors)
        record("errors " + code + ": " + std::to_string(count));
    if (!db.m_broken.empty())
        return 1;
    if (trouble && db.m_promotions == 0)
        return 2;
    return all.all_run() ? 0 : 2;
}

// A replica is to be replaced and drains; it goes on receiving and counts
// toward sync_replicas. The other one receives nothing for 6 s, and the primary
// crashes meanwhile (`release`, `replica_lag` with "deaf crash").
int draining_replica(deployment& all, bool trouble)
{
    service& db = all.m_service;
    db.m_sync_replicas = 1;
    all.configure();
    all.start_hosts();
    all.run_for(milliseconds(6000));
    all.start_clients();
    all.run_for(milliseconds(8000));
    record("served before the disruption: " +
           std::to_string(client::s_succeeded));
    if (client::s_succeeded < 100)
        return 2;
    backend& primary = db.primary();
    backend& draining = *db.m_backends[1];
    backend& deaf = *db.m_backends[2];
    record(draining.m_id + " reports that it is draining");
    draining.m_draining = true;
    db.publish(draining);
    all.run_for(milliseconds(1000));
    if (trouble)
    {
        record(deaf.m_id + " receives nothing from now on");
        deaf.m_deaf = true;
    }
    all.run_for(milliseconds(2500));
    if (trouble)
        primary.crash();
    // The draining backend serves for 7 s after its report.
    all.run_for(milliseconds(3500));
    deaf.m_deaf = false;
    record("served in all: " + std::to_string(client::s_succeeded) +
           ", promotions: " + std::to_string(db.m_promotions));
    if (!db.m_broken.empty())
        return 1;
    if (trouble && db.m_promotions == 0)
        record("nobody was promoted while the replica was draining");
    return all.all_run() ? 0 : 2;
}

// A session that writes, reads or waits when told to.
struct scripted : std::enable_shared_from_this<scripted>
{
    scripted(asio::io_context& loop, std::string name, unsigned short port)
        : m_name(std::move(name)), m_socket(loop), m_port(port)
    {
    }

    void start(const std::string& database)
    {
        m_socket.async_connect({asio::ip::address_v4::loopback(), m_port},
                               [self = shared_from_this(), database](ec error)
                               {
                                   if (!error)
                                       self->ask("START " + database + " u3f1",
                                                 [](const std::string&) {});
                               });
    }

    // Sends a statement; `done` gets the error's code, or nothing.
    void query(const std::string& text,
               std::function<void(const std::string&)> done)
    {
        m_id = m_name + "x" + std::to_string(++m_count);
        record("sent " + m_id + " " + text);
        ask("QUERY " + m_id + " " + text,
            [self = shared_from_this(), id = m_id,
             done = std::move(done)](const std::string& error)
            {
                record("answered " + id + " " +
                       (error.empty() ? "DONE" : error));
                done(error);
            });
    }

    void ask(const std::string& line,
             std::function<void(const std::string&)> done)
    {
        m_output = line + "\r\n";
        m_done = std::move(done);
        m_error.clear();
        m_idle = false;
        asio::async_write(m_socket, asio::buffer(m_output),
                          [self = shared_from_this()](ec error, std::size_t)
                          {
                              if (!error)
                                  self->read();
                          });
    }

    void read()
    {
        asio::async_read_until(
            m_socket, m_input, "\r\n",
            [self = shared_from_this()](ec error, std::size_t size)
            {
                if (error)
                    return;
                const std::string line(
                    static_cast<const char*>(self->m_input.data().data()),
                    size - 2);
                self->m_input.consume(size);
                if (line.rfind("ERR ", 0) == 0)
                    self->m_error = words_of(line).at(1);
                if (line.rfind("READY ", 0) != 0)
                {
                    self->read();
                    return;
                }
                self->m_idle = true;
                const auto done = std::move(self->m_done);
                done(self->m_error);
            });
    }

    std::string m_name;
    tcp::socket m_socket;
    unsigned short m_port;
    asio::streambuf m_input;
    std::string m_output;
    std::string m_error;
    std::string m_id;
    std::function<void(const std::string&)> m_done;
    int m_count = 0;
    bool m_idle = false;
};

// The operator moves a read_your_writes route to another service and back,
// while replicas apply 60 times as late. Sessions write before, between and
// read after.
int moved_route(deployment& all, bool trouble)
{
    service& first = all.m_service;
    service& second = all.m_other_service;
    all.configure();
    all.start_hosts();
    all.run_for(milliseconds(6000));
    all.start_clients();
    std::vector<std::shared_ptr<scripted>> sessions;
    for (int index = 0; index < 24; ++index)
    {
        const auto& at =
            all.m_hosts[static_cast<std::size_t>(index) % all.m_hosts.size()];
        sessions.push_back(std::make_shared<scripted>(
            all.m_loop, "cown" + std::to_string(index), at.m_callers));
        sessions.back()->start("c-db");
    }
    all.run_for(milliseconds(6000));
    if (client::s_succeeded < 100)
        return 2;
    if (trouble)
    {
        record("replicas apply 60 times as late");
        first.m_lag = replica_lag * 60;
    }
    all.run_for(milliseconds(3000));
    int written = 0;
    const auto write_all = [&](service& at)
    {
        for (const auto& item : sessions)
            if (item->m_idle)
                item->query(
                    "WRITE a x",
                    [&, item](const std::string& error)
                    {
                        const auto made = at.m_commit_of.find(item->m_id);
                        if (!error.empty() || made == at.m_commit_of.end())
                            return;
                        ++written;
                        at.m_own[item->m_name] = made->second;
                    });
    };
    write_all(first);
    all.run_for(milliseconds(250));
    record(std::to_string(written) + " sessions have written at " +
           first.m_name);
    const int written_first = written;
    all.m_own_route = &second;
    all.configure();
    all.run_for(milliseconds(200));
    write_all(second);
    all.run_for(milliseconds(150));
    record(std::to_string(written - written_first) +
           " sessions have written at " + second.m_name);
    if (written_first == 0 || written == written_first)
        return 2;
    all.m_own_route = &first;
    all.configure();
    all.run_for(milliseconds(200));
    for (const auto& item : sessions)
        if (item->m_idle)
            item->query("READ a", [](const std::string&) {});
    all.run_for(milliseconds(1500));
    first.m_lag = replica_lag;
    all.run_for(milliseconds(2000));
    if (!first.m_broken.empty())
        return 1;
    return all.all_run() ? 0 : 2;
}

} // namespace stage

int main(int argc, char** argv)
{
    if (argc < 6)
    {
        std::cerr << "usage: stage SCENARIO PROGRAM FOLDER RECORD TROUBLE\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const std::string scenario = argv[1];
    stage::started = stage::clock::now();
    stage::record_file.open(argv[4]);
    stage::random_source.seed(std::random_device{}());
    stage::deployment all(argv[3], argv[2]);
    const bool trouble = std::string(argv[5]) != "0";
    int code = 2;
    if (scenario == "sync-replica")
        code = stage::sync_replica(all, trouble);
    else if (scenario == "draining-replica")
        code = stage::draining_replica(all, trouble);
    else if (scenario == "moved-route")
        code = stage::moved_route(all, trouble);
    stage::record("exit code " + std::to_string(code));
    std::cout << scenario << (trouble ? "" : " without the disruption")
              << ": exit code " << code << "\n";
    return code;
}
