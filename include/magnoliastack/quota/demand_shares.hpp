// This host's part of each organisation's rate.
#ifndef MAGNOLIASTACK_QUOTA_DEMAND_SHARES_HPP
#define MAGNOLIASTACK_QUOTA_DEMAND_SHARES_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace magnoliastack::quota
{

// How shares follow demand.
struct demand_options
{
    // Time constant of the measured demand. A small organisation asks a host
    // for some operations a second; a shorter average mistakes chance for
    // demand, and shares that follow it add up to less than the rate.
    absl::Duration m_average = absl::Seconds(4);
    // A risen demand counts this long after it was told: two reports may be
    // lost meanwhile.
    absl::Duration m_settle = absl::Milliseconds(600);
    // Part of the rate that is divided evenly, so that a host which had no
    // demand so far can serve a first operation.
    double m_even_part = 0.25;
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

// A host's demand over time, as it has told it. Every host that has heard the
// same values comes to the same present one.
class told_rate
{
public:
    // A value that counts from an instant on.
    void tell(base::instant from, double rate, base::instant now);

    // The lowest value told since the one that counts: a fall counts at once.
    [[nodiscard]] double at(base::instant now) const;

private:
    std::vector<std::pair<base::instant, double>> m_values;
};

// Every host tells all others its demand, and each takes the part of the rate
// that its demand has in the sum. A risen demand counts from an instant that
// all hosts know, by when they have heard of it, so the parts add up to one.
// The demand of a host that cannot be heard counts on until the host is known
// to have ended, because it may still be serving.
class demand_shares
{
public:
    explicit demand_shares(demand_options options = {});

    // Counts an operation that the organisation asks for.
    void arrived(const base::organisation_id& who, base::instant now);

    // The own demand to tell the others now.
    demand_report report(base::instant now);

    // A host's demand. When the report before was missed, a rise counts at
    // once: the host may have told it long ago.
    struct told_at
    {
        // The own clock at the telling and now.
        base::instant m_told;
        base::instant m_now;
    };
    void reported(const base::host_id& host, const demand_report& demand,
                  const told_at& when, bool missed);

    // The host's process has ended.
    void ended(const base::host_id& host);

    // Demand of each host over all organisations, as last told; the own one
    // under the given name.
    [[nodiscard]] std::map<base::host_id, double>
    totals(const base::host_id& self) const;

    // The host with the most tokens, by what it last told, or none when no
    // host has more than one.
    [[nodiscard]] std::optional<base::host_id>
    richest(const base::organisation_id& who) const;
    // A host had no token to lend.
    void had_none(const base::host_id& host, const base::organisation_id& who);

    // All hosts of the fleet, this one included.
    void set_fleet_size(std::size_t hosts);

    // While it is true a host that may be serving cannot be heard, and does not
    // hear this one. Neither side knows of the other's demand then, so no share
    // may rise above what it was.
    void set_unheard(bool unheard)
    {
        m_unheard = unheard;
    }
    // While it is true this host gives out nothing: the others may have divided
    // its part.
    void set_suspended(bool suspended)
    {
        m_suspended = suspended;
    }

    // Part of the rate, 0 to 1.
    [[nodiscard]] double share(const base::organisation_id& who,
                               base::instant now);

private:
    struct own_demand
    {
        // Operations a second, decayed since m_updated.
        double m_rate = 0;
        base::instant m_updated;
        base::instant m_started;
        told_rate m_told;
    };

    [[nodiscard]] double divided(const base::organisation_id& who,
                                 base::instant now) const;
    [[nodiscard]] double rate_at(const own_demand& item,
                                 base::instant now) const;
    [[nodiscard]] double corrected(const own_demand& item,
                                   base::instant now) const;

    demand_options m_options;
    std::size_t m_fleet_size = 1;
    double m_total_told = 0;
    bool m_unheard = false;
    bool m_suspended = false;
    // Shares while all hosts were heard.
    std::map<base::organisation_id, double> m_agreed;
    std::map<base::organisation_id, own_demand> m_own;
    struct other_demand
    {
        told_rate m_told;
        demand m_last;
    };
    std::map<base::host_id, std::map<base::organisation_id, other_demand>>
        m_others;
};

} // namespace magnoliastack::quota

#endif
