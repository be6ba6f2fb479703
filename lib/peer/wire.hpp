// Conversion between the peer messages and their Cap'n Proto encoding.
#ifndef MAGNOLIASTACK_LIB_PEER_WIRE_HPP
#define MAGNOLIASTACK_LIB_PEER_WIRE_HPP

#include "magnoliastack/rpc/peer_link.hpp"

#include "magnoliastack/peer.capnp.h"

namespace magnoliastack::peer
{

void write(const rpc::exchange_message& message, wire::Exchange::Builder out);
rpc::exchange_message read(wire::Exchange::Reader in);

void write(const rpc::borrow_request& request,
           wire::BorrowRequest::Builder out);
rpc::borrow_request read(wire::BorrowRequest::Reader in);

void write(const rpc::borrow_response& response,
           wire::BorrowResponse::Builder out);
rpc::borrow_response read(wire::BorrowResponse::Reader in);

void write(const rpc::give_back& message, wire::GiveBack::Builder out);
rpc::give_back read(wire::GiveBack::Reader in);

void write(const rpc::configuration_object& object,
           wire::Configuration::Builder out);
rpc::configuration_object read(wire::Configuration::Reader in);

} // namespace magnoliastack::peer

#endif
