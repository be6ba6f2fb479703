// Terms, seals, promotion and replication in a group of three.
#include "simulation.hpp"

#include <map>

#include <criterion/criterion.h>

using namespace magnoliastack;
using namespace magnoliastack::standin;
using rpc::call_outcome;
using rpc::endpoint_role;

namespace
{

constexpr absl::Duration settled = absl::Milliseconds(300);

void isolate(simulation& group, std::size_t node, bool cut)
{
    for (std::size_t other = 0; other < 3; ++other)
        if (other != node)
            group.set_cut(node, other, cut);
}

} // namespace

// Guards against a replica that misses a write or shows it too early.
Test(replication, apply_delay_and_replication_delay_are_separate)
{
    simulation group(3, 1,
                     [](std::size_t node, endpoint_options& options)
                     {
                         if (node == 1)
                             options.m_replication_delay =
                                 absl::Milliseconds(200);
                         if (node == 2)
                             options.m_apply_delay = absl::Milliseconds(200);
                     });
    group.open(0, 1);
    group.run_for(absl::Seconds(1));
    group.call(0, 1, 1, put("a", "1", request(1)));
    group.run_for(absl::Milliseconds(100));
    cr_assert_eq(group.status(1).m_held.m_position.value(), 1u);
    cr_assert_eq(group.status(2).m_held.m_position.value(), 2u);
    cr_assert_eq(group.status(2).m_applied.value(), 1u);
    group.run_for(absl::Milliseconds(150));
    cr_assert_eq(group.status(1).m_applied.value(), 2u);
    cr_assert_eq(group.status(2).m_applied.value(), 2u);
    cr_assert(group.status(1).m_primary_contact_age < absl::Milliseconds(100));
}

// Guards against a delay that limits the number of entries on the way.
Test(replication, a_delayed_replica_lags_by_the_delay_under_steady_writes)
{
    simulation group(3, 1,
                     [](std::size_t, endpoint_options& options)
                     {
                         options.m_replication_delay = absl::Milliseconds(200);
                     });
    group.open(0, 1);
    group.run_for(absl::Seconds(1));
    for (std::uint64_t call = 1; call <= 400; ++call)
        group.call(0, 1, call, put("a", "1", request(call)));
    group.run_for(absl::Milliseconds(700));
    const auto lag = group.status(0).m_held.m_position.value() -
                     group.status(1).m_held.m_position.value();
    cr_assert(lag >= 95 && lag <= 110, "lag is %lu entries, expected 200 ms",
              static_cast<unsigned long>(lag));
}

// Guards against a sealed old primary that still acknowledges a write.
Test(promotion, a_sealed_endpoint_refuses_writes_and_entries_of_an_old_term)
{
    simulation group(3);
    group.open(0, 1);
    group.run_for(settled);
    cr_assert(group.seal(1, 2, "h1"));
    group.call(0, 1, 1, put("a", "1", request(1)));
    group.run_for(settled);
    cr_assert_eq(group.status(2).m_held.m_position.value(), 2u);
    cr_assert_eq(group.status(1).m_held.m_position.value(), 1u);
    cr_assert(group.status(1).m_role == endpoint_role::sealed);
    cr_assert(group.seal(0, 2, "h1"));
    group.call(0, 1, 2, put("a", "2", request(2)));
    group.run_for(settled);
    cr_assert(group.end_of(1, 2).m_outcome == call_outcome::wrong_term);
}

// Guards against entries of an old term that were on the way when the seal
// came.
Test(promotion, entries_on_the_way_are_dropped_by_a_seal)
{
    simulation group(3, 1,
                     [](std::size_t, endpoint_options& options)
                     {
                         options.m_replication_delay = absl::Milliseconds(50);
                     });
    group.open(0, 1);
    group.run_for(settled);
    group.call(0, 1, 1, put("a", "1", request(1)));
    group.run_for(absl::Milliseconds(20));
    cr_assert(group.seal(1, 2, "h1"));
    group.run_for(settled);
    cr_assert_eq(group.status(1).m_held.m_position.value(), 1u);
    cr_assert_eq(group.status(2).m_held.m_position.value(), 2u);
}

// Guards against a write that was in a slot when the seal came.
Test(promotion, a_write_in_a_slot_does_not_survive_a_seal)
{
    simulation group(1);
    group.open(0, 1);
    group.run_for(settled);
    group.call(0, 1, 1, put("a", "1", request(1)));
    cr_assert(group.seal(0, 2, "h1"));
    group.run_for(settled);
    cr_assert(group.end_of(1, 1).m_outcome == call_outcome::wrong_term);
    cr_assert_eq(group.model(0).log().held().m_position.value(), 1u);
}

