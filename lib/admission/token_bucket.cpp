#include "magnoliastack/admission/token_bucket.hpp"

#include <algorithm>

namespace magnoliastack::admission
{

namespace
{

double part_of(std::uint64_t fraction)
{
    return static_cast<double>(std::min(fraction, whole_fraction)) /
           static_cast<double>(whole_fraction);
}

} // namespace

token_bucket::token_bucket(token_bucket_options options) : m_options(options)
{
}

void token_bucket::set_limits(double rate, double burst, std::uint64_t fraction,
                              base::instant now)
{
    set_limits(rate, burst, fraction, now + m_options.m_default_validity, now);
}

void token_bucket::set_limits(double rate, double burst, std::uint64_t fraction,
                              base::instant valid_until, base::instant now)
{
    set_share(rate, burst * part_of(fraction), fraction, valid_until, now);
}

void token_bucket::set_share(double rate, double capacity,
                             std::uint64_t fraction, base::instant valid_until,
                             base::instant now)
{
    if (!m_started)
    {
        m_started = true;
        m_updated = now;
    }
    advance(now);
    m_rate = std::max(rate, 0.0) * part_of(fraction) /
             (1.0 + m_options.m_clock_drift);
    m_capacity = std::max(capacity, 0.0);
    m_tokens = std::min(m_tokens, m_capacity);
    m_valid_until = valid_until;
}

bool token_bucket::try_take(base::instant now)
{
    advance(now);
    if (!m_started || now >= m_valid_until || m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

void token_bucket::give_back(base::instant now)
{
    advance(now);
    m_tokens = std::min(m_capacity, m_tokens + 1.0);
}

absl::Duration token_bucket::wait_for_token(base::instant now) const
{
    const double present = tokens(now);
    if (present >= 1.0)
        return absl::ZeroDuration();
    if (m_rate <= 0.0 || m_capacity < 1.0)
        return absl::InfiniteDuration();
    return absl::Seconds((1.0 - present) / m_rate);
}

double token_bucket::tokens(base::instant now) const
{
    token_bucket copy = *this;
    copy.advance(now);
    return copy.m_tokens;
}

void token_bucket::advance(base::instant now)
{
    // Nothing accrues after the end of the share: another host may have it.
    const base::instant end = std::min(now, m_valid_until);
    if (end > m_updated)
        m_tokens = std::min(
            m_capacity,
            m_tokens + m_rate * absl::ToDoubleSeconds(end - m_updated));
    m_updated = std::max(m_updated, now);
}

} // namespace magnoliastack::admission
