#include "magnoliastack/endpoint_client/grpc_endpoint_link.hpp"

#include "bidi_stream.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/grpc_calls/live_calls.hpp"
#include "magnoliastack/v1/endpoint.grpc.pb.h"
#include "magnoliastack/wire/convert.hpp"

#include <chrono>
#include <utility>

namespace magnoliastack::endpoint_client
{

namespace
{

// A monitor without an answer for this long gets a new transport connection:
// something between the two ends may have lost track of the old one while new
// ones work.
const absl::Duration monitor_silence_limit = absl::Milliseconds(400);

// Pause between tries to open a monitor stream.
const absl::Duration monitor_retry_interval = absl::Milliseconds(100);

std::shared_ptr<grpc::Channel> open_channel(const std::string& address)
{
    grpc::ChannelArguments arguments;
    // Without a pool of its own, channels to one address share a transport
    // connection, and one silent connection would take all of them with it.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 500);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
}

void add_identity(grpc::ClientContext& context, const base::host_id& self)
{
    context.AddMetadata("magnolia-host", self.str());
}

base::error to_error(const grpc::Status& status)
{
    base::error_code code = base::error_code::unavailable;
    if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
        code = base::error_code::deadline_exceeded;
    if (status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED)
        code = base::error_code::conflict;
    return {code, status.error_message()};
}

using grpc_calls::live_calls;
using call_stream = bidi_stream<v1::CallRequest, v1::CallResponse>;
using monitor_stream = bidi_stream<v1::MonitorRequest, v1::MonitorResponse>;

class grpc_connection final : public rpc::endpoint_connection
{
public:
    grpc_connection(const base::host_id& self, const std::string& address,
                    base::connection_generation generation,
                    rpc::connection_listener& listener,
                    std::shared_ptr<live_calls> live)
        : m_stub(v1::Endpoint::NewStub(open_channel(address))),
          m_stream(std::make_shared<call_stream>(
              std::move(live),
              [generation, &listener](const v1::CallResponse& message)
              {
                  if (message.ready())
                      listener.connection_ready(generation);
                  else
                      listener.call_answered(generation,
                                             wire::from_proto(message));
              },
              [generation, &listener](const grpc::Status& status)
              {
                  listener.connection_closed(generation, to_error(status));
              }))
    {
        add_identity(m_stream->context(), self);
        m_stub->async()->Connect(&m_stream->context(), m_stream.get());
        m_stream->start();
    }

    ~grpc_connection() override
    {
        m_stream->cancel();
    }

    grpc_connection(const grpc_connection&) = delete;
    grpc_connection& operator=(const grpc_connection&) = delete;

    void send(base::call_id id, const rpc::call& what) override
    {
        v1::CallRequest message;
        wire::to_proto(id, what, message);
        m_stream->write(std::move(message));
    }

private:
    std::unique_ptr<v1::Endpoint::Stub> m_stub;
    std::shared_ptr<call_stream> m_stream;
};

// What the callbacks of a monitor share with it; outlives it.
struct monitor_state
{
    absl::Mutex m_mutex;
    // Streams opened so far; callbacks of earlier ones are ignored.
    std::uint64_t m_stream_number = 0;
    bool m_broken = true;
    base::instant m_last_heard;
};

class grpc_monitor final : public rpc::endpoint_monitor
{
public:
    grpc_monitor(base::host_id self, base::endpoint_id endpoint,
                 std::string address, rpc::monitor_listener& listener,
                 std::shared_ptr<live_calls> live)
        : m_self(std::move(self)), m_endpoint(std::move(endpoint)),
          m_address(std::move(address)), m_listener(listener),
          m_live(std::move(live)), m_state(std::make_shared<monitor_state>())
    {
    }

    ~grpc_monitor() override
    {
        if (m_stream)
            m_stream->cancel();
    }

    grpc_monitor(const grpc_monitor&) = delete;
    grpc_monitor& operator=(const grpc_monitor&) = delete;

    void send_round(base::round_number round) override
    {
        const base::instant now = m_clock.now();
        if (must_open(now))
            open(now);
        if (!m_stream)
            return;
        v1::MonitorRequest message;
        message.set_round(round.value());
        m_stream->write(std::move(message));
    }

private:
    bool must_open(base::instant now)
    {
        if (!m_stream)
            return true;
        const absl::MutexLock lock(&m_state->m_mutex);
        if (m_state->m_broken)
            return now - m_opened >= monitor_retry_interval;
        const base::instant heard = std::max(m_state->m_last_heard, m_opened);
        return now - heard >= monitor_silence_limit;
    }

