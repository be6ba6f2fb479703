#include "magnoliastack/bench/fit.hpp"

#include <cmath>

#include <criterion/criterion.h>

using namespace magnoliastack::bench;

// Guards against slope and intercept being swapped.
Test(fit, slope_and_intercept_are_swapped)
{
    const auto found = fit({{1, 5}, {2, 7}, {4, 11}, {8, 19}});
    cr_assert(found);
    cr_assert(std::abs(found->m_slope - 2) < 1e-9);
    cr_assert(std::abs(found->m_intercept - 3) < 1e-9);
    cr_assert(std::abs(found->m_r_squared - 1) < 1e-9);
}

// Guards against a division by zero when all sizes are equal.
Test(fit, equal_sizes_have_a_slope)
{
    cr_assert_not(fit({}));
    cr_assert_not(fit({{3, 1}, {3, 2}}));
}

// Guards against a perfect R squared for values that are not on a line.
Test(fit, scattered_values_look_linear)
{
    const auto found = fit({{1, 1}, {2, 4}, {3, 1}, {4, 4}});
    cr_assert(found);
    cr_assert(found->m_r_squared < 0.5);
}
