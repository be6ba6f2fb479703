#include "magnoliastack/pool/connection_state.hpp"
#include "magnoliastack/statechart/chart.hpp"
#include "magnoliastack/statechart/table.hpp"

#include "absl/strings/str_join.h"

#include <array>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

// The charts, compiled into this binary by CMake.
namespace magnoliastack::statechart::embedded
{
extern const std::string_view request;
extern const std::string_view connection;
extern const std::string_view endpoint;
extern const std::string_view failover;
extern const std::string_view share_lease;
extern const std::string_view host_drain;
} // namespace magnoliastack::statechart::embedded

namespace embedded = magnoliastack::statechart::embedded;
namespace pool = magnoliastack::pool;
namespace statechart = magnoliastack::statechart;

namespace
{

// An event and what it must lead to.
struct step
{
    const char* m_event;
    const char* m_state;
    const char* m_actions;
};

statechart::chart load(std::string_view text,
                       const statechart::alphabet& events)
{
    auto loaded = statechart::load(text, events);
    cr_assert(loaded.has_value(), "%s", loaded.error().m_message.c_str());
    return std::move(loaded).value();
}

void walk(const statechart::chart& chart, const std::vector<step>& steps)
{
    statechart::machine machine(chart);
    for (const auto& item : steps)
    {
        const auto actions = machine.fire(item.m_event);
        cr_assert(actions.has_value(), "%s", actions.error().m_message.c_str());
        const std::string joined = absl::StrJoin(*actions, " ");
        cr_assert_str_eq(joined.c_str(), item.m_actions, "event %s",
                         item.m_event);
        cr_assert_str_eq(machine.state().c_str(), item.m_state, "event %s",
                         item.m_event);
    }
}

const statechart::alphabet request_events = {
    "sent",      "answered",        "not_run",    "outcome_lost",
    "committed", "fence_committed", "backed_off", "failed",
    "refused",   "deadline"};

// The pool's states and events by the names of the chart.
constexpr std::array pool_states = {
    pool::connection_state::opening, pool::connection_state::idle,
    pool::connection_state::busy, pool::connection_state::probing,
    pool::connection_state::closed};
const std::vector<std::pair<std::string, pool::connection_event>> pool_events =
    {{"ready", pool::connection_event::ready},
     {"acquired", pool::connection_event::acquired},
     {"released", pool::connection_event::released},
     {"silent", pool::connection_event::silent},
     {"heard_taken", pool::connection_event::heard_taken},
     {"heard_idle", pool::connection_event::heard_idle},
     {"close", pool::connection_event::close}};

} // namespace

// Guards against a write whose answer was lost being run again before its fence
// is committed.
Test(request_chart, a_lost_write_is_fenced_before_its_next_attempt)
{
    const auto chart = load(embedded::request, request_events);
    walk(chart, {{"sent", "running", ""},
                 {"outcome_lost", "probe_waiting", "acquire_probe"},
                 {"sent", "probing", ""},
                 {"outcome_lost", "probe_backing_off", "back_off"},
                 {"backed_off", "probe_waiting", "acquire_probe"},
                 {"sent", "probing", ""},
                 {"answered", "awaiting_commit", "await_commit"},
                 {"fence_committed", "backing_off", "back_off"},
                 {"backed_off", "waiting", "acquire"},
                 {"sent", "running", ""},
                 {"answered", "awaiting_commit", "await_commit"},
                 {"committed", "finished", "deliver"}});
}

// Guards against a state in which a request outlives its deadline or a
// refusal.
Test(request_chart, every_state_ends_at_the_deadline_and_on_a_refusal)
{
    const auto chart = load(embedded::request, request_events);
    for (const auto& state : chart.m_states)
    {
        if (state.m_final)
            continue;
        for (const auto* event : {"deadline", "refused"})
        {
            const auto& step = state.m_transitions.at(event);
            cr_assert(step.m_target && chart.m_states[*step.m_target].m_final,
                      "%s in %s", event, state.m_name.c_str());
        }
    }
}

// Guards against a chart that differs from the states which the pool uses.
Test(connection_chart, every_transition_matches_the_pool)
{
    statechart::alphabet names;
    for (const auto& [name, event] : pool_events)
        names.push_back(name);
    const auto chart = load(embedded::connection, names);
    cr_assert_eq(chart.m_states.size(), pool_states.size());
    for (std::size_t index = 0; index < pool_states.size(); ++index)
    {
        const auto& from = chart.m_states[index];
        cr_assert(from.m_name == pool::to_string(pool_states.at(index)));
        for (const auto& [name, event] : pool_events)
        {
            const auto next = pool::next_state(pool_states.at(index), event);
            const auto found = from.m_transitions.find(name);
            cr_assert_eq(next.has_value(), found != from.m_transitions.end(),
                         "%s in %s", name.c_str(), from.m_name.c_str());
            if (!next)
                continue;
            const auto target = found->second.m_target.value_or(index);
            cr_assert(pool::to_string(*next) == chart.m_states[target].m_name,
                      "%s in %s", name.c_str(), from.m_name.c_str());
        }
    }
}

