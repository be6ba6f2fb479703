#include "promotion_fixture.hpp"

#include "magnoliastack/handover/assessment.hpp"

#include <vector>

#include <criterion/criterion.h>

using namespace handover_test;

Test(promotion, nothing_is_promoted_while_a_host_may_use_the_old_primary)
{
    promotion_fixture f;
    f.step();
    f.apply();
    for (int count = 0; count < 20; ++count)
    {
        f.step();
        f.report(first, false, 1, 1, 90);
        f.report(second, false, 1, 1, 95);
        cr_assert_not(f.sent<promote_endpoint>().has_value());
    }
}

Test(promotion, the_longest_log_is_promoted)
{
    promotion_fixture f;
    f.reach_choice();
    f.report(first, false, 1, 1, 90);
    f.report(second, false, 1, 1, 95);
    f.step();
    const auto promoted = f.sent<promote_endpoint>();
    cr_assert(promoted.has_value());
    cr_assert_eq(promoted->m_endpoint, second);
}

// A cold primary takes a few requests a second only.
Test(promotion, of_equal_logs_the_endpoint_that_is_not_cold_is_promoted)
{
    promotion_fixture f;
    f.m_inputs.m_cold = {first};
    f.reach_choice();
    f.report(first, false, 1, 1, 95);
    f.report(second, false, 1, 1, 95);
    f.step();
    const auto promoted = f.sent<promote_endpoint>();
    cr_assert(promoted.has_value());
    cr_assert_eq(promoted->m_endpoint, second);
}

// After a failure a shorter log loses acknowledged commits, which is worse than
// a slow start.
Test(promotion, a_cold_endpoint_with_more_commits_is_promoted_after_a_failure)
{
    promotion_fixture f;
    f.m_inputs.m_cold = {second};
    f.reach_choice();
    f.report(first, false, 1, 1, 90);
    f.report(second, false, 1, 1, 95);
    f.step();
    cr_assert_eq(f.sent<promote_endpoint>()->m_endpoint, second);
}

// In a planned change the other log catches up, so a cold endpoint is no better
// for being ahead.
Test(promotion, a_planned_change_passes_over_a_cold_endpoint)
{
    promotion_fixture f;
    f.m_inputs.m_need = need::planned;
    f.m_inputs.m_cold = {second};
    f.reach_choice();
    f.report(old_primary, true, 1, 1, 95);
    f.report(first, false, 1, 1, 90);
    f.report(second, false, 1, 1, 95);
    f.step();
    cr_assert_not(f.sent<promote_endpoint>().has_value());
    f.report(first, false, 1, 1, 95);
    f.step();
    const auto promoted = f.sent<promote_endpoint>();
    cr_assert(promoted.has_value());
    cr_assert_eq(promoted->m_endpoint, first);
}

// Found by hunt, trouble-2 seed 1060704563503: an old primary of term 1 that
// had been cut off while term 2 went on still called itself primary, was
// chosen for that, and its log lacked what term 2 had acknowledged.
Test(promotion, an_old_primary_of_an_older_term_is_not_ahead)
{
    promotion_fixture f;
    f.reach_choice();
    f.report(first, true, 1, 1, 366);
    f.report(second, false, 2, 2, 395);
    f.step();
    const auto promoted = f.sent<promote_endpoint>();
    cr_assert(promoted.has_value());
    cr_assert_eq(promoted->m_endpoint, second);
}

// The same seed: the old primary's own word was taken for its promotion.
Test(promotion, a_candidate_of_the_term_before_has_not_been_promoted)
{
    promotion_fixture f;
    f.m_inputs.m_leadership = fleet::leadership_row();
    f.m_inputs.m_leadership->m_group = base::group_id("g");
    f.m_inputs.m_leadership->m_generation = 1;
    f.m_inputs.m_leadership->m_term = base::term(2);
    f.m_inputs.m_leadership->m_primary = old_primary;
    f.reach_choice();
    f.report(first, false, 2, 2, 395);
    f.step(absl::Milliseconds(300));
    f.m_promotion.promote_ended(true, f.m_now);
    f.step();
    cr_assert_eq(f.m_promotion.state(), "confirming");
    f.report(first, true, 1, 1, 366);
    f.step();
    cr_assert_eq(f.m_promotion.state(), "confirming");
    f.report(first, true, 3, 2, 395);
    f.step();
    cr_assert_eq(f.m_promotion.state(), "publishing");
}

