#include "magnoliastack/configuration/keeper.hpp"

#include "magnoliastack/base/invariant.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace magnoliastack::configuration
{

keeper::keeper(keeper_options options, content_checker& checker)
    : m_options(std::move(options)), m_checker(checker),
      m_random(m_options.m_random_seed), m_quorum(m_options.m_list_retention)
{
}

std::vector<action> keeper::tick(base::instant now)
{
    // A fleet of one host is its own majority and has no answers to wait for.
    confirm_by_majority(now);

    std::vector<action> actions;
    if (m_row_sent_at && now - *m_row_sent_at > m_options.m_call_timeout)
        m_row_sent_at.reset();
    if (!m_row_sent_at && (!m_next_read || now >= *m_next_read))
    {
        std::uniform_real_distribution<double> jitter(0.8, 1.2);
        m_next_read = now + m_options.m_read_interval * jitter(m_random);
        m_row_sent_at = now;
        actions.emplace_back(configuration::read_row{});
    }
    plan_fetch(actions, now);
    return actions;
}

void keeper::plan_fetch(std::vector<action>& actions, base::instant now)
{
    if (m_highest <= version() || m_highest == m_rejected)
        return;
    if (m_fetch_sent_at && now - *m_fetch_sent_at > m_options.m_call_timeout)
        m_fetch_sent_at.reset();
    if (m_fetch_sent_at || (m_next_fetch && now < *m_next_fetch))
        return;

    const bool row_is_known = m_wanted && m_wanted->m_version > version() &&
                              m_wanted->m_version != m_rejected;
    std::vector<base::host_id> holders;
    for (const auto& [host, held] : m_holders)
    {
        if (held > version() && held != m_rejected)
            holders.push_back(host);
    }
    const bool from_store =
        row_is_known && (m_fetch_from_store || holders.empty());
    if (!from_store && holders.empty())
        return;
    m_fetch_sent_at = now;
    m_next_fetch = now + m_options.m_retry_interval;
    // The sources take turns, so that one that fails does not hold up the
    // other.
    m_fetch_from_store = !from_store;
    if (from_store)
    {
        actions.emplace_back(get_object{m_wanted->m_hash});
        return;
    }
    // The order of the map differs between runs of a process.
    std::sort(holders.begin(), holders.end());
    std::uniform_int_distribution<std::size_t> any(0, holders.size() - 1);
    actions.emplace_back(
        fetch_from_peer{holders[any(m_random)], version().next()});
}

void keeper::row_read(const base::result<rpc::row_state>& answer,
                      base::instant sent_at)
{
    if (m_row_sent_at && sent_at >= *m_row_sent_at)
        m_row_sent_at.reset();
    m_store_reachable = answer.has_value();
    if (!answer)
        return;
    const base::result<row_value> row = parse_row(answer->m_value);
    if (!row)
    {
        m_problem = row.error().m_message;
        return;
    }
    const change_record& current = row->m_current;
    if (current.m_version < m_highest)
        return;
    learn(current.m_version);
    if (current.m_version > version())
    {
        if (!m_wanted || m_wanted->m_version < current.m_version)
            m_next_fetch.reset();
        m_wanted = current;
        m_row_confirms_at = sent_at;
        return;
    }
    if (m_active)
        confirm_by_row(sent_at);
}

void keeper::object_read(const std::string& hash,
                         const base::result<std::optional<std::string>>& answer,
                         base::instant now)
{
    m_fetch_sent_at.reset();
    if (!answer || !answer->has_value() || !m_wanted ||
        m_wanted->m_hash != hash || m_wanted->m_version <= version())
        return;
    const change_record wanted = *m_wanted;
    if (activate(wanted, **answer, now) && m_row_confirms_at)
        confirm_by_row(*m_row_confirms_at);
    confirm_by_majority(now);
}

void keeper::peer_object_read(
    const base::host_id& host,
    const base::result<rpc::configuration_object>& answer, base::instant now)
{
    m_fetch_sent_at.reset();
    if (!answer)
    {
        m_holders.erase(host);
        return;
    }
    if (answer->m_version <= version())
        return;
    learn(answer->m_version);
    const change_record change{answer->m_version, answer->m_hash,
                               answer->m_change_id, answer->m_author};
    if (activate(change, answer->m_content, now) && m_wanted &&
        m_wanted->m_version == change.m_version && m_row_confirms_at)
        confirm_by_row(*m_row_confirms_at);
    confirm_by_majority(now);
}

void keeper::peer_version_seen(const base::host_id& host,
                               base::configuration_version version,
                               base::instant sent_at, base::instant now)
{
    version_heard(host, version);
    peer_vote& vote = m_votes[host];
    if (sent_at < vote.m_sent_at)
        return;
    vote = {version, sent_at};
    confirm_by_majority(now);
}

void keeper::version_heard(const base::host_id& host,
                           base::configuration_version version)
{
    if (version > this->version())
        m_holders[host] = version;
    else
        m_holders.erase(host);
    if (version <= m_highest)
        return;
    learn(version);
    // The row is the shortest way to the new version.
    m_next_read.reset();
    m_next_fetch.reset();
}

void keeper::hosts_listed(const std::vector<rpc::listed_host>& hosts,
                          base::instant now)
{
    m_quorum.hosts_listed(hosts, now);
    if (!m_may_vote_at && m_quorum.is_listed(m_options.m_self))
        m_may_vote_at = now + m_options.m_join_delay;
    absl::erase_if(m_votes,
                   [&](const auto& item)
                   {
                       return now - item.second.m_sent_at >
                              m_options.m_list_retention;
                   });
}

void keeper::leave()
{
    m_leaving = true;
}

void keeper::set_bound(absl::Duration bound)
{
    m_options.m_bound = bound;
}

const active_configuration* keeper::active() const
{
    return m_active ? &*m_active : nullptr;
}

bool keeper::is_confirmed(base::instant now) const
{
    return confirmed_age(now) < m_options.m_bound;
}

absl::Duration keeper::confirmed_age(base::instant now) const
{
    if (!m_confirmed_at)
        return absl::InfiniteDuration();
    return now - *m_confirmed_at;
}

base::configuration_version keeper::announced_version() const
{
    if (!m_established || m_leaving)
        return base::configuration_version();
    return version();
}

base::configuration_version keeper::version() const
{
    return m_active ? m_active->m_change.m_version
                    : base::configuration_version();
}

void keeper::learn(base::configuration_version version)
{
    m_highest = std::max(m_highest, version);
}

bool keeper::activate(const change_record& change, const std::string& bytes,
                      base::instant now)
{
    MAGNOLIASTACK_INVARIANT(change.m_version > version(),
                            "a host only moves to a higher version");
    if (bytes.size() > max_object_size || hash(bytes) != change.m_hash)
    {
        m_problem = absl::StrCat("object of configuration version ",
                                 change.m_version.value(),
                                 " does not have the hash in the row, it is "
                                 "fetched again");
        return false;
    }
    base::result<content> parsed = parse(bytes);
    const base::result<bool> checked =
        parsed ? m_checker.check(*parsed)
               : base::result<bool>(tl::make_unexpected(parsed.error()));
    if (!checked)
    {
        m_rejected = change.m_version;
        m_problem =
            absl::StrCat("configuration version ", change.m_version.value(),
                         " is not usable: ", checked.error().m_message);
        return false;
    }
    m_problem.clear();
    m_quorum.roster_seen(parsed->m_roster, now);
    m_active = active_configuration{change, std::move(*parsed), bytes};
    absl::erase_if(m_holders,
                   [&](const auto& item)
                   {
                       return item.second <= change.m_version;
                   });
    return true;
}

void keeper::confirm(base::instant at)
{
    m_established = true;
    m_confirmed_at = m_confirmed_at ? std::max(*m_confirmed_at, at) : at;
}

void keeper::confirm_by_row(base::instant sent_at)
{
    if (m_established || (m_may_vote_at && sent_at >= *m_may_vote_at))
        confirm(sent_at);
}

void keeper::confirm_by_majority(base::instant now)
{
    if (!m_active)
        return;
    if (const auto at = majority_instant(m_quorum.current(now), now))
        confirm(*at);
}

std::optional<base::instant>
keeper::majority_instant(const std::vector<base::host_id>& hosts,
                         base::instant now) const
{
    if (hosts.empty())
        return std::nullopt;
    std::size_t needed = majority_of(hosts.size());
    std::vector<base::instant> sent;
    for (const base::host_id& host : hosts)
    {
        if (host == m_options.m_self)
        {
            needed -= m_established && !m_leaving ? 1 : 0;
            continue;
        }
        const auto vote = m_votes.find(host);
        if (vote == m_votes.end() ||
            vote->second.m_version == base::configuration_version() ||
            vote->second.m_version > version())
            continue;
        if (!m_established &&
            !(m_may_vote_at && vote->second.m_sent_at >= *m_may_vote_at))
            continue;
        sent.push_back(vote->second.m_sent_at);
    }
    if (needed == 0)
        return now;
    if (sent.size() < needed)
        return std::nullopt;
    // The oldest of the newest `needed` answers: since then no majority can
    // have moved on.
    std::nth_element(sent.begin(), sent.begin() + (needed - 1), sent.end(),
                     std::greater<>());
    return sent[needed - 1];
}

} // namespace magnoliastack::configuration
