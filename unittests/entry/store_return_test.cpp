// The store comes back from an older copy: what was written since is gone and
// versions are given out again.
#include "failover.hpp"

#include <criterion/criterion.h>

using namespace entry_test;

namespace
{

const base::group_id group_name("g");
constexpr absl::Duration step = absl::Milliseconds(50);
// Endpoints write their entries again within this after a return.
constexpr absl::Duration renewal = absl::Milliseconds(1500);

void set_store_reachable(fleet_fixture& f, bool reachable)
{
    for (auto& host : f.m_hosts)
        host->m_store.m_reachable = reachable;
}

// The host's process is replaced by one that knows nothing.
void restart(fleet_fixture& f, std::size_t index, std::uint64_t incarnation = 2)
{
    f.m_hosts[index] = std::make_unique<fake_host>(
        "h" + std::to_string(index), f.m_platform, f.m_clock, incarnation);
}

// Nobody may use an endpoint after another one has been promoted.
bool is_old_primary_in_use(fleet_fixture& f, const fake_group& group)
{
    if (f.m_platform.m_promoted.empty())
        return false;
    for (auto& host : f.m_hosts)
    {
        const auto used = host->m_host.primary(group_name);
        if (used && used->str() != group.m_primary)
            return true;
    }
    return false;
}

// Two holders of the duty may never show the platform the same token.
bool is_token_used_twice(const fake_platform& platform)
{
    for (const auto& one : platform.m_promoted)
        for (const auto& other : platform.m_promoted)
            if (one.m_token == other.m_token && one.m_holder != other.m_holder)
                return true;
    return false;
}

// What a host is told of the endpoints.
struct seen_endpoints final : entry::follower_events
{
    std::map<std::string, catalogue::endpoint_entry> m_known;

    void endpoints_changed(const std::vector<catalogue::endpoint_entry>& all,
                           base::instant /*now*/) override
    {
        m_known.clear();
        for (const auto& entry : all)
            m_known[entry.m_id.str()] = entry;
    }
    void configuration_changed(rpc::configuration_ptr /*configuration*/,
                               base::instant /*now*/) override
    {
    }
    void operator_rows_read(const rpc::operator_rows& /*rows*/,
                            base::instant /*now*/) override
    {
    }
    void operator_rows_confirmed(rpc::store_instant /*at*/,
                                 base::instant /*now*/) override
    {
    }
    void endpoints_read(const std::vector<catalogue::endpoint_entry>& /*all*/,
                        rpc::store_instant /*at*/) override
    {
    }
    void era_changed(rpc::store_era /*era*/, rpc::store_instant /*at*/,
                     base::instant /*now*/) override
    {
    }
    void row_changed(const rpc::fleet_row& /*row*/, rpc::store_instant /*at*/,
                     base::instant /*now*/) override
    {
    }
    void rows_confirmed(rpc::row_version /*version*/, rpc::store_instant /*at*/,
                        base::instant /*sent*/, base::instant /*now*/) override
    {
    }
};

} // namespace

// A configuration that was acknowledged and written again below a version that
// hosts had seen was in force nowhere: their watches went on from there.
Test(store_return, a_configuration_below_a_known_version_is_taken)
{
    fleet_fixture f;
    const auto older = f.m_platform.copy();
    f.set_limits(900, 900);
    f.run(absl::Seconds(1));
    set_store_reachable(f, false);
    f.set_limits(800, 800);
    const auto newest = f.m_platform.m_configuration;
    f.run(absl::Seconds(2));
    f.m_platform.come_back(older);
    f.m_platform.configure(newest);
    f.m_platform.m_version += 5;
    set_store_reachable(f, true);
    f.run(absl::Seconds(3));
    for (const auto& host : f.m_hosts)
        cr_assert_eq(host->m_host.configuration_version(), newest->m_version);
}

// A host that started right after the return put in force what the copy had,
// though its peers had a newer configuration.
Test(store_return, a_host_that_starts_takes_the_configuration_of_its_peers)
{
    fleet_fixture f;
    const auto older = f.m_platform.copy();
    f.set_limits(900, 900);
    const auto newest = f.m_platform.m_configuration->m_version;
    f.run(absl::Seconds(1));
    f.m_platform.come_back(older);
    restart(f, 2);
    f.run(absl::Seconds(3));
    cr_assert_eq(f.host(2).m_host.configuration_version(), newest);
}

