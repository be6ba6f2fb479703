// Measures what the decision libraries cost at growing sizes, in virtual time.
#include "magnoliastack/admission/fair_queue.hpp"
#include "magnoliastack/admission/token_bucket.hpp"
#include "magnoliastack/bench/fit.hpp"
#include "magnoliastack/credentials/issue.hpp"
#include "magnoliastack/credentials/key_ring.hpp"
#include "magnoliastack/group/group_view.hpp"
#include "magnoliastack/inventory/inventory.hpp"
#include "magnoliastack/membership/member_table.hpp"
#include "magnoliastack/pool/endpoint_pool.hpp"
#include "magnoliastack/session/token_codec.hpp"
#include "magnoliastack/share/ledger.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <malloc.h>

namespace
{

using namespace magnoliastack;

using samples = std::vector<bench::sample>;

// A quantity that is measured at several sizes.
struct quantity
{
    std::string m_name;
    std::string m_unit;
    std::string m_per;
    samples m_samples;
};

constexpr double micro = 1e6;

double cpu_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) / 1e9;
}

// Bytes that the allocator has handed out.
double bytes_in_use()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

base::instant at(absl::Duration since_start)
{
    return base::instant{} + absl::Seconds(1000) + since_start;
}

template <typename Action>
double cpu_of(Action action)
{
    const double start = cpu_seconds();
    action();
    return cpu_seconds() - start;
}

// Exchanges all messages that are due, without loss or delay.
void exchange_all(
    std::map<base::host_id, std::unique_ptr<membership::member_table>>& hosts,
    base::instant now)
{
    for (auto& [host, table] : hosts)
        for (const auto& out : table->tick(now))
        {
            const auto peer = hosts.find(out.m_host);
            if (peer == hosts.end())
                continue;
            const auto answer =
                peer->second->exchange_received(out.m_message, now);
            table->answer_received(out.m_host, answer, now, now);
        }
}

std::vector<quantity> measure_gossip(const std::string& prefix,
                                     const std::vector<int>& counts)
{
    constexpr int settle_seconds = 5;
    constexpr int seconds = 30;
    quantity bytes{prefix + "-bytes", "bytes/s per host", "host known", {}};
    quantity cpu{prefix + "-cpu", "us/s per host", "host known", {}};
    quantity memory{prefix + "-memory", "bytes per host", "host known", {}};
    for (const int count : counts)
    {
        const double before = bytes_in_use();
        rpc::host_list list;
        std::map<base::host_id, std::unique_ptr<membership::member_table>>
            hosts;
        for (int i = 0; i < count; ++i)
            list.m_hosts.push_back(
                {base::host_id(absl::StrCat("host-", i)),
                 absl::StrCat("10.0.", i / 250, ".", i % 250 + 1, ":7000"),
                 base::failure_domain_id(absl::StrCat("domain-", i % 9)),
                 false});
        for (std::size_t i = 0; i < list.m_hosts.size(); ++i)
        {
            rpc::member_entry self;
            self.m_host = list.m_hosts[i].m_host;
            self.m_incarnation = base::incarnation(1);
            self.m_failure_domain = list.m_hosts[i].m_failure_domain;
            self.m_peer_address = list.m_hosts[i].m_peer_address;
            membership::member_options options;
            options.m_random_seed = i + 1;
            auto table =
                std::make_unique<membership::member_table>(self, options);
            table->list_received(list, at(absl::ZeroDuration()));
            hosts.emplace(self.m_host, std::move(table));
        }
        const auto run = [&](int from, int until)
        {
            for (int tick = from * 10; tick < until * 10; ++tick)
                exchange_all(hosts, at(absl::Milliseconds(100) * (tick + 1)));
        };
        const auto sent = [&]
        {
            double sum = 0;
            for (const auto& [host, table] : hosts)
                sum += static_cast<double>(table->bytes_sent());
            return sum;
        };
        run(0, settle_seconds);
        const double sent_before = sent();
        const double used = cpu_of(
            [&]
            {
                run(settle_seconds, settle_seconds + seconds);
            });
        const double divisor = static_cast<double>(count) * seconds;
        bytes.m_samples.push_back(
            {static_cast<double>(count), (sent() - sent_before) / divisor});
        cpu.m_samples.push_back(
            {static_cast<double>(count), used * micro / divisor});
        memory.m_samples.push_back(
            {static_cast<double>(count), (bytes_in_use() - before) / count});
    }
    return {bytes, cpu, memory};
}

