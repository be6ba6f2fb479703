#include "magnoliastack/fleet/configuration_relay.hpp"
#include "magnoliastack/fleet/endpoint_relay.hpp"
#include "magnoliastack/fleet/member_relay.hpp"
#include "magnoliastack/fleet/members.hpp"
#include "magnoliastack/fleet/report.hpp"
#include "magnoliastack/fleet/rows.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <string>

#include <criterion/criterion.h>

using namespace magnoliastack::fleet;
namespace base = magnoliastack::base;
namespace catalogue = magnoliastack::catalogue;
namespace rpc = magnoliastack::rpc;

namespace
{

host_report sample()
{
    host_report report;
    report.m_host = base::host_id("h1");
    report.m_incarnation = base::incarnation(5);
    report.m_number = 9;
    report.m_era = rpc::store_era(2);
    report.m_confirmed_at = rpc::store_instant(77);
    report.m_demand.push_back({base::organisation_id("souq"), 12.5, 3});
    group_report group;
    group.m_group = base::group_id("g");
    group.m_stopped_generation = 4;
    group.m_unreachable = absl::Milliseconds(350);
    leadership_row& row = group.m_row.emplace();
    row.m_group = group.m_group;
    row.m_phase = leadership_phase::moving;
    row.m_generation = 4;
    group.m_row_version = rpc::row_version(31);
    report.m_groups.push_back(group);
    return report;
}

member_row row(const std::string& host, std::uint64_t incarnation)
{
    return {base::host_id(host),   base::incarnation(incarnation),
            host + ":1",           base::failure_domain_id("d"),
            rpc::store_instant(1), std::nullopt};
}

catalogue::endpoint_entry endpoint(const std::string& name)
{
    catalogue::endpoint_entry entry;
    entry.m_id = base::endpoint_id(name);
    entry.m_group = base::group_id("g");
    entry.m_address = "10.0.0.1:5";
    entry.m_failure_domain = base::failure_domain_id("d");
    entry.m_slots = 4;
    entry.m_leaving = true;
    entry.m_started_unix_ms = 123456789;
    entry.m_cold_left = absl::Milliseconds(2500);
    return entry;
}

rpc::configuration_ptr declarations()
{
    auto result = std::make_shared<catalogue::configuration>();
    result->m_version = base::configuration_version(7);
    const base::group_id group("g");
    result->m_groups[group] = {group, 180};
    catalogue::route& route = result->m_routes["stock"];
    route.m_group = group;
    route.m_consistency = catalogue::consistency::read_your_writes;
    route.m_statement_timeout = absl::Seconds(1);
    route.m_max_staleness = absl::Milliseconds(2500);
    route.m_priority = 2;
    route.m_home_regions = {base::region_id("n"), base::region_id("s")};
    result->m_groups[group].m_cold_rate = 20;
    result->m_groups[group].m_sync_replicas = 1;
    const base::organisation_id who("souq");
    result->m_keys["key-1"] = who;
    result->m_organisations[who] = {who, 12.5, 30};
    result->m_organisations[who].m_home_regions = {base::region_id("s")};
    result->m_idle_transaction = absl::Seconds(3);
    return result;
}

base::instant at(int milliseconds)
{
    return base::instant() + absl::Milliseconds(milliseconds);
}

} // namespace

Test(report, what_is_told_is_what_is_heard)
{
    const auto decoded = decode(encode(datagram(sample())));
    cr_assert(decoded.has_value());
    const auto& report = std::get<host_report>(*decoded);
    cr_assert_eq(report.m_number, 9);
    cr_assert_eq(report.m_era.value(), 2);
    cr_assert_float_eq(report.m_demand.at(0).m_rate, 12.5, 0.001);
    cr_assert_eq(report.m_groups.at(0).m_stopped_generation, 4);
    cr_assert(report.m_groups.at(0).m_row->m_phase == leadership_phase::moving);
    cr_assert_eq(report.m_groups.at(0).m_row_version.value(), 31);
}

