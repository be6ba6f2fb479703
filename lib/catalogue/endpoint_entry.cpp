#include "magnoliastack/catalogue/endpoint_entry.hpp"

#include "absl/strings/str_cat.h"

#include <xxhash.h>

namespace magnoliastack::catalogue
{

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
