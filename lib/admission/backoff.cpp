#include "magnoliastack/admission/backoff.hpp"

#include "absl/random/distributions.h"

#include <algorithm>

namespace magnoliastack::admission
{

backoff::backoff(backoff_options options)
    : m_options(options), m_limit(options.m_first)
{
}

absl::Duration backoff::next(absl::BitGenRef random)
{
    const absl::Duration limit = m_limit;
    m_limit = std::min(m_options.m_largest, m_limit * 2);
    return limit * absl::Uniform(random, 0.0, 1.0);
}

void backoff::reset()
{
    m_limit = m_options.m_first;
}

} // namespace magnoliastack::admission
