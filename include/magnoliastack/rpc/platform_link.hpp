// Abstract interface to the platform's table, object store and host list.
#ifndef MAGNOLIASTACK_RPC_PLATFORM_LINK_HPP
#define MAGNOLIASTACK_RPC_PLATFORM_LINK_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/ids.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace magnoliastack::rpc
{

// A row of the table. Version 0 means that it does not exist.
struct row_state
{
    std::uint64_t m_version = 0;
    std::string m_value;
};

// Outcome of a compare-and-swap and the row after it.
struct swap_outcome
{
    bool m_swapped = false;
    row_state m_row;
};

// A host in the platform's list.
struct listed_host
{
    base::host_id m_host;
    std::string m_peer_address;
    base::failure_domain_id m_failure_domain;
    bool m_leaving = false;
};

// The platform's lagging list.
struct host_list
{
    std::vector<listed_host> m_hosts;
    std::vector<base::endpoint_id> m_leaving_endpoints;
};

// Reaches the platform. Calls return at once; callbacks come once each, from
// threads of the client. Every call has a timeout; a failed compare-and-swap
// with unavailable or deadline_exceeded may have taken effect.
class platform_link
{
public:
    virtual ~platform_link() = default;

    virtual void
    read_row(const std::string& key, absl::Duration timeout,
             std::function<void(base::result<row_state>)> done) = 0;

    virtual void
    compare_and_swap(const std::string& key, std::uint64_t expected_version,
                     const std::string& value, absl::Duration timeout,
                     std::function<void(base::result<swap_outcome>)> done) = 0;

    virtual void put_object(const std::string& name, const std::string& content,
                            absl::Duration timeout,
                            std::function<void(base::result<bool>)> done) = 0;

    // An absent object is an empty optional.
    virtual void get_object(
        const std::string& name, absl::Duration timeout,
        std::function<void(base::result<std::optional<std::string>>)> done) = 0;

    virtual void
    list_hosts(absl::Duration timeout,
               std::function<void(base::result<host_list>)> done) = 0;

    // Tells the platform that this host lives, or with `gone` that it stopped.
    virtual void announce(const listed_host& host, bool gone,
                          absl::Duration timeout,
                          std::function<void(base::result<bool>)> done) = 0;
};

} // namespace magnoliastack::rpc

#endif
