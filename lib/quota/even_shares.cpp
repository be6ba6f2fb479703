#include "magnoliastack/quota/even_shares.hpp"

#include <algorithm>

namespace magnoliastack::quota
{

void even_shares::resume()
{
    m_resumed = true;
}

void even_shares::update(const share_view& view)
{
    // A new registration has to be learnt by the others first.
    if (view.m_registration != m_view.m_registration)
        m_joined = false;
    m_view = view;
    if (view.m_registration == 0)
        return;
    m_joined = m_joined || m_resumed || view.m_counted;
    m_resumed = false;
}

double even_shares::share() const
{
    if (!m_joined)
        return 0;
    return 1 / static_cast<double>(std::max<std::size_t>(m_view.m_hosts, 1));
}

} // namespace magnoliastack::quota
