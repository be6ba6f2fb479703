// When a request may be tried again, and the reasons that are counted.
#ifndef MAGNOLIASTACK_REQUEST_RETRY_HPP
#define MAGNOLIASTACK_REQUEST_RETRY_HPP

#include "magnoliastack/base/time.hpp"

#include "absl/time/time.h"

#include <optional>
#include <string_view>

namespace magnoliastack::request
{

// Why a request was tried again; each has a counter.
enum class retry_reason
{
    wrong_term,
    endpoint_leaving,
    connection_lost,
    stale_answer,
    fenced_attempt,
    fence_committed,
    term_superseded,
    probe_lost,
};

// Number of retry reasons, for tables indexed by reason.
inline constexpr int retry_reason_count = 8;

// The stable name of a reason, as in counters.
std::string_view to_string(retry_reason reason);

// Grants retries. Implementations bound the share of retries in the traffic.
class retry_policy
{
public:
    virtual ~retry_policy() = default;

    // The pause before try number `tries` (from 1), or nothing when the budget
    // is spent.
    virtual std::optional<absl::Duration> next_delay(int tries,
                                                     base::instant now) = 0;
};

} // namespace magnoliastack::request

#endif
