// The session's token between two runs of the command.
#ifndef MAGNOLIASTACK_LIB_QUERY_TOKEN_FILE_HPP
#define MAGNOLIASTACK_LIB_QUERY_TOKEN_FILE_HPP

#include "magnoliastack/base/error.hpp"

#include <string>

namespace magnoliastack::query
{

// Reads the token; a file that does not exist is a new session.
base::result<std::string> read_token(const std::string& path);

// Replaces the token as a whole, readable by the owner only. A file written in
// part would lose the session's position.
base::result<bool> write_token(const std::string& path,
                               const std::string& token);

} // namespace magnoliastack::query

#endif
