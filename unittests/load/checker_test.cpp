#include "magnoliastack/load/checker.hpp"

#include <optional>
#include <string>

#include <criterion/criterion.h>

namespace load = magnoliastack::load;

namespace
{

constexpr const char* key = "r1/orders/guild/s1/log";
constexpr const char* counter = "r1/orders/guild/s1/count";

void put(load::checker& history, load::write_outcome outcome)
{
    history.begin_put(key);
    history.put_ended(key, outcome);
}

void add(load::checker& history, load::write_outcome outcome,
         const std::optional<std::string>& value = std::nullopt)
{
    history.begin_add(counter);
    history.add_ended(counter, outcome, value);
}

} // namespace

// Guards against a checker that reports a correct system.
Test(checker, a_correct_history_has_no_violation)
{
    load::checker history;
    put(history, load::write_outcome::acknowledged);
    put(history, load::write_outcome::not_run);
    put(history, load::write_outcome::unknown);
    add(history, load::write_outcome::acknowledged, "1");
    add(history, load::write_outcome::unknown);
    add(history, load::write_outcome::not_run);
    history.check_read(key, std::string(key) + "#1", history.floor(key));
    history.check_read(key, std::string(key) + "#3", history.floor(key));
    history.check_read("r1/orders/guild/s2/log", std::nullopt, 0);
    history.check_final("r1/orders/",
                        {{key, std::string(key) + "#3"}, {counter, "2"}});
    cr_assert_eq(history.found().total(), 0U);
}

// Guards against a deduction that runs twice and is not noticed.
Test(checker, a_doubled_deduction_is_found)
{
    load::checker history;
    add(history, load::write_outcome::acknowledged, "1");
    add(history, load::write_outcome::unknown);
    history.check_final("r1/", {{counter, "3"}});
    cr_assert_eq(history.found().m_duplicated_writes, 1U);
    add(history, load::write_outcome::acknowledged, "4");
    cr_assert_eq(history.found().m_duplicated_writes, 2U);
}

// Guards against a lost acknowledged write that is not noticed.
Test(checker, a_lost_write_is_found)
{
    load::checker history;
    put(history, load::write_outcome::acknowledged);
    put(history, load::write_outcome::acknowledged);
    add(history, load::write_outcome::acknowledged, "1");
    history.check_final("r1/", {{key, std::string(key) + "#1"}});
    cr_assert_eq(history.found().m_lost_writes, 2U);
    add(history, load::write_outcome::acknowledged, "1");
    cr_assert_eq(history.found().m_lost_writes, 3U);
}

// Guards against a read that misses the session's own write.
Test(checker, a_stale_read_is_found)
{
    load::checker history;
    put(history, load::write_outcome::acknowledged);
    put(history, load::write_outcome::acknowledged);
    const auto floor = history.floor(key);
    history.check_read(key, std::string(key) + "#1", floor);
    history.check_read(key, std::nullopt, floor);
    cr_assert_eq(history.found().m_stale_reads, 2U);
}

// Guards against a session that sees a colleague's writes disappear.
Test(checker, a_read_that_goes_back_is_found)
{
    load::checker history;
    history.begin_put(key);
    const auto seen = history.check_read(key, std::string(key) + "#1", 0);
    cr_assert_eq(seen, 1);
    history.check_read(key, std::nullopt, seen);
    cr_assert_eq(history.found().m_stale_reads, 1U);
}

// Guards against an answer that belongs to another caller.
Test(checker, an_answer_for_another_caller_is_found)
{
    load::checker history;
    put(history, load::write_outcome::acknowledged);
    history.check_read(key, "r1/orders/guild/s2/log#1", 0);
    history.check_read(key, std::string(key) + "#7", 0);
    cr_assert_eq(history.found().m_foreign_answers, 2U);
}

// Guards against `not_run` for a write that ran.
Test(checker, a_false_not_run_is_found)
{
    load::checker history;
    put(history, load::write_outcome::not_run);
    history.check_read(key, std::string(key) + "#1", 0);
    cr_assert_eq(history.found().m_false_not_run, 1U);
    add(history, load::write_outcome::not_run);
    history.check_final("r1/orders/guild/s1/count", {{counter, "1"}});
    cr_assert_eq(history.found().m_duplicated_writes, 1U);
}
