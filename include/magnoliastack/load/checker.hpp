// Compares answers and the final state with the history of each written key.
#ifndef MAGNOLIASTACK_LOAD_CHECKER_HPP
#define MAGNOLIASTACK_LOAD_CHECKER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnoliastack::load
{

// How a write ended, as far as its caller knows.
enum class write_outcome
{
    acknowledged,
    not_run,
    // Never resolved; it may have run once.
    unknown,
};

// Broken promises; all are 0 in a correct system.
struct violations
{
    std::uint64_t m_lost_writes = 0;
    std::uint64_t m_duplicated_writes = 0;
    std::uint64_t m_stale_reads = 0;
    // A row or value of another key or caller.
    std::uint64_t m_foreign_answers = 0;
    // A refusal said `not_run`, and yet the write is there.
    std::uint64_t m_false_not_run = 0;
    // The first few in words.
    std::vector<std::string> m_details;

    [[nodiscard]] std::uint64_t total() const;
};

// The histories of all keys. Each key has one writer, which writes one value
// at a time. A text key holds `key#sequence`; a counter is raised by 1.
class checker
{
public:
    // Starts a put; the result is the value to write.
    std::string begin_put(const std::string& key);
    void put_ended(const std::string& key, write_outcome outcome);

    void begin_add(const std::string& key);
    // `value` is the counter's new value in an acknowledged answer.
    void add_ended(const std::string& key, write_outcome outcome,
                   std::optional<std::string> value);

    // The lowest sequence or count that a read of the writer's session which
    // starts now may return; 0 allows an absent key.
    [[nodiscard]] std::int64_t floor(const std::string& key) const;

    // Checks a value that a read has returned; nothing for an absent key.
    // Returns the sequence or count, the floor of the session's next read.
    std::int64_t check_read(const std::string& key,
                            const std::optional<std::string>& value,
                            std::int64_t floor);

    // Counts an answer whose rows are not the ones that were asked for.
    void foreign_answer(const std::string& detail);

    // Compares the final rows with all histories whose key starts with
    // `prefix`.
    void check_final(const std::string& prefix,
                     const std::map<std::string, std::string>& rows);

    [[nodiscard]] const violations& found() const;

private:
    struct history
    {
        bool m_counter = false;
        // Sequence or count that is acknowledged.
        std::int64_t m_acknowledged = 0;
        // Last sequence; for a counter the acknowledged, running and unknown
        // additions together.
        std::int64_t m_highest = 0;
        // Sequences that were refused as not run.
        std::set<std::int64_t> m_not_run;
    };

    void report(std::uint64_t& count, const std::string& what,
                const std::string& key, const std::string& value,
                const history& known);
    std::optional<std::int64_t> number_of(const std::string& key,
                                          const std::string& value,
                                          const history& known);
    // Checks the upper end of a value.
    bool check_upper(const std::string& key, std::int64_t number,
                     const history& known);

    std::map<std::string, history> m_histories;
    violations m_found;
};

} // namespace magnoliastack::load

#endif
