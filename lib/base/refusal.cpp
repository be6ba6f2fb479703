#include "magnoliastack/base/refusal.hpp"

#include "magnoliastack/base/invariant.hpp"

#include <array>

namespace magnoliastack::base
{

std::string_view to_string(refusal_reason reason)
{
    static constexpr std::array<std::string_view, refusal_reason_count> names =
        {"unspecified",
         "invalid_request",
         "key_missing",
         "key_rejected",
         "wrong_organisation",
         "route_unknown",
         "configuration_unconfirmed",
         "no_configuration",
         "rate_exceeded",
         "queue_full",
         "deadline_unreachable",
         "deadline_exceeded",
         "no_primary",
         "no_endpoint",
         "token_rejected",
         "token_full",
         "request_id_invalid",
         "request_record_expired",
         "draining",
         "connection_lost",
         "transaction_aborted",
         "statement_failed",
         "staleness_unproven",
         "fenced"};
    const auto index = static_cast<std::size_t>(reason);
    MAGNOLIASTACK_INVARIANT(index < names.size(),
                            "every refusal reason has a name");
    return names[index];
}

std::string_view to_string(execution state)
{
    switch (state)
    {
    case execution::done:
        return "done";
    case execution::not_run:
        return "not_run";
    case execution::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace magnoliastack::base