Test(report, damaged_bytes_never_stop_the_process)
{
    std::mt19937 random(11);
    member_update members{
        rpc::store_era(2), rpc::row_version(3), rpc::row_version(4), {}};
    members.m_rows.push_back({row("h1", 5), rpc::row_version(4)});
    for (const auto& what : {datagram(sample()), datagram(members),
                             datagram(endpoint_update{base::host_id("h1"),
                                                      rpc::store_instant(9),
                                                      0,
                                                      1,
                                                      {endpoint("i-1")}}),
                             datagram(configuration_update{declarations()})})
    {
        const std::string whole = encode(what);
        for (int run = 0; run < 3000; ++run)
        {
            std::string bytes = whole.substr(0, random() % (whole.size() + 1));
            for (int count = 0; count < 3 && !bytes.empty(); ++count)
                bytes[random() % bytes.size()] = static_cast<char>(random());
            // The verdict is free; the process has to survive it.
            static_cast<void>(decode(bytes));
        }
    }
}

Test(report, a_configuration_arrives_as_it_was_sent)
{
    const auto sent = declarations();
    const auto decoded = decode(encode(configuration_update{sent}));
    cr_assert(decoded.has_value());
    const auto& told =
        *std::get<configuration_update>(*decoded).m_configuration;
    cr_assert_eq(told.m_version.value(), 7);
    const auto& route = told.m_routes.at("stock");
    cr_assert_eq(route.m_group.str(), "g");
    cr_assert(route.m_consistency == catalogue::consistency::read_your_writes);
    cr_assert_eq(route.m_priority, 2);
    cr_assert(route.m_max_staleness == absl::Milliseconds(2500));
    cr_assert(route.m_statement_timeout == absl::Milliseconds(1000));
    cr_assert_not(route.m_open);
    cr_assert_eq(told.m_keys.at("key-1").str(), "souq");
    const auto& limits = told.m_organisations.at(base::organisation_id("souq"));
    cr_assert_float_eq(limits.m_rate, 12.5, 1e-9);
    cr_assert_float_eq(limits.m_burst, 30, 1e-9);
    cr_assert_eq(told.m_groups.at(base::group_id("g")).m_max_connections, 180);
    cr_assert(told.m_idle_transaction == absl::Seconds(3));
    cr_assert(route.m_home_regions ==
              sent->m_routes.at("stock").m_home_regions);
    cr_assert(limits.m_home_regions ==
              std::set<base::region_id>{base::region_id("s")});
    cr_assert_float_eq(told.m_groups.at(base::group_id("g")).m_cold_rate, 20,
                       1e-9);
    cr_assert_eq(told.m_groups.at(base::group_id("g")).m_sync_replicas, 1);
}

Test(report, endpoints_arrive_as_they_were_sent)
{
    const auto sent = endpoint("i-1");
    const auto decoded = decode(encode(endpoint_update{
        base::host_id("h1"), rpc::store_instant(9), 0, 1, {sent}}));
    cr_assert(decoded.has_value());
    const auto& told = std::get<endpoint_update>(*decoded);
    cr_assert_eq(told.m_read_at.value(), 9);
    cr_assert(told.m_endpoints.at(0) == sent);
}

Test(rows, each_kind_is_told_from_the_others)
{
    duty_row duty{base::host_id("h"), base::incarnation(2), 7,
                  rpc::store_instant(99)};
    const rpc::fleet_row stored{duty_key, encode(duty), rpc::row_version(1)};
    cr_assert_eq((*decode_duty(stored))->m_token, 7);
    cr_assert_not(decode_member(stored)->has_value());
    cr_assert_not(decode_leadership(stored)->has_value());
}

Test(rows, a_row_of_another_writer_is_an_error_and_no_crash)
{
    for (const char* value :
         {"", "{", "[]", "{\"generation\":\"x\"}", "{\"generation\":-1}"})
        cr_assert_not(decode_leadership({"group/g", value, rpc::row_version(1)})
                          .has_value());
}

