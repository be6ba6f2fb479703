#include "magnoliastack/membership/member_table.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace base = magnoliastack::base;
namespace membership = magnoliastack::membership;
namespace rpc = magnoliastack::rpc;

using rpc::member_state;

namespace
{

base::host_id id_of(std::size_t index)
{
    return base::host_id(absl::StrCat("host-", index));
}

std::string address_of(std::size_t index)
{
    return absl::StrCat("192.0.2.1:", 4000 + index);
}

// Several hosts in virtual time, in steps of one exchange interval. Exchanges
// take no time; a host that is down or cut off does not answer.
class fleet
{
public:
    explicit fleet(std::size_t size, membership::member_options options = {})
        : m_options(std::move(options)), m_cut(size, 0), m_down(size, false)
    {
        for (std::size_t index = 0; index < size; ++index)
        {
            m_tables.push_back(nullptr);
            start(index, 1);
        }
    }
    void start(std::size_t index, std::uint64_t incarnation)
    {
        rpc::member_entry self;
        self.m_host = id_of(index);
        self.m_incarnation = base::incarnation(incarnation);
        self.m_failure_domain = base::failure_domain_id("domain-1");
        self.m_peer_address = address_of(index);
        m_options.m_random_seed = 1 + index;
        m_tables[index] =
            std::make_unique<membership::member_table>(self, m_options);
    }
    // Gives every host the platform's list of those that run.
    void list_all()
    {
        rpc::host_list list;
        for (std::size_t index = 0; index < m_tables.size(); ++index)
        {
            if (m_down[index])
                continue;
            list.m_hosts.push_back({id_of(index), address_of(index),
                                    base::failure_domain_id("domain-1"),
                                    false});
        }
        for (auto& table : m_tables)
            table->list_received(list, m_now);
    }
    void run(absl::Duration span)
    {
        const base::instant end = m_now + span;
        for (; m_now < end; m_now = m_now + absl::Milliseconds(100))
        {
            for (std::size_t index = 0; index < m_tables.size(); ++index)
            {
                if (!m_down[index])
                    tick(index);
            }
        }
    }
    void tick(std::size_t index)
    {
        for (const auto& sent : m_tables[index]->tick(m_now))
        {
            const std::size_t to = std::stoul(sent.m_address.substr(10)) - 4000;
            if (m_down[to] || m_cut[to] != m_cut[index])
            {
                m_tables[index]->exchange_failed(sent.m_host, m_now);
                continue;
            }
            const auto answer =
                m_tables[to]->exchange_received(sent.m_message, m_now);
            m_tables[index]->answer_received(sent.m_host, answer, m_now, m_now);
        }
    }
    // What one host thinks of another.
    member_state state(std::size_t at, std::size_t of)
    {
        const auto* known = m_tables[at]->find(id_of(of));
        return known == nullptr ? member_state::dead : known->m_entry.m_state;
    }
    // How many of the running hosts think so.
    std::size_t count(std::size_t of, member_state wanted)
    {
        std::size_t sum = 0;
        for (std::size_t at = 0; at < m_tables.size(); ++at)
            sum += at != of && !m_down[at] && state(at, of) == wanted ? 1 : 0;
        return sum;
    }

