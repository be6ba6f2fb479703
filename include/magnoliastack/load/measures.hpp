// The measures of docs/design.md, section 2, as a table and as JSON.
#ifndef MAGNOLIASTACK_LOAD_MEASURES_HPP
#define MAGNOLIASTACK_LOAD_MEASURES_HPP

#include "magnoliastack/base/time.hpp"
#include "magnoliastack/load/checker.hpp"
#include "magnoliastack/load/profile.hpp"
#include "magnoliastack/metrics/metrics.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliastack::load
{

// How a request ended at its caller.
struct request_result
{
    std::size_t m_organisation = 0;
    operation_kind m_kind = operation_kind::read;
    std::string m_group;
    // Answered within the caller's patience.
    bool m_succeeded = false;
    // Answered, perhaps too late.
    bool m_acknowledged = false;
    bool m_from_replica = false;
    // The organisation's rate and burst covered the request.
    bool m_within_rate = true;
    // Of the first refusal or failed call; empty without one.
    std::string m_reason;
    // The first refusal was by the organisation's rate.
    bool m_rate_exceeded = false;
    // The first refusal provably did not run.
    bool m_not_run = false;
    // From the scheduled arrival to the answer at the caller.
    absl::Duration m_latency;
};

// What one organisation received.
struct service_level
{
    std::string m_name;
    std::uint64_t m_requests = 0;
    std::uint64_t m_succeeded = 0;
    std::uint64_t m_over_rate = 0;
    // Refused as not run although within rate and burst, for any reason.
    std::uint64_t m_refused_within_rate = 0;
    // Those of them whose reason was the rate.
    std::uint64_t m_wrongful = 0;
    absl::Duration m_p99;

    // Succeeded requests of those within the rate.
    [[nodiscard]] double success() const;
};

// Counts results while a run goes on.
class measures
{
public:
    explicit measures(const profile& what);

    void record(const request_result& result, base::instant now);

    // Begins the measurement of write gaps.
    void start(base::instant now);

    // Ends it; later acknowledgements count no more.
    void stop(base::instant now);

    // A latency that no request result covers, such as a direct call.
    void record_latency(std::string_view name, absl::Duration value);

    void count(std::string_view name);

    [[nodiscard]] double replica_share() const;
    [[nodiscard]] std::map<std::string, absl::Duration> write_gaps() const;
    [[nodiscard]] std::vector<service_level> service_levels() const;
    [[nodiscard]] metrics::snapshot_data snapshot() const;

private:
    struct write_gap
    {
        base::instant m_last;
        absl::Duration m_longest;
    };

    std::vector<service_level> m_levels;
    std::map<std::string, write_gap> m_gaps;
    bool m_stopped = false;
    std::uint64_t m_reads = 0;
    std::uint64_t m_replica_reads = 0;
    std::unique_ptr<metrics::registry> m_registry;
};

// Everything that a run reports.
struct report
{
    std::string m_profile;
    std::uint64_t m_seed = 0;
    absl::Duration m_duration;
    std::uint64_t m_unresolved = 0;
    // Organisations that sent more than their rate on purpose; the worst of the
    // others is reported.
    std::set<std::string> m_overloaded;
    bool m_final_state_checked = false;
    const measures* m_measures = nullptr;
    const violations* m_violations = nullptr;
};

std::string to_table(const report& what);

// The columns of to_markdown_row, with the line below them.
std::string markdown_header();

// One line of a Markdown table.
std::string to_markdown_row(const report& what, const std::string& label);
std::string to_json(const report& what);

} // namespace magnoliastack::load

#endif
