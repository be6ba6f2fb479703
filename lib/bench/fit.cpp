#include "magnoliastack/bench/fit.hpp"

#include <boost/math/statistics/linear_regression.hpp>

#include <algorithm>

namespace magnoliastack::bench
{

std::optional<line> fit(const std::vector<sample>& samples)
{
    std::vector<double> sizes;
    std::vector<double> values;
    for (const sample& item : samples)
    {
        sizes.push_back(item.m_size);
        values.push_back(item.m_value);
    }
    if (sizes.empty() || std::ranges::min(sizes) == std::ranges::max(sizes))
        return std::nullopt;
    using boost::math::statistics::simple_ordinary_least_squares_with_R_squared;
    const auto [intercept, slope, r_squared] =
        simple_ordinary_least_squares_with_R_squared(sizes, values);
    return line{slope, intercept, r_squared};
}

} // namespace magnoliastack::bench