// review/4: an endpoint that had not seen the published primary's term was
// promoted as soon as it was the only one that answered. Reads there lacked
// commits that were acknowledged in that term and came back with its primary.
Test(promotion, an_endpoint_of_an_older_term_leads_only_after_a_long_absence)
{
    promotion_fixture f;
    f.set_row(fleet::leadership_phase::serving, 3);
    f.m_inputs.m_candidates = {first};
    f.reach_choice();
    for (int second_of_wait = 0; second_of_wait < 14; ++second_of_wait)
    {
        f.report(first, true, 2, 2, 366);
        f.run(absl::Seconds(1));
        cr_assert_eq(f.m_promotion.state(), "choosing");
    }
    f.report(first, true, 2, 2, 366);
    f.run(absl::Seconds(2));
    cr_assert_eq(f.m_promotion.state(), "promoting");
}

Test(promotion, an_endpoint_of_the_published_term_goes_before_a_longer_wait)
{
    promotion_fixture f;
    f.set_row(fleet::leadership_phase::serving, 3);
    f.reach_choice();
    f.report(first, true, 2, 2, 366);
    f.run(absl::Seconds(1));
    cr_assert_eq(f.m_promotion.state(), "choosing");
    f.report(second, false, 3, 3, 12);
    f.step(absl::Milliseconds(300));
    cr_assert_eq(f.sent<promote_endpoint>()->m_endpoint, second);
}

// review/1: a holder was lost after its promotion of another endpoint had taken
// effect. The next one found the old primary alone and took its report with the
// old term for the confirmation, so hosts wrote at it beside the new primary.
Test(promotion, the_old_primary_of_a_group_left_moving_has_to_lead_a_newer_term)
{
    promotion_fixture f;
    f.set_row(fleet::leadership_phase::moving, 2);
    f.m_inputs.m_candidates = {old_primary};
    f.reach_choice();
    f.report(old_primary, true, 2, 2, 366);
    f.step(absl::Milliseconds(300));
    cr_assert_eq(f.sent<promote_endpoint>()->m_endpoint, old_primary);
    f.m_promotion.promote_ended(true, f.m_now);
    f.step();
    f.report(old_primary, true, 2, 2, 366);
    f.run(absl::Milliseconds(900));
    cr_assert_eq(f.m_promotion.state(), "confirming");
    f.report(old_primary, true, 4, 2, 366);
    f.step();
    cr_assert_eq(f.m_promotion.state(), "publishing");
}

// review/3: the row of a group that has never been promoted has term 0, so the
// old primary's term 1 passed for a newer one after another endpoint had been
// promoted and could not be asked.
Test(promotion,
     the_old_primary_has_to_lead_a_newer_term_after_an_unconfirmed_one)
{
    promotion_fixture f;
    f.m_inputs.m_candidates = {first};
    f.reach_choice();
    f.report(first, false, 1, 1, 95);
    f.step(absl::Milliseconds(300));
    cr_assert_eq(f.sent<promote_endpoint>()->m_endpoint, first);
    f.m_promotion.promote_ended(true, f.m_now);
    f.run(absl::Milliseconds(4200));
    cr_assert_eq(f.m_promotion.state(), "choosing");
    // The old primary is back, under a new id.
    f.m_inputs.m_candidates = {second};
    f.report(second, true, 1, 1, 97);
    f.step(absl::Milliseconds(300));
    cr_assert_eq(f.sent<promote_endpoint>()->m_endpoint, second);
    f.m_promotion.promote_ended(true, f.m_now);
    f.step();
    f.report(second, true, 1, 1, 97);
    f.run(absl::Milliseconds(900));
    cr_assert_eq(f.m_promotion.state(), "confirming");
    f.report(second, true, 3, 1, 97);
    f.step();
    cr_assert_eq(f.m_promotion.state(), "publishing");
}

// Nobody else has promoted anything since it was published, so the group does
// not wait for a promotion that changes nothing.
Test(promotion, a_published_primary_that_answers_again_is_confirmed_at_once)
{
    promotion_fixture f;
    f.set_row(fleet::leadership_phase::serving, 2);
    f.m_inputs.m_candidates = {old_primary};
    f.reach_choice();
    f.report(old_primary, true, 2, 2, 366);
    f.step(absl::Milliseconds(300));
    f.m_promotion.promote_ended(true, f.m_now);
    f.step();
    f.report(old_primary, true, 2, 2, 366);
    f.step();
    cr_assert_eq(f.m_promotion.state(), "publishing");
}

