#include "magnoliastack/handover/lost_replicas.hpp"

#include <algorithm>

namespace magnoliastack::handover
{
namespace
{

using catalogue::endpoint_entry;

const endpoint_entry* find(const std::vector<endpoint_entry>& entries,
                           const base::endpoint_id& id)
{
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [&id](const endpoint_entry& entry)
                                    {
                                        return entry.m_id == id;
                                    });
    return found == entries.end() ? nullptr : &*found;
}

// A replica that restarts has forgotten its log; a primary keeps it.
bool has_lost_log(const endpoint_entry& before, const endpoint_entry& after)
{
    return !before.m_primary &&
           before.m_started_unix_ms != after.m_started_unix_ms;
}

// The log of an endpoint that leaves goes to the next one at its address.
bool has_successor(const endpoint_entry& entry,
                   const std::vector<endpoint_entry>& entries)
{
    return entry.m_leaving &&
           std::any_of(entries.begin(), entries.end(),
                       [&entry](const endpoint_entry& other)
                       {
                           return other.m_address == entry.m_address;
                       });
}

} // namespace

void lost_replicas::entries_changed(const std::vector<endpoint_entry>& before,
                                    const std::vector<endpoint_entry>& after,
                                    base::instant now)
{
    for (const endpoint_entry& entry : before)
    {
        const endpoint_entry* still = find(after, entry.m_id);
        const bool lost = still == nullptr ? !has_successor(entry, after)
                                           : has_lost_log(entry, *still);
        if (!lost)
            continue;
        // What covers a later loss covers the ones before it.
        std::erase_if(m_lost,
                      [&entry](const lost_replica& known)
                      {
                          return known.m_entry.m_id == entry.m_id;
                      });
        m_lost.push_back({entry, now, std::nullopt});
    }
    std::erase_if(
        m_lost,
        [&after](const lost_replica& lost)
        {
            const endpoint_entry* back = find(after, lost.m_entry.m_id);
            return has_successor(lost.m_entry, after) ||
                   (back != nullptr && !has_lost_log(lost.m_entry, *back));
        });
}

void lost_replicas::primary_observed(base::log_point end, base::instant sent)
{
    for (lost_replica& lost : m_lost)
        if (!lost.m_covered_by && sent > lost.m_since)
            lost.m_covered_by = end;
}

void lost_replicas::replica_observed(base::log_point received,
                                     base::instant now)
{
    std::erase_if(m_lost,
                  [this, received, now](const lost_replica& lost)
                  {
                      return lost.m_covered_by &&
                             received >= *lost.m_covered_by &&
                             now - lost.m_since >= m_options.m_memory;
                  });
}

} // namespace magnoliastack::handover
