// The parts of one run: hosts as processes, what they use, and the relays in
// between.
#ifndef MAGNOLIASTACK_TEST_SOAK_WORLD_HPP
#define MAGNOLIASTACK_TEST_SOAK_WORLD_HPP

#include "callers.hpp"
#include "checker.hpp"
#include "database.hpp"
#include "relay.hpp"
#include "store.hpp"

#include "support/process.hpp"

#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace magnoliastack::soak
{

// Sizes of a run.
struct world_options
{
    std::size_t m_hosts = 6;
    std::size_t m_groups = 2;
    std::size_t m_callers = 60;
    // Ports, settings and logs of the hosts.
    std::filesystem::path m_folder;
};

// One host's process and the relays to and from it.
struct entry_host
{
    std::string m_name;
    std::string m_domain;
    unsigned short m_callers_port = 0;
    unsigned short m_peers_port = 0;
    std::filesystem::path m_settings;
    std::filesystem::path m_log;
    std::unique_ptr<test::process> m_process;
    std::unique_ptr<tcp_relay> m_from_callers;
    std::unique_ptr<tcp_relay> m_to_store;
    std::vector<std::unique_ptr<tcp_relay>> m_to_endpoints;
    std::unique_ptr<udp_relay> m_from_peers;
    // Statements that other hosts forward, at the same port number.
    std::unique_ptr<tcp_relay> m_streams_from_peers;
    // Datagrams to and from the host are lost.
    bool m_peers_cut = false;
    clock::time_point m_started;
    bool m_stopped = false;
    clock::time_point m_resumed;
    // How long its process has waited for a processor, and when it last had to
    // wait for most of the time.
    std::chrono::nanoseconds m_starved_for{0};
    clock::time_point m_starved_at;
    // Starts again when the process has ended.
    bool m_wanted = false;
    // A planned stop is under way; when it has to be over.
    std::optional<clock::time_point> m_ends_by;
};

// Builds everything and lets it run.
class world
{
public:
    world(world_options options, std::mt19937& random);
    ~world();

    // Lets the loop run for a time; endpoints replicate, and processes that
    // ended by themselves are findings.
    void run_for(std::chrono::milliseconds span);

    // Starts the host's process, after the end of the one that still runs.
    void start_host(std::size_t index);
    void kill_host(std::size_t index);
    // SIGTERM; the process has to end with 0 within the grace time.
    void stop_host(std::size_t index);
    void pause_host(std::size_t index);
    void resume_host(std::size_t index);

    // The operator's changes.
    void change_rates(double factor);
    // Gives each organisation a new key and takes the old one away.
    void change_keys();

    [[nodiscard]] tcp_relay& way(std::size_t host, std::size_t group,
                                 std::size_t endpoint);

    // The store, a way to it, or a host that stands still is in trouble: bounds
    // of configurations and evacuations start anew.
    void store_disturbed()
    {
        m_store_disturbed = clock::now();
        m_judge.store_disturbed();
    }

    asio::io_context m_loop{1};
    checker m_judge;
    std::vector<std::unique_ptr<group>> m_groups;
    std::unique_ptr<store> m_store;
    std::vector<entry_host> m_hosts;
    std::unique_ptr<caller_world> m_callers;

private:
    void write_settings(entry_host& host);
    void add_callers();
    void write_configuration();
    void beat();
    void watch_processes();
    void watch_starvation();

    world_options m_options;
    std::mt19937& m_random;
    std::vector<std::unique_ptr<caller>> m_all_callers;
    std::vector<std::string> m_keys;
    double m_rate_factor = 1;
    std::uint64_t m_key_generation = 1;
    std::uint64_t m_beats = 0;
    clock::time_point m_next_beat;
    clock::time_point m_next_look;
    clock::time_point m_store_disturbed;
    // When each key was given out and withdrawn.
    std::map<std::string, clock::time_point> m_issued;
    std::map<std::string, clock::time_point> m_withdrawn;
    // True when the host has been without trouble for the time of contact.
    [[nodiscard]] bool is_in_touch(std::size_t host) const;
    [[nodiscard]] bool ran_since(std::size_t host,
                                 clock::time_point since) const;
    [[nodiscard]] key_verdict judge_key(std::size_t host,
                                        const std::string& key) const;
};

} // namespace magnoliastack::soak

#endif
