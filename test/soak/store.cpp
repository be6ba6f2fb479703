#include "store.hpp"

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace magnoliastack::soak
{
namespace
{

namespace http = boost::beast::http;
using error_code = boost::system::error_code;
using json = nlohmann::json;

constexpr std::chrono::milliseconds answer_time{4};
constexpr std::chrono::milliseconds late_by{1500};
constexpr std::uint64_t longest_wait_ms = 30'000;
constexpr std::chrono::milliseconds copy_interval{250};
constexpr std::chrono::seconds oldest_copy{10};

const auto loopback = asio::ip::address_v4::loopback();

std::string parameter(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

std::uint64_t number(const std::string& target, const std::string& name)
{
    const std::string text = parameter(target, name);
    return text.empty() ? 0 : std::stoull(text);
}

std::uint64_t now_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            clock::now().time_since_epoch())
            .count());
}

} // namespace

// One connection of a host; requests come one after the other.
struct store::connection : std::enable_shared_from_this<connection>
{
    connection(store& owner, std::size_t host, tcp::socket socket)
        : m_owner(owner), m_host(host), m_socket(std::move(socket)),
          m_timer(owner.m_loop)
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
                    self->received();
            });
    }

    void received()
    {
        switch (m_owner.m_moods[m_host])
        {
        case store_mood::serving:
            after(answer_time + m_owner.m_slowness, &connection::serve);
            return;
        case store_mood::busy:
            answer(503, "");
            return;
        case store_mood::reset:
            drop();
            return;
        case store_mood::silent:
            // The client's time-out ends it.
            read_end();
            return;
        }
    }

    void after(std::chrono::milliseconds time, void (connection::*next)())
    {
        m_timer.expires_after(time);
        m_timer.async_wait(
            [self = shared_from_this(), next](error_code error)
            {
                if (!error && self->m_socket.is_open())
                    ((*self).*next)();
            });
    }

    void serve()
    {
        const std::string target(m_request.target());
        if (absl::StrContains(target, "/rows-feed"))
            watch();
        else if (absl::StrContains(target, "/rows-get"))
            answer(200, m_owner
                            .envelope(m_owner.rows(parameter(target, "table"),
                                                   0, m_host))
                            .dump());
        else if (absl::StrContains(target, "/rows-tx"))
            change();
        else if (target == "/promote")
            promote();
        else
            answer(404, "");
    }

    void watch()
    {
        const std::string target(m_request.target());
        const auto wait = std::min(number(target, "wait_ms"), longest_wait_ms);
        if (answer_watch() || wait == 0)
            return;
        m_watching = true;
        m_owner.m_watchers.push_back(weak_from_this());
        after(std::chrono::milliseconds(wait), &connection::end_watch);
    }

    // True when there was something to tell, or nothing to wait for.
    bool answer_watch()
    {
        const std::string target(m_request.target());
        if (number(target, "after") > m_owner.m_version)
        {
            m_watching = false;
            answer(410, "");
            return true;
        }
        json rows = m_owner.rows(parameter(target, "table"),
                                 number(target, "after"), m_host);
        if (rows.empty() && number(target, "wait_ms") > 0)
            return false;
        m_watching = false;
        answer(200, m_owner.envelope(std::move(rows)).dump());
        return true;
    }

    void end_watch()
    {
        if (std::exchange(m_watching, false))
            answer(200, m_owner.envelope(json::array()).dump());
    }

    void change()
    {
        const double draw = (m_owner.m_draws++ * 37 % 100) / 100.0;
        const json asked = json::parse(m_request.body());
        if (draw < m_owner.m_late_part)
        {
            m_timer.expires_after(late_by);
            m_timer.async_wait(
                [self = shared_from_this(), asked](error_code)
                {
                    json ignored;
                    self->m_owner.change(asked, self->m_host, ignored);
                    self->drop();
                });
            return;
        }
        json reply;
        const bool applied = m_owner.change(asked, m_host, reply);
        if (draw < m_owner.m_late_part + m_owner.m_lost_part)
        {
            read_end();
            return;
        }
        answer(applied ? 200 : 412, reply.dump());
    }

    void promote()
    {
        const json asked = json::parse(m_request.body());
        m_owner.m_judge.promoted(
            std::string(m_request["Magnoliastack-Duty-Holder"]),
            std::stoull(std::string(m_request["Magnoliastack-Fence-Token"])));
        const bool runs =
            m_owner.m_promote(asked.at("service"), asked.at("id"));
        answer(runs ? 200 : 409, "{}");
    }

    void answer(unsigned status, std::string body)
    {
        m_answer = {};
        m_answer.result(status);
        m_answer.set("Store-Era", std::to_string(m_owner.m_era));
        m_answer.body() = std::move(body);
        m_answer.prepare_payload();
        http::async_write(
            m_socket, m_answer,
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (!error)
                    self->read();
            });
    }

    // Waits until the client gives up.
    void read_end()
    {
        m_socket.async_wait(tcp::socket::wait_read,
                            [self = shared_from_this()](error_code) {});
    }

    void drop()
    {
        error_code ignored;
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }

    store& m_owner;
    std::size_t m_host;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_answer;
    bool m_watching = false;
};

store::store(asio::io_context& loop, checker& judge, std::size_t hosts,
             address_of address, peer_port_of peer_port, promote_call promote)
    : m_loop(loop), m_judge(judge), m_address(std::move(address)),
      m_peer_port(std::move(peer_port)), m_promote(std::move(promote)),
      m_moods(hosts, store_mood::serving)
{
    for (std::size_t host = 0; host < hosts; ++host)
    {
        m_acceptors.push_back(std::make_unique<tcp::acceptor>(
            m_loop, tcp::endpoint(loopback, 0)));
        accept(host);
    }
}

