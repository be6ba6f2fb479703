#include "magnoliastack/fleet/endpoint_relay.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::fleet
{

endpoint_relay::endpoint_relay(base::host_id self,
                               endpoint_relay_options options)
    : m_self(std::move(self)), m_options(options)
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

std::vector<endpoint_update> endpoint_relay::updates() const
{
    const std::size_t size = m_options.m_largest_update;
    const std::size_t parts = (m_endpoints.size() + size - 1) / size;
    if (m_read_at.value() == 0 || parts > m_options.m_largest_parts)
        return {};
    std::vector<endpoint_update> result;
    for (std::size_t part = 0; part < parts; ++part)
    {
        endpoint_update& update = result.emplace_back();
        update.m_host = m_self;
        update.m_read_at = m_read_at;
        update.m_part = static_cast<std::uint32_t>(part);
        update.m_parts = static_cast<std::uint32_t>(parts);
        const auto first =
            m_endpoints.begin() + static_cast<std::ptrdiff_t>(part * size);
        const std::size_t count =
            std::min(size, m_endpoints.size() - part * size);
        update.m_endpoints.assign(first,
                                  first + static_cast<std::ptrdiff_t>(count));
    }
    return result;
}

std::optional<std::vector<catalogue::endpoint_entry>>
endpoint_relay::received(endpoint_update part)
{
    if (part.m_read_at <= m_read_at || part.m_part >= part.m_parts ||
        part.m_parts > m_options.m_largest_parts)
        return std::nullopt;
    if (m_partial.m_host != part.m_host ||
        m_partial.m_read_at != part.m_read_at)
        m_partial = {part.m_host, part.m_read_at, {}};
    m_partial.m_parts[part.m_part] = std::move(part.m_endpoints);
    if (m_partial.m_parts.size() < part.m_parts)
        return std::nullopt;
    std::vector<catalogue::endpoint_entry> all;
    for (auto& [index, entries] : m_partial.m_parts)
        all.insert(all.end(), entries.begin(), entries.end());
    m_partial = {};
    return all;
}

} // namespace magnoliastack::fleet
