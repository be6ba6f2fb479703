// The content of the platform's row `slots`.
#ifndef MAGNOLIASTACK_SHARE_SLOT_TABLE_HPP
#define MAGNOLIASTACK_SHARE_SLOT_TABLE_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/ids.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliastack::share
{

// Owner of one slot.
struct slot_record
{
    // Empty when the slot is free.
    base::host_id m_host;
    base::incarnation m_incarnation;
    base::slot_epoch m_epoch;
    // Claimed from an owner that may still use it; whoever claims it again
    // has to wait as well.
    bool m_unsettled = false;

    bool operator==(const slot_record&) const = default;
};

// All slots, by index.
struct slot_table
{
    std::vector<slot_record> m_slots;

    bool operator==(const slot_table&) const = default;

    // Number of slots that `host` owns.
    [[nodiscard]] std::size_t count(const base::host_id& host) const;
};

// The row's value for a table.
std::string serialize(const slot_table& table);

// The table of a row's value; `corrupt` when it is none.
base::result<slot_table> parse_slot_table(std::string_view value);

// How this host came by a slot. It decides when the slot may be used.
enum class slot_origin
{
    // It was free or handed over: at once.
    released,
    // An earlier process of this host owned it: what that process had lent is
    // usable after the loans have ended.
    restarted,
    // Claimed from a host that did not release it: after the claim is
    // acknowledged by a majority and the former owner must have stopped.
    taken_over,
};

} // namespace magnoliastack::share

#endif
