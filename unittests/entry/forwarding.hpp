// Hosts of one process that forward statements to each other.
#ifndef MAGNOLIASTACK_UNITTESTS_ENTRY_FORWARDING_HPP
#define MAGNOLIASTACK_UNITTESTS_ENTRY_FORWARDING_HPP

#include "driver.hpp"

#include <cstdint>
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

class fake_streams;

// One host's way to its peers.
struct fake_forwarding final : rpc::forwarding_link
{
    fake_forwarding(fake_streams& streams, base::host_id self)
        : m_streams(streams), m_self(std::move(self))
    {
    }

    void send(const base::host_id& to, const std::string& address,
              rpc::forwarding_message message) override;
    void reply(const base::host_id& to,
               rpc::forwarding_message message) override;
    void close(const base::host_id& host) override;
    void close_incoming() override;
    void set_awaiting(const base::host_id& host, bool awaiting) override;

    fake_streams& m_streams;
    base::host_id m_self;
};

// All streams between hosts: they delay, hold and lose what is sent.
class fake_streams
{
public:
    using direction = std::pair<base::host_id, base::host_id>;

    explicit fake_streams(fake_clock& clock) : m_clock(clock)
    {
    }

    // Delivers what is due, and reports streams whose host is silent.
    void run()
    {
        lose_silent();
        for (auto& event : std::exchange(m_events, {}))
            event();
        // A host that was told may answer at once.
        while (deliver_next())
        {
        }
    }

    // The stream ends, and both hosts learn it.
    void cut(const base::host_id& from, const base::host_id& to)
    {
        if (m_streams.erase({from, to}) == 0)
            return;
        m_awaiting.erase({from, to});
        tell_lost(from, to, false);
        m_events.emplace_back(
            [this, from, to]
            {
                if (!m_silent.contains(to))
                    events(to).incoming_stream_lost(from);
            });
    }
    void cut_all_to(const base::host_id& to)
    {
        std::vector<direction> found;
        for (const auto& [way, stream] : m_streams)
            if (way.second == to)
                found.push_back(way);
        for (const auto& way : found)
            cut(way.first, way.second);
    }

    void send(const direction& way, rpc::forwarding_message message)
    {
        if (m_refusing.contains(way.second))
        {
            tell_lost(way.first, way.second, true);
            return;
        }
        m_streams[way].m_there.push_back({m_clock.m_now + m_delay, message});
        m_sent.push_back(std::move(message));
    }
    void reply(const direction& way, rpc::forwarding_message message)
    {
        const auto found = m_streams.find(way);
        if (found != m_streams.end())
            found->second.m_back.push_back(
                {m_clock.m_now + m_delay, std::move(message)});
    }
    void set_awaiting(const direction& way, bool awaiting)
    {
        if (awaiting)
            m_awaiting.emplace(way, m_clock.m_now);
        else
            m_awaiting.erase(way);
    }
    void close_incoming(const base::host_id& of)
    {
        std::vector<direction> found;
        for (const auto& [way, stream] : m_streams)
            if (way.second == of)
                found.push_back(way);
        for (const auto& way : found)
        {
            m_streams.erase(way);
            m_awaiting.erase(way);
            tell_lost(way.first, way.second, false);
        }
    }
    void close(const direction& way)
    {
        m_streams.erase(way);
    }

    rpc::forwarding_events& events(const base::host_id& host)
    {
        return m_hosts.at(host)->m_host.forwarding();
    }

    std::map<base::host_id, fake_host*> m_hosts;
    std::map<base::host_id, base::incarnation> m_incarnations;
    absl::Duration m_delay;
    // Hosts that do not listen.
    std::set<base::host_id> m_refusing;
    // Hosts that neither receive nor send.
    std::set<base::host_id> m_silent;
    // Everything that was sent on streams by those that opened them.
    std::vector<rpc::forwarding_message> m_sent;

private:
    struct message_on_way
    {
        base::instant m_due;
        rpc::forwarding_message m_message;
    };
    struct stream
    {
        std::deque<message_on_way> m_there;
        std::deque<message_on_way> m_back;
    };

