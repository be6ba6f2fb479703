// Entries of another writer among those of the endpoints, read by
// magnolia-entry and passed on between its hosts.
#include "support/line_platform.hpp"
#include "support/process.hpp"

#include "absl/strings/str_cat.h"

#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

namespace
{

namespace test = magnoliastack::test;
using boost::asio::ip::tcp;
using json = nlohmann::json;

// Longest time that anything here may take on a loaded machine. Hosts of a
// large fleet that are told nothing read the entries themselves after 30 s or
// more.
constexpr auto patience = std::chrono::seconds(20);
// More hosts than read the store themselves.
constexpr int large_fleet = 18;

// Hosts with one platform, each at a loopback address of its own.
class entry_fleet
{
public:
    explicit entry_fleet(int hosts)
        : m_callers(test::free_port()), m_probe(test::free_port()),
          m_peers(test::free_port()), m_metrics(test::free_port())
    {
        for (int host = 0; host < hosts; ++host)
            start(host);
    }

    ~entry_fleet()
    {
        m_processes.clear();
        for (int host = 0; host < size(); ++host)
        {
            std::remove(m_logs[host].c_str());
            std::remove(settings(host).c_str());
        }
    }

    entry_fleet(const entry_fleet&) = delete;
    entry_fleet& operator=(const entry_fleet&) = delete;

    [[nodiscard]] int size() const
    {
        return static_cast<int>(m_logs.size());
    }

    [[nodiscard]] static std::string address(int host)
    {
        return absl::StrCat("127.0.1.", host + 1);
    }

    [[nodiscard]] std::string log(int host) const
    {
        std::stringstream all;
        all << std::ifstream(m_logs[host]).rdbuf();
        return all.str();
    }

    // Waits until the condition holds for every host.
    [[nodiscard]] bool wait_for(const std::function<bool(int)>& holds) const
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        for (int host = 0; host < size(); ++host)
            while (!holds(host))
            {
                if (std::chrono::steady_clock::now() >= end)
                    return false;
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
        return true;
    }

    [[nodiscard]] bool
    holds_for_any(const std::function<bool(int)>& holds) const
    {
        for (int host = 0; host < size(); ++host)
            if (holds(host))
                return true;
        return false;
    }

    // Waits until the logs of all hosts have the text.
    [[nodiscard]] bool all_log(const std::string& text) const
    {
        return wait_for(
            [&](int host)
            {
                return log(host).find(text) != std::string::npos;
            });
    }

    // Waits until a caller is served by every host.
    [[nodiscard]] bool all_serve() const
    {
        return wait_for(
            [this](int host)
            {
                tcp::iostream caller(address(host), std::to_string(m_callers));
                caller << "START stock key-1\r\nQUERY 1 WRITE a b\r\n"
                       << std::flush;
                std::string line;
                while (std::getline(caller, line))
                    if (!line.starts_with("READY"))
                        return line.starts_with("DONE");
                return false;
            });
    }

    // The lines of a host's metrics.
    [[nodiscard]] std::string metrics(int host) const
    {
        tcp::iostream stream(address(host), std::to_string(m_metrics));
        stream << "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
               << "\r\n"
               << std::flush;
        std::stringstream all;
        all << stream.rdbuf();
        return all.str();
    }

    // No process has ended.
    [[nodiscard]] bool all_run() const
    {
        for (const auto& item : m_processes)
            if (!item->runs())
                return false;
        return true;
    }

    test::line_platform m_platform;

private:
    [[nodiscard]] std::string settings(int host) const
    {
        return absl::StrCat("odd_entry_", m_callers, "_", host, ".ini");
    }

    void start(int host)
    {
        m_logs.push_back(
            absl::StrCat("odd_entry_", m_callers, "_", host, ".log"));
        const std::string at = address(host) + ":";
        std::ofstream(settings(host))
            << "[host]\nid = h" << host << "\nfailure_domain = d"
            << "\n[listen]\ncallers = " << at << m_callers << "\nprobe = " << at
            << m_probe << "\npeers = " << at << m_peers << "\nmetrics = " << at
            << m_metrics
            << "\n[platform]\nstore = " << m_platform.store_address()
            << "\nduties = " << m_platform.store_address() << "\n";
        m_processes.push_back(std::make_unique<test::process>(
            "magnolia-entry",
            std::vector<std::string>{"--settings", settings(host)},
            m_logs.back()));
    }

