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
    // Connections of this host that are always allowed; the endpoint itself
    // refuses what exceeds its limit.
    std::size_t m_floor = 1;
    // Time after which a limit that was lowered by a refusal grows by one.
    absl::Duration m_growth_interval = absl::Seconds(1);
};

// Holds connections for many organisations below a limit. Every host opens
// what it needs up to its part of the endpoint's limit; a refusal lowers the
// own limit, which then grows back, so that hosts with more load get more
// connections without talking to each other.
class endpoint_pool
{
public:
    explicit endpoint_pool(pool_options options = {});

    // Sets this host's part of the endpoint's connections.
    void set_share(std::size_t connections);

    // The idle connection of the organisation that needs the least change of
    // values, or null.
    connection* find_idle(const base::organisation_id& organisation,
                          const value_map& values);

    // The idle connection that was not used for the longest time, or null.
    connection* oldest_idle();

    // True when another connection may be opened.
    [[nodiscard]] bool can_open(base::instant now);

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

private:
    void grow(base::instant now);

    pool_options m_options;
    std::size_t m_share = 1;
    std::size_t m_limit = 1;
    base::instant m_limit_changed;
    std::map<base::connection_generation, std::unique_ptr<connection>>
        m_connections;
};

} // namespace magnoliastack::entry

#endif
