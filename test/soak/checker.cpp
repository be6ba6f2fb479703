#include "checker.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <random>
#include <string_view>

namespace magnoliastack::soak
{

using namespace std::string_view_literals;

namespace
{

// The window and the tolerance of the rates, as the users state them.
constexpr std::chrono::seconds quota_window{5};
constexpr double quota_over = 1.1;
constexpr double quota_slack = 20;

// Nothing reaches an evacuated domain after this.
constexpr std::chrono::seconds evacuation_bound{5};

constexpr std::size_t longest_odd_data = 24;
constexpr unsigned byte_values = 256;

bool shows(const std::vector<commit_ptr>& applied, const commit_ptr& what)
{
    return what->m_number <= applied.size() &&
           applied[what->m_number - 1] == what;
}

} // namespace

std::string odd_data(const std::string& key)
{
    std::minstd_rand random(
        static_cast<unsigned>(std::hash<std::string>()(key)));
    std::string data;
    while (data.size() < longest_odd_data)
    {
        // Half of the bytes are those that framing may trip over.
        constexpr std::string_view tricky = "\r\n \0QUERY"sv;
        const auto drawn = static_cast<unsigned>(random() % byte_values);
        const char byte = random() % 2 == 0 ? tricky[drawn % tricky.size()]
                                            : static_cast<char>(drawn);
        if (byte == '\n' && data.ends_with('\r'))
            continue;
        data.push_back(byte);
    }
    return data;
}

std::string row_of(const std::string& id)
{
    return "r-" + id + odd_data(id);
}

void checker::evacuated(const std::string& domain)
{
    m_silent_from[domain] = clock::now() + evacuation_bound;
}

void checker::evacuation_cancelled(const std::string& domain)
{
    m_silent_from.erase(domain);
}

void checker::store_disturbed()
{
    const auto now = clock::now();
    for (auto& [domain, from] : m_silent_from)
        if (now < from)
            from = now + evacuation_bound;
}

void checker::reached(const std::string& domain, const std::string& line)
{
    const auto found = m_silent_from.find(domain);
    const auto now = clock::now();
    if (found == m_silent_from.end() || now < found->second)
        return;
    broken("EVACUATED",
           domain + " got \"" + line.substr(0, 40) + "\" " +
               std::to_string(
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       now - found->second)
                       .count()) +
               " ms after the bound");
}

void checker::sent(const std::string& id, const demand& what)
{
    m_demands[id] = what;
}

void checker::arrived(const std::string& id, const std::string& text)
{
    const auto found = m_demands.find(id);
    if (found == m_demands.end())
        broken("UNASKED", "nobody sent statement " + id);
    else if (found->second.m_text != text)
        broken("UNASKED", id + " arrived with a changed text");
}

void checker::ran(const std::string& id, const std::string& organisation,
                  const std::string& group, bool reads,
                  const std::vector<commit_ptr>& applied)
{
    const auto found = m_demands.find(id);
    if (found == m_demands.end())
    {
        broken("UNASKED", "nobody sent statement " + id);
        return;
    }
    const demand& what = found->second;
    if (what.m_organisation != organisation)
        broken("UNASKED", id + " ran for " + organisation + ", not for " +
                              what.m_organisation);
    if (what.m_group != group)
        broken("ROUTE", id + " ran at group " + group);
    if (!reads)
        return;
    if (what.m_own && !what.m_own->m_rolled_back && !shows(applied, what.m_own))
        broken("STALE", id + " lacks its session's own commit");
    for (const auto& item : m_acknowledged[group])
        if (item->m_acknowledged < what.m_covers && !item->m_rolled_back &&
            !shows(applied, item))
        {
            broken("STALE",
                   id + " lacks commit " + std::to_string(item->m_term) + "." +
                       std::to_string(item->m_number) + " of " + group);
            return;
        }
}