// Muscat trouble-3: the entry of a primary had lapsed when its group was
// claimed, so the claim named none; the group waited for nothing when it was
// back.
Test(promotion,
     a_first_primary_that_the_claim_did_not_know_is_confirmed_at_once)
{
    promotion_fixture f;
    f.m_inputs.m_primary = {};
    f.reach_choice();
    f.report(first, true, 1, 1, 366);
    f.report(second, false, 1, 1, 366);
    f.step();
    cr_assert_eq(f.sent<promote_endpoint>()->m_endpoint, first);
    f.m_promotion.promote_ended(true, f.m_now);
    f.step();
    f.report(first, true, 1, 1, 366);
    f.step();
    cr_assert_eq(f.m_promotion.state(), "publishing");
}

// A holder was lost between its promotion and the publishing: the platform
// changes nothing for its present primary, which keeps its term.
Test(promotion, the_platforms_primary_is_published_when_its_term_stays)
{
    promotion_fixture f;
    f.set_row(fleet::leadership_phase::moving, 2);
    f.reach_choice();
    f.report(first, true, 3, 2, 366);
    f.report(second, false, 2, 2, 366);
    f.step();
    cr_assert_eq(f.sent<promote_endpoint>()->m_endpoint, first);
    f.m_promotion.promote_ended(true, f.m_now);
    f.run(absl::Milliseconds(1400));
    f.report(first, true, 3, 2, 366);
    f.step();
    cr_assert_eq(f.m_promotion.state(), "confirming");
    f.run(absl::Milliseconds(200));
    f.report(first, true, 3, 2, 366);
    f.step();
    cr_assert_eq(f.m_promotion.state(), "publishing");
}

// The answer to the first call was lost, so the second one changes nothing.
Test(promotion, a_promotion_that_took_effect_unanswered_is_confirmed_at_once)
{
    promotion_fixture f;
    f.set_row(fleet::leadership_phase::serving, 2);
    f.reach_choice();
    f.report(first, false, 2, 2, 366);
    f.report(second, false, 2, 2, 360);
    f.step();
    f.m_promotion.promote_ended(
        base::fail(base::error_code::deadline_exceeded, "no answer"), f.m_now);
    f.step(absl::Milliseconds(1000));
    cr_assert_eq(f.sent<promote_endpoint>()->m_endpoint, first);
    f.report(first, true, 3, 2, 366);
    f.m_promotion.promote_ended(true, f.m_now);
    f.step();
    f.report(first, true, 3, 2, 366);
    f.step();
    cr_assert_eq(f.m_promotion.state(), "publishing");
}

// A holder that woke up late must not promote under the next holder.
Test(promotion, nothing_is_promoted_after_the_duty_has_ended)
{
    promotion_fixture f;
    f.reach_choice();
    f.report(first, false, 1, 1, 90);
    f.report(second, false, 1, 1, 95);
    f.step(absl::Seconds(5));
    cr_assert_not(f.sent<promote_endpoint>().has_value());
    cr_assert(f.m_promotion.is_idle());
}

Test(promotion, a_claim_of_another_host_ends_the_own_one)
{
    promotion_fixture f;
    f.reach_choice();
    f.m_inputs.m_leadership->m_generation = 2;
    f.m_inputs.m_leadership->m_holder = base::host_id("other");
    f.step();
    cr_assert(f.m_promotion.is_idle());
}

Test(promotion, the_duty_of_a_live_holder_is_not_taken)
{
    promotion_fixture f;
    f.m_inputs.m_duty =
        fleet::duty_row{base::host_id("other"), base::incarnation(1), 4,
                        rpc::store_instant(3000)};
    f.step();
    cr_assert_not(f.sent<change_rows>().has_value());
    f.step(absl::Seconds(3));
    f.apply();
    cr_assert_eq(f.m_inputs.m_duty->m_token, 5,
                 "the token grows when the holder changes");
}

// Claims for several groups at once each wrote the duty's row, so all but the
// first had expected a version that was gone.
Test(promotion, a_claim_leaves_the_duty_as_it_is_while_its_holder_has_it)
{
    promotion_fixture f;
    f.m_inputs.m_duty =
        fleet::duty_row{base::host_id("self"), base::incarnation(7), 4,
                        rpc::store_instant(4000)};
    f.m_inputs.m_duty_version = rpc::row_version(9);
    f.step();
    const auto claim = f.sent<change_rows>();
    cr_assert(claim.has_value());
    cr_assert_eq(claim->m_change.m_writes.size(), 1);
    cr_assert_eq(claim->m_change.m_expected.front().first, fleet::duty_key);
    cr_assert_eq(claim->m_change.m_expected.front().second.value(), 9);
}

