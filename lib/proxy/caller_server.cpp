#include "caller_server.hpp"

#include "magnoliastack/wire/convert.hpp"

#include "absl/synchronization/mutex.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace magnoliastack::proxy
{

namespace
{

// Rows in one part of a streamed answer.
constexpr std::size_t rows_per_part = 500;

// Statements in one request; more than this would hold a slot for too long.
constexpr int max_statements = 100;

// Deadline of a call that names none, and the longest that is honoured.
const absl::Duration default_deadline = absl::Seconds(10);
const absl::Duration max_deadline = absl::Seconds(60);

base::instant deadline_of(const grpc::CallbackServerContext& context)
{
    const base::instant now = base::system_clock().now();
    const auto limit = context.deadline();
    if (limit == std::chrono::system_clock::time_point::max())
        return now + default_deadline;
    const absl::Duration left =
        absl::FromChrono(limit - std::chrono::system_clock::now());
    return now + std::clamp(left, absl::ZeroDuration(), max_deadline);
}

std::string key_of(const grpc::CallbackServerContext& context)
{
    const auto& metadata = context.client_metadata();
    const auto found = metadata.find("magnolia-key");
    if (found == metadata.end())
        return {};
    return {found->second.data(), found->second.size()};
}

void fill_end(const answer& what, v1::AnswerEnd& end)
{
    end.set_row_count(what.m_rows.size());
    end.set_session_token(what.m_session_token);
    end.set_repeated(what.m_repeated);
    end.set_from_replica(what.m_from_replica);
    end.set_staleness_ms(static_cast<std::uint32_t>(
        absl::ToInt64Milliseconds(what.m_staleness)));
    end.set_endpoint(what.m_endpoint.str());
}

base::refusal invalid(std::string detail)
{
    return {base::refusal_reason::invalid_request, base::execution::not_run,
            absl::ZeroDuration(), std::move(detail)};
}

base::refusal stopped()
{
    return {base::refusal_reason::draining, base::execution::unknown,
            absl::Milliseconds(200), "the host stopped"};
}

// Streams one answer. Deletes itself when gRPC is done with it, which is only
// after its last message.
class execute_reactor final
    : public grpc::ServerWriteReactor<v1::ExecuteResponse>
{
public:
    void deliver(answer what)
    {
        m_answer = std::move(what);
        write_next_part();
    }

    void refuse(const base::refusal& what)
    {
        wire::to_proto(what, *m_part.mutable_refusal());
        StartWriteAndFinish(&m_part, grpc::WriteOptions(), grpc::Status::OK);
    }

    void OnWriteDone(bool ok) override
    {
        if (!ok)
            return Finish(grpc::Status::CANCELLED);
        write_next_part();
    }

    void OnDone() override
    {
        delete this;
    }

private:
    void write_next_part()
    {
        m_part.Clear();
        const std::size_t stop =
            std::min(m_next_row + rows_per_part, m_answer.m_rows.size());
        for (; m_next_row < stop; ++m_next_row)
            wire::to_proto(m_answer.m_rows[m_next_row], *m_part.add_rows());
        if (m_next_row < m_answer.m_rows.size())
            return StartWrite(&m_part);
        fill_end(m_answer, *m_part.mutable_end());
        StartWriteAndFinish(&m_part, grpc::WriteOptions(), grpc::Status::OK);
    }

    answer m_answer;
    std::size_t m_next_row = 0;
    v1::ExecuteResponse m_part;
};

// The core's side of an execute call.
class execute_reply final : public caller_reply
{
public:
    explicit execute_reply(execute_reactor* reactor) : m_reactor(reactor)
    {
    }
    ~execute_reply() override
    {
        if (m_reactor != nullptr)
            m_reactor->refuse(stopped());
    }
    execute_reply(const execute_reply&) = delete;
    execute_reply& operator=(const execute_reply&) = delete;

    void deliver(answer what) override
    {
        std::exchange(m_reactor, nullptr)->deliver(std::move(what));
    }
    void refuse(const base::refusal& what) override
    {
        std::exchange(m_reactor, nullptr)->refuse(what);
    }

private:
    execute_reactor* m_reactor;
};

// Reads the statements of a request; fails with what is wrong.
base::result<std::vector<rpc::statement>>
read_statements(const v1::ExecuteRequest& request)
{
    if (request.statements_size() == 0 ||
        request.statements_size() > max_statements)
        return base::fail(base::error_code::invalid_argument,
                          "expected 1 to 100 statements, found " +
                              std::to_string(request.statements_size()));
    std::vector<rpc::statement> statements;
    for (const v1::Statement& message : request.statements())
    {
        auto item = wire::from_proto(message);
        if (!item.has_value())
            return tl::make_unexpected(std::move(item.error()));
        statements.push_back(*std::move(item));
    }
    return statements;
}

class transact_reply;

// One transaction stream: reads a step, waits for its answer, writes it, reads
// the next. Deletes itself when gRPC is done with it.
class transact_reactor final
    : public grpc::ServerBidiReactor<v1::TransactRequest, v1::TransactResponse>
{
public:
    transact_reactor(caller_service& service, std::string key,
                     base::instant deadline)
        : m_service(service), m_key(std::move(key)), m_deadline(deadline)
    {
        StartRead(&m_step);
    }

    void OnReadDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnCancel() override;
    void OnDone() override;

    // From the core, on its thread.
    void deliver(const answer& what);
    void refuse(const base::refusal& what);

private:
    void begin(const v1::TransactionBegin& message);
    void step();
    void finish_once(const grpc::Status& status);

    caller_service& m_service;
    std::string m_key;
    base::instant m_deadline;
    v1::TransactRequest m_step;
    v1::TransactResponse m_response;
    std::shared_ptr<transact_reply> m_reply;
    std::shared_ptr<transaction_handle> m_transaction;
    absl::Mutex m_mutex;
    // Finish was called or is about to be.
    bool m_finishing = false;
    // The step whose answer is awaited ends the transaction.
    bool m_last_step = false;
};

// The core's side of a transaction; detached when the stream ends first.
class transact_reply final : public caller_reply
{
public:
    explicit transact_reply(transact_reactor* reactor) : m_reactor(reactor)
    {
    }

    void deliver(answer what) override
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_reactor != nullptr)
            m_reactor->deliver(what);
    }
    void refuse(const base::refusal& what) override
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_reactor != nullptr)
            m_reactor->refuse(what);
    }
    void detach()
    {
        const absl::MutexLock lock(&m_mutex);
        m_reactor = nullptr;
    }

