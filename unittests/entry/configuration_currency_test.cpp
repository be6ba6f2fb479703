// The newest configuration is in force within the declared bound wherever the
// store, or a host that has reached it, can be heard.
#include "driver.hpp"

#include <criterion/criterion.h>

using namespace entry_test;

namespace
{

// The declared bounds of small and of large deployments.
constexpr absl::Duration bound = absl::Seconds(3);
constexpr absl::Duration large_bound = absl::Seconds(5);
constexpr absl::Duration step = absl::Milliseconds(50);

void set_silent(fleet_fixture& f, bool silent)
{
    for (auto& host : f.m_hosts)
        host->m_store.m_silent = silent;
}

// The operator adds a database; returns the version.
std::uint64_t add_database(fleet_fixture& f, const std::string& name)
{
    auto changed = std::make_shared<catalogue::configuration>(
        *f.m_platform.m_configuration);
    changed->m_version =
        base::configuration_version(changed->m_version.value() + 1);
    changed->m_routes[name] =
        fleet_fixture::route(catalogue::consistency::bounded);
    f.m_platform.configure(changed);
    return changed->m_version.value();
}

// The hosts that have another version in force.
std::string hosts_without(const fleet_fixture& f, std::uint64_t version)
{
    std::string result;
    for (const auto& host : f.m_hosts)
        if (host->m_host.configuration_version().value() != version)
            result += host->m_address + " ";
    return result;
}

// `after` tells which case it was.
void expect_version(const fleet_fixture& f, std::uint64_t version,
                    absl::Duration after)
{
    const std::string behind = hosts_without(f, version);
    cr_expect(behind.empty(), "%ld ms: not in force at %s",
              absl::ToInt64Milliseconds(after), behind.c_str());
}

// The store is silent for `outage`, acknowledges a configuration at its end,
// and answers from then on.
std::uint64_t acknowledge_after_silence(fleet_fixture& f, absl::Duration outage)
{
    set_silent(f, true);
    f.run(outage);
    const auto version = add_database(f, "dispatch");
    set_silent(f, false);
    return version;
}

} // namespace

// Norðurljós, seed 966: a watch that was asked in the silence of the store was
// waited for, and all hosts used the configuration before the outage for 3.6 s
// after they had reached the store again.
Test(configuration_currency, a_version_of_the_end_of_an_outage_is_not_late)
{
    for (absl::Duration outage = absl::Seconds(3); outage < absl::Seconds(11);
         outage += absl::Milliseconds(250))
    {
        fleet_fixture f;
        const auto version = acknowledge_after_silence(f, outage);
        f.run(bound);
        expect_version(f, version, outage);
    }
}

// The same for a host that hears no peer, and so has to find out by itself.
Test(configuration_currency, a_host_without_peers_is_not_late_after_an_outage)
{
    for (absl::Duration outage = absl::Seconds(3); outage < absl::Seconds(11);
         outage += absl::Milliseconds(250))
    {
        fleet_fixture f;
        f.host(2).m_heard = false;
        const auto version = acknowledge_after_silence(f, outage);
        f.run(bound);
        expect_version(f, version, outage);
    }
}

// In a large fleet a watch waits 20 s, and only some hosts have one.
Test(configuration_currency, a_large_fleet_is_not_late_after_an_outage)
{
    for (absl::Duration outage = absl::Seconds(4); outage < absl::Seconds(30);
         outage += absl::Seconds(2))
    {
        fleet_fixture f(20);
        const auto version = acknowledge_after_silence(f, outage);
        f.run(large_bound);
        expect_version(f, version, outage);
    }
}

// A connection that has gone silent looks like one on which nothing changes.
// The store was there all the time, and the other connections had its answers.
Test(configuration_currency, a_silent_watch_connection_hides_no_configuration)
{
    for (absl::Duration before; before < absl::Seconds(5);
         before += absl::Milliseconds(250))
    {
        fleet_fixture f;
        for (auto& host : f.m_hosts)
            host->m_store.m_watch_silent = true;
        f.run(absl::Seconds(5) + before);
        const auto version = add_database(f, "dispatch");
        f.run(bound);
        expect_version(f, version, before);
    }
}

// Changes in quick series around the end of an outage: the last one is in force
// in time, and no host goes back to an earlier one.
Test(configuration_currency,
     a_series_at_the_end_of_an_outage_ends_with_the_last)
{
    for (absl::Duration outage = absl::Seconds(4); outage < absl::Seconds(10);
         outage += absl::Milliseconds(500))
    {
        fleet_fixture f;
        auto last = acknowledge_after_silence(f, outage);
        std::vector<std::uint64_t> highest(f.m_hosts.size());
        const auto run = [&f, &highest](absl::Duration span)
        {
            for (absl::Duration passed; passed < span; passed += step)
            {
                f.run(step);
                for (std::size_t at = 0; at < highest.size(); ++at)
                {
                    const auto now =
                        f.host(at).m_host.configuration_version().value();
                    cr_assert_geq(now, highest[at]);
                    highest[at] = now;
                }
            }
        };
        for (int count = 0; count < 10; ++count)
        {
            run(absl::Milliseconds(150));
            last = add_database(f, "dispatch-" + std::to_string(count));
        }
        run(bound);
        expect_version(f, last, outage);
    }
}

