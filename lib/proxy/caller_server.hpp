// The gRPC service that callers reach.
#ifndef MAGNOLIASTACK_LIB_PROXY_CALLER_SERVER_HPP
#define MAGNOLIASTACK_LIB_PROXY_CALLER_SERVER_HPP

#include "magnoliastack/proxy/caller.hpp"
#include "magnoliastack/v1/proxy.grpc.pb.h"

namespace magnoliastack::proxy
{

// Translates between gRPC calls and the caller_service. Holds no decision.
class caller_server final : public v1::Proxy::CallbackService
{
public:
    explicit caller_server(caller_service& service);

    grpc::ServerWriteReactor<v1::ExecuteResponse>*
    Execute(grpc::CallbackServerContext* context,
            const v1::ExecuteRequest* request) override;

    grpc::ServerBidiReactor<v1::TransactRequest, v1::TransactResponse>*
    Transact(grpc::CallbackServerContext* context) override;

private:
    caller_service& m_service;
};

} // namespace magnoliastack::proxy

#endif
