// How often an endpoint has failed lately, judged by its answers.
#ifndef MAGNOLIASTACK_ENTRY_FAILURE_AVERAGE_HPP
#define MAGNOLIASTACK_ENTRY_FAILURE_AVERAGE_HPP

#include "magnoliastack/base/time.hpp"

#include "absl/time/time.h"

#include <optional>

namespace magnoliastack::entry
{

// When an endpoint counts as failing. Its own word on its health is not asked:
// endpoints have failed everything with a good health check.
struct failure_options
{
    // Weight of a new outcome.
    double m_weight = 0.25;
    // Above this part of failures, reads go to other endpoints.
    double m_avoided_above = 0.3;
    // Above this part a primary is as good as gone. Eight failures in a row
    // reach it.
    double m_down_above = 0.88;
    // An endpoint that is avoided gets one statement in this time, which lets
    // it come back.
    absl::Duration m_trial_interval = absl::Milliseconds(500);
};

// Moving average of the outcomes of statements at one endpoint.
class failure_average
{
public:
    explicit failure_average(failure_options options = {});

    // An answer, good or bad. Refusals that say what is wrong, such as busy or
    // lagging, are good ones.
    void ended(bool failed, base::instant now);

    // True when other endpoints are better.
    [[nodiscard]] bool is_avoided(base::instant now) const;
    // A statement goes there; the next trial is due later.
    void tried(base::instant now);
    // Since when it has failed nearly everything, or none.
    [[nodiscard]] std::optional<base::instant> down_since() const
    {
        return m_down_since;
    }

private:
    failure_options m_options;
    double m_failing = 0;
    base::instant m_next_trial;
    std::optional<base::instant> m_first_failure;
    std::optional<base::instant> m_down_since;
};

} // namespace magnoliastack::entry

#endif
