// Callers that reconnect at one moment with the sessions they had.
#ifndef MAGNOLIASTACK_LOAD_RETURNING_HPP
#define MAGNOLIASTACK_LOAD_RETURNING_HPP

#include "magnoliastack/load/checker.hpp"
#include "magnoliastack/load/driver.hpp"
#include "magnoliastack/load/profile.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliastack::load
{

struct returning_options
{
    const profile* m_profile = nullptr;
    std::uint64_t m_seed = 1;
    std::size_t m_callers = 1000;
    std::vector<std::string> m_proxies;
    organisation_keys m_keys;
    // Writes a second while the sessions are established.
    double m_write_rate = 150;
    absl::Duration m_deadline = absl::Seconds(10);
    // Longest time until all callers are back.
    absl::Duration m_limit = absl::Seconds(120);
    // Processes of the proxies, for their resident memory.
    std::vector<int> m_process_ids;
};

struct returning_report
{
    std::size_t m_callers = 0;
    // Callers whose write before the storm was acknowledged.
    std::size_t m_established = 0;
    // Callers that read their own write after the storm.
    std::size_t m_whole = 0;
    std::uint64_t m_refusals = 0;
    std::map<std::string, std::uint64_t> m_reasons;
    // From the storm until the last caller of an organisation is whole; the
    // limit for an organisation that never was.
    std::map<std::string, absl::Duration> m_restored;
    // Refused tokens and reads that miss the session's own write.
    std::uint64_t m_broken_sessions = 0;
    // Resident bytes of all proxies before and at the most.
    std::uint64_t m_resident_before = 0;
    std::uint64_t m_resident_peak = 0;

    [[nodiscard]] absl::Duration worst() const;
    // Growth of the resident memory for each connection.
    [[nodiscard]] double bytes_per_connection() const;
};

// Writes once as each caller, then opens a connection for each at the same
// moment and reads the write in its session until the read is answered.
returning_report run_returning(const returning_options& options,
                               const std::string& key_prefix);

// `VmRSS` in the text of /proc/PID/status, in bytes; 0 without it.
std::uint64_t resident_bytes(const std::string& status_text);

std::string to_table(const returning_report& what);
std::string to_json(const returning_report& what);

} // namespace magnoliastack::load

#endif
