// This host's part of each organisation's rate in a small fleet.
#ifndef MAGNOLIASTACK_QUOTA_EVEN_SHARES_HPP
#define MAGNOLIASTACK_QUOTA_EVEN_SHARES_HPP

#include <cstddef>
#include <cstdint>

namespace magnoliastack::quota
{

// The fleet as this host sees it now.
struct share_view
{
    // Hosts that may be giving out their part, this one included: all but those
    // whose reliance on the fleet's rows has lapsed.
    std::size_t m_hosts = 1;
    // Version of this host's row; 0 when it has none or is marked as out.
    std::uint64_t m_registration = 0;
    // Each of those hosts knows this host's row and so divides by it as well.
    bool m_counted = false;
    // This host knows all rows of members, as of less than a lease ago.
    bool m_current = false;
};

// Every host that may be serving has the same part of each rate, whether it can
// be heard or not, so parts never have to move when hosts fall silent. A host
// that joins waits until all others count it; one whose reliance has lapsed
// gives out nothing, and only then do the others divide without it. Uneven
// demand is met by tokens that move between hosts.
class even_shares
{
public:
    // The process before was never marked as out, so the others have counted
    // this host all along.
    void resume();

    void update(const share_view& view);

    // Part of the rate, 0 to 1. It stays this host's own while it may not be
    // used: nobody divides it before the host is marked as out.
    [[nodiscard]] double share() const;
    // False while the host cannot know whether it was marked.
    [[nodiscard]] bool may_use() const
    {
        return m_view.m_current;
    }

private:
    bool m_resumed = false;
    bool m_joined = false;
    share_view m_view;
};

} // namespace magnoliastack::quota

#endif
