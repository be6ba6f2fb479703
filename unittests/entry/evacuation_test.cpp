// Evacuation of a failure domain by several hosts that share a store. Each
// group has an endpoint in the domains a, b and c, and its primary in a.
#include "driver.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace entry_test;

namespace
{

constexpr absl::Duration step = absl::Milliseconds(50);
constexpr absl::Duration bound = absl::Seconds(5);
const char* const domains[] = {"a", "b", "c"};

std::string domain_of(const std::string& endpoint)
{
    return endpoint.substr(endpoint.find('-') + 1);
}
std::string group_of(const std::string& endpoint)
{
    return endpoint.substr(0, endpoint.find('-'));
}

// Hosts with callers, endpoints that answer, and promotions.
class world
{
public:
    explicit world(int hosts = 3, int groups = 1) : m_fleet(0)
    {
        auto config = std::make_shared<catalogue::configuration>(
            *m_fleet.m_platform.m_configuration);
        config->m_version = base::configuration_version(2);
        // Callers of 24 hosts together stay below it.
        const base::organisation_id who("souq");
        config->m_organisations[who] = {who, 100000, 100000};
        m_fleet.m_platform.m_entries.clear();
        for (int group = 0; group < groups; ++group)
            add_group(*config, group == 0 ? "g" : "g" + std::to_string(group));
        m_fleet.m_platform.configure(config);
        for (int index = 0; index < hosts; ++index)
            add_host(static_cast<std::size_t>(index), 1);
        run(absl::Seconds(2));
    }

    // The host's process is replaced by one that knows nothing.
    void restart(std::size_t index)
    {
        m_fleet.m_hosts[index] = make_host(index, ++m_incarnation);
        start_callers(index);
    }

    void evacuate(const std::string& domain)
    {
        m_fleet.m_platform.evacuate(domain);
    }
    void cancel_evacuation(const std::string& domain)
    {
        m_fleet.m_platform.evacuate(domain, true);
    }
    void set_store_reachable(bool reachable)
    {
        for (auto& host : m_fleet.m_hosts)
            host->m_store.m_reachable = reachable;
    }

    // Ends the endpoint's process: its connections are refused.
    void crash(const std::string& name)
    {
        m_crashed.insert(name);
        for (auto& host : m_fleet.m_hosts)
        {
            const auto open = host->m_endpoints.m_open;
            for (const auto& [number, target] : open)
                if (target.m_endpoint.str() == name)
                    host->m_host.endpoints().connection_closed(number, true);
        }
    }

    void run(absl::Duration span)
    {
        for (absl::Duration passed; passed < span; passed += step)
        {
            for (auto& host : m_fleet.m_hosts)
                call(*host);
            m_fleet.run(step);
            follow_promotions();
            for (auto& host : m_fleet.m_hosts)
                answer(*host);
        }
    }

    // Connections and requests of all hosts to endpoints of the domain.
    [[nodiscard]] std::uint64_t reached(const std::string& domain) const
    {
        std::uint64_t count = 0;
        for (const auto& host : m_fleet.m_hosts)
            for (const auto& [name, times] : host->m_endpoints.m_reached)
                if (domain_of(name) == domain)
                    count += times;
        return count;
    }

    // Fails when anything reaches the domain within the time.
    void expect_silence(const std::string& domain, absl::Duration span)
    {
        for (absl::Duration passed; passed < span; passed += step)
        {
            const auto before = reached(domain);
            run(step);
            cr_assert_eq(reached(domain), before, "%ld ms after the bound",
                         absl::ToInt64Milliseconds(passed));
        }
    }

    // The domain's endpoints may be used: they are when nothing else is left.
    void expect_use(const std::string& domain)
    {
        for (const char* other : domains)
            if (domain != other)
                evacuate(other);
        run(bound);
        cr_assert_eq(domain_of(primary()), domain, "%s leads",
                     primary().c_str());
        for (std::size_t host = 0; host < m_fleet.m_hosts.size(); ++host)
        {
            const auto answer = write(host);
            cr_assert_eq(answer, "done", "h%zu: %s", host, answer.c_str());
        }
    }

    [[nodiscard]] std::string primary(const std::string& group = "g") const
    {
        return m_primaries.at(group);
    }

    // What a new caller of the host is told about a write.
    std::string write(std::size_t index)
    {
        driver caller(*m_fleet.m_hosts[index]);
        const auto session = ++m_session;
        caller.start(session, "settle");
        caller.say(session, rpc::statement_kind::write, "WRITE a b");
        run(absl::Milliseconds(600));
        if (caller.was_answered(session, "done signature"))
            return "done";
        return m_fleet.m_hosts[index]->m_sessions.m_texts[session];
    }

