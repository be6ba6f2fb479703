// Commands that work on inventory files alone.
#ifndef MAGNOLIASTACK_LIB_CTL_OFFLINE_HPP
#define MAGNOLIASTACK_LIB_CTL_OFFLINE_HPP

#include "magnoliastack/cli/exit_code.hpp"
#include "magnoliastack/inventory/inventory.hpp"

#include <optional>
#include <ostream>
#include <string>

namespace magnoliastack::ctl
{

// A file's text and the inventory in it.
struct loaded_inventory
{
    std::string m_text;
    inventory::inventory m_inventory;
};

// Reads and checks an inventory. On errors prints one line for each and returns
// nothing.
std::optional<loaded_inventory> load_inventory(const std::string& path,
                                               std::ostream& err);

// `check FILE`: one line for each error, or a summary.
cli::exit_code check(const std::string& path, bool json, std::ostream& out,
                     std::ostream& err);

// `diff OLD NEW`: one line for each difference.
cli::exit_code diff(const std::string& before, const std::string& after,
                    bool json, std::ostream& out, std::ostream& err);

} // namespace magnoliastack::ctl

#endif
