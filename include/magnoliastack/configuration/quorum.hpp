// The sets of hosts of which a majority is asked, as derived from the
// platform's lists.
#ifndef MAGNOLIASTACK_CONFIGURATION_QUORUM_HPP
#define MAGNOLIASTACK_CONFIGURATION_QUORUM_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/configuration/content.hpp"
#include "magnoliastack/rpc/platform_link.hpp"

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"

#include <optional>
#include <vector>

namespace magnoliastack::configuration
{

// How long a host stays in the quorum set after it disappeared from the list
// without having left, and how long an old set is remembered. It must exceed
// the longest partition or outage during which hosts shall go on to serve.
inline constexpr absl::Duration default_list_retention = absl::Hours(12);

// Between lists that are further apart, a host that left could have come back,
// served and been dropped again, this time as unreachable. Below the join
// delay of 2 s.
inline constexpr absl::Duration max_list_gap = absl::Milliseconds(1'500);

// The number of hosts that is a majority of `size`.
constexpr std::size_t majority_of(std::size_t size)
{
    return size / 2 + 1;
}

// Remembers quorum sets. The set in force holds the hosts of the last list and
// those that were listed within the retention and have not left since: the
// platform drops hosts that it cannot reach, and if these were forgotten at
// once, both sides of a partition could call themselves a majority. A host
// that was listed as leaving is forgotten when the list drops it. A host that
// has just started has seen no list from before a partition; it takes the hosts
// from the roster in the configuration.
class quorum_history
{
public:
    explicit quorum_history(absl::Duration retention);

    // The platform's list arrived.
    void hosts_listed(const std::vector<rpc::listed_host>& hosts,
                      base::instant now);

    // A configuration arrived with the hosts that its author knew. They belong
    // to the set as if they had been listed that long ago.
    void roster_seen(const std::vector<roster_host>& roster, base::instant now);

    // The set in force for the next change's roster.
    [[nodiscard]] std::vector<roster_host> roster(base::instant now) const;

    // The set in force, empty before the first list and when the last list is
    // older than the retention.
    [[nodiscard]] std::vector<base::host_id> current(base::instant now) const;

    // Every distinct set that was in force within the retention.
    [[nodiscard]] std::vector<absl::btree_set<base::host_id>>
    remembered(base::instant now) const;

    // When the list had dropped the host after it was listed as leaving. Empty
    // for a host that has not left, that is back, or that may have been back
    // between two lists that are further apart than max_list_gap.
    [[nodiscard]] std::optional<base::instant>
    left_since(const base::host_id& host) const;

    // Whether the last list contains the host.
    [[nodiscard]] bool is_listed(const base::host_id& host) const;

    // When the last list arrived.
    [[nodiscard]] std::optional<base::instant> last_list() const
    {
        return m_last_list;
    }

private:
    struct known_host
    {
        base::instant m_last_listed;
        bool m_listed = false;
        bool m_leaving = false;
        std::optional<base::instant> m_left_since;
    };
    struct past_set
    {
        absl::btree_set<base::host_id> m_hosts;
        base::instant m_last_in_force;
    };

    void update_set(base::instant now);

    absl::Duration m_retention;
    std::optional<base::instant> m_last_list;
    base::instant m_without_gap_since;
    absl::btree_map<base::host_id, known_host> m_hosts;
    std::vector<past_set> m_sets;
};

} // namespace magnoliastack::configuration

#endif
