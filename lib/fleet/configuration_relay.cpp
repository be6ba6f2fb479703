#include "magnoliastack/fleet/configuration_relay.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace magnoliastack::fleet
{

configuration_relay::configuration_relay(base::host_id self,
                                         configuration_relay_options options)
    : m_self(std::move(self)), m_options(options)
{
}

const std::vector<std::string>&
configuration_relay::datagrams(const rpc::configuration_ptr& configuration)
{
    if (m_encoded == configuration)
        return m_datagrams;
    m_encoded = configuration;
    m_datagrams.clear();
    const std::string whole = encode(configuration_update{configuration});
    const std::size_t size = m_options.m_largest_part;
    const std::size_t parts = (whole.size() + size - 1) / size;
    if (parts == 1)
        m_datagrams.push_back(whole);
    else if (parts <= m_options.m_largest_parts)
        for (std::size_t part = 0; part < parts; ++part)
            m_datagrams.push_back(
                encode(configuration_part{m_self, configuration->m_version,
                                          static_cast<std::uint32_t>(part),
                                          static_cast<std::uint32_t>(parts),
                                          whole.substr(part * size, size)}));
    return m_datagrams;
}

bool configuration_relay::is_receiving(base::instant now) const
{
    return !m_parts.empty() && now - m_received < m_options.m_part_wait;
}

rpc::configuration_ptr configuration_relay::received(configuration_part part,
                                                     base::instant now)
{
    if (part.m_part >= part.m_parts || part.m_parts > m_options.m_largest_parts)
        return nullptr;
    if (part.m_host != m_from || part.m_version != m_version)
        m_parts.clear();
    m_from = part.m_host;
    m_version = part.m_version;
    m_received = now;
    m_parts[part.m_part] = std::move(part.m_bytes);
    if (m_parts.size() < part.m_parts)
        return nullptr;
    std::string whole;
    for (const auto& [number, bytes] : std::exchange(m_parts, {}))
        whole += bytes;
    const auto joined = decode_joined(whole);
    const auto* update =
        joined ? std::get_if<configuration_update>(&*joined) : nullptr;
    return update == nullptr ? nullptr : update->m_configuration;
}

} // namespace magnoliastack::fleet
