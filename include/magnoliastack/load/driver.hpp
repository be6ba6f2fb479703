// Runs a workload against running proxies and checks every answer.
#ifndef MAGNOLIASTACK_LOAD_DRIVER_HPP
#define MAGNOLIASTACK_LOAD_DRIVER_HPP

#include "magnoliastack/load/call.hpp"
#include "magnoliastack/load/checker.hpp"
#include "magnoliastack/load/loop.hpp"
#include "magnoliastack/load/measures.hpp"
#include "magnoliastack/load/profile.hpp"
#include "magnoliastack/load/workload.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace magnoliastack::load
{

// Keys of the organisations, by name.
using organisation_keys = std::map<std::string, std::string>;

struct run_options
{
    const profile* m_profile = nullptr;
    std::uint64_t m_seed = 1;
    // Requests a second; 0 means the profile's.
    double m_rate = 0;
    absl::Duration m_duration = absl::Seconds(15);
    overload_factors m_overload;
    // Chance that a session's next request goes to another proxy.
    double m_roaming = 0.1;
    // What a caller waits for one answer.
    absl::Duration m_deadline = absl::Seconds(5);
    // What the tool waits after the last arrival for writes whose outcome is
    // not known.
    absl::Duration m_resolution = absl::Seconds(15);
    organisation_keys m_keys;
    // Group whose sessions go by half straight to its primary; empty for none.
    std::string m_direct_group;
};

// Drives the arrivals of a workload. A session runs one request at a time and
// waits until the outcome of a write is known; an arrival that finds all
// sessions of its organisation at work opens a new one.
class driver
{
public:
    // `proxies` holds the calls to each proxy, `direct` those to the primary
    // of the direct group; null for none. `key_prefix` keeps the keys of runs
    // apart.
    driver(run_options options, std::vector<caller*> proxies, caller* direct,
           std::string key_prefix);
    ~driver();
    driver(const driver&) = delete;
    driver& operator=(const driver&) = delete;

    // Returns the number of writes whose outcome stayed unknown.
    std::uint64_t run();

    // Compares the rows of a group's primary with the histories.
    void check_final(const std::string& group,
                     const std::map<std::string, std::string>& rows);

    [[nodiscard]] const measures& measured() const;
    [[nodiscard]] const violations& found() const;

private:
    struct session;
    struct request;
    class rate_check;

    void schedule_next();
    void arrived(const arrival& what);
    session& pick_session(std::size_t organisation);
    void begin(session& who, operation_kind kind, base::instant arrived_at);
    void fill(request& what);
    void send(const std::shared_ptr<request>& what);
    void answered(const std::shared_ptr<request>& what, call_result result);
    void succeeded(request& what, const call_result& result);
    void check_rows(request& what, const call_result& result);
    void note_refusal(request& what, const call_result& result);
    void repeat(const std::shared_ptr<request>& what, absl::Duration delay);
    void end(request& what, write_outcome outcome);

    run_options m_options;
    std::vector<caller*> m_proxies;
    caller* m_direct;
    std::string m_prefix;
    loop m_loop;
    workload m_workload;
    // Choice of sessions, proxies and request ids; depends on answers.
    std::mt19937_64 m_random;
    checker m_checker;
    measures m_measures;
    std::vector<std::unique_ptr<session>> m_sessions;
    // Idle sessions by organisation.
    std::vector<std::vector<session*>> m_idle;
    std::vector<std::unique_ptr<rate_check>> m_rates;
    base::instant m_started;
    bool m_arrivals_ended = false;
    std::uint64_t m_running = 0;
    // Calls in flight, which refer to this object.
    std::uint64_t m_calls = 0;
};

} // namespace magnoliastack::load

#endif
