// Stand-in for one database endpoint.
#include "magnoliastack/standin_server/arguments.hpp"
#include "magnoliastack/standin_server/endpoint_server.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace
{

namespace base = magnoliastack::base;
namespace server = magnoliastack::standin_server;

// Exit code for wrong arguments or settings.
constexpr int exit_usage = 2;

absl::Duration duration_or_throw(const std::string& name,
                                 const std::string& text)
{
    auto value = server::parse_duration(text);
    if (!value)
        throw CLI::ValidationError(name, value.error().m_message);
    return *value;
}

void add_duration(CLI::App& app, const std::string& name,
                  absl::Duration& target, const std::string& description)
{
    app.add_option_function<std::string>(
           name,
           [name, &target](const std::string& text)
           {
               target = duration_or_throw(name, text);
           },
           description + " (default " + absl::FormatDuration(target) + ")")
        ->take_last();
}

void add_member(server::endpoint_server_options& options,
                const std::string& text)
{
    auto member = server::parse_named_address(text);
    if (!member)
        throw CLI::ValidationError("--members", member.error().m_message);
    const base::endpoint_id name(member->m_name);
    options.m_model.m_members.push_back(name);
    options.m_addresses[name] = member->m_address;
}

void add_options(CLI::App& app, server::endpoint_server_options& options)
{
    auto& model = options.m_model;
    app.add_option("--address", options.m_address,
                   "IP address and port to listen on; port 0 takes a free one")
        ->required();
    app.add_option_function<std::string>(
           "--group",
           [&model](const std::string& name)
           {
               model.m_group = base::group_id(name);
           },
           "name of the database group")
        ->required();
    app.add_option_function<std::string>(
           "--endpoint",
           [&model](const std::string& name)
           {
               model.m_endpoint = base::endpoint_id(name);
           },
           "name of this endpoint")
        ->required();
    app.add_option_function<std::vector<std::string>>(
           "--members",
           [&options](const std::vector<std::string>& members)
           {
               for (const std::string& member : members)
                   add_member(options, member);
           },
           "all endpoints of the group, name=ip:port, separated by commas")
        ->delimiter(',');
    app.add_option("--slots", model.m_slots, "statements run at once")
        ->check(CLI::Range(1, 10'000))
        ->capture_default_str();
    app.add_option("--connection-limit", model.m_connection_limit,
                   "database connections at once")
        ->check(CLI::Range(1, 1'000'000))
        ->capture_default_str();
    add_duration(app, "--connect-delay", model.m_connect_delay,
                 "time until a connection is ready");
    add_duration(app, "--service-time", model.m_service_time,
                 "time that a statement occupies a slot");
    add_duration(app, "--replication-delay", model.m_replication_delay,
                 "delay of entries on their way to this endpoint");
    add_duration(app, "--apply-delay", model.m_apply_delay,
                 "delay until a held entry is visible to reads");
    add_duration(app, "--leaving-grace", model.m_leaving_grace,
                 "a leaving endpoint refuses new work after this time");
    app.add_option("--record-limit", model.m_record_limit,
                   "request records retained")
        ->check(CLI::Range(1, 100'000'000))
        ->capture_default_str();
    app.add_flag("--initial-primary", model.m_initial_primary,
                 "start as primary of term 1");
}

int serve(server::endpoint_server_options options)
{
    server::block_stop_signals();
    const std::string address =
        options.m_address.substr(0, options.m_address.rfind(':'));
    const std::string name = options.m_model.m_endpoint.str();
    auto running = server::endpoint_server::start(std::move(options));
    if (!running)
    {
        std::fprintf(stderr, "standin-endpoint: %s\n",
                     running.error().m_message.c_str());
        return 1;
    }
    std::printf("endpoint %s listening on %s:%d\n", name.c_str(),
                address.c_str(), (*running)->port());
    std::fflush(stdout);
    server::wait_for_stop_signal();
    return 0;
}

// Replaces `--settings FILE` by the options in the file.
base::result<std::vector<std::string>> expand(std::vector<std::string> given)
{
    std::vector<std::string> options;
    for (std::size_t index = 0; index < given.size(); ++index)
    {
        std::string file;
        if (given[index] == "--settings" && index + 1 < given.size())
            file = given[++index];
        else if (given[index].starts_with("--settings="))
            file = given[index].substr(std::string("--settings=").size());
        if (file.empty())
        {
            options.push_back(given[index]);
            continue;
        }
        auto read = server::options_from_file(file, "endpoint");
        if (!read)
            return read;
        std::ranges::move(*read, std::back_inserter(options));
    }
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Stand-in for one database endpoint.", "standin-endpoint");
    app.set_version_flag("--version", MAGNOLIASTACK_VERSION);
    server::endpoint_server_options options;
    add_options(app, options);
    std::string settings;
    app.add_option("--settings", settings,
                   "INI file; the keys of [endpoint] are the options above");
    bool check_only = false;
    app.add_flag("--check-settings", check_only,
                 "check the options and the file, start nothing");
    auto arguments = expand({argv + 1, argv + argc});
    if (!arguments)
    {
        std::fprintf(stderr, "standin-endpoint: %s\n",
                     arguments.error().m_message.c_str());
        return exit_usage;
    }
    try
    {
        // CLI11 takes the arguments in reverse order.
        std::ranges::reverse(*arguments);
        app.parse(*std::move(arguments));
    }
    catch (const CLI::ParseError& problem)
    {
        return app.exit(problem) == 0 ? 0 : exit_usage;
    }
    return check_only ? 0 : serve(std::move(options));
}
