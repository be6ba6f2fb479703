// The store's client against a table of more rows than one answer holds.
#include "platform/row_store.hpp"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

using namespace magnoliastack::platform;
namespace asio = boost::asio;
namespace base = magnoliastack::base;
namespace http = boost::beast::http;
namespace rpc = magnoliastack::rpc;
using asio::ip::tcp;

namespace
{

constexpr std::size_t largest_page = 500;

// Answers reads of one table, a page at a time.
class paged_store
{
public:
    paged_store(asio::io_context& loop, std::size_t rows)
        : m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          m_socket(loop)
    {
        for (std::size_t row = 0; row < rows; ++row)
            m_rows[absl::StrCat("i-", 10000 + row)] = entry(row);
        start();
    }

    paged_store(asio::io_context& loop, const std::vector<std::string>& keys)
        : m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          m_socket(loop)
    {
        for (const auto& key : keys)
            m_rows[key] = entry(0);
        start();
    }

    [[nodiscard]] tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }
    [[nodiscard]] std::size_t reads() const
    {
        return m_reads;
    }

private:
    void start()
    {
        m_acceptor.async_accept(m_socket,
                                [this](const boost::system::error_code& error)
                                {
                                    if (!error)
                                        read();
                                });
    }

    // The text of a query's value.
    static std::string decoded(const std::string& text)
    {
        std::string result;
        for (std::size_t at = 0; at < text.size(); ++at)
        {
            if (text[at] != '%')
            {
                result.push_back(text[at]);
                continue;
            }
            result += absl::HexStringToBytes(text.substr(at + 1, 2));
            at += 2;
        }
        return result;
    }

    static std::string entry(std::size_t row)
    {
        const nlohmann::json fields = {
            {"service", absl::StrCat("ledger-", row / 3)},
            {"addr", "10.0.0.1:5000"},
            {"zone", "sohar"},
            {"slots", 4},
            {"state", "ready"},
            {"db_role", row % 3 == 0 ? "primary" : "replica"},
            {"seq", 1},
            {"born", 1700000000000}};
        return fields.dump();
    }

    void read()
    {
        m_request = {};
        http::async_read(m_socket, m_buffer, m_request,
                         [this](const boost::system::error_code& error,
                                std::size_t /*bytes*/)
                         {
                             if (!error)
                                 answer();
                         });
    }

    void answer()
    {
        ++m_reads;
        const std::string target(m_request.target());
        const auto from = target.find("&from=");
        const std::string first =
            from == std::string::npos
                ? ""
                : decoded(target.substr(from + 6,
                                        target.find('&', from + 1) - from - 6));
        nlohmann::json page = {{"ver", 40}, {"now_ms", 9000 + m_reads}};
        page["rows"] = nlohmann::json::array();
        auto row = m_rows.lower_bound(first);
        for (; row != m_rows.end() && page["rows"].size() < largest_page; ++row)
            page["rows"].push_back(
                {{"key", row->first},
                 {"ver", 7},
                 {"value", absl::Base64Escape(row->second)}});
        page["more_pages"] = row != m_rows.end();
        m_response = {http::status::ok, 11};
        m_response.body() = page.dump();
        m_response.prepare_payload();
        http::async_write(m_socket, m_response,
                          [this](const boost::system::error_code& error,
                                 std::size_t /*bytes*/)
                          {
                              if (!error)
                                  read();
                          });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
    std::map<std::string, std::string> m_rows;
    std::size_t m_reads = 0;
};

// Answers reads of tables and no watch, at any number of connections.
class store_without_watches
{
public:
    explicit store_without_watches(asio::io_context& loop)
        : m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    [[nodiscard]] tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }

private:
    struct connection : std::enable_shared_from_this<connection>
    {
        explicit connection(tcp::socket socket) : m_socket(std::move(socket))
        {
        }

        void read()
        {
            m_request = {};
            http::async_read(m_socket, m_buffer, m_request,
                             [self = shared_from_this()](
                                 const boost::system::error_code& error,
                                 std::size_t /*bytes*/)
                             {
                                 if (!error)
                                     self->answer();
                             });
        }

        void answer()
        {
            if (m_request.target().find("/rows-feed") != std::string::npos)
            {
                m_socket.async_wait(
                    tcp::socket::wait_read,
                    [self = shared_from_this()](
                        const boost::system::error_code& /*error*/) {});
                return;
            }
            m_response = {http::status::ok, 11};
            m_response.body() = R"({"ver":40,"now_ms":9000,"rows":[]})";
            m_response.prepare_payload();
            http::async_write(m_socket, m_response,
                              [self = shared_from_this()](
                                  const boost::system::error_code& error,
                                  std::size_t /*bytes*/)
                              {
                                  if (!error)
                                      self->read();
                              });
        }

        tcp::socket m_socket;
        boost::beast::flat_buffer m_buffer;
        http::request<http::string_body> m_request;
        http::response<http::string_body> m_response;
    };

    void accept()
    {
        m_acceptor.async_accept(
            [this](const boost::system::error_code& error, tcp::socket socket)
            {
                if (error)
                    return;
                std::make_shared<connection>(std::move(socket))->read();
                accept();
            });
    }

    tcp::acceptor m_acceptor;
};

