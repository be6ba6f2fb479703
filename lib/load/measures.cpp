#include "magnoliastack/load/measures.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include "google/protobuf/struct.pb.h"
#include "google/protobuf/util/json_util.h"

#include <algorithm>

namespace magnoliastack::load
{

namespace
{

using google::protobuf::Struct;

void set(Struct& to, const std::string& name, double value)
{
    (*to.mutable_fields())[name].set_number_value(value);
}

void set(Struct& to, const std::string& name, const std::string& value)
{
    (*to.mutable_fields())[name].set_string_value(value);
}

Struct& part(Struct& of, const std::string& name)
{
    return *(*of.mutable_fields())[name].mutable_struct_value();
}

double milliseconds(absl::Duration value)
{
    return absl::ToDoubleMilliseconds(value);
}

double number(std::uint64_t value)
{
    return static_cast<double>(value);
}

std::map<std::string, std::uint64_t> counts_of(const violations& found)
{
    return {{"lost_writes", found.m_lost_writes},
            {"duplicated_writes", found.m_duplicated_writes},
            {"stale_reads", found.m_stale_reads},
            {"foreign_answers", found.m_foreign_answers},
            {"false_not_run", found.m_false_not_run}};
}

} // namespace

double service_level::success() const
{
    const std::uint64_t entitled = m_requests - m_over_rate;
    return entitled == 0 ? 1.0 : number(m_succeeded) / number(entitled);
}

measures::measures(const profile& what)
    : m_registry(std::make_unique<metrics::registry>())
{
    for (const organisation_share& who : what.m_organisations)
        m_levels.emplace_back().m_name = who.m_name;
    for (const std::string& group : what.m_groups)
        m_gaps[group];
}

void measures::start(base::instant now)
{
    for (auto& [group, gap] : m_gaps)
        gap.m_last = now;
}

void measures::stop(base::instant now)
{
    for (auto& [group, gap] : m_gaps)
        gap.m_longest = std::max(gap.m_longest, now - gap.m_last);
    m_stopped = true;
}

void measures::record(const request_result& result, base::instant now)
{
    service_level& level = m_levels.at(result.m_organisation);
    ++level.m_requests;
    if (!result.m_within_rate)
        ++level.m_over_rate;
    else if (result.m_succeeded)
        ++level.m_succeeded;
    if (result.m_within_rate && result.m_not_run)
    {
        ++level.m_refused_within_rate;
        level.m_wrongful += result.m_rate_exceeded ? 1 : 0;
    }
    if (!result.m_reason.empty())
        count("refused." + result.m_reason);
    if (!result.m_acknowledged)
        return;
    record_latency(to_string(result.m_kind), result.m_latency);
    record_latency("organisation." + level.m_name, result.m_latency);
    if (result.m_kind == operation_kind::read)
    {
        ++m_reads;
        m_replica_reads += result.m_from_replica ? 1 : 0;
        return;
    }
    write_gap& gap = m_gaps[result.m_group];
    if (m_stopped)
        return;
    gap.m_longest = std::max(gap.m_longest, now - gap.m_last);
    gap.m_last = now;
}

void measures::record_latency(std::string_view name, absl::Duration value)
{
    m_registry->latency(name).record(value);
}

void measures::count(std::string_view name)
{
    m_registry->counter(name).add(1);
}

double measures::replica_share() const
{
    return m_reads == 0 ? 0.0 : number(m_replica_reads) / number(m_reads);
}

std::map<std::string, absl::Duration> measures::write_gaps() const
{
    std::map<std::string, absl::Duration> all;
    for (const auto& [group, gap] : m_gaps)
        all[group] = gap.m_longest;
    return all;
}

std::vector<service_level> measures::service_levels() const
{
    std::vector<service_level> all = m_levels;
    for (service_level& level : all)
        level.m_p99 =
            m_registry->latency("organisation." + level.m_name).at(0.99);
    return all;
}

metrics::snapshot_data measures::snapshot() const
{
    return m_registry->snapshot();
}

std::string to_table(const report& what)
{
    std::string out =
        absl::StrFormat("profile %s, seed %d, %s\n", what.m_profile,
                        what.m_seed, absl::FormatDuration(what.m_duration));
    absl::StrAppendFormat(&out, "reads served by replicas  %6.2f %%\n",
                          100 * what.m_measures->replica_share());
    for (const auto& [group, gap] : what.m_measures->write_gaps())
        absl::StrAppendFormat(&out, "write gap  %-14s %8.1f ms\n", group,
                              milliseconds(gap));
    absl::StrAppendFormat(&out, "%-20s %9s %9s %9s %9s %10s %10s\n",
                          "organisation", "requests", "over rate", "refused",
                          "wrongful", "success %", "p99 ms");
    for (const service_level& level : what.m_measures->service_levels())
        absl::StrAppendFormat(&out, "%-20s %9d %9d %9d %9d %10.3f %10.2f\n",
                              level.m_name, level.m_requests, level.m_over_rate,
                              level.m_refused_within_rate, level.m_wrongful,
                              100 * level.success(), milliseconds(level.m_p99));
    const metrics::snapshot_data data = what.m_measures->snapshot();
    absl::StrAppendFormat(&out, "%-32s %9s %9s %9s %9s %9s\n", "latency, ms",
                          "count", "p50", "p90", "p99", "max");
    for (const metrics::latency_summary& item : data.m_latencies)
        absl::StrAppendFormat(
            &out, "%-32s %9d %9.2f %9.2f %9.2f %9.2f\n", item.m_name,
            item.m_count, milliseconds(item.m_p50), milliseconds(item.m_p90),
            milliseconds(item.m_p99), milliseconds(item.m_max));
    for (const auto& [name, value] : data.m_counters)
        absl::StrAppendFormat(&out, "%-32s %9d\n", name, value);
    absl::StrAppendFormat(
        &out, "unresolved writes %d, final state %s\n", what.m_unresolved,
        what.m_final_state_checked ? "checked" : "not checked");
    for (const auto& [name, value] : counts_of(*what.m_violations))
        absl::StrAppendFormat(&out, "%-32s %9d\n", name, value);
    for (const std::string& detail : what.m_violations->m_details)
        absl::StrAppend(&out, "  ", detail, "\n");
    return out;
}

std::string markdown_header()
{
    return "| run | reads by replicas | longest write gap, ms | lowest success "
           "| highest p99, ms | refused within rate | of them by the rate | "
           "read p50, ms | unresolved | violations |\n"
           "|---|---|---|---|---|---|---|---|---|---|\n";
}

std::string to_markdown_row(const report& what, const std::string& label)
{
    absl::Duration gap;
    for (const auto& [group, longest] : what.m_measures->write_gaps())
        gap = std::max(gap, longest);
    service_level lowest;
    service_level slowest;
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t wrongful = 0;
    for (const service_level& level : what.m_measures->service_levels())
    {
        if (what.m_overloaded.contains(level.m_name))
            continue;
        requests += level.m_requests;
        refused += level.m_refused_within_rate;
        wrongful += level.m_wrongful;
        if (lowest.m_name.empty() || level.success() < lowest.success())
            lowest = level;
        if (slowest.m_name.empty() || level.m_p99 > slowest.m_p99)
            slowest = level;
    }
    absl::Duration read;
    for (const metrics::latency_summary& item :
         what.m_measures->snapshot().m_latencies)
        read = item.m_name == "read" ? item.m_p50 : read;
    return absl::StrFormat(
        "| %s, seed %d | %.2f %% | %.0f | %.2f %% (%s) | %.1f (%s) | %d of %d "
        "| %d | %.2f | %d | %d |\n",
        label, what.m_seed, 100 * what.m_measures->replica_share(),
        milliseconds(gap), 100 * lowest.success(), lowest.m_name,
        milliseconds(slowest.m_p99), slowest.m_name, refused, requests,
        wrongful, milliseconds(read), what.m_unresolved,
        what.m_violations->total());
}

std::string to_json(const report& what)
{
    Struct all;
    set(all, "profile", what.m_profile);
    // As text, because a JSON number holds only 53 bits.
    set(all, "seed", absl::StrCat(what.m_seed));
    set(all, "duration_s", absl::ToDoubleSeconds(what.m_duration));
    set(all, "replica_share", what.m_measures->replica_share());
    for (const auto& [group, gap] : what.m_measures->write_gaps())
        set(part(all, "write_gap_ms"), group, milliseconds(gap));
    for (const service_level& level : what.m_measures->service_levels())
    {
        Struct& one = part(part(all, "organisations"), level.m_name);
        set(one, "requests", number(level.m_requests));
        set(one, "over_rate", number(level.m_over_rate));
        set(one, "refused_within_rate", number(level.m_refused_within_rate));
        set(one, "wrongful_refusals", number(level.m_wrongful));
        set(one, "success", level.success());
        set(one, "p99_ms", milliseconds(level.m_p99));
    }
    const metrics::snapshot_data data = what.m_measures->snapshot();
    for (const metrics::latency_summary& item : data.m_latencies)
    {
        Struct& one = part(part(all, "latency_ms"), item.m_name);
        set(one, "count", number(item.m_count));
        set(one, "p50", milliseconds(item.m_p50));
        set(one, "p90", milliseconds(item.m_p90));
        set(one, "p99", milliseconds(item.m_p99));
        set(one, "p999", milliseconds(item.m_p999));
        set(one, "max", milliseconds(item.m_max));
    }
    for (const auto& [name, value] : data.m_counters)
        set(part(all, "counters"), name, number(value));
    set(all, "unresolved_writes", number(what.m_unresolved));
    set(all, "final_state_checked", what.m_final_state_checked ? 1.0 : 0.0);
    for (const auto& [name, value] : counts_of(*what.m_violations))
        set(part(all, "violations"), name, number(value));
    std::string text;
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    const auto status =
        google::protobuf::util::MessageToJsonString(all, &text, options);
    return status.ok() ? text : std::string();
}

} // namespace magnoliastack::load