    fleet_fixture m_fleet;

private:
    void add_group(catalogue::configuration& to, const std::string& name)
    {
        const base::group_id id(name);
        to.m_groups[id] = {id, 30};
        m_primaries[name] = name + "-a";
        m_terms[name] = 1;
        for (const char* domain : domains)
        {
            catalogue::endpoint_entry item;
            item.m_id = base::endpoint_id(name + "-" + domain);
            item.m_group = id;
            item.m_address = item.m_id.str() + ":5";
            item.m_failure_domain = base::failure_domain_id(domain);
            item.m_slots = 3;
            item.m_primary = item.m_id.str() == m_primaries[name];
            m_fleet.m_platform.m_entries.push_back(item);
        }
    }

    std::unique_ptr<fake_host> make_host(std::size_t index,
                                         std::uint64_t incarnation)
    {
        return std::make_unique<fake_host>(
            "h" + std::to_string(index), m_fleet.m_platform, m_fleet.m_clock,
            incarnation, base::failure_domain_id(domains[index % 3]));
    }

    void add_host(std::size_t index, std::uint64_t incarnation)
    {
        m_fleet.m_hosts.push_back(make_host(index, incarnation));
        start_callers(index);
    }

    // Session 1 writes and session 2 reads all the time.
    void start_callers(std::size_t index)
    {
        m_started.erase(m_fleet.m_hosts[index].get());
    }

    void call(fake_host& host)
    {
        driver caller(host);
        if (!host.m_host.is_ready())
            return;
        if (m_started.insert(&host).second)
        {
            caller.start(1, "settle");
            caller.start(2, "stock");
            caller.take_answers(1);
            caller.take_answers(2);
            caller.say(1, rpc::statement_kind::write, "WRITE a b");
            caller.say(2, rpc::statement_kind::read, "READ a");
            return;
        }
        if (caller.was_answered(1, "ready I"))
        {
            caller.take_answers(1);
            caller.say(1, rpc::statement_kind::write, "WRITE a b");
        }
        if (caller.was_answered(2, "ready I"))
        {
            caller.take_answers(2);
            caller.say(2, rpc::statement_kind::read, "READ a");
        }
    }

    void follow_promotions()
    {
        const auto& asked = m_fleet.m_platform.m_promoted;
        for (; m_followed < asked.size(); ++m_followed)
        {
            const std::string name = asked[m_followed].m_endpoint.str();
            const std::string group = group_of(name);
            if (name == m_primaries[group] || m_crashed.contains(name))
                continue;
            m_primaries[group] = name;
            ++m_terms[group];
        }
        for (auto& entry : m_fleet.m_platform.m_entries)
            if (!m_crashed.contains(entry.m_id.str()))
                entry.m_primary =
                    entry.m_id.str() == m_primaries[entry.m_group.str()];
    }

    void answer(fake_host& host)
    {
        driver endpoints(host);
        for (const auto number : std::exchange(host.m_endpoints.m_opening, {}))
        {
            const auto target = host.m_endpoints.m_open.find(number);
            if (target == host.m_endpoints.m_open.end())
                continue;
            const std::string name = target->second.m_endpoint.str();
            if (m_crashed.contains(name))
                host.m_host.endpoints().connection_closed(number, true);
            else
                host.m_host.endpoints().opened(
                    number, point(m_terms[group_of(name)], 90));
        }
        while (const auto request = endpoints.next())
        {
            const auto name = endpoints.endpoint_of(*request);
            if (name.empty())
                continue;
            const auto group = group_of(name);
            rpc::endpoint_report report;
            report.m_primary = name == m_primaries[group];
            report.m_term = base::term(m_terms[group]);
            report.m_received = point(1, 90);
            host.m_host.endpoints().report_received(request->m_connection,
                                                    report);
            endpoints.succeed(*request, rpc::transaction_state::idle,
                              point(m_terms[group], 100));
        }
    }

    std::map<std::string, std::string> m_primaries;
    std::map<std::string, std::uint64_t> m_terms;
    std::set<std::string> m_crashed;
    std::set<const fake_host*> m_started;
    std::size_t m_followed = 0;
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_session = 100;
};

} // namespace

// Hosts went on with the domain's endpoints, because only the configuration's
// row of the operator's table was read.
Test(evacuation, nothing_reaches_the_domain_after_the_bound)
{
    world w;
    cr_assert_gt(w.reached("a"), 0);
    w.evacuate("a");
    w.run(bound);
    cr_assert_neq(domain_of(w.primary()), "a");
    w.expect_silence("a", absl::Seconds(20));
    for (std::size_t host = 0; host < 3; ++host)
        cr_assert_eq(w.write(host), "done");
}

