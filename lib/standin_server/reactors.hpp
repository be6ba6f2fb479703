// Server-side gRPC calls that any thread may answer, once.
#ifndef MAGNOLIASTACK_STANDIN_SERVER_REACTORS_HPP
#define MAGNOLIASTACK_STANDIN_SERVER_REACTORS_HPP

#include "grpcpp/grpcpp.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace magnoliastack::standin_server
{

// Value of the metadata `magnolia-host`, or empty.
inline std::string host_of(const grpc::CallbackServerContext& context)
{
    const auto found = context.client_metadata().find("magnolia-host");
    if (found == context.client_metadata().end())
        return {};
    return {found->second.data(), found->second.size()};
}

// A call with one answer. It lives until gRPC is done with it and the last
// holder has let it go.
template <typename Response>
class unary_call final : public grpc::ServerUnaryReactor
{
public:
    // Makes a call whose answer goes to `response`.
    static std::shared_ptr<unary_call> make(Response* response)
    {
        auto call = std::make_shared<unary_call>(response);
        call->m_self = call;
        return call;
    }

    explicit unary_call(Response* response) : m_response(response)
    {
    }

    // Sends the answer, unless the call has ended already.
    void reply(Response answer, grpc::Status status = grpc::Status::OK)
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_finished, true))
            return;
        *m_response = std::move(answer);
        Finish(std::move(status));
    }

    // True when the caller has given up.
    bool is_finished()
    {
        const std::lock_guard lock(m_mutex);
        return m_finished;
    }

    void OnCancel() override
    {
        reply({}, {grpc::StatusCode::CANCELLED, "cancelled by the caller"});
    }
    void OnDone() override
    {
        const auto last = std::move(m_self);
    }

private:
    Response* m_response;
    std::mutex m_mutex;
    bool m_finished = false;
    std::shared_ptr<unary_call> m_self;
};

// A bidirectional stream. The handlers come from gRPC's threads.
template <typename Request, typename Response>
class bidi_stream final : public grpc::ServerBidiReactor<Request, Response>
{
public:
    // Makes a stream that passes on what it reads, and once its end.
    static std::shared_ptr<bidi_stream> make()
    {
        auto stream = std::make_shared<bidi_stream>();
        stream->m_self = stream;
        return stream;
    }

    // Sets the handlers; before anything else may end the stream. `closed` is
    // called once, also after finish().
    void set_handlers(std::function<void(Request)> received,
                      std::function<void()> closed)
    {
        m_received = std::move(received);
        m_closed = std::move(closed);
    }

    // Begins to read, unless the stream has been finished meanwhile.
    void start()
    {
        const std::lock_guard lock(m_mutex);
        if (!m_finished)
            this->StartRead(&m_request);
    }

    // True when the stream was finished or the peer has given up.
    bool is_finished()
    {
        const std::lock_guard lock(m_mutex);
        return m_finished;
    }

    // Sends a message after those before it; nothing on an ended stream.
    void send(Response message)
    {
        const std::lock_guard lock(m_mutex);
        if (m_finished)
            return;
        m_outgoing.push_back(std::move(message));
        if (m_outgoing.size() == 1)
            this->StartWrite(&m_outgoing.front());
    }

    // Ends the stream.
    void finish(grpc::Status status)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (std::exchange(m_finished, true))
                return;
            this->Finish(std::move(status));
        }
        m_closed();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
        {
            finish(grpc::Status::OK);
            return;
        }
        m_received(std::move(m_request));
        m_request.Clear();
        const std::lock_guard lock(m_mutex);
        if (!m_finished)
            this->StartRead(&m_request);
    }
    void OnWriteDone(bool ok) override
    {
        const std::lock_guard lock(m_mutex);
        m_outgoing.pop_front();
        if (ok && !m_finished && !m_outgoing.empty())
            this->StartWrite(&m_outgoing.front());
    }
    void OnCancel() override
    {
        finish({grpc::StatusCode::CANCELLED, "cancelled by the caller"});
    }
    void OnDone() override
    {
        const auto last = std::move(m_self);
    }

private:
    std::function<void(Request)> m_received;
    std::function<void()> m_closed;
    Request m_request;
    std::mutex m_mutex;
    // The first message is being written.
    std::deque<Response> m_outgoing;
    bool m_finished = false;
    std::shared_ptr<bidi_stream> m_self;
};

} // namespace magnoliastack::standin_server

#endif
