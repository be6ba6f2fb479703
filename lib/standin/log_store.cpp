#include "magnoliastack/standin/log_store.hpp"

#include "magnoliastack/base/invariant.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::standin
{

namespace
{

std::size_t approximate_size(const log_entry& entry)
{
    // Fixed part of an entry on the wire.
    std::size_t size = 64;
    for (const row_change& change : entry.m_changes)
        size += change.m_key.size() + change.m_value.size() + 8;
    if (entry.m_record)
        for (const rpc::row& row : entry.m_record->m_rows)
            size += row.m_key.size() + row.m_value.size() + 8;
    return size;
}

} // namespace

log_store::log_store(std::size_t record_limit) : m_record_limit(record_limit)
{
}

base::log_point log_store::held() const
{
    return m_entries.empty() ? base::log_point{} : m_entries.back().m_point;
}

base::log_position log_store::applied() const
{
    return m_applied;
}

bool log_store::contains(base::log_point point) const
{
    if (point.m_position > held().m_position)
        return false;
    return term_at(point.m_position) == point.m_term;
}

base::term log_store::term_at(base::log_position position) const
{
    MAGNOLIASTACK_INVARIANT(position.value() <= m_entries.size(),
                            "a term is asked for a held position");
    if (position.value() == 0)
        return base::term(0);
    return m_entries[position.value() - 1].m_point.m_term;
}

base::log_position log_store::resume_after(base::log_point point) const
{
    auto position = std::min(point.m_position, held().m_position);
    while (position.value() > 0 && term_at(position) > point.m_term)
        position = base::log_position(position.value() - 1);
    // The entry at the asked position itself is known to differ.
    if (position == point.m_position && position.value() > 0 &&
        term_at(position) != point.m_term)
        position = base::log_position(position.value() - 1);
    return position;
}

std::vector<log_entry> log_store::entries_after(base::log_position position,
                                                std::size_t count,
                                                std::size_t bytes) const
{
    std::vector<log_entry> found;
    std::size_t size = 0;
    for (std::size_t index = position.value(); index < m_entries.size();
         ++index)
    {
        if (found.size() >= count || size >= bytes)
            break;
        size += approximate_size(m_entries[index]);
        found.push_back(m_entries[index]);
    }
    return found;
}

const std::vector<log_entry>& log_store::entries() const
{
    return m_entries;
}

void log_store::append(log_entry entry)
{
    MAGNOLIASTACK_INVARIANT(entry.m_point.m_position ==
                                held().m_position.next(),
                            "log positions rise by one");
    MAGNOLIASTACK_INVARIANT(entry.m_point.m_term >= held().m_term,
                            "terms in a log never fall");
    m_entries.push_back(std::move(entry));
    index_record(m_entries.back());
}

void log_store::truncate(base::log_position last_kept)
{
    if (last_kept >= held().m_position)
        return;
    m_entries.resize(last_kept.value());
    m_records.clear();
    m_floor_unix_ms = std::numeric_limits<std::int64_t>::min();
    for (const log_entry& entry : m_entries)
        index_record(entry);
    if (m_applied <= last_kept)
        return;
    m_applied = base::log_position(0);
    m_rows.clear();
    m_changed.clear();
    apply_up_to(last_kept);
}

void log_store::apply_up_to(base::log_position position)
{
    MAGNOLIASTACK_INVARIANT(position <= held().m_position,
                            "only held entries are applied");
    while (m_applied < position)
    {
        apply_entry(m_entries[m_applied.value()]);
        m_applied = m_applied.next();
    }
}

const log_entry* log_store::record_of(const base::request_id& id) const
{
    const auto found = m_records.find(key_of(id));
    if (found == m_records.end())
        return nullptr;
    return &m_entries[found->second.value() - 1];
}

bool log_store::is_expired(const base::request_id& id) const
{
    return id.m_issued_unix_ms <= m_floor_unix_ms && record_of(id) == nullptr;
}

std::int64_t log_store::floor_unix_ms() const
{
    return m_floor_unix_ms;
}

std::size_t log_store::record_count() const
{
    return m_records.size();
}

const std::map<std::string, std::string>& log_store::rows() const
{
    return m_rows;
}

bool log_store::key_changed_after(const std::string& key,
                                  base::log_position position) const
{
    const auto found = m_changed.find(key);
    return found != m_changed.end() && found->second > position;
}

bool log_store::prefix_changed_after(const std::string& prefix,
                                     base::log_position position) const
{
    for (auto at = m_changed.lower_bound(prefix);
         at != m_changed.end() && at->first.starts_with(prefix); ++at)
        if (at->second > position)
            return true;
    return false;
}

log_store::record_key log_store::key_of(const base::request_id& id)
{
    return {id.m_issued_unix_ms, id.m_high, id.m_low};
}

void log_store::index_record(const log_entry& entry)
{
    if (!entry.m_record)
        return;
    const auto key = key_of(entry.m_record->m_id);
    const auto found = m_records.find(key);
    if (found != m_records.end())
    {
        const request_record& earlier =
            *m_entries[found->second.value() - 1].m_record;
        MAGNOLIASTACK_INVARIANT(earlier.m_fence,
                                "a request id has at most one outcome");
        MAGNOLIASTACK_INVARIANT(
            entry.m_record->m_attempt > earlier.m_attempt,
            "no attempt at or below a fence is recorded after it");
    }
    m_records[key] = entry.m_point.m_position;
    while (m_records.size() > m_record_limit)
    {
        m_floor_unix_ms = std::max(m_floor_unix_ms,
                                   m_records.begin()->first.m_issued_unix_ms);
        m_records.erase(m_records.begin());
    }
}

void log_store::apply_entry(const log_entry& entry)
{
    for (const row_change& change : entry.m_changes)
    {
        if (change.m_deleted)
            m_rows.erase(change.m_key);
        else
            m_rows[change.m_key] = change.m_value;
        m_changed[change.m_key] = entry.m_point.m_position;
    }
}

} // namespace magnoliastack::standin
