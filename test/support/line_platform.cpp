#include "line_platform.hpp"

#include "lines.hpp"
#include "process.hpp"

#include "absl/strings/escaping.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace magnoliastack::test
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using json = nlohmann::json;

// How long an unanswered watch of the stand-in lasts.
constexpr auto watch_wait = std::chrono::milliseconds(200);

std::string parameter(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

} // namespace

struct line_platform::state
{
    state()
        : m_store(m_loop, {asio::ip::address_v4::loopback(),
                           static_cast<unsigned short>(free_port())}),
          m_endpoint(m_loop, {asio::ip::address_v4::loopback(),
                              static_cast<unsigned short>(free_port())})
    {
        add_database("stock");
        put("servers", "e0", entry("primary"));
        accept(m_store, &state::serve_store);
        accept(m_endpoint, &state::serve_endpoint);
        m_acceptors = std::thread(
            [this]
            {
                m_loop.run();
            });
    }

    ~state()
    {
        asio::post(m_loop,
                   [this]
                   {
                       m_store.close();
                       m_endpoint.close();
                   });
        m_acceptors.join();
        {
            const std::lock_guard lock(m_mutex);
            for (auto& [socket, thread] : m_connections)
            {
                beast::error_code ignored;
                socket.shutdown(tcp::socket::shutdown_both, ignored);
            }
        }
        for (auto& [socket, thread] : m_connections)
            thread.join();
    }

    void add_database(const std::string& name)
    {
        m_routes.push_back({{"name", name},
                            {"host", name},
                            {"kind", "primary"},
                            {"timeout_ms", 1000},
                            {"service", "g"}});
        json configuration = json::parse(
            R"({"services":[{"name":"g","max_conns":10}],"limits":{},)"
            R"("tenants":[{"name":"souq","api_keys":["key-1"],)"
            R"("rate_per_s":100,"burst":100}]})");
        configuration["version"] = m_routes.size();
        configuration["routes"] = m_routes;
        put("op", "config", configuration.dump());
    }

    [[nodiscard]] std::string entry(const std::string& role) const
    {
        json fields = {
            {"service", "g"}, {"zone", "d"},       {"slots", 3},
            {"seq", 1},       {"state", "ready"},  {"born", 1},
            {"version", "4"}, {"cold_left_ms", 0}, {"db_role", role}};
        fields["addr"] =
            "127.0.0.1:" + std::to_string(m_endpoint.local_endpoint().port());
        return fields.dump();
    }

    void come_back()
    {
        m_rows = m_copy;
        m_version = m_copied_version;
        ++m_era;
    }

    void put(const std::string& table, const std::string& key,
             const std::string& value)
    {
        ++m_version;
        m_rows[table][key] = {{"table", table},
                              {"part", ""},
                              {"key", key},
                              {"value", absl::Base64Escape(value)},
                              {"ver", m_version}};
    }

    using server = void (state::*)(tcp::socket&);

    void accept(tcp::acceptor& acceptor, server serve)
    {
        acceptor.async_accept(
            [this, &acceptor, serve](const beast::error_code& error,
                                     tcp::socket socket)
            {
                if (error)
                    return;
                const std::lock_guard lock(m_mutex);
                auto& added = m_connections.emplace_back(std::move(socket),
                                                         std::thread());
                added.second = std::thread(
                    [this, &added, serve]
                    {
                        (this->*serve)(added.first);
                    });
                accept(acceptor, serve);
            });
    }

