// Abstract interface to the rows of the platform's store that the fleet uses.
#ifndef MAGNOLIASTACK_RPC_FLEET_STORE_HPP
#define MAGNOLIASTACK_RPC_FLEET_STORE_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/catalogue/configuration.hpp"
#include "magnoliastack/catalogue/endpoint_entry.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnoliastack::rpc
{

// Version of a row; 0 means that the row does not exist.
using row_version = base::strong_number<struct row_version_tag>;

// A point on the store's steady clock.
using store_instant = base::strong_number<struct store_instant_ms_tag>;

// Counts how often the store has come back from an older copy. Versions are
// given out again after a return, so versions of different eras tell nothing
// about each other.
using store_era = base::strong_number<struct store_era_tag>;

// A row that the fleet itself keeps.
struct fleet_row
{
    std::string m_key;
    std::string m_value;
    row_version m_version;
};

// A change of some rows at one moment.
struct fleet_change
{
    // Rows and the versions that they must have.
    std::vector<std::pair<std::string, row_version>> m_expected;
    std::vector<std::pair<std::string, std::string>> m_writes;
};

// What came of a change.
struct change_outcome
{
    // False when an expected version was wrong; m_rows then has the rows.
    bool m_applied = false;
    std::vector<fleet_row> m_rows;
    row_version m_version;
    store_instant m_at;
    store_era m_era;
};

// Rows that changed, and the version to go on from.
template <typename Row>
struct changes
{
    std::vector<Row> m_rows;
    row_version m_version;
    store_instant m_at;
    store_era m_era;
};

using configuration_ptr = std::shared_ptr<const catalogue::configuration>;

// The operator's order to evacuate a failure domain, or its removal.
struct evacuation_row
{
    base::failure_domain_id m_domain;
    row_version m_version;
    bool m_removed = false;
};

// Rows of the operator's table.
struct operator_rows
{
    // The newest configuration, or none.
    std::vector<configuration_ptr> m_configurations;
    std::vector<evacuation_row> m_evacuations;
    // These are all rows; otherwise they changed after the version asked for.
    bool m_whole = false;
    row_version m_version;
    store_instant m_at;
    store_era m_era;
};

// Reaches the store. Calls return at once and each callback comes once, on the
// event loop, never from within a call. Errors: `unavailable` when the store
// said that nothing was done, `deadline_exceeded` when the outcome is unknown,
// `not_found` when the history that a watch asks for is gone, `corrupt` when
// the answer cannot be read.
class fleet_store
{
public:
    template <typename Value>
    using callback = std::function<void(base::result<Value>)>;

    virtual ~fleet_store() = default;

    // All rows of the operator, at once.
    virtual void read_operator_rows(absl::Duration timeout,
                                    callback<operator_rows> done) = 0;
    // Rows of the operator that changed or were removed after `version`, or
    // none when `wait` is over.
    virtual void watch_operator_rows(row_version version, absl::Duration wait,
                                     absl::Duration timeout,
                                     callback<operator_rows> done) = 0;

    // The same at once, while a watch may be running.
    virtual void read_operator_changes(row_version version,
                                       absl::Duration timeout,
                                       callback<operator_rows> done) = 0;

    // All entries of endpoints.
    virtual void
    read_endpoints(absl::Duration timeout,
                   callback<changes<catalogue::endpoint_entry>> done) = 0;

    // All rows of the fleet.
    virtual void read_fleet(absl::Duration timeout,
                            callback<changes<fleet_row>> done) = 0;
    // Rows of the fleet that changed after `version`, or none when `wait` is
    // over.
    virtual void watch_fleet(row_version version, absl::Duration wait,
                             absl::Duration timeout,
                             callback<changes<fleet_row>> done) = 0;
    // The same at once, while a watch may be running.
    virtual void read_fleet_changes(row_version version, absl::Duration timeout,
                                    callback<changes<fleet_row>> done) = 0;
    virtual void change_fleet(const fleet_change& change,
                              absl::Duration timeout,
                              callback<change_outcome> done) = 0;
};

// Sends datagrams to other hosts. A datagram may be lost.
class datagram_link
{
public:
    virtual ~datagram_link() = default;

    // The address is `ip:port`.
    virtual void send(const std::string& address, const std::string& bytes) = 0;
};

// Asks the platform to make an endpoint the primary of its group.
class promotion_link
{
public:
    // Number that grows with each change of the holder of the duty.
    using fencing_token = std::uint64_t;

    virtual ~promotion_link() = default;

    // The value is false when the platform refused because the endpoint does
    // not run. The platform may not check tokens, so the call must not reach it
    // after `latest`, when another holder may have promoted: it is not sent
    // after that and given up at that time, and what is still on its way then
    // is dropped. Errors: `unavailable` when nothing was sent or the platform
    // refused, `deadline_exceeded` when the outcome is unknown.
    virtual void promote(const base::group_id& group,
                         const base::endpoint_id& endpoint,
                         const base::host_id& holder, fencing_token token,
                         base::instant latest,
                         std::function<void(base::result<bool>)> done) = 0;
};

} // namespace magnoliastack::rpc

#endif