// A host whose registration was lost was in nobody's rows and did not know it.
Test(store_return, a_lost_registration_is_written_again)
{
    fleet_fixture f(2);
    const auto older = f.m_platform.copy();
    f.m_hosts.push_back(
        std::make_unique<fake_host>("h2", f.m_platform, f.m_clock));
    f.run(absl::Seconds(8));
    f.m_platform.come_back(older);
    f.run(absl::Seconds(4));
    cr_assert(f.m_platform.m_rows.contains("member/h2"));
    f.run(absl::Seconds(6));
    for (std::size_t host = 0; host < 3; ++host)
        cr_assert(uses_primary(f, host, 1));
}

// The row of a promotion was lost. Claims expected its version, failed each
// time, and the next primary that crashed was never replaced.
Test(store_return, a_primary_is_replaced_after_its_row_was_lost)
{
    fleet_fixture f;
    fake_group group;
    const auto older = f.m_platform.copy();
    for (std::size_t host = 0; host < 3; ++host)
        uses_primary(f, host, 1);
    group.crash_primary(f);
    group.run(f, absl::Seconds(3));
    cr_assert_eq(group.m_primary, "e1");
    f.m_platform.come_back(older);
    group.run(f, absl::Seconds(8));
    for (std::size_t host = 0; host < 3; ++host)
        cr_assert(f.host(host).m_host.primary(group_name) ==
                  base::endpoint_id("e1"));
    group.crash_primary(f);
    group.run(f, absl::Seconds(10));
    cr_assert_eq(group.m_primary, "e2");
    for (std::size_t host = 0; host < 3; ++host)
        cr_assert(f.host(host).m_host.primary(group_name) ==
                  base::endpoint_id("e2"));
}

// The duty's token was counted from a row that had gone back, so a second
// holder promoted with a token that had been used.
Test(store_return, a_token_is_not_used_by_a_second_holder)
{
    fleet_fixture f;
    fake_group group;
    const auto older = f.m_platform.copy();
    for (std::size_t host = 0; host < 3; ++host)
        uses_primary(f, host, 1);
    group.crash_primary(f);
    group.run(f, absl::Seconds(3));
    const auto first = f.m_platform.m_promoted.front();
    // Whoever knew the token is gone.
    std::erase_if(f.m_hosts,
                  [&first](const auto& host)
                  {
                      return host->m_address == first.m_holder.str() + ":1";
                  });
    f.m_platform.come_back(older);
    for (auto& host : f.m_hosts)
        host = std::make_unique<fake_host>(
            host->m_address.substr(0, host->m_address.find(':')), f.m_platform,
            f.m_clock, 2);
    for (std::uint64_t session = 1; session <= 20; ++session)
    {
        group.run(f, absl::Seconds(1));
        for (auto& host : f.m_hosts)
        {
            driver caller(*host);
            caller.start(session, "settle");
            caller.say(session, rpc::statement_kind::write, "WRITE a b");
        }
    }
    cr_assert_gt(f.m_platform.m_promoted.back().m_token, first.m_token);
    cr_assert_not(is_token_used_twice(f.m_platform));
}

// One host remembered the lost rows and could not reach the store. It told of
// versions that the others took for newer than their own, so these confirmed
// nothing and replaced no primary.
Test(store_return, a_host_that_only_remembers_holds_nobody_up)
{
    fleet_fixture f;
    fake_group group;
    const auto older = f.m_platform.copy();
    for (std::size_t host = 0; host < 3; ++host)
        uses_primary(f, host, 1);
    group.crash_primary(f);
    group.run(f, absl::Seconds(3));
    cr_assert_eq(group.m_primary, "e1");
    f.m_platform.come_back(older);
    for (auto& entry : f.m_platform.m_entries)
        entry.m_primary = entry.m_id.str() == "e1";
    f.host(2).m_store.m_reachable = false;
    restart(f, 0);
    restart(f, 1);
    group.run(f, absl::Seconds(8));
    for (std::size_t host = 0; host < 2; ++host)
        cr_assert(uses_primary(f, host, 1));
    group.crash_primary(f);
    for (int count = 0; count < 400; ++count)
    {
        group.run(f, step);
        cr_assert_not(is_old_primary_in_use(f, group));
    }
    cr_assert_eq(group.m_primary, "e2");
}

