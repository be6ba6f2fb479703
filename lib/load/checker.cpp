#include "magnoliastack/load/checker.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <utility>

namespace magnoliastack::load
{

namespace
{

constexpr std::size_t max_details = 20;

} // namespace

std::uint64_t violations::total() const
{
    return m_lost_writes + m_duplicated_writes + m_stale_reads +
           m_foreign_answers + m_false_not_run;
}

std::string checker::begin_put(const std::string& key)
{
    history& known = m_histories[key];
    return absl::StrCat(key, "#", ++known.m_highest);
}

void checker::put_ended(const std::string& key, write_outcome outcome)
{
    history& known = m_histories[key];
    if (outcome == write_outcome::acknowledged)
        known.m_acknowledged = known.m_highest;
    else if (outcome == write_outcome::not_run)
        known.m_not_run.insert(known.m_highest);
}

void checker::begin_add(const std::string& key)
{
    history& known = m_histories[key];
    known.m_counter = true;
    ++known.m_highest;
}

void checker::add_ended(const std::string& key, write_outcome outcome,
                        std::optional<std::string> value)
{
    history& known = m_histories[key];
    if (outcome == write_outcome::not_run)
        --known.m_highest;
    if (outcome != write_outcome::acknowledged)
        return;
    ++known.m_acknowledged;
    if (!value)
        return foreign_answer(
            absl::StrCat("addition to ", key, " was answered without a row"));
    const auto number = number_of(key, *value, known);
    if (!number)
        return;
    if (*number < known.m_acknowledged)
        report(m_found.m_lost_writes, "lost write", key, *value, known);
    check_upper(key, *number, known);
}

std::int64_t checker::floor(const std::string& key) const
{
    const auto found = m_histories.find(key);
    return found == m_histories.end() ? 0 : found->second.m_acknowledged;
}

std::int64_t checker::check_read(const std::string& key,
                                 const std::optional<std::string>& value,
                                 std::int64_t floor)
{
    const history& known = m_histories[key];
    std::optional<std::int64_t> number = 0;
    if (value)
        number = number_of(key, *value, known);
    if (!number)
        return floor;
    if (*number < floor)
    {
        report(m_found.m_stale_reads, "stale read", key, value.value_or(""),
               known);
        return floor;
    }
    check_upper(key, *number, known);
    return *number;
}

void checker::foreign_answer(const std::string& detail)
{
    ++m_found.m_foreign_answers;
    if (m_found.m_details.size() < max_details)
        m_found.m_details.push_back(detail);
}

void checker::check_final(const std::string& prefix,
                          const std::map<std::string, std::string>& rows)
{
    for (const auto& [key, known] : m_histories)
    {
        if (!key.starts_with(prefix))
            continue;
        const auto row = rows.find(key);
        std::optional<std::int64_t> number = 0;
        if (row != rows.end())
            number = number_of(key, row->second, known);
        if (!number)
            continue;
        if (*number < known.m_acknowledged)
            report(m_found.m_lost_writes, "lost write in the final state", key,
                   row == rows.end() ? "" : row->second, known);
        check_upper(key, *number, known);
    }
}

const violations& checker::found() const
{
    return m_found;
}

void checker::report(std::uint64_t& count, const std::string& what,
                     const std::string& key, const std::string& value,
                     const history& known)
{
    ++count;
    if (m_found.m_details.size() < max_details)
        m_found.m_details.push_back(absl::StrCat(
            what, ": key ", key, " has \"", value, "\", acknowledged ",
            known.m_acknowledged, ", highest ", known.m_highest));
}

std::optional<std::int64_t> checker::number_of(const std::string& key,
                                               const std::string& value,
                                               const history& known)
{
    std::string digits = value;
    if (!known.m_counter)
    {
        const std::string owner = key + "#";
        digits = value.starts_with(owner) ? value.substr(owner.size())
                                          : std::string();
    }
    std::int64_t number = 0;
    if (absl::SimpleAtoi(digits, &number))
        return number;
    report(m_found.m_foreign_answers, "value of another caller", key, value,
           known);
    return std::nullopt;
}

bool checker::check_upper(const std::string& key, std::int64_t number,
                          const history& known)
{
    if (number > known.m_highest)
    {
        report(known.m_counter ? m_found.m_duplicated_writes
                               : m_found.m_foreign_answers,
               known.m_counter ? "duplicated write" : "value never written",
               key, absl::StrCat(number), known);
        return false;
    }
    if (!known.m_not_run.contains(number))
        return true;
    report(m_found.m_false_not_run, "write that was refused as not run", key,
           absl::StrCat(number), known);
    return false;
}

} // namespace magnoliastack::load
