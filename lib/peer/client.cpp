#include "client.hpp"

#include "address.hpp"

#include "absl/strings/str_cat.h"

#include <utility>

namespace magnoliastack::peer
{

client::client(const node_options& options, transport& streams,
               kj::Network& network, kj::Timer& timer)
    : m_options(options), m_streams(streams), m_network(network),
      m_timer(timer), m_tasks(*this)
{
}

base::result<kj::Own<client::connection>>
client::find_or_open(const std::string& address)
{
    const auto found = m_connections.find(address);
    if (found != m_connections.end())
    {
        if (found->second->m_open_calls >= m_options.m_max_calls_per_peer)
            return base::fail(
                base::error_code::unavailable,
                absl::StrCat("peer ", address, " has left ",
                             m_options.m_max_calls_per_peer,
                             " calls without an answer, no further one is "
                             "sent"));
        return kj::addRef(*found->second);
    }
    auto parsed = parse_address(m_network, address);
    if (!parsed)
        return tl::make_unexpected(parsed.error());
    auto made = kj::refcounted<connection>();
    connection& opened = *made;
    // The connection owns the promise, so the promise must not own it.
    opened.m_ready = open(opened, kj::mv(*parsed)).fork();
    m_connections[address] = kj::addRef(*made);
    // A connection that breaks is removed, so that the next call opens one.
    auto watched = opened.m_ready.addBranch().then(
        [&opened]()
        {
            return opened.m_network->onDisconnect();
        });
    m_tasks.add(watched
                    .then(
                        [this, address, &opened]()
                        {
                            drop(address, opened);
                        },
                        [this, address, &opened](kj::Exception&&)
                        {
                            drop(address, opened);
                        })
                    .attach(kj::addRef(*made)));
    return kj::mv(made);
}

kj::Promise<void> client::open(connection& made, kj::Own<kj::NetworkAddress> to)
{
    auto connecting = to->connect().attach(kj::mv(to));
    return connecting
        .then(
            [this](kj::Own<kj::AsyncIoStream> stream)
            {
                return m_streams.opened(kj::mv(stream));
            })
        .then(
            [this, &made](kj::Own<kj::AsyncIoStream> stream)
            {
                start_rpc(made, kj::mv(stream));
            });
}

void client::start_rpc(connection& made, kj::Own<kj::AsyncIoStream> stream)
{
    made.m_stream = kj::mv(stream);
    made.m_network = kj::heap<capnp::TwoPartyVatNetwork>(
        *made.m_stream, capnp::rpc::twoparty::Side::CLIENT,
        reader_options(m_options.m_max_message_bytes));
    made.m_system = kj::heap<capnp::RpcSystem<capnp::rpc::twoparty::VatId>>(
        capnp::makeRpcClient(*made.m_network));
    capnp::MallocMessageBuilder message(4);
    auto vat = message.getRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    made.m_peer = made.m_system->bootstrap(vat).castAs<wire::Peer>();
}

void client::drop(const std::string& address, const connection& broken)
{
    const auto found = m_connections.find(address);
    if (found == m_connections.end() || found->second.get() != &broken)
        return;
    kj::Own<connection> dropped = kj::mv(found->second);
    m_connections.erase(found);
    // Open calls on it end with an error and hold references until then. The
    // RPC state is not destroyed here, because this may run inside of it.
    m_tasks.add(kj::evalLater(
        [dropped = kj::mv(dropped)]() mutable
        {
            dropped->m_peer = nullptr;
            dropped->m_system = nullptr;
        }));
}

base::error client::to_error(const kj::Exception& reason,
                             const std::string& address)
{
    switch (reason.getType())
    {
    case kj::Exception::Type::OVERLOADED:
        return {base::error_code::deadline_exceeded,
                absl::StrCat("peer ", address, " gave no answer in time")};
    case kj::Exception::Type::DISCONNECTED:
        return {base::error_code::unavailable,
                absl::StrCat("peer ", address, " is not connected: ",
                             reason.getDescription().cStr())};
    case kj::Exception::Type::UNIMPLEMENTED:
        return {base::error_code::unsupported,
                absl::StrCat("peer ", address, " does not know the call")};
    case kj::Exception::Type::FAILED:
        break;
    }
    return {base::error_code::internal,
            absl::StrCat("peer ", address, " answered with an error: ",
                         reason.getDescription().cStr())};
}

void client::taskFailed(kj::Exception&& exception)
{
    // Every call and every connection handles its own failure.
    static_cast<void>(exception);
}

} // namespace magnoliastack::peer