// A claim near the end of the duty's time renews it, or it ends in between.
Test(promotion, a_claim_renews_a_duty_that_ends_soon)
{
    promotion_fixture f;
    f.m_inputs.m_duty =
        fleet::duty_row{base::host_id("self"), base::incarnation(7), 4,
                        rpc::store_instant(2000)};
    f.step();
    f.apply();
    cr_assert_gt(f.m_inputs.m_duty->m_until.value(), 2000);
    cr_assert_eq(f.m_inputs.m_duty->m_token, 4);
}

Test(promotion, a_planned_change_waits_for_the_replica_to_catch_up)
{
    promotion_fixture f;
    f.m_inputs.m_need = need::planned;
    f.reach_choice();
    f.report(old_primary, true, 1, 1, 100);
    f.report(first, false, 1, 1, 98);
    f.report(second, false, 1, 1, 97);
    f.step();
    cr_assert_not(f.sent<promote_endpoint>().has_value());
    f.report(first, false, 1, 1, 100);
    f.step();
    cr_assert(f.sent<promote_endpoint>().has_value());
}

Test(promotion, a_candidate_that_does_not_run_is_followed_by_another)
{
    promotion_fixture f;
    f.reach_choice();
    f.report(first, false, 1, 1, 90);
    f.report(second, false, 1, 1, 95);
    f.step();
    f.m_promotion.promote_ended(false, f.m_now);
    f.step();
    cr_assert_eq(f.m_promotion.state(), "choosing");
}

// Incident inc-0298: a failure domain was cut off for 5.5 s, the wait for its
// hosts took 5.4 s, and the groups stayed without a primary for a promotion
// longer although theirs was back.
Test(promotion, a_primary_that_is_back_before_the_release_is_reinstated)
{
    promotion_fixture f;
    f.step();
    f.apply();
    f.step();
    cr_assert_eq(f.m_promotion.state(), "releasing");
    f.m_inputs.m_primary_answers = true;
    f.step();
    cr_assert_eq(f.m_promotion.state(), "publishing");
    f.apply();
    cr_assert_eq(f.m_inputs.m_leadership->m_primary, old_primary);
    cr_assert(f.m_inputs.m_leadership->m_phase ==
              fleet::leadership_phase::serving);
    f.step();
    cr_assert(f.m_promotion.is_idle());
    cr_assert_not(f.sent<promote_endpoint>().has_value());
}

// The holder before may have sent a promotion that still takes effect.
Test(promotion, a_group_left_moving_is_never_given_back)
{
    promotion_fixture f;
    f.m_inputs.m_leadership = fleet::leadership_row();
    f.m_inputs.m_leadership->m_group = base::group_id("g");
    f.m_inputs.m_leadership->m_generation = 3;
    f.m_inputs.m_leadership->m_phase = fleet::leadership_phase::moving;
    f.m_inputs.m_leadership->m_primary = old_primary;
    f.step();
    f.apply();
    f.step();
    cr_assert_eq(f.m_promotion.state(), "releasing");
    f.m_inputs.m_primary_answers = true;
    f.step();
    cr_assert_eq(f.m_promotion.state(), "releasing");
}

Test(promotion, a_planned_change_is_not_called_off_by_an_answer)
{
    promotion_fixture f;
    f.m_inputs.m_need = need::planned;
    f.step();
    f.apply();
    f.step();
    f.m_inputs.m_primary_answers = true;
    f.step();
    cr_assert_eq(f.m_promotion.state(), "releasing");
}

Test(assessment, a_few_hosts_that_are_cut_off_do_not_depose_a_primary)
{
    const primary_condition cut_off{false, false, absl::Seconds(2)};
    const std::vector<absl::Duration> fine(7, absl::ZeroDuration());
    cr_assert_eq(assess(cut_off, fine), need::none);
}

Test(assessment, a_third_of_the_hosts_deposes_a_primary)
{
    const primary_condition cut_off{false, false, absl::Seconds(2)};
    std::vector<absl::Duration> others(7, absl::ZeroDuration());
    others[0] = absl::Seconds(1);
    others[1] = absl::Seconds(1);
    cr_assert_eq(assess(cut_off, others), need::failed);
}

Test(assessment, a_leaving_primary_that_answers_is_replaced_as_planned)
{
    cr_assert_eq(assess({false, true, absl::ZeroDuration()}, {}),
                 need::planned);
}
