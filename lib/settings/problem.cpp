#include "magnoliastack/settings/problem.hpp"

#include "views.hpp"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <algorithm>

namespace magnoliastack::settings
{

std::string problem::to_string() const
{
    std::string where = m_file;
    if (m_line > 0)
        absl::StrAppend(&where, " line ", m_line);
    std::string what;
    if (!m_key.empty())
    {
        what = absl::StrCat("\"", m_key, "\"");
        if (!m_section.empty())
            absl::StrAppend(&what, " in [", m_section, "]");
    }
    else if (!m_section.empty())
    {
        what = absl::StrCat("section [", m_section, "]");
    }
    else
    {
        what = m_line > 0 ? "line" : "file";
    }
    return absl::StrCat(where, ": ", what, " is ", m_found, ", expected ",
                        m_expected);
}

void sort_by_line(std::vector<problem>& problems)
{
    std::ranges::stable_sort(problems, {}, &problem::m_line);
}

std::string shown(std::string_view value)
{
    constexpr std::size_t longest = 60;
    if (value.empty())
        return "empty";
    if (value.size() > longest)
        return absl::StrCat(
            absl::Utf8SafeCEscape(to_absl(value.substr(0, longest))), "...");
    return absl::Utf8SafeCEscape(to_absl(value));
}

} // namespace magnoliastack::settings
