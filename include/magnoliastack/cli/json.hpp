// JSON output of the command line tools.
#ifndef MAGNOLIASTACK_CLI_JSON_HPP
#define MAGNOLIASTACK_CLI_JSON_HPP

#include <string>

namespace google::protobuf
{
class Message;
} // namespace google::protobuf

namespace magnoliastack::cli
{

// A message as one line of JSON with the field names of its schema. Fields
// with default values are there too, so that scripts find every key.
std::string to_json(const google::protobuf::Message& message);

} // namespace magnoliastack::cli

#endif
