// A client's bidirectional gRPC stream with a queue of outgoing messages.
#ifndef MAGNOLIASTACK_LIB_ENDPOINT_CLIENT_BIDI_STREAM_HPP
#define MAGNOLIASTACK_LIB_ENDPOINT_CLIENT_BIDI_STREAM_HPP

#include "magnoliastack/grpc_calls/live_calls.hpp"

#include "absl/synchronization/mutex.h"

#include <grpcpp/grpcpp.h>
#include <grpcpp/support/client_callback.h>

#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace magnoliastack::endpoint_client
{

// Owns itself from start() until gRPC reports the end of the call, because
// callbacks can come until then.
template <typename Request, typename Response>
class bidi_stream final
    : public grpc::ClientBidiReactor<Request, Response>,
      public std::enable_shared_from_this<bidi_stream<Request, Response>>
{
public:
    using receive_function = std::function<void(const Response&)>;
    using done_function = std::function<void(const grpc::Status&)>;

    bidi_stream(std::shared_ptr<grpc_calls::live_calls> live,
                receive_function received, done_function done)
        : m_live(std::move(live)), m_received(std::move(received)),
          m_done(std::move(done))
    {
    }

    grpc::ClientContext& context()
    {
        return m_context;
    }

    // Call after the stub has bound the reactor.
    void start()
    {
        m_self = this->shared_from_this();
        m_live->begin();
        this->StartRead(&m_response);
        this->StartCall();
    }

    // Queues a message; dropped when the stream is over.
    void write(Request message)
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_over)
            return;
        m_queue.push_back(std::move(message));
        if (m_queue.size() == 1)
            this->StartWrite(&m_queue.front());
    }

    // Ends the call; done follows with CANCELLED.
    void cancel()
    {
        m_context.TryCancel();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
            return;
        m_received(m_response);
        this->StartRead(&m_response);
    }

    void OnWriteDone(bool ok) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_queue.pop_front();
        if (!ok)
            m_over = true;
        if (!m_over && !m_queue.empty())
            this->StartWrite(&m_queue.front());
    }

    void OnDone(const grpc::Status& status) override
    {
        {
            const absl::MutexLock lock(&m_mutex);
            m_over = true;
        }
        m_done(status);
        const std::shared_ptr<grpc_calls::live_calls> live = m_live;
        live->end(std::move(m_self));
    }

private:
    grpc::ClientContext m_context;
    std::shared_ptr<grpc_calls::live_calls> m_live;
    receive_function m_received;
    done_function m_done;
    std::shared_ptr<bidi_stream> m_self;
    Response m_response;
    absl::Mutex m_mutex;
    std::deque<Request> m_queue;
    bool m_over = false;
};

} // namespace magnoliastack::endpoint_client

#endif
