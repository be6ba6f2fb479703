#include "magnoliastack/statechart/table.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace magnoliastack::statechart
{

std::string to_table(const chart& plan)
{
    std::string out = "| state | event | next state | actions |\n"
                      "|---|---|---|---|\n";
    for (const auto& from : plan.m_states)
    {
        if (from.m_final)
            absl::StrAppend(&out, "| ", from.m_name, " (final) | | | |\n");
        for (const auto& [event, step] : from.m_transitions)
        {
            const auto& target = step.m_target
                                     ? plan.m_states[*step.m_target].m_name
                                     : from.m_name;
            absl::StrAppend(&out, "| ", from.m_name, " | ", event, " | ",
                            target, " | ", absl::StrJoin(step.m_actions, ", "),
                            step.m_actions.empty() ? "|\n" : " |\n");
        }
    }
    return out;
}

} // namespace magnoliastack::statechart
