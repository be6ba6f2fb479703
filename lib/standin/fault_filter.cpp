#include "magnoliastack/standin/fault_filter.hpp"

#include <utility>

namespace magnoliastack::standin
{

void fault_filter::drop_write_answers(std::uint32_t count)
{
    m_drop_writes = count;
}

void fault_filter::cross_answers(std::uint32_t count)
{
    m_cross = count;
}

void fault_filter::set_cut(std::set<std::string> peers)
{
    m_cut = std::move(peers);
}

bool fault_filter::is_cut(const std::string& peer) const
{
    return m_cut.contains(peer);
}

void fault_filter::connection_opened(base::connection_generation connection)
{
    m_connections[connection];
}

void fault_filter::connection_closed(base::connection_generation connection)
{
    m_connections.erase(connection);
}

void fault_filter::silence_open_connections()
{
    for (auto& [number, connection] : m_connections)
        connection.m_silent = true;
}

std::optional<rpc::call_part>
fault_filter::filter(base::connection_generation connection,
                     rpc::call_part part, bool write)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end() || found->second.m_silent)
        return std::nullopt;
    if (!part.m_end)
        return part;
    if (write && m_drop_writes > 0)
    {
        --m_drop_writes;
        return std::nullopt;
    }
    const base::call_id own = part.m_call;
    if (m_cross > 0)
    {
        --m_cross;
        // The first answer on a connection takes the id of the next call.
        part.m_call = found->second.m_last_call.value() == 0
                          ? own.next()
                          : found->second.m_last_call;
    }
    found->second.m_last_call = own;
    return part;
}

} // namespace magnoliastack::standin
