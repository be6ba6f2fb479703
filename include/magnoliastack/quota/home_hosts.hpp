// The hosts that hold the tokens of an organisation in a large fleet.
#ifndef MAGNOLIASTACK_QUOTA_HOME_HOSTS_HPP
#define MAGNOLIASTACK_QUOTA_HOME_HOSTS_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace magnoliastack::quota
{

// Times and numbers of homes.
struct home_options
{
    // Fleets of up to this many hosts divide rates by demand. In larger ones a
    // host's part of a small organisation is below one token.
    std::size_t m_largest_divided_fleet = 16;
    // Homes of an organisation at least, if there are as many hosts: a lost
    // one of three leaves two thirds of the rate.
    std::size_t m_least_homes = 3;
    // A host that becomes a home gives out tokens after this: by then the one
    // before has learnt of the change.
    absl::Duration m_take_over = absl::Seconds(3);
    // A home that had none, or did not answer, is not asked for this long.
    absl::Duration m_pause = absl::Milliseconds(200);
    absl::Duration m_silent_pause = absl::Seconds(2);
    absl::Duration m_answer_time = absl::Milliseconds(20);
};

// A host as far as homes go.
struct home_candidate
{
    base::host_id m_host;
    base::failure_domain_id m_failure_domain;
    // False when it has ended or its reliance on the fleet's rows is over.
    bool m_active = true;

    bool operator==(const home_candidate&) const = default;
};

// Chooses the homes of each organisation by rendezvous hash, the same number in
// each failure domain, and the home to ask. A domain that is cut off keeps its
// part of the rate for its part of the callers, and most questions stay within
// a domain. The part of a domain without an active host is not given out.
class home_hosts
{
public:
    explicit home_hosts(base::host_id self, home_options options = {});

    // All hosts that have ever been members, this one included, in the order
    // of their names.
    void set_hosts(std::vector<home_candidate> hosts);

    // This host's process before held the same homes until it ended, so nobody
    // else has to learn of a change. Holds for the present hosts, or for the
    // first ones that are set.
    void resume();

    // While it is true this host may give out nothing: it cannot know whether
    // it is a home still.
    void set_suspended(bool suspended)
    {
        m_suspended = suspended;
    }
    [[nodiscard]] bool may_use() const
    {
        return !m_suspended;
    }

    [[nodiscard]] bool is_large_fleet() const
    {
        return m_active_hosts > m_options.m_largest_divided_fleet;
    }

    // At most so many homes, and one at least: each home can hold one token of
    // the organisation's burst.
    void limit_homes(const base::organisation_id& who, std::size_t count);

    // This host's part of the rate, also while it may not be used.
    [[nodiscard]] double share(const base::organisation_id& who,
                               base::instant now);

    // The home to ask for tokens, or none when none is likely to have some.
    std::optional<base::host_id> choose(const base::organisation_id& who,
                                        base::instant now);
    // A home answered; `amount` is what it gave.
    void answered(const base::host_id& home, const base::organisation_id& who,
                  std::uint32_t amount, base::instant now);

private:
    struct asked_home
    {
        std::optional<base::instant> m_asked;
        base::instant m_not_before;
    };

    const std::vector<home_candidate>& homes(const base::organisation_id& who);
    [[nodiscard]] std::vector<home_candidate>
    choose_homes(const base::organisation_id& who) const;
    [[nodiscard]] std::size_t
    home_count(const base::organisation_id& who) const;
    [[nodiscard]] bool is_home(const base::organisation_id& who);
    std::optional<base::host_id> ask(const home_candidate& home,
                                     const base::organisation_id& who,
                                     base::instant now);

    base::host_id m_self;
    home_options m_options;
    base::failure_domain_id m_own_domain;
    std::vector<home_candidate> m_hosts;
    std::size_t m_active_hosts = 0;
    std::size_t m_domains = 1;
    std::size_t m_homes_per_domain = 1;
    std::map<base::organisation_id, std::vector<home_candidate>> m_homes;
    std::map<base::organisation_id, std::size_t> m_limits;
    // Since when this host is a home.
    std::map<base::organisation_id, base::instant> m_home_since;
    std::map<std::pair<base::organisation_id, base::host_id>, asked_home>
        m_asked;
    std::size_t m_turn = 0;
    bool m_suspended = false;
    bool m_resumed = false;
};

} // namespace magnoliastack::quota

#endif
