// Conversion between the public protobuf contracts and the typed values of
// the decision libraries.
#ifndef MAGNOLIASTACK_WIRE_CONVERT_HPP
#define MAGNOLIASTACK_WIRE_CONVERT_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/refusal.hpp"
#include "magnoliastack/rpc/endpoint_link.hpp"

namespace magnoliastack::v1
{
class CallRequest;
class CallResponse;
class EndpointStatus;
class Refusal;
class RequestId;
class Row;
class Statement;
} // namespace magnoliastack::v1

namespace magnoliastack::wire
{

// Fails for a statement without a kind or with an empty key.
base::result<rpc::statement> from_proto(const v1::Statement& message);
void to_proto(const rpc::statement& value, v1::Statement& message);

base::request_id from_proto(const v1::RequestId& message);
void to_proto(const base::request_id& value, v1::RequestId& message);

rpc::row from_proto(const v1::Row& message);
void to_proto(const rpc::row& value, v1::Row& message);

rpc::endpoint_status from_proto(const v1::EndpointStatus& message);

rpc::call_part from_proto(const v1::CallResponse& message);

void to_proto(base::call_id id, const rpc::call& value,
              v1::CallRequest& message);

void to_proto(const base::refusal& value, v1::Refusal& message);

} // namespace magnoliastack::wire

#endif
