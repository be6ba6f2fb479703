#include "../group/view_fixture.hpp"
#include "magnoliastack/failover/controller.hpp"
#include "magnoliastack/failover/promoter_rank.hpp"

#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace magnoliastack::failover;
using namespace magnoliastack::group;
namespace base = magnoliastack::base;
namespace rpc = magnoliastack::rpc;

namespace
{

// One host's controller with its view; other hosts report what the test says.
struct failover_fixture : view_fixture
{
    // The first promoter of term 1 among the three hosts used here.
    base::host_id m_self = first_host();
    controller m_controller{
        base::group_id("g"), m_self, {endpoint(0), endpoint(1), endpoint(2)}};
    evidence_list m_evidence;
    absl::Duration m_contact_age = absl::Seconds(1);
    std::vector<action> m_actions;

    failover_fixture()
    {
        m_evidence.push_back({m_self, base::failure_domain_id("d0"), true, {}});
        rounds(20, {status_at(0, 1, 5), replica(1), replica(2)});
    }

    static base::host_id first_host()
    {
        const std::vector<base::host_id> hosts = other_hosts(base::host_id());
        for (const auto& host : hosts)
        {
            if (promoter_rank(host, hosts, base::group_id("g"),
                              base::term(1)) == 0)
                return host;
        }
        return {};
    }

    static std::vector<base::host_id> other_hosts(const base::host_id& self)
    {
        std::vector<base::host_id> hosts;
        for (const char* name : {"h0", "h1", "h2"})
        {
            if (self.str() != name)
                hosts.emplace_back(name);
        }
        return hosts;
    }

    [[nodiscard]] rpc::endpoint_status replica(int index) const
    {
        auto status = status_at(index, 1, 5);
        status.m_primary_contact_age = m_contact_age;
        return status;
    }

    // The other host number `index` reports the primary of term 1.
    void report(int index, const char* failure_domain, bool unreachable)
    {
        rpc::group_observation seen;
        seen.m_group = base::group_id("g");
        seen.m_term = base::term(1);
        seen.m_primary_unreachable = unreachable;
        seen.m_majority_reachable = true;
        m_evidence.push_back({other_hosts(m_self)[index],
                              base::failure_domain_id(failure_domain), true,
                              seen});
    }

    // Rounds and ticks; the actions of the last tick that had any stay.
    void run(absl::Duration length,
             const std::vector<rpc::endpoint_status>& answers)
    {
        const base::instant end = m_now + length;
        while (m_now < end)
        {
            round(answers);
            keep(m_controller.tick(m_view, m_evidence, m_now));
        }
    }

    void lose_primary(absl::Duration length)
    {
        run(length, {replica(1), replica(2)});
    }

    void keep(std::vector<action> actions)
    {
        if (!actions.empty())
            m_actions = std::move(actions);
    }

    // Answers a seal of `target` at an endpoint that holds term 1's log.
    void answer_seal(int index, std::uint64_t target, std::uint64_t held,
                     bool taken = true, bool leaving = false)
    {
        auto status = status_at(index, 1, held);
        status.m_sealed_term = base::term(taken ? target : target + 3);
        status.m_leaving = leaving;
        keep(m_controller.seal_answered(endpoint(index), base::term(target),
                                        rpc::control_answer{taken, status},
                                        m_now));
    }

    [[nodiscard]] int seals(std::uint64_t target) const
    {
        int count = 0;
        for (const action& item : m_actions)
        {
            const auto* seal = std::get_if<send_seal>(&item);
            if (seal != nullptr && seal->m_term == base::term(target))
                ++count;
        }
        return count;
    }

    [[nodiscard]] bool promotes(int index, std::uint64_t target) const
    {
        const auto* first = std::get_if<send_promote>(&m_actions.front());
        return first != nullptr && first->m_endpoint == endpoint(index) &&
               first->m_term == base::term(target);
    }

    // Ends in the state in which all members were asked to seal term 2.
    void start_attempt()
    {
        report(0, "d1", true);
        lose_primary(absl::Milliseconds(700));
        cr_assert_eq(seals(2), 3);
    }
};

} // namespace

