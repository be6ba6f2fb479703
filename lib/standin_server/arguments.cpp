#include "magnoliastack/standin_server/arguments.hpp"

#include "CLI/CLI.hpp"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <utility>

namespace magnoliastack::standin_server
{

namespace
{

// Exit code for wrong arguments or settings.
constexpr int exit_invalid = 2;

constexpr absl::Duration longest_delay = absl::Hours(1);

// Options of the command line by key.
struct given_options
{
    std::map<std::string, std::string> m_values;
    std::string m_settings_file;
    bool m_check_only = false;
};

std::string option_name(const std::string& key)
{
    return absl::StrCat("--", absl::StrReplaceAll(key, {{"_", "-"}}));
}

void add_options(CLI::App& app, const binary_description& binary,
                 given_options& given)
{
    app.set_version_flag("--version", binary.m_version);
    app.add_option("--settings", given.m_settings_file,
                   absl::StrCat("INI file; the keys of [", binary.m_section,
                                "] are the options below with _ for -"));
    app.add_flag("--check-settings", given.m_check_only,
                 "check the options and the file, start nothing");
    for (const auto& [rule, meaning] : binary.m_keys)
    {
        const std::string key = rule.m_name;
        const std::string text =
            rule.m_default && !rule.m_default->empty()
                ? absl::StrCat(meaning, " (default ", *rule.m_default, ")")
                : meaning;
        const auto store = [&given, key](const std::string& value)
        {
            given.m_values[key] = value;
        };
        if (rule.m_type == settings::key_type::boolean)
            app.add_option_function<std::string>(option_name(key), store, text)
                ->expected(0, 1)
                ->default_str("true");
        else
            app.add_option_function<std::string>(option_name(key), store, text);
    }
}

settings::section& section_of(settings::document& document,
                              const std::string& kind)
{
    const auto found = std::ranges::find(document.m_sections, kind,
                                         &settings::section::m_kind);
    if (found != document.m_sections.end())
        return *found;
    document.m_sections.push_back({kind, {}, 0, {}});
    return document.m_sections.back();
}

void replace(settings::section& section, const std::string& key,
             const std::string& value)
{
    std::erase_if(section.m_entries,
                  [&key](const settings::entry& entry)
                  {
                      return entry.m_key == key;
                  });
    section.m_entries.push_back({key, value, 0});
}

std::optional<settings::document> read_file(const std::string& name)
{
    std::ifstream file(name);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return settings::parse(text.str(), name);
}

described_key log_level_key()
{
    return {settings::choice_key(
                "log_level", {"debug", "info", "warning", "error"}, "warning"),
            "lowest severity that is logged"};
}

sigset_t stop_signals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

// Splits `name=ip:port`.
base::result<std::pair<std::string, std::string>>
parse_member(const std::string& text)
{
    const auto split = text.find('=');
    std::string name = text.substr(0, split);
    std::string address =
        split == std::string::npos ? "" : text.substr(split + 1);
    if (name.empty() ||
        settings::check_value(address, settings::address_key("members")))
        return base::fail(base::error_code::invalid_argument,
                          absl::StrCat("\"members\" has ",
                                       settings::shown(text),
                                       ", expected name=ip:port"));
    return std::pair(std::move(name), std::move(address));
}

} // namespace

settings::section_view parsed_arguments::values() const
{
    return settings::only(m_document, m_rules,
                          m_rules.m_sections.front().m_kind);
}

parsed_arguments parse_arguments(const binary_description& binary, int argc,
                                 const char* const* argv)
{
    parsed_arguments out;
    settings::section_rule section{binary.m_section, false, {}};
    for (const auto& [rule, meaning] : binary.m_keys)
        section.m_keys.push_back(rule);
    out.m_rules.m_sections.push_back(std::move(section));

    CLI::App app(binary.m_purpose, binary.m_name);
    given_options given;
    add_options(app, binary, given);
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& problem)
    {
        out.m_exit = app.exit(problem) == 0 ? 0 : exit_invalid;
        return out;
    }

    out.m_document.m_file = "command line";
    if (!given.m_settings_file.empty())
    {
        auto file = read_file(given.m_settings_file);
        if (!file)
        {
            std::cerr << binary.m_name << ": cannot read settings file "
                      << given.m_settings_file << '\n';
            out.m_exit = exit_invalid;
            return out;
        }
        out.m_document = *std::move(file);
    }
    settings::section& values = section_of(out.m_document, binary.m_section);
    for (const auto& [key, value] : given.m_values)
        replace(values, key, value);
    const auto problems = settings::check(out.m_document, out.m_rules);
    for (const settings::problem& problem : problems)
        std::cerr << binary.m_name << ": " << problem.to_string() << '\n';
    if (!problems.empty())
        out.m_exit = exit_invalid;
    out.m_check_only = given.m_check_only;
    return out;
}

