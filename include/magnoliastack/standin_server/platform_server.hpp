// gRPC server around the platform model.
#ifndef MAGNOLIASTACK_STANDIN_SERVER_PLATFORM_SERVER_HPP
#define MAGNOLIASTACK_STANDIN_SERVER_PLATFORM_SERVER_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/standin/platform_model.hpp"

#include <memory>
#include <string>

namespace magnoliastack::standin_server
{

// Where the platform listens.
struct platform_server_options
{
    // IP address and port; port 0 takes a free one.
    std::string m_address;
    standin::platform_options m_model;
};

// Serves the platform until it is destroyed.
class platform_server
{
public:
    // Listens at once; an error when the address cannot be used.
    static base::result<std::unique_ptr<platform_server>>
    start(platform_server_options options);

    ~platform_server();
    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;

    // IP address and port that it listens on.
    [[nodiscard]] std::string address() const;

private:
    class implementation;
    explicit platform_server(std::unique_ptr<implementation> inner);

    std::unique_ptr<implementation> m_inner;
};

} // namespace magnoliastack::standin_server

#endif
