// Whether the primary of a group has to be replaced.
#ifndef MAGNOLIASTACK_HANDOVER_ASSESSMENT_HPP
#define MAGNOLIASTACK_HANDOVER_ASSESSMENT_HPP

#include "absl/time/time.h"

#include <cstddef>
#include <vector>

namespace magnoliastack::handover
{

// Why a primary is replaced.
enum class need
{
    none,
    // It is about to stop, or its entry is gone while it still answers.
    planned,
    // It does not answer, or there is none.
    failed,
};

// The primary as this host sees it.
struct primary_condition
{
    // None is known.
    bool m_absent = false;
    // It says that it leaves, or its entry is gone.
    bool m_leaving = false;
    // Zero when it answers.
    absl::Duration m_unreachable;
};

// How much evidence it takes.
struct assessment_options
{
    // A host counts when the primary has not answered it for this long.
    absl::Duration m_suspicion = absl::Milliseconds(250);
    // Part of the live hosts that have to count. Below it those hosts are the
    // ones that are cut off.
    double m_part = 0.34;
    // At least so many, unless the fleet has fewer.
    std::size_t m_least = 2;
};

// `others` are the times for which other live hosts have had no answer.
need assess(const primary_condition& own,
            const std::vector<absl::Duration>& others,
            const assessment_options& options = {});

} // namespace magnoliastack::handover

#endif
