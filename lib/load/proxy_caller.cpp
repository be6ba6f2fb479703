#include "magnoliastack/load/call.hpp"

#include "magnoliastack/v1/proxy.grpc.pb.h"

#include "absl/strings/str_cat.h"
#include "grpcpp/grpcpp.h"

#include <atomic>
#include <chrono>
#include <utility>

namespace magnoliastack::load
{

namespace
{

void prepare(grpc::ClientContext& context, const call_request& what)
{
    context.AddMetadata("magnolia-key", what.m_key);
    context.set_deadline(std::chrono::system_clock::now() +
                         absl::ToChronoMilliseconds(what.m_deadline));
}

// Takes the rows and the end of one answer part.
void take(const v1::Row& row, call_result& result)
{
    result.m_rows.push_back(row);
}

template <typename Response>
void take_part(const Response& part, call_result& result)
{
    for (const v1::Row& row : part.rows())
        take(row, result);
    if (part.has_end())
        result.m_end = part.end();
    if (part.has_refusal())
        result.m_refusal = part.refusal();
}

// An answer without a whole set of rows must not be used.
void finish(call_result& result, const grpc::Status& status,
            std::size_t row_count)
{
    if (!status.ok())
        result.m_failure =
            absl::StrCat("grpc_", static_cast<int>(status.error_code()));
    else if (!result.m_end && !result.m_refusal)
        result.m_failure = "no_end_mark";
    if (result.m_end && result.m_end->row_count() != row_count)
    {
        result.m_end.reset();
        result.m_failure = "row_count";
    }
}

// One execute call. Deletes itself after its end.
class execute_reactor final
    : public grpc::ClientReadReactor<v1::ExecuteResponse>
{
public:
    execute_reactor(v1::Proxy::Stub& stub, call_request what, call_done done)
        : m_what(std::move(what)), m_done(std::move(done))
    {
        prepare(m_context, m_what);
        stub.async()->Execute(&m_context, &m_what.m_request, this);
        StartRead(&m_part);
        StartCall();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
            return;
        take_part(m_part, m_result);
        StartRead(&m_part);
    }

    void OnDone(const grpc::Status& status) override
    {
        finish(m_result, status, m_result.m_rows.size());
        m_done(std::move(m_result));
        delete this;
    }

private:
    grpc::ClientContext m_context;
    call_request m_what;
    call_done m_done;
    v1::ExecuteResponse m_part;
    call_result m_result;
};

// One transaction: begin, the statements, commit, each after the answer to the
// step before. Deletes itself after its end.
class transact_reactor final
    : public grpc::ClientBidiReactor<v1::TransactRequest, v1::TransactResponse>
{
public:
    transact_reactor(v1::Proxy::Stub& stub, call_request what, call_done done)
        : m_what(std::move(what)), m_done(std::move(done))
    {
        m_result.m_may_have_run = false;
        prepare(m_context, m_what);
        stub.async()->Transact(&m_context, this);
        send_next();
        StartRead(&m_part);
        StartCall();
    }

    void OnWriteDone(bool ok) override
    {
        if (ok)
            step_half_done();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
            return;
        take_part(m_part, m_result);
        const bool step_ended = m_part.has_end();
        const bool over = m_part.has_refusal() || (step_ended && m_committing);
        if (over)
            m_over = true;
        else if (step_ended)
            m_result.m_end.reset();
        if (over || step_ended)
            step_half_done();
        StartRead(&m_part);
    }

    void OnDone(const grpc::Status& status) override
    {
        if (m_result.m_end)
            m_result.m_end->set_row_count(m_result.m_rows.size());
        // The outcome of the commit stands even when the stream breaks later.
        const bool decided = m_result.m_end || m_result.m_refusal;
        finish(m_result, decided ? grpc::Status::OK : status,
               m_result.m_rows.size());
        m_done(std::move(m_result));
        delete this;
    }

private:
    // The end of a write and the answer to it come in any order and on any
    // thread; the second of them goes on, because gRPC takes one write at a
    // time.
    void step_half_done()
    {
        if (m_halves.fetch_add(1) % 2 == 0)
            return;
        if (m_over)
            StartWritesDone();
        else
            send_next();
    }

    void send_next()
    {
        m_step.Clear();
        const v1::ExecuteRequest& request = m_what.m_request;
        if (m_next < 0)
        {
            m_step.mutable_begin()->set_route(request.route());
            m_step.mutable_begin()->set_session_token(request.session_token());
        }
        else if (m_next < request.statements_size())
            *m_step.mutable_statement() = request.statements(m_next);
        else
        {
            m_committing = true;
            m_result.m_may_have_run = true;
            *m_step.mutable_commit()->mutable_request_id() =
                request.request_id();
        }
        ++m_next;
        StartWrite(&m_step);
    }

    grpc::ClientContext m_context;
    call_request m_what;
    call_done m_done;
    v1::TransactRequest m_step;
    v1::TransactResponse m_part;
    call_result m_result;
    // Statement that is sent next; -1 for the begin step.
    int m_next = -1;
    bool m_committing = false;
    std::atomic<bool> m_over = false;
    std::atomic<unsigned> m_halves = 0;
};

class proxy_caller final : public caller
{
public:
    explicit proxy_caller(std::shared_ptr<grpc::Channel> channel)
        : m_stub(v1::Proxy::NewStub(std::move(channel)))
    {
    }

    void start(call_request what, call_done done) override
    {
        if (what.m_transaction)
            new transact_reactor(*m_stub, std::move(what), std::move(done));
        else
            new execute_reactor(*m_stub, std::move(what), std::move(done));
    }

private:
    std::unique_ptr<v1::Proxy::Stub> m_stub;
};

} // namespace

std::shared_ptr<grpc::Channel> open_channel(const std::string& address)
{
    grpc::ChannelArguments arguments;
    // Without a pool of its own, channels to one address share a connection.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    // A restarted proxy is found again within the time of a failover.
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    return grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
}

std::unique_ptr<caller> call_proxy(std::shared_ptr<grpc::Channel> channel)
{
    return std::make_unique<proxy_caller>(std::move(channel));
}

} // namespace magnoliastack::load
