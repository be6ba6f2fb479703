// Replaces the primary of one group when it fails or leaves.
#ifndef MAGNOLIASTACK_FAILOVER_CONTROLLER_HPP
#define MAGNOLIASTACK_FAILOVER_CONTROLLER_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/failover/assessment.hpp"
#include "magnoliastack/failover/damping.hpp"
#include "magnoliastack/failover/evidence.hpp"
#include "magnoliastack/failover/promotion_attempt.hpp"
#include "magnoliastack/group/group_view.hpp"
#include "magnoliastack/rpc/endpoint_link.hpp"
#include "magnoliastack/statechart/chart.hpp"

#include "absl/time/time.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace magnoliastack::failover
{

// Ask the endpoint to seal the term for this host.
struct send_seal
{
    base::endpoint_id m_endpoint;
    base::term m_term;
};

// Ask the sealed endpoint to become primary of the term.
struct send_promote
{
    base::endpoint_id m_endpoint;
    base::term m_term;
};

// This host has made the endpoint primary of the term.
struct promoted
{
    base::endpoint_id m_endpoint;
    base::term m_term;
    promotion_cause m_cause = promotion_cause::none;
};

using action = std::variant<send_seal, send_promote, promoted>;

// Times of a controller.
struct controller_options
{
    // A promoter of rank r starts r times this later than the first.
    absl::Duration m_rank_delay = absl::Milliseconds(400);
    // A seal or promote without an answer is sent again after this time. The
    // caller's timeout should not be longer.
    absl::Duration m_resend_after = absl::Milliseconds(200);
    // A promote without an answer is given up after this time: the next try
    // is a higher term.
    absl::Duration m_promote_timeout = absl::Milliseconds(500);
    // An attempt without a sealed majority is given up after this time.
    absl::Duration m_seal_timeout = absl::Seconds(2);
    // Pause between two planned changes of a group, as the first may have had
    // to keep the leaving endpoint.
    absl::Duration m_planned_interval = absl::Seconds(2);
    // Ticks further apart than this show that the host was paused.
    absl::Duration m_pause_gap = group::pause_gap;
};

// The failover of one group, as seen by one host: the chart `failover`. Call
// tick() about every 50 ms and after each change of the view.
class controller
{
public:
    controller(base::group_id group, base::host_id self,
               std::vector<base::endpoint_id> members,
               controller_options options = {});

    std::vector<action> tick(const group::group_view& view,
                             const evidence_list& evidence, base::instant now);

    // An endpoint answered a seal of this host, or the call failed. Answers to
    // earlier attempts are ignored.
    std::vector<action>
    seal_answered(const base::endpoint_id& endpoint, base::term target,
                  const base::result<rpc::control_answer>& answer,
                  base::instant now);

    // The same for a promote.
    std::vector<action>
    promote_answered(const base::endpoint_id& endpoint, base::term target,
                     const base::result<rpc::control_answer>& answer,
                     base::instant now);

    // The state of the chart.
    [[nodiscard]] const std::string& state() const
    {
        return m_machine.state();
    }
    // Why a new term is wanted at present.
    [[nodiscard]] promotion_cause cause() const
    {
        return m_cause;
    }

private:
    void learn(const group::group_view& view, base::instant now);
    void learn_term(base::term seen, base::instant now);
    void consider(const group::group_view& view, const evidence_list& evidence,
                  base::instant now, std::vector<action>& actions);
    [[nodiscard]] std::optional<base::instant>
    turn(const group::group_view& view, const evidence_list& evidence,
         base::instant now) const;
    void drive_attempt(const group::group_view& view, base::instant now,
                       std::vector<action>& actions);
    void refused(const base::endpoint_id& endpoint,
                 const rpc::endpoint_status& status, base::instant now);
    void fire(std::string_view event, base::instant now,
              std::vector<action>& actions);
    void carry_out(std::string_view step, base::instant now,
                   std::vector<action>& actions);
    void begin_attempt();
    [[nodiscard]] bool is_promoting() const;

    base::group_id m_group;
    base::host_id m_self;
    std::vector<base::endpoint_id> m_members;
    controller_options m_options;
    assessment m_assessment;
    damping m_damping;
    statechart::machine m_machine;
    promotion_cause m_cause = promotion_cause::none;
    base::instant m_cause_since;
    std::optional<base::instant> m_last_tick;
    base::term m_current_term;
    // The highest term that any endpoint has sealed or accepted.
    base::term m_highest_term;
    // When another promoter's seal was last seen.
    std::optional<base::instant> m_foreign_seal_at;
    std::optional<base::endpoint_id> m_primary;
    std::set<base::endpoint_id> m_leaving;
    std::optional<promotion_attempt> m_attempt;
    base::instant m_sent_at;
    // When the attempt began its present state.
    base::instant m_state_since;
    base::instant m_planned_allowed_from;
};

} // namespace magnoliastack::failover

#endif
