#include "magnoliastack/inventory/difference.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/time/time.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace magnoliastack::inventory
{
namespace
{

using keys = std::map<std::string, std::string>;
using sections = std::map<std::string, keys>;

// An inventory as section headers and keys in their usual notation.
sections describe(const inventory& item)
{
    sections out;
    out["fleet"] = {{"slots", absl::StrCat(item.m_slots)},
                    {"configuration_bound",
                     absl::FormatDuration(item.m_configuration_bound)}};
    for (const auto& [id, part] : item.m_organisations)
        out["organisation " + id.str()] = {
            {"rate", absl::StrFormat("%.12g/s", part.m_rate)},
            {"burst", absl::StrCat(part.m_burst)}};
    for (const auto& [id, part] : item.m_callers)
        out["caller " + id.str()] = {
            {"organisation", part.m_organisation.str()}};
    for (const auto& [id, part] : item.m_groups)
        out["group " + id.str()] = {};
    for (const auto& [id, part] : item.m_endpoints)
        out["endpoint " + id.str()] = {
            {"group", part.m_group.str()},
            {"failure_domain", part.m_failure_domain.str()},
            {"address", part.m_address},
            {"slots", absl::StrCat(part.m_slots)},
            {"connections", absl::StrCat(part.m_connections)}};
    for (const auto& [id, part] : item.m_routes)
        out["route " + id.str()] = {
            {"group", part.m_group.str()},
            {"access", part.m_access == access::open ? "open" : "keyed"},
            {"staleness", absl::FormatDuration(part.m_staleness)},
            {"organisations",
             part.m_organisations.empty()
                 ? "all"
                 : absl::StrJoin(
                       part.m_organisations, ", ",
                       [](std::string* text, const base::organisation_id& name)
                       {
                           absl::StrAppend(text, name.str());
                       })}};
    return out;
}

} // namespace

difference diff(const inventory& before, const inventory& after)
{
    const auto old_sections = describe(before);
    const auto new_sections = describe(after);
    difference changes;
    for (const auto& [header, old_keys] : old_sections)
    {
        const auto match = new_sections.find(header);
        if (match == new_sections.end())
        {
            changes.push_back({change_kind::removed, header, "", "", ""});
            continue;
        }
        for (const auto& [key, old_value] : old_keys)
        {
            const auto& new_value = match->second.at(key);
            if (new_value != old_value)
                changes.push_back(
                    {change_kind::changed, header, key, old_value, new_value});
        }
    }
    for (const auto& [header, new_keys] : new_sections)
    {
        if (!old_sections.contains(header))
            changes.push_back({change_kind::added, header, "", "", ""});
    }
    return changes;
}

std::string to_text(const difference& changes)
{
    std::string out;
    for (const auto& item : changes)
    {
        switch (item.m_kind)
        {
        case change_kind::added:
            absl::StrAppend(&out, "+ [", item.m_section, "]\n");
            break;
        case change_kind::removed:
            absl::StrAppend(&out, "- [", item.m_section, "]\n");
            break;
        case change_kind::changed:
            absl::StrAppend(&out, "~ [", item.m_section, "] ", item.m_key, ": ",
                            item.m_old, " -> ", item.m_new, "\n");
            break;
        }
    }
    return out;
}

std::vector<std::string> unsafe_changes(const inventory& before,
                                        const inventory& after)
{
    std::vector<std::string> problems;
    for (const auto& [id, old_group] : before.m_groups)
    {
        const group* new_group = after.find(id);
        if (new_group == nullptr)
            continue;
        // Both lists are in the order of their names.
        std::vector<base::endpoint_id> changed;
        std::set_symmetric_difference(
            old_group.m_endpoints.begin(), old_group.m_endpoints.end(),
            new_group->m_endpoints.begin(), new_group->m_endpoints.end(),
            std::back_inserter(changed));
        if (changed.size() > 1)
            problems.push_back("group " + id.str() + ": " +
                               std::to_string(changed.size()) +
                               " endpoints added or removed at once, expected "
                               "at most 1 a change");
    }
    return problems;
}

} // namespace magnoliastack::inventory
