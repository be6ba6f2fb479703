#include "magnoliastack/inventory/difference.hpp"
#include "magnoliastack/inventory/inventory.hpp"

#include <string>

#include <criterion/criterion.h>

namespace base = magnoliastack::base;
namespace inventory = magnoliastack::inventory;

namespace
{

constexpr const char* good = "[fleet]\n"
                             "slots = 8\n"
                             "[organisation oyster]\n"
                             "rate = 200/s\n"
                             "burst = 400\n"
                             "[caller stall-1]\n"
                             "organisation = oyster\n"
                             "[group cutting]\n"
                             "[endpoint cutting-1]\n"
                             "group = cutting\n"
                             "failure_domain = barka\n"
                             "address = 127.0.0.1:7601\n"
                             "slots = 3\n"
                             "connections = 20\n"
                             "[route stock]\n"
                             "group = cutting\n"
                             "access = keyed\n"
                             "staleness = 2s\n"
                             "organisations = oyster\n";

std::string replaced(std::string_view from, std::string_view to)
{
    std::string text = good;
    const auto at = text.find(from);
    cr_assert_neq(at, std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

// Guards against a section whose values end up in another field.
Test(inventory, a_good_file_gives_every_part)
{
    const auto result = inventory::parse_inventory(good, "i.ini");
    cr_assert(result.has_value());
    cr_assert_eq(result->m_slots, 8U);
    cr_assert(result->m_configuration_bound == absl::Seconds(5));
    const auto* oyster = result->find(base::organisation_id("oyster"));
    cr_assert(oyster != nullptr && oyster->m_rate == 200.0 &&
              oyster->m_burst == 400U);
    const auto* server = result->find(base::endpoint_id("cutting-1"));
    cr_assert(server != nullptr && server->m_slots == 3U &&
              server->m_connections == 20U &&
              server->m_failure_domain.str() == "barka");
    cr_assert_eq(result->find(base::group_id("cutting"))->m_endpoints.size(),
                 1U);
    const auto* stock = result->find(base::route_id("stock"));
    cr_assert(stock != nullptr && stock->m_staleness == absl::Seconds(2) &&
              stock->m_access == inventory::access::keyed &&
              stock->m_organisations.size() == 1U);
    cr_assert(result->find(base::route_id("stocks")) == nullptr);
}

// Guards against a reference to nothing, which would leave callers without a
// group or an organisation while traffic runs.
Test(inventory, references_to_absent_sections_are_refused)
{
    for (const auto& text :
         {replaced("organisation = oyster", "organisation = pearl"),
          replaced("group = cutting\nfail", "group = cuttings\nfail"),
          replaced("group = cutting\naccess", "group = cuttings\naccess"),
          replaced("organisations = oyster", "organisations = oyster, x"),
          replaced("access = keyed", "access = open"),
          replaced("[group cutting]", "[group cutting]\n[group empty]"),
          replaced("[route", "[endpoint b]\ngroup = cutting\n"
                             "failure_domain = barka\n"
                             "address = 127.0.0.1:7601\n"
                             "slots = 3\nconnections = 20\n[route")})
    {
        const auto result = inventory::parse_inventory(text, "i.ini");
        cr_assert(!result.has_value());
        cr_assert_eq(result.error().size(), 1U, "%zu problems, first: %s",
                     result.error().size(),
                     result.error()[0].to_string().c_str());
    }
}

// Guards against a diff that misses a key or reports reordering as a change.
Test(inventory, the_difference_names_each_change)
{
    const auto before = inventory::parse_inventory(good, "a").value();
    const auto after =
        inventory::parse_inventory(
            "[caller stall-2]\norganisation = oyster\n" +
                replaced("[caller stall-1]\norganisation = oyster\n", "")
                    .replace(replaced("[caller stall-1]\norganisation = "
                                      "oyster\n",
                                      "")
                                 .find("200/s"),
                             5, "250.5/s"),
            "b")
            .value();
    cr_assert(inventory::to_text(inventory::diff(before, before)).empty());
    const auto text = inventory::to_text(inventory::diff(before, after));
    cr_assert_str_eq(text.c_str(),
                     "- [caller stall-1]\n"
                     "~ [organisation oyster] rate: 200/s -> 250.5/s\n"
                     "+ [caller stall-2]\n");
}

// Guards against a change after which an old and a new majority of a group do
// not share an endpoint.
Test(inventory, only_one_endpoint_of_a_group_changes_at_once)
{
    const auto with = [](const std::vector<std::string>& names)
    {
        inventory::inventory result;
        inventory::group group;
        group.m_id = magnoliastack::base::group_id("ledger");
        for (const std::string& name : names)
            group.m_endpoints.emplace_back(name);
        result.m_groups[group.m_id] = group;
        return result;
    };
    const auto three = with({"a", "b", "c"});
    cr_assert(inventory::unsafe_changes(three, three).empty());
    cr_assert(
        inventory::unsafe_changes(three, with({"a", "b", "c", "d"})).empty());
    cr_assert(inventory::unsafe_changes(three, with({"a", "b"})).empty());
    // A replacement in one step is a removal and an addition.
    cr_assert_eq(inventory::unsafe_changes(three, with({"a", "b", "d"})).size(),
                 1U);
}
