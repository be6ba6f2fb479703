#include "magnoliastack/catalogue/endpoint_entry.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <string_view>
#include <xxhash.h>

namespace magnoliastack::catalogue
{
namespace
{

// Names go between blanks and line ends into messages to endpoints.
bool is_word(std::string_view text)
{
    return !text.empty() && text.size() <= largest_entry_name &&
           std::none_of(text.begin(), text.end(),
                        [](char byte)
                        {
                            const auto value = static_cast<unsigned char>(byte);
                            return absl::ascii_iscntrl(value) ||
                                   absl::ascii_isspace(value);
                        });
}

tl::unexpected<base::error> wrong(const std::string& what)
{
    return base::fail(base::error_code::corrupt, what);
}

} // namespace

base::result<bool> check(const endpoint_entry& entry)
{
    if (!is_word(entry.m_id.str()))
        return wrong("the entry's id is no word");
    if (!is_word(entry.m_group.str()))
        return wrong("the entry's group is no word");
    if (!is_word(entry.m_address))
        return wrong("the entry's address is no word");
    if (!is_word(entry.m_failure_domain.str()))
        return wrong("the entry's failure domain is no word");
    if (entry.m_slots == 0)
        return wrong("the entry has no slots");
    if (entry.m_started_unix_ms < 0)
        return wrong("the entry's start lies before 1970");
    if (entry.m_cold_left < absl::ZeroDuration() ||
        entry.m_cold_left > largest_cold_time)
        return wrong("the entry's cold time is out of range");
    return true;
}

std::uint64_t digest(const std::vector<endpoint_entry>& entries)
{
    std::string all;
    for (const auto& entry : entries)
        absl::StrAppend(&all, entry.m_id.str(), "\n", entry.m_group.str(), "\n",
                        entry.m_address, "\n", entry.m_failure_domain.str(),
                        "\n", entry.m_slots, "\n", entry.m_leaving, "\n",
                        entry.m_primary, "\n", entry.m_started_unix_ms, "\n",
                        absl::ToInt64Milliseconds(entry.m_cold_left), "\n");
    return XXH64(all.data(), all.size(), 0);
}

} // namespace magnoliastack::catalogue
