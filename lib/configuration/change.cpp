#include "magnoliastack/configuration/change.hpp"

#include "absl/strings/str_cat.h"

#include <utility>

namespace magnoliastack::configuration
{

namespace
{

// Pause before a step whose answer was lost is tried again.
constexpr absl::Duration retry_pause = absl::Milliseconds(200);

const change_record* find_change(const row_value& row,
                                 const std::string& change_id)
{
    if (row.m_current.m_change_id == change_id)
        return &row.m_current;
    for (const change_record& earlier : row.m_recent)
    {
        if (earlier.m_change_id == change_id)
            return &earlier;
    }
    return nullptr;
}

} // namespace

change::change(base::configuration_version base, content new_content,
               std::string change_id, std::string author, base::instant now,
               absl::Duration timeout)
    : m_base(base), m_bytes(serialize(new_content)), m_deadline(now + timeout)
{
    m_change.m_version = base.next();
    m_change.m_hash = hash(m_bytes);
    new_content.m_roster.clear();
    m_change.m_subject_hash = hash(serialize(new_content));
    m_change.m_change_id = std::move(change_id);
    m_change.m_author = std::move(author);
    if (m_change.m_change_id.empty())
        finish(change_state::invalid, {},
               "change id is empty, expected a text that is unique to the "
               "change");
    else if (m_bytes.size() > max_object_size)
        finish(change_state::invalid, {},
               absl::StrCat("configuration has ", m_bytes.size(),
                            " bytes, expected at most ", max_object_size));
}

std::vector<change_action> change::tick(base::instant now)
{
    if (m_state != change_state::running)
        return {};
    if (now >= m_deadline)
    {
        finish(change_state::unknown, {},
               "the store gave no answer in time, ask again with the same "
               "change id");
        return {};
    }
    if (m_waiting || (m_next_try && now < *m_next_try))
        return {};
    m_waiting = true;
    switch (m_step)
    {
    case step::read:
        return {read_back{}};
    case step::put:
        return {put_content{m_change.m_hash, m_bytes}};
    case step::swap:
        break;
    }
    row_value next;
    next.m_current = m_change;
    if (m_row.m_version != 0)
        next.m_recent.push_back(m_row_value.m_current);
    next.m_recent.insert(next.m_recent.end(), m_row_value.m_recent.begin(),
                         m_row_value.m_recent.end());
    return {swap_row{m_row.m_version, serialize(next)}};
}

void change::content_put(const base::result<bool>& answer, base::instant now)
{
    if (m_state != change_state::running || m_step != step::put)
        return;
    // An object is immutable and named by its content, so putting it twice is
    // harmless.
    if (!answer)
        return retry(step::put, now);
    m_put_done = true;
    advance(step::swap);
}

void change::row_swapped(const base::result<rpc::swap_outcome>& answer,
                         base::instant now)
{
    if (m_state != change_state::running || m_step != step::swap)
        return;
    if (!answer)
        return retry(step::read, now);
    if (answer->m_swapped)
        return finish(change_state::stored, m_change, "");
    judge_row(answer->m_row);
}

void change::row_read(const base::result<rpc::row_state>& answer,
                      base::instant now)
{
    if (m_state != change_state::running || m_step != step::read)
        return;
    if (!answer)
        return retry(step::read, now);
    judge_row(*answer);
}

void change::judge_row(const rpc::row_state& row)
{
    const base::result<row_value> parsed = parse_row(row.m_value);
    if (!parsed)
        return finish(change_state::invalid, {}, parsed.error().m_message);
    const change_record& current = parsed->m_current;
    if (const change_record* same = find_change(*parsed, m_change.m_change_id))
    {
        if (same->m_subject_hash == m_change.m_subject_hash)
            return finish(change_state::stored, *same, "");
        return finish(
            change_state::invalid, *same,
            absl::StrCat("change id \"", m_change.m_change_id,
                         "\" was used for another content in version ",
                         same->m_version.value(), ", use a new change id"));
    }
    if (current.m_version != m_base)
        return finish(change_state::conflict, current,
                      absl::StrCat("change \"", current.m_change_id, "\" of \"",
                                   current.m_author, "\" made version ",
                                   current.m_version.value(),
                                   ", this change is based on version ",
                                   m_base.value(),
                                   "; repeat it on the version in force"));
    m_row = row;
    m_row_value = *parsed;
    advance(m_put_done ? step::swap : step::put);
}

void change::advance(step next)
{
    m_step = next;
    m_waiting = false;
    m_next_try.reset();
}

void change::retry(step next, base::instant now)
{
    advance(next);
    m_next_try = now + retry_pause;
}

void change::finish(change_state state, change_record outcome,
                    std::string problem)
{
    m_state = state;
    m_outcome = std::move(outcome);
    m_problem = std::move(problem);
    m_bytes.clear();
}

} // namespace magnoliastack::configuration