private:
    absl::Mutex m_mutex;
    transact_reactor* m_reactor;
};

void transact_reactor::OnReadDone(bool ok)
{
    if (ok)
        return step();
    // The caller closed its side or the stream broke. Without a commit the
    // transaction is rolled back.
    if (m_transaction)
        m_transaction->abandon();
    finish_once(grpc::Status::OK);
}

void transact_reactor::step()
{
    if (m_step.has_begin())
        return begin(m_step.begin());
    if (!m_transaction)
        return refuse(invalid("the first step must be begin"));
    switch (m_step.step_case())
    {
    case v1::TransactRequest::kStatement:
    {
        auto item = wire::from_proto(m_step.statement());
        if (!item.has_value())
        {
            m_transaction->abandon();
            return refuse(invalid(item.error().m_message));
        }
        return m_transaction->run(*std::move(item));
    }
    case v1::TransactRequest::kCommit:
        m_last_step = true;
        return m_transaction->commit(
            wire::from_proto(m_step.commit().request_id()));
    case v1::TransactRequest::kRollback:
        m_last_step = true;
        return m_transaction->roll_back();
    default:
        m_transaction->abandon();
        return refuse(invalid("a step has no kind"));
    }
}

void transact_reactor::begin(const v1::TransactionBegin& message)
{
    if (m_transaction)
    {
        m_transaction->abandon();
        return refuse(invalid("begin came twice"));
    }
    transaction_request request;
    request.m_key = std::move(m_key);
    request.m_route = base::route_id(message.route());
    request.m_session_token = message.session_token();
    request.m_deadline = m_deadline;
    m_reply = std::make_shared<transact_reply>(this);
    m_transaction = m_service.open_transaction(std::move(request), m_reply);
}

void transact_reactor::deliver(const answer& what)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_finishing)
            return;
        m_finishing = m_last_step;
    }
    m_response.Clear();
    for (const rpc::row& item : what.m_rows)
        wire::to_proto(item, *m_response.add_rows());
    fill_end(what, *m_response.mutable_end());
    if (m_last_step)
        StartWriteAndFinish(&m_response, grpc::WriteOptions(),
                            grpc::Status::OK);
    else
        StartWrite(&m_response);
}

void transact_reactor::refuse(const base::refusal& what)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_finishing)
            return;
        m_finishing = true;
    }
    m_response.Clear();
    wire::to_proto(what, *m_response.mutable_refusal());
    StartWriteAndFinish(&m_response, grpc::WriteOptions(), grpc::Status::OK);
}

void transact_reactor::OnWriteDone(bool ok)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_finishing)
            return;
    }
    if (ok)
        return StartRead(&m_step);
    if (m_transaction)
        m_transaction->abandon();
    finish_once(grpc::Status::CANCELLED);
}

void transact_reactor::OnCancel()
{
    if (m_transaction)
        m_transaction->abandon();
    finish_once(grpc::Status::CANCELLED);
}

void transact_reactor::finish_once(const grpc::Status& status)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_finishing)
            return;
        m_finishing = true;
    }
    Finish(status);
}

void transact_reactor::OnDone()
{
    if (m_reply)
        m_reply->detach();
    delete this;
}

} // namespace

caller_server::caller_server(caller_service& service) : m_service(service)
{
}

grpc::ServerWriteReactor<v1::ExecuteResponse>*
caller_server::Execute(grpc::CallbackServerContext* context,
                       const v1::ExecuteRequest* request)
{
    auto* reactor = new execute_reactor;
    auto reply = std::make_shared<execute_reply>(reactor);
    auto statements = read_statements(*request);
    if (!statements.has_value())
    {
        reply->refuse(invalid(statements.error().m_message));
        return reactor;
    }
    caller_request what;
    what.m_key = key_of(*context);
    what.m_route = base::route_id(request->route());
    what.m_statements = *std::move(statements);
    what.m_has_id = request->has_request_id();
    what.m_id = wire::from_proto(request->request_id());
    what.m_may_repeat = request->may_repeat();
    what.m_session_token = request->session_token();
    what.m_deadline = deadline_of(*context);
    m_service.execute(std::move(what), std::move(reply));
    return reactor;
}

grpc::ServerBidiReactor<v1::TransactRequest, v1::TransactResponse>*
caller_server::Transact(grpc::CallbackServerContext* context)
{
    return new transact_reactor(m_service, key_of(*context),
                                deadline_of(*context));
}

} // namespace magnoliastack::proxy