    void serve_store(tcp::socket& socket)
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
            http::response<http::string_body> answer;
            if (target.starts_with("/magnoliastack/rows-feed"))
                std::this_thread::sleep_for(watch_wait);
            answer.result(200);
            answer.body() = request.method() == http::verb::post
                                ? change(request.body())
                                : rows(target);
            if (answer.body().empty())
                answer.result(request.method() == http::verb::post ? 412 : 410);
            answer.set("Store-Era", std::to_string(m_era));
            answer.prepare_payload();
            http::write(socket, answer, error);
            if (error)
                return;
        }
    }

    // Empty when the history up to the version is gone.
    std::string rows(const std::string& target)
    {
        const std::lock_guard lock(m_mutex);
        const std::string after = parameter(target, "after");
        const std::uint64_t from = after.empty() ? 0 : std::stoull(after);
        if (from > m_version)
            return {};
        json found = json::array();
        for (const auto& [key, row] : m_rows[parameter(target, "table")])
            if (row.at("ver").get<std::uint64_t>() > from)
                found.push_back(row);
        return answer({{"rows", found}, {"more_pages", false}});
    }

    // Empty when an expected version was wrong.
    std::string change(const std::string& body)
    {
        const std::lock_guard lock(m_mutex);
        const json asked = json::parse(body);
        for (const auto& expected : asked.at("expect_rev"))
        {
            const auto& table = m_rows[expected.at("table")];
            const auto row = table.find(expected.at("key"));
            const std::uint64_t present =
                row == table.end() ? 0
                                   : row->second.at("ver").get<std::uint64_t>();
            if (present != expected.at("ver").get<std::uint64_t>())
                return {};
        }
        ++m_version;
        for (auto row : asked.at("writes"))
        {
            row["ver"] = m_version;
            m_rows[row.at("table")][row.at("key")] = row;
        }
        return answer({});
    }

    std::string answer(json document)
    {
        document["ver"] = m_version;
        document["now_ms"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now().time_since_epoch())
                .count();
        return document.dump();
    }

    void serve_endpoint(tcp::socket& socket)
    {
        asio::streambuf buffer;
        beast::error_code error;
        while (true)
        {
            const auto size = asio::read_until(socket, buffer, "\r\n", error);
            if (error)
                return;
            const std::string line = take_line(buffer, size);
            std::string row;
            {
                const std::lock_guard lock(m_mutex);
                m_received.push_back(line);
                row = m_row;
            }
            std::string reply = "READY I 1.10\r\n";
            if (line.find(" READ ") != std::string::npos)
                reply = "ROW " + row + "\r\nDONE sig-1\r\n" + reply;
            else if (line.starts_with("QUERY"))
                reply = "DONE -\r\n" + reply;
            asio::write(socket, asio::buffer(reply), error);
        }
    }

    asio::io_context m_loop;
    tcp::acceptor m_store;
    tcp::acceptor m_endpoint;
    std::thread m_acceptors;
    std::mutex m_mutex;
    std::list<std::pair<tcp::socket, std::thread>> m_connections;
    std::map<std::string, std::map<std::string, json>> m_rows;
    std::uint64_t m_version = 0;
    json m_routes = json::array();
    std::map<std::string, std::map<std::string, json>> m_copy;
    std::uint64_t m_copied_version = 0;
    std::atomic<std::uint64_t> m_era = 1;
    std::vector<std::string> m_received;
    std::string m_row = "pearl";
};

line_platform::line_platform() : m_state(std::make_unique<state>())
{
}

line_platform::~line_platform() = default;

std::string line_platform::store_address() const
{
    return "127.0.0.1:" +
           std::to_string(m_state->m_store.local_endpoint().port());
}

void line_platform::add_database(const std::string& name)
{
    const std::lock_guard lock(m_state->m_mutex);
    m_state->add_database(name);
}

void line_platform::keep_copy()
{
    const std::lock_guard lock(m_state->m_mutex);
    m_state->m_copy = m_state->m_rows;
    m_state->m_copied_version = m_state->m_version;
}

void line_platform::come_back_with_database(const std::string& name)
{
    constexpr int other_writes = 20;
    const std::lock_guard lock(m_state->m_mutex);
    m_state->come_back();
    m_state->add_database(name);
    for (int count = 0; count < other_writes; ++count)
        m_state->put("other", "row", "");
}

void line_platform::put_entry(const std::string& key, const std::string& text)
{
    const std::lock_guard lock(m_state->m_mutex);
    m_state->put("servers", key, text);
}

std::string line_platform::replica_entry() const
{
    return m_state->entry("replica");
}

void line_platform::set_row(const std::string& row)
{
    const std::lock_guard lock(m_state->m_mutex);
    m_state->m_row = row;
}

std::vector<std::string> line_platform::fleet_keys() const
{
    const std::lock_guard lock(m_state->m_mutex);
    std::vector<std::string> keys;
    for (const auto& [key, row] : m_state->m_rows["magnolia-fleet"])
        keys.push_back(key);
    return keys;
}

std::vector<std::string> line_platform::endpoint_received() const
{
    const std::lock_guard lock(m_state->m_mutex);
    return m_state->m_received;
}

} // namespace magnoliastack::test