    int m_callers;
    int m_probe;
    int m_peers;
    int m_metrics;
    std::vector<std::string> m_logs;
    std::vector<std::unique_ptr<test::process>> m_processes;
};

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

// The good entry with one field replaced by the text.
std::string with_field(const std::string& good, const std::string& field,
                       const std::string& text)
{
    const json fields = json::parse(good);
    std::string entry = "{";
    for (const auto& [name, value] : fields.items())
        absl::StrAppend(&entry, entry.size() > 1 ? "," : "", "\"", name,
                        "\":", name == field ? text : value.dump());
    return entry + "}";
}

const std::vector<std::string> text_fields = {"service", "addr",    "zone",
                                              "state",   "db_role", "version"};
const std::vector<std::string> number_fields = {"slots", "seq", "born",
                                                "cold_left_ms"};

// Entries that name no endpoint to use, each with a name that tells its kind. A
// row of the store holds 64 KB.
std::vector<std::pair<std::string, std::string>>
odd_entries(const std::string& good)
{
    constexpr std::size_t depth = 30'000;
    const std::vector<std::string> too_large = {
        "1e400",      "-1e400",
        "1e300",      "18446744073709551616",
        "-1",         "9223372036854775808",
        "1e25",       "18446744073709551615",
        "-4294967295"};
    std::vector<std::pair<std::string, std::string>> odd;
    odd.emplace_back("nested", nested(depth));
    odd.emplace_back("open", std::string(2 * depth, '['));
    odd.emplace_back("open-objects",
                     []
                     {
                         std::string text;
                         for (std::size_t level = 0; level < depth / 3; ++level)
                             text += R"({"a":)";
                         return text;
                     }());
    odd.emplace_back("no-text", std::string("\xff\xfe\x00", 3));
    for (const auto* fields : {&text_fields, &number_fields})
        for (const auto& field : *fields)
        {
            odd.emplace_back("nested-" + field,
                             with_field(good, field, nested(depth)));
            odd.emplace_back("null-" + field, with_field(good, field, "null"));
            odd.emplace_back("number-" + field,
                             with_field(good, field, "1e400"));
        }
    for (const auto& field : number_fields)
    {
        odd.emplace_back("text-" + field, with_field(good, field, "\"3\""));
        for (const auto& number : too_large)
            odd.emplace_back("large-" + field + number,
                             with_field(good, field, number));
    }
    for (const char* number : {"0", "4294967296", "4294967297"})
        odd.emplace_back(absl::StrCat("slots-", number),
                         with_field(good, "slots", number));
    odd.emplace_back("cold-4294967296",
                     with_field(good, "cold_left_ms", "4294967296"));
    for (const char* port : {"65536", "65537", "0", "-1", "", "x",
                             "99999999999999999999", "80:80", "8 0"})
        odd.emplace_back(
            absl::StrCat("port-", port),
            with_field(good, "addr", absl::StrCat("\"127.0.0.1:", port, "\"")));
    for (const std::string field :
         {"service", "addr", "zone", "state", "db_role"})
    {
        odd.emplace_back(
            "long-" + field,
            with_field(good, field,
                       absl::StrCat("\"", std::string(60'000, 'x'), "\"")));
        odd.emplace_back("line-" + field,
                         with_field(good, field, R"("g\r\nQUIT")"));
        odd.emplace_back("empty-" + field, with_field(good, field, "\"\""));
    }
    return odd;
}

// A key that would be a message of its own to an endpoint.
const std::string odd_key = "e0\r\nQUERY z1 WRITE 9c9 forged";

// Every host passes over the odd entries, goes on with the others and follows
// what changes after them.
void check_odd_entries(entry_fleet& fleet)
{
    const std::string good = fleet.m_platform.replica_entry();
    cr_assert(fleet.all_serve(), "the fleet does not start");
    const auto odd = odd_entries(good);
    for (const auto& [name, text] : odd)
        fleet.m_platform.put_entry("odd-" + name, text);
    fleet.m_platform.put_entry(odd_key, good);
    fleet.m_platform.put_entry("e9", good);
    cr_assert(fleet.all_log("event=endpoint_added endpoint=e9 "),
              "a host does not follow the entries any more");
    cr_assert(fleet.all_serve(), "a host does not serve any more");
    cr_assert(fleet.all_run(), "a process has ended");
    for (int host = 0; host < fleet.size(); ++host)
    {
        const std::string log = fleet.log(host);
        for (const auto& [name, text] : odd)
            cr_expect_eq(log.find("endpoint=odd-" + name + " "),
                         std::string::npos, "%s is used", name.c_str());
        cr_expect_eq(log.find("endpoint=\"e0"), std::string::npos,
                     "a key with a line end is used");
    }
    for (const auto& line : fleet.m_platform.endpoint_received())
        cr_expect_not(line.starts_with("QUERY z1"), "a key became a message");
    for (const auto& key : fleet.m_platform.fleet_keys())
        cr_expect(!key.starts_with("group/") || key == "group/g",
                  "a group that no configuration names was claimed: %s",
                  key.substr(0, 40).c_str());
}

} // namespace

// Other operators saw machines that ended again and again, or followed the
// list no more, after another writer had left one odd entry in it.
Test(odd_entry, a_host_passes_over_entries_of_another_writer)
{
    entry_fleet fleet(1);
    check_odd_entries(fleet);
}

// The same where two hosts read the list and pass it on: what one of them takes
// for an endpoint must not keep the others from the rest of the list.
Test(odd_entry, hosts_that_are_told_the_list_pass_over_them_too)
{
    entry_fleet fleet(large_fleet);
    check_odd_entries(fleet);
    cr_assert(fleet.holds_for_any(
                  [&fleet](int host)
                  {
                      return fleet.metrics(host).find(
                                 "magnolia_endpoints_told_by_peer_total") !=
                             std::string::npos;
                  }),
              "no host was told the list by another one");
}
