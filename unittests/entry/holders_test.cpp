// Who holds connections, and when statements are forwarded.
#include "magnoliastack/entry/connection_holders.hpp"

#include "driver.hpp"

#include <criterion/criterion.h>

using namespace entry_test;
namespace fleet = magnoliastack::fleet;

namespace
{

// A view of a fleet with six hosts in each of three failure domains, all of
// them heard lately.
struct holders_fixture
{
    static constexpr std::size_t hosts = 18;

    explicit holders_fixture(const std::string& self = "h0")
        : m_members(base::host_id(self), base::incarnation(1)),
          m_holders(base::host_id(self), m_members)
    {
        for (std::size_t index = 0; index < hosts; ++index)
            add(index);
        declare(40, 30);
    }

    void add(std::size_t index)
    {
        fleet::member_row row;
        row.m_host = base::host_id("h" + std::to_string(index));
        row.m_incarnation = base::incarnation(1);
        row.m_failure_domain =
            base::failure_domain_id("d" + std::to_string(index % 3));
        m_members.row_changed(row, rpc::row_version(index + 1),
                              rpc::store_instant(1), m_now);
        hear(index);
    }
    void hear(std::size_t index)
    {
        fleet::host_report report;
        report.m_host = base::host_id("h" + std::to_string(index));
        report.m_incarnation = base::incarnation(1);
        report.m_number = ++m_reports;
        m_members.report_received(report, m_now);
    }
    void declare(std::uint32_t connections, std::size_t organisations)
    {
        catalogue::configuration config;
        const base::group_id group("g");
        config.m_groups[group] = {group, connections};
        for (std::size_t index = 0; index < organisations; ++index)
        {
            const base::organisation_id who("o" + std::to_string(index));
            config.m_organisations[who] = {who, 1, 1};
        }
        std::vector<catalogue::endpoint_entry> entries;
        for (const char* name : {"a", "b"})
        {
            catalogue::endpoint_entry item;
            item.m_id = base::endpoint_id(name);
            item.m_group = group;
            item.m_failure_domain = base::failure_domain_id(m_endpoint_domain);
            entries.push_back(item);
        }
        m_holders.set_endpoints(config, entries);
    }
    bool refresh(bool large = true)
    {
        m_now = m_now + absl::Milliseconds(300);
        return m_holders.refresh(large, m_now);
    }
    std::vector<base::host_id> holders(const std::string& organisation)
    {
        return m_holders.holders(base::endpoint_id("a"),
                                 base::organisation_id(organisation));
    }

    base::instant m_now = base::instant() + absl::Seconds(1000);
    std::string m_endpoint_domain = "d1";
    std::uint64_t m_reports = 0;
    fleet::member_book m_members;
    entry::connection_holders m_holders;
};

const base::group_id the_group("g");

} // namespace

// Hosts that disagreed on the holders would each open connections of their own.
Test(holders, all_hosts_name_the_same_two_hosts_of_the_endpoints_domain)
{
    holders_fixture one("h0");
    holders_fixture other("h5");
    one.refresh();
    other.refresh();
    const auto found = one.holders("o1");
    cr_assert_eq(found.size(), 2u);
    cr_assert(found == other.holders("o1"));
    for (const auto& host : found)
        cr_assert_eq(one.m_members.find(host)->m_row.m_failure_domain.str(),
                     "d1");
}

// One holder for all organisations would have half of the connections and all
// of the work.
Test(holders, organisations_are_divided_over_both_holders)
{
    holders_fixture f;
    f.refresh();
    std::map<base::host_id, int> first;
    for (int index = 0; index < 60; ++index)
        ++first[f.holders("o" + std::to_string(index)).front()];
    cr_assert_eq(first.size(), 2u);
    for (const auto& [host, count] : first)
        cr_assert_geq(count, 15);
}

// Without any host in its domain an endpoint would have no holder.
Test(holders, an_endpoint_of_a_domain_without_hosts_has_holders_elsewhere)
{
    holders_fixture f;
    f.m_endpoint_domain = "nowhere";
    f.declare(40, 30);
    f.refresh();
    cr_assert_eq(f.holders("o1").size(), 2u);
}

// A holder that has died would be asked for as long as its row is not marked.
Test(holders, a_silent_host_is_replaced_by_the_next_one)
{
    holders_fixture f;
    f.refresh();
    const auto before = f.holders("o1");
    f.m_now = f.m_now + absl::Seconds(60);
    for (std::size_t index = 0; index < holders_fixture::hosts; ++index)
        if (base::host_id("h" + std::to_string(index)) != before.front())
            f.hear(index);
    cr_assert(f.refresh());
    const auto after = f.holders("o1");
    cr_assert_eq(after.size(), 2u);
    cr_assert_eq(std::count(after.begin(), after.end(), before.front()), 0);
    cr_assert_eq(std::count(after.begin(), after.end(), before.back()), 1);
}

// A fleet at the limit would close and open all its connections at each change
// of its size.
Test(holders, forwarding_goes_on_below_two_and_off_above_three)
{
    holders_fixture f;
    // 0.6 of 66 over 18 hosts is 2.2.
    f.declare(66, 30);
    f.refresh();
    cr_assert_not(f.m_holders.is_on(the_group));
    f.declare(57, 30);
    f.refresh();
    cr_assert(f.m_holders.is_on(the_group));
    f.declare(66, 30);
    f.refresh();
    cr_assert(f.m_holders.is_on(the_group));
    f.declare(93, 30);
    f.refresh();
    cr_assert_not(f.m_holders.is_on(the_group));
}

// A few organisations find their connections without any forwarding, and small
// fleets are served as before.
Test(holders, few_organisations_or_hosts_need_no_forwarding)
{
    holders_fixture f;
    f.declare(40, 1);
    f.refresh();
    cr_assert_not(f.m_holders.is_on(the_group));
    f.declare(40, 30);
    f.refresh(false);
    cr_assert_not(f.m_holders.is_on(the_group));
    cr_assert(f.m_holders.own_parts().empty());
}

// Holders that kept more than their part would leave nothing for hosts that
// cannot reach them.
Test(holders, two_holders_keep_nine_tenths_of_the_connections)
{
    std::size_t kept = 0;
    for (std::size_t index = 0; index < holders_fixture::hosts; ++index)
    {
        holders_fixture f("h" + std::to_string(index));
        f.refresh();
        for (const auto& [endpoint, part] : f.m_holders.own_parts())
            kept += part;
        cr_assert_float_eq(f.m_holders.direct_part(the_group), 0.1, 1e-9);
    }
    // Two endpoints with 40 connections each.
    cr_assert_eq(kept, 72u);
}
