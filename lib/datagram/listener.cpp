#include "magnoliastack/datagram/listener.hpp"

#include "magnoliastack/datagram/address.hpp"

namespace magnoliastack::datagram
{

using boost::asio::ip::tcp;

base::result<bool> open_listener(tcp::acceptor& acceptor,
                                 const std::string& address, int backlog)
{
    const auto where = parse_address(address);
    if (!where)
        return tl::make_unexpected(where.error());
    boost::system::error_code error;
    acceptor.open(tcp::v4(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(*where, error);
    if (!error)
        acceptor.listen(backlog, error);
    if (error)
        return base::fail(base::error_code::unavailable, "cannot listen at " +
                                                             address + ": " +
                                                             error.message());
    return true;
}

} // namespace magnoliastack::datagram
