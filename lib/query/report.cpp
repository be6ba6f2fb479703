#include "report.hpp"

#include "magnoliastack/cli/json.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "google/protobuf/struct.pb.h"

namespace magnoliastack::query
{
namespace
{

// An enum's value without its prefix, in lower case; the number for a value
// that a newer proxy has added.
std::string short_name(const std::string& full, absl::string_view prefix,
                       int number)
{
    absl::string_view name = full;
    if (name.empty())
        return absl::StrCat("code_", number);
    absl::ConsumePrefix(&name, prefix);
    return absl::AsciiStrToLower(name);
}

std::string name_of(v1::Execution execution)
{
    return short_name(v1::Execution_Name(execution), "EXECUTION_", execution);
}

const char* yes_no(bool value)
{
    return value ? "yes" : "no";
}

} // namespace

std::string name_of(v1::RefusalReason reason)
{
    return short_name(v1::RefusalReason_Name(reason), "REFUSAL_REASON_",
                      reason);
}

void print_text(const outcome& result, const std::string& request_id,
                std::ostream& out)
{
    for (const auto& row : result.m_rows)
        out << absl::Utf8SafeCEscape(row.key()) << '\t'
            << absl::Utf8SafeCEscape(row.value()) << '\n';
    out << name_of(result.m_execution);
    if (result.m_end)
        out << " rows=" << result.m_rows.size()
            << " endpoint=" << result.m_end->endpoint()
            << " replica=" << yes_no(result.m_end->from_replica())
            << " staleness=" << result.m_end->staleness_ms() << "ms"
            << " repeated=" << yes_no(result.m_end->repeated());
    if (result.m_refusal)
        out << " reason=" << name_of(result.m_refusal->reason())
            << " retry_after=" << result.m_refusal->retry_after_ms() << "ms"
            << " detail=\"" << absl::Utf8SafeCEscape(result.m_refusal->detail())
            << '"';
    if (!result.m_fault.empty())
        out << " fault=\"" << absl::Utf8SafeCEscape(result.m_fault) << '"';
    if (!request_id.empty())
        out << " request_id=" << request_id;
    out << '\n';
}

void print_json(const outcome& result, const std::string& request_id,
                std::ostream& out)
{
    google::protobuf::Struct object;
    auto& fields = *object.mutable_fields();
    auto& rows = *fields["rows"].mutable_list_value();
    for (const auto& row : result.m_rows)
    {
        auto& item =
            *rows.add_values()->mutable_struct_value()->mutable_fields();
        item["key"].set_string_value(row.key());
        item["value"].set_string_value(row.value());
    }
    fields["outcome"].set_string_value(name_of(result.m_execution));
    fields["request_id"].set_string_value(request_id);
    if (result.m_end)
    {
        fields["endpoint"].set_string_value(result.m_end->endpoint());
        fields["from_replica"].set_bool_value(result.m_end->from_replica());
        fields["staleness_ms"].set_number_value(result.m_end->staleness_ms());
        fields["repeated"].set_bool_value(result.m_end->repeated());
    }
    if (result.m_refusal)
    {
        fields["reason"].set_string_value(name_of(result.m_refusal->reason()));
        fields["retry_after_ms"].set_number_value(
            result.m_refusal->retry_after_ms());
        fields["detail"].set_string_value(result.m_refusal->detail());
    }
    if (!result.m_fault.empty())
        fields["fault"].set_string_value(result.m_fault);
    out << cli::to_json(object) << '\n';
}

} // namespace magnoliastack::query