    void tell_lost(const base::host_id& from, const base::host_id& to,
                   bool refused)
    {
        m_events.emplace_back(
            [this, from, to, refused]
            {
                events(from).stream_lost(to, refused);
            });
    }

    // As the transport does: 500 ms without anything while an answer is owed.
    void lose_silent()
    {
        std::vector<direction> lost;
        for (const auto& [way, since] : m_awaiting)
            if (m_silent.contains(way.second) &&
                m_clock.m_now - since >= absl::Milliseconds(500))
                lost.push_back(way);
        for (const auto& way : lost)
        {
            m_awaiting.erase(way);
            // What has arrived waits at the silent host until it closes it.
            tell_lost(way.first, way.second, false);
        }
    }

    bool deliver_next()
    {
        for (auto& [way, item] : m_streams)
        {
            if (m_silent.contains(way.first) || m_silent.contains(way.second))
                continue;
            if (deliver(way.first, way.second, item.m_there) ||
                deliver(way.second, way.first, item.m_back))
                return true;
        }
        return false;
    }

    bool deliver(base::host_id from, base::host_id to,
                 std::deque<message_on_way>& waiting)
    {
        if (waiting.empty() || waiting.front().m_due > m_clock.m_now)
            return false;
        auto message = std::move(waiting.front().m_message);
        waiting.pop_front();
        const auto found = m_incarnations.find(from);
        events(to).message_received(from,
                                    found == m_incarnations.end()
                                        ? base::incarnation(1)
                                        : found->second,
                                    std::move(message));
        return true;
    }

    fake_clock& m_clock;
    std::map<direction, stream> m_streams;
    std::map<direction, base::instant> m_awaiting;
    std::vector<std::function<void()>> m_events;
};

inline void fake_forwarding::send(const base::host_id& to,
                                  const std::string& /*address*/,
                                  rpc::forwarding_message message)
{
    m_streams.send({m_self, to}, std::move(message));
}
inline void fake_forwarding::reply(const base::host_id& to,
                                   rpc::forwarding_message message)
{
    m_streams.reply({to, m_self}, std::move(message));
}
inline void fake_forwarding::close(const base::host_id& host)
{
    m_streams.close({m_self, host});
}
inline void fake_forwarding::close_incoming()
{
    m_streams.close_incoming(m_self);
}
inline void fake_forwarding::set_awaiting(const base::host_id& host,
                                          bool awaiting)
{
    m_streams.set_awaiting({m_self, host}, awaiting);
}

// What a forwarding fleet consists of.
struct fleet_size
{
    std::size_t m_hosts = 18;
    std::size_t m_domains = 3;
    std::size_t m_organisations = 20;
    std::size_t m_groups = 1;
    std::uint32_t m_connections = 30;
    bool m_forwards = true;
};

// A fleet that is large enough to forward. Each group has three endpoints, the
// first of which is primary: `g0e0`. Databases `g0` (bounded) and `w0`
// (primary) lead to group g0.
struct forwarding_fleet
{
    explicit forwarding_fleet(fleet_size size = {}) : m_size(size)
    {
        configure();
        for (std::size_t index = 0; index < size.m_hosts; ++index)
            add_host(index);
        run(absl::Seconds(8));
    }

    static std::string key(std::size_t organisation)
    {
        return "key-" + std::to_string(organisation);
    }

    [[nodiscard]] base::failure_domain_id domain(std::size_t index) const
    {
        return base::failure_domain_id(
            "domain-" + std::to_string(index % m_size.m_domains));
    }

    void add_host(std::size_t index)
    {
        const base::host_id id("h" + std::to_string(index));
        m_links.push_back(std::make_unique<fake_forwarding>(m_streams, id));
        m_hosts.push_back(std::make_unique<fake_host>(
            id.str(), m_platform, m_clock, 1, domain(index),
            m_size.m_forwards ? m_links.back().get() : nullptr));
        m_streams.m_hosts[id] = m_hosts.back().get();
        m_by_address[m_hosts.back()->m_address] = index;
    }

