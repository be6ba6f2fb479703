// Randomised runs of a fleet. MAGNOLIA_SEED repeats one seed.
#include "fleet.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include <criterion/criterion.h>

namespace
{

using namespace magnoliastack;

std::vector<std::uint64_t> seeds(std::uint64_t first, std::uint64_t count)
{
    if (const char* one = std::getenv("MAGNOLIA_SEED"))
        return {std::strtoull(one, nullptr, 10)};
    std::vector<std::uint64_t> result;
    for (std::uint64_t seed = first; seed < first + count; ++seed)
        result.push_back(seed);
    return result;
}

// Runs seeds and checks the two limits in each.
void check_limits(std::uint64_t first, std::uint64_t count)
{
    test::fleet_report sum;
    for (const std::uint64_t seed : seeds(first, count))
    {
        const auto report = test::fleet({.m_seed = seed}).run();
        cr_expect(report.m_worst_excess <= 1e-6,
                  "seed %llu: %.3f requests above burst + rate * w",
                  static_cast<unsigned long long>(seed), report.m_worst_excess);
        cr_expect(report.m_worst_units <= 0,
                  "seed %llu: %lld connections above the endpoint's limit",
                  static_cast<unsigned long long>(seed),
                  static_cast<long long>(report.m_worst_units));
        cr_expect(report.m_worst_fraction <= 0,
                  "seed %llu: fractions sum to the whole and %lld millionths",
                  static_cast<unsigned long long>(seed),
                  static_cast<long long>(report.m_worst_fraction));
        sum.m_worst_excess =
            std::max(sum.m_worst_excess, report.m_worst_excess);
        sum.m_admitted += report.m_admitted;
        sum.m_loans += report.m_loans;
        sum.m_takeovers += report.m_takeovers;
        sum.m_restarts += report.m_restarts;
        sum.m_releases += report.m_releases;
        sum.m_lost_swaps += report.m_lost_swaps;
    }
    std::printf("seeds from %llu: worst excess %.3f, admitted %llu, loans "
                "%llu, takeovers %llu, "
                "restarts %llu, releases %llu, lost swaps %llu\n",
                static_cast<unsigned long long>(first), sum.m_worst_excess,
                static_cast<unsigned long long>(sum.m_admitted),
                static_cast<unsigned long long>(sum.m_loans),
                static_cast<unsigned long long>(sum.m_takeovers),
                static_cast<unsigned long long>(sum.m_restarts),
                static_cast<unsigned long long>(sum.m_releases),
                static_cast<unsigned long long>(sum.m_lost_swaps));
}

} // namespace

// Guards against more than burst + rate * w in any window and against more
// connections than the endpoint's limit, under loss, delay, cuts, pauses,
// restarts, releases, takeovers, store outages and changes of rate.
Test(fleet, first_half_of_seeds_stays_within_the_limits)
{
    check_limits(1, 250);
}

// The same for other seeds; split so that both run at the same time.
Test(fleet, second_half_of_seeds_stays_within_the_limits)
{
    check_limits(251, 250);
}
