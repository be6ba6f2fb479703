// What organisations ask of each host of a small fleet.
#ifndef MAGNOLIASTACK_QUOTA_DEMAND_TABLE_HPP
#define MAGNOLIASTACK_QUOTA_DEMAND_TABLE_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace magnoliastack::quota
{

// How demand is measured.
struct demand_options
{
    // Time constant of the measured demand. A small organisation asks a host
    // for some operations a second; a shorter average mistakes chance for
    // demand.
    absl::Duration m_average = absl::Seconds(4);
};

// One organisation at one host.
struct demand
{
    base::organisation_id m_organisation;
    // Operations a second that the host is asked for.
    double m_rate = 0;
    // Operations that it could admit at once.
    std::uint32_t m_tokens = 0;
};
using demand_report = std::vector<demand>;

// Measures the own demand and keeps what other hosts have told of theirs:
// connections are divided by demand, and a host that runs out of tokens asks
// the one that has the most.
class demand_table
{
public:
    explicit demand_table(demand_options options = {});

    // Counts an operation that the organisation asks for.
    void arrived(const base::organisation_id& who, base::instant now);

    // Own demand and the given tokens, to tell the others now.
    demand_report
    report(const std::map<base::organisation_id, std::uint32_t>& tokens,
           base::instant now);

    // Another host's demand.
    void reported(const base::host_id& host, const demand_report& demand);

    // The host's process has ended.
    void ended(const base::host_id& host);

    // Demand of each host over all organisations, as last told; the own one
    // under the given name.
    [[nodiscard]] std::map<base::host_id, double>
    totals(const base::host_id& self) const;

    // The host with the most tokens, as far as is known, or none when no host
    // has any.
    [[nodiscard]] std::optional<base::host_id>
    richest(const base::organisation_id& who) const;
    // A host that was asked has given this many.
    void gave(const base::host_id& host, const base::organisation_id& who,
              std::uint32_t amount);
    // So many were returned to it.
    void returned(const base::host_id& host, const base::organisation_id& who,
                  std::uint32_t amount);

private:
    [[nodiscard]] demand* find(const base::host_id& host,
                               const base::organisation_id& who);

    struct own_demand
    {
        // Operations a second, decayed since m_updated.
        double m_rate = 0;
        base::instant m_updated;
        base::instant m_started;
    };

    [[nodiscard]] double rate_at(const own_demand& item,
                                 base::instant now) const;
    [[nodiscard]] double corrected(const own_demand& item,
                                   base::instant now) const;

    demand_options m_options;
    double m_total_told = 0;
    std::map<base::organisation_id, own_demand> m_own;
    std::map<base::host_id, std::map<base::organisation_id, demand>> m_others;
};

} // namespace magnoliastack::quota

#endif
