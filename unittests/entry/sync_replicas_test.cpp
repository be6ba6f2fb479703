// Groups whose commits wait for a synchronous replica. In all of these tests
// the primary e0 and the replica e1 have the last acknowledged commits, and e2
// has received nothing for a while.
#include "failover.hpp"

#include "magnoliastack/fleet/rows.hpp"

#include <algorithm>
#include <functional>
#include <string>

#include <criterion/criterion.h>

using namespace entry_test;
namespace fleet = magnoliastack::fleet;

namespace
{

const base::group_id group_name("g");

struct sync_world
{
    fleet_fixture m_fleet;
    fake_group m_group;

    sync_world()
    {
        set_sync_replicas(1);
        run(absl::Seconds(1));
        // Each host has a connection by which it notices a crash.
        for (std::size_t host = 0; host < m_fleet.m_hosts.size(); ++host)
            uses_primary(m_fleet, host, 1);
    }

    void set_sync_replicas(std::uint32_t count)
    {
        auto changed = std::make_shared<catalogue::configuration>(
            *m_fleet.m_platform.m_configuration);
        changed->m_version =
            base::configuration_version(changed->m_version.value() + 1);
        changed->m_groups[group_name].m_sync_replicas = count;
        m_fleet.m_platform.configure(changed);
    }

    void run(absl::Duration span)
    {
        m_group.run(m_fleet, span);
    }
    void crash_primary()
    {
        m_group.crash_primary(m_fleet);
    }

    catalogue::endpoint_entry& entry(const std::string& name)
    {
        return *std::find_if(m_fleet.m_platform.m_entries.begin(),
                             m_fleet.m_platform.m_entries.end(),
                             [&name](const auto& item)
                             {
                                 return item.m_id.str() == name;
                             });
    }
    catalogue::endpoint_entry take_entry(const std::string& name)
    {
        const catalogue::endpoint_entry taken = entry(name);
        std::erase(m_fleet.m_platform.m_entries, taken);
        return taken;
    }

    // The endpoint that was promoted first; empty when none was.
    std::string promoted() const
    {
        const auto& asked = m_fleet.m_platform.m_promoted;
        return asked.empty() ? "" : asked.front().m_endpoint.str();
    }
    std::size_t promotions() const
    {
        return m_fleet.m_platform.m_promoted.size();
    }

    // The host that has the group's claim; none while nobody does.
    std::optional<std::size_t> holder()
    {
        const auto found =
            m_fleet.m_platform.m_rows.find(fleet::leadership_key(group_name));
        if (found == m_fleet.m_platform.m_rows.end())
            return std::nullopt;
        const auto row = fleet::decode_leadership(found->second);
        if (!row || !*row || (*row)->m_phase != fleet::leadership_phase::moving)
            return std::nullopt;
        return std::stoul((*row)->m_holder.str().substr(1));
    }
    // Its process is killed; the one after it starts without knowledge.
    void kill(std::size_t host)
    {
        m_fleet.m_hosts[host] = std::make_unique<fake_host>(
            "h" + std::to_string(host), m_fleet.m_platform, m_fleet.m_clock, 2);
    }

    std::uint64_t counted(const char* counter)
    {
        std::uint64_t sum = 0;
        for (auto& host : m_fleet.m_hosts)
            sum += host->m_metrics.counter(counter).value();
        return sum;
    }
};

} // namespace

// review/6: the replica with the commits refused its report as busy, and after
// 250 ms the other one was promoted without them.
Test(sync_replicas, a_busy_replica_is_waited_for)
{
    sync_world w;
    w.m_group.m_busy = {"e1"};
    w.crash_primary();
    w.run(absl::Seconds(8));
    cr_assert_eq(w.promotions(), 0);
    cr_assert_eq(w.counted("promotions.waiting"), 1);
    cr_assert_gt(w.counted("endpoints.reports_refused"), 5);
    w.m_group.m_busy.clear();
    w.run(absl::Seconds(2));
    cr_assert_eq(w.promoted(), "e1");
}

// The same with a replica that cannot be reached for a while.
Test(sync_replicas, an_unreachable_replica_is_waited_for)
{
    sync_world w;
    w.m_group.crash(w.m_fleet, "e1");
    w.crash_primary();
    w.run(absl::Seconds(8));
    cr_assert_eq(w.promotions(), 0);
    w.m_group.m_crashed.erase("e1");
    w.run(absl::Seconds(3));
    cr_assert_eq(w.promoted(), "e1");
}

