// What a change of the inventory would change.
#ifndef MAGNOLIASTACK_INVENTORY_DIFFERENCE_HPP
#define MAGNOLIASTACK_INVENTORY_DIFFERENCE_HPP

#include "magnoliastack/inventory/inventory.hpp"

#include <string>
#include <vector>

namespace magnoliastack::inventory
{

// How a section differs.
enum class change_kind
{
    added,
    removed,
    changed,
};

// A difference of one section, or of one key of a section that both have. The
// key is empty for a section that only one of the two has.
struct change
{
    change_kind m_kind = change_kind::changed;
    std::string m_section;
    std::string m_key;
    std::string m_old;
    std::string m_new;

    bool operator==(const change&) const = default;
};

// Removed and changed sections first, then added ones, each in the order of
// their names.
using difference = std::vector<change>;

// Compares the meaning of two inventories; the order of their sections and
// their comments do not count.
difference diff(const inventory& before, const inventory& after);

// One line for each change: `+ [caller stall-4]`, `- [caller stall-3]`,
// `~ [organisation oyster] rate: 100/s -> 200/s`. Empty for no change.
std::string to_text(const difference& changes);

// What is wrong with a change of the endpoints of a group: with more than one
// added or removed at once, a majority of the old endpoints and one of the new
// ones need not share an endpoint, so an acknowledged write could be lost and
// two primaries could work side by side. Empty when the change is safe.
std::vector<std::string> unsafe_changes(const inventory& before,
                                        const inventory& after);

} // namespace magnoliastack::inventory

#endif
