#include "magnoliastack/fleet/endpoint_relay.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::fleet
{
namespace
{

std::size_t size_of_texts(const catalogue::endpoint_entry& entry)
{
    return entry.m_id.str().size() + entry.m_group.str().size() +
           entry.m_address.size() + entry.m_failure_domain.str().size();
}

} // namespace

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
    if (m_read_at.value() == 0)
        return {};
    std::vector<endpoint_update> result;
    std::size_t texts = 0;
    for (const auto& entry : m_endpoints)
    {
        const std::size_t size = size_of_texts(entry);
        if (result.empty() ||
            result.back().m_endpoints.size() >= m_options.m_largest_update ||
            texts + size > m_options.m_largest_texts)
        {
            endpoint_update& added = result.emplace_back();
            added.m_host = m_self;
            added.m_read_at = m_read_at;
            added.m_part = static_cast<std::uint32_t>(result.size() - 1);
            texts = 0;
        }
        result.back().m_endpoints.push_back(entry);
        texts += size;
    }
    if (result.size() > m_options.m_largest_parts)
        return {};
    for (auto& update : result)
        update.m_parts = static_cast<std::uint32_t>(result.size());
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
    // A sender of another version may pass on what this one does not use.
    std::erase_if(all,
                  [](const auto& entry)
                  {
                      return !catalogue::check(entry);
                  });
    return all;
}

} // namespace magnoliastack::fleet