    membership::member_options m_options;
    std::vector<std::unique_ptr<membership::member_table>> m_tables;
    std::vector<int> m_cut;
    std::vector<bool> m_down;
    base::instant m_now = base::instant::from_nanoseconds(1'000'000'000);
};

} // namespace

// Guards against hosts that do not find each other without the platform's list.
Test(membership, a_seed_leads_to_the_whole_fleet)
{
    membership::member_options options;
    options.m_seeds = {address_of(0)};
    fleet hosts(9, options);
    hosts.run(absl::Seconds(3));
    for (auto& table : hosts.m_tables)
        cr_assert_eq(table->live_count(), 9U);
}

// Guards against a dead host that stays in the fleet, and against a live one
// that is given up too early.
Test(membership, a_silent_host_is_suspect_and_then_dead)
{
    fleet hosts(9);
    hosts.list_all();
    hosts.run(absl::Seconds(5));
    cr_assert_eq(hosts.count(4, member_state::alive), 8U);
    hosts.m_down[4] = true;
    hosts.run(absl::Milliseconds(900));
    cr_assert_eq(hosts.count(4, member_state::alive), 8U);
    hosts.run(absl::Milliseconds(600));
    cr_assert_eq(hosts.count(4, member_state::suspect), 8U);
    hosts.run(absl::Seconds(2));
    cr_assert_eq(hosts.count(4, member_state::dead), 8U);
    for (std::size_t other = 0; other < 9; ++other)
        cr_assert(other == 4 || hosts.count(other, member_state::dead) == 0);
}

// Guards against a host that stays dead for the others after a partition.
Test(membership, both_sides_find_each_other_after_a_partition)
{
    fleet hosts(9);
    hosts.list_all();
    hosts.run(absl::Seconds(2));
    for (std::size_t index = 0; index < 3; ++index)
        hosts.m_cut[index] = 1;
    hosts.run(absl::Seconds(5));
    cr_assert_eq(hosts.count(0, member_state::dead), 6U);
    std::fill(hosts.m_cut.begin(), hosts.m_cut.end(), 0);
    hosts.run(absl::Seconds(2));
    for (std::size_t index = 0; index < 9; ++index)
        cr_assert_eq(hosts.count(index, member_state::alive), 8U);
}

// Guards against an accusation that a live host cannot clear.
Test(membership, a_host_refutes_that_it_is_dead)
{
    fleet hosts(3);
    hosts.list_all();
    hosts.run(absl::Seconds(1));
    rpc::exchange_message accusation;
    accusation.m_sender = id_of(1);
    accusation.m_incarnation = base::incarnation(1);
    rpc::member_entry entry = hosts.m_tables[0]->self();
    entry.m_state = member_state::dead;
    accusation.m_entries.push_back(entry);
    hosts.m_tables[0]->exchange_received(accusation, hosts.m_now);
    cr_assert(hosts.m_tables[0]->self().m_incarnation == base::incarnation(2));
    hosts.run(absl::Seconds(1));
    cr_assert(hosts.m_tables[2]->find(id_of(0))->m_entry.m_incarnation ==
              base::incarnation(2));
}

// Guards against old gossip that brings a former process back, and against
// proof of contact that outlives the process.
Test(membership, a_higher_incarnation_replaces_a_lower_one)
{
    fleet hosts(3);
    hosts.list_all();
    hosts.run(absl::Seconds(1));
    cr_assert(hosts.m_tables[1]->find(id_of(0))->m_answered_sent_at);
    hosts.start(0, 7);
    rpc::exchange_message relayed;
    relayed.m_sender = id_of(2);
    relayed.m_incarnation = base::incarnation(1);
    relayed.m_entries.push_back(hosts.m_tables[0]->self());
    hosts.m_tables[1]->exchange_received(relayed, hosts.m_now);
    const auto* known = hosts.m_tables[1]->find(id_of(0));
    cr_assert(known->m_entry.m_incarnation == base::incarnation(7));
    cr_assert(!known->m_answered_sent_at);
    relayed.m_entries[0].m_incarnation = base::incarnation(1);
    relayed.m_entries[0].m_heartbeat = 1'000;
    hosts.m_tables[1]->exchange_received(relayed, hosts.m_now);
    cr_assert(known->m_entry.m_incarnation == base::incarnation(7));
}

// Guards against a host that takes all others for dead after its own pause.
Test(membership, an_own_pause_accuses_nobody)
{
    fleet hosts(5);
    hosts.list_all();
    hosts.run(absl::Seconds(2));
    hosts.m_down[0] = true;
    hosts.run(absl::Seconds(10));
    hosts.m_down[0] = false;
    hosts.m_tables[0]->tick(hosts.m_now);
    for (std::size_t index = 1; index < 5; ++index)
        cr_assert(hosts.state(0, index) == member_state::alive);
}

// Guards against a leaving host that others still take for a full member.
Test(membership, leaving_is_known_everywhere)
{
    fleet hosts(5);
    hosts.list_all();
    hosts.run(absl::Seconds(1));
    hosts.m_tables[0]->leave();
    hosts.run(absl::Milliseconds(300));
    cr_assert_eq(hosts.count(0, member_state::leaving), 4U);
}

// Guards against gossip beyond the byte budget, live hosts that are declared
// dead, and dead ones that are not, in a fleet above the full exchange limit.
Test(membership, a_large_fleet_keeps_the_budget_and_finds_failures,
     .timeout = 120)
{
    constexpr std::size_t size = 150;
    fleet hosts(size);
    hosts.list_all();
    hosts.run(absl::Seconds(30));
    std::uint64_t before = 0;
    for (auto& table : hosts.m_tables)
        before += table->bytes_sent();
    hosts.m_down[7] = hosts.m_down[8] = true;
    hosts.run(absl::Seconds(20));
    std::uint64_t after = 0;
    for (auto& table : hosts.m_tables)
        after += table->bytes_sent();
    const std::uint64_t rate = (after - before) / size / 20;
    std::size_t falsely_dead = 0;
    for (std::size_t index = 0; index < size; ++index)
    {
        if (index != 7 && index != 8)
            falsely_dead += hosts.count(index, member_state::dead);
    }
    std::cout << size << " hosts: " << rate << " bytes a second, "
              << hosts.count(7, member_state::dead)
              << " hosts know of a dead one, " << falsely_dead
              << " false deaths\n";
    cr_assert(rate <= hosts.m_options.m_byte_budget);
    cr_assert_eq(hosts.count(7, member_state::dead), size - 2);
    cr_assert_eq(falsely_dead, 0U);
}

// Guards against a version that takes long to reach a large fleet, and against
// a host that cannot collect a majority of answers in the time it has.
Test(membership, a_version_reaches_a_large_fleet_and_its_judge, .timeout = 120)
{
    constexpr std::size_t size = 150;
    fleet hosts(size);
    hosts.list_all();
    hosts.run(absl::Seconds(5));
    for (auto& table : hosts.m_tables)
        table->set_configuration_version(base::configuration_version(3));
    hosts.m_tables[0]->set_contact_period(absl::Seconds(3));
    const base::instant since = hosts.m_now;
    hosts.run(absl::Seconds(4));
    std::size_t confirmed = 0;
    for (const auto& known : hosts.m_tables[0]->members())
    {
        if (known.m_entry.m_configuration_version ==
                base::configuration_version(3) &&
            known.m_answered_sent_at && *known.m_answered_sent_at >= since)
            ++confirmed;
    }
    cr_assert_eq(confirmed, size - 1);
}

// Guards against seeds of which one gives a wrong fleet: random kills, restarts
// and partitions of up to 20 hosts, after which all agree.
Test(membership, random_faults_end_in_agreement, .timeout = 120)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        std::mt19937_64 random(seed);
        const std::size_t size = 3 + random() % 18;
        fleet hosts(size);
        hosts.list_all();
        std::vector<std::uint64_t> incarnations(size, 1);
        for (int fault = 0; fault < 12; ++fault)
        {
            const std::size_t index = random() % size;
            hosts.m_cut[random() % size] = static_cast<int>(random() % 2);
            if (hosts.m_down[index])
                hosts.start(index, ++incarnations[index] * 10);
            hosts.m_down[index] = !hosts.m_down[index];
            hosts.run(absl::Milliseconds(100 * (random() % 40)));
        }
        std::fill(hosts.m_cut.begin(), hosts.m_cut.end(), 0);
        hosts.list_all();
        hosts.run(absl::Seconds(20));
        for (std::size_t of = 0; of < size; ++of)
        {
            const auto wanted =
                hosts.m_down[of] ? member_state::dead : member_state::alive;
            for (std::size_t at = 0; at < size; ++at)
            {
                cr_assert(at == of || hosts.m_down[at] ||
                              hosts.state(at, of) == wanted,
                          "seed %llu: host %zu has a wrong state of %zu",
                          static_cast<unsigned long long>(seed), at, of);
            }
        }
    }
}
