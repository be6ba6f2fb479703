#include "magnoliastack/request/retry.hpp"

#include "magnoliastack/base/invariant.hpp"

#include <array>

namespace magnoliastack::request
{

std::string_view to_string(retry_reason reason)
{
    static constexpr std::array<std::string_view, retry_reason_count> names = {
        "wrong_term",     "endpoint_leaving", "connection_lost", "stale_answer",
        "fenced_attempt", "fence_committed",  "term_superseded", "probe_lost"};
    const auto index = static_cast<std::size_t>(reason);
    MAGNOLIASTACK_INVARIANT(index < names.size(),
                            "every retry reason has a name");
    return names[index];
}

} // namespace magnoliastack::request
