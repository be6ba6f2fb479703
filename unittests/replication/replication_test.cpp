#include "magnoliastack/replication/commit_bounds.hpp"

#include <cstdint>
#include <cstdlib>
#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace magnoliastack::replication;
namespace base = magnoliastack::base;

namespace
{

base::instant at(int milliseconds)
{
    return base::instant() + absl::Milliseconds(milliseconds);
}

base::log_point point(std::uint64_t term, std::uint64_t number)
{
    return {base::term(term), base::log_position(number)};
}

} // namespace

Test(commit_bounds, the_lowest_point_that_is_fresh_enough_is_given)
{
    commit_bounds bounds;
    bounds.observed(point(1, 10), at(1000));
    bounds.observed(point(1, 20), at(2000));
    cr_assert(*bounds.covering(at(900)) == point(1, 10));
    cr_assert(*bounds.covering(at(1500)) == point(1, 20));
    cr_assert_not(bounds.covering(at(2500)).has_value());
}

Test(commit_bounds, points_of_an_older_term_are_dropped)
{
    commit_bounds bounds;
    bounds.observed(point(1, 50), at(1000));
    bounds.term_changed(base::term(2));
    cr_assert_not(bounds.covering(at(500)).has_value());
    bounds.observed(point(1, 60), at(1100));
    cr_assert_not(bounds.covering(at(500)).has_value());
    bounds.observed(point(2, 40), at(1200));
    cr_assert(*bounds.covering(at(500)) == point(2, 40));
}

// The promise behind every read at a replica, with answers in any order.
Test(commit_bounds, no_point_misses_a_commit_before_its_instant)
{
    const char* given = std::getenv("MAGNOLIA_SEED");
    const unsigned seed =
        given == nullptr ? 7U : static_cast<unsigned>(std::atoi(given));
    std::mt19937 random(seed);
    for (int run = 0; run < 200; ++run)
    {
        commit_bounds bounds;
        // Commits at each instant: log end over time.
        std::vector<std::uint64_t> log_end(4000);
        std::uint64_t end = 1;
        for (auto& value : log_end)
        {
            end += random() % 10 == 0 ? 1 : 0;
            value = end;
        }
        for (int count = 0; count < 80; ++count)
        {
            const int sent = static_cast<int>(random() % 3500);
            const int run_at = sent + static_cast<int>(random() % 400);
            bounds.observed(point(1, log_end[run_at]), at(sent));
        }
        for (int since = 0; since < 3500; since += 50)
        {
            const auto covering = bounds.covering(at(since));
            if (covering)
                cr_assert(covering->m_position.value() >= log_end[since],
                          "run %d, since %d, seed %u", run, since, seed);
        }
    }
}