// A host that the copy lacks still relied on the primary, and nobody waited for
// it when the primary was replaced.
Test(store_return, no_promotion_while_a_host_that_the_copy_lacks_may_rely)
{
    fleet_fixture f(2);
    fake_group group;
    const auto older = f.m_platform.copy();
    f.m_hosts.push_back(
        std::make_unique<fake_host>("h2", f.m_platform, f.m_clock));
    f.run(absl::Seconds(2));
    cr_assert(f.host(2).m_host.primary(group_name).has_value());
    f.host(2).m_store.m_reachable = false;
    f.host(2).m_heard = false;
    f.m_platform.come_back(older);
    f.m_platform.m_entries[0].m_leaving = true;
    restart(f, 0);
    restart(f, 1);
    for (int count = 0; count < 300; ++count)
    {
        group.run(f, step);
        cr_assert_not(is_old_primary_in_use(f, group), "after %d steps", count);
    }
    cr_assert_neq(group.m_primary, "e0");
}

// A host that started after the return read that the endpoint before the lost
// promotion leads, and used it.
Test(store_return, a_host_that_starts_does_not_use_the_replaced_primary)
{
    fleet_fixture f;
    fake_group group;
    const auto older = f.m_platform.copy();
    for (std::size_t host = 0; host < 3; ++host)
        uses_primary(f, host, 1);
    group.crash_primary(f);
    group.run(f, absl::Seconds(3));
    f.m_platform.come_back(older);
    restart(f, 2);
    for (int count = 0; count < 200; ++count)
    {
        group.run(f, step);
        cr_assert_not(is_old_primary_in_use(f, group));
    }
    cr_assert(f.host(2).m_host.primary(group_name) == base::endpoint_id("e1"));
}

// Primaries went without work for a moment after a short outage: the rows of
// the era before had lapsed when the new ones were confirmed.
Test(store_return, a_primary_stays_in_use_through_a_short_return)
{
    for (absl::Duration phase; phase < absl::Seconds(4);
         phase += absl::Milliseconds(200))
    {
        fleet_fixture f(8);
        f.run(phase);
        const auto older = f.m_platform.copy();
        set_store_reachable(f, false);
        f.run(absl::Seconds(2));
        f.m_platform.come_back(older);
        set_store_reachable(f, true);
        for (int count = 0; count < 120; ++count)
        {
            f.run(step);
            for (const auto& host : f.m_hosts)
                cr_assert(host->m_host.primary(group_name).has_value(),
                          "phase %ld ms, %d steps after the return",
                          absl::ToInt64Milliseconds(phase), count);
        }
    }
}

// An endpoint that had said that it leaves was listed as staying by the copy,
// and got work again after its time was over.
Test(store_return, an_endpoint_that_leaves_stays_so)
{
    fake_clock clock;
    fake_platform platform;
    fake_store store(platform, clock);
    seen_endpoints seen;
    magnoliastack::metrics::registry metrics;
    entry::fleet_follower follower({}, store, seen, metrics, clock);
    const auto run = [&](absl::Duration span)
    {
        for (absl::Duration passed; passed < span; passed += step)
        {
            clock.m_now = clock.m_now + step;
            follower.tick(clock.m_now);
            store.run();
        }
    };
    catalogue::endpoint_entry item;
    item.m_id = base::endpoint_id("e0");
    item.m_started_unix_ms = 7;
    platform.m_entries = {item};
    const auto older = platform.copy();
    platform.m_entries[0].m_leaving = true;
    run(absl::Seconds(4));
    cr_assert(seen.m_known.at("e0").m_leaving);
    platform.come_back(older);
    for (int count = 0; count < 80; ++count)
    {
        run(step);
        cr_assert(seen.m_known.at("e0").m_leaving);
    }
    // Another process of the same name stays.
    platform.m_entries[0].m_started_unix_ms = 8;
    run(absl::Seconds(4));
    cr_assert_not(seen.m_known.at("e0").m_leaving);
}

// A host that had learned of the return by a short call read the rows anew only
// when its silent watch had timed out, and used no primary after its lease.
Test(store_return, a_silent_watch_does_not_delay_reading_all_rows_anew)
{
    for (absl::Duration before; before < absl::Seconds(20);
         before += absl::Seconds(5))
    {
        fleet_fixture f(20);
        f.run(absl::Seconds(20));
        const auto older = f.m_platform.copy();
        for (auto& host : f.m_hosts)
            host->m_store.m_watch_silent = true;
        f.run(absl::Seconds(20) + before);
        f.m_platform.come_back(older);
        for (int count = 0; count < 400; ++count)
        {
            f.run(step);
            for (const auto& host : f.m_hosts)
                cr_assert(host->m_host.primary(group_name).has_value(),
                          "%ld s, %d steps after the return",
                          absl::ToInt64Seconds(before), count);
        }
    }
}