// Guards against hosts of one failure domain, which a partition can isolate
// together, deposing a primary within 2 s.
Test(suspicion, one_failure_domain_deposes_a_primary)
{
    failover_fixture fleet;
    fleet.report(0, "d0", true);
    fleet.report(1, "d1", false);
    fleet.lose_primary(absl::Seconds(2));
    cr_assert(fleet.m_actions.empty());
    fleet.m_evidence.pop_back();
    fleet.report(1, "d1", true);
    fleet.lose_primary(absl::Milliseconds(50));
    cr_assert_eq(fleet.seals(2), 3);
}

// Guards against deposing a primary that its replicas still hear, and against
// keeping one that most hosts have not reached for 2 s.
Test(suspicion, a_primary_that_replicates_is_deposed_early_or_never)
{
    failover_fixture fleet;
    fleet.m_contact_age = absl::Milliseconds(20);
    fleet.report(0, "d1", true);
    fleet.lose_primary(absl::Milliseconds(1900));
    cr_assert(fleet.m_actions.empty());
    fleet.lose_primary(absl::Milliseconds(1000));
    cr_assert_eq(fleet.seals(2), 3);
}

// Guards against a host that acts on evidence from before its own pause.
Test(suspicion, a_paused_host_deposes_a_primary)
{
    failover_fixture fleet;
    fleet.report(0, "d1", true);
    fleet.run(absl::Milliseconds(500),
              {status_at(0, 1, 5), fleet.replica(1), fleet.replica(2)});
    fleet.m_now = fleet.m_now + absl::Seconds(3);
    fleet.lose_primary(absl::Milliseconds(550));
    cr_assert(fleet.m_actions.empty());
    fleet.lose_primary(absl::Milliseconds(200));
    cr_assert_eq(fleet.seals(2), 3);
}

// Guards against two hosts that promote at the same time.
Test(suspicion, a_later_rank_does_not_wait)
{
    failover_fixture fleet;
    const auto second = failover_fixture::other_hosts(fleet.m_self);
    const std::size_t rank =
        promoter_rank(second[0], {fleet.m_self, second[0], second[1]},
                      base::group_id("g"), base::term(1));
    cr_assert_geq(rank, 1U);
    fleet.m_controller = controller(base::group_id("g"), second[0],
                                    {endpoint(0), endpoint(1), endpoint(2)});
    fleet.report(0, "d1", true);
    fleet.report(1, "d2", true);
    fleet.m_evidence[0].m_observation = fleet.m_evidence[1].m_observation;
    const absl::Duration wait =
        absl::Milliseconds(400) * static_cast<double>(rank);
    fleet.lose_primary(absl::Milliseconds(550) + wait);
    cr_assert(fleet.m_actions.empty());
    fleet.lose_primary(absl::Milliseconds(200));
    cr_assert_eq(fleet.seals(2), 3);
}

// Guards against the promotion of an endpoint that lacks acknowledged writes,
// or of a leaving one where another is as good.
Test(promotion, the_shorter_log_is_promoted)
{
    failover_fixture fleet;
    fleet.start_attempt();
    fleet.answer_seal(1, 2, 8);
    cr_assert_eq(fleet.m_controller.state(), "sealing");
    fleet.answer_seal(2, 2, 9);
    cr_assert(fleet.promotes(2, 2));

    failover_fixture tied;
    tied.start_attempt();
    tied.answer_seal(1, 2, 9, true, true);
    tied.answer_seal(2, 2, 9);
    cr_assert(tied.promotes(2, 2));
}

// Guards against a second choice in a term whose first choice may have become
// primary although its answer was lost.
Test(promotion, a_lost_answer_gives_a_term_two_primaries)
{
    failover_fixture fleet;
    fleet.start_attempt();
    fleet.answer_seal(1, 2, 9);
    fleet.answer_seal(2, 2, 8);
    fleet.keep(fleet.m_controller.promote_answered(
        endpoint(1), base::term(2),
        base::fail(base::error_code::unavailable, "connection lost"),
        fleet.m_now));
    fleet.lose_primary(absl::Milliseconds(250));
    cr_assert(fleet.promotes(1, 2));
    fleet.lose_primary(absl::Milliseconds(300));
    cr_assert_eq(fleet.seals(3), 3);
    fleet.answer_seal(2, 2, 8);
    cr_assert_eq(fleet.m_controller.state(), "sealing");
}

