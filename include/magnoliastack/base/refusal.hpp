// Why a request was refused and whether it may have run.
#ifndef MAGNOLIASTACK_BASE_REFUSAL_HPP
#define MAGNOLIASTACK_BASE_REFUSAL_HPP

#include "absl/time/time.h"

#include <string>
#include <string_view>

namespace magnoliastack::base
{

// Reasons for a refusal; the order matches the public enum of the same names
// in proto/magnoliastack/v1/types.proto, and each has a counter.
enum class refusal_reason
{
    unspecified = 0,
    invalid_request = 1,
    key_missing = 2,
    key_rejected = 3,
    wrong_organisation = 4,
    route_unknown = 5,
    configuration_unconfirmed = 6,
    no_configuration = 7,
    rate_exceeded = 8,
    queue_full = 9,
    deadline_unreachable = 10,
    deadline_exceeded = 11,
    no_primary = 12,
    no_endpoint = 13,
    token_rejected = 14,
    token_full = 15,
    request_id_invalid = 16,
    request_record_expired = 17,
    draining = 18,
    connection_lost = 19,
    transaction_aborted = 20,
    statement_failed = 21,
    staleness_unproven = 22,
    fenced = 23,
};

// Number of refusal reasons, for tables indexed by reason.
inline constexpr int refusal_reason_count = 24;

// Whether a refused request ran. `not_run` is only said when it is proven.
enum class execution
{
    done = 1,
    not_run = 2,
    unknown = 3,
};

// The stable name of a reason, as in counters and in the public enum.
std::string_view to_string(refusal_reason reason);

// The stable name of an execution state.
std::string_view to_string(execution state);

// A refusal as the caller receives it. The delay is a lower bound for the
// caller's next try and already carries jitter.
struct refusal
{
    refusal_reason m_reason = refusal_reason::unspecified;
    execution m_execution = execution::unknown;
    absl::Duration m_retry_delay;
    std::string m_detail;
};

} // namespace magnoliastack::base

#endif
