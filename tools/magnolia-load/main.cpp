// Drives callers of a deployment against running processes.
#include "magnoliastack/load/deployment.hpp"
#include "magnoliastack/load/driver.hpp"
#include "magnoliastack/load/profile.hpp"
#include "magnoliastack/load/returning.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

namespace
{

namespace base = magnoliastack::base;
namespace load = magnoliastack::load;

// Exit codes.
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
// Lost, duplicated or stale data, or an answer for another caller.
constexpr int exit_violation = 3;

// What the subcommands share.
struct arguments
{
    std::string m_profile;
    std::vector<std::string> m_proxies;
    std::string m_inventory;
    std::string m_keys;
    std::string m_json;
    std::string m_markdown;
    std::string m_label;
    double m_seconds = 15;
    double m_deadline = 5;
    std::vector<std::string> m_overload;
    std::size_t m_connections_per_proxy = 4;
    std::size_t m_direct_connections = 3;
    std::uint32_t m_slots = 8;
    std::uint16_t m_first_port = 0;
    double m_rate_factor = 1;
    std::string m_address;
    std::string m_faults;
    bool m_platform = false;
    load::run_options m_run;
    load::returning_options m_returning;
};

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

int failed(const std::string& message)
{
    std::fprintf(stderr, "magnolia-load: %s\n", message.c_str());
    return exit_failed;
}

bool write_json(const std::string& path, const std::string& text)
{
    return path.empty() || static_cast<bool>(std::ofstream(path) << text);
}

// Keeps the keys of different runs on one deployment apart.
std::string key_prefix(std::uint64_t seed)
{
    return absl::StrCat("r", seed, "-", base::system_clock().unix_ms());
}

load::overload_factors overload_of(const arguments& given)
{
    load::overload_factors all;
    for (const std::string& text : given.m_overload)
    {
        const auto split = text.find('=');
        double factor = 0;
        const std::string name = text.substr(0, split);
        const auto& known = given.m_run.m_profile->m_organisations;
        if (split == std::string::npos ||
            !absl::SimpleAtod(text.substr(split + 1), &factor) || factor <= 0 ||
            std::ranges::find(known, name, &load::organisation_share::m_name) ==
                known.end())
            throw CLI::ValidationError(
                "--overload", "\"" + text +
                                  "\", expected ORGANISATION=FACTOR with an "
                                  "organisation of the profile");
        all[name] = factor;
    }
    return all;
}

int run(arguments& given)
{
    given.m_run.m_overload = overload_of(given);
    given.m_run.m_duration = absl::Seconds(given.m_seconds);
    given.m_run.m_deadline = absl::Seconds(given.m_deadline);
    given.m_run.m_keys = load::parse_keys(read_file(given.m_keys));
    const auto groups =
        load::groups_of(read_file(given.m_inventory), given.m_inventory);
    if (!groups)
        return failed(groups.error().m_message);

    std::unique_ptr<load::caller> direct;
    const std::string& direct_group = given.m_run.m_direct_group;
    if (!direct_group.empty())
    {
        const auto members = groups->find(direct_group);
        if (members == groups->end())
            return failed("group " + direct_group + " is not in the inventory");
        const auto primary = load::find_primary(members->second);
        if (!primary)
            return failed(direct_group + ": " + primary.error().m_message);
        direct =
            load::call_endpoint(primary->m_address, given.m_direct_connections);
    }
    std::vector<std::unique_ptr<load::caller>> connections;
    std::vector<load::caller*> targets;
    for (std::size_t index = 0; index < given.m_connections_per_proxy; ++index)
    {
        for (const std::string& address : given.m_proxies)
        {
            connections.push_back(
                load::call_proxy(load::open_channel(address)));
            targets.push_back(connections.back().get());
        }
    }
    load::driver driver(given.m_run, targets, direct.get(),
                        key_prefix(given.m_run.m_seed));
    load::report report;
    report.m_unresolved = driver.run();
    report.m_final_state_checked = true;
    for (const auto& [group, members] : *groups)
    {
        const auto primary = load::find_primary(members);
        if (primary)
            driver.check_final(group, primary->m_rows);
        else
            report.m_final_state_checked = false;
    }
    report.m_profile = given.m_profile;
    report.m_seed = given.m_run.m_seed;
    report.m_duration = given.m_run.m_duration;
    report.m_measures = &driver.measured();
    report.m_violations = &driver.found();
    std::fputs(load::to_table(report).c_str(), stdout);
    if (!write_json(given.m_json, load::to_json(report)))
        return failed("cannot write " + given.m_json);
    for (const auto& [organisation, factor] : given.m_run.m_overload)
        report.m_overloaded.insert(organisation);
    if (!given.m_markdown.empty())
        std::ofstream(given.m_markdown, std::ios::app)
            << load::to_markdown_row(report, given.m_label);
    if (driver.found().total() > 0)
        return exit_violation;
    return report.m_final_state_checked ? EXIT_SUCCESS : exit_failed;
}

int run_returning(arguments& given)
{
    load::returning_options& options = given.m_returning;
    options.m_profile = given.m_run.m_profile;
    options.m_seed = given.m_run.m_seed;
    options.m_proxies = given.m_proxies;
    options.m_deadline = absl::Seconds(given.m_deadline);
    options.m_keys = load::parse_keys(read_file(given.m_keys));
    const load::returning_report report =
        load::run_returning(options, key_prefix(options.m_seed));
    std::fputs(load::to_table(report).c_str(), stdout);
    if (!write_json(given.m_json, load::to_json(report)))
        return failed("cannot write " + given.m_json);
    if (report.m_broken_sessions > 0)
        return exit_violation;
    return report.m_whole == report.m_callers ? EXIT_SUCCESS : exit_failed;
}

int prepare(const arguments& given)
{
    std::vector<std::string> names;
    for (const auto& who : given.m_run.m_profile->m_organisations)
        names.push_back(who.m_name);
    const auto keys =
        load::prepare(given.m_proxies.front(), read_file(given.m_inventory),
                      names, absl::Seconds(given.m_seconds));
    if (!keys)
        return failed(keys.error().m_message);
    if (!(std::ofstream(given.m_keys) << load::to_text(*keys)))
        return failed("cannot write " + given.m_keys);
    return EXIT_SUCCESS;
}

int set_faults(const arguments& given)
{
    const auto done =
        given.m_platform
            ? load::set_platform_faults(given.m_address, given.m_faults)
            : load::set_endpoint_faults(given.m_address, given.m_faults);
    return done ? EXIT_SUCCESS : failed(done.error().m_message);
}

int show_primary(const arguments& given)
{
    const auto groups =
        load::groups_of(read_file(given.m_inventory), given.m_inventory);
    if (!groups)
        return failed(groups.error().m_message);
    for (const auto& [group, members] : *groups)
    {
        const auto primary = load::find_primary(members);
        std::printf("%s %s\n", group.c_str(),
                    primary ? primary->m_name.c_str() : "-");
    }
    return EXIT_SUCCESS;
}

void add_profile(CLI::App& command, arguments& given)
{
    command
        .add_option_function<std::string>(
            "--profile",
            [&given](const std::string& name)
            {
                given.m_profile = name;
                given.m_run.m_profile = load::find_profile(name);
            },
            "muscat or nordurljos")
        ->check(CLI::IsMember({"muscat", "nordurljos"}))
        ->required();
}

void add_targets(CLI::App& command, arguments& given)
{
    command
        .add_option("--proxies", given.m_proxies,
                    "ip:port of each proxy, separated by commas")
        ->delimiter(',')
        ->required();
}

void add_keys(CLI::App& command, arguments& given)
{
    command.add_option("--keys", given.m_keys, "file written by prepare")
        ->required();
}

void add_inventory(CLI::App& command, arguments& given)
{
    command.add_option("--inventory", given.m_inventory, "inventory file")
        ->check(CLI::ExistingFile)
        ->required();
}

void add_common(CLI::App& command, arguments& given)
{
    add_profile(command, given);
    add_targets(command, given);
    add_keys(command, given);
    command.add_option("--seed", given.m_run.m_seed, "seed")
        ->capture_default_str();
    command.add_option("--json", given.m_json, "file for the report as JSON");
    command
        .add_option("--deadline", given.m_deadline,
                    "seconds that a caller waits for an answer")
        ->capture_default_str();
}

void add_run(CLI::App& command, arguments& given)
{
    add_common(command, given);
    add_inventory(command, given);
    command.add_option("--markdown", given.m_markdown,
                       "file to which a line of a Markdown table is added");
    command.add_option("--label", given.m_label, "name of that line");
    command.add_option("--seconds", given.m_seconds, "length of the arrivals")
        ->capture_default_str();
    command.add_option("--rate", given.m_run.m_rate,
                       "requests a second; the profile's by default");
    command.add_option("--overload", given.m_overload,
                       "ORGANISATION=FACTOR of its rate");
    command
        .add_option("--roaming", given.m_run.m_roaming,
                    "chance that a request goes to another proxy")
        ->check(CLI::Range(0.0, 1.0))
        ->capture_default_str();
    command
        .add_option("--connections", given.m_connections_per_proxy,
                    "connections to each proxy")
        ->check(CLI::Range(1, 1000))
        ->capture_default_str();
    command.add_option("--direct", given.m_run.m_direct_group,
                       "send half of this group's sessions straight to its "
                       "primary and report both side by side");
    command
        .add_option("--direct-connections", given.m_direct_connections,
                    "streams of the direct calls")
        ->check(CLI::Range(1, 1000))
        ->capture_default_str();
}

void add_returning(CLI::App& command, arguments& given)
{
    add_common(command, given);
    command
        .add_option("--callers", given.m_returning.m_callers,
                    "callers that return at the same moment")
        ->check(CLI::Range(1, 20'000))
        ->capture_default_str();
    command
        .add_option("--write-rate", given.m_returning.m_write_rate,
                    "writes a second before the storm")
        ->capture_default_str();
    command
        .add_option("--process-ids", given.m_returning.m_process_ids,
                    "processes of the proxies, for their resident memory")
        ->delimiter(',');
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Workload and experiments against running proxies."};
    app.set_version_flag("--version", MAGNOLIASTACK_VERSION);
    app.require_subcommand(1);
    arguments given;
    CLI::App& run_command = *app.add_subcommand(
        "run", "drive a profile's callers; exit 3 when an answer was wrong");
    add_run(run_command, given);
    CLI::App& returning_command = *app.add_subcommand(
        "returning", "callers reconnect at the same moment");
    add_returning(returning_command, given);
    CLI::App& prepare_command = *app.add_subcommand(
        "prepare", "apply an inventory and issue a key to each organisation");
    add_profile(prepare_command, given);
    add_targets(prepare_command, given);
    add_inventory(prepare_command, given);
    add_keys(prepare_command, given);
    prepare_command.add_option("--seconds", given.m_seconds,
                               "longest time until all is in force");
    CLI::App& inventory_command =
        *app.add_subcommand("inventory", "print a profile's inventory");
    add_profile(inventory_command, given);
    inventory_command.add_option("--slots", given.m_slots, "share slots");
    inventory_command
        .add_option("--rate-factor", given.m_rate_factor,
                    "multiplies the organisations' rates and bursts")
        ->check(CLI::Range(0.01, 1000.0))
        ->capture_default_str();
    inventory_command
        .add_option("--first-port", given.m_first_port,
                    "loopback port of the first endpoint")
        ->required();
    CLI::App& faults_command =
        *app.add_subcommand("faults", "set faults of a stand-in");
    faults_command.add_option("--address", given.m_address, "ip:port")
        ->required();
    faults_command.add_flag("--platform", given.m_platform,
                            "the stand-in is a platform, not an endpoint");
    faults_command
        .add_option("--set", given.m_faults,
                    "EndpointFaults or PlatformFaults as JSON")
        ->required();
    CLI::App& primary_command =
        *app.add_subcommand("primary", "print each group's primary");
    add_inventory(primary_command, given);
    CLI::App& header_command = *app.add_subcommand(
        "markdown-header", "print the head of the table of run --markdown");
    try
    {
        app.parse(argc, argv);
        if (run_command.parsed())
            return run(given);
    }
    catch (const CLI::ParseError& problem)
    {
        return app.exit(problem) == 0 ? EXIT_SUCCESS : exit_usage;
    }
    if (returning_command.parsed())
        return run_returning(given);
    if (prepare_command.parsed())
        return prepare(given);
    if (faults_command.parsed())
        return set_faults(given);
    if (primary_command.parsed())
        return show_primary(given);
    if (header_command.parsed())
    {
        std::fputs(load::markdown_header().c_str(), stdout);
        return EXIT_SUCCESS;
    }
    std::fputs(load::inventory_text(*given.m_run.m_profile, given.m_slots,
                                    given.m_first_port, given.m_rate_factor)
                   .c_str(),
               stdout);
    return EXIT_SUCCESS;
}
