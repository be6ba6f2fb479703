#include "magnoliastack/wire/convert.hpp"

#include "magnoliastack/v1/endpoint.pb.h"
#include "magnoliastack/v1/types.pb.h"

#include <type_traits>

namespace magnoliastack::wire
{

namespace
{

base::log_point from_proto(const v1::LogPoint& message)
{
    return {base::term(message.term()), base::log_position(message.position())};
}

void fill(const rpc::execute_call& value, v1::CallRequest& message)
{
    v1::ExecuteCall& call = *message.mutable_execute();
    for (const rpc::statement& item : value.m_statements)
        to_proto(item, *call.add_statements());
    call.set_write(value.m_write);
    if (value.m_write)
        to_proto(value.m_request_id, *call.mutable_request_id());
    call.set_attempt(static_cast<std::uint32_t>(value.m_attempt.value()));
    call.set_expected_term(value.m_expected_term.value());
}

void fill(const rpc::begin_call& value, v1::CallRequest& message)
{
    message.mutable_begin()->set_expected_term(value.m_expected_term.value());
}

void fill(const rpc::statement_call& value, v1::CallRequest& message)
{
    to_proto(value.m_statement,
             *message.mutable_statement()->mutable_statement());
}

void fill(const rpc::commit_call& value, v1::CallRequest& message)
{
    v1::CommitCall& call = *message.mutable_commit();
    to_proto(value.m_request_id, *call.mutable_request_id());
    call.set_attempt(static_cast<std::uint32_t>(value.m_attempt.value()));
    call.set_expected_term(value.m_expected_term.value());
}

void fill(const rpc::rollback_call& /*value*/, v1::CallRequest& message)
{
    message.mutable_rollback();
}

void fill(const rpc::probe_call& value, v1::CallRequest& message)
{
    v1::ProbeCall& call = *message.mutable_probe();
    to_proto(value.m_request_id, *call.mutable_request_id());
    call.set_attempt(static_cast<std::uint32_t>(value.m_attempt.value()));
    call.set_fence(value.m_fence);
    call.set_expected_term(value.m_expected_term.value());
}

void fill(const rpc::ping_call& /*value*/, v1::CallRequest& message)
{
    message.mutable_ping();
}

void fill(const rpc::get_statement& value, v1::Statement& message)
{
    message.mutable_get()->set_key(value.m_key);
}

void fill(const rpc::scan_statement& value, v1::Statement& message)
{
    message.mutable_scan()->set_prefix(value.m_prefix);
    message.mutable_scan()->set_limit(value.m_limit);
}

void fill(const rpc::put_statement& value, v1::Statement& message)
{
    message.mutable_put()->set_key(value.m_key);
    message.mutable_put()->set_value(value.m_value);
}

void fill(const rpc::add_statement& value, v1::Statement& message)
{
    message.mutable_add()->set_key(value.m_key);
    message.mutable_add()->set_amount(value.m_amount);
}

void fill(const rpc::delete_statement& value, v1::Statement& message)
{
    message.mutable_delete_()->set_key(value.m_key);
}

base::result<rpc::statement> with_key(rpc::statement value,
                                      const std::string& key)
{
    if (key.empty())
        return base::fail(base::error_code::invalid_argument,
                          "statement has an empty key");
    return value;
}

} // namespace

base::result<rpc::statement> from_proto(const v1::Statement& message)
{
    switch (message.kind_case())
    {
    case v1::Statement::kGet:
        return with_key(rpc::get_statement{message.get().key()},
                        message.get().key());
    case v1::Statement::kScan:
        return rpc::scan_statement{message.scan().prefix(),
                                   message.scan().limit()};
    case v1::Statement::kPut:
        return with_key(
            rpc::put_statement{message.put().key(), message.put().value()},
            message.put().key());
    case v1::Statement::kAdd:
        return with_key(
            rpc::add_statement{message.add().key(), message.add().amount()},
            message.add().key());
    case v1::Statement::kDelete:
        return with_key(rpc::delete_statement{message.delete_().key()},
                        message.delete_().key());
    case v1::Statement::KIND_NOT_SET:
        break;
    }
    return base::fail(base::error_code::invalid_argument,
                      "statement has no kind");
}

void to_proto(const rpc::statement& value, v1::Statement& message)
{
    std::visit(
        [&message](const auto& item)
        {
            fill(item, message);
        },
        value);
}

base::request_id from_proto(const v1::RequestId& message)
{
    return {message.high(), message.low(), message.issued_unix_ms()};
}

void to_proto(const base::request_id& value, v1::RequestId& message)
{
    message.set_high(value.m_high);
    message.set_low(value.m_low);
    message.set_issued_unix_ms(value.m_issued_unix_ms);
}

rpc::row from_proto(const v1::Row& message)
{
    return {message.key(), message.value()};
}

void to_proto(const rpc::row& value, v1::Row& message)
{
    message.set_key(value.m_key);
    message.set_value(value.m_value);
}

rpc::endpoint_status from_proto(const v1::EndpointStatus& message)
{
    rpc::endpoint_status value;
    value.m_endpoint = base::endpoint_id(message.endpoint());
    value.m_group = base::group_id(message.group());
    value.m_role = static_cast<rpc::endpoint_role>(message.role());
    value.m_accepted_term = base::term(message.accepted_term());
    value.m_sealed_term = base::term(message.sealed_term());
    value.m_sealed_by = base::host_id(message.sealed_by());
    value.m_held = from_proto(message.held());
    value.m_applied = base::log_position(message.applied());
    value.m_term_start = base::log_position(message.term_start());
    value.m_queue_length = message.queue_length();
    value.m_slots = message.slots();
    value.m_connections = message.connections();
    value.m_connection_limit = message.connection_limit();
    value.m_leaving = message.leaving();
    value.m_primary_contact_age =
        absl::Milliseconds(message.primary_contact_age_ms());
    return value;
}

rpc::call_part from_proto(const v1::CallResponse& message)
{
    rpc::call_part part;
    part.m_call = base::call_id(message.call_id());
    part.m_rows.reserve(static_cast<std::size_t>(message.rows_size()));
    for (const v1::Row& item : message.rows())
        part.m_rows.push_back(from_proto(item));
    if (!message.has_end())
        return part;
    rpc::call_end end;
    end.m_outcome = static_cast<rpc::call_outcome>(message.end().outcome());
    end.m_row_count = message.end().row_count();
    end.m_point = from_proto(message.end().point());
    end.m_repeated = message.end().repeated();
    end.m_detail = message.end().detail();
    part.m_end = std::move(end);
    return part;
}

void to_proto(base::call_id id, const rpc::call& value,
              v1::CallRequest& message)
{
    message.set_call_id(id.value());
    std::visit(
        [&message](const auto& item)
        {
            fill(item, message);
        },
        value);
}

void to_proto(const base::refusal& value, v1::Refusal& message)
{
    message.set_reason(static_cast<v1::RefusalReason>(value.m_reason));
    message.set_execution(static_cast<v1::Execution>(value.m_execution));
    message.set_retry_after_ms(static_cast<std::uint32_t>(
        absl::ToInt64Milliseconds(value.m_retry_delay)));
    message.set_detail(value.m_detail);
}

} // namespace magnoliastack::wire
