#include "magnoliastack/configuration/acceptance.hpp"

#include <vector>

#include <criterion/criterion.h>

namespace base = magnoliastack::base;
namespace configuration = magnoliastack::configuration;
namespace rpc = magnoliastack::rpc;

namespace
{

base::instant at(double seconds)
{
    return base::instant() + absl::Seconds(1'000 + seconds);
}

rpc::listed_host listed(const char* name)
{
    rpc::listed_host host;
    host.m_host = base::host_id(name);
    return host;
}

configuration::host_report report(const char* name, std::uint64_t version,
                                  base::instant heard)
{
    return {base::host_id(name), base::incarnation(1),
            base::configuration_version(version), heard, heard};
}

// Judges version 2 every 100 ms; host c stopped answering at 10 s under
// version 1. Whether it was accepted by 30 s.
bool accepts_without_silent_host(configuration::acceptance_judge& judge)
{
    for (double second = 10; second < 30; second += 0.1)
    {
        judge.hosts_listed({listed("a"), listed("b"), listed("c")}, at(second),
                           at(second));
        const auto verdict =
            judge.judge(base::configuration_version(2),
                        {report("a", 2, at(second)), report("b", 2, at(second)),
                         report("c", 1, at(10))},
                        at(second));
        if (verdict.m_accepted)
            return true;
    }
    return false;
}

configuration::acceptance_judge judge_at(const char* self)
{
    configuration::judge_options options;
    options.m_self = base::host_id(self);
    return configuration::acceptance_judge(options);
}

} // namespace

// Guards against a change that stays pending for hours because the first list
// of a starting fleet named only the host that fell silent later.
Test(acceptance, partial_lists_of_a_starting_fleet_are_forgotten)
{
    auto judge = judge_at("a");
    judge.hosts_listed({listed("c")}, at(0), at(0));
    judge.hosts_listed({listed("a"), listed("b"), listed("c")}, at(1), at(1));
    judge.roster_seen({}, at(5));
    judge.row_seen(base::configuration_version(2), at(10));
    cr_assert(accepts_without_silent_host(judge));
}

// Guards against forgetting a set with which a running host can confirm
// itself: it was in force after the join delay.
Test(acceptance, a_set_that_was_in_force_later_still_counts)
{
    auto judge = judge_at("a");
    judge.hosts_listed({listed("c")}, at(0), at(0));
    judge.hosts_listed({listed("c")}, at(3), at(3));
    judge.hosts_listed({listed("a"), listed("b"), listed("c")}, at(4), at(4));
    judge.roster_seen({}, at(5));
    judge.row_seen(base::configuration_version(2), at(10));
    cr_assert(!accepts_without_silent_host(judge));
}
