#include "magnoliastack/fleet/members.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::fleet
{

member_book::member_book(base::host_id self, base::incarnation incarnation,
                         member_options options)
    : m_self(std::move(self)), m_incarnation(incarnation), m_options(options)
{
}

void member_book::row_changed(const member_row& row, rpc::row_version version,
                              base::instant now)
{
    auto [found, added] = m_members.try_emplace(row.m_host);
    member& item = found->second;
    if (added || item.m_row.m_incarnation != row.m_incarnation)
    {
        item.m_report.reset();
        item.m_heard = now;
    }
    item.m_row = row;
    item.m_version = version;
}

bool member_book::report_received(host_report report, base::instant now)
{
    const auto found = m_members.find(report.m_host);
    if (found == m_members.end() || report.m_host == m_self)
        return false;
    member& item = found->second;
    if (item.m_row.m_incarnation != report.m_incarnation)
        return false;
    if (item.m_report && item.m_report->m_number >= report.m_number)
        return false;
    item.m_report = std::move(report);
    item.m_heard = now;
    return true;
}

bool member_book::is_registered() const
{
    const member* own = find(m_self);
    return own != nullptr && own->m_row.m_incarnation == m_incarnation &&
           !own->m_row.m_out_since;
}

rpc::row_version member_book::own_version() const
{
    const member* own = find(m_self);
    return own == nullptr ? rpc::row_version() : own->m_version;
}

std::size_t member_book::size() const
{
    const auto counted =
        std::count_if(m_members.begin(), m_members.end(),
                      [](const auto& item)
                      {
                          return !item.second.m_row.m_out_since;
                      });
    return std::max<std::size_t>(1, static_cast<std::size_t>(counted));
}

absl::Duration member_book::turn() const
{
    const std::size_t others = std::max<std::size_t>(size(), 2) - 1;
    const std::size_t rounds =
        (others + m_options.m_fan_out - 1) / m_options.m_fan_out;
    return m_options.m_round * static_cast<double>(rounds);
}

std::vector<base::host_id> member_book::live(base::instant now) const
{
    std::vector<base::host_id> result;
    for (const auto& [host, item] : m_members)
    {
        const bool heard =
            item.m_report && !item.m_report->m_leaving &&
            now - item.m_heard <= turn() * m_options.m_live_turns;
        if (host == m_self || heard)
            result.push_back(host);
    }
    if (find(m_self) == nullptr)
        result.push_back(m_self);
    return result;
}

std::vector<const member*> member_book::silent(base::instant now) const
{
    std::vector<const member*> result;
    for (const auto& [host, item] : m_members)
        if (host != m_self && !item.m_row.m_out_since &&
            now - item.m_heard > turn() * m_options.m_out_turns)
            result.push_back(&item);
    return result;
}

std::vector<std::string> member_book::targets()
{
    std::vector<std::string> addresses;
    for (const auto& [host, item] : m_members)
        if (host != m_self && !item.m_row.m_out_since)
            addresses.push_back(item.m_row.m_address);
    if (addresses.size() <= m_options.m_fan_out)
        return addresses;
    std::vector<std::string> chosen;
    for (std::size_t count = 0; count < m_options.m_fan_out; ++count)
        chosen.push_back(addresses[m_next_target++ % addresses.size()]);
    return chosen;
}

const member* member_book::find(const base::host_id& host) const
{
    const auto found = m_members.find(host);
    return found == m_members.end() ? nullptr : &found->second;
}

} // namespace magnoliastack::fleet