    void configure()
    {
        auto config = std::make_shared<catalogue::configuration>();
        config->m_version = base::configuration_version(1);
        config->m_idle_transaction = absl::Seconds(3);
        for (std::size_t index = 0; index < m_size.m_organisations; ++index)
        {
            const base::organisation_id who("o" + std::to_string(index));
            config->m_keys[key(index)] = who;
            config->m_organisations[who].m_id = who;
            // Tokens of other hosts would come later.
            config->m_organisations[who].m_limited = false;
        }
        for (std::size_t index = 0; index < m_size.m_groups; ++index)
            add_group(*config, index);
        m_platform.configure(config);
    }

    void add_group(catalogue::configuration& config, std::size_t index)
    {
        const std::string number = std::to_string(index);
        const base::group_id group("g" + number);
        config.m_groups[group] = {group, m_size.m_connections};
        auto route = fleet_fixture::route(catalogue::consistency::bounded);
        route.m_group = group;
        config.m_routes["g" + number] = route;
        route.m_consistency = catalogue::consistency::primary;
        config.m_routes["w" + number] = route;
        for (std::size_t item = 0; item < 3; ++item)
        {
            catalogue::endpoint_entry entry;
            entry.m_id =
                base::endpoint_id("g" + number + "e" + std::to_string(item));
            entry.m_group = group;
            entry.m_failure_domain = domain(index + item);
            entry.m_address = entry.m_id.str() + ":5";
            entry.m_slots = 4;
            entry.m_primary = item == 0;
            entry.m_started_unix_ms = 77;
            m_platform.m_entries.push_back(entry);
        }
    }

    // Hosts that are stopped do not run.
    void run(absl::Duration span)
    {
        for (absl::Duration passed; passed < span;
             passed += absl::Milliseconds(50))
        {
            m_clock.m_now = m_clock.m_now + absl::Milliseconds(50);
            for (std::size_t index = 0; index < m_hosts.size(); ++index)
                if (!is_stopped(index))
                    m_hosts[index]->m_host.tick();
            exchange();
        }
    }

    [[nodiscard]] bool is_stopped(std::size_t index) const
    {
        return m_streams.m_silent.contains(
            base::host_id("h" + std::to_string(index)));
    }

    void exchange()
    {
        for (std::size_t from = 0; from < m_hosts.size(); ++from)
        {
            if (is_stopped(from))
                continue;
            m_hosts[from]->m_store.run();
            m_hosts[from]->m_promotions.run();
            for (const auto& [address, bytes] :
                 std::exchange(m_hosts[from]->m_datagrams.m_sent, {}))
                if (const auto to = m_by_address.at(address); !is_stopped(to))
                    m_hosts[to]->m_host.datagram_received(bytes);
        }
        m_streams.run();
    }

    static base::host_id name(std::size_t index)
    {
        return base::host_id("h" + std::to_string(index));
    }

    [[nodiscard]] std::uint64_t counter(std::size_t host,
                                        const std::string& counter_name)
    {
        return m_hosts[host]->m_metrics.counter(counter_name).value();
    }

    // The hosts that have connections to the endpoint, open or opening.
    [[nodiscard]] std::vector<std::size_t>
    connected(const std::string& endpoint) const
    {
        std::vector<std::size_t> result;
        for (std::size_t index = 0; index < m_hosts.size(); ++index)
            for (const auto& [number, target] :
                 m_hosts[index]->m_endpoints.m_open)
                if (target.m_endpoint.str() == endpoint &&
                    (result.empty() || result.back() != index))
                    result.push_back(index);
        return result;
    }

    fleet_size m_size;
    fake_clock m_clock;
    fake_platform m_platform;
    fake_streams m_streams{m_clock};
    std::vector<std::unique_ptr<fake_forwarding>> m_links;
    std::vector<std::unique_ptr<fake_host>> m_hosts;
    std::map<std::string, std::size_t> m_by_address;
};

} // namespace entry_test

#endif
