#include "magnoliastack/fleet/members.hpp"

#include "magnoliastack/base/rendezvous.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace magnoliastack::fleet
{

member_book::member_book(base::host_id self, base::incarnation incarnation,
                         member_options options)
    : m_self(std::move(self)), m_incarnation(incarnation), m_options(options)
{
}

void member_book::row_changed(const member_row& row, rpc::row_version version,
                              rpc::store_instant at, base::instant now)
{
    if (!m_started)
        m_started = now;
    auto [found, added] = m_members.try_emplace(row.m_host);
    member& item = found->second;
    // The new process may have been heard before its row came.
    const bool heard =
        item.m_report && item.m_report->m_incarnation == row.m_incarnation;
    if (!heard && (added || item.m_row.m_incarnation != row.m_incarnation))
    {
        item.m_report.reset();
        item.m_heard = now;
    }
    const bool was_told = !added && !item.m_row.m_out_since &&
                          item.m_row.m_incarnation == row.m_incarnation;
    if (row.m_host == m_self && !was_told)
        m_told_since = now;
    item.m_marked_by.reset();
    if (row.m_out_since)
        item.m_marked_by = std::min(
            at, rpc::store_instant(
                    row.m_out_since->value() +
                    static_cast<std::uint64_t>(
                        absl::ToInt64Milliseconds(m_options.m_latest_write))));
    item.m_row = row;
    item.m_version = version;
    count();
}

void member_book::versions_lost()
{
    for (auto& [host, item] : m_members)
        item.m_version = {};
    m_complete = {};
}

// A row that this host has changed itself may be newer than one that it has
// not seen yet.
void member_book::rows_complete(rpc::row_version version)
{
    for (const auto& [host, item] : m_members)
        if (item.m_version <= version)
            m_complete = std::max(m_complete, item.m_version);
}

std::vector<const member*> member_book::rows_after(rpc::row_version version,
                                                   std::size_t limit) const
{
    std::vector<const member*> result;
    for (const auto& [host, item] : m_members)
        if (item.m_version > version && item.m_version <= m_complete)
            result.push_back(&item);
    std::sort(result.begin(), result.end(),
              [](const member* one, const member* other)
              {
                  return one->m_version < other->m_version;
              });
    result.resize(std::min(result.size(), limit));
    return result;
}

bool member_book::knows_own_row(const member& item) const
{
    return item.m_report && item.m_report->m_members_version >= own_version();
}

// A host that has started anew may be heard before its row.
bool member_book::report_received(host_report report, base::instant now)
{
    const auto found = m_members.find(report.m_host);
    if (found == m_members.end() || report.m_host == m_self)
        return false;
    member& item = found->second;
    if (report.m_incarnation < item.m_row.m_incarnation)
        return false;
    if (item.m_report && item.m_report->m_incarnation > report.m_incarnation)
        return false;
    if (item.m_report && item.m_report->m_incarnation == report.m_incarnation &&
        item.m_report->m_number >= report.m_number)
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

void member_book::count()
{
    const member* own = find(m_self);
    if (own != nullptr)
        m_own_domain = own->m_row.m_failure_domain;
    m_near = 0;
    m_far = 0;
    for (const auto& [host, item] : m_members)
        if (host != m_self && !item.m_row.m_out_since)
            ++(is_near(item) ? m_near : m_far);
}

std::size_t member_book::size() const
{
    const member* own = find(m_self);
    const bool counted = own != nullptr && !own->m_row.m_out_since;
    return std::max<std::size_t>(1, m_near + m_far + (counted ? 1 : 0));
}

std::size_t member_book::others() const
{
    return std::max<std::size_t>(size(), 2) - 1;
}

bool member_book::is_near(const member& item) const
{
    return m_own_domain == item.m_row.m_failure_domain;
}

absl::Duration member_book::turn(const member& of) const
{
    if (others() <= m_options.m_fan_out)
        return m_options.m_round;
    const bool near = is_near(of);
    const std::size_t sharing = near ? m_near : m_far;
    const std::size_t fan_out =
        near ? m_options.m_near_fan_out : m_options.m_far_fan_out;
    const std::size_t rounds =
        std::max<std::size_t>(1, (sharing + fan_out - 1) / fan_out);
    return m_options.m_round * static_cast<double>(rounds);
}

bool member_book::is_heard(const member& item, base::instant now) const
{
    return item.m_report && !item.m_report->m_leaving &&
           now - item.m_heard <= turn(item) * m_options.m_live_turns;
}

bool member_book::hears_other_domain(base::instant now) const
{
    return std::any_of(m_members.begin(), m_members.end(),
                       [this, now](const auto& item)
                       {
                           const auto& [host, other] = item;
                           return host != m_self && other.m_report &&
                                  (m_far == 0 || !is_near(other)) &&
                                  now - other.m_heard < m_options.m_contact;
                       });
}

std::vector<base::host_id> member_book::live(base::instant now) const
{
    std::vector<base::host_id> result;
    for (const auto& [host, item] : m_members)
        if (host == m_self || is_heard(item, now))
            result.push_back(host);
    if (find(m_self) == nullptr)
        result.push_back(m_self);
    return result;
}

std::vector<const member*> member_book::to_mark(base::instant now) const
{
    const member* own = find(m_self);
    if (own == nullptr)
        return {};
    const bool large = others() > m_options.m_fan_out;
    bool first = true;
    bool first_near = true;
    for (const auto& [host, item] : m_members)
    {
        if (host >= m_self)
            break;
        if (!is_heard(item, now))
            continue;
        first = false;
        if (is_near(item))
            first_near = false;
    }
    if (!first && !first_near)
        return {};
    std::vector<const member*> result;
    for (const auto& [host, item] : m_members)
    {
        const bool mine = large && is_near(item) ? first_near : first;
        // While this host was marked itself, nobody told it anything.
        const auto silent = now - std::max(item.m_heard, m_told_since);
        if (mine && host != m_self && !item.m_row.m_out_since &&
            silent > std::max(turn(item) * m_options.m_out_turns,
                              m_options.m_out_after))
            result.push_back(&item);
    }
    return result;
}

std::vector<std::string> member_book::addresses() const
{
    std::vector<std::string> result;
    for (const auto& [host, item] : m_members)
        if (host != m_self && !item.m_row.m_out_since)
            result.push_back(item.m_row.m_address);
    return result;
}

std::vector<std::string> member_book::targets()
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto& [host, item] : m_members)
        if (host != m_self && !item.m_row.m_out_since)
            (is_near(item) ? near : far).push_back(item.m_row.m_address);
    std::vector<std::string> chosen;
    if (near.size() + far.size() <= m_options.m_fan_out)
    {
        chosen = std::move(near);
        chosen.insert(chosen.end(), far.begin(), far.end());
        return chosen;
    }
    // Hosts begin at different places, so that each hears about as many in
    // every round.
    const auto start = base::rendezvous_weight(m_self, "reports");
    const auto take =
        [&](const std::vector<std::string>& from, std::size_t count)
    {
        const std::size_t first = start + m_told_rounds * count;
        for (std::size_t taken = 0; taken < std::min(count, from.size());
             ++taken)
            chosen.push_back(from[(first + taken) % from.size()]);
    };
    take(near, m_options.m_near_fan_out);
    take(far, m_options.m_far_fan_out);
    ++m_told_rounds;
    return chosen;
}

