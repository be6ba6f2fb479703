// What a host costs in fleets of several sizes: calls of the store, datagrams
// and processor time may not grow with the number of hosts.
#include "driver.hpp"

#include "absl/container/flat_hash_map.h"

#include <cstdio>
#include <ctime>

#include <criterion/criterion.h>

using namespace entry_test;

namespace
{

constexpr std::size_t domains = 6;
constexpr std::size_t endpoints_of_a_group = 3;
constexpr absl::Duration step = absl::Milliseconds(50);

// Of one host and second.
struct host_cost
{
    double m_store_calls = 0;
    double m_datagrams = 0;
    double m_bytes = 0;
    double m_far_bytes = 0;
    double m_cpu_ms = 0;
};

// A fleet with groups and organisations as large deployments have them, and
// no callers.
class large_fleet
{
public:
    large_fleet(std::size_t hosts, std::size_t groups,
                std::size_t organisations)
    {
        configure(groups, organisations);
        for (std::size_t index = 0; index < hosts; ++index)
            add_host(index);
    }

    void configure(std::size_t groups, std::size_t organisations)
    {
        auto config = std::make_shared<catalogue::configuration>();
        config->m_version = base::configuration_version(++m_versions);
        for (std::size_t index = 0; index < groups; ++index)
            add_group(*config, "ledger-" + std::to_string(index));
        for (std::size_t index = 0; index < organisations; ++index)
        {
            const base::organisation_id who("office-" + std::to_string(index));
            config->m_keys["key-" + who.str()] = who;
            config->m_organisations[who] = {who, 20, 30};
        }
        m_platform.configure(config);
    }

    // Lets time pass and returns what it cost.
    host_cost run(absl::Duration span)
    {
        const std::uint64_t calls = store_calls();
        m_sent = 0;
        m_bytes = 0;
        m_far_bytes = 0;
        const std::clock_t began = std::clock();
        for (absl::Duration passed; passed < span; passed += step)
        {
            m_clock.m_now = m_clock.m_now + step;
            for (auto& host : m_hosts)
                host->m_host.tick();
            exchange();
        }
        const double unit =
            static_cast<double>(m_hosts.size()) * absl::ToDoubleSeconds(span);
        host_cost cost;
        cost.m_store_calls = static_cast<double>(store_calls() - calls) / unit;
        cost.m_datagrams = static_cast<double>(m_sent) / unit;
        cost.m_bytes = static_cast<double>(m_bytes) / unit;
        cost.m_far_bytes = static_cast<double>(m_far_bytes) / unit;
        cost.m_cpu_ms = static_cast<double>(std::clock() - began) * 1000 /
                        CLOCKS_PER_SEC / unit;
        return cost;
    }

    // Processes of all hosts end, and new ones start.
    void restart()
    {
        const std::size_t hosts = m_hosts.size();
        m_hosts.clear();
        m_by_address.clear();
        ++m_incarnation;
        for (std::size_t index = 0; index < hosts; ++index)
            add_host(index);
    }

    // Hosts that may give out tokens, were they homes.
    [[nodiscard]] std::size_t hosts_that_admit() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_hosts.begin(), m_hosts.end(),
                          [](const auto& host)
                          {
                              return host->m_host.may_admit();
                          }));
    }

    // A caller of the host writes to the first group.
    void run_statement(std::size_t host)
    {
        driver caller(*m_hosts[host]);
        const std::uint64_t session = ++m_sessions;
        caller.start(session, "ledger-0", "");
        caller.say(session, rpc::statement_kind::write, "WRITE a b");
        while (const auto request = caller.next_statement())
            caller.succeed(*request);
    }

    // Connections of the endpoint that has the most, from all hosts.
    [[nodiscard]] std::size_t largest_connection_count() const
    {
        std::map<base::endpoint_id, std::size_t> counts;
        for (const auto& host : m_hosts)
            for (const auto& [number, target] : host->m_endpoints.m_open)
                ++counts[target.m_endpoint];
        std::size_t largest = 0;
        for (const auto& [endpoint, count] : counts)
            largest = std::max(largest, count);
        return largest;
    }

    // The primaries show the ends of their logs to the first host.
    void observe_all_groups()
    {
        driver callers(*m_hosts.front());
        std::uint64_t session = 0;
        for (const auto& [name, route] : m_platform.m_configuration->m_routes)
        {
            callers.start(++session, name, "");
            callers.say(session, rpc::statement_kind::write, "WRITE a b");
            while (const auto request = callers.next_statement())
                callers.succeed(*request);
        }
    }

    void forget_endpoint()
    {
        m_platform.m_entries.pop_back();
    }

    [[nodiscard]] std::size_t hosts_with_configuration(std::uint64_t version)
    {
        return static_cast<std::size_t>(std::count_if(
            m_hosts.begin(), m_hosts.end(),
            [version](const auto& host)
            {
                return host->m_host.configuration_version().value() == version;
            }));
    }

    [[nodiscard]] std::size_t hosts_with_endpoints(std::size_t endpoints)
    {
        return static_cast<std::size_t>(
            std::count_if(m_hosts.begin(), m_hosts.end(),
                          [endpoints](const auto& host)
                          {
                              return host->m_host.endpoint_count() == endpoints;
                          }));
    }

