#include "magnoliastack/standin_server/control.hpp"

#include "magnoliastack/cli/connection.hpp"
#include "magnoliastack/cli/exit_code.hpp"
#include "magnoliastack/cli/json.hpp"
#include "magnoliastack/v1/endpoint.grpc.pb.h"
#include "magnoliastack/v1/platform.grpc.pb.h"

#include "CLI/CLI.hpp"
#include "grpcpp/grpcpp.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

namespace magnoliastack::standin_server
{

namespace
{

constexpr auto call_timeout = std::chrono::seconds(5);

// Adds an option that sets a field only if it is given.
template <typename Value, typename Setter>
void add_field(CLI::App& app, const std::string& name, Setter set,
               const std::string& description)
{
    app.add_option_function<Value>(name, std::move(set), description);
}

// Adds an option for a duration, sent in milliseconds.
template <typename Setter>
void add_delay(CLI::App& app, const std::string& name, Setter set,
               const std::string& description)
{
    app.add_option_function<std::string>(
        name,
        [name, set](const std::string& text)
        {
            absl::Duration value;
            if (!absl::ParseDuration(text, &value) ||
                value < absl::ZeroDuration() || value > absl::Hours(1))
                throw CLI::ValidationError(
                    name, "expected a duration from 0 to 1h, such as 250ms");
            set(static_cast<std::uint32_t>(absl::ToInt64Milliseconds(value)));
        },
        description);
}

// Adds an option for a list of names; the word none clears the list, because
// CLI11 takes the next argument for an empty value.
template <typename Add>
void add_names(CLI::App& app, const std::string& name, Add add,
               const std::string& description)
{
    app.add_option_function<std::string>(
        name,
        [add](const std::string& text)
        {
            for (const std::string& item : CLI::detail::split(text, ','))
                if (!item.empty() && item != "none")
                    add(item);
        },
        description +
            ", separated by commas; replaces the list; none clears it");
}

// Runs a call; prints its answer as JSON if there is something to show.
template <typename Request, typename Response, typename Method>
int call(Method method, const Request& request, bool show)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + call_timeout);
    Response response;
    const grpc::Status status = method(&context, request, &response);
    if (!status.ok())
    {
        std::cerr << "no answer from the stand-in: " << status.error_message()
                  << '\n';
        return static_cast<int>(cli::exit_code::unreachable);
    }
    if (show)
        std::cout << cli::to_json(response) << '\n';
    return 0;
}

std::shared_ptr<grpc::Channel> channel_to(const std::string& address)
{
    return grpc::CreateChannel(address, grpc::InsecureChannelCredentials());
}

void add_endpoint_faults(CLI::App& app, v1::EndpointFaults& faults)
{
    add_field<bool>(
        app, "--freeze",
        [&](bool on)
        {
            faults.set_frozen(on);
        },
        "handle nothing until set to false");
    add_field<bool>(
        app, "--leaving",
        [&](bool on)
        {
            faults.set_leaving(on);
        },
        "report that the endpoint leaves");
    add_field<bool>(
        app, "--silence-open-connections",
        [&](bool on)
        {
            faults.set_silence_open_connections(on);
        },
        "answer nothing on connections that are open now");
    add_field<std::uint32_t>(
        app, "--drop-write-answers",
        [&](std::uint32_t count)
        {
            faults.set_drop_write_answers(count);
        },
        "lose the answers to this many writes after their effect");
    add_field<std::uint32_t>(
        app, "--cross-answers",
        [&](std::uint32_t count)
        {
            faults.set_cross_answers(count);
        },
        "give this many answers the id of another call");
    add_delay(
        app, "--answer-delay",
        [&](std::uint32_t ms)
        {
            faults.set_answer_delay_ms(ms);
        },
        "delay before each answer");
    add_delay(
        app, "--apply-delay",
        [&](std::uint32_t ms)
        {
            faults.set_apply_delay_ms(ms);
        },
        "delay until a held entry is visible to reads");
    add_delay(
        app, "--replication-delay",
        [&](std::uint32_t ms)
        {
            faults.set_replication_delay_ms(ms);
        },
        "delay of entries on their way to the endpoint");
    add_names(
        app, "--cut",
        [&](const std::string& name)
        {
            faults.add_cut(name);
        },
        "hosts and endpoints to exchange no message with");
}

