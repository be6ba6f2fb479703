#include "platform.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fcntl.h>
#include <iomanip>
#include <signal.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{
namespace
{

// The site's answer time of the store.
constexpr ms answer_time{4};
constexpr unsigned lowest_port = 11'000;
constexpr unsigned ports = 15'000;
// An old primary that reaches the new one goes on for this long.
constexpr ms old_primary_time{1000};

std::string parameter(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

std::uint64_t number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<ms>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::vector<std::string> words_of(const std::string& text)
{
    std::istringstream in(text);
    std::vector<std::string> words;
    for (std::string word; in >> word;)
        words.push_back(word);
    return words;
}

void reset_socket(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

// Below the range from which the system takes ports for outgoing connections,
// so that none takes a machine's port before it listens.
unsigned short free_port()
{
    static asio::io_context loop;
    static unsigned next = static_cast<unsigned>(getpid()) * 61;
    while (true)
    {
        const auto port =
            static_cast<unsigned short>(lowest_port + next++ % ports);
        error_code error;
        tcp::acceptor probe(loop);
        probe.open(tcp::v4(), error);
        probe.set_option(tcp::acceptor::reuse_address(true), error);
        probe.bind({loopback, port}, error);
        if (!error)
            return port;
    }
}

std::string local(unsigned short port)
{
    return "127.0.0.1:" + std::to_string(port);
}

record::record(const std::string& path) : m_out(path)
{
}

double record::now() const
{
    return std::chrono::duration<double>(clock::now() - m_start).count();
}

void record::line(const std::string& text)
{
    m_out << std::fixed << std::setprecision(3) << std::setw(8) << now() << " "
          << text << std::endl;
}

void record::broken(const std::string& text)
{
    ++m_broken;
    line("BROKEN " + text);
}

// ---------------------------------------------------------------- the link

struct link::connection : std::enable_shared_from_this<connection>
{
    struct direction
    {
        tcp::socket* m_from;
        tcp::socket* m_to;
        bool m_forward;
        std::array<char, 16384> m_buffer{};
        std::string m_held;
        std::string m_sending;
        bool m_writing = false;
        bool m_ended = false;
    };

    connection(link& owner, tcp::socket client)
        : m_owner(owner), m_client(std::move(client)),
          m_server(owner.m_loop), m_out{&m_client, &m_server, true, {}, {}, {}},
          m_back{&m_server, &m_client, false, {}, {}, {}}
    {
    }

    void start()
    {
        error_code ignored;
        m_client.set_option(tcp::no_delay(true), ignored);
        read(m_out);
        if (!m_owner.m_cut)
            connect();
    }

    void connect()
    {
        m_connecting = true;
        m_server.async_connect({loopback, m_owner.m_server},
                               [self = shared_from_this()](error_code error)
                               {
                                   if (error)
                                   {
                                       self->stop();
                                       return;
                                   }
                                   self->m_open = true;
                                   error_code ignored;
                                   self->m_server.set_option(
                                       tcp::no_delay(true), ignored);
                                   self->read(self->m_back);
                                   self->pass(self->m_out);
                               });
    }

    void read(direction& way)
    {
        way.m_from->async_read_some(
            asio::buffer(way.m_buffer),
            [self = shared_from_this(), &way](error_code error,
                                              std::size_t count)
            {
                if (error == asio::error::eof)
                {
                    way.m_ended = true;
                    // Nothing of a connection that was never there arrives.
                    if (!self->m_connecting)
                        self->stop();
                    else
                        self->pass(way);
                    return;
                }
                if (error)
                {
                    self->stop();
                    return;
                }
                way.m_held.append(way.m_buffer.data(), count);
                if (self->m_owner.m_cut && self->m_open && way.m_forward &&
                    self->m_owner.m_on_held)
                    self->m_owner.m_on_held(
                        std::string(way.m_buffer.data(), count));
                self->pass(way);
                self->read(way);
            });
    }

    void pass(direction& way)
    {
        if (!m_open || m_stopped || m_owner.m_cut || way.m_writing)
            return;
        if (way.m_held.empty())
        {
            if (way.m_ended)
            {
                error_code ignored;
                way.m_to->shutdown(tcp::socket::shutdown_send, ignored);
                if (m_out.m_ended && m_back.m_ended)
                    stop();
            }
            return;
        }
        way.m_writing = true;
        way.m_sending.swap(way.m_held);
        asio::async_write(
            *way.m_to, asio::buffer(way.m_sending),
            [self = shared_from_this(), &way](error_code error, std::size_t)
            {
                way.m_writing = false;
                way.m_sending.clear();
                if (error)
                    self->stop();
                else
                    self->pass(way);
            });
    }

    void healed()
    {
        if (m_stopped)
            return;
        if (!m_connecting)
            connect();
        pass(m_out);
        pass(m_back);
    }

    void stop()
    {
        if (std::exchange(m_stopped, true))
            return;
        reset_socket(m_client);
        reset_socket(m_server);
    }

    link& m_owner;
    tcp::socket m_client;
    tcp::socket m_server;
    direction m_out;
    direction m_back;
    bool m_connecting = false;
    bool m_open = false;
    bool m_stopped = false;
};

link::link(asio::io_context& loop, unsigned short server)
    : m_loop(loop), m_server(server), m_acceptor(loop, {loopback, 0})
{
    accept();
}

unsigned short link::port() const
{
    return m_acceptor.local_endpoint().port();
}

void link::accept()
{
    m_acceptor.async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (error)
                return;
            auto added = std::make_shared<connection>(*this, std::move(socket));
            std::erase_if(m_connections,
                          [](const auto& item)
                          {
                              return item.expired();
                          });
            m_connections.push_back(added);
            added->start();
            accept();
        });
}

void link::set_cut(bool cut)
{
    m_cut = cut;
    if (cut)
        return;
    const auto all = m_connections;
    for (const auto& item : all)
        if (const auto live = item.lock())
            live->healed();
}

std::size_t link::open_connections() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto& item)
                      {
                          const auto live = item.lock();
                          return live && live->m_open && !live->m_stopped &&
                                 !live->m_out.m_ended && !live->m_back.m_ended;
                      }));
}