    void open(base::instant now)
    {
        if (m_stream)
            m_stream->cancel();
        m_opened = now;
        std::uint64_t number = 0;
        {
            const absl::MutexLock lock(&m_state->m_mutex);
            number = ++m_state->m_stream_number;
            m_state->m_broken = false;
        }
        auto received =
            [state = m_state, number, endpoint = m_endpoint,
             &listener = m_listener](const v1::MonitorResponse& message)
        {
            {
                const absl::MutexLock lock(&state->m_mutex);
                if (state->m_stream_number != number)
                    return;
                state->m_last_heard = base::system_clock().now();
            }
            listener.status_received(endpoint,
                                     base::round_number(message.round()),
                                     wire::from_proto(message.status()));
        };
        auto done = [state = m_state, number, endpoint = m_endpoint,
                     &listener = m_listener](const grpc::Status&)
        {
            {
                const absl::MutexLock lock(&state->m_mutex);
                if (state->m_stream_number != number)
                    return;
                state->m_broken = true;
            }
            listener.monitor_lost(endpoint);
        };
        m_stub = v1::Endpoint::NewStub(open_channel(m_address));
        m_stream = std::make_shared<monitor_stream>(m_live, std::move(received),
                                                    std::move(done));
        add_identity(m_stream->context(), m_self);
        m_stub->async()->Monitor(&m_stream->context(), m_stream.get());
        m_stream->start();
    }

    base::host_id m_self;
    base::endpoint_id m_endpoint;
    std::string m_address;
    rpc::monitor_listener& m_listener;
    std::shared_ptr<live_calls> m_live;
    std::shared_ptr<monitor_state> m_state;
    std::unique_ptr<v1::Endpoint::Stub> m_stub;
    std::shared_ptr<monitor_stream> m_stream;
    base::instant m_opened;
    base::system_clock m_clock;
};

// A seal or promote in progress; freed by its callback.
template <typename Request, typename Response>
struct control_call
{
    std::unique_ptr<v1::Endpoint::Stub> m_stub;
    grpc::ClientContext m_context;
    Request m_request;
    Response m_response;
};

template <typename Request, typename Response>
std::shared_ptr<control_call<Request, Response>>
prepare(const base::host_id& self, const std::string& address,
        base::term target, const base::host_id& promoter,
        absl::Duration timeout)
{
    auto call = std::make_shared<control_call<Request, Response>>();
    call->m_stub = v1::Endpoint::NewStub(open_channel(address));
    add_identity(call->m_context, self);
    call->m_context.set_deadline(std::chrono::system_clock::now() +
                                 absl::ToChronoMicroseconds(timeout));
    call->m_request.set_term(target.value());
    call->m_request.set_promoter(promoter.str());
    return call;
}

} // namespace

grpc_endpoint_link::grpc_endpoint_link(base::host_id self)
    : m_self(std::move(self)), m_live(std::make_shared<live_calls>())
{
}

grpc_endpoint_link::~grpc_endpoint_link()
{
    m_live->wait_for_none();
}

std::unique_ptr<rpc::endpoint_connection> grpc_endpoint_link::connect(
    const base::endpoint_id& /*endpoint*/, const std::string& address,
    base::connection_generation generation, rpc::connection_listener& listener)
{
    return std::make_unique<grpc_connection>(m_self, address, generation,
                                             listener, m_live);
}

std::unique_ptr<rpc::endpoint_monitor>
grpc_endpoint_link::monitor(const base::endpoint_id& endpoint,
                            const std::string& address,
                            rpc::monitor_listener& listener)
{
    return std::make_unique<grpc_monitor>(m_self, endpoint, address, listener,
                                          m_live);
}

void grpc_endpoint_link::seal(const base::endpoint_id& endpoint,
                              const std::string& address, base::term target,
                              const base::host_id& promoter,
                              absl::Duration timeout,
                              rpc::control_callback done)
{
    auto call = prepare<v1::SealRequest, v1::SealResponse>(
        m_self, address, target, promoter, timeout);
    m_live->begin();
    call->m_stub->async()->Seal(
        &call->m_context, &call->m_request, &call->m_response,
        [call, endpoint, live = m_live,
         done = std::move(done)](const grpc::Status& status) mutable
        {
            if (!status.ok())
                done(endpoint, tl::make_unexpected(to_error(status)));
            else
                done(endpoint,
                     rpc::control_answer{
                         call->m_response.sealed(),
                         wire::from_proto(call->m_response.status())});
            live->end(std::move(call));
        });
}

void grpc_endpoint_link::promote(const base::endpoint_id& endpoint,
                                 const std::string& address, base::term target,
                                 const base::host_id& promoter,
                                 absl::Duration timeout,
                                 rpc::control_callback done)
{
    auto call = prepare<v1::PromoteRequest, v1::PromoteResponse>(
        m_self, address, target, promoter, timeout);
    m_live->begin();
    call->m_stub->async()->Promote(
        &call->m_context, &call->m_request, &call->m_response,
        [call, endpoint, live = m_live,
         done = std::move(done)](const grpc::Status& status) mutable
        {
            if (!status.ok())
                done(endpoint, tl::make_unexpected(to_error(status)));
            else
                done(endpoint,
                     rpc::control_answer{
                         call->m_response.promoted(),
                         wire::from_proto(call->m_response.status())});
            live->end(std::move(call));
        });
}

} // namespace magnoliastack::endpoint_client
