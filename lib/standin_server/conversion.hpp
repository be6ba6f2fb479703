// Conversion between the published messages and the models' values.
#ifndef MAGNOLIASTACK_STANDIN_SERVER_CONVERSION_HPP
#define MAGNOLIASTACK_STANDIN_SERVER_CONVERSION_HPP

#include "magnoliastack/rpc/endpoint_link.hpp"
#include "magnoliastack/rpc/platform_link.hpp"
#include "magnoliastack/standin/log_entry.hpp"

#include "magnoliastack/v1/endpoint.pb.h"
#include "magnoliastack/v1/platform.pb.h"

#include <optional>

namespace magnoliastack::standin_server
{

// Nothing when no kind of call is set.
std::optional<rpc::call> to_call(const v1::CallRequest& message);

v1::CallResponse to_message(const rpc::call_part& part);
v1::EndpointStatus to_message(const rpc::endpoint_status& status);

standin::pull_request to_pull(const v1::PullRequest& message);
v1::PullRequest to_message(const standin::pull_request& request);
standin::pull_answer to_answer(const v1::PullResponse& message);
v1::PullResponse to_message(const standin::pull_answer& answer);

v1::RequestRecord to_message(const standin::request_record& record);
v1::LogEntry to_message(const standin::log_entry& entry);
standin::log_entry to_entry(const v1::LogEntry& message);

v1::RowState to_message(const rpc::row_state& row);
v1::ListHostsResponse to_message(const rpc::host_list& list);
rpc::listed_host to_host(const v1::HostEntry& message);

} // namespace magnoliastack::standin_server

#endif
