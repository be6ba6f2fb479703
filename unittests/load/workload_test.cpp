#include "magnoliastack/inventory/inventory.hpp"
#include "magnoliastack/load/profile.hpp"
#include "magnoliastack/load/returning.hpp"
#include "magnoliastack/load/workload.hpp"

#include <cmath>
#include <map>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace load = magnoliastack::load;

namespace
{

std::vector<load::arrival> arrivals(const load::profile& what,
                                    const load::overload_factors& overload,
                                    std::uint64_t seed, absl::Duration length)
{
    load::workload source(what, what.m_rate, overload, seed);
    std::vector<load::arrival> all;
    for (auto next = source.next(); next.m_at < length; next = source.next())
        all.push_back(next);
    return all;
}

double requests(const std::vector<load::arrival>& all, std::size_t organisation)
{
    double sum = 0;
    for (const load::arrival& one : all)
        sum += one.m_organisation == organisation ? one.m_count : 0;
    return sum;
}

} // namespace

// Guards against a run that its seed does not repeat.
Test(workload, the_same_seed_gives_the_same_arrivals)
{
    const auto& what = *load::find_profile("muscat");
    const auto first = arrivals(what, {}, 7, absl::Seconds(20));
    const auto second = arrivals(what, {}, 7, absl::Seconds(20));
    cr_assert_eq(first.size(), second.size());
    for (std::size_t index = 0; index < first.size(); ++index)
    {
        cr_assert(first[index].m_at == second[index].m_at);
        cr_assert(first[index].m_kind == second[index].m_kind);
        cr_assert(index == 0 || first[index].m_at >= first[index - 1].m_at);
    }
}

// Guards against a mix or a rate that differs from the profile's.
Test(workload, rate_and_mix_match_the_profile)
{
    for (const char* name : {"muscat", "nordurljos"})
    {
        const auto& what = *load::find_profile(name);
        const auto all = arrivals(what, {}, 3, absl::Seconds(400));
        std::map<load::operation_kind, double> kinds;
        double total = 0;
        for (const load::arrival& one : all)
        {
            kinds[one.m_kind] += one.m_count;
            total += one.m_count;
        }
        cr_assert_lt(std::abs(total / 400 / what.m_rate - 1), 0.05);
        for (const load::mix_entry& entry : what.m_mix)
            cr_assert_lt(std::abs(kinds[entry.m_kind] / total - entry.m_share),
                         0.02);
    }
}

// Guards against an overload that changes the other organisations' arrivals.
Test(workload, overload_concerns_one_organisation_only)
{
    const auto& what = *load::find_profile("nordurljos");
    const std::string& name = what.m_organisations[2].m_name;
    const auto calm = arrivals(what, {}, 5, absl::Seconds(100));
    const auto loaded = arrivals(what, {{name, 10.0}}, 5, absl::Seconds(100));
    for (std::size_t index = 0; index < what.m_organisations.size(); ++index)
    {
        const double factor = requests(loaded, index) / requests(calm, index);
        cr_assert(index == 2 ? factor > 7 && factor < 13
                             : factor > 0.7 && factor < 1.4);
    }
}

// Guards against an inventory that the proxies refuse.
Test(profile, the_inventory_is_valid)
{
    for (const char* name : {"muscat", "nordurljos"})
    {
        const auto& what = *load::find_profile(name);
        const auto parsed = magnoliastack::inventory::parse_inventory(
            load::inventory_text(what, 8, 21001), name);
        cr_assert(parsed.has_value());
        cr_assert_eq(parsed->m_organisations.size(), 8U);
        cr_assert_eq(parsed->m_endpoints.size(), 9U);
    }
    cr_assert_null(load::find_profile("other"));
}

// Guards against a memory figure in the wrong unit.
Test(returning, resident_memory_is_read_in_bytes)
{
    cr_assert_eq(load::resident_bytes("Name:\tx\nVmHWM:\t9 kB\n"
                                      "VmRSS:\t    5120 kB\nThreads:\t3\n"),
                 5120U * 1024);
    cr_assert_eq(load::resident_bytes(""), 0U);
}
