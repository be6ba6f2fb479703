#include "magnoliastack/admission/retry_budget.hpp"

#include <algorithm>

namespace magnoliastack::admission
{

retry_budget::retry_budget(retry_budget_options options)
    : m_options(options), m_available(options.m_reserve)
{
}

void retry_budget::attempt_started()
{
    m_available =
        std::min(m_options.m_reserve, m_available + m_options.m_ratio);
}

bool retry_budget::try_retry()
{
    if (m_available < 1.0)
        return false;
    m_available -= 1.0;
    return true;
}

} // namespace magnoliastack::admission
