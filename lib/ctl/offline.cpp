#include "offline.hpp"

#include "magnoliastack/cli/json.hpp"
#include "magnoliastack/inventory/difference.hpp"
#include "magnoliastack/settings/file.hpp"

#include "google/protobuf/struct.pb.h"

#include <utility>
#include <vector>

namespace magnoliastack::ctl
{
namespace
{

using google::protobuf::ListValue;
using google::protobuf::Struct;

using problems = std::vector<settings::problem>;

tl::expected<loaded_inventory, problems> load(const std::string& path)
{
    auto text = settings::read_file(path);
    if (!text)
        return tl::make_unexpected(problems{
            {path, 0, "", "", "unreadable (" + text.error().m_message + ")",
             "an inventory file"}});
    auto parsed = inventory::parse_inventory(*text, path);
    if (!parsed)
        return tl::make_unexpected(std::move(parsed).error());
    return loaded_inventory{*std::move(text), *std::move(parsed)};
}

void print(const problems& faults, std::ostream& err)
{
    for (const auto& fault : faults)
        err << fault.to_string() << '\n';
}

Struct to_struct(const problems& faults)
{
    Struct out;
    auto& fields = *out.mutable_fields();
    fields["valid"].set_bool_value(faults.empty());
    auto& list = *fields["errors"].mutable_list_value();
    for (const auto& fault : faults)
    {
        auto& item =
            *list.add_values()->mutable_struct_value()->mutable_fields();
        item["file"].set_string_value(fault.m_file);
        item["line"].set_number_value(fault.m_line);
        item["section"].set_string_value(fault.m_section);
        item["key"].set_string_value(fault.m_key);
        item["found"].set_string_value(fault.m_found);
        item["expected"].set_string_value(fault.m_expected);
    }
    return out;
}

const char* name_of(inventory::change_kind kind)
{
    switch (kind)
    {
    case inventory::change_kind::added:
        return "added";
    case inventory::change_kind::removed:
        return "removed";
    case inventory::change_kind::changed:
        return "changed";
    }
    return "changed";
}

Struct to_struct(const inventory::difference& changes)
{
    Struct out;
    auto& list = *(*out.mutable_fields())["changes"].mutable_list_value();
    for (const auto& change : changes)
    {
        auto& item =
            *list.add_values()->mutable_struct_value()->mutable_fields();
        item["kind"].set_string_value(name_of(change.m_kind));
        item["section"].set_string_value(change.m_section);
        item["key"].set_string_value(change.m_key);
        item["old"].set_string_value(change.m_old);
        item["new"].set_string_value(change.m_new);
    }
    return out;
}

} // namespace

std::optional<loaded_inventory> load_inventory(const std::string& path,
                                               std::ostream& err)
{
    auto loaded = load(path);
    if (loaded)
        return *std::move(loaded);
    print(loaded.error(), err);
    return std::nullopt;
}

cli::exit_code check(const std::string& path, bool json, std::ostream& out,
                     std::ostream& err)
{
    const auto loaded = load(path);
    if (json)
        out << cli::to_json(to_struct(loaded ? problems() : loaded.error()))
            << '\n';
    else if (!loaded)
        print(loaded.error(), err);
    if (!loaded)
        return cli::exit_code::invalid;
    const auto& item = loaded->m_inventory;
    if (!json)
        out << path << ": valid, " << item.m_organisations.size()
            << " organisations, " << item.m_callers.size() << " callers, "
            << item.m_groups.size() << " groups, " << item.m_endpoints.size()
            << " endpoints, " << item.m_routes.size() << " routes\n";
    return cli::exit_code::success;
}

cli::exit_code diff(const std::string& before, const std::string& after,
                    bool json, std::ostream& out, std::ostream& err)
{
    const auto old_file = load_inventory(before, err);
    const auto new_file = load_inventory(after, err);
    if (!old_file || !new_file)
        return cli::exit_code::invalid;
    const auto changes =
        inventory::diff(old_file->m_inventory, new_file->m_inventory);
    if (json)
        out << cli::to_json(to_struct(changes)) << '\n';
    else
        out << inventory::to_text(changes);
    return changes.empty() ? cli::exit_code::success
                           : cli::exit_code::different;
}

} // namespace magnoliastack::ctl