// Every host that knew of the lost promotion is gone, and the copy's row names
// the endpoint before, which runs as a replica now. The endpoints' own entries
// tell who leads.
Test(store_return, a_row_that_the_endpoints_contradict_is_not_used)
{
    fleet_fixture f;
    fake_group group;
    for (std::size_t host = 0; host < 3; ++host)
        uses_primary(f, host, 1);
    group.crash_primary(f);
    group.run(f, absl::Seconds(3));
    cr_assert_eq(group.m_primary, "e1");
    const auto older = f.m_platform.copy();
    group.crash_primary(f);
    group.run(f, absl::Seconds(8));
    cr_assert_eq(group.m_primary, "e2");
    group.m_crashed.clear();
    f.m_platform.come_back(older);
    group.m_quiet_until = f.m_clock.m_now + renewal;
    for (std::size_t host = 0; host < 3; ++host)
        restart(f, host);
    for (int count = 0; count < 600; ++count)
    {
        group.run(f, step);
        cr_assert_not(is_old_primary_in_use(f, group), "after %d steps", count);
    }
    for (auto& host : f.m_hosts)
        cr_assert(host->m_host.primary(group_name) == base::endpoint_id("e2"));
}

// Hosts of a large fleet that do not follow the store have old readings of the
// endpoints. One that was made before a promotion contradicted its row, and the
// time of a reading long before was taken for the beginning.
Test(store_return, a_late_reading_of_the_endpoints_replaces_no_new_primary)
{
    fleet_fixture f(20);
    fake_group group;
    f.run(absl::Seconds(30));
    for (std::size_t host = 0; host < f.m_hosts.size(); ++host)
        uses_primary(f, host, 1);
    group.m_quiet_until = f.m_clock.m_now + absl::Seconds(6);
    group.crash_primary(f);
    while (group.m_primary == "e0")
        group.run(f, step);
    f.m_platform.m_entries[0].m_primary = true;
    f.m_platform.m_entries[2].m_slots = 4;
    for (int count = 0; count < 600; ++count)
    {
        group.run(f, step);
        cr_assert_eq(f.m_platform.m_promoted.size(), 1, "after %d steps",
                     count);
    }
    for (const auto& host : f.m_hosts)
        cr_assert(host->m_host.primary(group_name) ==
                  base::endpoint_id(group.m_primary));
}

// A return in each phase of a replacement, from copies of any age: after it
// one primary serves, nobody uses an older one, and no token has two holders.
Test(store_return, a_return_in_any_phase_of_a_replacement_breaks_nothing)
{
    constexpr absl::Duration longest = absl::Milliseconds(2400);
    constexpr absl::Duration pace = absl::Milliseconds(150);
    for (absl::Duration copied; copied < longest; copied += pace)
        for (absl::Duration lost = pace; lost < longest; lost += pace * 2)
            // One of the hosts, none, or all.
            for (const std::size_t restarted : {0U, 1U, 2U, 3U, 4U})
            {
                fleet_fixture f;
                fake_group group;
                for (std::size_t host = 0; host < 3; ++host)
                    uses_primary(f, host, 1);
                group.crash_primary(f);
                group.run(f, copied);
                const auto older = f.m_platform.copy();
                group.run(f, lost);
                f.m_platform.come_back(older);
                group.m_quiet_until = f.m_clock.m_now + renewal;
                for (std::size_t host = 0; host < 3; ++host)
                    if (restarted == host || restarted == 4)
                        restart(f, host);
                for (int count = 0; count < 300; ++count)
                {
                    group.run(f, step);
                    cr_assert_not(
                        is_old_primary_in_use(f, group),
                        "copy at %ld ms, return %ld ms later, restart of %zu",
                        absl::ToInt64Milliseconds(copied),
                        absl::ToInt64Milliseconds(lost), restarted);
                }
                cr_assert_not(is_token_used_twice(f.m_platform));
                for (auto& host : f.m_hosts)
                    cr_assert(
                        host->m_host.primary(group_name) ==
                            base::endpoint_id(group.m_primary),
                        "copy at %ld ms, return %ld ms later, restart of %zu",
                        absl::ToInt64Milliseconds(copied),
                        absl::ToInt64Milliseconds(lost), restarted);
            }
}
