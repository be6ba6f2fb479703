#include "magnoliastack/proxy/host_process.hpp"

#include "caller_server.hpp"
#include "control_server.hpp"

#include "magnoliastack/endpoint_client/grpc_endpoint_link.hpp"
#include "magnoliastack/logging/logging.hpp"
#include "magnoliastack/platform_client/grpc_platform_link.hpp"
#include "magnoliastack/proxy/event_loop.hpp"

#include <grpcpp/grpcpp.h>
#include <grpcpp/health_check_service_interface.h>

#include <atomic>
#include <chrono>
#include <utility>

namespace magnoliastack::proxy
{

namespace
{

// Interval of the decision tick. Timers and waiting work are checked this
// often; events are handled at once.
const absl::Duration tick_interval = absl::Milliseconds(5);

// Passes peers' calls to a core that is made after the peer node, because the
// core needs the node. Calls before that get no answer and are sent again.
class late_peer_service final : public rpc::peer_service
{
public:
    void set(rpc::peer_service* target)
    {
        m_target.store(target);
    }

    void
    handle_exchange(rpc::exchange_message message,
                    std::function<void(rpc::exchange_message)> reply) override
    {
        if (rpc::peer_service* target = m_target.load())
            target->handle_exchange(std::move(message), std::move(reply));
    }
    void handle_borrow(rpc::borrow_request request,
                       std::function<void(rpc::borrow_response)> reply) override
    {
        if (rpc::peer_service* target = m_target.load())
            target->handle_borrow(std::move(request), std::move(reply));
    }
    void handle_give_back(rpc::give_back message) override
    {
        if (rpc::peer_service* target = m_target.load())
            target->handle_give_back(std::move(message));
    }
    void handle_fetch_configuration(
        base::configuration_version minimum_version,
        std::function<void(base::result<rpc::configuration_object>)> reply)
        override
    {
        if (rpc::peer_service* target = m_target.load())
            target->handle_fetch_configuration(minimum_version,
                                               std::move(reply));
    }

private:
    std::atomic<rpc::peer_service*> m_target = nullptr;
};

std::shared_ptr<grpc::ServerCredentials>
credentials_of(const caller_tls_options& tls)
{
    if (tls.m_certificate.empty())
        return grpc::InsecureServerCredentials();
    grpc::SslServerCredentialsOptions options(
        tls.m_client_authority.empty()
            ? GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE
            : GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.pem_root_certs = tls.m_client_authority;
    options.pem_key_cert_pairs.push_back(
        {tls.m_private_key, tls.m_certificate});
    return grpc::SslServerCredentials(options);
}

} // namespace

// Members are destroyed in reverse order: servers first, then the core, then
// the links that it uses. The loop is stopped before the core goes.
class host_process::impl
{
public:
    base::result<bool> start(host_options options)
    {
        m_options = std::move(options);
        auto node = peer::peer_node::start(m_options.m_peer, m_peer_service);
        if (!node.has_value())
            return tl::make_unexpected(node.error());
        m_peers = *std::move(node);
        const base::host_id& self = m_options.m_core.m_self;
        m_endpoints =
            std::make_unique<endpoint_client::grpc_endpoint_link>(self);
        m_platform = std::make_unique<platform_client::grpc_platform_link>(
            m_options.m_platform_address, self);
        m_loop = std::make_unique<event_loop>(
            [this]
            {
                tick();
            },
            tick_interval);
        m_core = std::make_unique<core>(
            m_options.m_core,
            core_links{m_clock, *m_endpoints, *m_platform, *m_peers, m_metrics,
                       [this](std::function<void()> task)
                       {
                           m_loop->post(std::move(task));
                       }});
        if (!start_server())
            return base::fail(base::error_code::unavailable,
                              "cannot listen for callers on " +
                                  m_options.m_caller_address);
        m_peer_service.set(m_core.get());
        m_loop->start();
        m_log.info("started", {{"callers", m_options.m_caller_address},
                               {"peers", m_options.m_core.m_peer_address}});
        return true;
    }

    ~impl()
    {
        m_peer_service.set(nullptr);
        if (m_server)
            m_server->Shutdown(std::chrono::system_clock::now());
        if (m_loop)
            m_loop->stop();
        // Open calls are answered by their replies' destructors, and the
        // server waits for that. The links wait for their last callbacks,
        // which refer to the core.
        if (m_core)
            m_core->close();
        m_server.reset();
        m_endpoints.reset();
        m_platform.reset();
        m_peers.reset();
        m_core.reset();
    }

    void drain()
    {
        m_loop->post(
            [this]
            {
                m_core->drain();
            });
    }

    [[nodiscard]] bool is_drained() const
    {
        return m_drained.load();
    }

private:
    void tick()
    {
        m_core->tick();
        m_metrics.counter("loop.ticks").add(1);
        if (!m_core->is_draining())
            return;
        begin_drain();
        if (m_core->is_drained() && !m_drained.load())
            finish_drain();
    }

    void begin_drain()
    {
        if (std::exchange(m_draining, true))
            return;
        // Health checks of the platform's balancer take the host out.
        if (auto* health = m_server->GetHealthCheckService())
            health->SetServingStatus(false);
    }

    void finish_drain()
    {
        m_core->announce_gone();
        m_log.info("drained", {});
        m_drained.store(true);
    }

    bool start_server()
    {
        grpc::EnableDefaultHealthCheckService(true);
        m_callers = std::make_unique<caller_server>(*m_core);
        m_operators = std::make_unique<control_server>(
            *m_core, m_metrics, m_options.m_operator_secret);
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort(m_options.m_caller_address,
                                 credentials_of(m_options.m_caller_tls), &port);
        // A second process on the same address would share its callers.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.RegisterService(m_callers.get());
        builder.RegisterService(m_operators.get());
        m_server = builder.BuildAndStart();
        return m_server != nullptr && port != 0;
    }

    host_options m_options;
    logging::logger m_log{"host"};
    base::system_clock m_clock;
    metrics::registry m_metrics;
    late_peer_service m_peer_service;
    std::unique_ptr<peer::peer_node> m_peers;
    std::unique_ptr<endpoint_client::grpc_endpoint_link> m_endpoints;
    std::unique_ptr<platform_client::grpc_platform_link> m_platform;
    std::unique_ptr<event_loop> m_loop;
    std::unique_ptr<core> m_core;
    std::unique_ptr<caller_server> m_callers;
    std::unique_ptr<control_server> m_operators;
    std::unique_ptr<grpc::Server> m_server;
    bool m_draining = false;
    std::atomic<bool> m_drained = false;
};

host_process::host_process(std::unique_ptr<impl> parts)
    : m_impl(std::move(parts))
{
}

host_process::~host_process() = default;

base::result<std::unique_ptr<host_process>>
host_process::start(host_options options)
{
    auto parts = std::make_unique<impl>();
    auto started = parts->start(std::move(options));
    if (!started.has_value())
        return tl::make_unexpected(std::move(started.error()));
    return std::unique_ptr<host_process>(new host_process(std::move(parts)));
}

void host_process::drain()
{
    m_impl->drain();
}

bool host_process::is_drained() const
{
    return m_impl->is_drained();
}

} // namespace magnoliastack::proxy
