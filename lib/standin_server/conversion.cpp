#include "conversion.hpp"

#include "absl/time/time.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace magnoliastack::standin_server
{

namespace
{

base::request_id to_id(const v1::RequestId& message)
{
    return {message.high(), message.low(), message.issued_unix_ms()};
}

base::log_point to_point(const v1::LogPoint& message)
{
    return {base::term(message.term()), base::log_position(message.position())};
}

void set_point(v1::LogPoint& message, base::log_point point)
{
    message.set_term(point.m_term.value());
    message.set_position(point.m_position.value());
}

void set_row(v1::Row& message, const rpc::row& row)
{
    message.set_key(row.m_key);
    message.set_value(row.m_value);
}

std::optional<rpc::statement> to_statement(const v1::Statement& message)
{
    switch (message.kind_case())
    {
    case v1::Statement::kGet:
        return rpc::get_statement{message.get().key()};
    case v1::Statement::kScan:
        return rpc::scan_statement{message.scan().prefix(),
                                   message.scan().limit()};
    case v1::Statement::kPut:
        return rpc::put_statement{message.put().key(), message.put().value()};
    case v1::Statement::kAdd:
        return rpc::add_statement{message.add().key(), message.add().amount()};
    case v1::Statement::kDelete:
        return rpc::delete_statement{message.delete_().key()};
    case v1::Statement::KIND_NOT_SET:
        break;
    }
    return std::nullopt;
}

std::optional<rpc::call> to_execute(const v1::ExecuteCall& message)
{
    rpc::execute_call call;
    for (const v1::Statement& item : message.statements())
    {
        auto statement = to_statement(item);
        if (!statement)
            return std::nullopt;
        call.m_statements.push_back(*std::move(statement));
    }
    call.m_write = message.write();
    call.m_request_id = to_id(message.request_id());
    call.m_attempt = base::attempt_number(message.attempt());
    call.m_expected_term = base::term(message.expected_term());
    return call;
}

} // namespace

std::optional<rpc::call> to_call(const v1::CallRequest& message)
{
    switch (message.kind_case())
    {
    case v1::CallRequest::kExecute:
        return to_execute(message.execute());
    case v1::CallRequest::kBegin:
        return rpc::begin_call{base::term(message.begin().expected_term())};
    case v1::CallRequest::kStatement:
        if (auto statement = to_statement(message.statement().statement()))
            return rpc::statement_call{*std::move(statement)};
        return std::nullopt;
    case v1::CallRequest::kCommit:
        return rpc::commit_call{
            to_id(message.commit().request_id()),
            base::attempt_number(message.commit().attempt()),
            base::term(message.commit().expected_term())};
    case v1::CallRequest::kRollback:
        return rpc::rollback_call{};
    case v1::CallRequest::kProbe:
        return rpc::probe_call{to_id(message.probe().request_id()),
                               base::attempt_number(message.probe().attempt()),
                               message.probe().fence(),
                               base::term(message.probe().expected_term())};
    case v1::CallRequest::kPing:
        return rpc::ping_call{};
    case v1::CallRequest::KIND_NOT_SET:
        break;
    }
    return std::nullopt;
}

v1::CallResponse to_message(const rpc::call_part& part)
{
    v1::CallResponse message;
    message.set_call_id(part.m_call.value());
    for (const rpc::row& row : part.m_rows)
        set_row(*message.add_rows(), row);
    if (!part.m_end)
        return message;
    v1::CallEnd& end = *message.mutable_end();
    end.set_outcome(static_cast<v1::CallOutcome>(part.m_end->m_outcome));
    end.set_row_count(part.m_end->m_row_count);
    set_point(*end.mutable_point(), part.m_end->m_point);
    end.set_repeated(part.m_end->m_repeated);
    end.set_detail(part.m_end->m_detail);
    return message;
}

v1::EndpointStatus to_message(const rpc::endpoint_status& status)
{
    v1::EndpointStatus message;
    message.set_endpoint(status.m_endpoint.str());
    message.set_group(status.m_group.str());
    message.set_role(static_cast<v1::EndpointRole>(status.m_role));
    message.set_accepted_term(status.m_accepted_term.value());
    message.set_sealed_term(status.m_sealed_term.value());
    message.set_sealed_by(status.m_sealed_by.str());
    set_point(*message.mutable_held(), status.m_held);
    message.set_applied(status.m_applied.value());
    message.set_term_start(status.m_term_start.value());
    message.set_queue_length(status.m_queue_length);
    message.set_slots(status.m_slots);
    message.set_connections(status.m_connections);
    message.set_connection_limit(status.m_connection_limit);
    message.set_leaving(status.m_leaving);
    // A primary never heard of is reported with the highest age.
    constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    message.set_primary_contact_age_ms(static_cast<std::uint32_t>(std::min(
        absl::ToInt64Milliseconds(status.m_primary_contact_age), most)));
    return message;
}

standin::pull_request to_pull(const v1::PullRequest& message)
{
    return {base::endpoint_id(message.endpoint()), base::term(message.term()),
            to_point(message.after()), base::log_position(message.held())};
}

v1::PullRequest to_message(const standin::pull_request& request)
{
    v1::PullRequest message;
    message.set_endpoint(request.m_endpoint.str());
    message.set_term(request.m_term.value());
    set_point(*message.mutable_after(), request.m_after);
    message.set_held(request.m_held.value());
    return message;
}

standin::pull_answer to_answer(const v1::PullResponse& message)
{
    standin::pull_answer answer;
    answer.m_primary = message.primary();
    answer.m_term = base::term(message.term());
    answer.m_diverged = message.diverged();
    answer.m_resume_after = base::log_position(message.resume_after());
    for (const v1::LogEntry& entry : message.entries())
        answer.m_entries.push_back(to_entry(entry));
    answer.m_term_start = base::log_position(message.term_start());
    return answer;
}

v1::PullResponse to_message(const standin::pull_answer& answer)
{
    v1::PullResponse message;
    message.set_primary(answer.m_primary);
    message.set_term(answer.m_term.value());
    message.set_diverged(answer.m_diverged);
    message.set_resume_after(answer.m_resume_after.value());
    for (const standin::log_entry& entry : answer.m_entries)
        *message.add_entries() = to_message(entry);
    message.set_term_start(answer.m_term_start.value());
    return message;
}

v1::RequestRecord to_message(const standin::request_record& record)
{
    v1::RequestRecord message;
    message.mutable_request_id()->set_high(record.m_id.m_high);
    message.mutable_request_id()->set_low(record.m_id.m_low);
    message.mutable_request_id()->set_issued_unix_ms(
        record.m_id.m_issued_unix_ms);
    message.set_attempt(static_cast<std::uint32_t>(record.m_attempt.value()));
    message.set_fence(record.m_fence);
    for (const rpc::row& row : record.m_rows)
        set_row(*message.add_rows(), row);
    return message;
}

v1::LogEntry to_message(const standin::log_entry& entry)
{
    v1::LogEntry message;
    set_point(*message.mutable_point(), entry.m_point);
    if (entry.m_record)
        *message.mutable_record() = to_message(*entry.m_record);
    for (const standin::row_change& change : entry.m_changes)
    {
        v1::RowChange& item = *message.add_changes();
        item.set_key(change.m_key);
        item.set_value(change.m_value);
        item.set_deleted(change.m_deleted);
    }
    return message;
}

standin::log_entry to_entry(const v1::LogEntry& message)
{
    standin::log_entry entry;
    entry.m_point = to_point(message.point());
    if (message.has_record())
    {
        const v1::RequestRecord& kept = message.record();
        standin::request_record record{to_id(kept.request_id()),
                                       base::attempt_number(kept.attempt()),
                                       kept.fence(),
                                       {}};
        for (const v1::Row& row : kept.rows())
            record.m_rows.push_back({row.key(), row.value()});
        entry.m_record = std::move(record);
    }
    for (const v1::RowChange& change : message.changes())
        entry.m_changes.push_back(
            {change.key(), change.value(), change.deleted()});
    return entry;
}

v1::RowState to_message(const rpc::row_state& row)
{
    v1::RowState message;
    message.set_version(row.m_version);
    message.set_value(row.m_value);
    return message;
}

v1::ListHostsResponse to_message(const rpc::host_list& list)
{
    v1::ListHostsResponse message;
    for (const rpc::listed_host& host : list.m_hosts)
    {
        v1::HostEntry& entry = *message.add_hosts();
        entry.set_host(host.m_host.str());
        entry.set_peer_address(host.m_peer_address);
        entry.set_failure_domain(host.m_failure_domain.str());
        entry.set_leaving(host.m_leaving);
    }
    for (const base::endpoint_id& endpoint : list.m_leaving_endpoints)
        message.add_leaving_endpoints(endpoint.str());
    return message;
}

rpc::listed_host to_host(const v1::HostEntry& message)
{
    return {base::host_id(message.host()), message.peer_address(),
            base::failure_domain_id(message.failure_domain()),
            message.leaving()};
}

} // namespace magnoliastack::standin_server
