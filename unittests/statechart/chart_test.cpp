#include "magnoliastack/statechart/chart.hpp"

#include <string>

#include <criterion/criterion.h>

namespace base = magnoliastack::base;
namespace statechart = magnoliastack::statechart;

namespace
{

constexpr const char* door = R"(<scxml name="door" initial="shut">
  <state id="shut">
    <transition event="push" target="ajar">
      <send event="ring_bell"/>
      <send event="switch_light"/>
    </transition>
  </state>
  <state id="ajar">
    <transition event="push"/>
    <transition event="lock slam" target="locked"/>
  </state>
  <final id="locked"/>
</scxml>)";

const statechart::alphabet events = {"push", "lock", "slam"};

std::string fault_of(std::string_view from, std::string_view to,
                     const statechart::alphabet& known = events)
{
    std::string text = door;
    const auto at = text.find(from);
    cr_assert_neq(at, std::string::npos);
    const auto loaded =
        statechart::load(text.replace(at, from.size(), to), known);
    cr_assert(!loaded.has_value(), "accepted: %s", text.c_str());
    return loaded.error().m_message;
}

void expect_fault(const std::string& fault, const char* expected)
{
    cr_assert_str_eq(fault.c_str(), expected);
}

} // namespace

// Guards against actions out of order and a targetless transition that moves.
Test(machine, a_walk_follows_targets_and_returns_actions_in_order)
{
    const auto chart = statechart::load(door, events).value();
    statechart::machine walk(chart);
    cr_assert(walk.state() == "shut");
    const auto actions = walk.fire("push").value();
    cr_assert_eq(actions.size(), 2U);
    cr_assert(actions[0] == "ring_bell" && actions[1] == "switch_light");
    cr_assert(walk.fire("push").value().empty());
    cr_assert(walk.state() == "ajar" && !walk.is_final());
    cr_assert(walk.fire("slam").has_value());
    cr_assert(walk.state() == "locked" && walk.is_final());
}

// Guards against an event that is dropped without a trace or changes the state
// although it does not apply.
Test(machine, an_event_out_of_place_is_an_error_and_changes_nothing)
{
    const auto chart = statechart::load(door, events).value();
    statechart::machine walk(chart);
    cr_assert(!walk.can_fire("lock") && walk.can_fire("push"));
    cr_assert(walk.fire("lock").error().m_code ==
              base::error_code::unsupported);
    cr_assert(walk.fire("kick").error().m_code ==
              base::error_code::invalid_argument);
    cr_assert(walk.state() == "shut");
}

// Guards against charts that load although they cannot work.
Test(load, faulty_charts_are_refused_with_line_and_reason)
{
    expect_fault(fault_of("target=\"ajar\"", "target=\"open\""),
                 "chart door line 3: target \"open\" of state \"shut\" is "
                 "unknown, expected a state id");
    expect_fault(fault_of("<final", "<state id=\"lost\"/><final"),
                 "chart door line 12: state \"lost\" cannot be reached");
    expect_fault(fault_of(" slam", ""),
                 "chart door line 1: event \"slam\" is not handled by any "
                 "state");
    expect_fault(fault_of("lock slam", "lock slam kick"),
                 "chart door line 10: event \"kick\" of state \"ajar\" is not "
                 "in the alphabet");
    expect_fault(fault_of("lock slam", "lock slam push"),
                 "chart door line 10: event \"push\" has two transitions in "
                 "state \"ajar\"");
    expect_fault(fault_of("initial=\"shut\"", "initial=\"x\""),
                 "chart door line 1: initial state \"x\" is unknown, expected "
                 "a state id");
    expect_fault(fault_of("id=\"ajar\"", "id=\"shut\""),
                 "chart door line 8: state id \"shut\" is a duplicate\n"
                 "chart door line 3: target \"ajar\" of state \"shut\" is "
                 "unknown, expected a state id");
    expect_fault(fault_of("<final id=\"locked\"/>",
                          "<final id=\"locked\"><transition event=\"push\" "
                          "target=\"shut\"/></final>"),
                 "chart door line 12: final state \"locked\" has a transition");
}

// Guards against SCXML that this interpreter would ignore in silence.
Test(load, unsupported_elements_are_refused)
{
    expect_fault(
        fault_of("<send event=\"ring_bell\"/>", "<script>x()</script>"),
        "chart door line 4: <script> is not supported, expected "
        "<send event=\"ACTION\"/>");
    expect_fault(fault_of("event=\"push\"/>", "event=\"push\" cond=\"x\"/>"),
                 "chart door line 9: attribute \"cond\" of <transition> is not "
                 "supported");
    expect_fault(fault_of("<final", "<parallel/><final"),
                 "chart door line 12: <parallel> is not supported, expected "
                 "<state> or <final>");
    expect_fault(fault_of("event=\"push\"/>", "/>"),
                 "chart door line 9: a transition of state \"ajar\" has no "
                 "event");
    cr_assert(!statechart::load("<scxml", events).has_value());
}

// Guards against a table of a chart that misses an event.
Test(load, events_of_a_file_are_listed_once_each)
{
    cr_assert(statechart::events_of(door) == events);
    cr_assert(statechart::events_of("<").empty());
}
