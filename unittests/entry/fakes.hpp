// Stand-ins for the links of an entry host, and hosts that share a store.
#ifndef MAGNOLIASTACK_UNITTESTS_ENTRY_FAKES_HPP
#define MAGNOLIASTACK_UNITTESTS_ENTRY_FAKES_HPP

#include "fake_store.hpp"

#include "magnoliastack/entry/host.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace entry_test
{

namespace base = magnoliastack::base;
namespace catalogue = magnoliastack::catalogue;
namespace entry = magnoliastack::entry;
namespace rpc = magnoliastack::rpc;

// What callers were answered, one word each: `row`, `done`, `err busy`,
// `ready I`.
struct fake_sessions final : rpc::session_link
{
    std::map<std::uint64_t, std::vector<std::string>> m_sent;
    // Text of each session's last error.
    std::map<std::uint64_t, std::string> m_texts;
    std::set<std::uint64_t> m_closed;

    void row(rpc::session_number session, std::string_view row) override
    {
        m_sent[session.value()].push_back("row " + std::string(row));
    }
    void done(rpc::session_number session, std::string_view signature) override
    {
        m_sent[session.value()].push_back(
            "done " + (signature.empty() ? "-" : std::string(signature)));
    }
    void failed(rpc::session_number session, rpc::statement_error error,
                std::string_view text) override
    {
        m_texts[session.value()] = std::string(text);
        m_sent[session.value()].push_back(std::string("err ") +
                                          rpc::to_string(error));
    }
    void ready(rpc::session_number session,
               rpc::transaction_state state) override
    {
        const char* names[] = {"ready I", "ready T", "ready E"};
        m_sent[session.value()].emplace_back(names[static_cast<int>(state)]);
    }
    void close(rpc::session_number session) override
    {
        m_closed.insert(session.value());
    }
    void close_between_operations(rpc::session_number session) override
    {
        close(session);
    }
    [[nodiscard]] bool has_output() const override
    {
        return m_has_output;
    }

    // A caller reads slowly.
    bool m_has_output = false;
};

// A request that an endpoint has received.
struct sent_request
{
    base::connection_generation m_connection;
    rpc::endpoint_request m_request;
};

// Connections to endpoints; the test answers.
struct fake_endpoints final : rpc::statement_link
{
    std::map<base::connection_generation, rpc::connection_target> m_open;
    std::vector<base::connection_generation> m_opening;
    std::deque<sent_request> m_requests;
    // Connections opened and requests sent, by endpoint.
    std::map<std::string, std::uint64_t> m_reached;

    void open(base::connection_generation connection,
              const rpc::connection_target& target) override
    {
        m_open[connection] = target;
        m_opening.push_back(connection);
        ++m_reached[target.m_endpoint.str()];
    }
    void send(base::connection_generation connection,
              const rpc::endpoint_request& request) override
    {
        m_requests.push_back({connection, request});
        if (const auto target = m_open.find(connection); target != m_open.end())
            ++m_reached[target->second.m_endpoint.str()];
    }
    void close(base::connection_generation connection) override
    {
        m_open.erase(connection);
        std::erase(m_opening, connection);
    }
};

// The platform's promotions.
struct fake_promotions final : rpc::promotion_link
{
    explicit fake_promotions(fake_platform& platform) : m_platform(platform)
    {
    }

    void promote(const base::group_id& /*group*/,
                 const base::endpoint_id& endpoint, const base::host_id& holder,
                 fencing_token token, base::instant /*latest*/,
                 std::function<void(base::result<bool>)> done) override
    {
        m_platform.m_promoted.push_back({endpoint, token, holder});
        m_done.push_back(std::move(done));
    }
    void run()
    {
        auto ended = std::exchange(m_done, {});
        for (auto& done : ended)
            done(true);
    }

    fake_platform& m_platform;
    std::vector<std::function<void(base::result<bool>)>> m_done;
};

// Datagrams on their way.
struct fake_datagrams final : rpc::datagram_link
{
    std::vector<std::pair<std::string, std::string>> m_sent;

    void send(const std::string& address, const std::string& bytes) override
    {
        m_sent.emplace_back(address, bytes);
    }
};

// One host with its links.
struct fake_host
{
    fake_host(const std::string& name, fake_platform& platform,
              fake_clock& clock, std::uint64_t incarnation = 1,
              const base::failure_domain_id& domain = {},
              rpc::forwarding_link* forwarding = nullptr)
        : fake_host(options(name, name + ":1", incarnation, domain), platform,
                    clock, forwarding)
    {
    }
    fake_host(entry::host_options options, fake_platform& platform,
              fake_clock& clock, rpc::forwarding_link* forwarding = nullptr)
        : m_address(options.m_fleet.m_address), m_store(platform, clock),
          m_promotions(platform),
          m_host(std::move(options),
                 {clock, m_sessions, m_endpoints, m_store, m_promotions,
                  m_datagrams, m_metrics, forwarding})
    {
    }

    static entry::host_options options(const std::string& name,
                                       const std::string& address,
                                       std::uint64_t incarnation,
                                       const base::failure_domain_id& domain)
    {
        entry::host_options result;
        result.m_fleet.m_self = base::host_id(name);
        result.m_fleet.m_incarnation = base::incarnation(incarnation);
        result.m_fleet.m_address = address;
        result.m_fleet.m_failure_domain = domain;
        result.m_runner.m_failure_domain = domain;
        return result;
    }

    std::string m_address;
    fake_sessions m_sessions;
    fake_endpoints m_endpoints;
    fake_store m_store;
    fake_promotions m_promotions;
    fake_datagrams m_datagrams;
    magnoliastack::metrics::registry m_metrics;
    // False cuts the host off from its peers.
    bool m_heard = true;
    entry::host m_host;
};

// Hosts before one group of three endpoints, with one organisation.
struct fleet_fixture
{
    explicit fleet_fixture(int hosts = 3)
    {
        auto config = std::make_shared<catalogue::configuration>();
        config->m_version = base::configuration_version(1);
        const base::group_id group("g");
        config->m_groups[group] = {group, 30};
        config->m_routes["stock"] = route(catalogue::consistency::bounded);
        config->m_routes["settle"] = route(catalogue::consistency::primary);
        config->m_routes["cuts"] =
            route(catalogue::consistency::read_your_writes);
        const base::organisation_id who("souq");
        config->m_keys["key-1"] = who;
        config->m_organisations[who] = {who, 1000, 1000};
        config->m_idle_transaction = absl::Seconds(3);
        m_platform.configure(config);
        for (const char* name : {"e0", "e1", "e2"})
        {
            catalogue::endpoint_entry item;
            item.m_id = base::endpoint_id(name);
            item.m_group = group;
            item.m_address = std::string(name) + ":5";
            // No host's own.
            item.m_failure_domain = base::failure_domain_id("far");
            item.m_slots = 3;
            item.m_primary = item.m_id.str() == "e0";
            m_platform.m_entries.push_back(item);
        }
        for (int index = 0; index < hosts; ++index)
            m_hosts.push_back(std::make_unique<fake_host>(
                "h" + std::to_string(index), m_platform, m_clock));
        run(absl::Seconds(2));
    }

    static catalogue::route route(catalogue::consistency consistency)
    {
        catalogue::route result;
        result.m_group = base::group_id("g");
        result.m_consistency = consistency;
        result.m_statement_timeout = absl::Seconds(1);
        result.m_max_staleness = absl::Milliseconds(1500);
        return result;
    }

    // Lets time pass in steps of 50 ms, with datagrams and store calls.
    void run(absl::Duration span)
    {
        for (absl::Duration passed; passed < span;
             passed += absl::Milliseconds(50))
        {
            m_clock.m_now = m_clock.m_now + absl::Milliseconds(50);
            for (auto& host : m_hosts)
                host->m_host.tick();
            exchange();
        }
    }

    void exchange()
    {
        for (auto& host : m_hosts)
        {
            host->m_store.run();
            host->m_promotions.run();
        }
        for (auto& from : m_hosts)
            for (const auto& [address, bytes] :
                 std::exchange(from->m_datagrams.m_sent, {}))
                for (auto& to : m_hosts)
                    if (to->m_address == address && to->m_heard &&
                        from->m_heard)
                        to->m_host.datagram_received(bytes);
    }

    // Puts a configuration in force with this rate and burst of the
    // organisation.
    void set_limits(double rate, double burst)
    {
        auto limited = std::make_shared<catalogue::configuration>(
            *m_platform.m_configuration);
        limited->m_version = base::configuration_version(
            m_platform.m_configuration->m_version.value() + 1);
        const base::organisation_id who("souq");
        limited->m_organisations[who] = {who, rate, burst};
        m_platform.configure(limited);
    }

    fake_host& host(std::size_t index)
    {
        return *m_hosts[index];
    }

    fake_clock m_clock;
    fake_platform m_platform;
    std::vector<std::unique_ptr<fake_host>> m_hosts;
};

} // namespace entry_test

#endif
