#include "magnoliastack/cli/json.hpp"

#include "magnoliastack/base/invariant.hpp"

#include "google/protobuf/util/json_util.h"

namespace magnoliastack::cli
{

std::string to_json(const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions how;
    how.always_print_primitive_fields = true;
    how.preserve_proto_field_names = true;
    std::string text;
    const auto status =
        google::protobuf::util::MessageToJsonString(message, &text, how);
    MAGNOLIASTACK_INVARIANT(status.ok(), "every message has a JSON form");
    return text;
}

} // namespace magnoliastack::cli