// Guards against a connection that stays in use after it went silent.
Test(connection_chart, a_silent_connection_is_pinged_and_then_closed)
{
    const auto chart =
        load(embedded::connection, statechart::events_of(embedded::connection));
    walk(chart, {{"ready", "idle", ""},
                 {"silent", "probing", "send_ping"},
                 {"heard_idle", "idle", ""},
                 {"acquired", "busy", ""},
                 {"silent", "probing", "send_ping"},
                 {"heard_taken", "busy", ""},
                 {"silent", "probing", "send_ping"},
                 {"close", "closed", "close_connection"}});
}

// Guards against new work for an endpoint that is leaving.
Test(endpoint_chart, a_leaving_endpoint_finishes_its_work_and_gets_none)
{
    const auto chart = load(embedded::endpoint,
                            {"status_received", "silence", "leaving_marked",
                             "leaving_cleared", "work_finished", "removed"});
    walk(chart, {{"status_received", "serving", "open_connections allow_work"},
                 {"silence", "unreachable", "stop_work report_unreachable"},
                 {"status_received", "serving", "open_connections allow_work"},
                 {"leaving_marked", "draining", "stop_work gossip_leaving"},
                 {"status_received", "draining", "update_view"},
                 {"work_finished", "drained", "close_connections"},
                 {"status_received", "drained", "update_view"},
                 {"leaving_cleared", "starting", ""},
                 {"leaving_marked", "drained", ""},
                 {"removed", "removed", "end_monitor"}});
}

// Guards against a second choice of primary in one term.
Test(failover_chart, a_lost_promote_leads_to_a_higher_term)
{
    const auto chart =
        load(embedded::failover,
             {"term_needed", "term_not_needed", "host_was_paused", "turn_came",
              "answer_overdue", "majority_sealed", "attempt_lost",
              "promote_unanswered", "endpoint_promoted"});
    walk(chart,
         {{"term_needed", "waiting", ""},
          {"host_was_paused", "idle", ""},
          {"term_needed", "waiting", ""},
          {"turn_came", "sealing", "begin_attempt send_seals"},
          {"answer_overdue", "sealing", "send_seals"},
          {"majority_sealed", "promoting", "send_promote send_later_seals"},
          {"promote_unanswered", "sealing", "begin_attempt send_seals"},
          {"majority_sealed", "promoting", "send_promote send_later_seals"},
          {"endpoint_promoted", "idle", "report_promotion end_attempt"}});
}

// Guards against capacity that stays after its loan has ended.
Test(share_lease_chart, every_way_out_of_a_held_loan_drops_its_capacity)
{
    const auto chart =
        load(embedded::share_lease, {"granted", "refused", "timed_out",
                                     "demand_fell", "renewal_due", "expired"});
    walk(chart, {{"granted", "held", "add_capacity"},
                 {"renewal_due", "renewing", "send_request"},
                 {"granted", "held", "extend_loan"},
                 {"renewal_due", "renewing", "send_request"},
                 {"timed_out", "lapsing", ""},
                 {"expired", "ended", "drop_capacity"}});
    for (const auto& state : chart.m_states)
    {
        for (const auto& [event, transition] : state.m_transitions)
        {
            if (state.m_name == "requested" || !transition.m_target ||
                !chart.m_states[*transition.m_target].m_final)
                continue;
            cr_assert_str_eq(transition.m_actions.at(0).c_str(),
                             "drop_capacity", "%s in %s", event.c_str(),
                             state.m_name.c_str());
        }
    }
}

// Guards against a planned stop that leaves before its requests have ended.
Test(host_drain_chart, a_stop_gives_notice_finishes_and_releases)
{
    const auto chart =
        load(embedded::host_drain,
             {"configured", "stop_requested", "notice_given", "work_finished",
              "finish_timed_out", "released", "release_timed_out"});
    walk(chart, {{"configured", "serving", "announce_host report_healthy"},
                 {"stop_requested", "leaving",
                  "report_unhealthy announce_gone gossip_leaving "
                  "start_notice_timer"},
                 {"stop_requested", "leaving", ""},
                 {"notice_given", "finishing",
                  "send_goaway refuse_new_requests start_finish_timer"},
                 {"work_finished", "releasing", "return_loans release_slots"},
                 {"released", "stopped", "exit_process"}});
}

// Guards against a documentation page that differs from the charts.
Test(statecharts_page, every_table_matches_its_chart)
{
    std::ifstream in(MAGNOLIASTACK_STATECHART_PAGE);
    const std::string page((std::istreambuf_iterator<char>(in)),
                           std::istreambuf_iterator<char>());
    for (const auto text :
         {embedded::request, embedded::connection, embedded::endpoint,
          embedded::failover, embedded::share_lease, embedded::host_drain})
    {
        const auto table =
            statechart::to_table(load(text, statechart::events_of(text)));
        cr_assert(page.find(table) != std::string::npos,
                  "docs/statecharts.md lacks this table:\n%s", table.c_str());
    }
}