// A host that knew its configuration to be old told callers for good that a
// database or a key does not exist, which a newer configuration had added.
Test(configuration_currency, an_outdated_host_refuses_nothing_for_good)
{
    fleet_fixture f;
    driver caller(f.host(0));
    caller.start(1, "dispatch");
    caller.start(2, "stock", "key-2");
    cr_assert(caller.was_answered(1, "err unknown_database"));
    cr_assert(caller.was_answered(2, "err unauthenticated"));
    set_silent(f, true);
    f.run(bound + absl::Seconds(1));
    caller.start(3, "dispatch");
    caller.start(4, "stock", "key-2");
    caller.start(5, "stock");
    cr_assert(caller.was_answered(3, "err busy"));
    cr_assert(caller.was_answered(4, "err busy"));
    cr_assert(caller.was_answered(5, "ready I"));
    set_silent(f, false);
    f.run(bound);
    caller.start(6, "dispatch");
    cr_assert(caller.was_answered(6, "err unknown_database"));
}

// A peer that reaches the store tells as of when the configuration is the
// newest: a host that is turned away keeps giving definite answers.
Test(configuration_currency, a_host_that_is_turned_away_hears_it_from_its_peers)
{
    fleet_fixture f;
    f.host(2).m_store.m_reachable = false;
    f.run(absl::Seconds(20));
    driver caller(f.host(2));
    caller.start(1, "dispatch");
    cr_assert(caller.was_answered(1, "err unknown_database"));
    const auto version = add_database(f, "dispatch");
    f.run(bound);
    expect_version(f, version, absl::ZeroDuration());
    caller.start(2, "dispatch");
    cr_assert(caller.was_answered(2, "ready I"));
}

// Tatra trouble-1: a configuration of 1,400 routes did not fit into a datagram,
// so a host that the store turned away went on with the one before for 16 s.
Test(configuration_currency, a_large_one_reaches_a_host_that_is_turned_away)
{
    constexpr std::size_t largest_datagram = 65'507;
    for (const int hosts : {3, 20})
    {
        fleet_fixture f(hosts);
        f.host(2).m_store.m_reachable = false;
        f.run(absl::Seconds(20));
        auto changed = std::make_shared<catalogue::configuration>(
            *f.m_platform.m_configuration);
        changed->m_version = base::configuration_version(9);
        for (int route = 0; route < 1400; ++route)
        {
            auto& added =
                changed->m_routes["database-" + std::to_string(route)];
            added = fleet_fixture::route(catalogue::consistency::bounded);
            added.m_id = base::route_id("route-" + std::to_string(route));
        }
        f.m_platform.configure(changed);
        for (absl::Duration passed; passed < bound; passed += step)
        {
            for (const auto& host : f.m_hosts)
                for (const auto& [to, bytes] : host->m_datagrams.m_sent)
                    cr_assert_leq(bytes.size(), largest_datagram);
            f.run(step);
        }
        expect_version(f, 9, absl::ZeroDuration());
    }
}

// The age must not be bought with calls of the store, each of which has a
// price: answers that are due anyway tell that nothing has changed.
Test(configuration_currency, nothing_is_asked_while_nothing_changes)
{
    for (const int hosts : {1, 3, 9, 20})
    {
        fleet_fixture f(hosts);
        f.run(absl::Seconds(10));
        const auto count = [&f]
        {
            std::uint64_t calls = 0;
            for (auto& host : f.m_hosts)
                calls += host->m_metrics.counter("store.calls.operator_rows")
                             .value();
            return calls;
        };
        const auto before = count();
        f.run(absl::Seconds(60));
        cr_expect_eq(count(), before, "%d hosts", hosts);
        for (const auto& host : f.m_hosts)
            cr_expect_eq(
                host->m_metrics.counter("configuration.outdated").value(), 0);
    }
}

// Evacuations are rows of the operator as well and share the watch.
Test(configuration_currency, an_evacuation_at_the_end_of_an_outage_is_not_late)
{
    for (absl::Duration outage = absl::Seconds(3); outage < absl::Seconds(11);
         outage += absl::Milliseconds(250))
    {
        fleet_fixture f;
        set_silent(f, true);
        f.run(outage);
        f.m_platform.evacuate("d9");
        set_silent(f, false);
        f.run(bound);
        for (const auto& host : f.m_hosts)
            cr_expect_eq(host->m_metrics.counter("evacuations.begun").value(),
                         1, "after %ld ms", absl::ToInt64Milliseconds(outage));
    }
}
