// Token bucket for one host's part of an organisation's rate and burst.
#ifndef MAGNOLIASTACK_ADMISSION_TOKEN_BUCKET_HPP
#define MAGNOLIASTACK_ADMISSION_TOKEN_BUCKET_HPP

#include "magnoliastack/base/time.hpp"

#include "absl/time/time.h"

#include <cstdint>

namespace magnoliastack::admission
{

// Fractions are given in millionths of the organisation's rate and burst.
inline constexpr std::uint64_t whole_fraction = 1'000'000;

// How a bucket measures time.
struct token_bucket_options
{
    // Largest rate error of a host's clock. Tokens accrue slower by this part,
    // so that a host whose clock is fast stays within its share.
    double m_clock_drift = 0.01;
    // How long limits hold when the caller names no end. Bounds what a host
    // accrues on a share that lapsed while it was paused; it has to be below
    // the margin that lenders wait (500 ms).
    absl::Duration m_default_validity = absl::Milliseconds(200);
};

// Admits requests at `fraction` of a rate with `fraction` of a burst. Over any
// window w it admits at most its tokens at the start plus the integral of its
// rate, and it never holds more than its part of the burst. So the sum over
// hosts is bounded by burst + rate * w whenever the fractions sum to at most 1.
//
// The owner calls set_limits before each admission and at once after each
// change of the fraction, in particular before it answers a borrower.
class token_bucket
{
public:
    explicit token_bucket(token_bucket_options options = {});

    // Sets rate (requests a second), burst (requests) and this host's fraction
    // in millionths. The first call starts with no tokens. A raised fraction
    // brings none; a lowered one cuts them to the new capacity. The limits
    // hold for the default validity.
    void set_limits(double rate, double burst, std::uint64_t fraction,
                    base::instant now);

    // The same with the instant at which the fraction lapses unless it is set
    // again, as ledger::usable_until tells it.
    void set_limits(double rate, double burst, std::uint64_t fraction,
                    base::instant valid_until, base::instant now);

    // The same with a capacity that is not the fraction of the burst, as
    // ledger::burst_capacity tells it (requests of this host).
    void set_share(double rate, double capacity, std::uint64_t fraction,
                   base::instant valid_until, base::instant now);

    // Takes one token. False when there is none or the limits have lapsed.
    bool try_take(base::instant now);

    // Puts a token back that was taken for a request that never ran. The
    // requests that do run stay within the bound, since without this one the
    // bucket would hold as much at least.
    void give_back(base::instant now);

    // How long until a token is there, at the present limits. Infinite when
    // the rate is zero or the capacity is below one token.
    [[nodiscard]] absl::Duration wait_for_token(base::instant now) const;

    // Tokens at `now`, in requests.
    [[nodiscard]] double tokens(base::instant now) const;

private:
    void advance(base::instant now);

    token_bucket_options m_options;
    bool m_started = false;
    // Requests a second and requests, of this host.
    double m_rate = 0;
    double m_capacity = 0;
    double m_tokens = 0;
    base::instant m_updated;
    base::instant m_valid_until;
};

} // namespace magnoliastack::admission

#endif
