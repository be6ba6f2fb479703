// The connections of this host to one endpoint.
#ifndef MAGNOLIASTACK_ENTRY_ENDPOINT_POOL_HPP
#define MAGNOLIASTACK_ENTRY_ENDPOINT_POOL_HPP

#include "magnoliastack/entry/connection.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace magnoliastack::entry
{

// Size of a pool.
struct pool_options
{
    // Part of the endpoint's connections that are divided over the hosts and
    // kept. The rest is opened by whoever needs it and closed after use: a
    // transaction holds its connection through its pauses, so the need of one
    // host changes much faster than shares can.
    double m_kept_part = 0.6;
    // Connections that a host may have open, as a multiple of its part.
    std::size_t m_largest_multiple = 5;
    // After a refusal no further connection is opened for this long.
    absl::Duration m_refusal_pause = absl::Milliseconds(60);
};

// Holds connections for many organisations. A part of them is this host's own
// and kept while idle; more are opened while they are needed and the endpoint
// accepts them.
class endpoint_pool
{
public:
    explicit endpoint_pool(pool_options options = {});

    // Sets the connections that are kept; a host of a fleet that is larger than
    // the endpoint's limit may have to close each one after use.
    void set_share(std::size_t connections);
    // The same for a host that holds connections for others: its part takes
    // the bursts of all of them, so no more are opened.
    void set_held(std::size_t connections);

    // The idle connection of the organisation that needs the least change of
    // values, or null.
    connection* find_idle(const base::organisation_id& organisation,
                          const value_map& values);

    // The idle connection that was not used for the longest time, or null.
    connection* oldest_idle();

    // True when there are more connections than are kept.
    [[nodiscard]] bool is_over_share() const
    {
        return m_connections.size() > m_share;
    }

    // True when there are as many connections as are kept.
    [[nodiscard]] bool is_full() const
    {
        return m_connections.size() >= m_share;
    }

    // True when another connection may be opened.
    [[nodiscard]] bool can_open(base::instant now) const;

    connection& add(base::connection_generation number,
                    const base::endpoint_id& endpoint,
                    const base::organisation_id& organisation,
                    base::instant now);
    void remove(base::connection_generation number);

    // The endpoint refused a connection because it has too many.
    void refused(base::instant now);

    [[nodiscard]] std::size_t size() const
    {
        return m_connections.size();
    }
    [[nodiscard]] std::size_t opening() const;
    // Connections that run something or open.
    [[nodiscard]] std::size_t busy() const;
    [[nodiscard]] std::vector<connection*> all();
    // The numbers of all connections, for callers that may close some.
    [[nodiscard]] std::vector<base::connection_generation> numbers() const;

private:
    pool_options m_options;
    std::size_t m_share = 1;
    bool m_held = false;
    base::instant m_refused_until;
    std::map<base::connection_generation, std::unique_ptr<connection>>
        m_connections;
};

} // namespace magnoliastack::entry

#endif
