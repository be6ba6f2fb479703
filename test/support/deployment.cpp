#include "deployment.hpp"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <grpcpp/grpcpp.h>
#include <random>
#include <thread>
#include <unistd.h>

namespace magnoliastack::test
{

namespace
{

constexpr auto control_deadline = std::chrono::milliseconds(5'000);

std::string local(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::shared_ptr<grpc::Channel> open(int port)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 50);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 200);
    return grpc::CreateCustomChannel(
        local(port), grpc::InsecureChannelCredentials(), arguments);
}

std::string new_change_id()
{
    std::random_device random;
    return std::to_string(random()) + "-" + std::to_string(random());
}

void require(bool condition, const char* what)
{
    if (condition)
        return;
    std::fprintf(stderr, "the deployment does not work: %s\n", what);
    std::abort();
}

} // namespace

void prepare(grpc::ClientContext& context, const std::string& key,
             std::chrono::milliseconds deadline)
{
    context.set_deadline(std::chrono::system_clock::now() + deadline);
    if (!key.empty())
        context.AddMetadata("magnolia-key", key);
}

bool deployment::eventually(const std::function<bool()>& done, int seconds)
{
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (!done())
    {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

deployment::deployment(const deployment_options& options) : m_options(options)
{
    char folder[] = "/tmp/magnoliastack-test-XXXXXX";
    require(mkdtemp(folder) != nullptr, "no temporary folder");
    m_folder = folder;
    m_platform_port = free_port();
    m_platform = std::make_unique<process>(
        "standin-platform",
        std::vector<std::string>{"--address", local(m_platform_port)},
        m_folder + "/platform.log");
    for (int index = 0; index < 3; ++index)
        m_endpoint_ports.push_back(free_port());
    m_endpoints.resize(3);
    for (int index = 0; index < 3; ++index)
        start_endpoint(index, index == 0);
    for (int index = 0; index < options.m_proxies; ++index)
    {
        m_caller_ports.push_back(free_port());
        m_peer_ports.push_back(free_port());
    }
    m_proxies.resize(static_cast<std::size_t>(options.m_proxies));
    for (int index = 0; index < options.m_proxies; ++index)
        start_proxy(index);
    bring_up();
}

deployment::~deployment()
{
    if (std::getenv("MAGNOLIA_KEEP_LOGS") != nullptr)
    {
        std::fprintf(stderr, "logs are in %s\n", m_folder.c_str());
        return;
    }
    m_proxies.clear();
    m_endpoints.clear();
    m_platform.reset();
    for (const char* pattern : {"platform.log"})
        unlink((m_folder + "/" + pattern).c_str());
    for (int index = 0; index < 3; ++index)
        unlink((m_folder + "/" + endpoint_name(index) + ".log").c_str());
    for (int index = 0; index < m_options.m_proxies; ++index)
        for (const char* kind : {".log", ".ini"})
            unlink((m_folder + "/" + host_name(index) + kind).c_str());
    rmdir(m_folder.c_str());
}

void deployment::start_endpoint(int index, bool initial_primary)
{
    std::string members;
    for (int member = 0; member < 3; ++member)
        members += (member == 0 ? "" : ",") + endpoint_name(member) + "=" +
                   local(m_endpoint_ports[static_cast<std::size_t>(member)]);
    std::vector<std::string> arguments{
        "--group",
        "ledger",
        "--endpoint",
        endpoint_name(index),
        "--address",
        local(m_endpoint_ports[static_cast<std::size_t>(index)]),
        "--members",
        members,
        "--apply-delay",
        m_options.m_apply_delay};
    if (initial_primary)
        arguments.emplace_back("--initial-primary");
    m_endpoints[static_cast<std::size_t>(index)] = std::make_unique<process>(
        "standin-endpoint", arguments,
        m_folder + "/" + endpoint_name(index) + ".log");
}

void deployment::start_proxy(int index)
{
    const auto at = static_cast<std::size_t>(index);
    const std::string settings = m_folder + "/" + host_name(index) + ".ini";
    std::ofstream file(settings);
    file << "[host]\nid = " << host_name(index) << "\nfailure_domain = domain-"
         << index % 4 + 1
         << "\n[listen]\ncallers = " << local(m_caller_ports[at])
         << "\npeers = " << local(m_peer_ports[at])
         << "\n[platform]\naddress = " << local(m_platform_port)
         << "\n[peers]\nseeds = ";
    for (std::size_t seed = 0; seed < m_peer_ports.size(); ++seed)
        file << (seed == 0 ? "" : ", ") << local(m_peer_ports[seed]);
    file << "\n";
    file.close();
    m_proxies[at] = std::make_unique<process>(
        "magnolia-proxy", std::vector<std::string>{"--settings", settings},
        m_folder + "/" + host_name(index) + ".log");
}

void deployment::restart_endpoint(int index)
{
    start_endpoint(index, false);
}

void deployment::restart_proxy(int index)
{
    start_proxy(index);
}

std::string deployment::inventory(const std::string& rate) const
{
    std::string text =
        "[fleet]\nslots = " + std::to_string(m_options.m_proxies) +
        "\nconfiguration_bound = " + m_options.m_bound +
        "\n[organisation souq]\nrate = " + rate +
        "\nburst = " + m_options.m_burst +
        "\n[organisation nurses]\nrate = " + rate +
        "\nburst = " + m_options.m_burst +
        "\n[caller terminal]\norganisation = souq\n"
        "[group ledger]\n";
    for (int index = 0; index < 3; ++index)
        text += "[endpoint " + endpoint_name(index) +
                "]\ngroup = ledger\nfailure_domain = domain-" +
                std::to_string(index + 1) + "\naddress = " +
                local(m_endpoint_ports[static_cast<std::size_t>(index)]) +
                "\nslots = 3\nconnections = 20\n";
    text += "[route orders]\ngroup = ledger\naccess = keyed\nstaleness = 2s\n"
            "[route latest]\ngroup = ledger\naccess = keyed\nstaleness = 0ms\n"
            "[route nurses-only]\ngroup = ledger\naccess = keyed\n"
            "staleness = 2s\norganisations = nurses\n"
            "[route public]\ngroup = ledger\naccess = open\nstaleness = 5s\n";
    return text;
}

void deployment::bring_up()
{
    v1::ChangeResponse change;
    const bool applied = eventually(
        [&]
        {
            change = apply(0, inventory(m_options.m_rate), 0, "test");
            return change.state() == v1::CHANGE_STATE_ACCEPTED ||
                   change.state() == v1::CHANGE_STATE_STORED_PENDING ||
                   change.state() == v1::CHANGE_STATE_CONFLICT;
        });
    require(applied, "the inventory cannot be applied");
    m_key = issue_key("souq");
    require(eventually(
                [this]
                {
                    return primary() == 0;
                }),
            "no primary is seen");
    // Ready when every proxy serves reads and writes.
    for (int index = 0; index < proxy_count(); ++index)
    {
        const bool ready = eventually(
            [&]
            {
                grpc::ClientContext context;
                prepare(context, m_key, std::chrono::milliseconds(1'000));
                v1::ExecuteRequest request;
                request.set_route("orders");
                request.add_statements()->mutable_get()->set_key("none");
                auto reader = callers(index)->Execute(&context, request);
                v1::ExecuteResponse part;
                bool ended = false;
                while (reader->Read(&part))
                    ended = part.has_end();
                reader->Finish();
                return ended;
            });
        require(ready, "a proxy serves no read");
    }
}

std::unique_ptr<v1::Proxy::Stub> deployment::callers(int index)
{
    return v1::Proxy::NewStub(
        open(m_caller_ports[static_cast<std::size_t>(index)]));
}

std::unique_ptr<v1::Control::Stub> deployment::operators(int index)
{
    return v1::Control::NewStub(
        open(m_caller_ports[static_cast<std::size_t>(index)]));
}

void deployment::set_faults(int endpoint, const v1::EndpointFaults& faults)
{
    auto stub = v1::EndpointStandinControl::NewStub(
        open(m_endpoint_ports[static_cast<std::size_t>(endpoint)]));
    const bool done = eventually(
        [&]
        {
            grpc::ClientContext context;
            prepare(context, "", control_deadline);
            v1::StandinControlResponse response;
            return stub->SetFaults(&context, faults, &response).ok() &&
                   response.error().empty();
        });
    require(done, "an endpoint's stand-in takes no faults");
}

void deployment::set_platform_faults(const v1::PlatformFaults& faults)
{
    auto stub = v1::PlatformStandinControl::NewStub(open(m_platform_port));
    const bool done = eventually(
        [&]
        {
            grpc::ClientContext context;
            prepare(context, "", control_deadline);
            v1::StandinControlResponse response;
            return stub->SetFaults(&context, faults, &response).ok();
        });
    require(done, "the platform's stand-in takes no faults");
}

v1::DumpResponse deployment::dump(int endpoint)
{
    auto stub = v1::EndpointStandinControl::NewStub(
        open(m_endpoint_ports[static_cast<std::size_t>(endpoint)]));
    v1::DumpResponse response;
    const bool done = eventually(
        [&]
        {
            grpc::ClientContext context;
            prepare(context, "", control_deadline);
            response.Clear();
            return stub->Dump(&context, v1::DumpRequest(), &response).ok();
        });
    require(done, "an endpoint cannot be dumped");
    return response;
}

v1::StatusResponse deployment::status(int proxy)
{
    grpc::ClientContext context;
    prepare(context, "", std::chrono::milliseconds(1'000));
    v1::StatusResponse response;
    operators(proxy)->Status(&context, v1::StatusRequest(), &response);
    return response;
}

int deployment::primary()
{
    std::vector<int> votes(3, 0);
    for (int index = 0; index < proxy_count(); ++index)
    {
        const v1::StatusResponse seen = status(index);
        if (seen.groups_size() == 0)
            continue;
        for (int endpoint = 0; endpoint < 3; ++endpoint)
            if (seen.groups(0).primary() == endpoint_name(endpoint))
                ++votes[static_cast<std::size_t>(endpoint)];
    }
    for (int endpoint = 0; endpoint < 3; ++endpoint)
        if (votes[static_cast<std::size_t>(endpoint)] * 2 > proxy_count())
            return endpoint;
    return -1;
}

std::uint64_t deployment::counter(int proxy, const std::string& name)
{
    grpc::ClientContext context;
    prepare(context, "", control_deadline);
    v1::StatsResponse response;
    operators(proxy)->Stats(&context, v1::StatsRequest(), &response);
    const auto found = response.counters().find(name);
    return found == response.counters().end() ? 0 : found->second;
}

v1::ChangeResponse deployment::apply(int proxy, const std::string& inventory,
                                     std::uint64_t based_on,
                                     const std::string& author)
{
    grpc::ClientContext context;
    prepare(context, "", std::chrono::milliseconds(12'000));
    v1::ApplyRequest request;
    request.set_inventory(inventory);
    request.set_based_on_version(based_on);
    request.set_change_id(new_change_id());
    request.set_author(author);
    v1::ChangeResponse response;
    operators(proxy)->Apply(&context, request, &response);
    return response;
}

std::string deployment::issue_key(const std::string& organisation)
{
    std::string key;
    std::uint64_t version = 0;
    const bool issued = eventually(
        [&]
        {
            grpc::ClientContext context;
            prepare(context, "", std::chrono::milliseconds(12'000));
            v1::IssueKeyRequest request;
            request.set_organisation(organisation);
            request.set_change_id(new_change_id());
            request.set_author("test");
            v1::IssueKeyResponse response;
            operators(0)->IssueKey(&context, request, &response);
            key = response.key();
            version = response.change().version();
            return !key.empty();
        });
    require(issued, "no key can be issued");
    require(eventually(
                [&]
                {
                    for (int index = 0; index < proxy_count(); ++index)
                        if (status(index).configuration_version() < version)
                            return false;
                    return true;
                }),
            "a key does not reach every proxy");
    return key;
}

v1::ChangeResponse deployment::withdraw_key(int proxy, const std::string& key)
{
    grpc::ClientContext context;
    prepare(context, "", std::chrono::milliseconds(12'000));
    v1::WithdrawKeyRequest request;
    const std::size_t start = key.find('_') + 1;
    request.set_key_id(key.substr(start, key.find('_', start) - start));
    request.set_change_id(new_change_id());
    request.set_author("test");
    v1::ChangeResponse response;
    operators(proxy)->WithdrawKey(&context, request, &response);
    return response;
}

} // namespace magnoliastack::test