void checker::admitted(const std::string& organisation,
                       const std::string& operation)
{
    const auto limit = m_limits.find(organisation);
    if (limit == m_limits.end() || !m_counted.insert(operation).second)
        return;
    const auto now = clock::now();
    auto& seen = m_admitted[organisation];
    seen.push_back(now);
    std::erase_if(seen,
                  [now](const auto& at)
                  {
                      return now - at > quota_window;
                  });
    const double allowed =
        (limit->second.m_rate * quota_window.count() + limit->second.m_burst) *
            quota_over +
        quota_slack;
    if (static_cast<double>(seen.size()) > allowed)
    {
        broken("QUOTA", organisation + " ran " + std::to_string(seen.size()) +
                            " operations in 5 s");
        seen.clear();
    }
}

void checker::set_limit(const std::string& organisation, double rate,
                        double burst)
{
    m_limits[organisation] = {rate, burst};
}

void checker::committed(const commit_ptr& what)
{
    for (const auto& id : what->m_writers)
    {
        if (m_promised.contains(id))
            broken("REFUSED", id + " was committed though its caller was told "
                                   "that nothing is kept");
        if (!m_commit_of.emplace(id, what).second)
            broken("TWICE", id + " took effect twice");
    }
}

void checker::ran_in(const std::string& id, std::uint64_t transaction)
{
    const auto found = m_demands.find(id);
    if (found == m_demands.end())
        return;
    const demand& what = found->second;
    if (what.m_in_transaction != (transaction != 0))
    {
        broken("PINNED", what.m_in_transaction
                             ? id + " ran outside its transaction"
                             : id + ", a single statement, ran inside one");
        return;
    }
    if (transaction == 0)
        return;
    const auto& owner =
        m_operation_in.try_emplace(transaction, what.m_operation).first->second;
    if (owner != what.m_operation)
        broken("PINNED", id + " ran inside the transaction of " + owner);
    auto& begun = m_begun_in[what.m_operation];
    if (what.m_first)
        begun.insert(transaction);
    else if (begun.contains(transaction))
        begun = {transaction};
    else
        broken("PINNED", id + " ran in another transaction than the first "
                              "statement of its operation");
}

void checker::began_twice(const std::string& endpoint)
{
    broken("PINNED", endpoint + " was asked to begin inside a transaction");
}

void checker::unanswered(const std::string& id, const std::string& host)
{
    broken("UNANSWERED", id + " got no answer from " + host);
}

void checker::seen_by_endpoint(const std::string& line)
{
    for (const auto& key : m_keys)
        if (line.find(key) != std::string::npos)
            broken("UNASKED", "an endpoint saw a caller's key: " + line);
}

void checker::succeeded(const std::string& id, const commit_ptr& what)
{
    if (!what)
        return;
    if (what->m_by_old_primary)
        broken("ONE", id + " was acknowledged by an old primary");
    what->m_acknowledged = std::min(what->m_acknowledged, clock::now());
    const auto found = m_demands.find(id);
    if (found != m_demands.end())
        m_acknowledged[found->second.m_group].push_back(what);
}

void checker::promised_nothing(const std::string& id)
{
    m_promised.insert(id);
    const auto found = m_commit_of.find(id);
    if (found != m_commit_of.end())
        broken("REFUSED", id + " is committed though its caller was told that "
                               "nothing is kept");
}

void checker::promoted(const std::string& holder, std::uint64_t token)
{
    const auto [known, added] = m_holders.emplace(token, holder);
    if (!added && known->second != holder)
        broken("ONE", holder + " and " + known->second +
                          " promoted with token " + std::to_string(token));
    if (token < m_holders.rbegin()->first)
        broken("ONE", holder + " promoted with the old token " +
                          std::to_string(token));
}

commit_ptr checker::commit_of(const std::string& id) const
{
    const auto found = m_commit_of.find(id);
    return found == m_commit_of.end() ? nullptr : found->second;
}

void checker::broken(const std::string& rule, const std::string& what)
{
    m_findings.push_back(rule + ": " + what);
    std::printf("BROKEN %s\n", m_findings.back().c_str());
    std::fflush(stdout);
}

} // namespace magnoliastack::soak
