// gRPC server around the endpoint model.
#ifndef MAGNOLIASTACK_STANDIN_SERVER_ENDPOINT_SERVER_HPP
#define MAGNOLIASTACK_STANDIN_SERVER_ENDPOINT_SERVER_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/standin/endpoint_model.hpp"

#include <map>
#include <memory>
#include <string>

namespace magnoliastack::standin_server
{

// Where an endpoint listens and finds its group.
struct endpoint_server_options
{
    // IP address and port; port 0 takes a free one.
    std::string m_address;
    standin::endpoint_options m_model;
    // Address of each other member.
    std::map<base::endpoint_id, std::string> m_addresses;
    // Keeps the durable state; empty for none.
    std::string m_state_file;
};

// Serves one endpoint until it is destroyed.
class endpoint_server
{
public:
    // Listens at once; an error when the address cannot be used.
    static base::result<std::unique_ptr<endpoint_server>>
    start(endpoint_server_options options);

    ~endpoint_server();
    endpoint_server(const endpoint_server&) = delete;
    endpoint_server& operator=(const endpoint_server&) = delete;

    // IP address and port that it listens on.
    [[nodiscard]] std::string address() const;

private:
    class implementation;
    explicit endpoint_server(std::unique_ptr<implementation> inner);

    std::unique_ptr<implementation> m_inner;
};

} // namespace magnoliastack::standin_server

#endif