std::vector<quantity> measure_groups()
{
    constexpr int rounds = 200;
    quantity cpu{"group-cpu", "us/s", "group watched", {}};
    quantity memory{"group-memory", "bytes", "group watched", {}};
    for (const int count : {8, 32, 128, 512, 1300})
    {
        const double before = bytes_in_use();
        std::vector<std::unique_ptr<group::group_view>> views;
        for (int i = 0; i < count; ++i)
        {
            std::vector<base::endpoint_id> members;
            for (int j = 0; j < 3; ++j)
                members.emplace_back(absl::StrCat("db-", i, "-", j));
            views.push_back(std::make_unique<group::group_view>(
                base::group_id(absl::StrCat("db-", i)), members));
        }
        const auto run = [&](int from, int until)
        {
            for (int round = from; round < until; ++round)
                for (auto& view : views)
                {
                    const auto now = at(absl::Milliseconds(50) * round);
                    const auto number = view->begin_round(now);
                    for (const auto& endpoint : view->members())
                    {
                        rpc::endpoint_status status;
                        status.m_endpoint = endpoint;
                        status.m_group = view->group();
                        status.m_role = endpoint == view->members().front()
                                            ? rpc::endpoint_role::primary
                                            : rpc::endpoint_role::replica;
                        const auto position = base::log_position(
                            static_cast<std::uint64_t>(round) + 1);
                        status.m_accepted_term = base::term(1);
                        status.m_term_start = base::log_position(1);
                        status.m_held = {base::term(1), position};
                        status.m_applied = position;
                        view->status_received(endpoint, number, status, now);
                    }
                }
        };
        run(0, rounds);
        const double used = cpu_of(
            [&]
            {
                run(rounds, 2 * rounds);
            });
        cpu.m_samples.push_back(
            {static_cast<double>(count), used * micro / (rounds * 0.05)});
        memory.m_samples.push_back(
            {static_cast<double>(count), bytes_in_use() - before});
    }
    return {cpu, memory};
}

std::vector<quantity> measure_pool()
{
    constexpr int ticks = 200;
    quantity cpu{"pool-cpu", "us per tick", "idle connection", {}};
    quantity memory{"pool-memory", "bytes", "idle connection", {}};
    for (const int count : {20, 80, 320, 1280})
    {
        const double before = bytes_in_use();
        pool::pool_options options;
        options.m_warm = static_cast<std::size_t>(count);
        pool::endpoint_pool connections(base::endpoint_id("db-0"), options);
        int tick = 0;
        connections.set_allowance(options.m_warm, at(absl::ZeroDuration()));
        const auto run = [&](int until)
        {
            for (; tick < until; ++tick)
            {
                const auto now = at(absl::Milliseconds(50) * tick);
                for (const auto& action : connections.tick(now))
                    if (const auto* begun = std::get_if<pool::open>(&action))
                        connections.connection_ready(begun->m_generation, now);
                    else if (const auto* ping =
                                 std::get_if<pool::send_ping>(&action))
                        connections.part_received(ping->m_generation,
                                                  ping->m_call, true, now);
            }
        };
        run(ticks);
        // A pool with fewer connections would be reported as a cheaper one.
        if (connections.idle_count() != options.m_warm)
            throw std::runtime_error(
                absl::StrCat("pool has ", connections.idle_count(),
                             " idle connections, ", "expected ", count));
        const double used = cpu_of(
            [&]
            {
                run(2 * ticks);
            });
        cpu.m_samples.push_back(
            {static_cast<double>(count), used * micro / ticks});
        memory.m_samples.push_back(
            {static_cast<double>(count), bytes_in_use() - before});
    }
    return {cpu, memory};
}

