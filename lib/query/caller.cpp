#include "caller.hpp"

#include "absl/strings/str_cat.h"

#include <chrono>
#include <utility>

namespace magnoliastack::query
{
namespace
{

void prepare(grpc::ClientContext& context, const query_request& request)
{
    if (!request.m_key.empty())
        context.AddMetadata("magnolia-key", request.m_key);
    context.set_deadline(absl::ToChronoTime(request.m_deadline));
}

// Takes one part of an answer into the outcome; true for the last part.
template <typename Response>
bool take(Response& part, outcome& result)
{
    for (auto& row : *part.mutable_rows())
        result.m_rows.push_back(std::move(row));
    if (part.has_refusal())
    {
        result.m_execution = part.refusal().execution();
        result.m_refusal = std::move(*part.mutable_refusal());
    }
    if (part.has_end())
        result.m_end = std::move(*part.mutable_end());
    return part.has_refusal() || part.has_end();
}

std::string describe(const grpc::Status& status)
{
    return status.ok() ? "the answer has no end"
                       : absl::StrCat("the call ended without an answer: ",
                                      status.error_message());
}

} // namespace

cli::exit_code outcome::exit_code(bool is_write) const
{
    if (m_execution == v1::EXECUTION_DONE)
        return cli::exit_code::success;
    if (m_execution == v1::EXECUTION_NOT_RUN)
        return m_refusal ? cli::exit_code::refused
                         : cli::exit_code::unreachable;
    // A read changes nothing, whether it ran or not.
    if (!is_write)
        return m_refusal ? cli::exit_code::refused
                         : cli::exit_code::unreachable;
    return cli::exit_code::unknown;
}

caller::caller(const std::shared_ptr<grpc::Channel>& channel)
    : m_stub(v1::Proxy::NewStub(channel))
{
}

outcome caller::execute(const query_request& request)
{
    grpc::ClientContext context;
    prepare(context, request);
    v1::ExecuteRequest message;
    message.set_route(request.m_route);
    message.set_session_token(request.m_token);
    message.set_may_repeat(request.m_may_repeat);
    *message.mutable_request_id() = request.m_request_id;
    for (const auto& statement : request.m_statements)
        *message.add_statements() = statement;

    outcome result;
    auto stream = m_stub->Execute(&context, message);
    v1::ExecuteResponse part;
    bool ended = false;
    while (stream->Read(&part))
        ended = take(part, result);
    const auto status = stream->Finish();
    if (result.m_refusal)
        return result;
    // Rows without the end mark, or another number of them, are not the whole
    // answer.
    if (ended && result.m_end &&
        result.m_end->row_count() == result.m_rows.size())
    {
        result.m_execution = v1::EXECUTION_DONE;
        return result;
    }
    result.m_fault =
        result.m_end ? absl::StrCat("the answer has ", result.m_rows.size(),
                                    " of ", result.m_end->row_count(), " rows")
                     : describe(status);
    result.m_rows.clear();
    result.m_end.reset();
    return result;
}

outcome caller::transact(const query_request& request)
{
    grpc::ClientContext context;
    prepare(context, request);
    auto stream = m_stub->Transact(&context);
    std::vector<v1::TransactRequest> steps(1);
    steps[0].mutable_begin()->set_route(request.m_route);
    steps[0].mutable_begin()->set_session_token(request.m_token);
    for (const auto& statement : request.m_statements)
        *steps.emplace_back().mutable_statement() = statement;
    *steps.emplace_back().mutable_commit()->mutable_request_id() =
        request.m_request_id;

    outcome result;
    std::string endpoint;
    for (const auto& step : steps)
    {
        // A broken stream rolls the transaction back, unless the commit has
        // been sent.
        result.m_execution =
            step.has_commit() ? v1::EXECUTION_UNKNOWN : v1::EXECUTION_NOT_RUN;
        result.m_end.reset();
        v1::TransactResponse part;
        bool ended = false;
        const std::size_t rows_before = result.m_rows.size();
        if (stream->Write(step))
        {
            while (!ended && stream->Read(&part))
                ended = take(part, result);
        }
        const bool whole =
            result.m_end &&
            result.m_end->row_count() == result.m_rows.size() - rows_before;
        if (!whole)
        {
            if (result.m_end)
                context.TryCancel();
            else
                stream->WritesDone();
            const auto status = stream->Finish();
            if (!result.m_refusal)
                result.m_fault = result.m_end ? "a step's answer lacks rows"
                                              : describe(status);
            result.m_rows.clear();
            result.m_end.reset();
            return result;
        }
        // The answer to a commit need not name the endpoint again.
        if (!result.m_end->endpoint().empty())
            endpoint = result.m_end->endpoint();
    }
    result.m_end->set_endpoint(endpoint);
    result.m_execution = v1::EXECUTION_DONE;
    stream->WritesDone();
    stream->Finish();
    return result;
}

} // namespace magnoliastack::query