// The change waited for its turn and for planned_wait like that of a leaving
// endpoint, and writers had nowhere to go for seconds.
Test(evacuation, a_primary_is_replaced_at_once_while_a_host_cannot_be_asked)
{
    world w;
    w.m_fleet.host(2).m_heard = false;
    w.m_fleet.host(2).m_store.m_reachable = false;
    w.run(absl::Seconds(1));
    w.evacuate("a");
    // The silent host's reliance lapses after 5.4 s at most.
    w.run(absl::Milliseconds(7500));
    cr_assert_neq(domain_of(w.primary()), "a");
}

// The evacuation ended when the store could not be asked.
Test(evacuation, it_stays_in_force_while_the_store_is_away)
{
    world w;
    w.evacuate("a");
    w.run(bound);
    w.set_store_reachable(false);
    w.expect_silence("a", absl::Seconds(20));
    w.set_store_reachable(true);
    w.expect_silence("a", absl::Seconds(10));
    w.cancel_evacuation("a");
    w.run(absl::Seconds(5));
    cr_assert_neq(domain_of(w.primary()), "a", "the primary stays");
    w.expect_use("a");
}

// A row written while the hosts could not reach the store was never seen.
Test(evacuation, an_order_given_during_an_outage_is_found_after_it)
{
    world w;
    w.set_store_reachable(false);
    w.run(absl::Seconds(2));
    w.evacuate("a");
    w.run(absl::Seconds(2));
    w.set_store_reachable(true);
    w.run(bound + absl::Seconds(3));
    w.expect_silence("a", absl::Seconds(10));
}

// Only the newest order was in force.
Test(evacuation, two_domains_at_once_leave_the_third)
{
    world w;
    w.evacuate("a");
    w.evacuate("b");
    w.run(bound);
    cr_assert_eq(domain_of(w.primary()), "c");
    for (int count = 0; count < 100; ++count)
    {
        w.expect_silence("a", step);
        w.expect_silence("b", step);
    }
    for (std::size_t host = 0; host < 3; ++host)
        cr_assert_eq(w.write(host), "done");
}

// The primary was stopped for a replacement that could not be found, and an
// evacuated endpoint was promoted.
Test(evacuation, a_group_that_has_no_other_endpoint_is_left_as_it_is)
{
    world w;
    for (const char* domain : domains)
        w.evacuate(domain);
    w.run(absl::Seconds(2));
    cr_assert_eq(w.write(0), "done", "until the connections are closed");
    w.run(bound);
    cr_assert(w.m_fleet.m_platform.m_promoted.empty());
    for (const char* domain : domains)
        w.expect_silence(domain, absl::Seconds(3));
    cr_assert_eq(w.write(0), "the primary's failure domain is evacuated");
    for (const char* domain : domains)
        w.cancel_evacuation(domain);
    w.run(absl::Seconds(3));
    cr_assert_eq(w.write(0), "done");
    cr_assert(w.m_fleet.m_platform.m_promoted.empty());
}

// The copy lacked the row, and the domain got work until it was written again.
Test(evacuation, it_outlasts_a_return_of_the_store_from_an_older_copy)
{
    world w;
    const auto older = w.m_fleet.m_platform.copy();
    w.evacuate("a");
    w.run(bound);
    w.m_fleet.m_platform.come_back(older);
    // With nothing else left the domain would be used.
    w.evacuate("b");
    w.evacuate("c");
    w.expect_silence("a", absl::Seconds(8));
    w.evacuate("a");
    w.expect_silence("a", absl::Seconds(15));
}

// Nobody wrote the row again, and the domain stayed empty for good.
Test(evacuation, an_order_that_is_not_written_again_ends_after_a_while)
{
    world w;
    const auto older = w.m_fleet.m_platform.copy();
    w.evacuate("a");
    w.run(bound);
    w.m_fleet.m_platform.come_back(older);
    w.expect_silence("a", absl::Seconds(9));
    w.run(absl::Seconds(3));
    w.expect_use("a");
}

// A host that started went by the endpoints' entries, which say nothing of the
// evacuation, until its first report came.
Test(evacuation, a_host_that_starts_sends_nothing_to_the_domain)
{
    world w;
    w.evacuate("a");
    w.run(bound);
    for (std::size_t host = 0; host < 3; ++host)
        w.restart(host);
    cr_assert_not(w.m_fleet.host(0).m_host.is_ready());
    w.expect_silence("a", absl::Seconds(5));
    cr_assert(w.m_fleet.host(0).m_host.is_ready());
    w.restart(1);
    w.m_fleet.host(1).m_store.m_reachable = false;
    w.run(absl::Seconds(2));
    cr_assert_not(w.m_fleet.host(1).m_host.is_ready(),
                  "it has not read the table");
}

