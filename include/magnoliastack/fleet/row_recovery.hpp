// Rows that the store has lost and this host remembers.
#ifndef MAGNOLIASTACK_FLEET_ROW_RECOVERY_HPP
#define MAGNOLIASTACK_FLEET_ROW_RECOVERY_HPP

#include "magnoliastack/rpc/fleet_store.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace magnoliastack::fleet
{

// True when `one` is a later state of the row than `other`. Their versions may
// be of different eras and tell nothing, so the content decides: members by
// incarnation, joining and mark, leaderships by generation and phase, the duty
// by token and end. A row that cannot be read is never later.
bool is_later(const rpc::fleet_row& one, const rpc::fleet_row& other);

// After a return of the store each host compares what it remembers with what
// the store has. Of each row the later state counts; hosts that remember it
// write it again, whoever comes first.
class row_recovery
{
public:
    // A row as this host knew it before the return.
    void remember(const rpc::fleet_row& row);

    // A row as the store has it in this era. False when a later state of it is
    // remembered, which stays in force.
    bool take(const rpc::fleet_row& row);

    // True when the store has lost nothing that this host remembers. It can be
    // told once all rows of the era have been taken.
    [[nodiscard]] bool is_empty() const
    {
        return m_lost.empty();
    }

    // Adds up to `limit` remembered rows to a change, each expecting what the
    // store has of it.
    void add_to(rpc::fleet_change& change, std::size_t limit) const;

private:
    struct lost_row
    {
        std::string m_value;
        // What the store has in its place; 0 when it has nothing.
        rpc::row_version m_present;
    };

    std::map<std::string, lost_row> m_lost;
};

} // namespace magnoliastack::fleet

#endif