binary_description describe_endpoint(const std::string& version)
{
    using namespace settings;
    const auto delay = [](const std::string& name, const std::string& fallback)
    {
        return duration_key(name, absl::ZeroDuration(), longest_delay,
                            fallback);
    };
    return {
        "standin-endpoint",
        version,
        "Stand-in for one database endpoint. `standin-endpoint control` sets "
        "its faults.",
        "endpoint",
        {
            {text_key("address"), "IP address and port to listen on; port 0 "
                                  "takes a free one"},
            {name_key("group"), "name of the database group"},
            {name_key("endpoint"), "name of this endpoint"},
            {list_key("members", key_type::text),
             "endpoints of the group, name=ip:port, separated by commas"},
            {integer_key("slots", 1, 10'000, "3"), "statements run at once"},
            {integer_key("connection_limit", 1, 1'000'000, "20"),
             "database connections at once"},
            {delay("connect_delay", "10ms"),
             "time until a connection is ready"},
            {delay("service_time", "2ms"),
             "time that a statement occupies a slot"},
            {delay("replication_delay", "0ms"),
             "delay of entries on their way to this endpoint"},
            {delay("apply_delay", "0ms"),
             "delay until a held entry is visible to reads"},
            {delay("leaving_grace", "4s"),
             "a leaving endpoint refuses new work after this time"},
            {integer_key("record_limit", 1, 100'000'000, "200000"),
             "request records retained"},
            {text_key("state_file", ""),
             "file that keeps log, term and seal over a restart"},
            log_level_key(),
            {boolean_key("initial_primary", "false"),
             "start as primary of term 1, unless the state file has a term"},
        }};
}

base::result<endpoint_server_options>
endpoint_options_of(const settings::section_view& values)
{
    endpoint_server_options options;
    options.m_address = values.text("address");
    options.m_state_file = values.text("state_file");
    standin::endpoint_options& model = options.m_model;
    model.m_group = base::group_id(values.text("group"));
    model.m_endpoint = base::endpoint_id(values.text("endpoint"));
    for (const std::string& text : values.list("members"))
    {
        auto member = parse_member(text);
        if (!member)
            return tl::make_unexpected(member.error());
        const base::endpoint_id name(member->first);
        model.m_members.push_back(name);
        options.m_addresses[name] = member->second;
    }
    const auto number = [&values](const char* key)
    {
        return static_cast<std::uint32_t>(values.integer(key));
    };
    model.m_slots = number("slots");
    model.m_connection_limit = number("connection_limit");
    model.m_record_limit = number("record_limit");
    model.m_connect_delay = values.duration("connect_delay");
    model.m_service_time = values.duration("service_time");
    model.m_replication_delay = values.duration("replication_delay");
    model.m_apply_delay = values.duration("apply_delay");
    model.m_leaving_grace = values.duration("leaving_grace");
    model.m_initial_primary = values.boolean("initial_primary");
    return options;
}

binary_description describe_platform(const std::string& version)
{
    using namespace settings;
    return {"standin-platform",
            version,
            "Stand-in for the platform: table, object store and host list. "
            "`standin-platform control` sets its faults.",
            "platform",
            {
                {text_key("address"), "IP address and port to listen on; port "
                                      "0 takes a free one"},
                log_level_key(),
                {duration_key("announce_bound", absl::Milliseconds(10),
                              longest_delay, "3s"),
                 "a host drops out of the list this long after its last "
                 "announce"},
                {duration_key("list_lag", absl::ZeroDuration(), longest_delay,
                              "0ms"),
                 "the host list shows the state of this long ago"},
            }};
}

platform_server_options
platform_options_of(const settings::section_view& values)
{
    return {values.text("address"),
            {values.duration("announce_bound"), values.duration("list_lag")}};
}

logging::options log_options_of(const settings::section_view& values,
                                const std::string& host)
{
    logging::options options;
    options.m_host = base::host_id(host);
    options.m_level = logging::parse_severity(values.text("log_level"))
                          .value_or(logging::severity::warning);
    return options;
}

void block_stop_signals()
{
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_stop_signal()
{
    const sigset_t signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace magnoliastack::standin_server