private:
    void add_group(catalogue::configuration& config, const std::string& name)
    {
        const base::group_id group(name);
        config.m_groups[group] = {group, 180};
        config.m_routes[name] =
            fleet_fixture::route(catalogue::consistency::bounded);
        config.m_routes[name].m_group = group;
        config.m_routes[name].m_open = true;
        if (m_platform.m_configuration)
            return;
        for (std::size_t index = 0; index < endpoints_of_a_group; ++index)
        {
            catalogue::endpoint_entry item;
            item.m_id = base::endpoint_id("i-" + name + std::to_string(index));
            item.m_group = group;
            item.m_failure_domain = domain(index);
            item.m_address = item.m_id.str() + ":5";
            item.m_slots = 4;
            item.m_primary = index == 0;
            m_platform.m_entries.push_back(item);
        }
    }

    static base::failure_domain_id domain(std::size_t index)
    {
        return base::failure_domain_id("domain-" +
                                       std::to_string(index % domains));
    }

    void add_host(std::size_t index)
    {
        m_hosts.push_back(std::make_unique<fake_host>(
            "front-" + std::to_string(index), m_platform, m_clock,
            m_incarnation, domain(index)));
        m_by_address[m_hosts.back()->m_address] = index;
    }

    std::uint64_t store_calls()
    {
        std::uint64_t calls = 0;
        for (const auto& host : m_hosts)
            calls += host->m_store.m_made;
        return calls;
    }

    void exchange()
    {
        for (auto& host : m_hosts)
        {
            host->m_store.run();
            host->m_promotions.run();
        }
        for (std::size_t from = 0; from < m_hosts.size(); ++from)
            for (const auto& [address, bytes] :
                 std::exchange(m_hosts[from]->m_datagrams.m_sent, {}))
            {
                const std::size_t to = m_by_address.at(address);
                ++m_sent;
                m_bytes += bytes.size();
                if (from % domains != to % domains)
                    m_far_bytes += bytes.size();
                m_hosts[to]->m_host.datagram_received(bytes);
            }
    }

    fake_clock m_clock;
    fake_platform m_platform;
    std::vector<std::unique_ptr<fake_host>> m_hosts;
    std::uint64_t m_versions = 0;
    absl::flat_hash_map<std::string, std::size_t> m_by_address;
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_sessions = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_far_bytes = 0;
};

void print(const char* what, std::size_t hosts, const host_cost& cost)
{
    std::printf("%4zu hosts, %-22s %6.2f store calls, %6.1f datagrams, %8.0f "
                "bytes, %7.0f to other domains, %6.2f ms of processor\n",
                hosts, what, cost.m_store_calls, cost.m_datagrams, cost.m_bytes,
                cost.m_far_bytes, cost.m_cpu_ms);
}

} // namespace