// --------------------------------------------------------------- the store

struct store::connection : std::enable_shared_from_this<connection>
{
    connection(store& owner, tcp::socket socket)
        : m_owner(owner), m_socket(std::move(socket)), m_timer(owner.m_loop)
    {
    }

    void read()
    {
        m_request = {};
        http::async_read(
            m_socket, m_buffer, m_request,
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (!error)
                    self->after(answer_time, &connection::serve);
            });
    }

    void after(ms time, void (connection::*next)())
    {
        m_timer.expires_after(time);
        m_timer.async_wait(
            [self = shared_from_this(), next](error_code error)
            {
                if (!error)
                    ((*self).*next)();
            });
    }

    void serve()
    {
        const std::string target(m_request.target());
        if (target.starts_with("/magnoliastack/rows-get"))
            answer(200, m_owner.envelope(
                            m_owner.rows(parameter(target, "table"), 0)));
        else if (target.starts_with("/magnoliastack/rows-feed"))
            watch();
        else if (target.starts_with("/magnoliastack/rows-tx"))
        {
            const json asked = json::parse(m_request.body());
            json reply;
            const bool applied = m_owner.change(asked, reply);
            answer(applied ? 200 : 412, reply);
            if (applied && m_owner.m_on_write)
                for (const auto& item : asked.at("writes"))
                {
                    const std::string key = item.at("key");
                    m_owner.m_on_write(key,
                                       m_owner.value(item.at("table"), key));
                }
            if (applied)
                m_owner.notify();
        }
        else
            answer(404, json::object());
    }

    void watch()
    {
        const std::string target(m_request.target());
        if (told())
            return;
        m_watching = true;
        m_owner.m_watchers.push_back(weak_from_this());
        after(ms(std::min<std::uint64_t>(number(parameter(target, "wait_ms")),
                                         30000)),
              &connection::end_watch);
    }

    bool told()
    {
        const std::string target(m_request.target());
        json rows = m_owner.rows(parameter(target, "table"),
                                 number(parameter(target, "after")));
        if (rows.empty() && number(parameter(target, "wait_ms")) > 0)
            return false;
        m_watching = false;
        answer(200, m_owner.envelope(std::move(rows)));
        return true;
    }

    void end_watch()
    {
        if (std::exchange(m_watching, false))
            answer(200, m_owner.envelope(json::array()));
    }

    void answer(unsigned status, const json& body)
    {
        m_answer = {};
        m_answer.version(11);
        m_answer.result(status);
        m_answer.set(http::field::content_type, "application/json");
        m_answer.body() = body.dump();
        m_answer.prepare_payload();
        http::async_write(
            m_socket, m_answer,
            [self = shared_from_this()](error_code error, std::size_t)
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

store::store(asio::io_context& loop, record& to)
    : m_loop(loop), m_record(to), m_acceptor(loop, {loopback, 0})
{
    accept();
}

unsigned short store::port() const
{
    return m_acceptor.local_endpoint().port();
}

void store::accept()
{
    m_acceptor.async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (error)
                return;
            std::make_shared<connection>(*this, std::move(socket))->read();
            accept();
        });
}

