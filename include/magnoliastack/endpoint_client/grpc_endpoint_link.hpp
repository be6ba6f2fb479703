// Reaches database endpoints by gRPC.
#ifndef MAGNOLIASTACK_ENDPOINT_CLIENT_GRPC_ENDPOINT_LINK_HPP
#define MAGNOLIASTACK_ENDPOINT_CLIENT_GRPC_ENDPOINT_LINK_HPP

#include "magnoliastack/rpc/endpoint_link.hpp"

#include <memory>
#include <string>

namespace magnoliastack::grpc_calls
{

class live_calls;

} // namespace magnoliastack::grpc_calls

namespace magnoliastack::endpoint_client
{

// The gRPC implementation of rpc::endpoint_link. Every database connection and
// every monitor has a transport connection of its own. Listeners must outlive
// the link; the destructor waits until no callback can come any more, so
// connections and monitors must be destroyed before it.
class grpc_endpoint_link final : public rpc::endpoint_link
{
public:
    // `self` is sent with every call, so that endpoints can tell hosts apart.
    explicit grpc_endpoint_link(base::host_id self);
    ~grpc_endpoint_link() override;

    grpc_endpoint_link(const grpc_endpoint_link&) = delete;
    grpc_endpoint_link& operator=(const grpc_endpoint_link&) = delete;

    std::unique_ptr<rpc::endpoint_connection>
    connect(const base::endpoint_id& endpoint, const std::string& address,
            base::connection_generation generation,
            rpc::connection_listener& listener) override;

    std::unique_ptr<rpc::endpoint_monitor>
    monitor(const base::endpoint_id& endpoint, const std::string& address,
            rpc::monitor_listener& listener) override;

    void seal(const base::endpoint_id& endpoint, const std::string& address,
              base::term target, const base::host_id& promoter,
              absl::Duration timeout, rpc::control_callback done) override;

    void promote(const base::endpoint_id& endpoint, const std::string& address,
                 base::term target, const base::host_id& promoter,
                 absl::Duration timeout, rpc::control_callback done) override;

private:
    base::host_id m_self;
    std::shared_ptr<grpc_calls::live_calls> m_live;
};

} // namespace magnoliastack::endpoint_client

#endif
