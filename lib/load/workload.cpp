#include "magnoliastack/load/workload.hpp"

#include <algorithm>

namespace magnoliastack::load
{

workload::workload(const profile& what, double rate,
                   const overload_factors& overload, std::uint64_t seed)
    : m_profile(what)
{
    std::vector<double> weights;
    double arrivals_per_request = 0;
    for (const mix_entry& entry : what.m_mix)
    {
        weights.push_back(entry.m_share / entry.m_burst);
        arrivals_per_request += weights.back();
    }
    m_kinds = {weights.begin(), weights.end()};
    for (std::size_t index = 0; index < what.m_organisations.size(); ++index)
    {
        const organisation_share& who = what.m_organisations[index];
        const auto factor = overload.find(who.m_name);
        source& added = m_sources.emplace_back();
        added.m_rate = rate * who.m_share * arrivals_per_request *
                       (factor == overload.end() ? 1.0 : factor->second);
        // Each organisation has its own engine, so that the overload of one
        // leaves the arrivals of the others as they are.
        std::seed_seq mixed{static_cast<std::uint32_t>(seed),
                            static_cast<std::uint32_t>(seed >> 32),
                            static_cast<std::uint32_t>(index)};
        added.m_random.seed(mixed);
        advance(added);
    }
}

arrival workload::next()
{
    const auto first = std::ranges::min_element(m_sources, {}, &source::m_next);
    const mix_entry& entry = m_profile.m_mix.at(m_kinds(first->m_random));
    const arrival result{first->m_next,
                         static_cast<std::size_t>(first - m_sources.begin()),
                         entry.m_kind, entry.m_burst};
    advance(*first);
    return result;
}

void workload::advance(source& from)
{
    std::exponential_distribution<double> gap(from.m_rate);
    from.m_next += absl::Seconds(gap(from.m_random));
}

} // namespace magnoliastack::load
