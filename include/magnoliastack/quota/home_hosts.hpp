// The hosts that hold the tokens of an organisation in a large fleet.
#ifndef MAGNOLIASTACK_QUOTA_HOME_HOSTS_HPP
#define MAGNOLIASTACK_QUOTA_HOME_HOSTS_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
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
    // With three homes a lost one leaves two thirds of the rate.
    std::size_t m_homes = 3;
    // A host that becomes a home gives out tokens after this: by then the one
    // before has learnt of the change.
    absl::Duration m_take_over = absl::Seconds(3);
    // A home that had none, or did not answer, is not asked for this long.
    absl::Duration m_pause = absl::Milliseconds(200);
    absl::Duration m_silent_pause = absl::Seconds(2);
    absl::Duration m_answer_time = absl::Milliseconds(40);
};

// Chooses the homes of each organisation by rendezvous hash over the members,
// and the home to ask.
class home_hosts
{
public:
    explicit home_hosts(base::host_id self, home_options options = {});

    // The members that may give out tokens, this one included.
    void set_hosts(std::vector<base::host_id> hosts);

    // While it is true this host gives out nothing: it cannot know whether it
    // is a home still.
    void set_suspended(bool suspended)
    {
        m_suspended = suspended;
    }

    [[nodiscard]] bool is_large_fleet() const
    {
        return m_hosts.size() > m_options.m_largest_divided_fleet;
    }

    // This host's part of the rate.
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

    const std::vector<base::host_id>& homes(const base::organisation_id& who);

    base::host_id m_self;
    home_options m_options;
    std::vector<base::host_id> m_hosts;
    std::map<base::organisation_id, std::vector<base::host_id>> m_homes;
    // Since when this host is a home.
    std::map<base::organisation_id, base::instant> m_home_since;
    std::map<std::pair<base::organisation_id, base::host_id>, asked_home>
        m_asked;
    std::size_t m_turn = 0;
    bool m_suspended = false;
};

} // namespace magnoliastack::quota

#endif
