// The replacement of a group's primary, as one host carries it out.
#ifndef MAGNOLIASTACK_HANDOVER_PROMOTION_HPP
#define MAGNOLIASTACK_HANDOVER_PROMOTION_HPP

#include "magnoliastack/base/time.hpp"
#include "magnoliastack/fleet/rows.hpp"
#include "magnoliastack/handover/assessment.hpp"
#include "magnoliastack/handover/commit_evidence.hpp"
#include "magnoliastack/rpc/fleet_store.hpp"
#include "magnoliastack/rpc/opaque_statement.hpp"
#include "magnoliastack/statechart/chart.hpp"

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace magnoliastack::handover
{

// Times of a promotion.
struct promotion_options
{
    // How long the duty is held after each claim or renewal.
    absl::Duration m_tenure = absl::Seconds(3);
    // A promotion is not sent when the duty ends within this: the call could
    // take effect under the next holder.
    absl::Duration m_tenure_margin = absl::Milliseconds(1200);
    // How long reports of all candidates are waited for once one is there.
    absl::Duration m_report_wait = absl::Milliseconds(250);
    // Reports are asked for again after this.
    absl::Duration m_ask_interval = absl::Milliseconds(150);
    // How long a planned change waits for a replica to catch up.
    absl::Duration m_catch_up_wait = absl::Milliseconds(1000);
    // A planned change with synchronous replicas begins when one of them is in
    // step with the primary; both are asked again after this.
    absl::Duration m_in_step_interval = absl::Milliseconds(500);
    // How long a promoted endpoint may take to lead.
    absl::Duration m_confirm_wait = absl::Seconds(4);
    // A promotion takes effect some hundred milliseconds after the platform has
    // answered it. A candidate that keeps its term for this long was the
    // platform's primary before.
    absl::Duration m_effect_wait = absl::Milliseconds(1500);
    // An endpoint of an older term than the published primary's is promoted
    // only this long after the claim: until then the primary may be back.
    absl::Duration m_older_term_wait = absl::Seconds(15);
    absl::Duration m_change_timeout = absl::Milliseconds(800);
    absl::Duration m_promote_timeout = absl::Milliseconds(1000);
};

// Change rows of the fleet; report to change_ended.
struct change_rows
{
    rpc::fleet_change m_change;
};
// Ask an endpoint for its state; report to report_received.
struct ask_report
{
    base::endpoint_id m_endpoint;
};
// Ask the platform; report to promote_ended.
struct promote_endpoint
{
    base::endpoint_id m_endpoint;
    std::uint64_t m_token = 0;
};
// Have the old primary stop; nothing depends on the answer.
struct step_down_endpoint
{
    base::endpoint_id m_endpoint;
    base::term m_term;
};
using promotion_action =
    std::variant<change_rows, ask_report, promote_endpoint, step_down_endpoint>;

// What a promotion goes by at a moment.
struct promotion_inputs
{
    need m_need = need::none;
    // Era of the store that the rows are of.
    rpc::store_era m_era;
    // It is this host's turn to start.
    bool m_may_start = false;
    std::optional<fleet::leadership_row> m_leadership;
    rpc::row_version m_leadership_version;
    std::optional<fleet::duty_row> m_duty;
    rpc::row_version m_duty_version;
    // The present primary, or while it moves the one before.
    base::endpoint_id m_primary;
    // No host uses the old primary any more.
    bool m_released = false;
    // The old primary has answered this host since the claim.
    bool m_primary_answers = false;
    // Endpoints that could lead: listed, not leaving, answering.
    std::vector<base::endpoint_id> m_candidates;
    // Those of them that are slow after their start.
    std::set<base::endpoint_id> m_cold;
    // Who may hold acknowledged commits; without synchronous replicas only
    // m_candidates counts.
    commit_holders m_holders;
    // The present primary is listed and not evacuated, so a planned change may
    // wait until a replica is in step with it.
    bool m_primary_may_stay = false;
    // Bounds of the store's time now.
    rpc::store_instant m_store_earliest;
    rpc::store_instant m_store_latest;
};

// Claims the group and the duty in one change of rows, waits until nobody uses
// the old primary, promotes the replica that has received most, and publishes
// it. A host that fails meanwhile leaves the group moving; after its tenure
// another one claims it anew and starts from the endpoints' reports.
class promotion
{
public:
    promotion(base::group_id group, base::host_id self,
              base::incarnation incarnation, promotion_options options = {});

    promotion(const promotion&) = delete;
    promotion& operator=(const promotion&) = delete;

    std::vector<promotion_action> tick(const promotion_inputs& inputs,
                                       base::instant now);
    void change_ended(const base::result<rpc::change_outcome>& result,
                      base::instant now);
    // `asked` is when the request for the report was made.
    void report_received(const base::endpoint_id& endpoint,
                         const rpc::endpoint_report& report,
                         base::instant asked, base::instant now);
    // The value is false when the endpoint does not run.
    void promote_ended(const base::result<bool>& result, base::instant now);

    [[nodiscard]] bool is_idle() const;
    [[nodiscard]] const std::string& state() const
    {
        return m_machine.state();
    }
    // Endpoints whose reports the choice of a candidate waits for because they
    // may hold acknowledged commits that no known log has; empty when it waits
    // for none.
    [[nodiscard]] const std::vector<base::endpoint_id>& awaited() const
    {
        return m_awaited;
    }
    // True while the choice of a candidate waits for a list of the endpoints
    // that was read after the last host had released the old primary.
    [[nodiscard]] bool awaits_list() const
    {
        return m_awaits_list;
    }

private:
    using actions = std::vector<promotion_action>;

    struct known_report
    {
        rpc::endpoint_report m_report;
        base::instant m_asked;
        base::instant m_at;
    };

    void fire(const char* event, const promotion_inputs& inputs, actions& out,
              base::instant now);
    void act(const std::string& action, const promotion_inputs& inputs,
             actions& out, base::instant now);
    void tick_idle(const promotion_inputs& inputs, actions& out,
                   base::instant now);
    void tick_claiming(const promotion_inputs& inputs, actions& out,
                       base::instant now);
    void reinstate(const promotion_inputs& inputs, actions& out,
                   base::instant now);
    void tick_choosing(const promotion_inputs& inputs, actions& out,
                       base::instant now);
    [[nodiscard]] std::optional<base::endpoint_id>
    choose_candidate(const promotion_inputs& inputs, base::instant now) const;
    [[nodiscard]] std::optional<base::endpoint_id>
    choose_holder(const promotion_inputs& inputs, base::instant now);
    void tick_promoting(const promotion_inputs& inputs, actions& out,
                        base::instant now);
    void tick_confirming(const promotion_inputs& inputs, actions& out,
                         base::instant now);
    void tick_publishing(const promotion_inputs& inputs, actions& out,
                         base::instant now);
    void begin_attempt(const promotion_inputs& inputs);
    [[nodiscard]] bool leads(const known_report& candidate) const;
    [[nodiscard]] bool is_only_candidate() const;
    [[nodiscard]] bool may_take_duty(const promotion_inputs& inputs) const;
    [[nodiscard]] bool holds_duty(const promotion_inputs& inputs,
                                  absl::Duration margin) const;
    [[nodiscard]] bool is_own_claim(const promotion_inputs& inputs) const;
    [[nodiscard]] fleet::duty_row
    next_duty(const promotion_inputs& inputs) const;
    void send_claim(const promotion_inputs& inputs, actions& out);
    void send_publish(const promotion_inputs& inputs, actions& out);
    void renew(const promotion_inputs& inputs, actions& out);
    void ask_reports(const promotion_inputs& inputs, actions& out,
                     base::instant now);
    [[nodiscard]] std::optional<base::endpoint_id>
    best_candidate(const promotion_inputs& inputs, base::instant now) const;
    [[nodiscard]] endpoint_reports reports_since_release() const;
    bool has_replica_in_step(const promotion_inputs& inputs, actions& out,
                             base::instant now);
    [[nodiscard]] std::optional<rpc::endpoint_report>
    report_of_round(const base::endpoint_id& endpoint) const;
    [[nodiscard]] bool may_lead(const base::endpoint_id& id,
                                const promotion_inputs& inputs,
                                base::instant now) const;
    [[nodiscard]] bool is_better(const base::endpoint_id& one,
                                 const base::endpoint_id& other,
                                 const promotion_inputs& inputs) const;
    [[nodiscard]] bool has_caught_up(const base::endpoint_id& candidate) const;

    base::group_id m_group;
    base::host_id m_self;
    base::incarnation m_incarnation;
    promotion_options m_options;
    statechart::chart m_chart;
    statechart::machine m_machine;
    base::instant m_entered;
    base::instant m_claimed;
    // When the last host had released the old primary, here and at the store.
    base::instant m_released;
    rpc::store_instant m_released_at;
    base::instant m_asked;
    need m_need = need::none;
    // Another holder has claimed the group before and may have a promotion
    // under way.
    bool m_left_moving = false;
    // The old primary may go on when it is back before its release.
    bool m_may_reinstate = false;
    std::uint64_t m_generation = 0;
    base::endpoint_id m_old;
    base::endpoint_id m_candidate;
    base::term m_term;
    // Newest term that any endpoint has reported since the claim.
    base::term m_newest_term;
    // The endpoint that was asked last to lead, and the newest term that was
    // known before: a promotion always leads to a newer one.
    base::endpoint_id m_attempted;
    base::term m_term_before;
    // Another endpoint than that one was asked before.
    bool m_attempted_other = false;
    std::map<base::endpoint_id, known_report> m_reports;
    std::vector<base::endpoint_id> m_awaited;
    bool m_awaits_list = false;
    // When the last round of requests before a planned change began, and the
    // end of the primary's log in the round before.
    std::optional<base::instant> m_round_asked;
    std::optional<base::log_point> m_end_before;
    bool m_change_running = false;
    std::optional<bool> m_change_applied;
    bool m_promote_running = false;
    std::optional<base::result<bool>> m_promote_result;
};

} // namespace magnoliastack::handover

#endif
