#include "magnoliastack/standin/platform_model.hpp"

#include <criterion/criterion.h>

using namespace magnoliastack;
using namespace magnoliastack::standin;

namespace
{

base::instant at(absl::Duration since_start)
{
    return base::instant::from_nanoseconds(0) + absl::Seconds(100) +
           since_start;
}

rpc::listed_host host(const std::string& name)
{
    return {base::host_id(name), "127.0.0.1:1", base::failure_domain_id("a"),
            false};
}

} // namespace

// Guards against two operators who both believe that their change won.
Test(platform_table, only_one_swap_of_a_version_wins)
{
    platform_model platform({});
    cr_assert(platform.compare_and_swap("row", 0, "first").m_swapped);
    const rpc::swap_outcome second =
        platform.compare_and_swap("row", 0, "second");
    cr_assert_not(second.m_swapped);
    cr_assert_eq(second.m_row.m_value, "first");
    cr_assert_eq(second.m_row.m_version, 1u);
    cr_assert(platform.compare_and_swap("row", 1, "third").m_swapped);
    cr_assert_eq(platform.read_row("row").m_version, 2u);
    cr_assert_eq(platform.read_row("absent").m_version, 0u);
    cr_assert_eq(platform.reads(), 2u);
    cr_assert_eq(platform.writes(), 3u);
}

// Guards against an object whose content differs from its name.
Test(platform_objects, the_name_must_be_the_hash_of_the_content)
{
    platform_model platform({});
    const std::string name = "ba7816bf8f01cfea414140de5dae2223"
                             "b00361a396177a9cb410ff61f20015ad";
    cr_assert(platform.put_object(name, "abc").has_value());
    cr_assert_not(platform.put_object(name, "abd").has_value());
    cr_assert_eq(platform.get_object(name), "abc");
    cr_assert_not(platform.get_object("other").has_value());
}

// Guards against a dead host that stays listed, and a living one that drops
// out.
Test(platform_hosts, a_host_drops_out_three_seconds_after_its_announce)
{
    platform_model platform({});
    platform.announce(host("h1"), false, at({}));
    platform.announce(host("h2"), false, at({}));
    platform.announce(host("h2"), false, at(absl::Seconds(2)));
    cr_assert_eq(platform.list_hosts(at(absl::Seconds(2.9))).m_hosts.size(),
                 2u);
    cr_assert_eq(platform.list_hosts(at(absl::Seconds(3))).m_hosts.size(), 1u);
    platform.announce(host("h2"), true, at(absl::Seconds(4)));
    cr_assert(platform.list_hosts(at(absl::Seconds(4))).m_hosts.empty());
}

// Guards against a list that shows changes before the lag has passed, for
// hosts and for leaving endpoints.
Test(platform_hosts, the_list_shows_the_state_of_the_lag_ago)
{
    platform_model platform({});
    platform.set_list_lag(absl::Seconds(1));
    platform.announce(host("h1"), false, at({}));
    platform.set_leaving_endpoints({base::endpoint_id("e1")}, at({}));
    cr_assert(platform.list_hosts(at(absl::Seconds(0.9))).m_hosts.empty());
    cr_assert(platform.list_hosts(at(absl::Seconds(0.9)))
                  .m_leaving_endpoints.empty());
    cr_assert_eq(platform.list_hosts(at(absl::Seconds(1))).m_hosts.size(), 1u);
    cr_assert_eq(
        platform.list_hosts(at(absl::Seconds(1))).m_leaving_endpoints.size(),
        1u);
    cr_assert_eq(platform.list_hosts(at(absl::Seconds(3.9))).m_hosts.size(),
                 1u);
    cr_assert(platform.list_hosts(at(absl::Seconds(4))).m_hosts.empty());
}

// Guards against faults that hit other hosts or more answers than asked for.
Test(platform_faults, each_fault_changes_the_fate_of_its_calls_only)
{
    platform_model platform({});
    platform.set_cut({"h1"});
    platform.set_delay(absl::Milliseconds(20));
    cr_assert(platform.fate_of("h1").m_unanswered);
    cr_assert_not(platform.fate_of("h2").m_unanswered);
    cr_assert_not(platform.fate_of("h2").m_fails);
    cr_assert(platform.fate_of("h2").m_delay == absl::Milliseconds(20));
    platform.set_outage(true);
    cr_assert(platform.fate_of("h2").m_fails);
    platform.set_drop_swap_answers(1);
    cr_assert(platform.swap_answer_lost());
    cr_assert_not(platform.swap_answer_lost());
}