Test(members, a_report_of_an_ended_process_is_ignored)
{
    member_book book(base::host_id("h0"), base::incarnation(1));
    book.row_changed(row("h1", 6), rpc::row_version(2), rpc::store_instant(60),
                     at(0));
    host_report old = sample();
    cr_assert_not(book.report_received(old, at(10)));
    old.m_incarnation = base::incarnation(6);
    cr_assert(book.report_received(old, at(20)));
    cr_assert_not(book.report_received(old, at(30)), "the same number again");
}

Test(members, hosts_marked_as_out_are_told_nothing)
{
    member_book book(base::host_id("h0"), base::incarnation(1));
    book.row_changed(row("h1", 5), rpc::row_version(2), rpc::store_instant(60),
                     at(0));
    cr_assert_eq(book.targets().size(), 1);
    auto out = row("h1", 5);
    out.m_out_since = rpc::store_instant(50);
    book.row_changed(out, rpc::row_version(3), rpc::store_instant(60), at(10));
    cr_assert(book.targets().empty());
}

// Guards against hosts that hear nothing for long, and against reports that
// mostly cross failure domains, which cost 0.03 of a grown day's worth.
Test(members, a_large_fleet_is_told_in_turns_and_the_own_domain_more_often)
{
    member_options options;
    options.m_fan_out = 4;
    options.m_near_fan_out = 2;
    options.m_far_fan_out = 1;
    member_book book(base::host_id("h0"), base::incarnation(1), options);
    book.row_changed(row("h0", 1), rpc::row_version(1), rpc::store_instant(60),
                     at(0));
    for (int host = 1; host <= 10; ++host)
    {
        auto other = row("h" + std::to_string(host), 1);
        if (host > 4)
            other.m_failure_domain = base::failure_domain_id("e");
        book.row_changed(other, rpc::row_version(host + 1),
                         rpc::store_instant(60), at(0));
    }
    std::map<std::string, int> told;
    for (int round = 0; round < 6; ++round)
        for (const auto& address : book.targets())
            ++told[address];
    cr_assert_eq(told.size(), 10);
    cr_assert_eq(told["h1:1"], 3);
    cr_assert_eq(told["h10:1"], 1);
    cr_assert(book.turn(*book.find(base::host_id("h1"))) ==
              2 * options.m_round);
    cr_assert(book.turn(*book.find(base::host_id("h10"))) ==
              6 * options.m_round);
}

// After a restart of the whole fleet each host took itself for the only one:
// 250 claims of one group in 2 s on grown Muscat trouble-3.
Test(members, a_host_that_starts_waits_for_its_turn_among_all)
{
    int first = 0;
    for (int self = 0; self < 20; ++self)
    {
        const base::host_id name("h" + std::to_string(self));
        member_book book(name, base::incarnation(1));
        for (int host = 0; host < 20; ++host)
            book.row_changed(row("h" + std::to_string(host), 1),
                             rpc::row_version(host + 1), rpc::store_instant(60),
                             at(0));
        const auto order = book.order("g", at(100));
        cr_assert_eq(order.size(), 20);
        first += order.front() == name ? 1 : 0;
        cr_assert_eq(book.order("g", at(5000)).size(), 1,
                     "hosts that were never heard do not count for ever");
    }
    cr_assert_eq(first, 1);
}

// The marking of a host whose change is carried out late must not let it lapse
// before it was there.
Test(members, a_mark_counts_from_a_time_at_which_it_was_there)
{
    member_book book(base::host_id("h0"), base::incarnation(1));
    auto out = row("h1", 5);
    out.m_out_since = rpc::store_instant(1000);
    book.row_changed(out, rpc::row_version(3), rpc::store_instant(4500), at(0));
    const auto* item = book.find(base::host_id("h1"));
    cr_assert_eq(item->m_marked_by->value(), 4500);
    book.row_changed(out, rpc::row_version(4), rpc::store_instant(90000),
                     at(0));
    cr_assert_eq(item->m_marked_by->value(), 11000);
    book.row_changed(row("h1", 5), rpc::row_version(5),
                     rpc::store_instant(95000), at(0));
    cr_assert_not(item->m_marked_by.has_value());
}

