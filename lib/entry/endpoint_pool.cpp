#include "magnoliastack/entry/endpoint_pool.hpp"

#include <algorithm>

namespace magnoliastack::entry
{
namespace
{

// Requests that are needed before the connection has just these values.
std::size_t changes_needed(const connection& item, const value_map& values)
{
    std::size_t changes = 0;
    for (const auto& [name, value] : values)
    {
        const auto found = item.m_values.find(name);
        if (found == item.m_values.end() || found->second != value)
            ++changes;
    }
    for (const auto& held : item.m_values)
        if (!values.contains(held.first))
            return values.size() + 1 + item.m_prepared.size();
    return changes;
}

} // namespace

endpoint_pool::endpoint_pool(pool_options options) : m_options(options)
{
}

void endpoint_pool::set_share(std::size_t connections)
{
    m_share = connections;
    m_held = false;
}

void endpoint_pool::set_held(std::size_t connections)
{
    m_share = connections;
    m_held = true;
}

connection* endpoint_pool::find_idle(const base::organisation_id& organisation,
                                     const value_map& values)
{
    connection* best = nullptr;
    std::size_t best_changes = 0;
    for (auto& [number, item] : m_connections)
    {
        if (!item->is_idle() || item->m_organisation != organisation)
            continue;
        const std::size_t changes = changes_needed(*item, values);
        if (best != nullptr && changes >= best_changes)
            continue;
        best = item.get();
        best_changes = changes;
    }
    return best;
}

connection* endpoint_pool::oldest_idle()
{
    connection* oldest = nullptr;
    for (auto& [number, item] : m_connections)
        if (item->is_idle() &&
            (oldest == nullptr || item->m_used < oldest->m_used))
            oldest = item.get();
    return oldest;
}

bool endpoint_pool::can_open(base::instant now) const
{
    const std::size_t multiple = m_held ? 1 : m_options.m_largest_multiple;
    return now >= m_refused_until &&
           m_connections.size() < std::max<std::size_t>(m_share, 1) * multiple;
}

connection& endpoint_pool::add(base::connection_generation number,
                               const base::endpoint_id& endpoint,
                               const base::organisation_id& organisation,
                               base::instant now)
{
    auto item = std::make_unique<connection>();
    item->m_number = number;
    item->m_endpoint = endpoint;
    item->m_organisation = organisation;
    item->m_opened = now;
    item->m_used = now;
    item->m_heard = now;
    return *m_connections.emplace(number, std::move(item)).first->second;
}

void endpoint_pool::remove(base::connection_generation number)
{
    m_connections.erase(number);
}

void endpoint_pool::refused(base::instant now)
{
    m_refused_until = now + m_options.m_refusal_pause;
}

std::size_t endpoint_pool::opening() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto& item)
                      {
                          return !item.second->m_open;
                      }));
}

std::size_t endpoint_pool::busy() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto& item)
                      {
                          return !item.second->is_idle();
                      }));
}

std::vector<base::connection_generation> endpoint_pool::numbers() const
{
    std::vector<base::connection_generation> result;
    result.reserve(m_connections.size());
    for (const auto& [number, item] : m_connections)
        result.push_back(number);
    return result;
}

std::vector<connection*> endpoint_pool::all()
{
    std::vector<connection*> result;
    result.reserve(m_connections.size());
    for (auto& [number, item] : m_connections)
        result.push_back(item.get());
    return result;
}

} // namespace magnoliastack::entry
