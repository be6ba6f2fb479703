// Reads whole files.
#ifndef MAGNOLIASTACK_SETTINGS_FILE_HPP
#define MAGNOLIASTACK_SETTINGS_FILE_HPP

#include "magnoliastack/base/error.hpp"

#include <string>

namespace magnoliastack::settings
{

// The content of a file. The error `not_found` has the system's reason as its
// message; the caller names the path.
base::result<std::string> read_file(const std::string& path);

} // namespace magnoliastack::settings

#endif