json store::shown(const std::string& table, const std::string& key,
                  const row& what)
{
    json result = {
        {"table", table}, {"part", ""}, {"key", key}, {"ver", what.m_version}};
    if (what.m_removed)
        result["removed"] = true;
    else
        result["value"] = absl::Base64Escape(what.m_value);
    return result;
}

json store::rows(const std::string& table, std::uint64_t after) const
{
    json result = json::array();
    const auto found = m_rows.find(table);
    if (found == m_rows.end())
        return result;
    std::vector<std::pair<std::uint64_t, json>> changed;
    for (const auto& [key, item] : found->second)
        if (item.m_version > after && !(after == 0 && item.m_removed))
            changed.emplace_back(item.m_version, shown(table, key, item));
    if (after > 0)
        std::stable_sort(changed.begin(), changed.end(),
                         [](const auto& one, const auto& other)
                         {
                             return one.first < other.first;
                         });
    for (auto& item : changed)
        result.push_back(std::move(item.second));
    return result;
}

json store::envelope(json rows) const
{
    return {{"rows", std::move(rows)},
            {"more_pages", false},
            {"ver", m_version},
            {"now_ms",
             std::chrono::duration_cast<ms>(clock::now().time_since_epoch())
                 .count()}};
}

bool store::change(const json& asked, json& answer)
{
    json present = json::array();
    bool right = true;
    for (const auto& item : asked.at("expect_rev"))
    {
        const std::string key = item.at("key");
        auto& table = m_rows[item.at("table")];
        const auto found = table.find(key);
        const bool there = found != table.end() && !found->second.m_removed;
        const std::uint64_t version = there ? found->second.m_version : 0;
        if (there)
            present.push_back(shown(item.at("table"), key, found->second));
        right = right && version == item.at("ver").get<std::uint64_t>();
    }
    if (right && !asked.at("writes").empty())
    {
        ++m_version;
        for (const auto& item : asked.at("writes"))
        {
            std::string value;
            absl::Base64Unescape(item.at("value").get<std::string>(), &value);
            m_rows[item.at("table")][item.at("key")] = {value, m_version,
                                                        false};
        }
    }
    answer = envelope(right ? json::array() : std::move(present));
    return right;
}

void store::put(const std::string& table, const std::string& key,
                const std::string& value)
{
    m_rows[table][key] = {value, ++m_version, false};
    notify();
}

void store::remove(const std::string& table, const std::string& key)
{
    m_rows[table][key] = {"", ++m_version, true};
    notify();
}

json store::value(const std::string& table, const std::string& key)
{
    const auto found = m_rows[table].find(key);
    if (found == m_rows[table].end())
        return {};
    return json::parse(found->second.m_value, nullptr, false);
}

void store::notify()
{
    const auto watchers = std::exchange(m_watchers, {});
    for (const auto& item : watchers)
    {
        const auto live = item.lock();
        if (live && live->m_watching && !live->told())
            m_watchers.push_back(item);
    }
}

// -------------------------------------------------------------- the duties

struct duty_service::connection : std::enable_shared_from_this<connection>
{
    connection(duty_service& owner, tcp::socket socket)
        : m_owner(owner), m_socket(std::move(socket))
    {
    }

