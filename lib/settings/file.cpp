#include "magnoliastack/settings/file.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace magnoliastack::settings
{

base::result<std::string> read_file(const std::string& path)
{
    errno = 0;
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    // The stream operator turns a read error, as of a directory, into the bad
    // bit; an iterator would throw.
    if (in.is_open() && in.peek() != std::ifstream::traits_type::eof())
        text << in.rdbuf();
    if (!in.is_open() || in.bad() || text.bad())
        return base::fail(base::error_code::not_found, std::strerror(errno));
    return text.str();
}

} // namespace magnoliastack::settings