store::~store() = default;

unsigned short store::port(std::size_t host) const
{
    return m_acceptors[host]->local_endpoint().port();
}

void store::accept(std::size_t host)
{
    m_acceptors[host]->async_accept(
        [this, host](error_code error, tcp::socket socket)
        {
            if (error)
                return;
            std::make_shared<connection>(*this, host, std::move(socket))
                ->read();
            accept(host);
        });
}

json store::rows(const std::string& table, std::uint64_t after,
                 std::size_t host) const
{
    json result = json::array();
    const auto found = m_rows.find(table);
    if (found == m_rows.end())
        return result;
    for (const auto& [key, row] : found->second)
    {
        if (row.at("ver").get<std::uint64_t>() <= after ||
            (after == 0 && row.contains("removed")))
            continue;
        result.push_back(shown(row, host));
    }
    return result;
}

json store::shown(const json& row, std::size_t host) const
{
    const std::string key = row.at("key");
    const auto known = m_endpoints.find(key);
    const bool is_member = absl::StartsWith(key, "member/");
    if (!is_member && known == m_endpoints.end())
        return row;
    std::string text;
    absl::Base64Unescape(row.at("value").get<std::string>(), &text);
    json value = json::parse(text);
    if (is_member)
        value["address"] = absl::StrCat(
            "127.0.0.1:", m_peer_port(key.substr(key.find('/') + 1)));
    else
        value["addr"] =
            absl::StrCat("127.0.0.1:", m_address(host, *known->second));
    json result = row;
    result["value"] = absl::Base64Escape(value.dump());
    return result;
}

json store::envelope(json rows) const
{
    return {{"rows", std::move(rows)},
            {"more_pages", false},
            {"ver", m_version},
            {"now_ms", now_ms()}};
}

bool store::change(const json& asked, std::size_t host, json& answer)
{
    json present = json::array();
    bool right = true;
    for (const auto& expected : asked.at("expect_rev"))
    {
        const auto& table = m_rows[expected.at("table")];
        const auto row = table.find(expected.at("key").get<std::string>());
        const bool there = row != table.end();
        const std::uint64_t version =
            there ? row->second.at("ver").get<std::uint64_t>() : 0;
        if (there)
            present.push_back(shown(row->second, host));
        right = right && version == expected.at("ver").get<std::uint64_t>();
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
                          {"value", absl::Base64Escape(value)},
                          {"ver", m_version}};
    notify();
}

void store::remove(const std::string& table, const std::string& key)
{
    const auto found = m_rows[table].find(key);
    if (found == m_rows[table].end() || found->second.contains("removed"))
        return;
    found->second.erase("value");
    found->second["removed"] = true;
    found->second["ver"] = ++m_version;
    notify();
}

void store::notify()
{
    const auto watchers = std::exchange(m_watchers, {});
    for (const auto& item : watchers)
    {
        const auto live = item.lock();
        if (live && live->m_watching && !live->answer_watch())
            m_watchers.push_back(item);
    }
}

void store::configure(json configuration)
{
    configuration["version"] = ++m_configuration_version;
    m_configuration = configuration.dump();
    put("op", "config", m_configuration);
}

void store::evacuate(const std::string& domain)
{
    m_evacuated[domain] = true;
    put("op", absl::StrCat("evacuate/", domain), "{}");
}

void store::cancel_evacuation(const std::string& domain)
{
    m_evacuated[domain] = false;
    remove("op", absl::StrCat("evacuate/", domain));
}

void store::write_operator_rows()
{
    put("op", "config", m_configuration);
    for (const auto& [domain, evacuated] : m_evacuated)
        if (evacuated)
            evacuate(domain);
        else
            cancel_evacuation(domain);
}

void store::keep_copy()
{
    const auto now = clock::now();
    if (!m_copies.empty() && now - m_copies.back().m_at < copy_interval)
        return;
    m_copies.push_back({now, m_version, m_rows});
    if (now - m_copies.front().m_at > oldest_copy)
        m_copies.pop_front();
}

void store::come_back(std::chrono::milliseconds age)
{
    const auto before = clock::now() - age;
    while (m_copies.size() > 1 && m_copies.back().m_at > before)
        m_copies.pop_back();
    if (m_copies.empty())
        return;
    m_version = m_copies.back().m_version;
    m_rows = m_copies.back().m_rows;
    ++m_era;
    for (const auto& item : std::exchange(m_watchers, {}))
        if (const auto live = item.lock())
            live->drop();
    write_operator_rows();
}

void store::set_entry(const endpoint& what, const std::string& group,
                      std::uint64_t sequence)
{
    m_endpoints[what.id()] = &what;
    const json entry = {{"service", group},
                        {"zone", what.domain()},
                        {"slots", 5},
                        {"state", what.m_leaving ? "draining" : "ready"},
                        {"db_role", what.m_primary ? "primary" : "replica"},
                        {"seq", sequence},
                        {"born", what.m_started_ms},
                        {"addr", ""}};
    put("servers", what.id(), entry.dump());
}

void store::remove_entry(const endpoint& what)
{
    if (m_rows["servers"].erase(what.id()) > 0)
        ++m_version;
}

void store::set_mood(std::size_t host, store_mood mood)
{
    m_moods[host] = mood;
}

bool store::is_calm() const
{
    return m_slowness.count() == 0 && m_lost_part == 0 && m_late_part == 0 &&
           std::all_of(m_moods.begin(), m_moods.end(),
                       [](store_mood mood)
                       {
                           return mood == store_mood::serving;
                       });
}

} // namespace magnoliastack::soak
