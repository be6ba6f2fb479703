#include "magnoliastack/configuration/acceptance.hpp"

#include <utility>

namespace magnoliastack::configuration
{

namespace
{

// Versions that are judged at the same time; older ones are covered by newer
// ones.
constexpr std::size_t max_versions = 64;

template <typename Map>
void drop_oldest(Map& map)
{
    while (map.size() > max_versions)
        map.erase(map.begin());
}

const host_report* find_report(const std::vector<host_report>& reports,
                               const base::host_id& host)
{
    for (const host_report& report : reports)
    {
        if (report.m_host == host)
            return &report;
    }
    return nullptr;
}

} // namespace

acceptance_judge::acceptance_judge(judge_options options)
    : m_options(std::move(options)), m_quorum(m_options.m_list_retention)
{
}

void acceptance_judge::hosts_listed(const std::vector<rpc::listed_host>& hosts,
                                    base::instant sent_at, base::instant now)
{
    m_quorum.hosts_listed(hosts, now);
    m_list_sent_at = sent_at;
}

void acceptance_judge::roster_seen(const std::vector<roster_host>& roster,
                                   base::instant now)
{
    m_quorum.roster_seen(roster, now);
    m_roster_known = true;
}

std::vector<roster_host> acceptance_judge::roster(base::instant now) const
{
    return m_quorum.roster(now);
}

void acceptance_judge::row_seen(base::configuration_version version,
                                base::instant now)
{
    if (!m_row_seen.empty() && m_row_seen.rbegin()->first >= version)
        return;
    m_row_seen.emplace(version, now);
    drop_oldest(m_row_seen);
}

std::optional<base::instant>
acceptance_judge::row_known_since(base::configuration_version version) const
{
    const auto found = m_row_seen.lower_bound(version);
    if (found == m_row_seen.end())
        return std::nullopt;
    return found->second;
}

void acceptance_judge::set_bound(absl::Duration bound)
{
    m_options.m_bound = bound;
}

bool acceptance_judge::has_waited(std::optional<base::instant> since,
                                  base::instant now) const
{
    return since && now - *since >= m_options.m_bound +
                                        acceptance_margin(m_options.m_bound);
}

bool acceptance_judge::had_left(const base::host_id& host, base::instant at,
                                base::instant now) const
{
    const std::optional<base::instant> since = m_quorum.left_since(host);
    return since && *since <= at && m_list_sent_at &&
           now - *m_list_sent_at < max_list_gap;
}

bool acceptance_judge::blocks_every_majority(
    const absl::btree_set<base::host_id>& holders, base::instant at,
    base::instant now) const
{
    const auto sets = m_quorum.remembered(now);
    for (const auto& set : sets)
    {
        const auto others = std::count_if(set.begin(), set.end(),
                                          [&](const base::host_id& host)
                                          {
                                              return !holders.contains(host) &&
                                                     !had_left(host, at, now);
                                          });
        if (static_cast<std::size_t>(others) >= majority_of(set.size()))
            return false;
    }
    return !sets.empty();
}

void acceptance_judge::update_evidence(evidence& state,
                                       base::configuration_version version,
                                       const std::vector<host_report>& reports,
                                       base::instant now) const
{
    absl::btree_map<base::host_id, holder> holders;
    absl::btree_set<base::host_id> all;
    absl::btree_set<base::host_id> early;
    for (const host_report& report : reports)
    {
        if (report.m_version < version)
            continue;
        holder present{report.m_incarnation, now};
        const auto known = state.m_holders.find(report.m_host);
        if (known != state.m_holders.end() &&
            known->second.m_incarnation == report.m_incarnation)
            present = known->second;
        holders.emplace(report.m_host, present);
        all.insert(report.m_host);
        if (state.m_since && present.m_announced_at <= *state.m_since)
            early.insert(report.m_host);
    }
    state.m_holders = std::move(holders);
    if (state.m_since && blocks_every_majority(early, *state.m_since, now))
        return;
    state.m_since.reset();
    if (blocks_every_majority(all, now, now))
        state.m_since = now;
}

absl::btree_set<base::host_id>
acceptance_judge::proven_holders(const evidence& state,
                                 const std::vector<host_report>& reports) const
{
    absl::btree_set<base::host_id> proven;
    for (const auto& [host, held] : state.m_holders)
    {
        if (!state.m_since || held.m_announced_at > *state.m_since)
            continue;
        const host_report* report = find_report(reports, host);
        if (host == m_options.m_self ||
            (report != nullptr && report->m_answered_sent_at &&
             *report->m_answered_sent_at >= *state.m_since))
            proven.insert(host);
    }
    return proven;
}

acceptance acceptance_judge::judge(base::configuration_version version,
                                   const std::vector<host_report>& reports,
                                   base::instant now)
{
    evidence& state = m_evidence[version];
    update_evidence(state, version, reports, now);
    const std::optional<base::instant> row_since = row_known_since(version);
    const bool others_stopped =
        has_waited(row_since, now) && has_waited(state.m_since, now) &&
        blocks_every_majority(proven_holders(state, reports), *state.m_since,
                              now);

    absl::btree_map<base::host_id, const host_report*> known;
    for (const auto& set : m_quorum.remembered(now))
    {
        for (const base::host_id& host : set)
            known[host] = nullptr;
    }
    for (const host_report& report : reports)
        known[report.m_host] = &report;

    // Without a list that is newer than the row, a host that has joined may be
    // unknown here.
    const bool list_is_new =
        row_since && m_list_sent_at && *m_list_sent_at >= *row_since;
    acceptance answer;
    bool all_announced = true;
    for (const auto& [host, report] : known)
    {
        if (report != nullptr && report->m_version >= version)
            continue;
        if (had_left(host, now, now) && (list_is_new || others_stopped))
            continue;
        all_announced = false;
        const bool silent = report == nullptr || !report->m_last_news ||
                            has_waited(report->m_last_news, now);
        if (!silent || !others_stopped)
            answer.m_pending.push_back(host);
    }
    answer.m_accepted = answer.m_pending.empty() && row_since &&
                        m_roster_known &&
                        (others_stopped || (all_announced && list_is_new));
    if (m_evidence.size() > max_versions)
        drop_oldest(m_evidence);
    return answer;
}

} // namespace magnoliastack::configuration