// A large deployment made 1.1 calls of the store a second and host, since every
// host followed the store, and asked it again for each change that it had heard
// of. A domain's followers tell the others.
Test(scale, most_hosts_of_a_large_fleet_leave_the_store_alone)
{
    constexpr std::size_t hosts = 200;
    constexpr double largest_steady = 0.1;
    constexpr double largest_start = 5;
    large_fleet fleet(hosts, 20, 140);
    fleet.run(absl::Seconds(8));
    fleet.restart();
    const auto start = fleet.run(absl::Seconds(4));
    print("restart, 4 s", hosts, start);
    cr_assert_leq(start.m_store_calls * 4, largest_start);
    const auto steady = fleet.run(absl::Seconds(4));
    print("steady", hosts, steady);
    cr_assert_leq(steady.m_store_calls, largest_steady);
    fleet.configure(20, 141);
    const auto change = fleet.run(absl::Seconds(4));
    print("configuration, 4 s", hosts, change);
    cr_assert_eq(fleet.hosts_with_configuration(2), hosts);
    // Each follower's watch returns and is renewed; the others make no call.
    constexpr double followers = 2.0 * domains;
    cr_assert_leq(change.m_store_calls * 4,
                  largest_steady * 4 + 2 * followers / hosts);
    fleet.forget_endpoint();
    const auto gone = fleet.run(absl::Seconds(4));
    print("endpoint gone, 4 s", hosts, gone);
    cr_assert_leq(gone.m_store_calls, largest_steady);
    cr_assert_eq(fleet.hosts_with_endpoints(59), hosts);
}

// Between 30 and 100 hosts each host of the sweep had three times the work.
Test(scale, a_host_tells_no_more_in_a_larger_fleet)
{
    large_fleet small(30, 20, 140);
    small.run(absl::Seconds(3));
    const auto few = small.run(absl::Seconds(3));
    print("steady", 30, few);
    large_fleet large(200, 20, 140);
    large.run(absl::Seconds(3));
    const auto many = large.run(absl::Seconds(3));
    print("steady", 200, many);
    // A host of 30 tells its four peers of the domain, one of 200 six.
    cr_assert_leq(many.m_datagrams, few.m_datagrams * 6 / 4 + 1);
    cr_assert_leq(many.m_far_bytes, few.m_far_bytes * 1.1);
}

// The sweep at 100 hosts: a report told of each of several hundred groups, and
// a host sent and decoded 760 KB of them a second. The fleet served a fifth of
// its callers.
Test(scale, a_report_does_not_grow_with_the_number_of_groups)
{
    constexpr std::size_t groups = 400;
    large_fleet fleet(20, groups, 140);
    fleet.run(absl::Seconds(6));
    fleet.observe_all_groups();
    const auto cost = fleet.run(absl::Seconds(1));
    print("steady, 400 groups", 20, cost);
    constexpr double largest_report = 2000;
    constexpr double report_of_no_group = 100;
    cr_assert_geq(cost.m_bytes / cost.m_datagrams, report_of_no_group);
    cr_assert_leq(cost.m_bytes / cost.m_datagrams, largest_report);
}

// Large trouble-1: each of 195 hosts kept a connection to each endpoint, more
// than an endpoint accepts, and others waited in vain for one in calm seconds.
Test(scale, hosts_together_keep_fewer_connections_than_an_endpoint_accepts)
{
    constexpr std::size_t hosts = 200;
    large_fleet fleet(hosts, 2, 10);
    fleet.run(absl::Seconds(12));
    for (int round = 0; round < 2; ++round)
        for (std::size_t host = 0; host < hosts; ++host)
            fleet.run_statement(host);
    const std::size_t kept = fleet.largest_connection_count();
    cr_assert_leq(kept, 180 * 6 / 10);
    cr_assert_geq(kept, 60, "idle connections serve the next statement");
}

// Large trouble-3: five seconds after a restart of all hosts most of them could
// give out nothing for three seconds, because the rows of 195 members reached
// them twelve at a time.
Test(scale, hosts_know_all_members_within_a_lease_of_a_restart)
{
    constexpr std::size_t hosts = 200;
    large_fleet fleet(hosts, 4, 20);
    fleet.run(absl::Seconds(8));
    fleet.restart();
    fleet.run(absl::Milliseconds(2500));
    for (int second = 0; second < 8; ++second)
    {
        fleet.run(absl::Seconds(1));
        cr_assert_eq(fleet.hosts_that_admit(), hosts, "%d s after the start",
                     second + 3);
    }
}
