// State charts in SCXML: loading, checks and interpretation.
#ifndef MAGNOLIASTACK_STATECHART_CHART_HPP
#define MAGNOLIASTACK_STATECHART_CHART_HPP

#include "magnoliastack/base/error.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliastack::statechart
{

// Names as they stand in the chart's file.
using state_name = std::string;
using event_name = std::string;
using action_name = std::string;

// The events that the program can raise.
using alphabet = std::vector<event_name>;

// What a state does on an event. Without a target the state stays.
struct transition
{
    std::optional<std::size_t> m_target;
    std::vector<action_name> m_actions;
};

// A state; a final one has no transitions.
struct state
{
    state_name m_name;
    bool m_final = false;
    std::map<event_name, transition, std::less<>> m_transitions;
};

// A checked chart.
struct chart
{
    std::string m_name;
    std::vector<state> m_states;
    std::size_t m_initial = 0;
    alphabet m_alphabet;
};

// Loads a chart: `<scxml name initial>` with `<state id>` and `<final id>`,
// in them `<transition event target>` and in those `<send event>`, which names
// an action. Other elements of SCXML (nesting, scripts, conditions, data) are
// refused. The error lists all faults with their lines: an unknown target, a
// state that cannot be reached, two transitions of a state on one event, an
// event of the alphabet that no state handles, an event that the alphabet
// lacks.
base::result<chart> load(std::string_view scxml, const alphabet& events);

// The events that a file's transitions name, in order; for charts whose
// alphabet is the file itself, as in tables for the documentation. Empty when
// the text is not XML.
alphabet events_of(std::string_view scxml);

// A walk through a chart, which must outlive it.
class machine
{
public:
    explicit machine(const chart& plan);

    [[nodiscard]] const state_name& state() const;

    // True in a final state.
    [[nodiscard]] bool is_final() const;

    // True when the present state handles the event.
    [[nodiscard]] bool can_fire(std::string_view event) const;

    // Takes the present state's transition on the event and returns its actions
    // in order. Errors, which change nothing: `invalid_argument` for an event
    // that is not in the alphabet, `unsupported` for one that the present state
    // does not handle.
    base::result<std::vector<action_name>> fire(std::string_view event);

private:
    const chart* m_chart;
    std::size_t m_state;
};

} // namespace magnoliastack::statechart

#endif