// An order that had stood for long gave hosts that started three seconds more.
Test(evacuation, hosts_that_start_give_a_standing_order_no_time)
{
    world w;
    for (const char* domain : domains)
        w.evacuate(domain);
    w.run(bound);
    for (std::size_t host = 0; host < 3; ++host)
        w.restart(host);
    for (int count = 0; count < 100; ++count)
        for (const char* domain : domains)
            w.expect_silence(domain, step);
}

// A host whose watch had gone silent learned of it seconds later.
Test(evacuation, a_host_that_hears_only_its_peers_learns_of_it)
{
    world w;
    w.run(absl::Seconds(1));
    w.m_fleet.host(0).m_store.m_watch_silent = true;
    w.m_fleet.host(0).m_store.m_reachable = false;
    // With something left elsewhere the host would go there in any case.
    for (const char* domain : domains)
        w.evacuate(domain);
    w.run(bound);
    w.expect_silence("a", absl::Seconds(10));
    w.m_fleet.host(0).m_store.m_watch_silent = false;
    w.m_fleet.host(0).m_store.m_reachable = true;
    w.run(absl::Seconds(3));
    w.expect_silence("a", absl::Seconds(3));
}

// Most hosts of a large fleet do not watch the table.
Test(evacuation, all_hosts_of_a_large_fleet_learn_of_it)
{
    world w(24);
    w.run(absl::Seconds(10));
    w.evacuate("a");
    w.run(bound);
    w.expect_silence("a", absl::Seconds(10));
    w.cancel_evacuation("a");
    w.run(absl::Seconds(1));
    w.expect_use("a");
}

// The removal was merged with the order before or after it.
Test(evacuation, a_new_order_right_after_a_removal_counts)
{
    for (absl::Duration apart; apart < absl::Milliseconds(600);
         apart += absl::Milliseconds(150))
    {
        world w;
        w.evacuate("a");
        w.run(apart);
        w.cancel_evacuation("a");
        w.run(apart);
        w.evacuate("a");
        w.run(bound);
        w.expect_silence("a", absl::Seconds(3));
        w.evacuate("b");
        w.run(apart);
        w.cancel_evacuation("b");
        const auto before = w.reached("b");
        w.run(absl::Seconds(5));
        cr_assert_gt(w.reached("b"), before);
    }
}

// A dead primary was tried every 400 ms, and given its group back.
Test(evacuation, a_primary_that_is_dead_already_is_replaced_and_not_tried)
{
    for (absl::Duration dead; dead < absl::Seconds(1);
         dead += absl::Milliseconds(200))
    {
        world w;
        w.crash("g-a");
        w.run(dead);
        w.evacuate("a");
        w.run(bound);
        cr_assert_neq(domain_of(w.primary()), "a");
        w.expect_silence("a", absl::Seconds(5));
        cr_assert_eq(w.write(1), "done");
    }
}

// A promotion under way went on to an endpoint of the domain and stayed there.
Test(evacuation, a_promotion_under_way_to_the_domain_ends_outside_of_it)
{
    for (absl::Duration begun; begun < absl::Seconds(2); begun += step)
        for (const char* domain : {"b", "c"})
        {
            world w;
            w.crash("g-a");
            w.run(begun);
            w.evacuate(domain);
            w.run(bound);
            w.expect_silence(domain, absl::Seconds(5));
            // The candidate's confirmation may have to run into its limit.
            w.run(absl::Seconds(3));
            cr_assert_neq(domain_of(w.primary()), domain, "after %ld ms",
                          absl::ToInt64Milliseconds(begun));
            cr_assert_eq(w.write(1), "done", "after %ld ms",
                         absl::ToInt64Milliseconds(begun));
        }
}

// The holder of the duty waited for its turn in each group, so eight groups
// were replaced one after the other.
Test(evacuation, the_primaries_of_eight_groups_are_replaced_together)
{
    world w(16, 8);
    w.evacuate("a");
    const auto& promoted = w.m_fleet.m_platform.m_promoted;
    for (int count = 0; count < 200 && promoted.empty(); ++count)
        w.run(step);
    cr_assert_not(promoted.empty());
    w.run(absl::Milliseconds(500));
    cr_assert_eq(promoted.size(), 8);
}

// Guards against a load of all hosts at once on endpoints that were idle: all
// hosts learn of the end at the same moment.
Test(evacuation, endpoints_are_warmed_up_after_a_cancelled_evacuation)
{
    world w;
    w.evacuate("b");
    w.run(bound);
    w.cancel_evacuation("b");
    w.run(absl::Milliseconds(100));
    auto* endpoint = w.m_fleet.host(0).m_host.runner().find_endpoint(
        base::endpoint_id("g-b"));
    cr_assert(endpoint != nullptr && endpoint->m_pace.is_warming_up());
    const auto* other = w.m_fleet.host(0).m_host.runner().find_endpoint(
        base::endpoint_id("g-c"));
    cr_assert_not(other->m_pace.is_warming_up());
}
