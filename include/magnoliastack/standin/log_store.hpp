// Log, request records and rows of one endpoint.
#ifndef MAGNOLIASTACK_STANDIN_LOG_STORE_HPP
#define MAGNOLIASTACK_STANDIN_LOG_STORE_HPP

#include "magnoliastack/standin/log_entry.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace magnoliastack::standin
{

// Holds the log from its first entry. Request records follow the held
// entries, rows follow the applied ones. Records and the retention floor
// depend on the log alone, so that all endpoints with the same log agree.
class log_store
{
public:
    // Keeps at most `record_limit` request records.
    explicit log_store(std::size_t record_limit);

    // Point of the last entry; zero for the empty log.
    [[nodiscard]] base::log_point held() const;

    // Last position visible in rows().
    [[nodiscard]] base::log_position applied() const;

    // True when the log has an entry with this term at this position. The
    // zero point is in every log.
    [[nodiscard]] bool contains(base::log_point point) const;

    // Term of the entry at a position of at most held(); 0 at position 0.
    [[nodiscard]] base::term term_at(base::log_position position) const;

    // Highest position at or below that of `point` whose entry has a term of
    // at most that of `point`: no higher position can agree with the log that
    // ends in `point`.
    [[nodiscard]] base::log_position resume_after(base::log_point point) const;

    // Up to `count` entries of about `bytes` bytes after a position.
    [[nodiscard]] std::vector<log_entry>
    entries_after(base::log_position position, std::size_t count,
                  std::size_t bytes) const;

    // All entries, by position from 1.
    [[nodiscard]] const std::vector<log_entry>& entries() const;

    // Adds the entry that follows held().
    void append(log_entry entry);

    // Drops all entries after a position, from the log, records and rows.
    void truncate(base::log_position last_kept);

    // Makes entries up to a held position visible; lower ones have no effect.
    void apply_up_to(base::log_position position);

    // The entry with the record of a request; null without one.
    [[nodiscard]] const log_entry* record_of(const base::request_id& id) const;

    // True when the id has no record and may have had one that was evicted.
    [[nodiscard]] bool is_expired(const base::request_id& id) const;

    // Highest issue time of an evicted record, in Unix milliseconds.
    [[nodiscard]] std::int64_t floor_unix_ms() const;

    // Number of records that are retained.
    [[nodiscard]] std::size_t record_count() const;

    // Visits the retained records, oldest issue time first.
    template <typename Visitor>
    void for_each_record(Visitor visit) const
    {
        for (const auto& [key, position] : m_records)
            visit(*m_entries[position.value() - 1].m_record);
    }

    // The applied rows.
    [[nodiscard]] const std::map<std::string, std::string>& rows() const;

    // True when a key has changed after an applied position.
    [[nodiscard]] bool key_changed_after(const std::string& key,
                                         base::log_position position) const;

    // True when a key with this prefix has changed after an applied position.
    [[nodiscard]] bool prefix_changed_after(const std::string& prefix,
                                            base::log_position position) const;

private:
    // Orders records by issue time, the order of eviction.
    struct record_key
    {
        std::int64_t m_issued_unix_ms = 0;
        std::uint64_t m_high = 0;
        std::uint64_t m_low = 0;

        auto operator<=>(const record_key&) const = default;
    };

    static record_key key_of(const base::request_id& id);
    void index_record(const log_entry& entry);
    void apply_entry(const log_entry& entry);

    std::size_t m_record_limit;
    std::vector<log_entry> m_entries;
    std::map<record_key, base::log_position> m_records;
    std::int64_t m_floor_unix_ms = std::numeric_limits<std::int64_t>::min();
    base::log_position m_applied;
    std::map<std::string, std::string> m_rows;
    std::map<std::string, base::log_position> m_changed;
};

} // namespace magnoliastack::standin

#endif
