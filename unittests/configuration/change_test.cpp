#include "magnoliastack/configuration/change.hpp"

#include <string>

#include <criterion/criterion.h>

namespace base = magnoliastack::base;
namespace configuration = magnoliastack::configuration;
namespace rpc = magnoliastack::rpc;

using configuration::change;
using configuration::change_state;

namespace
{

const base::instant start = base::instant::from_nanoseconds(0);

configuration::content content_of(const std::string& text)
{
    configuration::content value;
    value.m_inventory_text = text;
    return value;
}

change make(const std::string& id, const std::string& text,
            std::uint64_t version = 0)
{
    return {base::configuration_version(version), content_of(text), id, "ann",
            start};
}

// A row that is changed by compare-and-swap and can lose its answers.
struct table
{
    rpc::row_state m_row;
    bool m_lose_answers = false;

    // Carries out one step of a change.
    bool step(change& running, base::instant now)
    {
        const auto actions = running.tick(now);
        if (actions.empty())
            return false;
        if (std::holds_alternative<configuration::read_back>(actions[0]))
            running.row_read(m_row, now);
        else if (std::holds_alternative<configuration::put_content>(actions[0]))
            running.content_put(true, now);
        else
            swap(running, std::get<configuration::swap_row>(actions[0]), now);
        return true;
    }
    void swap(change& running, const configuration::swap_row& wanted,
              base::instant now)
    {
        const bool swapped = wanted.m_expected_row_version == m_row.m_version;
        if (swapped)
            m_row = {m_row.m_version + 1, wanted.m_value};
        if (m_lose_answers)
            running.row_swapped(
                base::fail(base::error_code::deadline_exceeded, "lost"), now);
        else
            running.row_swapped(rpc::swap_outcome{swapped, m_row}, now);
    }
    void finish(change& running)
    {
        for (int round = 0; round < 100; ++round)
            step(running, start + absl::Milliseconds(50 * round));
    }
};

} // namespace

// Guards against a lost answer that is reported as a failure or leads to a
// second version.
Test(change, a_lost_answer_is_resolved_by_the_row)
{
    table store;
    store.m_lose_answers = true;
    change first = make("c1", "one");
    store.finish(first);
    cr_assert(first.state() == change_state::stored);
    cr_assert_eq(store.m_row.m_version, 1U);
}

// Guards against a repeat with the same change id that is stored again, also
// when another change has followed and when the roster differs.
Test(change, a_repeat_finds_the_first_one)
{
    table store;
    change first = make("c1", "one");
    store.finish(first);
    change second = make("c2", "two", 1);
    store.finish(second);
    configuration::content same = content_of("one");
    same.m_roster.push_back({base::host_id("h1"), absl::ZeroDuration()});
    change repeat(base::configuration_version(0), same, "c1", "ann", start);
    store.finish(repeat);
    cr_assert(repeat.state() == change_state::stored);
    cr_assert(repeat.outcome().m_version == base::configuration_version(1));
    cr_assert_eq(store.m_row.m_version, 2U);
}

// Guards against a change id that is used for another content and then seems
// stored, which would hand out a key that no host knows.
Test(change, a_reused_change_id_is_refused)
{
    table store;
    change first = make("c1", "one");
    store.finish(first);
    change other = make("c1", "another", 1);
    store.finish(other);
    cr_assert(other.state() == change_state::invalid);
    cr_assert_eq(store.m_row.m_version, 1U);
}

// Guards against two operators that both win, and against a loser that is not
// told who won.
Test(change, the_loser_of_a_race_learns_the_winner)
{
    table store;
    change one = make("c1", "one");
    change two = make("c2", "two");
    // Both read the row and put their content before either swaps.
    for (int round = 0; round < 2; ++round)
    {
        store.step(one, start);
        store.step(two, start);
    }
    store.finish(one);
    store.finish(two);
    cr_assert(one.state() == change_state::stored);
    cr_assert(two.state() == change_state::conflict);
    cr_assert(two.outcome().m_change_id == "c1");
    cr_assert(two.problem().find("c1") != std::string::npos);
}

// Guards against a change without an end while the store is away.
Test(change, without_the_store_the_outcome_is_unknown)
{
    change lost = make("c1", "one");
    cr_assert_eq(lost.tick(start).size(), 1U);
    cr_assert(lost.tick(start + absl::Seconds(11)).empty());
    cr_assert(lost.state() == change_state::unknown);
}