void add_platform_faults(CLI::App& app, v1::PlatformFaults& faults)
{
    add_field<bool>(
        app, "--outage",
        [&](bool on)
        {
            faults.set_outage(on);
        },
        "fail every call");
    add_delay(
        app, "--delay",
        [&](std::uint32_t ms)
        {
            faults.set_delay_ms(ms);
        },
        "delay of each answer");
    add_field<std::uint32_t>(
        app, "--drop-swap-answers",
        [&](std::uint32_t count)
        {
            faults.set_drop_swap_answers(count);
        },
        "lose the answers to this many swaps after their effect");
    add_delay(
        app, "--list-lag",
        [&](std::uint32_t ms)
        {
            faults.set_list_lag_ms(ms);
        },
        "lag of the host list");
    add_names(
        app, "--cut",
        [&](const std::string& name)
        {
            faults.add_cut(name);
        },
        "hosts whose calls get no answer");
    add_names(
        app, "--leaving-endpoints",
        [&](const std::string& name)
        {
            faults.add_leaving_endpoints(name);
        },
        "endpoints listed as leaving");
}

} // namespace

int run_endpoint_control(int argc, const char* const* argv)
{
    CLI::App app("Sets faults of a running endpoint. Options that are not "
                 "given leave their fault as it is.",
                 "standin-endpoint control");
    std::string address;
    app.add_option("--address", address, "IP address and port of the endpoint")
        ->required();
    v1::EndpointFaults faults;
    add_endpoint_faults(app, faults);
    bool dump = false;
    app.add_flag("--dump", dump,
                 "print status, rows and records as JSON, after the faults");
    cli::exit_code code{};
    if (!cli::parse_arguments(app, argc, argv, std::cout, std::cerr, code))
        return static_cast<int>(code);
    faults.set_set_cut(app.count("--cut") > 0);

    const auto stub = v1::EndpointStandinControl::NewStub(channel_to(address));
    const int done = call<v1::EndpointFaults, v1::StandinControlResponse>(
        [&](auto... arguments)
        {
            return stub->SetFaults(arguments...);
        },
        faults, false);
    if (done != 0 || !dump)
        return done;
    return call<v1::DumpRequest, v1::DumpResponse>(
        [&](auto... arguments)
        {
            return stub->Dump(arguments...);
        },
        {}, true);
}

int run_platform_control(int argc, const char* const* argv)
{
    CLI::App app("Sets faults of the running platform. Options that are not "
                 "given leave their fault as it is.",
                 "standin-platform control");
    std::string address;
    app.add_option("--address", address, "IP address and port of the platform")
        ->required();
    v1::PlatformFaults faults;
    add_platform_faults(app, faults);
    bool stats = false;
    app.add_flag("--stats", stats,
                 "print the counts of reads and writes as JSON");
    cli::exit_code code{};
    if (!cli::parse_arguments(app, argc, argv, std::cout, std::cerr, code))
        return static_cast<int>(code);
    faults.set_set_cut(app.count("--cut") > 0);
    faults.set_set_leaving(app.count("--leaving-endpoints") > 0);

    const auto stub = v1::PlatformStandinControl::NewStub(channel_to(address));
    const int done = call<v1::PlatformFaults, v1::StandinControlResponse>(
        [&](auto... arguments)
        {
            return stub->SetFaults(arguments...);
        },
        faults, false);
    if (done != 0 || !stats)
        return done;
    return call<v1::PlatformStatsRequest, v1::PlatformStatsResponse>(
        [&](auto... arguments)
        {
            return stub->Stats(arguments...);
        },
        {}, true);
}

} // namespace magnoliastack::standin_server