// Guards against a promotion that is repeated although the view shows that it
// took effect.
Test(promotion, a_lost_answer_deposes_the_new_primary)
{
    failover_fixture fleet;
    fleet.start_attempt();
    fleet.answer_seal(1, 2, 9);
    fleet.answer_seal(2, 2, 8);
    fleet.run(absl::Milliseconds(50), {status_at(1, 2, 10, 10)});
    const auto* done = std::get_if<promoted>(&fleet.m_actions.front());
    cr_assert(done != nullptr && done->m_endpoint == endpoint(1) &&
              done->m_cause == promotion_cause::unreachable);
    cr_assert_eq(fleet.m_controller.state(), "idle");
}

// Guards against a promoter that gives up at one refusal, and against one that
// uses a term again after it lost.
Test(promotion, a_refused_term_is_tried_again)
{
    failover_fixture fleet;
    fleet.start_attempt();
    fleet.answer_seal(1, 2, 9, false);
    cr_assert_eq(fleet.m_controller.state(), "sealing");
    fleet.answer_seal(2, 2, 9, false);
    cr_assert_eq(fleet.m_controller.state(), "idle");
    fleet.lose_primary(absl::Milliseconds(350));
    cr_assert_eq(fleet.seals(6), 0);
    fleet.lose_primary(absl::Milliseconds(150));
    cr_assert_eq(fleet.seals(6), 3);
}

// Guards against a restarted process that promotes a second endpoint in a term
// that its predecessor sealed and used.
Test(promotion, a_restarted_promoter_uses_its_old_term)
{
    failover_fixture fleet;
    fleet.start_attempt();
    auto follower = status_at(2, 2, 9);
    follower.m_sealed_term = base::term(2);
    fleet.keep(fleet.m_controller.seal_answered(
        endpoint(2), base::term(2), rpc::control_answer{true, follower},
        fleet.m_now));
    cr_assert_eq(fleet.m_controller.state(), "idle");
}

// Guards against a planned change that leaves the leaving endpoint primary
// because its log is the longest.
Test(planned_change, the_leaving_primary_is_chosen_again)
{
    failover_fixture fleet;
    fleet.m_view.mark_leaving(endpoint(0), true);
    auto behind = status_at(0, 1, 7);
    fleet.run(absl::Milliseconds(200),
              {behind, fleet.replica(1), fleet.replica(2)});
    cr_assert(fleet.m_actions.empty());
    fleet.run(absl::Milliseconds(50),
              {status_at(0, 1, 5), fleet.replica(1), fleet.replica(2)});
    cr_assert_eq(fleet.seals(2), 2);
    fleet.answer_seal(1, 2, 5);
    fleet.answer_seal(2, 2, 5);
    cr_assert_eq(fleet.m_actions.size(), 2U);
    cr_assert_eq(fleet.seals(2), 1);
    cr_assert_not(fleet.promotes(0, 2));
}

// Guards against a link that fails again and again and moves the primary each
// time.
Test(damping, the_pause_between_promotions_does_not_grow)
{
    damping limit;
    base::instant now = base::instant::from_nanoseconds(1'000'000'000'000);
    for (const int seconds : {2, 4, 8, 16, 16})
    {
        limit.promotion_seen(now);
        cr_assert(limit.allowed_from() - now == absl::Seconds(seconds));
        now = now + absl::Seconds(5);
    }
    now = now + absl::Minutes(2);
    limit.promotion_seen(now);
    cr_assert(limit.allowed_from() - now == absl::Seconds(2));
}

// Guards against endpoints that a dead promoter sealed and that can follow no
// primary, and against replicas that have lost a primary that hosts reach.
Test(repair, sealed_or_lost_replicas_stay_without_a_primary)
{
    failover_fixture fleet;
    fleet.m_contact_age = absl::Milliseconds(10);
    auto sealed = fleet.replica(2);
    sealed.m_sealed_term = base::term(2);
    sealed.m_role = rpc::endpoint_role::sealed;
    fleet.run(absl::Milliseconds(1400),
              {status_at(0, 1, 5), fleet.replica(1), sealed});
    cr_assert(fleet.m_actions.empty());
    fleet.run(absl::Milliseconds(600),
              {status_at(0, 1, 5), fleet.replica(1), sealed});
    cr_assert_eq(fleet.seals(3), 3);

    failover_fixture stalled;
    stalled.m_contact_age = absl::Seconds(3);
    stalled.run(absl::Seconds(1),
                {status_at(0, 1, 5), stalled.replica(1), stalled.replica(2)});
    cr_assert_eq(stalled.seals(2), 3);
}
