// A host's copy of the configuration: follows the row, fetches content and
// knows whether the copy is confirmed current.
#ifndef MAGNOLIASTACK_CONFIGURATION_KEEPER_HPP
#define MAGNOLIASTACK_CONFIGURATION_KEEPER_HPP

#include "magnoliastack/base/time.hpp"
#include "magnoliastack/configuration/checker.hpp"
#include "magnoliastack/configuration/quorum.hpp"
#include "magnoliastack/rpc/peer_link.hpp"
#include "magnoliastack/rpc/platform_link.hpp"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace magnoliastack::configuration
{

// Times and identity of a keeper.
struct keeper_options
{
    base::host_id m_self;
    // Keyed requests are served this long after the last confirmation.
    absl::Duration m_bound = absl::Seconds(5);
    // Pause between reads of the row; each is shortened or lengthened by up
    // to a fifth so that hosts do not read in step.
    absl::Duration m_read_interval = absl::Seconds(1);
    // Pause before a fetch of content is tried again.
    absl::Duration m_retry_interval = absl::Milliseconds(250);
    // A call without an answer for this long is given up.
    absl::Duration m_call_timeout = absl::Seconds(2);
    // Time between a host's first appearance in the list and its first keyed
    // request. Other hosts read the list once a second, so they know the host
    // by then.
    absl::Duration m_join_delay = absl::Seconds(2);
    // A list older than this confirms nothing; see quorum_history.
    absl::Duration m_list_retention = default_list_retention;
    std::uint64_t m_random_seed = 1;
};

// Asks for the row `configuration`.
struct read_row
{
};

// Asks the object store for a content.
struct get_object
{
    std::string m_hash;
};

// Asks a peer for its configuration.
struct fetch_from_peer
{
    base::host_id m_host;
    base::configuration_version m_minimum_version;
};

using action = std::variant<read_row, get_object, fetch_from_peer>;

// The configuration in force on this host.
struct active_configuration
{
    change_record m_change;
    content m_content;
    // The stored bytes, as passed on to peers.
    std::string m_bytes;
};

// Holds the configuration of one host.
//
// Confirmation. The copy of version v is confirmed at s when a read of the row
// that was sent at s returned v, or when answers to exchanges that were sent
// at s or later came from so many hosts that they and this host are a majority
// of the listed hosts, and none of these reported a version above v. Using the
// send time makes the confirmation true at s however long the answer took. A
// version above v that only others hold does not prevent this: it cannot be
// accepted yet, and its only holder may be gone during an outage of the store.
//
// Votes. A host that has just started has forgotten what it held, so its
// answer could hide a higher version that it helped to accept before. It
// reports version 0 and counts for nobody until it is established: by a read
// of the row that returns its version, or by answers of a majority of the
// listed hosts, itself excluded, that are established. A leaving host reports
// 0 again, because it disappears from the list while it may still run.
class keeper
{
public:
    // The checker must outlive the keeper.
    keeper(keeper_options options, content_checker& checker);

    // What to do now.
    std::vector<action> tick(base::instant now);

    // The answer to read_row. sent_at is the instant before the call.
    void row_read(const base::result<rpc::row_state>& answer,
                  base::instant sent_at);

    // The answer to get_object.
    void object_read(const std::string& hash,
                     const base::result<std::optional<std::string>>& answer,
                     base::instant now);

    // The answer to fetch_from_peer.
    void peer_object_read(const base::host_id& host,
                          const base::result<rpc::configuration_object>& answer,
                          base::instant now);

    // A peer answered an exchange with its own version, 0 when it has no vote.
    // sent_at is the instant before this host sent its request. Only answers
    // count: the time at which a peer made a request is not known.
    void peer_version_seen(const base::host_id& host,
                           base::configuration_version version,
                           base::instant sent_at, base::instant now);

    // A version was heard of in another way, as in relayed gossip. It makes
    // this host look for it and confirms nothing.
    void version_heard(const base::host_id& host,
                       base::configuration_version version);

    // The platform's list arrived.
    void hosts_listed(const std::vector<rpc::listed_host>& hosts,
                      base::instant now);

    // This host has started to leave: it takes no new request and has no vote.
    void leave();

    // Moves the bound to the one of the active inventory.
    void set_bound(absl::Duration bound);

    // The configuration in force here; null when there is none yet.
    [[nodiscard]] const active_configuration* active() const;

    // Whether keyed requests may be served now.
    [[nodiscard]] bool is_confirmed(base::instant now) const;

    // Time since the last confirmation; infinite when there was none.
    [[nodiscard]] absl::Duration confirmed_age(base::instant now) const;

    // The version to report to peers: 0 while this host has no vote.
    [[nodiscard]] base::configuration_version announced_version() const;

    // Highest version heard of.
    [[nodiscard]] base::configuration_version highest_version() const
    {
        return m_highest;
    }

    // Whether the last read of the row succeeded.
    [[nodiscard]] bool is_store_reachable() const
    {
        return m_store_reachable;
    }

    // Why the newest known version is not in force here; empty otherwise.
    [[nodiscard]] const std::string& problem() const
    {
        return m_problem;
    }

private:
    struct peer_vote
    {
        base::configuration_version m_version;
        base::instant m_sent_at;
    };

    [[nodiscard]] base::configuration_version version() const;
    void learn(base::configuration_version version);
    bool activate(const change_record& change, const std::string& bytes,
                  base::instant now);
    void confirm(base::instant at);
    void confirm_by_row(base::instant sent_at);
    void confirm_by_majority(base::instant now);
    [[nodiscard]] std::optional<base::instant>
    majority_instant(const std::vector<base::host_id>& hosts,
                     base::instant now) const;
    void plan_fetch(std::vector<action>& actions, base::instant now);

    keeper_options m_options;
    content_checker& m_checker;
    std::mt19937_64 m_random;
    quorum_history m_quorum;
    std::optional<active_configuration> m_active;
    std::optional<base::instant> m_confirmed_at;
    std::optional<base::instant> m_may_vote_at;
    bool m_established = false;
    bool m_leaving = false;
    bool m_store_reachable = false;
    base::configuration_version m_highest;
    base::configuration_version m_rejected;
    std::string m_problem;

    std::optional<change_record> m_wanted;
    std::optional<base::instant> m_row_sent_at;
    std::optional<base::instant> m_row_confirms_at;
    std::optional<base::instant> m_next_read;
    std::optional<base::instant> m_fetch_sent_at;
    std::optional<base::instant> m_next_fetch;
    bool m_fetch_from_store = true;
    absl::flat_hash_map<base::host_id, peer_vote> m_votes;
    absl::flat_hash_map<base::host_id, base::configuration_version> m_holders;
};

} // namespace magnoliastack::configuration

#endif