std::vector<quantity> measure_ledger()
{
    constexpr int ticks = 200;
    quantity cpu{"ledger-cpu", "us per tick", "organisation", {}};
    quantity memory{"ledger-memory", "bytes", "organisation", {}};
    for (const int count : {10, 100, 400, 1600})
    {
        const double before = bytes_in_use();
        share::ledger_options options;
        options.m_self = base::host_id("host-0");
        share::ledger ledger(options);
        std::vector<std::string> names;
        for (int i = 0; i < count; ++i)
            names.push_back(absl::StrCat("rate/organisation-", i));
        const auto start = at(absl::ZeroDuration());
        for (const std::string& name : names)
            ledger.set_resource(name, share::resource_kind::fraction,
                                share::whole, start);
        const share::held_slot own{base::slot_index(0), base::slot_epoch(1),
                                   share::slot_origin::released, start};
        const double used = cpu_of(
            [&]
            {
                for (int tick = 0; tick < ticks; ++tick)
                {
                    const auto now = at(absl::Milliseconds(50) * tick);
                    ledger.set_slots({own}, 1, now, now);
                    for (const std::string& name : names)
                        ledger.demand(name, share::whole / 20, now);
                    ledger.tick(now);
                }
            });
        cpu.m_samples.push_back(
            {static_cast<double>(count), used * micro / ticks});
        memory.m_samples.push_back(
            {static_cast<double>(count), bytes_in_use() - before});
    }
    return {cpu, memory};
}

std::string inventory_of(int groups)
{
    std::string text = "[fleet]\nslots = 8\nconfiguration_bound = 5s\n\n"
                       "[organisation all]\nrate = 400/s\nburst = 800\n\n";
    for (int i = 0; i < groups; ++i)
    {
        absl::StrAppend(&text, "[group db-", i, "]\n\n");
        for (int j = 0; j < 3; ++j)
            absl::StrAppendFormat(
                &text,
                "[endpoint db-%d-%d]\ngroup = db-%d\nfailure_domain = d%d\n"
                "address = 10.%d.%d.%d:7000\nslots = 8\nconnections = 20\n\n",
                i, j, i, j, j, i / 250, i % 250 + 1);
        absl::StrAppendFormat(&text,
                              "[route r-%d]\ngroup = db-%d\naccess = open\n"
                              "staleness = 1s\n\n",
                              i, i);
    }
    return text;
}

std::vector<quantity> measure_inventory()
{
    quantity cpu{"inventory-cpu", "us per change", "group", {}};
    quantity memory{"inventory-memory", "bytes", "group", {}};
    quantity size{"inventory-size", "bytes of text", "group", {}};
    for (const int count : {10, 50, 200, 600, 1300})
    {
        const std::string text = inventory_of(count);
        const double before = bytes_in_use();
        const double start = cpu_seconds();
        const auto parsed = inventory::parse_inventory(text, "bench");
        const double used = cpu_seconds() - start;
        if (!parsed)
            throw std::runtime_error(absl::StrCat(
                "generated inventory: ", parsed.error().front().m_expected));
        cpu.m_samples.push_back({static_cast<double>(count), used * micro});
        memory.m_samples.push_back(
            {static_cast<double>(count), bytes_in_use() - before});
        size.m_samples.push_back(
            {static_cast<double>(count), static_cast<double>(text.size())});
    }
    return {cpu, memory, size};
}

// The total time at several numbers of statements, so that the slope is the
// cost of one.
quantity per_statement(const std::string& name,
                       const std::function<void(int)>& step)
{
    quantity result{name, "us", "statement", {}};
    for (const int count : {1000, 2000, 4000, 8000})
    {
        const double used = cpu_of(
            [&]
            {
                for (int i = 0; i < count; ++i)
                    step(i);
            });
        result.m_samples.push_back({static_cast<double>(count), used * micro});
    }
    return result;
}

