// Durations that the slot keeper and the ledger have to agree on.
#ifndef MAGNOLIASTACK_SHARE_TIMING_HPP
#define MAGNOLIASTACK_SHARE_TIMING_HPP

#include "absl/time/time.h"

#include <algorithm>

namespace magnoliastack::share
{

// How long shares of one kind outlive contact and loans.
struct kind_timing
{
    // A share is usable this long after the last confirmation that the host
    // still owns its slots.
    absl::Duration m_bound;
    // What a paused host can keep using beyond the end of its share. A rate
    // is checked at each admission; an open connection stays open.
    absl::Duration m_hold;
};

// The same on every host; a host with shorter waits breaks the limits.
struct share_timing
{
    kind_timing m_fraction = {absl::Seconds(5), absl::ZeroDuration()};
    // Longer than for rates, so that a partitioned failure domain can go on
    // serving open routes. The hold is the longest pause of a process that
    // keeps its connections open.
    kind_timing m_units = {absl::Seconds(60), absl::Seconds(30)};
    // Length of a loan from the borrower's send time.
    absl::Duration m_loan = absl::Seconds(2);
    // Covers the clock drift over the other durations and the time between
    // the check of a share and its use.
    absl::Duration m_margin = absl::Milliseconds(500);

    // When a lender may count on a loan's end, from its own record of it.
    [[nodiscard]] absl::Duration loan_end(const kind_timing& kind) const
    {
        return m_loan + m_margin + kind.m_hold;
    }
    // How long after a majority knows of a takeover the former owner and its
    // borrowers can use the slot. Drift is taken as 1 percent of the bound on
    // top of the margin.
    [[nodiscard]] absl::Duration takeover(const kind_timing& kind) const
    {
        return kind.m_bound * 1.02 + m_margin + kind.m_hold;
    }
    [[nodiscard]] absl::Duration longest_takeover() const
    {
        return std::max(takeover(m_fraction), takeover(m_units));
    }
    [[nodiscard]] absl::Duration longest_loan_end() const
    {
        return std::max(loan_end(m_fraction), loan_end(m_units));
    }
};

} // namespace magnoliastack::share

#endif