    void read()
    {
        m_request = {};
        http::async_read(
            m_socket, m_buffer, m_request,
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (!error)
                    self->serve();
            });
    }

    void serve()
    {
        const std::string holder(m_request["Magnoliastack-Duty-Holder"]);
        const std::uint64_t token =
            number(std::string(m_request["Magnoliastack-Fence-Token"]));
        const json asked = json::parse(m_request.body());
        const std::string group = asked.at("service");
        const std::string id = asked.at("id");
        auto& to = m_owner.m_record;
        to.line("promote service=" + group + " id=" + id + " holder=" + holder +
                " token=" + std::to_string(token));
        if (token < m_owner.m_highest)
            to.broken("ONE: a promotion with token " + std::to_string(token) +
                      " of " + holder + " after the platform has seen " +
                      std::to_string(m_owner.m_highest) + " of " +
                      m_owner.m_highest_holder);
        else if (token == m_owner.m_highest && m_owner.m_highest > 0 &&
                 holder != m_owner.m_highest_holder)
            to.broken("ONE: two holders promote with token " +
                      std::to_string(token));
        if (token > m_owner.m_highest)
        {
            m_owner.m_highest = token;
            m_owner.m_highest_holder = holder;
        }
        // The fence is not checked here (require_fence is false).
        const bool runs = m_owner.m_promote(group, id);
        m_answer = {};
        m_answer.version(11);
        m_answer.result(runs ? 200 : 409);
        m_answer.set(http::field::content_type, "application/json");
        m_answer.body() = "{}";
        m_answer.prepare_payload();
        http::async_write(
            m_socket, m_answer,
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (!error)
                    self->read();
            });
        if (m_owner.m_on_call)
            m_owner.m_on_call(holder, token, group, id);
    }

    duty_service& m_owner;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_answer;
};

duty_service::duty_service(asio::io_context& loop, record& to, promote what)
    : m_loop(loop), m_record(to), m_acceptor(loop, {loopback, 0}),
      m_promote(std::move(what))
{
    accept();
}

unsigned short duty_service::port() const
{
    return m_acceptor.local_endpoint().port();
}

void duty_service::accept()
{
    m_acceptor.async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (error)
                return;
            std::make_shared<connection>(*this, std::move(socket))->read();
            accept();
        });
}

// ------------------------------------------------------------- the backends

struct backend::connection : std::enable_shared_from_this<connection>
{
    connection(backend& owner, tcp::socket socket)
        : m_owner(owner), m_socket(std::move(socket)), m_timer(owner.m_loop)
    {
        ++m_owner.m_connections;
    }

    ~connection()
    {
        --m_owner.m_connections;
    }

    // A line ends with CR LF, and with nothing else.
    void read()
    {
        asio::async_read_until(
            m_socket, m_input, "\r\n",
            [self = shared_from_this()](error_code error, std::size_t count)
            {
                if (error)
                    return;
                std::string line(count - 2, '\0');
                std::istream stream(&self->m_input);
                stream.read(line.data(),
                            static_cast<std::streamsize>(line.size()));
                stream.ignore(2);
                if (self->m_owner.m_owner.m_on_line)
                    self->m_owner.m_owner.m_on_line(self->m_owner.m_id, line);
                self->m_timer.expires_after(line.starts_with("START ")
                                                ? ms(12)
                                                : self->m_owner.m_owner.m_work);
                self->m_timer.async_wait(
                    [self, line](error_code failed)
                    {
                        if (!failed)
                            self->serve(line);
                    });
            });
    }

    void serve(const std::string& line)
    {
        const auto words = words_of(line);
        if (!words.empty() && words[0] == "START")
        {
            const bool wrong = words.size() < 3 ||
                               words[1] != m_owner.m_owner.m_name ||
                               (words.size() > 3 && words[3] != m_owner.m_id);
            answer(wrong ? "ERR MOVED -\r\n" : ready());
            return;
        }
        if (words.size() < 3 || words[0] != "QUERY")
        {
            answer("ERR MALFORMED -\r\n" + ready());
            return;
        }
        auto text = std::vector<std::string>(words.begin() + 2, words.end());
        if (text[0] == "AFTER" && text.size() > 2)
        {
            const auto dot = text[1].find('.');
            if (std::make_pair(number(text[1].substr(0, dot)),
                               number(text[1].substr(dot + 1))) >
                std::make_pair(m_owner.m_term, m_owner.shown_number()))
            {
                fail("LAGGING");
                return;
            }
            text.erase(text.begin(), text.begin() + 2);
        }
        run(words[1], text);
    }

