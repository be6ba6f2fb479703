#include "magnoliastack/statechart/chart.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "pugixml.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace magnoliastack::statechart
{
namespace
{

// The events of one transition; SCXML separates several by spaces.
std::vector<std::string> event_list(const pugi::xml_node& node)
{
    return absl::StrSplit(node.attribute("event").value(),
                          absl::ByAnyChar(" \t\r\n"), absl::SkipEmpty());
}

// Builds a chart and collects its faults.
class loader
{
public:
    loader(std::string_view text, const alphabet& events) : m_text(text)
    {
        m_chart.m_alphabet = events;
    }

    base::result<chart> run()
    {
        pugi::xml_document file;
        const auto parsed = file.load_buffer(m_text.data(), m_text.size());
        if (!parsed)
            return base::fail(
                base::error_code::invalid_argument,
                absl::StrCat("chart line ", line_at(parsed.offset), ": ",
                             parsed.description(), ", expected SCXML"));
        const auto root = file.document_element();
        m_chart.m_name = root.attribute("name").value();
        if (std::string_view(root.name()) != "scxml" || m_chart.m_name.empty())
            add(root, "expected <scxml name=\"...\"> as the root");
        read_states(root);
        for (const auto& node : m_nodes)
            read_transitions(node);
        read_initial(root);
        if (m_faults.empty())
            check();
        if (!m_faults.empty())
            return base::fail(base::error_code::invalid_argument,
                              absl::StrJoin(m_faults, "\n"));
        return std::move(m_chart);
    }

private:
    [[nodiscard]] long line_at(std::ptrdiff_t offset) const
    {
        const auto end = std::clamp<std::ptrdiff_t>(
            offset, 0, static_cast<std::ptrdiff_t>(m_text.size()));
        return 1 + std::count(m_text.begin(), m_text.begin() + end, '\n');
    }

    void add(const pugi::xml_node& node, const std::string& fault)
    {
        m_faults.push_back(absl::StrCat("chart ", m_chart.m_name, " line ",
                                        line_at(node.offset_debug()), ": ",
                                        fault));
    }

    // Refuses elements and attributes that this interpreter would ignore.
    void check_attributes(const pugi::xml_node& node,
                          const std::set<std::string>& known)
    {
        for (const auto& item : node.attributes())
        {
            if (!known.contains(item.name()))
                add(node, absl::StrCat("attribute \"", item.name(), "\" of <",
                                       node.name(), "> is not supported"));
        }
    }

    [[nodiscard]] std::optional<std::size_t> find(std::string_view name) const
    {
        const auto found = m_indices.find(name);
        return found == m_indices.end() ? std::nullopt
                                        : std::optional(found->second);
    }

    void read_states(const pugi::xml_node& root)
    {
        check_attributes(root,
                         {"name", "initial", "version", "xmlns", "datamodel"});
        for (const auto& node : root.children())
        {
            const std::string kind = node.name();
            if (kind != "state" && kind != "final")
            {
                add(node, absl::StrCat("<", kind,
                                       "> is not supported, "
                                       "expected <state> or "
                                       "<final>"));
                continue;
            }
            check_attributes(node, {"id"});
            const std::string name = node.attribute("id").value();
            if (name.empty() || find(name))
            {
                add(node, absl::StrCat("state id \"", name, "\" is ",
                                       name.empty() ? "empty" : "a duplicate"));
                continue;
            }
            m_indices.emplace(name, m_chart.m_states.size());
            m_chart.m_states.push_back({name, kind == "final", {}});
            m_nodes.push_back(node);
        }
    }

    void read_transitions(const pugi::xml_node& node)
    {
        auto& from = m_chart.m_states[*find(node.attribute("id").value())];
        for (const auto& child : node.children())
        {
            if (std::string_view(child.name()) != "transition")
                add(child, absl::StrCat("<", child.name(),
                                        "> is not supported, expected "
                                        "<transition>"));
            else if (from.m_final)
                add(child, absl::StrCat("final state \"", from.m_name,
                                        "\" has a transition"));
            else
                read_transition(from, child);
        }
    }

    void read_transition(state& from, const pugi::xml_node& node)
    {
        check_attributes(node, {"event", "target"});
        transition step;
        if (const auto target = node.attribute("target"))
        {
            step.m_target = find(target.value());
            if (!step.m_target)
                add(node, absl::StrCat("target \"", target.value(),
                                       "\" of state \"", from.m_name,
                                       "\" is unknown, expected a state id"));
        }
        for (const auto& child : node.children())
        {
            check_attributes(child, {"event"});
            const std::string action = child.attribute("event").value();
            if (std::string_view(child.name()) != "send" || action.empty())
                add(child, absl::StrCat("<", child.name(),
                                        "> is not supported, expected <send "
                                        "event=\"ACTION\"/>"));
            step.m_actions.push_back(action);
        }
        const auto events = event_list(node);
        if (events.empty())
            add(node, absl::StrCat("a transition of state \"", from.m_name,
                                   "\" has no event"));
        for (const auto& event : events)
        {
            if (std::ranges::find(m_chart.m_alphabet, event) ==
                m_chart.m_alphabet.end())
                add(node,
                    absl::StrCat("event \"", event, "\" of state \"",
                                 from.m_name, "\" is not in the alphabet"));
            if (!from.m_transitions.emplace(event, step).second)
                add(node, absl::StrCat("event \"", event,
                                       "\" has two "
                                       "transitions in "
                                       "state \"",
                                       from.m_name, "\""));
        }
    }

    void read_initial(const pugi::xml_node& root)
    {
        const std::string name = root.attribute("initial").value();
        if (const auto index = find(name))
            m_chart.m_initial = *index;
        else
            add(root, absl::StrCat("initial state \"", name,
                                   "\" is unknown, expected a state id"));
    }

    // The checks of the chart as a whole; they need all targets to be known.
    void check()
    {
        std::vector<bool> reached(m_chart.m_states.size(), false);
        std::vector<std::size_t> pending = {m_chart.m_initial};
        std::set<std::string> handled;
        while (!pending.empty())
        {
            const auto index = pending.back();
            pending.pop_back();
            if (reached[index])
                continue;
            reached[index] = true;
            for (const auto& [event, step] :
                 m_chart.m_states[index].m_transitions)
            {
                handled.insert(event);
                if (step.m_target)
                    pending.push_back(*step.m_target);
            }
        }
        for (std::size_t index = 0; index < reached.size(); ++index)
        {
            if (!reached[index])
                add(m_nodes[index],
                    absl::StrCat("state \"", m_chart.m_states[index].m_name,
                                 "\" cannot be reached"));
        }
        for (const auto& event : m_chart.m_alphabet)
        {
            if (!handled.contains(event))
                add(pugi::xml_node(), absl::StrCat("event \"", event,
                                                   "\" is not handled by any "
                                                   "state"));
        }
    }

    std::string_view m_text;
    chart m_chart;
    std::vector<pugi::xml_node> m_nodes;
    std::map<std::string, std::size_t, std::less<>> m_indices;
    std::vector<std::string> m_faults;
};

} // namespace

base::result<chart> load(std::string_view scxml, const alphabet& events)
{
    return loader(scxml, events).run();
}

alphabet events_of(std::string_view scxml)
{
    alphabet events;
    pugi::xml_document file;
    if (!file.load_buffer(scxml.data(), scxml.size()))
        return events;
    for (const auto& found : file.select_nodes("//transition"))
    {
        for (const auto& event : event_list(found.node()))
        {
            if (std::ranges::find(events, event) == events.end())
                events.push_back(event);
        }
    }
    return events;
}

machine::machine(const chart& plan) : m_chart(&plan), m_state(plan.m_initial)
{
}

const state_name& machine::state() const
{
    return m_chart->m_states[m_state].m_name;
}

bool machine::is_final() const
{
    return m_chart->m_states[m_state].m_final;
}

bool machine::can_fire(std::string_view event) const
{
    return m_chart->m_states[m_state].m_transitions.contains(event);
}

base::result<std::vector<action_name>> machine::fire(std::string_view event)
{
    const auto& transitions = m_chart->m_states[m_state].m_transitions;
    const auto found = transitions.find(event);
    if (found != transitions.end())
    {
        const auto& step = found->second;
        m_state = step.m_target.value_or(m_state);
        return step.m_actions;
    }
    const std::string name(event);
    if (std::ranges::find(m_chart->m_alphabet, name) ==
        m_chart->m_alphabet.end())
        return base::fail(base::error_code::invalid_argument,
                          absl::StrCat("chart ", m_chart->m_name,
                                       " has no event \"", name, "\""));
    return base::fail(base::error_code::unsupported,
                      absl::StrCat("state \"", state(), "\" of chart ",
                                   m_chart->m_name, " does not handle event \"",
                                   name, "\""));
}

} // namespace magnoliastack::statechart