// Answers every request with the same rows.
class fixed_store
{
public:
    fixed_store(asio::io_context& loop, const nlohmann::json& rows)
        : m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          m_socket(loop)
    {
        const nlohmann::json page = {
            {"ver", 40}, {"now_ms", 9000}, {"rows", rows}};
        m_response.body() = page.dump();
        m_response.set("Store-Era", "3");
        m_response.prepare_payload();
        m_acceptor.async_accept(m_socket,
                                [this](const boost::system::error_code& error)
                                {
                                    if (!error)
                                        read();
                                });
    }

    [[nodiscard]] tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }

private:
    void read()
    {
        http::async_read(m_socket, m_buffer, m_request,
                         [this](const boost::system::error_code& error,
                                std::size_t /*bytes*/)
                         {
                             if (!error)
                                 http::async_write(
                                     m_socket, m_response,
                                     [](const boost::system::error_code&,
                                        std::size_t /*bytes*/) {});
                         });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response{http::status::ok, 11};
};

} // namespace

// The watch of the operator's table dropped every key but the configuration's,
// and rows that were removed.
Test(row_store, evacuations_and_their_removals_come_with_the_watch)
{
    asio::io_context loop;
    fixed_store server(
        loop, {{{"key", "evacuate/sohar"}, {"ver", 38}, {"value", "e30="}},
               {{"key", "evacuate/adam"}, {"ver", 39}, {"removed", true}},
               {{"key", "evacuate/"}, {"ver", 39}, {"value", "e30="}},
               {{"key", "other"}, {"ver", 40}, {"value", "e30="}}});
    row_store store(loop, server.address());
    rpc::operator_rows rows;
    store.watch_operator_rows(
        rpc::row_version(30), absl::Seconds(1), absl::Seconds(5),
        [&](const base::result<rpc::operator_rows>& result)
        {
            cr_assert(result.has_value());
            rows = *result;
            loop.stop();
        });
    loop.run();
    cr_assert_not(rows.m_whole);
    cr_assert_eq(rows.m_era.value(), 3);
    cr_assert_eq(rows.m_version.value(), 40);
    cr_assert(rows.m_configurations.empty());
    cr_assert_eq(rows.m_evacuations.size(), 2);
    cr_assert_eq(rows.m_evacuations[0].m_domain.str(), "sohar");
    cr_assert_eq(rows.m_evacuations[0].m_version.value(), 38);
    cr_assert_not(rows.m_evacuations[0].m_removed);
    cr_assert_eq(rows.m_evacuations[1].m_domain.str(), "adam");
    cr_assert(rows.m_evacuations[1].m_removed);
}

// The sweep at 100 hosts: only the first 500 endpoints were known, and callers
// of the other groups were refused.
Test(row_store, all_pages_of_the_endpoints_are_read)
{
    constexpr std::size_t rows = 1203;
    asio::io_context loop;
    paged_store server(loop, rows);
    row_store store(loop, server.address());
    std::size_t known = 0;
    rpc::store_instant at;
    store.read_endpoints(
        absl::Seconds(5),
        [&](const base::result<
            rpc::changes<magnoliastack::catalogue::endpoint_entry>>& result)
        {
            cr_assert(result.has_value());
            known = result->m_rows.size();
            at = result->m_at;
            loop.stop();
        });
    loop.run();
    cr_assert_eq(known, rows);
    cr_assert_eq(server.reads(), 3);
    cr_assert_eq(at.value(), 9001, "what changed later is not known");
}

// A key went into the next request as it was, so that an odd one at the end of
// a page ended the request, changed its limit or began another, and no host
// could read the endpoints any more.
Test(row_store,
     a_key_with_any_byte_does_not_break_the_request_for_the_next_page)
{
    for (const std::string odd :
         {"i-1 b", "i-1&limit=1", "i-1#x", "i-1%41", "i-1+b", "i-1?table=op",
          "i-1\r\nX: y\r\n\r\nGET / HTTP/1.1", "i-1\n", "i-1\xc3\xa9"})
    {
        std::vector<std::string> keys = {odd, odd + " ", odd + "!", "j-1"};
        for (std::size_t row = 0; row + 1 < largest_page; ++row)
            keys.push_back(absl::StrCat("a-", 10000 + row));
        asio::io_context loop;
        paged_store server(loop, keys);
        row_store store(loop, server.address());
        std::size_t known = 0;
        store.read_fleet(
            absl::Seconds(5),
            [&](const base::result<rpc::changes<rpc::fleet_row>>& result)
            {
                cr_assert(result.has_value(), "after the key %s", odd.c_str());
                known = result->m_rows.size();
                loop.stop();
            });
        loop.run();
        cr_assert_eq(known, keys.size(), "after the key %s", odd.c_str());
    }
}

// The rows are read anew after a return of the store while a watch may be
// running on a connection that has gone silent.
Test(row_store, a_whole_read_does_not_wait_behind_a_silent_watch)
{
    constexpr absl::Duration longest = absl::Seconds(30);
    asio::io_context loop;
    const store_without_watches server(loop);
    row_store store(loop, server.address());
    bool watch_ended = false;
    bool read_ended = false;
    store.watch_fleet(rpc::row_version(5), longest, longest,
                      [&](const auto& /*result*/)
                      {
                          watch_ended = true;
                      });
    store.read_fleet(longest,
                     [&](const auto& result)
                     {
                         read_ended = result.has_value();
                         loop.stop();
                     });
    loop.run();
    cr_assert(read_ended);
    cr_assert_not(watch_ended);
}
