// Reaches the platform's table, object store and host list by gRPC.
#ifndef MAGNOLIASTACK_PLATFORM_CLIENT_GRPC_PLATFORM_LINK_HPP
#define MAGNOLIASTACK_PLATFORM_CLIENT_GRPC_PLATFORM_LINK_HPP

#include "magnoliastack/rpc/platform_link.hpp"

#include <memory>
#include <string>

namespace magnoliastack::platform_client
{

// The gRPC implementation of rpc::platform_link. The destructor waits for the
// callbacks of all calls; each call's timeout bounds the wait.
class grpc_platform_link final : public rpc::platform_link
{
public:
    // `self` is sent with every call, so that the platform can tell hosts
    // apart.
    grpc_platform_link(const std::string& address, base::host_id self);
    ~grpc_platform_link() override;

    grpc_platform_link(const grpc_platform_link&) = delete;
    grpc_platform_link& operator=(const grpc_platform_link&) = delete;

    void
    read_row(const std::string& key, absl::Duration timeout,
             std::function<void(base::result<rpc::row_state>)> done) override;

    void compare_and_swap(
        const std::string& key, std::uint64_t expected_version,
        const std::string& value, absl::Duration timeout,
        std::function<void(base::result<rpc::swap_outcome>)> done) override;

    void put_object(const std::string& name, const std::string& content,
                    absl::Duration timeout,
                    std::function<void(base::result<bool>)> done) override;

    void
    get_object(const std::string& name, absl::Duration timeout,
               std::function<void(base::result<std::optional<std::string>>)>
                   done) override;

    void
    list_hosts(absl::Duration timeout,
               std::function<void(base::result<rpc::host_list>)> done) override;

    void announce(const rpc::listed_host& host, bool gone,
                  absl::Duration timeout,
                  std::function<void(base::result<bool>)> done) override;

private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace magnoliastack::platform_client

#endif