    void run(const std::string& id, const std::vector<std::string>& words)
    {
        const std::string& verb = words[0];
        if (verb == "STATUS" || verb == "STEPDOWN")
        {
            if (verb == "STEPDOWN" && number(words.at(1)) > m_owner.m_term)
                m_owner.m_primary = false;
            answer("ROW " +
                   std::string(m_owner.m_primary ? "primary " : "replica ") +
                   std::to_string(m_owner.m_term) + " " + position() + " " +
                   std::to_string(m_owner.m_term) + " 0 0 " +
                   std::to_string(m_owner.m_connections) + "\r\nDONE -\r\n" +
                   ready());
        }
        else if (verb == "BEGIN")
        {
            if (words.size() == 1 && !m_owner.m_primary)
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
        else if (verb == "READ")
            answer("ROW value-of-" + words.back() + "\r\nDONE s-" + id +
                   "\r\n" + ready());
        else if (verb == "WRITE" || verb == "COMMIT")
            write(id, verb == "COMMIT");
        else
            done("-");
    }

    void write(const std::string& id, bool commit_it)
    {
        if (!m_owner.m_primary && !(commit_it && m_writes.empty()))
        {
            m_state = m_state == 'T' && !commit_it ? 'E' : 'I';
            fail("READONLY");
            return;
        }
        if (!commit_it)
            m_writes.push_back(id);
        if (commit_it)
            m_state = 'I';
        if (m_state == 'I' && !m_writes.empty())
        {
            auto item = std::make_shared<commit>();
            item->m_term = m_owner.m_term;
            item->m_ids = std::exchange(m_writes, {});
            item->m_after_promote = m_owner.m_owner.m_term > m_owner.m_term;
            item->m_backend = m_owner.m_id;
            m_owner.m_log.push_back(item);
            for (const auto& each : item->m_ids)
                m_owner.m_owner.m_commits[each] = item;
            m_owner.m_owner.m_commits[id] = item;
        }
        done("s-" + id);
    }

    [[nodiscard]] std::string position() const
    {
        return std::to_string(m_owner.m_term) + "." +
               std::to_string(m_owner.shown_number());
    }
    [[nodiscard]] std::string ready() const
    {
        return "READY " + std::string(1, m_state) + " " + position() + "\r\n";
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
        m_output = std::move(text);
        asio::async_write(
            m_socket, asio::buffer(m_output),
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (!error)
                    self->read();
            });
    }

    backend& m_owner;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    asio::streambuf m_input;
    std::string m_output;
    std::vector<std::string> m_writes;
    char m_state = 'I';
};

backend::backend(asio::io_context& loop, service& owner, std::string id,
                 std::string zone, bool primary)
    : m_primary(primary), m_loop(loop), m_owner(owner), m_id(std::move(id)),
      m_zone(std::move(zone)), m_acceptor(loop, {loopback, 0}),
      m_born(unix_ms())
{
    accept();
}

void backend::accept()
{
    m_acceptor.async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (error)
                return;
            std::make_shared<connection>(*this, std::move(socket))->read();
            accept();
        });
}

json backend::entry() const
{
    return {{"service", m_owner.m_name},
            {"addr", local(m_acceptor.local_endpoint().port())},
            {"zone", m_zone},
            {"version", "1"},
            {"slots", 3},
            {"state", m_draining ? "draining" : "ready"},
            {"db_role", m_primary ? "primary" : "replica"},
            {"cold_left_ms", 0},
            {"seq", 1},
            {"born", m_born}};
}

service::service(asio::io_context& loop, record& to, std::string name)
    : m_name(std::move(name)), m_loop(loop), m_record(to)
{
}

