// Whether a stored version of the configuration is in force on every host that
// may serve.
#ifndef MAGNOLIASTACK_CONFIGURATION_ACCEPTANCE_HPP
#define MAGNOLIASTACK_CONFIGURATION_ACCEPTANCE_HPP

#include "magnoliastack/base/time.hpp"
#include "magnoliastack/configuration/quorum.hpp"
#include "magnoliastack/rpc/platform_link.hpp"

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace magnoliastack::configuration
{

// What the judging host knows of a host, from its member table.
struct host_report
{
    base::host_id m_host;
    base::incarnation m_incarnation;
    // As announced by the host, 0 when it has no vote.
    base::configuration_version m_version;
    // When a newer heartbeat of the host arrived last, directly or relayed.
    std::optional<base::instant> m_last_news;
    // When the judging host sent the newest exchange that the host answered in
    // this incarnation.
    std::optional<base::instant> m_answered_sent_at;
};

// Times of the judge.
struct judge_options
{
    base::host_id m_self;
    absl::Duration m_bound = absl::Seconds(5);
    absl::Duration m_list_retention = default_list_retention;
};

// What is waited beyond the bound. The judge's clock may run fast and the
// other host's slow; a tenth of the bound covers rates that differ by 5 percent
// each way, and the minimum covers the steps of timers.
inline absl::Duration acceptance_margin(absl::Duration bound)
{
    return std::max(absl::Milliseconds(500), bound / 10);
}

// The judge's answer for one version.
struct acceptance
{
    bool m_accepted = false;
    // Hosts that may not have the version in force.
    std::vector<base::host_id> m_pending;
};

// Decides on acceptance. `accepted` for version v means that no host serves a
// keyed request under a version below v, now or later. Every host that the
// judge has heard of must either have announced v or more, or have left, or
// have provably stopped.
//
// A host X that has not announced v serves until its confirmation is older
// than the bound. X can renew it in two ways:
//
// 1. By a read of the row. A read that returns a version below v took place
//    before v was written, so it was sent before the judge learned that v is
//    in the row (row_seen). This holds for a host that reaches the store and
//    no peer: its next read returns v, after which it moves or expires.
// 2. By answers from hosts that are, with X, a majority of X's quorum set, none
//    of which reported more than X has. Let B be hosts that all hold v at one
//    instant t, such that the hosts outside B are no majority of any remembered
//    quorum set. Then every majority contains a host of B. Its answer confirms
//    X only if it was given before that host moved to v, so the request was
//    sent before t. A host of B that restarts after t votes again only after
//    a read of the row or answers of a majority without itself, which again
//    contains a host of B; so it holds at least v whenever it votes. This
//    holds for hosts that see only each other: they are no majority, however
//    many of them exchange, and a host that only they can see has no more.
//
// So when both facts are known since t on the judge's clock, X has stopped at
// t + bound on its own clock, and the judge waits bound plus margin for
// different clock rates. That B holds v at one instant is shown by answers: a
// host of B announced v before t, and it answered an exchange that the judge
// sent after t in the same incarnation. Relayed gossip cannot show this,
// because it may describe a process that has restarted since.
//
// Silence alone proves nothing: hosts out of contact may be a majority of their
// own that confirm each other. In that case B is not large enough, and the
// change stays pending. Silence is required in addition, because a host in
// contact is expected to follow, and `accepted` is to say that it has.
//
// A host that the judge has never heard of is covered by the same wait when
// the judge waits. When all known hosts have announced v and nothing is waited
// for, the judge needs a list that was read after it learned that v is in the
// row: a host serves only after it has been in the list for the join delay. A
// restarted host starts over with that delay, by which its peers know of it.
//
// A host that has left counts for no majority from then on. It may come back,
// but it is in the list for the join delay before it has a vote again, so this
// is only said while lists arrive without gaps as long as that.
//
// A judge that has just started knows only hosts that the platform still lists,
// which may be the smaller part of a partition. It takes the others from the
// roster in the configuration, and so does the quorum set of a keeper.
//
// Assumption: the quorum set of a running host is one that the judge has had
// within the list retention, or differs from it so little that majorities
// intersect. It can only fail when more than half of the hosts are new to a
// host that is cut off from the platform, or when a partition outlasts the
// retention (12 h).
class acceptance_judge
{
public:
    explicit acceptance_judge(judge_options options);

    // The platform's list arrived; sent_at is the instant before the call.
    void hosts_listed(const std::vector<rpc::listed_host>& hosts,
                      base::instant sent_at, base::instant now);

    // This host has put a configuration in force that has this roster. Nothing
    // is accepted before the first call.
    void roster_seen(const std::vector<roster_host>& roster, base::instant now);

    // What a change that is made on this host puts into its content.
    [[nodiscard]] std::vector<roster_host> roster(base::instant now) const;

    // The row was seen to hold `version`, by a read or by a swap.
    void row_seen(base::configuration_version version, base::instant now);

    // Judges a version. It has to be called repeatedly, about as often as
    // exchanges are answered, because it collects evidence over time.
    acceptance judge(base::configuration_version version,
                     const std::vector<host_report>& reports,
                     base::instant now);

    // Moves the bound to the one in force. A change that shortens the bound
    // must be judged with the longer one.
    void set_bound(absl::Duration bound);

private:
    struct holder
    {
        base::incarnation m_incarnation;
        base::instant m_announced_at;
    };
    // Evidence for one version. The hosts that announced it up to m_since
    // leave no majority to the others.
    struct evidence
    {
        absl::btree_map<base::host_id, holder> m_holders;
        std::optional<base::instant> m_since;
    };

    void update_evidence(evidence& state, base::configuration_version version,
                         const std::vector<host_report>& reports,
                         base::instant now) const;
    [[nodiscard]] bool
    blocks_every_majority(const absl::btree_set<base::host_id>& holders,
                          base::instant at, base::instant now) const;
    [[nodiscard]] bool had_left(const base::host_id& host, base::instant at,
                                base::instant now) const;
    [[nodiscard]] absl::btree_set<base::host_id>
    proven_holders(const evidence& state,
                   const std::vector<host_report>& reports) const;
    [[nodiscard]] bool has_waited(std::optional<base::instant> since,
                                  base::instant now) const;
    [[nodiscard]] std::optional<base::instant>
    row_known_since(base::configuration_version version) const;

    judge_options m_options;
    quorum_history m_quorum;
    std::optional<base::instant> m_list_sent_at;
    bool m_roster_known = false;
    // The first instant at which the row was known to hold at least a version.
    absl::btree_map<base::configuration_version, base::instant> m_row_seen;
    absl::btree_map<base::configuration_version, evidence> m_evidence;
};

} // namespace magnoliastack::configuration

#endif
