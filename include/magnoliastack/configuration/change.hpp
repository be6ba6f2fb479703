// An operator's change of the configuration.
#ifndef MAGNOLIASTACK_CONFIGURATION_CHANGE_HPP
#define MAGNOLIASTACK_CONFIGURATION_CHANGE_HPP

#include "magnoliastack/base/time.hpp"
#include "magnoliastack/configuration/content.hpp"
#include "magnoliastack/rpc/platform_link.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace magnoliastack::configuration
{

// Stores the content under its hash.
struct put_content
{
    std::string m_hash;
    std::string m_bytes;
};

// Writes the row if it still has the expected version.
struct swap_row
{
    std::uint64_t m_expected_row_version = 0;
    std::string m_value;
};

// Reads the row to learn what happened.
struct read_back
{
};

using change_action = std::variant<put_content, swap_row, read_back>;

// How far a change is.
enum class change_state
{
    running,
    // In the row, now or before later changes.
    stored,
    // Another change won; nothing was stored.
    conflict,
    // The change id was used for another content.
    invalid,
    // The store gave no answer in time. The change may still take effect;
    // asking again with the same change id tells.
    unknown,
};

// Stores a change by put object and compare-and-swap. A lost answer is
// resolved by reading the row: while the row has the expected version the swap
// is repeated, which cannot take effect twice, and otherwise the change ids in
// the row tell whether it was this change that took effect. Repeating a change
// with the same change id finds the first one and stores nothing.
class change
{
public:
    // `base` is the version on which the operator based the content. The row
    // is read first, so a repeated change is recognised.
    change(base::configuration_version base, content new_content,
           std::string change_id, std::string author, base::instant now,
           absl::Duration timeout = absl::Seconds(10));

    // The next step; empty while an answer is awaited or when done.
    std::vector<change_action> tick(base::instant now);

    // The answers to the actions.
    void content_put(const base::result<bool>& answer, base::instant now);
    void row_swapped(const base::result<rpc::swap_outcome>& answer,
                     base::instant now);
    void row_read(const base::result<rpc::row_state>& answer,
                  base::instant now);

    [[nodiscard]] change_state state() const
    {
        return m_state;
    }

    // The stored change; for a conflict the change that won.
    [[nodiscard]] const change_record& outcome() const
    {
        return m_outcome;
    }

    // Why the change was not stored, without a key or secret.
    [[nodiscard]] const std::string& problem() const
    {
        return m_problem;
    }

private:
    enum class step
    {
        read,
        put,
        swap,
    };

    void advance(step next);
    void retry(step next, base::instant now);
    void judge_row(const rpc::row_state& row);
    void finish(change_state state, change_record outcome, std::string problem);

    base::configuration_version m_base;
    std::string m_bytes;
    change_record m_change;
    base::instant m_deadline;
    change_state m_state = change_state::running;
    step m_step = step::read;
    bool m_waiting = false;
    bool m_put_done = false;
    std::optional<base::instant> m_next_try;
    rpc::row_state m_row;
    row_value m_row_value;
    change_record m_outcome;
    std::string m_problem;
};

} // namespace magnoliastack::configuration

#endif
