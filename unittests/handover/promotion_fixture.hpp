// One host's promotion with a store and endpoints that the test plays.
#ifndef MAGNOLIASTACK_UNITTESTS_HANDOVER_PROMOTION_FIXTURE_HPP
#define MAGNOLIASTACK_UNITTESTS_HANDOVER_PROMOTION_FIXTURE_HPP

#include "magnoliastack/handover/promotion.hpp"

#include <algorithm>
#include <optional>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

namespace handover_test
{

using namespace magnoliastack::handover;
namespace base = magnoliastack::base;
namespace catalogue = magnoliastack::catalogue;
namespace fleet = magnoliastack::fleet;
namespace rpc = magnoliastack::rpc;

inline const base::endpoint_id old_primary("old");
inline const base::endpoint_id first("first");
inline const base::endpoint_id second("second");

// One host's promotion against a store that applies every change at once.
struct promotion_fixture
{
    promotion m_promotion{base::group_id("g"), base::host_id("self"),
                          base::incarnation(7)};
    promotion_inputs m_inputs;
    base::instant m_now = base::instant() + absl::Seconds(100);
    std::vector<promotion_action> m_actions;

    promotion_fixture()
    {
        m_inputs.m_need = need::failed;
        m_inputs.m_may_start = true;
        m_inputs.m_primary = old_primary;
        m_inputs.m_candidates = {first, second};
        m_inputs.m_store_earliest = rpc::store_instant(1000);
        m_inputs.m_store_latest = rpc::store_instant(1000);
    }

    void step(absl::Duration by = absl::Milliseconds(50))
    {
        m_now = m_now + by;
        const auto ms =
            static_cast<std::uint64_t>(absl::ToInt64Milliseconds(by));
        m_inputs.m_store_earliest =
            rpc::store_instant(m_inputs.m_store_earliest.value() + ms);
        m_inputs.m_store_latest =
            rpc::store_instant(m_inputs.m_store_latest.value() + ms);
        m_actions = m_promotion.tick(m_inputs, m_now);
    }

    template <typename Action>
    std::optional<Action> sent() const
    {
        for (const auto& action : m_actions)
            if (const auto* found = std::get_if<Action>(&action))
                return *found;
        return std::nullopt;
    }

    // Stores the rows of the last change.
    void apply()
    {
        const auto change = sent<change_rows>();
        cr_assert(change.has_value(), "a change of rows was expected");
        for (const auto& [key, value] : change->m_change.m_writes)
        {
            const rpc::fleet_row row{key, value, rpc::row_version(++m_version)};
            if (const auto duty = fleet::decode_duty(row); *duty)
            {
                m_inputs.m_duty = **duty;
                m_inputs.m_duty_version = row.m_version;
            }
            if (const auto leader = fleet::decode_leadership(row); *leader)
            {
                m_inputs.m_leadership = **leader;
                m_inputs.m_leadership_version = row.m_version;
            }
        }
        rpc::change_outcome outcome;
        outcome.m_applied = true;
        m_promotion.change_ended(outcome, m_now);
    }

    // The endpoint answers a request that was made at the same moment.
    void report(const base::endpoint_id& endpoint, bool is_primary,
                std::uint64_t term, std::uint64_t log_term,
                std::uint64_t position)
    {
        report_asked(m_now, endpoint, is_primary, term, log_term, position);
    }

    void report_asked(base::instant asked, const base::endpoint_id& endpoint,
                      bool is_primary, std::uint64_t term,
                      std::uint64_t log_term, std::uint64_t position)
    {
        rpc::endpoint_report answer;
        answer.m_primary = is_primary;
        answer.m_term = base::term(term);
        answer.m_received = {base::term(log_term),
                             base::log_position(position)};
        m_promotion.report_received(endpoint, answer, asked, m_now);
    }

    // Lets time pass; the duty is renewed meanwhile.
    void run(absl::Duration span)
    {
        constexpr absl::Duration pace = absl::Milliseconds(50);
        for (absl::Duration passed; passed < span; passed += pace)
        {
            step(pace);
            if (sent<change_rows>() && m_promotion.state() != "publishing")
                apply();
        }
    }

    // The row that another holder has left.
    void set_row(fleet::leadership_phase phase, std::uint64_t term)
    {
        m_inputs.m_leadership = fleet::leadership_row();
        m_inputs.m_leadership->m_group = base::group_id("g");
        m_inputs.m_leadership->m_generation = 1;
        m_inputs.m_leadership->m_phase = phase;
        m_inputs.m_leadership->m_term = base::term(term);
        m_inputs.m_leadership->m_primary = old_primary;
    }

    // Brings the promotion to the choice of a candidate.
    void reach_choice()
    {
        step();
        apply();
        step();
        m_inputs.m_released = true;
        step();
        cr_assert_eq(m_promotion.state(), "choosing");
    }

    std::uint64_t m_version = 0;
};

} // namespace handover_test

#endif
