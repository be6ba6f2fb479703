// An error in a settings or inventory file.
#ifndef MAGNOLIASTACK_SETTINGS_PROBLEM_HPP
#define MAGNOLIASTACK_SETTINGS_PROBLEM_HPP

#include <string>
#include <string_view>
#include <vector>

namespace magnoliastack::settings
{

// One error in an INI file. The section is empty for a line outside any
// section, the key is empty when a whole section or line is wrong, and the line
// is 0 when the error belongs to the file as a whole.
struct problem
{
    std::string m_file;
    int m_line = 0;
    std::string m_section;
    std::string m_key;
    std::string m_found;
    std::string m_expected;

    // One line without a line end: `FILE line 14: "burst" in [organisation
    // oyster] is -3, expected 1 to 1000000`.
    [[nodiscard]] std::string to_string() const;
};

// Orders problems by line, so that they read like the file.
void sort_by_line(std::vector<problem>& problems);

// A value as it is shown in a message: `empty` for an empty one, otherwise
// escaped and cut to 60 bytes.
std::string shown(std::string_view value);

} // namespace magnoliastack::settings

#endif