// review/8: a replica that drains was not asked, and the other one was promoted
// without the commits that only the draining one had.
Test(sync_replicas, a_draining_replica_that_has_the_commits_leads)
{
    sync_world w;
    w.entry("e1").m_leaving = true;
    w.run(absl::Seconds(1));
    w.crash_primary();
    w.run(absl::Seconds(4));
    cr_assert_eq(w.promoted(), "e1");
    // It serves until another replica has its log.
    cr_assert_eq(w.promotions(), 1);
    w.m_group.m_received["e2"] = 95;
    w.run(absl::Seconds(8));
    cr_assert_eq(w.m_group.m_primary, "e2");
}

// An endpoint in an evacuated failure domain was left out in the same way.
Test(sync_replicas, an_evacuated_replica_may_have_commits)
{
    sync_world w;
    w.entry("e1").m_failure_domain = base::failure_domain_id("evacuated");
    w.run(absl::Seconds(1));
    w.m_fleet.m_platform.evacuate("evacuated");
    w.run(absl::Milliseconds(500));
    w.crash_primary();
    w.run(absl::Seconds(20));
    cr_assert_neq(w.promoted(), "e2");
}

// A replica whose entry has gone shortly before the primary fails may have been
// the only one with a commit.
Test(sync_replicas, a_replica_that_is_gone_from_the_list_is_waited_for)
{
    sync_world w;
    const auto entry = w.take_entry("e1");
    w.run(absl::Milliseconds(500));
    w.crash_primary();
    w.run(absl::Seconds(8));
    cr_assert_eq(w.promotions(), 0);
    w.m_fleet.m_platform.m_entries.push_back(entry);
    w.run(absl::Seconds(3));
    cr_assert_eq(w.promoted(), "e1");
}

// A replica that is gone for good must not hold back every later promotion.
Test(sync_replicas, a_lost_replica_is_forgotten_when_another_has_its_commits)
{
    sync_world w;
    w.take_entry("e1");
    w.run(absl::Milliseconds(500));
    // A write shows the primary's log after the loss; the replica has it.
    w.m_group.m_received["e0"] = w.m_group.m_received["e2"] = 100;
    cr_assert(uses_primary(w.m_fleet, 0, 7));
    w.run(absl::Seconds(1));
    w.crash_primary();
    w.run(absl::Seconds(4));
    cr_assert_eq(w.promoted(), "e2");
}

// Soak seed 945: what hosts have seen of the primary's log tells that a replica
// that is gone from the list has received commits since.
Test(sync_replicas, a_lost_replica_that_went_on_receiving_is_waited_for)
{
    sync_world w;
    w.m_group.m_received["e2"] = 100;
    const auto entry = w.take_entry("e1");
    w.run(absl::Milliseconds(2500));
    cr_assert(uses_primary(w.m_fleet, 0, 7));
    w.run(absl::Milliseconds(500));
    w.m_group.m_received["e0"] = w.m_group.m_received["e1"] = 120;
    driver caller(w.m_fleet.host(1));
    caller.start(8, "settle");
    caller.say(8, rpc::statement_kind::write, "WRITE a b");
    const auto write = caller.next_statement();
    cr_assert(write.has_value());
    caller.succeed(*write, rpc::transaction_state::idle, point(1, 120));
    w.crash_primary();
    w.run(absl::Seconds(6));
    cr_assert_eq(w.promotions(), 0);
    w.m_fleet.m_platform.m_entries.push_back(entry);
    w.run(absl::Seconds(4));
    cr_assert_eq(w.promoted(), "e1");
}

// The old primary has everything that it has acknowledged.
Test(sync_replicas, an_old_primary_that_is_back_goes_on)
{
    sync_world w;
    w.m_group.m_busy = {"e1"};
    w.crash_primary();
    w.run(absl::Seconds(3));
    cr_assert_eq(w.promotions(), 0);
    w.m_group.m_crashed.clear();
    w.run(absl::Seconds(4));
    cr_assert_eq(w.promoted(), "e0");
    cr_assert(uses_primary(w.m_fleet, 0, 7));
}

// The operator's way out when an endpoint never returns.
Test(sync_replicas, a_configuration_without_them_ends_the_wait)
{
    sync_world w;
    w.m_group.m_busy = {"e1"};
    w.crash_primary();
    w.run(absl::Seconds(3));
    cr_assert_eq(w.promotions(), 0);
    w.set_sync_replicas(0);
    w.run(absl::Seconds(1));
    cr_assert_eq(w.promoted(), "e2");
}

