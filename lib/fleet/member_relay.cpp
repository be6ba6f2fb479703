#include "magnoliastack/fleet/member_relay.hpp"

namespace magnoliastack::fleet
{

member_relay::member_relay(relay_options options) : m_options(options)
{
}

std::optional<member_update> member_relay::next(const member_book& members,
                                                const member& to,
                                                base::instant now)
{
    if (!to.m_report ||
        to.m_report->m_members_version >= members.complete_version())
        return std::nullopt;
    const auto last = m_last_sent.find(to.m_row.m_host);
    if (last != m_last_sent.end() && now - last->second < m_options.m_interval)
        return std::nullopt;
    member_update update;
    update.m_after = to.m_report->m_members_version;
    for (const member* item :
         members.rows_after(update.m_after, m_options.m_largest_update))
        update.m_rows.push_back({item->m_row, item->m_version});
    // A row that was replaced is passed on when all rows before the new one
    // are known.
    if (update.m_rows.empty())
        return std::nullopt;
    m_last_sent[to.m_row.m_host] = now;
    update.m_complete = update.m_rows.back().m_version;
    return update;
}

} // namespace magnoliastack::fleet
