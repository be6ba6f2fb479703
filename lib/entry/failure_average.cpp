#include "magnoliastack/entry/failure_average.hpp"

namespace magnoliastack::entry
{

failure_average::failure_average(failure_options options) : m_options(options)
{
}

void failure_average::ended(bool failed, base::instant now)
{
    m_failing = m_failing * (1 - m_options.m_weight) +
                (failed ? m_options.m_weight : 0);
    if (!failed)
    {
        m_first_failure.reset();
        m_down_since.reset();
        return;
    }
    if (!m_first_failure)
        m_first_failure = now;
    if (m_failing > m_options.m_down_above && !m_down_since)
        m_down_since = m_first_failure;
}

bool failure_average::is_avoided(base::instant now) const
{
    return m_failing > m_options.m_avoided_above && now < m_next_trial;
}

void failure_average::tried(base::instant now)
{
    m_next_trial = now + m_options.m_trial_interval;
}

} // namespace magnoliastack::entry
