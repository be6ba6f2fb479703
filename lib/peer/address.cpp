#include "address.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace magnoliastack::peer
{

base::result<kj::Own<kj::NetworkAddress>> parse_address(kj::Network& network,
                                                        const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    std::uint32_t port = 0;
    const bool has_port = colon != std::string::npos && colon > 0 &&
                          absl::SimpleAtoi(text.substr(colon + 1), &port) &&
                          port <= 65'535;
    if (has_port)
    {
        std::string host = text.substr(0, colon);
        sockaddr_in v4{};
        v4.sin_family = AF_INET;
        v4.sin_port = htons(static_cast<std::uint16_t>(port));
        if (inet_pton(AF_INET, host.c_str(), &v4.sin_addr) == 1)
            return network.getSockaddr(&v4, sizeof(v4));
        sockaddr_in6 v6{};
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(static_cast<std::uint16_t>(port));
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        {
            host = host.substr(1, host.size() - 2);
            if (inet_pton(AF_INET6, host.c_str(), &v6.sin6_addr) == 1)
                return network.getSockaddr(&v6, sizeof(v6));
        }
    }
    return base::fail(base::error_code::invalid_argument,
                      absl::StrCat("peer address is \"", text,
                                   "\", expected an IP address and a port, as "
                                   "in 192.0.2.1:4000 or [2001:db8::1]:4000"));
}

} // namespace magnoliastack::peer
