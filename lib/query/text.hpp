// Statements and request ids as text.
#ifndef MAGNOLIASTACK_LIB_QUERY_TEXT_HPP
#define MAGNOLIASTACK_LIB_QUERY_TEXT_HPP

#include "magnoliastack/base/error.hpp"

#include "magnoliastack/v1/types.pb.h"

#include <string>
#include <vector>

namespace magnoliastack::query
{

// Makes a statement of its words: `get KEY`, `put KEY VALUE`, `add KEY AMOUNT`,
// `scan PREFIX [LIMIT]` or `delete KEY`.
base::result<v1::Statement>
make_statement(const std::vector<std::string>& words);

// The same from one text. Words are separated by one space; the value of a put
// is the rest of the text and may have spaces or be empty.
base::result<v1::Statement> parse_statement(const std::string& text);

// True for the statements that change data.
bool is_write(const v1::Statement& statement);

// A new request id with the present time.
v1::RequestId make_request_id();

// A request id as 32 hexadecimal digits, `-` and the issue time in
// milliseconds, and back.
std::string to_text(const v1::RequestId& id);
base::result<v1::RequestId> parse_request_id(const std::string& text);

} // namespace magnoliastack::query

#endif