// Grown Muscat scale-2: hosts that had been marked while they were cut off came
// back, took all others for silent and marked them, and so on for 15 s.
Test(members, a_host_that_was_marked_does_not_mark_the_others_at_its_return)
{
    member_book book(base::host_id("h0"), base::incarnation(1));
    std::uint64_t version = 0;
    const auto change = [&](member_row changed, int now)
    {
        book.row_changed(changed, rpc::row_version(++version),
                         rpc::store_instant(60), at(now));
    };
    change(row("h0", 1), 0);
    for (int host = 1; host < 6; ++host)
        change(row("h" + std::to_string(host), 1), 0);
    auto out = row("h0", 1);
    out.m_out_since = rpc::store_instant(50);
    change(out, 8000);
    change(row("h0", 1), 9000);
    cr_assert(book.to_mark(at(9100)).empty());
    cr_assert(book.to_mark(at(16000)).empty());
    cr_assert_eq(book.to_mark(at(17500)).size(), 5);
}

// A host's own change may be newer than a row that it has not seen: it must not
// tell others that it knows all rows up to its own.
Test(members, an_own_change_does_not_hide_an_older_row)
{
    member_book book(base::host_id("h0"), base::incarnation(1));
    book.row_changed(row("h0", 1), rpc::row_version(9), rpc::store_instant(60),
                     at(0));
    cr_assert_eq(book.complete_version().value(), 0);
    book.row_changed(row("h1", 1), rpc::row_version(8), rpc::store_instant(60),
                     at(0));
    book.rows_complete(rpc::row_version(8));
    cr_assert_eq(book.complete_version().value(), 8);
    book.rows_complete(rpc::row_version(20));
    cr_assert_eq(book.complete_version().value(), 9);
}

// A host that reaches only its peers could not learn of a new member, and so
// lost its part of the rates after a lease.
Test(members, rows_that_a_peer_lacks_are_passed_on_in_order)
{
    member_book book(base::host_id("h0"), base::incarnation(1));
    for (int host = 0; host < 30; ++host)
        book.row_changed(row("h" + std::to_string(host), 5),
                         rpc::row_version(static_cast<unsigned>(100 - host)),
                         rpc::store_instant(60), at(0));
    book.rows_complete(rpc::row_version(100));
    host_report report = sample();
    report.m_members_version = rpc::row_version(80);
    cr_assert(book.report_received(report, at(10)));
    member_relay relay;
    const member& peer = *book.find(base::host_id("h1"));
    const auto update = relay.next(book, peer, at(10));
    cr_assert(update.has_value());
    cr_assert_eq(update->m_after.value(), 80);
    cr_assert_eq(update->m_rows.size(), 20);
    cr_assert_eq(update->m_rows.front().m_version.value(), 81);
    cr_assert_eq(update->m_complete.value(),
                 update->m_rows.back().m_version.value());
    cr_assert_not(relay.next(book, peer, at(100)).has_value(),
                  "it was told just now");
    report.m_number = 10;
    report.m_members_version = rpc::row_version(100);
    cr_assert(book.report_received(report, at(1000)));
    cr_assert_not(relay.next(book, peer, at(1000)).has_value());
}