std::vector<base::host_id> member_book::order(std::string_view key,
                                              base::instant now) const
{
    const bool starting =
        !m_started || now - *m_started < m_options.m_first_hearing;
    std::vector<std::pair<std::uint64_t, base::host_id>> ranked;
    for (const auto& [host, item] : m_members)
        if (host != m_self && !item.m_row.m_out_since &&
            (is_heard(item, now) || (starting && !item.m_report)))
            ranked.emplace_back(base::rendezvous_weight(host, key), host);
    ranked.emplace_back(base::rendezvous_weight(m_self, key), m_self);
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<base::host_id> result;
    result.reserve(ranked.size());
    for (auto& [weight, host] : ranked)
        result.push_back(std::move(host));
    return result;
}

std::size_t member_book::place(std::string_view key, bool in_domain) const
{
    const auto own = base::rendezvous_weight(m_self, key);
    return static_cast<std::size_t>(std::count_if(
        m_members.begin(), m_members.end(),
        [this, own, key, in_domain](const auto& item)
        {
            return item.first != m_self && !item.second.m_row.m_out_since &&
                   (!in_domain || is_near(item.second)) &&
                   base::rendezvous_weight(item.first, key) > own;
        }));
}

const member* member_book::find(const base::host_id& host) const
{
    const auto found = m_members.find(host);
    return found == m_members.end() ? nullptr : &found->second;
}

} // namespace magnoliastack::fleet