// Guards against two primaries of one term.
Test(promotion, one_of_two_promoters_wins_a_term)
{
    simulation group(3);
    group.run_for(settled);
    cr_assert(group.seal(1, 2, "h1"));
    cr_assert(group.seal(2, 2, "h2"));
    cr_assert_not(group.seal(1, 2, "h2"));
    cr_assert(group.seal(0, 2, "h2"));
    cr_assert_not(group.seal(0, 2, "h1"));
    cr_assert_not(group.promote(1, 2, "h2"));
    cr_assert(group.promote(2, 2, "h2"));
    cr_assert(group.promote(2, 2, "h2"), "a repeated promote is confirmed");
    group.run_for(settled);
    for (std::size_t node = 0; node < 3; ++node)
        cr_assert_eq(group.status(node).m_accepted_term.value(), 2u);
    cr_assert(group.status(0).m_role == endpoint_role::replica);
    cr_assert_not(group.promote(1, 2, "h1"),
                  "the term has a primary that e1 follows");
}

// Guards against a promoter that wins term 1 at members which have not yet
// heard from the initial primary.
Test(promotion, term_one_belongs_to_the_initial_primary)
{
    simulation group(3);
    cr_assert_not(group.seal(1, 1, "h1"));
    cr_assert_not(group.promote(1, 1, ""));
}

// Guards against an endpoint that is promoted without a seal for that term.
Test(promotion, promote_needs_exactly_its_seal)
{
    simulation group(3);
    cr_assert_not(group.promote(1, 2, "h1"));
    cr_assert(group.seal(1, 3, "h1"));
    cr_assert_not(group.promote(1, 2, "h1"));
    cr_assert_not(group.seal(1, 2, "h2"));
    cr_assert_not(group.seal(0, 1, "h1"), "term 1 is accepted already");
}

// Guards against a returning old primary that keeps entries which the group
// never committed, or their rows and records.
Test(promotion, a_returning_old_primary_drops_its_tail)
{
    simulation group(3);
    group.open(0, 1);
    group.call(0, 1, 1, add("dues", 1, request(1)));
    group.run_for(settled);
    isolate(group, 0, true);
    for (std::uint64_t call = 2; call <= 6; ++call)
        group.call(0, 1, call, add("dues", 1, request(call)));
    group.run_for(settled);
    cr_assert_eq(group.status(0).m_held.m_position.value(), 7u);
    group.seal(1, 2, "h1");
    group.seal(2, 2, "h1");
    cr_assert(group.promote(1, 2, "h1"));
    group.open(1, 2);
    group.call(1, 2, 1, add("dues", 10, request(2), 2));
    group.run_for(settled);
    isolate(group, 0, false);
    group.run_for(absl::Seconds(2));
    cr_assert(group.model(0).log().entries() == group.model(1).log().entries());
    cr_assert(group.status(0).m_role == endpoint_role::replica);
    cr_assert_eq(group.model(0).log().rows().at("dues"), "11");
    cr_assert(group.model(0).log().record_of(request(3)) == nullptr);
    cr_assert_eq(group.status(0).m_term_start.value(), 3u);
}

// Guards against a promotion without a term-start entry, by which hosts know
// that a majority follows the new term.
Test(promotion, a_new_term_begins_with_an_entry_of_its_own)
{
    simulation group(3);
    group.run_for(settled);
    group.seal(1, 2, "h1");
    group.seal(2, 2, "h1");
    group.promote(1, 2, "h1");
    const log_entry& start = group.model(1).log().entries().back();
    cr_assert(start.m_point ==
              (base::log_point{base::term(2), base::log_position(2)}));
    cr_assert_not(start.m_record.has_value());
    cr_assert_eq(group.status(1).m_term_start.value(), 2u);
    group.run_for(settled);
    cr_assert_eq(group.status(2).m_term_start.value(), 2u);
}

