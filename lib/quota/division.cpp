#include "magnoliastack/quota/division.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace magnoliastack::quota
{

std::map<base::host_id, std::size_t>
divide(std::size_t total, const std::map<base::host_id, double>& demands)
{
    struct part
    {
        base::host_id m_host;
        std::size_t m_whole = 0;
        double m_rest = 0;
    };
    double sum = 0;
    for (const auto& [host, demand] : demands)
        sum += demand;
    const auto hosts = static_cast<double>(demands.size());
    std::vector<part> parts;
    std::size_t given = 0;
    for (const auto& [host, demand] : demands)
    {
        const double by_demand = sum > 0 ? demand / sum : 1 / hosts;
        const double exact = static_cast<double>(total) *
                             (even_part / hosts + (1 - even_part) * by_demand);
        part next{host, static_cast<std::size_t>(exact), 0};
        next.m_rest = exact - std::floor(exact);
        given += next.m_whole;
        parts.push_back(next);
    }
    // What the rounding left goes to the largest rests.
    std::stable_sort(parts.begin(), parts.end(),
                     [](const part& one, const part& other)
                     {
                         return one.m_rest > other.m_rest;
                     });
    std::map<base::host_id, std::size_t> result;
    for (const auto& item : parts)
    {
        const std::size_t extra = given < total ? 1 : 0;
        given += extra;
        result[item.m_host] = std::max<std::size_t>(1, item.m_whole + extra);
    }
    return result;
}

} // namespace magnoliastack::quota
