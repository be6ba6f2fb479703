// Promotions of groups whose commits wait for synchronous replicas: an
// acknowledged commit has to be in the log of whoever leads next.
#include "promotion_fixture.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using namespace handover_test;

namespace
{

struct sync_fixture : promotion_fixture
{
    explicit sync_fixture(std::uint32_t sync_replicas = 1)
    {
        m_inputs.m_holders.m_sync_replicas = sync_replicas;
        m_inputs.m_holders.m_listed = {{old_primary}, {first}, {second}};
        m_inputs.m_holders.m_listed_at = far_future;
        set_row(fleet::leadership_phase::serving, 1);
    }

    static constexpr rpc::store_instant far_future{1'000'000'000};

    commit_holder& holder(const base::endpoint_id& id)
    {
        return *std::find_if(m_inputs.m_holders.m_listed.begin(),
                             m_inputs.m_holders.m_listed.end(),
                             [&id](const auto& item)
                             {
                                 return item.m_endpoint == id;
                             });
    }

    // A listed endpoint that may lead only when nobody else can.
    void avoid(const base::endpoint_id& id)
    {
        holder(id).m_avoided = true;
        std::erase(m_inputs.m_candidates, id);
    }

    // The endpoint's entry has gone before the old primary's end.
    void lose(const base::endpoint_id& id,
              std::optional<base::log_point> covered_by = {})
    {
        std::erase(m_inputs.m_candidates, id);
        std::erase_if(m_inputs.m_holders.m_listed,
                      [&id](const auto& item)
                      {
                          return item.m_endpoint == id;
                      });
        lost_replica lost;
        lost.m_entry.m_id = id;
        lost.m_covered_by = covered_by;
        m_inputs.m_holders.m_lost.push_back(lost);
    }

    // The endpoint that is asked to lead; empty when none is.
    std::string promoted()
    {
        step();
        const auto found = sent<promote_endpoint>();
        return found ? found->m_endpoint.str() : "";
    }

    bool asks(const base::endpoint_id& id) const
    {
        return std::any_of(m_actions.begin(), m_actions.end(),
                           [&id](const promotion_action& action)
                           {
                               const auto* ask =
                                   std::get_if<ask_report>(&action);
                               return ask != nullptr && ask->m_endpoint == id;
                           });
    }
};

base::log_point point(std::uint64_t term, std::uint64_t position)
{
    return {base::term(term), base::log_position(position)};
}

} // namespace

// review/6: a replica that refused its report as busy counted as one without
// commits, and the other one, which lacked them, was promoted after 250 ms.
Test(sync_replicas, a_replica_that_does_not_report_may_have_commits)
{
    sync_fixture f;
    f.reach_choice();
    f.report(first, false, 1, 1, 90);
    f.run(absl::Seconds(20));
    cr_assert_eq(f.m_promotion.state(), "choosing");
    cr_assert(f.m_promotion.awaited() ==
              std::vector<base::endpoint_id>{second});
    f.report(second, false, 1, 1, 95);
    cr_assert_eq(f.promoted(), "second");
    cr_assert(f.m_promotion.awaited().empty());
}

// The wait for all reports must not slow down groups that need none of it.
Test(sync_replicas, without_them_a_report_is_waited_for_briefly)
{
    sync_fixture f(0);
    f.reach_choice();
    f.report(first, false, 1, 1, 90);
    f.step(absl::Milliseconds(200));
    cr_assert_eq(f.promoted(), "first");
}

// With two synchronous replicas each commit is at one that has reported, when
// one of the three has not.
Test(sync_replicas, one_of_more_copies_may_be_unknown)
{
    sync_fixture f(2);
    f.m_inputs.m_holders.m_listed.push_back({base::endpoint_id("third")});
    f.reach_choice();
    f.report(first, false, 1, 1, 90);
    f.run(absl::Seconds(1));
    cr_assert_eq(f.m_promotion.state(), "choosing");
    f.report(second, false, 1, 1, 95);
    cr_assert_eq(f.promoted(), "second");
}

// A report that was asked for while hosts could still commit at the old primary
// lacks what was acknowledged afterwards.
Test(sync_replicas, a_report_from_before_the_release_is_no_evidence)
{
    sync_fixture f;
    f.step();
    f.apply();
    f.step();
    const base::instant before = f.m_now;
    f.m_inputs.m_released = true;
    f.step();
    cr_assert_eq(f.m_promotion.state(), "choosing");
    f.report_asked(before, first, false, 1, 1, 90);
    f.report(second, false, 1, 1, 95);
    f.run(absl::Seconds(1));
    cr_assert_eq(f.m_promotion.state(), "choosing");
    f.report(first, false, 1, 1, 96);
    cr_assert_eq(f.promoted(), "first");
}

// A replica that joined after the list had been read may be the only one with
// the last commits.
Test(sync_replicas, a_list_from_before_the_release_is_no_evidence)
{
    sync_fixture f;
    f.m_inputs.m_holders.m_listed_at = f.m_inputs.m_store_latest;
    f.reach_choice();
    f.report(first, false, 1, 1, 90);
    f.report(second, false, 1, 1, 95);
    f.run(absl::Seconds(1));
    cr_assert_eq(f.m_promotion.state(), "choosing");
    cr_assert(f.m_promotion.awaits_list());
    f.m_inputs.m_holders.m_listed_at = f.m_inputs.m_store_latest;
    cr_assert_eq(f.promoted(), "second");
    cr_assert_not(f.m_promotion.awaits_list());
}

// review/8: a replica that drained was no candidate, so its log was not asked
// for, and one without the acknowledged commits was promoted.
Test(sync_replicas, an_avoided_replica_with_more_commits_leads)
{
    sync_fixture f;
    f.avoid(first);
    f.reach_choice();
    cr_assert(f.asks(first));
    f.report(second, false, 1, 1, 90);
    f.run(absl::Milliseconds(500));
    cr_assert_eq(f.m_promotion.state(), "choosing");
    f.report(first, false, 1, 1, 95);
    cr_assert_eq(f.promoted(), "first");
}

// A replica that drains would have to be replaced again soon.
Test(sync_replicas, of_equal_logs_the_one_that_stays_leads)
{
    sync_fixture f;
    f.avoid(first);
    f.reach_choice();
    f.report(first, false, 1, 1, 95);
    f.report(second, false, 1, 1, 95);
    cr_assert_eq(f.promoted(), "second");
}

// A replica that is gone may have been the only one with a commit.
Test(sync_replicas, a_lost_replica_is_waited_for)
{
    sync_fixture f;
    f.lose(first);
    f.reach_choice();
    f.report(second, false, 1, 1, 90);
    f.run(absl::Seconds(20));
    cr_assert_eq(f.m_promotion.state(), "choosing");
    cr_assert(f.m_promotion.awaited() == std::vector<base::endpoint_id>{first});
}

// Without this a group could not replace its primary any more once one of its
// replicas is gone for good.
Test(sync_replicas, a_lost_replica_is_not_needed_once_another_has_its_log)
{
    sync_fixture f;
    f.lose(first, point(1, 80));
    f.reach_choice();
    f.report(second, false, 1, 1, 79);
    f.run(absl::Seconds(1));
    cr_assert_eq(f.m_promotion.state(), "choosing");
    f.report(second, false, 1, 1, 80);
    cr_assert_eq(f.promoted(), "second");
}

// Soak seed 945: a replica whose entry was gone ran again while the store was
// away, received more commits and crashed; another one with all from before the
// loss was promoted without them.
Test(sync_replicas, a_lost_replica_may_have_received_commits_since_its_loss)
{
    sync_fixture f;
    f.lose(first, point(1, 80));
    f.m_inputs.m_holders.m_shown_end = point(1, 95);
    f.reach_choice();
    f.report(second, false, 1, 1, 80);
    f.run(absl::Seconds(1));
    cr_assert_eq(f.m_promotion.state(), "choosing");
    f.report(second, false, 1, 1, 95);
    cr_assert_eq(f.promoted(), "second");
}

// The old primary has every commit that it acknowledged, whoever else is
// silent.
Test(sync_replicas, the_old_primary_that_is_back_ends_the_wait)
{
    sync_fixture f;
    f.reach_choice();
    f.report(first, false, 1, 1, 90);
    f.run(absl::Seconds(1));
    cr_assert_eq(f.m_promotion.state(), "choosing");
    f.report(old_primary, true, 1, 1, 95);
    cr_assert_eq(f.promoted(), "old");
}

// With the old primary's own log known, a replica that has all of it may lead.
Test(sync_replicas, a_replica_with_the_old_primarys_log_leads)
{
    sync_fixture f;
    f.avoid(old_primary);
    f.reach_choice();
    f.report(first, false, 1, 1, 95);
    f.report(old_primary, true, 1, 1, 95);
    f.step(absl::Milliseconds(300));
    cr_assert_eq(f.sent<promote_endpoint>()->m_endpoint, first);
}

// An old primary that comes back as a replica may have been rolled back, so it
// proves nothing; the replicas decide.
Test(sync_replicas, an_old_primary_that_follows_is_no_evidence)
{
    sync_fixture f;
    f.reach_choice();
    f.report(old_primary, false, 1, 1, 95);
    f.report(first, false, 1, 1, 90);
    f.run(absl::Seconds(1));
    cr_assert_eq(f.m_promotion.state(), "choosing");
}

// A holder was lost after its promotion of the one endpoint with all commits
// had taken effect; nobody can have written there since.
Test(sync_replicas, an_endpoint_that_leads_a_newer_term_is_taken)
{
    sync_fixture f;
    f.set_row(fleet::leadership_phase::moving, 1);
    f.reach_choice();
    f.report(first, true, 2, 1, 95);
    f.step(absl::Milliseconds(300));
    cr_assert_eq(f.sent<promote_endpoint>()->m_endpoint, first);
}

// A primary of an older term does not know what was acknowledged since.
Test(sync_replicas, a_primary_of_an_older_term_is_no_evidence)
{
    sync_fixture f;
    f.set_row(fleet::leadership_phase::serving, 3);
    f.reach_choice();
    f.report(first, true, 2, 2, 95);
    f.run(absl::Seconds(20));
    cr_assert_eq(f.m_promotion.state(), "choosing");
    cr_assert(f.m_promotion.awaited() ==
              std::vector<base::endpoint_id>{second});
}

// The candidate that was chosen first did not run; the evidence is asked for
// anew.
Test(sync_replicas, a_refused_promotion_does_not_lower_the_evidence)
{
    sync_fixture f;
    f.reach_choice();
    f.report(first, false, 1, 1, 90);
    f.report(second, false, 1, 1, 95);
    cr_assert_eq(f.promoted(), "second");
    f.m_promotion.promote_ended(false, f.m_now);
    f.step();
    f.report(first, false, 1, 1, 90);
    f.run(absl::Seconds(2));
    cr_assert_eq(f.m_promotion.state(), "choosing");
    cr_assert(f.m_promotion.awaited() ==
              std::vector<base::endpoint_id>{second});
}

// The operator's way out when an endpoint never returns: what is there leads.
Test(sync_replicas, a_configuration_without_them_ends_the_wait)
{
    sync_fixture f;
    f.reach_choice();
    f.report(first, false, 1, 1, 90);
    f.run(absl::Seconds(1));
    cr_assert_eq(f.m_promotion.state(), "choosing");
    f.m_inputs.m_holders = {};
    cr_assert_eq(f.promoted(), "first");
}

// A configuration that asks for them while the reports are collected binds the
// choice as if it had been there before.
Test(sync_replicas, a_configuration_with_them_binds_a_running_change)
{
    sync_fixture f(0);
    const commit_holders none = f.m_inputs.m_holders;
    f.reach_choice();
    f.report(first, false, 1, 1, 90);
    f.m_inputs.m_holders = none;
    f.m_inputs.m_holders.m_sync_replicas = 1;
    f.run(absl::Seconds(1));
    cr_assert_eq(f.m_promotion.state(), "choosing");
}

// A planned change promoted a replica that was behind once its wait for one
// that had caught up was over.
Test(sync_replicas,
     a_planned_change_never_promotes_a_replica_that_lacks_commits)
{
    sync_fixture f;
    f.avoid(old_primary);
    f.m_inputs.m_need = need::planned;
    f.lose(second);
    f.reach_choice();
    f.report(old_primary, true, 1, 1, 95);
    f.report(first, false, 1, 1, 90);
    f.step();
    cr_assert_eq(f.m_promotion.state(), "choosing");
    f.run(absl::Milliseconds(1100));
    cr_assert_eq(f.m_promotion.state(), "promoting");
    // The primary itself goes on.
    f.m_promotion.promote_ended(true, f.m_now);
    f.step();
    f.report(old_primary, true, 1, 1, 95);
    f.step();
    f.apply();
    cr_assert_eq(f.m_inputs.m_leadership->m_primary, old_primary);
}

// Writes would stop for a replica that receives nothing, although the primary
// still serves.
Test(sync_replicas, a_planned_change_begins_when_a_replica_follows)
{
    sync_fixture f;
    f.avoid(old_primary);
    f.m_inputs.m_need = need::planned;
    f.m_inputs.m_primary_may_stay = true;
    for (int count = 0; count < 40; ++count)
    {
        f.step();
        cr_assert_not(f.sent<change_rows>().has_value());
        f.report(old_primary, true, 1, 1, 95);
        f.report(first, false, 1, 1, 90);
    }
    f.report(first, false, 1, 1, 95);
    f.step();
    cr_assert(f.sent<change_rows>().has_value());
}

// While commits keep coming no replica is exactly level with the primary.
Test(sync_replicas, a_replica_that_has_what_the_primary_had_before_follows)
{
    sync_fixture f;
    f.avoid(old_primary);
    f.m_inputs.m_need = need::planned;
    f.m_inputs.m_primary_may_stay = true;
    f.step();
    f.report(old_primary, true, 1, 1, 95);
    f.report(first, false, 1, 1, 93);
    f.run(absl::Milliseconds(550));
    cr_assert_not(f.sent<change_rows>().has_value());
    f.report(old_primary, true, 1, 1, 99);
    f.report(first, false, 1, 1, 97);
    f.step();
    cr_assert(f.sent<change_rows>().has_value());
}

// A primary whose entry is gone cannot be asked, and may end at any moment.
Test(sync_replicas, a_planned_change_of_an_unlisted_primary_begins_at_once)
{
    sync_fixture f;
    f.m_inputs.m_need = need::planned;
    f.step();
    cr_assert(f.sent<change_rows>().has_value());
}
