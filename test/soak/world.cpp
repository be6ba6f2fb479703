#include "world.hpp"

#include "absl/strings/str_cat.h"

#include <fstream>
#include <sys/wait.h>

namespace magnoliastack::soak
{
namespace
{

constexpr std::size_t endpoints_in_group = 3;
// The last one is small: it asks for far more than its rate all the time.
constexpr std::size_t organisations = 5;
// Operations a second and at once; a caller asks for some ten a second.
constexpr double large_rate = 400;
constexpr double large_burst = 200;
constexpr double small_rate = 15;
constexpr double small_burst = 8;
constexpr std::chrono::seconds grace{6};
constexpr std::chrono::milliseconds start_time{500};
// A configuration is in force within this, at hosts that have been without
// trouble for the time of contact.
constexpr std::chrono::seconds config_bound{3};
constexpr std::chrono::seconds contact{4};
constexpr std::chrono::milliseconds step{10};
constexpr std::chrono::milliseconds heartbeat{400};
constexpr std::chrono::milliseconds starvation_step{200};

const auto loopback = asio::ip::address_v4::loopback();

std::string local(unsigned short port)
{
    return absl::StrCat("127.0.0.1:", port);
}

bool is_small(std::size_t index)
{
    return index + 1 == organisations;
}

std::string organisation(std::size_t index)
{
    return absl::StrCat("org", index);
}

} // namespace

world::world(world_options options, std::mt19937& random)
    : m_options(std::move(options)), m_random(random)
{
    std::filesystem::create_directories(m_options.m_folder);
    const std::vector<std::string> domains{"d0", "d1", "d2"};
    for (std::size_t index = 0; index < m_options.m_groups; ++index)
        m_groups.push_back(std::make_unique<group>(
            m_loop, m_judge, absl::StrCat("g", index), domains,
            // Both kinds of groups, whatever their number.
            index % 2));
    m_hosts.resize(m_options.m_hosts);
    m_store = std::make_unique<store>(
        m_loop, m_judge, m_options.m_hosts,
        [this](std::size_t host, const endpoint& what)
        {
            for (std::size_t at = 0; at < m_groups.size(); ++at)
                for (std::size_t e = 0; e < endpoints_in_group; ++e)
                    if (m_groups[at]->endpoints()[e].get() == &what)
                        return way(host, at, e).port();
            return static_cast<unsigned short>(0);
        },
        [this](const std::string& name)
        {
            for (const auto& host : m_hosts)
                if (host.m_name == name)
                    return host.m_from_peers->port();
            return static_cast<unsigned short>(1);
        },
        [this](const std::string& name, const std::string& id)
        {
            for (const auto& item : m_groups)
                if (item->name() == name)
                    return item->promote(id);
            return false;
        });
    for (std::size_t index = 0; index < m_hosts.size(); ++index)
    {
        entry_host& host = m_hosts[index];
        host.m_name = absl::StrCat("h", index);
        host.m_domain = domains[index % domains.size()];
        host.m_callers_port = unused_port(m_loop);
        host.m_peers_port = unused_port(m_loop);
        host.m_from_callers =
            std::make_unique<tcp_relay>(m_loop, host.m_callers_port);
        host.m_to_store =
            std::make_unique<tcp_relay>(m_loop, m_store->port(index));
        for (const auto& item : m_groups)
            for (const auto& each : item->endpoints())
                host.m_to_endpoints.push_back(
                    std::make_unique<tcp_relay>(m_loop, each->port()));
        host.m_streams_from_peers = std::make_unique<tcp_relay>(
            m_loop, host.m_peers_port, unused_port(m_loop));
        host.m_from_peers = std::make_unique<udp_relay>(
            m_loop, host.m_peers_port, host.m_streams_from_peers->port(),
            [this, index](unsigned short sender)
            {
                bool passes = !m_hosts[index].m_peers_cut;
                for (const auto& other : m_hosts)
                    if (other.m_peers_port == sender && other.m_peers_cut)
                        passes = false;
                return passes;
            });
        host.m_settings =
            m_options.m_folder / absl::StrCat(host.m_name, ".ini");
        host.m_log = m_options.m_folder / absl::StrCat(host.m_name, ".log");
        write_settings(host);
    }
    m_judge.set_limit(organisation(organisations - 1), small_rate, small_burst);
    add_callers();
    write_configuration();
    beat();
}

world::~world()
{
    if (m_callers)
        m_callers->m_stopped = true;
    for (auto& host : m_hosts)
        host.m_process.reset();
}

tcp_relay& world::way(std::size_t host, std::size_t group, std::size_t endpoint)
{
    return *m_hosts[host].m_to_endpoints[group * endpoints_in_group + endpoint];
}

void world::write_settings(entry_host& host)
{
    std::ofstream(host.m_settings)
        << "[host]\nid = " << host.m_name
        << "\nfailure_domain = " << host.m_domain
        << "\n[listen]\ncallers = " << local(host.m_callers_port)
        << "\nprobe = " << local(unused_port(m_loop))
        << "\npeers = " << local(host.m_peers_port)
        << "\nmetrics = " << local(unused_port(m_loop))
        << "\n[platform]\nstore = " << local(host.m_to_store->port())
        << "\nduties = " << local(host.m_to_store->port()) << "\n";
}

void world::add_callers()
{
    std::vector<unsigned short> ports;
    for (const auto& host : m_hosts)
        ports.push_back(host.m_from_callers->port());
    std::vector<route> routes;
    for (const auto& item : m_groups)
    {
        routes.push_back({absl::StrCat("settle-", item->name()), item->name(),
                          true, std::chrono::milliseconds(0)});
        routes.push_back({absl::StrCat("look-", item->name()), item->name(),
                          false, std::chrono::milliseconds(1500)});
    }
    m_callers = std::make_unique<caller_world>(
        caller_world{m_loop,
                     m_judge,
                     m_random,
                     ports,
                     routes,
                     [this](std::size_t host, const std::string& key)
                     {
                         return judge_key(host, key);
                     },
                     [this](std::size_t host, clock::time_point since)
                     {
                         return ran_since(host, since);
                     },
                     {}});
    for (std::size_t index = 0; index < organisations; ++index)
    {
        m_keys.push_back(absl::StrCat("secret-", index, "-1"));
        m_issued[m_keys.back()] = clock::now();
    }
    for (std::size_t index = 0; index < m_options.m_callers; ++index)
        m_all_callers.push_back(std::make_unique<caller>(
            *m_callers, index, organisation(index % organisations),
            m_keys[index % organisations], !is_small(index % organisations)));
    for (const auto& item : m_all_callers)
        item->start();
}

void world::write_configuration()
{
    using json = nlohmann::json;
    json all = {{"routes", json::array()},
                {"services", json::array()},
                {"limits", {{"tx_idle_ms", 2000}}},
                {"tenants", json::array()}};
    for (const auto& item : m_callers->m_routes)
        all["routes"].push_back(
            {{"name", item.m_database},
             {"host", item.m_database},
             {"kind", item.m_primary ? "primary" : "read_your_writes"},
             {"max_staleness_ms", item.m_staleness.count()},
             {"timeout_ms", 1000},
             {"priority", 1},
             {"service", item.m_group}});
    for (const auto& item : m_groups)
        all["services"].push_back({{"name", item->name()},
                                   {"max_conns", endpoint::largest_connections},
                                   {"sync_replicas", item->sync_replicas()}});
    for (std::size_t index = 0; index < organisations; ++index)
    {
        const double rate =
            is_small(index) ? small_rate : large_rate * m_rate_factor;
        const double burst =
            is_small(index) ? small_burst : large_burst * m_rate_factor;
        m_judge.add_key(m_keys[index]);
        all["tenants"].push_back({{"name", organisation(index)},
                                  {"api_keys", {m_keys[index]}},
                                  {"rate_per_s", rate},
                                  {"burst", burst}});
    }
    m_store->configure(all);
}

void world::change_rates(double factor)
{
    m_rate_factor = factor;
    write_configuration();
}

bool world::is_in_touch(std::size_t host) const
{
    const entry_host& item = m_hosts[host];
    const auto now = clock::now();
    return item.m_process && !item.m_ends_by &&
           now - std::max(item.m_started, m_store_disturbed) > contact;
}

bool world::ran_since(std::size_t host, clock::time_point since) const
{
    const entry_host& item = m_hosts[host];
    return item.m_process && !item.m_stopped && item.m_started <= since &&
           item.m_resumed <= since && item.m_starved_at <= since;
}

key_verdict world::judge_key(std::size_t host, const std::string& key) const
{
    if (!is_in_touch(host))
        return key_verdict::undecided;
    const auto now = clock::now();
    const auto withdrawn = m_withdrawn.find(key);
    if (withdrawn != m_withdrawn.end())
        return now - withdrawn->second > config_bound ? key_verdict::must_fail
                                                      : key_verdict::undecided;
    return now - m_issued.at(key) > config_bound ? key_verdict::must_work
                                                 : key_verdict::undecided;
}

void world::change_keys()
{
    for (const auto& key : m_keys)
        m_withdrawn[key] = clock::now();
    ++m_key_generation;
    for (std::size_t index = 0; index < organisations; ++index)
    {
        m_keys[index] = absl::StrCat("secret-", index, "-", m_key_generation);
        m_issued[m_keys[index]] = clock::now();
    }
    for (std::size_t index = 0; index < m_all_callers.size(); ++index)
        m_all_callers[index]->set_key(m_keys[index % organisations]);
    write_configuration();
}

void world::start_host(std::size_t index)
{
    entry_host& host = m_hosts[index];
    host.m_wanted = true;
    if (host.m_process)
        return;
    host.m_stopped = false;
    host.m_ends_by.reset();
    host.m_started = clock::now();
    host.m_process = std::make_unique<test::process>(
        "magnolia-entry",
        std::vector<std::string>{"--settings", host.m_settings.string()},
        host.m_log.string());
}

void world::kill_host(std::size_t index)
{
    m_hosts[index].m_process.reset();
    m_hosts[index].m_ends_by.reset();
    m_hosts[index].m_wanted = false;
}

void world::stop_host(std::size_t index)
{
    entry_host& host = m_hosts[index];
    if (!host.m_process || host.m_stopped)
        return;
    host.m_wanted = false;
    host.m_process->signal(SIGTERM);
    host.m_ends_by = clock::now() + grace;
}

void world::pause_host(std::size_t index)
{
    entry_host& host = m_hosts[index];
    // A paused process cannot end in time; that is no finding.
    if (!host.m_process || host.m_ends_by || host.m_stopped)
        return;
    host.m_process->signal(SIGSTOP);
    host.m_stopped = true;
}

void world::resume_host(std::size_t index)
{
    entry_host& host = m_hosts[index];
    if (host.m_process)
        host.m_process->signal(SIGCONT);
    host.m_stopped = false;
    host.m_resumed = clock::now();
}

void world::run_for(std::chrono::milliseconds span)
{
    const auto end = clock::now() + span;
    while (clock::now() < end)
    {
        m_loop.run_for(step);
        for (const auto& item : m_groups)
            item->tick();
        if (clock::now() >= m_next_beat)
            beat();
        if (clock::now() >= m_next_look)
            watch_starvation();
        watch_processes();
    }
}

// A host that the machine does not let run is as one that is paused: on a
// machine with a load of 50 its event loop stood still for seconds.
void world::watch_starvation()
{
    m_next_look = clock::now() + starvation_step;
    for (auto& host : m_hosts)
    {
        if (!host.m_process)
            continue;
        const auto waited = host.m_process->time_without_processor();
        if (waited - host.m_starved_for > starvation_step / 2)
            host.m_starved_at = clock::now();
        host.m_starved_for = waited;
    }
}

void world::beat()
{
    m_store->keep_copy();
    m_next_beat = clock::now() + heartbeat;
    ++m_beats;
    for (const auto& item : m_groups)
        for (const auto& each : item->endpoints())
            if (each->runs())
                m_store->set_entry(*each, item->name(), m_beats);
            else
                m_store->remove_entry(*each);
}

void world::watch_processes()
{
    for (auto& host : m_hosts)
    {
        if (!host.m_process)
            continue;
        int status = 0;
        if (waitpid(host.m_process->pid(), &status, WNOHANG) <= 0)
        {
            if (host.m_ends_by && clock::now() > *host.m_ends_by)
            {
                m_judge.broken("STOP",
                               host.m_name + " did not end within its time");
                kill_host(static_cast<std::size_t>(&host - m_hosts.data()));
            }
            continue;
        }
        // Right after its start a process cannot handle signals yet.
        const bool new_born = clock::now() - host.m_started < start_time;
        const bool right =
            host.m_ends_by &&
            (new_born || (WIFEXITED(status) && WEXITSTATUS(status) == 0));
        if (!right)
            m_judge.broken("STOP", host.m_name + " ended with status " +
                                       std::to_string(status));
        host.m_process->forget();
        host.m_process.reset();
        host.m_ends_by.reset();
        if (host.m_wanted)
            start_host(static_cast<std::size_t>(&host - m_hosts.data()));
    }
}

} // namespace magnoliastack::soak
