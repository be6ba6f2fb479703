// The gRPC service that operators reach.
#ifndef MAGNOLIASTACK_LIB_PROXY_CONTROL_SERVER_HPP
#define MAGNOLIASTACK_LIB_PROXY_CONTROL_SERVER_HPP

#include "magnoliastack/metrics/metrics.hpp"
#include "magnoliastack/proxy/operator_service.hpp"
#include "magnoliastack/v1/control.grpc.pb.h"

#include <string>

namespace magnoliastack::proxy
{

// Translates between gRPC calls and the operator_service; checks the
// operators' secret.
class control_server final : public v1::Control::CallbackService
{
public:
    // With an empty secret no secret is asked for.
    control_server(operator_service& service, const metrics::registry& metrics,
                   std::string secret);

    grpc::ServerUnaryReactor* Apply(grpc::CallbackServerContext* context,
                                    const v1::ApplyRequest* request,
                                    v1::ChangeResponse* response) override;
    grpc::ServerUnaryReactor*
    ChangeStatus(grpc::CallbackServerContext* context,
                 const v1::ChangeStatusRequest* request,
                 v1::ChangeResponse* response) override;
    grpc::ServerUnaryReactor* Show(grpc::CallbackServerContext* context,
                                   const v1::ShowRequest* request,
                                   v1::ShowResponse* response) override;
    grpc::ServerUnaryReactor* IssueKey(grpc::CallbackServerContext* context,
                                       const v1::IssueKeyRequest* request,
                                       v1::IssueKeyResponse* response) override;
    grpc::ServerUnaryReactor*
    WithdrawKey(grpc::CallbackServerContext* context,
                const v1::WithdrawKeyRequest* request,
                v1::ChangeResponse* response) override;
    grpc::ServerUnaryReactor* Status(grpc::CallbackServerContext* context,
                                     const v1::StatusRequest* request,
                                     v1::StatusResponse* response) override;
    grpc::ServerUnaryReactor* Stats(grpc::CallbackServerContext* context,
                                    const v1::StatsRequest* request,
                                    v1::StatsResponse* response) override;
    grpc::ServerUnaryReactor* Drain(grpc::CallbackServerContext* context,
                                    const v1::DrainRequest* request,
                                    v1::DrainResponse* response) override;

private:
    [[nodiscard]] bool
    is_operator(const grpc::CallbackServerContext& context) const;

    operator_service& m_service;
    const metrics::registry& m_metrics;
    std::string m_secret;
};

} // namespace magnoliastack::proxy

#endif
