// A small deployment as separate processes on loopback: the platform's
// stand-in, one group of three endpoints and several proxies.
#ifndef MAGNOLIASTACK_TEST_SUPPORT_DEPLOYMENT_HPP
#define MAGNOLIASTACK_TEST_SUPPORT_DEPLOYMENT_HPP

#include "process.hpp"

#include "magnoliastack/v1/control.grpc.pb.h"
#include "magnoliastack/v1/endpoint.grpc.pb.h"
#include "magnoliastack/v1/platform.grpc.pb.h"
#include "magnoliastack/v1/proxy.grpc.pb.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliastack::test
{

// Sizes and times of a deployment.
struct deployment_options
{
    int m_proxies = 3;
    std::string m_rate = "1000/s";
    std::string m_burst = "500";
    std::string m_bound = "5s";
    // Applied to replicas at the start.
    std::string m_apply_delay = "0ms";
};

// Names and processes of one running deployment. The test ends when it cannot
// be brought up.
class deployment
{
public:
    explicit deployment(const deployment_options& options);
    ~deployment();

    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    // Waits until `done` holds, at most `seconds`; whether it did.
    static bool eventually(const std::function<bool()>& done, int seconds = 30);

    [[nodiscard]] int proxy_count() const
    {
        return static_cast<int>(m_proxies.size());
    }
    process& proxy(int index)
    {
        return *m_proxies[static_cast<std::size_t>(index)];
    }
    process& endpoint(int index)
    {
        return *m_endpoints[static_cast<std::size_t>(index)];
    }
    // Starts a killed endpoint or proxy again, without its memory.
    void restart_endpoint(int index);
    void restart_proxy(int index);

    // Name of a proxy's host, as stand-ins see it.
    static std::string host_name(int index)
    {
        return "host-" + std::to_string(index + 1);
    }
    static std::string endpoint_name(int index)
    {
        return "ledger-" + std::to_string(index + 1);
    }

    std::unique_ptr<v1::Proxy::Stub> callers(int index);
    std::unique_ptr<v1::Control::Stub> operators(int index);
    // Sets faults of a stand-in; the test ends when it does not answer.
    void set_faults(int endpoint, const v1::EndpointFaults& faults);
    void set_platform_faults(const v1::PlatformFaults& faults);
    v1::DumpResponse dump(int endpoint);

    // Index of the endpoint that most proxies see as primary, -1 for none.
    int primary();
    v1::StatusResponse status(int proxy);
    std::uint64_t counter(int proxy, const std::string& name);

    v1::ChangeResponse apply(int proxy, const std::string& inventory,
                             std::uint64_t based_on, const std::string& author);
    // Issues a key and waits until every proxy has it.
    std::string issue_key(const std::string& organisation);
    v1::ChangeResponse withdraw_key(int proxy, const std::string& key);
    [[nodiscard]] std::string inventory(const std::string& rate) const;

    // A key of organisation `souq`.
    [[nodiscard]] const std::string& key() const
    {
        return m_key;
    }

private:
    void start_endpoint(int index, bool initial_primary);
    void start_proxy(int index);
    void bring_up();

    deployment_options m_options;
    std::string m_folder;
    int m_platform_port = 0;
    std::vector<int> m_endpoint_ports;
    std::vector<int> m_caller_ports;
    std::vector<int> m_peer_ports;
    std::unique_ptr<process> m_platform;
    std::vector<std::unique_ptr<process>> m_endpoints;
    std::vector<std::unique_ptr<process>> m_proxies;
    std::string m_key;
};

// Gives a call a deadline and a key.
void prepare(grpc::ClientContext& context, const std::string& key,
             std::chrono::milliseconds deadline);

} // namespace magnoliastack::test

#endif
