// Stand-ins for the users' platform, databases and clients, for the review's
// scripts. Everything runs in one thread, on loopback and the real clock.
#ifndef REVIEW_STANDIN_PLATFORM_H
#define REVIEW_STANDIN_PLATFORM_H

// Boost.Asio 1.74 needs this one first.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using json = nlohmann::json;
using clock = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline const auto loopback = asio::ip::address_v4::loopback();

// Writes record.txt: one line an event, with the seconds since the start.
class record
{
public:
    explicit record(const std::string& path);
    void line(const std::string& text);
    // A broken rule; the first one decides the script's result.
    void broken(const std::string& text);
    [[nodiscard]] std::size_t broken_count() const
    {
        return m_broken;
    }
    [[nodiscard]] double now() const;

private:
    std::ofstream m_out;
    clock::time_point m_start = clock::now();
    std::size_t m_broken = 0;
};

// A link of one machine to a server. While it is cut nothing passes. Bytes of
// open connections wait as they would in the sender's TCP: they arrive when
// the cut has healed, also when the sender has closed meanwhile, and are lost
// when it has reset. A connection that is begun during a cut gets through when
// its client still waits at the end of the cut.
class link
{
public:
    link(asio::io_context& loop, unsigned short server);
    [[nodiscard]] unsigned short port() const;
    void set_cut(bool cut);
    // Connections that are open now and not closed by either end.
    [[nodiscard]] std::size_t open_connections() const;
    // Called with what the client sends on an open connection during a cut.
    std::function<void(const std::string&)> m_on_held;

private:
    struct connection;
    void accept();
    asio::io_context& m_loop;
    unsigned short m_server;
    tcp::acceptor m_acceptor;
    bool m_cut = false;
    std::vector<std::weak_ptr<connection>> m_connections;
};

// The platform's store of rows.
class store
{
public:
    store(asio::io_context& loop, record& to);
    [[nodiscard]] unsigned short port() const;
    void put(const std::string& table, const std::string& key,
             const std::string& value);
    void remove(const std::string& table, const std::string& key);
    // The decoded value of a row, or a null value.
    [[nodiscard]] json value(const std::string& table, const std::string& key);
    // Called after a write of the system was applied and answered.
    std::function<void(const std::string& key, const json& value)> m_on_write;

private:
    struct connection;
    struct row
    {
        std::string m_value;
        std::uint64_t m_version = 0;
        bool m_removed = false;
    };
    void accept();
    json rows(const std::string& table, std::uint64_t after) const;
    json envelope(json rows) const;
    bool change(const json& asked, json& answer);
    void notify();
    static json shown(const std::string& table, const std::string& key,
                      const row& what);
    asio::io_context& m_loop;
    record& m_record;
    tcp::acceptor m_acceptor;
    std::uint64_t m_version = 0;
    std::map<std::string, std::map<std::string, row>> m_rows;
    std::vector<std::weak_ptr<connection>> m_watchers;
};

// The calls that are one machine's duty.
class duty_service
{
public:
    // Carries a promotion out; false when the backend does not run.
    using promote =
        std::function<bool(const std::string& service, const std::string& id)>;
    duty_service(asio::io_context& loop, record& to, promote what);
    [[nodiscard]] unsigned short port() const;
    std::function<void(const std::string& holder, std::uint64_t token,
                       const std::string& service, const std::string& id)>
        m_on_call;

private:
    struct connection;
    void accept();
    asio::io_context& m_loop;
    record& m_record;
    tcp::acceptor m_acceptor;
    promote m_promote;
    std::uint64_t m_highest = 0;
    std::string m_highest_holder;
};

struct commit
{
    std::uint64_t m_term = 0;
    std::vector<std::string> m_ids;
    // Committed by a backend when another one had been promoted before.
    bool m_after_promote = false;
    std::string m_backend;
};
using commit_ptr = std::shared_ptr<commit>;

class service;

// One backend of a service.
class backend
{
public:
    backend(asio::io_context& loop, service& owner, std::string id,
            std::string zone, bool primary);
    [[nodiscard]] const std::string& id() const
    {
        return m_id;
    }
    [[nodiscard]] json entry() const;
    [[nodiscard]] std::uint64_t shown_number() const
    {
        return m_log.size();
    }

    bool m_primary;
    bool m_draining = false;
    std::uint64_t m_term = 1;
    std::vector<commit_ptr> m_log;
    std::optional<clock::time_point> m_sees_newer;

private:
    friend class service;
    struct connection;
    void accept();
    asio::io_context& m_loop;
    service& m_owner;
    std::string m_id;
    std::string m_zone;
    tcp::acceptor m_acceptor;
    std::int64_t m_born;
    std::uint64_t m_sequence = 0;
    std::size_t m_connections = 0;
};

// A service: a primary and its replicas, replicated after a delay.
class service
{
public:
    service(asio::io_context& loop, record& to, std::string name);
    backend& add(const std::string& id, const std::string& zone, bool primary);
    [[nodiscard]] backend* find(const std::string& id);
    bool promote(const std::string& id);
    // Replication and the old primary's end; call it often.
    void tick();

    const std::string m_name;
    ms m_lag{20};
    ms m_promote_time{1000};
    ms m_work{8};
    std::uint64_t m_term = 1;
    std::vector<std::unique_ptr<backend>> m_backends;
    // Each message that a backend got from a machine, as received.
    std::function<void(const std::string& backend, const std::string& line)>
        m_on_line;
    // Each commit with the statement that it answers.
    std::map<std::string, commit_ptr> m_commits;

private:
    friend class backend;
    struct pending
    {
        clock::time_point m_at;
        std::string m_id;
    };
    asio::io_context& m_loop;
    record& m_record;
    std::vector<pending> m_promoting;
    std::deque<std::pair<clock::time_point, std::size_t>> m_sent;
    clock::time_point m_promoted_at;
};

// A process of the system under review, started with its settings.
class entry_process
{
public:
    entry_process(std::string id, std::string zone, const std::string& folder,
                  unsigned short store, unsigned short duties,
                  const std::vector<std::string>& zones);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;
    // False when the program cannot be run.
    bool start();
    [[nodiscard]] bool runs();
    void signal(int number) const;
    void end();
    const std::string m_id;
    const std::string m_zone;
    unsigned short m_callers = 0;
    unsigned short m_ready = 0;

private:
    std::string m_settings;
    std::string m_log;
    int m_pid = -1;
};

unsigned short free_port();
std::string local(unsigned short port);

} // namespace review

#endif