// Whoever takes over after a holder's loss, in whatever state that was, chooses
// by the same evidence.
Test(sync_replicas, a_takeover_loses_no_commit_in_any_state)
{
    for (int delay_ms = 250; delay_ms <= 2200; delay_ms += 50)
    {
        sync_world w;
        w.m_group.m_busy = {"e1"};
        w.crash_primary();
        bool killed = false;
        for (int passed = 0; passed < 20'000; passed += 50)
        {
            if (passed == 2000)
                w.m_group.m_busy.clear();
            if (!killed && passed >= delay_ms)
                if (const auto host = w.holder())
                {
                    w.kill(*host);
                    killed = true;
                }
            w.run(absl::Milliseconds(50));
        }
        cr_assert(killed, "no claim after %d ms", delay_ms);
        cr_assert_eq(w.m_group.m_primary, "e1", "killed after %d ms", delay_ms);
        for (const auto& asked : w.m_fleet.m_platform.m_promoted)
            cr_assert_neq(asked.m_endpoint.str(), "e2", "killed after %d ms",
                          delay_ms);
    }
}

// A primary that drains is replaced by the replica that has all its commits,
// not by the one that is behind.
Test(sync_replicas, a_planned_change_takes_the_replica_that_follows)
{
    sync_world w;
    w.entry("e0").m_leaving = true;
    w.run(absl::Seconds(8));
    cr_assert_eq(w.promoted(), "e1");
}

// Nobody follows: the primary serves on instead of leaving its commits behind.
Test(sync_replicas, a_planned_change_waits_for_a_replica_that_follows)
{
    sync_world w;
    w.m_group.m_received["e1"] = 90;
    w.entry("e0").m_leaving = true;
    w.run(absl::Seconds(5));
    cr_assert_eq(w.promotions(), 0);
    cr_assert(uses_primary(w.m_fleet, 0, 7));
    w.m_group.m_received["e1"] = 95;
    w.run(absl::Seconds(3));
    cr_assert_eq(w.promoted(), "e1");
}

// review/leaving-primary.toml (DRAIN): a replacement that was held up let a
// primary get work after the time for which it serves while it drains.
Test(sync_replicas, a_draining_primary_gets_no_work_near_its_end)
{
    sync_world w;
    w.m_group.m_received["e1"] = 90;
    w.entry("e0").m_leaving = true;
    w.run(absl::Milliseconds(6500));
    cr_assert_eq(w.promotions(), 0);
    for (std::size_t host = 0; host < w.m_fleet.m_hosts.size(); ++host)
        cr_assert_not(uses_primary(w.m_fleet, host, 7));
}

// A host that is cut off from the fleet may have a commit under way at the old
// primary when the others replace it: the reports that they go by may be from
// before that commit.
Test(sync_replicas, a_commit_is_not_acknowledged_after_the_reliance_has_lapsed)
{
    sync_world w;
    fake_host& cut_off = w.m_fleet.host(0);
    cut_off.m_heard = false;
    cut_off.m_store.m_reachable = false;
    driver caller(cut_off);
    caller.start(7, "settle");
    // Writes until the host relies on the primary no more; the last one that it
    // has sent is answered then.
    std::optional<sent_request> last;
    for (int passed = 0; passed < 8000; passed += 50)
    {
        w.m_fleet.run(absl::Milliseconds(50));
        if (cut_off.m_host.primary(group_name))
        {
            if (last)
                caller.succeed(*last);
            caller.take_answers(7);
            caller.say(7, rpc::statement_kind::write, "WRITE a b");
            last = caller.next_statement();
            cr_assert(last.has_value());
        }
        else if (last)
        {
            caller.succeed(*last);
            last.reset();
            cr_assert_not(caller.was_answered(7, "done signature"));
            cr_assert(caller.was_answered(7, "err unknown_outcome"));
            return;
        }
    }
    cr_assert_fail("the host never gave the primary up");
}

// Hosts read the list of the endpoints every 1.5 s, so a replica that joined
// and received the last commits just before the crash was not asked.
Test(sync_replicas, a_replica_that_has_just_joined_may_have_commits)
{
    for (int delay_ms = 0; delay_ms < 1500; delay_ms += 100)
    {
        sync_world w;
        w.run(absl::Milliseconds(delay_ms));
        catalogue::endpoint_entry joined = w.entry("e2");
        joined.m_id = base::endpoint_id("e3");
        joined.m_address = "e3:5";
        w.m_fleet.m_platform.m_entries.push_back(joined);
        w.m_group.m_received["e0"] = w.m_group.m_received["e3"] = 99;
        w.crash_primary();
        w.run(absl::Seconds(5));
        cr_assert_eq(w.promoted(), "e3", "crashed after %d ms", delay_ms);
    }
}
