// Callers of the soak: each keeps a connection to one host and runs one
// operation after the other on it, until the connection ends.
#ifndef MAGNOLIASTACK_TEST_SOAK_CALLERS_HPP
#define MAGNOLIASTACK_TEST_SOAK_CALLERS_HPP

#include "checker.hpp"
#include "database.hpp"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace magnoliastack::soak
{

// A route as its callers know it.
struct route
{
    std::string m_database;
    std::string m_group;
    bool m_primary = false;
    std::chrono::milliseconds m_staleness{0};
};

// Counts of what became of operations.
struct tally
{
    std::size_t m_succeeded = 0;
    std::size_t m_refused = 0;
    std::size_t m_unknown = 0;
    std::size_t m_cut = 0;
};

// Whether a key was given out, or withdrawn, so long ago that a host has to
// know.
enum class key_verdict
{
    undecided,
    must_work,
    must_fail,
};

// What callers share.
struct caller_world
{
    asio::io_context& m_loop;
    checker& m_judge;
    std::mt19937& m_random;
    // Ports of the hosts, through their relays.
    std::vector<unsigned short> m_hosts;
    std::vector<route> m_routes;
    // What the host has to say to the key now.
    std::function<key_verdict(std::size_t host, const std::string& key)>
        m_judge_key;
    // True when the host's process has run without a pause since then.
    std::function<bool(std::size_t host, clock::time_point since)> m_ran_since;
    tally m_tally;
    bool m_stopped = false;
    // Bursts that are under way: callers ask again at once.
    std::size_t m_bursts = 0;
};

// One caller of an organisation.
class caller
{
public:
    caller(caller_world& world, std::size_t number, std::string organisation,
           std::string key, bool counted);
    ~caller();

    void start();
    void set_key(const std::string& key);

private:
    struct session;

    caller_world& m_world;
    std::size_t m_number;
    std::string m_organisation;
    std::string m_key;
    // Its operations are in the tally.
    bool m_counted;
    std::uint64_t m_operations = 0;
    std::shared_ptr<session> m_session;
};

} // namespace magnoliastack::soak

#endif