// A host that had written the newest member's row itself crashed at the report
// of a peer that lacked the row before: no row was left to pass on.
Test(members, a_row_that_was_replaced_meanwhile_is_not_passed_on)
{
    member_book book(base::host_id("h0"), base::incarnation(1));
    book.row_changed(row("h0", 1), rpc::row_version(10),
                     rpc::store_instant(100), at(0));
    book.row_changed(row("h1", 1), rpc::row_version(11),
                     rpc::store_instant(100), at(0));
    book.row_changed(row("h2", 1), rpc::row_version(12),
                     rpc::store_instant(100), at(0));
    book.rows_complete(rpc::row_version(12));
    book.row_changed(row("h2", 2), rpc::row_version(15),
                     rpc::store_instant(200), at(5));
    member peer = *book.find(base::host_id("h1"));
    host_report& report = peer.m_report.emplace();
    report.m_members_version = rpc::row_version(11);
    member_relay relay;
    cr_assert_not(relay.next(book, peer, at(10)).has_value());
    // Once the store has shown all rows, the new one is passed on at once.
    book.rows_complete(rpc::row_version(15));
    const auto update = relay.next(book, peer, at(20));
    cr_assert(update.has_value());
    cr_assert_eq(update->m_rows.size(), 1);
    cr_assert_eq(update->m_complete, rpc::row_version(15));
}

Test(endpoint_relay, only_a_later_reading_of_other_endpoints_is_asked_for)
{
    endpoint_relay relay(base::host_id("h0"));
    relay.read({endpoint("i-1")}, rpc::store_instant(100));
    host_report report = sample();
    report.m_endpoints_read_at = rpc::store_instant(200);
    report.m_endpoints_digest = relay.digest();
    cr_assert_not(relay.should_ask(report, at(0)));
    report.m_endpoints_digest = 1;
    cr_assert(relay.should_ask(report, at(0)));
    cr_assert_not(relay.should_ask(report, at(100)), "it was asked just now");
    report.m_endpoints_read_at = rpc::store_instant(90);
    cr_assert_not(relay.should_ask(report, at(5000)));
}

// A list of several hundred endpoints does not fit into one datagram.
Test(endpoint_relay, a_list_arrives_whole_or_not_at_all)
{
    std::vector<catalogue::endpoint_entry> many;
    for (int index = 0; index < 1000; ++index)
        many.push_back(endpoint("i-" + std::to_string(index)));
    endpoint_relay sender(base::host_id("h0"));
    sender.read(many, rpc::store_instant(100));
    auto parts = sender.updates();
    cr_assert_eq(parts.size(), 4);
    endpoint_relay receiver(base::host_id("h1"));
    for (const std::size_t part : {3, 0, 2})
        cr_assert_not(receiver.received(parts[part]).has_value());
    const auto whole = receiver.received(parts[1]);
    cr_assert(whole.has_value());
    cr_assert(*whole == many);
    receiver.read(many, rpc::store_instant(100));
    for (const auto& part : parts)
        cr_assert_not(receiver.received(part).has_value(), "nothing is newer");
}

// One long name made the datagram larger than a datagram may be, and no host
// that is told the endpoints got the list again.
Test(endpoint_relay, every_part_of_a_list_with_long_names_fits_into_a_datagram)
{
    constexpr std::size_t largest_datagram = 65'507;
    std::vector<catalogue::endpoint_entry> many;
    for (int index = 0; index < 600; ++index)
    {
        many.push_back(endpoint(std::string(190, 'i') + std::to_string(index)));
        many.back().m_group = base::group_id(std::string(200, 'g'));
        many.back().m_failure_domain =
            base::failure_domain_id(std::string(200, 'd'));
    }
    endpoint_relay sender(base::host_id("h0"));
    sender.read(many, rpc::store_instant(100));
    endpoint_relay receiver(base::host_id("h1"));
    std::optional<std::vector<catalogue::endpoint_entry>> whole;
    for (const auto& part : sender.updates())
    {
        cr_assert_leq(encode(part).size(), largest_datagram);
        whole = receiver.received(part);
    }
    cr_assert(whole.has_value());
    cr_assert(*whole == many);
}

