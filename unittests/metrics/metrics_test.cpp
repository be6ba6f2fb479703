#include "magnoliastack/metrics/metrics.hpp"
#include "magnoliastack/request/retry.hpp"

#include <cmath>
#include <fstream>
#include <iterator>
#include <string>

#include <criterion/criterion.h>

namespace metrics = magnoliastack::metrics;

namespace
{

bool is_near(absl::Duration value, double expected_us)
{
    const double us = absl::ToDoubleMicroseconds(value);
    return std::abs(us - expected_us) <= 0.025 * expected_us;
}

} // namespace

// Guards against quantiles that are off by a bin, a rank or a unit.
Test(latency, quantiles_of_known_values_are_within_the_stated_error)
{
    metrics::latency item("x");
    for (int ms = 1; ms <= 1000; ++ms)
        item.record(absl::Milliseconds(ms));
    const auto summary = item.summary();
    cr_assert_eq(summary.m_count, 1000U);
    cr_assert(is_near(summary.m_p50, 500e3));
    cr_assert(is_near(summary.m_p90, 900e3));
    cr_assert(is_near(summary.m_p99, 990e3));
    cr_assert(summary.m_max == absl::Seconds(1));
    cr_assert(is_near(item.at(0), 1e3));
    cr_assert(is_near(item.at(1), 1e6));
}

// Guards against lost records and infinities at the ends of the range.
Test(latency, values_outside_the_range_count_at_its_ends)
{
    metrics::latency item("x");
    cr_assert(item.at(0.5) == absl::ZeroDuration());
    item.record(absl::ZeroDuration());
    item.record(absl::Seconds(-1));
    item.record(absl::Hours(1));
    cr_assert_eq(item.summary().m_count, 3U);
    cr_assert(item.at(0.5) <= absl::Microseconds(1));
    cr_assert(item.at(1) == absl::Hours(1));
}

// Guards against a merge that loses the other's maximum or count.
Test(latency, a_merge_adds_all_records)
{
    metrics::latency first("x");
    metrics::latency second("x");
    first.record(absl::Milliseconds(1));
    second.record(absl::Milliseconds(9));
    first.merge(second);
    cr_assert_eq(first.summary().m_count, 2U);
    cr_assert(first.summary().m_max == absl::Milliseconds(9));
}

// Guards against two counters under one name.
Test(registry, a_name_always_gives_the_same_counter)
{
    metrics::registry all;
    all.counter("refused.queue_full").add(2);
    all.counter(metrics::refusal_counter(
                    magnoliastack::base::refusal_reason::queue_full))
        .add();
    all.latency("request").record(absl::Milliseconds(1));
    const auto data = all.snapshot();
    cr_assert_eq(data.m_counters.size(), 1U);
    cr_assert_eq(data.m_counters.at("refused.queue_full"), 3U);
    cr_assert_eq(data.m_latencies.size(), 1U);
}

// Guards against a reason that operators cannot look up.
Test(operations_page, every_refusal_and_retry_reason_is_listed)
{
    namespace base = magnoliastack::base;
    namespace request = magnoliastack::request;
    std::ifstream in(MAGNOLIASTACK_OPERATIONS_PAGE);
    const std::string page((std::istreambuf_iterator<char>(in)),
                           std::istreambuf_iterator<char>());
    const auto retries = page.find("## Retries inside a host");
    cr_assert_neq(retries, std::string::npos);
    for (int index = 0; index < base::refusal_reason_count; ++index)
    {
        const std::string name(
            base::to_string(static_cast<base::refusal_reason>(index)));
        cr_assert_lt(page.find("| `" + name + "` |"), retries, "%s",
                     name.c_str());
    }
    for (int index = 0; index < request::retry_reason_count; ++index)
    {
        const std::string name(
            request::to_string(static_cast<request::retry_reason>(index)));
        cr_assert_neq(page.find("| `" + name + "` |", retries),
                      std::string::npos, "%s", name.c_str());
    }
}
