#include "magnoliastack/load/call.hpp"

#include "magnoliastack/v1/endpoint.grpc.pb.h"

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "grpcpp/grpcpp.h"

#include <atomic>
#include <deque>
#include <utility>

namespace magnoliastack::load
{

namespace
{

struct waiting_call
{
    call_request m_what;
    call_done m_done;
};

// The primary's term, asked once.
std::uint64_t term_of(v1::Endpoint::Stub& stub)
{
    grpc::ClientContext context;
    context.AddMetadata("magnolia-host", "magnolia-load");
    context.set_deadline(std::chrono::system_clock::now() +
                         std::chrono::seconds(5));
    const auto stream = stub.Monitor(&context);
    v1::MonitorRequest request;
    request.set_round(1);
    v1::MonitorResponse response;
    const bool answered = stream->Write(request) && stream->Read(&response);
    context.TryCancel();
    while (stream->Read(&response))
    {
    }
    stream->Finish();
    return answered ? response.status().accepted_term() : 0;
}

call_result no_connection()
{
    call_result result;
    result.m_failure = "direct_no_connection";
    result.m_may_have_run = false;
    return result;
}

class connection;

// Spreads calls over connections; each runs one call at a time.
class endpoint_caller final : public caller
{
public:
    endpoint_caller(const std::string& address, std::size_t connections);
    ~endpoint_caller() override;

    void start(call_request what, call_done done) override;

    // A connection can take a call; gives it the oldest one that waits.
    void ready(connection* which);
    // A connection ended; the last one fails the calls that wait.
    void closed(connection* which);

    [[nodiscard]] std::uint64_t term() const
    {
        return m_term;
    }

private:
    std::unique_ptr<v1::Endpoint::Stub> m_stub;
    std::uint64_t m_term = 0;
    absl::Mutex m_mutex;
    std::deque<waiting_call> m_waiting;
    std::deque<connection*> m_idle;
    std::vector<std::unique_ptr<connection>> m_connections;
    // Connections that can still take calls, and those whose end is not fully
    // handled.
    std::size_t m_usable = 0;
    std::size_t m_open = 0;
};

class connection final
    : public grpc::ClientBidiReactor<v1::CallRequest, v1::CallResponse>
{
public:
    connection(endpoint_caller& owner, v1::Endpoint::Stub& stub)
        : m_owner(owner)
    {
        m_context.AddMetadata("magnolia-host", "magnolia-load");
        stub.async()->Connect(&m_context, this);
        AddHold();
        StartRead(&m_part);
        StartCall();
    }

    void run(waiting_call call)
    {
        m_call = std::move(call);
        m_busy = true;
        m_result = {};
        m_request.Clear();
        m_request.set_call_id(++m_last_call);
        const v1::ExecuteRequest& request = m_call.m_what.m_request;
        v1::ExecuteCall& execute = *m_request.mutable_execute();
        *execute.mutable_statements() = request.statements();
        execute.set_write(m_call.m_what.m_write);
        *execute.mutable_request_id() = request.request_id();
        execute.set_expected_term(m_owner.term());
        StartWrite(&m_request);
    }

    void close()
    {
        m_context.TryCancel();
        RemoveHold();
    }

    void OnWriteDone(bool ok) override
    {
        if (ok)
            half_done();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
            return;
        if (m_part.ready())
            m_owner.ready(this);
        else if (m_busy && m_part.call_id() == m_last_call)
            take_part();
        StartRead(&m_part);
    }

    void OnDone(const grpc::Status& /*status*/) override
    {
        if (std::exchange(m_busy, false))
        {
            m_result.m_failure = "direct_connection_lost";
            m_call.m_done(std::move(m_result));
        }
        m_owner.closed(this);
    }

private:
    // The end of a write and the answer to it come in any order and on any
    // thread; the connection is free after both.
    void half_done()
    {
        if (m_halves.fetch_add(1) % 2 == 1)
            m_owner.ready(this);
    }

    void take_part()
    {
        for (const v1::Row& row : m_part.rows())
            m_result.m_rows.push_back(row);
        if (!m_part.has_end())
            return;
        if (m_part.end().outcome() == v1::CALL_OUTCOME_DONE)
            m_result.m_end.emplace().set_row_count(m_result.m_rows.size());
        else
        {
            m_result.m_failure = absl::StrCat(
                "direct_outcome_", static_cast<int>(m_part.end().outcome()));
            m_result.m_may_have_run = false;
        }
        m_busy = false;
        m_call.m_done(std::move(m_result));
        half_done();
    }

    endpoint_caller& m_owner;
    grpc::ClientContext m_context;
    waiting_call m_call;
    bool m_busy = false;
    std::atomic<unsigned> m_halves = 0;
    std::uint64_t m_last_call = 0;
    v1::CallRequest m_request;
    v1::CallResponse m_part;
    call_result m_result;
};

endpoint_caller::endpoint_caller(const std::string& address,
                                 std::size_t connections)
    : m_stub(v1::Endpoint::NewStub(open_channel(address))),
      m_term(term_of(*m_stub)), m_usable(connections), m_open(connections)
{
    for (std::size_t index = 0; index < connections; ++index)
        m_connections.push_back(std::make_unique<connection>(*this, *m_stub));
}

endpoint_caller::~endpoint_caller()
{
    for (const auto& one : m_connections)
        one->close();
    const absl::MutexLock lock(&m_mutex);
    const auto all_closed = [this]
    {
        return m_open == 0;
    };
    m_mutex.Await(absl::Condition(&all_closed));
}

void endpoint_caller::start(call_request what, call_done done)
{
    connection* free = nullptr;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_idle.empty() && m_usable > 0)
        {
            m_waiting.push_back({std::move(what), std::move(done)});
            return;
        }
        if (!m_idle.empty())
        {
            free = m_idle.front();
            m_idle.pop_front();
        }
    }
    if (free == nullptr)
        return done(no_connection());
    free->run({std::move(what), std::move(done)});
}

void endpoint_caller::ready(connection* which)
{
    waiting_call next;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_waiting.empty())
        {
            m_idle.push_back(which);
            return;
        }
        next = std::move(m_waiting.front());
        m_waiting.pop_front();
    }
    which->run(std::move(next));
}

void endpoint_caller::closed(connection* which)
{
    std::deque<waiting_call> left;
    {
        const absl::MutexLock lock(&m_mutex);
        std::erase(m_idle, which);
        if (--m_usable == 0)
            left = std::exchange(m_waiting, {});
    }
    for (waiting_call& call : left)
        call.m_done(no_connection());
    // The destructor waits for this, so it comes last.
    const absl::MutexLock lock(&m_mutex);
    --m_open;
}

} // namespace

std::unique_ptr<caller> call_endpoint(const std::string& address,
                                      std::size_t connections)
{
    return std::make_unique<endpoint_caller>(address, connections);
}

} // namespace magnoliastack::load