Test(configuration_relay, a_large_configuration_arrives_whole_or_not_at_all)
{
    auto large = std::make_shared<catalogue::configuration>();
    large->m_version = base::configuration_version(7);
    for (int route = 0; route < 3000; ++route)
        large->m_routes["database-" + std::to_string(route)].m_group =
            base::group_id("g");
    configuration_relay sender(base::host_id("h0"));
    const auto datagrams = sender.datagrams(large);
    cr_assert_gt(datagrams.size(), 2);
    configuration_relay receiver(base::host_id("h1"));
    const auto part = [&datagrams](std::size_t index)
    {
        return std::get<configuration_part>(*decode(datagrams[index]));
    };
    cr_assert_null(receiver.received(part(1), at(0)).get());
    // A part of another version begins anew.
    auto other = part(0);
    other.m_version = base::configuration_version(8);
    cr_assert_null(receiver.received(other, at(0)).get());
    cr_assert(receiver.is_receiving(at(400)), "nobody else is to be asked");
    cr_assert_not(receiver.is_receiving(at(600)), "the others are lost");
    rpc::configuration_ptr whole;
    for (std::size_t index = datagrams.size(); index > 0; --index)
    {
        cr_assert_null(whole.get());
        whole = receiver.received(part(index - 1), at(0));
    }
    cr_assert_not_null(whole.get());
    cr_assert_eq(whole->m_routes.size(), large->m_routes.size());
    cr_assert_eq(whole->m_version.value(), 7);
    // Parts of one sender that do not fit together are no configuration.
    for (std::size_t index = 0; index < datagrams.size(); ++index)
    {
        auto damaged = part(index);
        damaged.m_bytes.resize(100);
        cr_assert_null(receiver.received(damaged, at(0)).get());
    }
}

// A host of an older version passes on what a newer one does not read.
Test(endpoint_relay, an_entry_that_no_host_may_use_is_not_taken_from_a_peer)
{
    std::vector<catalogue::endpoint_entry> told = {
        endpoint("i-1"), endpoint("i-2\r\nQUIT"), endpoint("i-3"),
        endpoint("i-4"), endpoint("i-5")};
    told[2].m_slots = 0;
    told[3].m_cold_left = absl::InfiniteDuration();
    told[4].m_group = base::group_id(std::string(60'000, 'g'));
    endpoint_relay sender(base::host_id("h0"));
    sender.read(told, rpc::store_instant(100));
    endpoint_relay receiver(base::host_id("h1"));
    std::optional<std::vector<catalogue::endpoint_entry>> whole;
    for (const auto& part : sender.updates())
        whole = receiver.received(part);
    cr_assert(whole.has_value());
    cr_assert_eq(whole->size(), 1);
    cr_assert_eq(whole->front().m_id.str(), "i-1");
}

// Large trouble-3: hosts that had started together all told the same host of
// the other domains in each round, and each was told nothing for most of a
// minute.
Test(members, each_host_is_told_by_another_domain_in_nearly_every_second)
{
    constexpr int hosts = 60;
    constexpr int domains = 6;
    std::map<std::string, int> heard;
    for (int self = 0; self < hosts; ++self)
    {
        const auto name = [](int host)
        {
            return "h" + std::to_string(100 + host);
        };
        member_book book(base::host_id(name(self)), base::incarnation(1));
        for (int host = 0; host < hosts; ++host)
        {
            auto member = row(name(host), 1);
            member.m_failure_domain =
                base::failure_domain_id("d" + std::to_string(host % domains));
            book.row_changed(member, rpc::row_version(2),
                             rpc::store_instant(60), at(0));
        }
        for (int round = 0; round < 4; ++round)
            for (const auto& address : book.targets())
                if (std::stoi(address.substr(1)) % domains !=
                    (100 + self) % domains)
                    ++heard[address];
    }
    cr_assert_geq(heard.size(), hosts * 9 / 10, "%zu of %d hosts", heard.size(),
                  hosts);
}
