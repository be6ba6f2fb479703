#include "magnoliastack/fleet/rows.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnoliastack::fleet
{
namespace
{

using json = nlohmann::json;

const std::string member_prefix = "member/";
const std::string leadership_prefix = "group/";
// More than an era will see of tokens or generations.
constexpr std::uint64_t numbers_of_era = 1'000'000;

tl::unexpected<base::error> unreadable(const rpc::fleet_row& row)
{
    return base::fail(base::error_code::corrupt,
                      "the row " + row.m_key + " cannot be read");
}

// The row's object, or a discarded value. `fields` must all be there, with
// the given types.
struct field_rule
{
    const char* m_name;
    bool m_number;
};

json object_of(const rpc::fleet_row& row,
               std::initializer_list<field_rule> fields)
{
    json object = json::parse(row.m_value, nullptr, false);
    if (!object.is_object())
        return json(json::value_t::discarded);
    for (const auto& rule : fields)
    {
        const auto found = object.find(rule.m_name);
        if (found == object.end() ||
            (rule.m_number ? !found->is_number_unsigned()
                           : !found->is_string()))
            return json(json::value_t::discarded);
    }
    return object;
}

template <typename Name>
Name name_of(const json& object, const char* field)
{
    return Name(object.at(field).get<std::string>());
}

template <typename Number>
Number number_of(const json& object, const char* field)
{
    return Number(object.at(field).get<std::uint64_t>());
}

} // namespace

std::uint64_t next_number(std::uint64_t last, rpc::store_era era)
{
    return std::max(last + 1, era.value() * numbers_of_era + 1);
}

std::string member_key(const base::host_id& host)
{
    return member_prefix + host.str();
}

bool is_member_key(std::string_view key)
{
    return key.starts_with(member_prefix);
}

std::string leadership_key(const base::group_id& group)
{
    return leadership_prefix + group.str();
}

std::string encode(const member_row& row)
{
    json object = {{"incarnation", row.m_incarnation.value()},
                   {"address", row.m_address},
                   {"failure_domain", row.m_failure_domain.str()},
                   {"member_since_ms", row.m_member_since.value()}};
    if (row.m_out_since)
        object["out_since_ms"] = row.m_out_since->value();
    return object.dump();
}

std::string encode(const leadership_row& row)
{
    const json object = {{"generation", row.m_generation},
                         {"phase", row.m_phase == leadership_phase::serving
                                       ? "serving"
                                       : "moving"},
                         {"primary", row.m_primary.str()},
                         {"term", row.m_term.value()},
                         {"holder", row.m_holder.str()}};
    return object.dump();
}

std::string encode(const duty_row& row)
{
    const json object = {{"holder", row.m_holder.str()},
                         {"incarnation", row.m_incarnation.value()},
                         {"token", row.m_token},
                         {"until_ms", row.m_until.value()}};
    return object.dump();
}

std::string encode(const era_row& row)
{
    const json object = {{"era", row.m_era.value()},
                         {"since_ms", row.m_since.value()}};
    return object.dump();
}

base::result<std::optional<member_row>> decode_member(const rpc::fleet_row& row)
{
    if (!row.m_key.starts_with(member_prefix))
        return std::optional<member_row>();
    const json object = object_of(row, {{"incarnation", true},
                                        {"address", false},
                                        {"failure_domain", false},
                                        {"member_since_ms", true}});
    if (object.is_discarded())
        return unreadable(row);
    member_row result;
    result.m_host = base::host_id(row.m_key.substr(member_prefix.size()));
    result.m_incarnation = number_of<base::incarnation>(object, "incarnation");
    result.m_address = object.at("address").get<std::string>();
    result.m_failure_domain =
        name_of<base::failure_domain_id>(object, "failure_domain");
    result.m_member_since =
        number_of<rpc::store_instant>(object, "member_since_ms");
    const auto out = object.find("out_since_ms");
    if (out != object.end() && out->is_number_unsigned())
        result.m_out_since =
            number_of<rpc::store_instant>(object, "out_since_ms");
    return std::make_optional(std::move(result));
}

base::result<std::optional<leadership_row>>
decode_leadership(const rpc::fleet_row& row)
{
    if (!row.m_key.starts_with(leadership_prefix))
        return std::optional<leadership_row>();
    const json object = object_of(row, {{"generation", true},
                                        {"phase", false},
                                        {"primary", false},
                                        {"term", true},
                                        {"holder", false}});
    if (object.is_discarded())
        return unreadable(row);
    leadership_row result;
    result.m_group = base::group_id(row.m_key.substr(leadership_prefix.size()));
    result.m_generation = object.at("generation").get<std::uint64_t>();
    result.m_phase = object.at("phase") == "serving" ? leadership_phase::serving
                                                     : leadership_phase::moving;
    result.m_primary = name_of<base::endpoint_id>(object, "primary");
    result.m_term = number_of<base::term>(object, "term");
    result.m_holder = name_of<base::host_id>(object, "holder");
    return std::make_optional(std::move(result));
}

base::result<std::optional<duty_row>> decode_duty(const rpc::fleet_row& row)
{
    if (row.m_key != duty_key)
        return std::optional<duty_row>();
    const json object = object_of(row, {{"holder", false},
                                        {"incarnation", true},
                                        {"token", true},
                                        {"until_ms", true}});
    if (object.is_discarded())
        return unreadable(row);
    duty_row result;
    result.m_holder = name_of<base::host_id>(object, "holder");
    result.m_incarnation = number_of<base::incarnation>(object, "incarnation");
    result.m_token = object.at("token").get<std::uint64_t>();
    result.m_until = number_of<rpc::store_instant>(object, "until_ms");
    return std::make_optional(std::move(result));
}

base::result<std::optional<era_row>> decode_era(const rpc::fleet_row& row)
{
    if (row.m_key != era_key)
        return std::optional<era_row>();
    const json object = object_of(row, {{"era", true}, {"since_ms", true}});
    if (object.is_discarded())
        return unreadable(row);
    era_row result;
    result.m_era = number_of<rpc::store_era>(object, "era");
    result.m_since = number_of<rpc::store_instant>(object, "since_ms");
    return std::make_optional(result);
}

} // namespace magnoliastack::fleet