backend& service::add(const std::string& id, const std::string& zone,
                      bool primary)
{
    m_backends.push_back(
        std::make_unique<backend>(m_loop, *this, id, zone, primary));
    return *m_backends.back();
}

backend* service::find(const std::string& id)
{
    for (const auto& item : m_backends)
        if (item->id() == id)
            return item.get();
    return nullptr;
}

bool service::promote(const std::string& id)
{
    const backend* chosen = find(id);
    if (chosen == nullptr)
        return false;
    if (!(chosen->m_primary && chosen->m_term == m_term))
        m_promoting.push_back({clock::now() + m_promote_time, id});
    return true;
}

void service::tick()
{
    const auto now = clock::now();
    while (!m_promoting.empty() && m_promoting.front().m_at <= now)
    {
        backend* chosen = find(m_promoting.front().m_id);
        m_promoting.erase(m_promoting.begin());
        if (chosen == nullptr ||
            (chosen->m_primary && chosen->m_term == m_term))
            continue;
        chosen->m_term = ++m_term;
        chosen->m_primary = true;
        m_promoted_at = now;
        m_sent.clear();
        m_record.line("leads service=" + m_name + " id=" + chosen->id() +
                      " term=" + std::to_string(m_term));
    }
    backend* primary = nullptr;
    for (const auto& item : m_backends)
        if (item->m_primary && item->m_term == m_term)
            primary = item.get();
    if (primary == nullptr)
        return;
    m_sent.emplace_back(now, primary->m_log.size());
    while (m_sent.size() > 1 && m_sent[1].first <= now - m_lag)
        m_sent.pop_front();
    const std::size_t arrived =
        m_sent.front().first <= now - m_lag ? m_sent.front().second : 0;
    for (const auto& item : m_backends)
    {
        if (item.get() == primary ||
            (item->m_primary && now - m_promoted_at < old_primary_time))
            continue;
        item->m_primary = false;
        // What the primary does not have is rolled back.
        std::size_t common = 0;
        while (common < std::min(item->m_log.size(), primary->m_log.size()) &&
               item->m_log[common] == primary->m_log[common])
            ++common;
        item->m_log.resize(common);
        item->m_term = m_term;
        while (item->m_log.size() < arrived)
            item->m_log.push_back(primary->m_log[item->m_log.size()]);
    }
}

// ------------------------------------------------------------ the processes

entry_process::entry_process(std::string id, std::string zone,
                             const std::string& folder, unsigned short store,
                             unsigned short duties,
                             const std::vector<std::string>& zones)
    : m_id(std::move(id)), m_zone(std::move(zone)), m_callers(free_port()),
      m_ready(free_port()), m_settings(folder + "/" + m_id + ".ini"),
      m_log(folder + "/" + m_id + ".log")
{
    std::ofstream out(m_settings);
    out << "[host]\nid = " << m_id << "\nfailure_domain = " << m_zone
        << "\nregion = batinah\n\n[failure_domains]\n";
    for (const auto& item : zones)
        out << item << " = batinah\n";
    out << "\n[listen]\ncallers = " << local(m_callers)
        << "\nprobe = " << local(m_ready) << "\npeers = " << local(free_port())
        << "\nmetrics = " << local(free_port())
        << "\n\n[platform]\nstore = " << local(store)
        << "\nduties = " << local(duties)
        << "\n\n[limits]\nstop = 6s\nconfiguration = 3000ms\n";
}

entry_process::~entry_process()
{
    end();
}

bool entry_process::start()
{
    const char* program = "target/bin/magnolia-entry";
    if (access(program, X_OK) != 0)
        return false;
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid != 0)
        return m_pid > 0;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(127);
    const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    for (int descriptor = 3; descriptor < 1024; ++descriptor)
        close(descriptor);
    setenv("MAGNOLIASTACK_SETTINGS", m_settings.c_str(), 1);
    execl(program, program, static_cast<char*>(nullptr));
    _exit(127);
}

bool entry_process::runs()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = -1;
    return m_pid > 0;
}

void entry_process::signal(int number) const
{
    if (m_pid > 0)
        kill(m_pid, number);
}

void entry_process::end()
{
    if (m_pid <= 0)
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

} // namespace review
