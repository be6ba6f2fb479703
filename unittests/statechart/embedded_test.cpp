#include "magnoliastack/statechart/chart.hpp"
#include "magnoliastack/statechart/embedded.hpp"
#include "magnoliastack/statechart/table.hpp"

#include "absl/strings/str_join.h"

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace embedded = magnoliastack::statechart::embedded;
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
    "checks_passed",     "checks_failed",    "dispatched",
    "deadline_passed",   "caller_cancelled", "endpoint_chosen",
    "replica_expected",  "no_endpoint",      "wait_ended",
    "rows_received",     "answer_complete",  "attempt_failed",
    "outcome_uncertain", "statement_failed", "read_expired",
    "committed",         "record_found",     "fence_recorded",
    "probe_lost",        "record_expired",   "retry_granted",
    "retry_denied"};

} // namespace

// Guards against a write whose answer was lost being run again before its fence
// is committed.
Test(request_chart, a_lost_write_is_fenced_before_its_next_attempt)
{
    const auto chart = load(embedded::request, request_events);
    walk(chart, {{"checks_passed", "queued", "enqueue"},
                 {"dispatched", "choosing", "choose_endpoint"},
                 {"replica_expected", "waiting", "start_replica_wait"},
                 {"wait_ended", "choosing", "choose_endpoint"},
                 {"endpoint_chosen", "running", "send_call"},
                 {"rows_received", "running", "keep_rows"},
                 {"outcome_uncertain", "probing", "send_probe"},
                 {"probe_lost", "probing", "send_probe"},
                 {"fence_recorded", "fencing", "await_commit"},
                 {"committed", "backing_off", "advance_attempt start_backoff"},
                 {"retry_granted", "choosing", "choose_endpoint"},
                 {"endpoint_chosen", "running", "send_call"},
                 {"answer_complete", "confirming", "await_commit"},
                 {"committed", "done", "answer_outcome"}});
}

// Guards against `not_run` after a deadline in a state where the request may
// have run, and against `unknown` where it cannot have.
Test(request_chart, the_deadline_gives_not_run_only_where_it_is_proven)
{
    const auto chart = load(embedded::request, request_events);
    for (const auto& state : chart.m_states)
    {
        const auto found = state.m_transitions.find("deadline_passed");
        if (found == state.m_transitions.end())
            continue;
        const bool uncertain =
            state.m_name == "running" || state.m_name == "confirming" ||
            state.m_name == "probing" || state.m_name == "fencing";
        cr_assert_str_eq(found->second.m_actions.at(0).c_str(),
                         uncertain ? "answer_unknown" : "answer_not_run", "%s",
                         state.m_name.c_str());
    }
}

// Guards against a connection that stays in use after it went silent.
Test(connection_chart, a_silent_connection_is_pinged_and_then_closed)
{
    const auto chart =
        load(embedded::connection,
             {"ready", "open_timed_out", "lost", "surplus", "acquired",
              "ping_due", "part_received", "silence_limit", "released",
              "silent", "transaction_uncertain"});
    walk(chart, {{"ready", "idle", "offer_connection"},
                 {"ping_due", "checking", "send_ping"},
                 {"part_received", "idle", "offer_connection"},
                 {"acquired", "busy", ""},
                 {"part_received", "busy", "deliver_part"},
                 {"silent", "suspect", "send_ping"},
                 {"part_received", "busy", "deliver_part"},
                 {"silent", "suspect", "send_ping"},
                 {"silence_limit", "closed",
                  "close_connection report_lost_call open_connection"}});
    walk(chart, {{"ready", "idle", "offer_connection"},
                 {"acquired", "busy", ""},
                 {"surplus", "retiring", ""},
                 {"part_received", "retiring", "deliver_part"},
                 {"released", "closed", "close_connection"}});
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
             {"cause_found", "cause_gone", "host_paused", "turn_reached",
              "resend_due", "majority_sealed", "majority_refused",
              "seal_timed_out", "term_superseded", "promoted",
              "promote_timed_out", "promote_refused"});
    walk(chart,
         {{"cause_found", "waiting", ""},
          {"host_paused", "idle", "discard_evidence"},
          {"cause_found", "waiting", ""},
          {"turn_reached", "sealing", "begin_attempt send_seals"},
          {"resend_due", "sealing", "send_seals"},
          {"majority_sealed", "promoting", "send_later_seals send_promote"},
          {"promote_timed_out", "sealing", "begin_attempt send_seals"},
          {"majority_sealed", "promoting", "send_later_seals send_promote"},
          {"promoted", "idle", "report_promotion"}});
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