// Guards against a replica that reports a term start which it does not hold
// yet: copies of an older term's entry would look committed, and the endpoint
// with the longer log of the term in between replaces them.
Test(promotion, an_older_entry_without_the_term_start_can_still_be_replaced)
{
    simulation group(3, 1,
                     [](std::size_t, endpoint_options& options)
                     {
                         options.m_pull_entries = 1;
                     });
    group.open(0, 1);
    group.run_for(settled);
    isolate(group, 0, true);
    group.call(0, 1, 1, put("lost", "1", request(1)));
    group.run_for(settled);
    isolate(group, 1, true);
    group.seal(1, 2, "h1");
    group.seal(2, 2, "h1");
    cr_assert(group.promote(1, 2, "h1"));
    group.seal(0, 3, "h2");
    group.seal(2, 3, "h2");
    cr_assert(group.promote(0, 3, "h2"));
    group.set_cut(0, 2, false);
    while (group.status(2).m_held.m_position.value() < 2)
        group.run_for(absl::Microseconds(50));
    const rpc::endpoint_status copy = group.status(2);
    cr_assert_eq(copy.m_accepted_term.value(), 3u);
    cr_assert_eq(group.status(0).m_term_start.value(), 3u);
    cr_assert_eq(copy.m_term_start.value(), 0u);

    isolate(group, 0, true);
    group.set_cut(1, 2, false);
    group.seal(1, 4, "h1");
    group.seal(2, 4, "h1");
    cr_assert(group.status(1).m_held > copy.m_held);
    cr_assert(group.promote(1, 4, "h1"));
    isolate(group, 0, false);
    group.run_for(absl::Seconds(1));
    for (std::size_t node = 0; node < 3; ++node)
        cr_assert_not(group.model(node).log().rows().contains("lost"));
}

// Guards against a replica that drops entries which the new primary has, only
// because its pull was asked before it received them.
Test(replication, a_late_answer_drops_nothing_that_the_primary_has)
{
    endpoint_options options;
    options.m_endpoint = base::endpoint_id("e1");
    options.m_members = {base::endpoint_id("e0"), base::endpoint_id("e2")};
    const base::instant now = base::instant::from_nanoseconds(1'000'000'000);
    endpoint_model replica(options, now);
    std::map<base::endpoint_id, std::uint64_t> pulls;
    for (const endpoint_action& action : replica.tick(now))
        pulls[std::get<send_pull>(action).m_to] =
            std::get<send_pull>(action).m_number;
    pull_answer all{true, base::term(1), false, {}, {}, base::log_position(1)};
    for (std::uint64_t position = 1; position <= 5; ++position)
        all.m_entries.push_back(
            {{base::term(1), base::log_position(position)}, {}, {}});
    pull_answer first_two = all;
    first_two.m_term = base::term(2);
    first_two.m_term_start = base::log_position(6);
    first_two.m_entries.resize(2);
    replica.pull_answered(options.m_members[0], pulls[options.m_members[0]],
                          all, now);
    cr_assert_eq(replica.log().held().m_position.value(), 5u);
    replica.pull_answered(options.m_members[1], pulls[options.m_members[1]],
                          first_two, now);
    cr_assert_eq(replica.log().held().m_position.value(), 5u);
    cr_assert_eq(replica.status(now).m_accepted_term.value(), 1u);
}

// Guards against an outcome of an earlier term reported as a point of that
// term, which looks like a late answer, and against a second run.
Test(promotion, a_record_is_found_after_a_failover)
{
    simulation group(3);
    group.open(0, 1);
    group.call(0, 1, 1, add("dues", 1, request(1)));
    group.run_for(settled);
    group.seal(1, 2, "h1");
    group.seal(2, 2, "h1");
    group.promote(1, 2, "h1");
    group.open(1, 2);
    group.call(1, 2, 1, add("dues", 1, request(1), 2));
    group.call(1, 2, 2, fence(request(1), 0, 2));
    group.run_for(settled);
    for (const std::uint64_t call : {1, 2})
    {
        cr_assert(group.end_of(2, call).m_repeated);
        cr_assert(group.end_of(2, call).m_point ==
                  (base::log_point{base::term(2), base::log_position(2)}));
    }
    cr_assert_eq(group.model(1).log().rows().at("dues"), "1");
}

// Guards against a replica that stays with an old primary that it still
// reaches although a newer one exists.
Test(replication, a_replica_leaves_a_primary_of_an_older_term)
{
    simulation group(3);
    group.run_for(settled);
    group.set_cut(0, 1, true);
    // e2 follows e0 and is not sealed; e0 is not reached by the promoter.
    group.seal(1, 2, "h1");
    group.promote(1, 2, "h1");
    group.run_for(settled);
    cr_assert_eq(group.status(2).m_accepted_term.value(), 2u);
}

// Guards against state that a crash must not lose: seal, log and term.
Test(replication, a_restarted_endpoint_keeps_its_log_and_seal)
{
    simulation group(3);
    group.open(0, 1);
    group.call(0, 1, 1, put("a", "1", request(1)));
    group.run_for(settled);
    isolate(group, 2, true);
    group.seal(2, 2, "h1");
    group.crash(2);
    group.restart(2);
    isolate(group, 2, false);
    group.run_for(settled);
    cr_assert(group.status(2).m_role == endpoint_role::sealed);
    cr_assert_eq(group.status(2).m_held.m_position.value(), 2u);
    cr_assert_eq(group.model(2).log().rows().at("a"), "1");
    cr_assert_not(group.seal(2, 2, "h2"));
}
