// Seeded open-loop arrivals of a profile.
#ifndef MAGNOLIASTACK_LOAD_WORKLOAD_HPP
#define MAGNOLIASTACK_LOAD_WORKLOAD_HPP

#include "magnoliastack/load/profile.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace magnoliastack::load
{

// Requests of one organisation that start at one moment.
struct arrival
{
    // Since the start of the run.
    absl::Duration m_at;
    // Index in the profile's organisations.
    std::size_t m_organisation = 0;
    operation_kind m_kind = operation_kind::read;
    std::uint32_t m_count = 1;
};

// Factors of the profile's rate by organisation; 1 for the others.
using overload_factors = std::map<std::string, double>;

// A Poisson process for each organisation. The arrivals depend on the seed
// only, never on answers, so a slow system does not slow them.
class workload
{
public:
    workload(const profile& what, double rate, const overload_factors& overload,
             std::uint64_t seed);

    // The next arrival; times never decrease.
    arrival next();

private:
    struct source
    {
        absl::Duration m_next;
        // Arrivals a second.
        double m_rate = 0;
        std::mt19937_64 m_random;
    };

    void advance(source& from);

    const profile& m_profile;
    std::vector<source> m_sources;
    std::discrete_distribution<std::size_t> m_kinds;
};

} // namespace magnoliastack::load

#endif
