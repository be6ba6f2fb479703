// Linear fits through measured values.
#ifndef MAGNOLIASTACK_BENCH_FIT_HPP
#define MAGNOLIASTACK_BENCH_FIT_HPP

#include <optional>
#include <vector>

namespace magnoliastack::bench
{

// A value measured at a size.
struct sample
{
    double m_size = 0;
    double m_value = 0;
};

// The least-squares line through samples.
struct line
{
    double m_slope = 0;
    double m_intercept = 0;
    double m_r_squared = 0;
};

// Fits a line; nothing for fewer than two different sizes.
std::optional<line> fit(const std::vector<sample>& samples);

} // namespace magnoliastack::bench

#endif