std::vector<quantity> measure_statements()
{
    const base::organisation_id organisation("organisation-0");
    const auto key = credentials::issue(organisation);
    const credentials::key_ring ring({key.m_record});
    const session::token_codec codec({credentials::new_token_secret()});
    session::session_state state;
    state.m_organisation = organisation;
    state.advance(base::group_id("db-0"),
                  {base::term(1), base::log_position(100)});
    const std::string token = codec.encode(state).value();
    admission::token_bucket bucket;
    const auto start = at(absl::ZeroDuration());
    bucket.set_limits(1e6, 1e6, admission::whole_fraction, at(absl::Hours(1)),
                      start);
    admission::fair_queue<int> queue;
    return {
        per_statement("statement-key",
                      [&](int)
                      {
                          ring.verify(key.m_text).value();
                      }),
        per_statement("statement-decode",
                      [&](int)
                      {
                          codec.decode(token, organisation).value();
                      }),
        per_statement("statement-encode",
                      [&](int)
                      {
                          codec.encode(state).value();
                      }),
        per_statement("statement-bucket",
                      [&](int i)
                      {
                          bucket.try_take(start + absl::Microseconds(i));
                      }),
        per_statement("statement-queue",
                      [&](int i)
                      {
                          (void)queue.push(organisation, i,
                                           start + absl::Seconds(1), 1, start);
                          queue.pop(start);
                      }),
    };
}

void print_text(const quantity& item, const bench::line& line)
{
    absl::PrintF("%s: %.4g %s per %s, intercept %.4g, R squared %.4f\n ",
                 item.m_name, line.m_slope, item.m_unit, item.m_per,
                 line.m_intercept, line.m_r_squared);
    for (const bench::sample& value : item.m_samples)
        absl::PrintF(" %.0f: %.4g", value.m_size, value.m_value);
    absl::PrintF("\n");
}

void print_json(const quantity& item, const bench::line& line)
{
    absl::PrintF("{\"name\":\"%s\",\"unit\":\"%s\",\"per\":\"%s\","
                 "\"slope\":%.6g,\"intercept\":%.6g,\"r_squared\":%.6g,"
                 "\"samples\":[",
                 item.m_name, item.m_unit, item.m_per, line.m_slope,
                 line.m_intercept, line.m_r_squared);
    const char* separator = "";
    for (const bench::sample& value : item.m_samples)
    {
        absl::PrintF("%s[%.0f,%.6g]", separator, value.m_size, value.m_value);
        separator = ",";
    }
    absl::PrintF("]}\n");
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Prints what the decision libraries cost per host, group, "
                 "connection, statement and organisation.");
    bool json = false;
    std::string filter;
    app.add_flag("--json", json, "print one JSON object per quantity and line");
    app.add_option("--filter", filter,
                   "measure only group, pool, ledger, inventory, "
                   "gossip or statement");
    CLI11_PARSE(app, argc, argv);

    const std::vector<
        std::pair<std::string, std::function<std::vector<quantity>()>>>
        all = {{"group", measure_groups},
               {"pool", measure_pool},
               {"ledger", measure_ledger},
               {"inventory", measure_inventory},
               {"statement", measure_statements},
               // Two modes, so two lines: all exchange whole tables up to 16
               // hosts.
               {"gossip",
                []
                {
                    return measure_gossip("gossip-full", {4, 9, 12, 16});
                }},
               {"gossip", []
                {
                    return measure_gossip("gossip", {50, 150, 300, 550});
                }}};
    try
    {
        bool found = false;
        for (const auto& [name, measure] : all)
        {
            if (!filter.empty() && name != filter)
                continue;
            found = true;
            for (const quantity& item : measure())
            {
                const auto line = bench::fit(item.m_samples);
                if (line)
                    (json ? print_json : print_text)(item, *line);
                std::fflush(stdout);
            }
        }
        if (!found)
            throw std::runtime_error("--filter \"" + filter +
                                     "\" names no measurement");
    }
    catch (const std::exception& error)
    {
        absl::FPrintF(stderr, "magnolia-bench: %s\n", error.what());
        return 1;
    }
    return 0;
}
