#include "magnoliastack/inventory/inventory.hpp"

#include "magnoliastack/settings/document.hpp"
#include "magnoliastack/settings/schema.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace magnoliastack::inventory
{
namespace
{

settings::schema make_schema()
{
    using settings::key_type;
    return {{
        {"fleet",
         false,
         {settings::integer_key("slots", 1, 4096),
          settings::duration_key("configuration_bound", absl::Seconds(1),
                                 absl::Minutes(1), "5s")}},
        {"organisation",
         true,
         {settings::rate_key("rate", 0.1, 1'000'000),
          settings::integer_key("burst", 1, 1'000'000)}},
        {"caller", true, {settings::name_key("organisation")}},
        {"group", true, {}},
        {"endpoint",
         true,
         {settings::name_key("group"), settings::name_key("failure_domain"),
          settings::address_key("address"),
          settings::integer_key("slots", 1, 1'000),
          settings::integer_key("connections", 1, 100'000)}},
        {"route",
         true,
         {settings::name_key("group"),
          settings::choice_key("access", {"open", "keyed"}),
          settings::duration_key("staleness", absl::ZeroDuration(),
                                 absl::Hours(1), "0ms"),
          settings::list_key("organisations", key_type::name)}},
    }};
}

// Checks what the schema cannot: references between sections. It reads raw
// sections, so that it also runs when other values are wrong.
class reference_checker
{
public:
    reference_checker(const settings::document& file,
                      std::vector<settings::problem>& problems)
        : m_file(file), m_problems(problems)
    {
        for (const auto& part : file.m_sections)
            m_names[part.m_kind].insert(part.m_name);
    }

    void run()
    {
        for (const auto& part : m_file.m_sections)
        {
            if (part.m_kind == "caller")
                check_reference(part, "organisation", "organisation");
            if (part.m_kind == "endpoint")
                check_endpoint(part);
            if (part.m_kind == "route")
                check_route(part);
        }
        // A group may only look empty because an endpoint's group is misspelt,
        // which has been reported.
        if (m_endpoint_astray)
            return;
        for (const auto& part : m_file.m_sections)
        {
            if (part.m_kind == "group" && !m_used_groups.contains(part.m_name))
                add(part, part.m_line, "", "without an endpoint",
                    "at least one [endpoint NAME] with this group");
        }
    }

private:
    void add(const settings::section& part, int line, std::string key,
             std::string found, std::string expected)
    {
        m_problems.push_back({m_file.m_file, line, part.header(),
                              std::move(key), std::move(found),
                              std::move(expected)});
    }

    void check_reference(const settings::section& part, std::string_view key,
                         const std::string& kind)
    {
        const auto* item = part.find(key);
        // A value that is no name has been reported by the schema's check.
        if (item == nullptr ||
            settings::check_value(item->m_value, settings::name_key("")))
            return;
        if (!m_names[kind].contains(item->m_value))
            add(part, item->m_line, item->m_key, settings::shown(item->m_value),
                absl::StrCat("the name of a section [", kind, " NAME]"));
    }

    void check_endpoint(const settings::section& part)
    {
        check_reference(part, "group", "group");
        if (const auto* item = part.find("group"))
        {
            m_used_groups.insert(item->m_value);
            m_endpoint_astray |= !m_names["group"].contains(item->m_value);
        }
        const auto* address = part.find("address");
        if (address == nullptr)
            return;
        const auto [earlier, fresh] =
            m_addresses.try_emplace(address->m_value, &part);
        if (!fresh)
            add(part, address->m_line, "address",
                settings::shown(address->m_value),
                absl::StrCat("an address of its own, as [",
                             earlier->second->header(), "] has this one"));
    }

    void check_route(const settings::section& part)
    {
        check_reference(part, "group", "group");
        const auto* organisations = part.find("organisations");
        if (organisations == nullptr ||
            settings::check_value(organisations->m_value, m_list_rule))
            return;
        const auto* access = part.find("access");
        if (access != nullptr && access->m_value == "open" &&
            !organisations->m_value.empty())
        {
            add(part, organisations->m_line, "organisations", "set",
                "no list on a route with open access");
            return;
        }
        const settings::section_rule rule{"route", true, {m_list_rule}};
        const settings::section_view view(&part, rule);
        for (const auto& name : view.list("organisations"))
        {
            if (!m_names["organisation"].contains(name))
                add(part, organisations->m_line, "organisations",
                    absl::StrCat("a list with ", settings::shown(name)),
                    "names of sections [organisation NAME]");
        }
    }

    const settings::document& m_file;
    std::vector<settings::problem>& m_problems;
    const settings::key_rule m_list_rule =
        settings::list_key("organisations", settings::key_type::name);
    std::map<std::string, std::set<std::string>> m_names;
    std::set<std::string> m_used_groups;
    bool m_endpoint_astray = false;
    std::map<std::string, const settings::section*> m_addresses;
};

template <typename Value>
std::vector<Value> to_ids(const std::vector<std::string>& names)
{
    std::vector<Value> ids;
    for (const auto& name : names)
        ids.emplace_back(name);
    std::ranges::sort(ids);
    return ids;
}

inventory build(const settings::document& file, const settings::schema& rules)
{
    inventory result;
    const auto fleet = settings::only(file, rules, "fleet");
    result.m_slots = static_cast<std::uint32_t>(fleet.integer("slots"));
    result.m_configuration_bound = fleet.duration("configuration_bound");
    for (const auto& part : settings::all(file, rules, "organisation"))
    {
        const base::organisation_id id(part.name());
        result.m_organisations[id] = {
            id, part.rate("rate"),
            static_cast<std::uint64_t>(part.integer("burst"))};
    }
    for (const auto& part : settings::all(file, rules, "caller"))
    {
        const base::caller_id id(part.name());
        result.m_callers[id] = {
            id, base::organisation_id(part.text("organisation"))};
    }
    for (const auto& part : settings::all(file, rules, "group"))
    {
        const base::group_id id(part.name());
        result.m_groups[id] = {id, {}};
    }
    for (const auto& part : settings::all(file, rules, "endpoint"))
    {
        const base::endpoint_id id(part.name());
        const base::group_id group(part.text("group"));
        result.m_endpoints[id] = {
            id,
            group,
            base::failure_domain_id(part.text("failure_domain")),
            part.text("address"),
            static_cast<std::uint32_t>(part.integer("slots")),
            static_cast<std::uint32_t>(part.integer("connections"))};
    }
    for (const auto& [id, item] : result.m_endpoints)
        result.m_groups[item.m_group].m_endpoints.push_back(id);
    for (const auto& part : settings::all(file, rules, "route"))
    {
        const base::route_id id(part.name());
        result.m_routes[id] = {
            id, base::group_id(part.text("group")),
            part.text("access") == "open" ? access::open : access::keyed,
            part.duration("staleness"),
            to_ids<base::organisation_id>(part.list("organisations"))};
    }
    return result;
}

template <typename Map, typename Id>
const typename Map::mapped_type* find_in(const Map& parts, const Id& id)
{
    const auto found = parts.find(id);
    return found == parts.end() ? nullptr : &found->second;
}

} // namespace

const organisation* inventory::find(const base::organisation_id& id) const
{
    return find_in(m_organisations, id);
}

const caller* inventory::find(const base::caller_id& id) const
{
    return find_in(m_callers, id);
}

const group* inventory::find(const base::group_id& id) const
{
    return find_in(m_groups, id);
}

const endpoint* inventory::find(const base::endpoint_id& id) const
{
    return find_in(m_endpoints, id);
}

const route* inventory::find(const base::route_id& id) const
{
    return find_in(m_routes, id);
}

tl::expected<inventory, std::vector<settings::problem>>
parse_inventory(std::string_view text, std::string_view file_name)
{
    static const settings::schema rules = make_schema();
    const auto file = settings::parse(text, file_name);
    auto problems = settings::check(file, rules);
    reference_checker(file, problems).run();
    if (!problems.empty())
    {
        settings::sort_by_line(problems);
        return tl::make_unexpected(std::move(problems));
    }
    return build(file, rules);
}

} // namespace magnoliastack::inventory
