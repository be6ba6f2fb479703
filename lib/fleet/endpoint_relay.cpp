#include "magnoliastack/fleet/endpoint_relay.hpp"

namespace magnoliastack::fleet
{

endpoint_relay::endpoint_relay(endpoint_relay_options options)
    : m_options(options)
{
}

void endpoint_relay::read(
    const std::vector<catalogue::endpoint_entry>& endpoints,
    rpc::store_instant at)
{
    m_endpoints = endpoints;
    m_digest = catalogue::digest(endpoints);
    m_read_at = at;
}

bool endpoint_relay::should_ask(const host_report& report, base::instant now)
{
    if (report.m_endpoints_read_at <= m_read_at ||
        report.m_endpoints_digest == m_digest ||
        (m_asked && now - *m_asked < m_options.m_interval))
        return false;
    m_asked = now;
    return true;
}

std::optional<endpoint_update> endpoint_relay::update() const
{
    if (m_read_at.value() == 0 ||
        m_endpoints.size() > m_options.m_largest_update)
        return std::nullopt;
    return endpoint_update{m_read_at, m_endpoints};
}

} // namespace magnoliastack::fleet
