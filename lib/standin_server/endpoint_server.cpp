#include "magnoliastack/standin_server/endpoint_server.hpp"

#include "conversion.hpp"
#include "pull_client.hpp"
#include "reactors.hpp"
#include "state_file.hpp"
#include "work_loop.hpp"

#include "magnoliastack/logging/logging.hpp"
#include "magnoliastack/standin/fault_filter.hpp"
#include "magnoliastack/v1/endpoint.grpc.pb.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace magnoliastack::standin_server
{

namespace
{

using connect_stream = bidi_stream<v1::CallRequest, v1::CallResponse>;
using monitor_stream = bidi_stream<v1::MonitorRequest, v1::MonitorResponse>;

// Statuses are pushed at most once in this time, so that a burst of writes
// does not cost a message each.
constexpr absl::Duration push_interval = absl::Milliseconds(1);
// Connects the model to gRPC. All state belongs to the loop's thread; the
// public functions may be called from any thread.
class endpoint_core
{
public:
    endpoint_core(const endpoint_server_options& options,
                  std::optional<state_file> state)
        : m_state(std::move(state)), m_model(make_model(options.m_model)),
          m_pulls(options.m_addresses), m_loop(
                                            [this](base::instant now)
                                            {
                                                return after_work(now);
                                            })
    {
    }

    ~endpoint_core()
    {
        // Callbacks of pulls post to the loop, and the loop sends pulls: the
        // loop's thread ends first, its queue goes last.
        m_loop.stop();
        m_pulls.stop();
    }
    endpoint_core(const endpoint_core&) = delete;
    endpoint_core& operator=(const endpoint_core&) = delete;

    void connect(const std::shared_ptr<connect_stream>& stream,
                 const std::string& host)
    {
        const base::connection_generation number = next_connection();
        stream->set_handlers(
            [this, number, host](v1::CallRequest message)
            {
                deliver(host,
                        [this, number,
                         message = std::move(message)](base::instant now)
                        {
                            call_received(number, message, now);
                        });
            },
            [this, number]
            {
                // A close is seen even from a peer that is cut off.
                deliver({},
                        [this, number](base::instant now)
                        {
                            connection_closed(number, now);
                        });
            });
        // After the handlers, because a refusal ends the stream from the
        // loop's thread; before the first read, so that no call overtakes it.
        deliver(host,
                [this, number, stream, host](base::instant now)
                {
                    // The peer may give up while it is cut off.
                    if (stream->is_finished())
                        return;
                    m_connections[number] = {host, stream};
                    m_filter.connection_opened(number);
                    carry_out(m_model->connection_opened(number, now), now);
                });
        stream->start();
    }

    void monitor(const std::shared_ptr<monitor_stream>& stream,
                 const std::string& host)
    {
        const std::uint64_t number = ++m_last_monitor;
        m_loop.post(
            [this, number, stream, host](base::instant /*now*/)
            {
                m_monitors[number] = {host, stream, 0};
            });
        stream->set_handlers(
            [this, number](v1::MonitorRequest message)
            {
                deliver(
                    {},
                    [this, number, round = message.round()](base::instant now)
                    {
                        round_received(number, round, now);
                    });
            },
            [this, number]
            {
                m_loop.post(
                    [this, number](base::instant /*now*/)
                    {
                        m_monitors.erase(number);
                    });
            });
        stream->start();
    }

    void seal(const std::shared_ptr<unary_call<v1::SealResponse>>& call,
              const std::string& host, const v1::SealRequest& request)
    {
        deliver(host,
                [this, call, host, request](base::instant now)
                {
                    if (call->is_finished())
                        return;
                    const rpc::control_answer answer =
                        m_model->seal(base::term(request.term()),
                                      base::host_id(request.promoter()), now);
                    keep_state();
                    v1::SealResponse response;
                    response.set_sealed(answer.m_taken);
                    *response.mutable_status() = to_message(answer.m_status);
                    transmit(host,
                             [call, response]
                             {
                                 call->reply(response);
                             });
                });
    }

    void promote(const std::shared_ptr<unary_call<v1::PromoteResponse>>& call,
                 const std::string& host, const v1::PromoteRequest& request)
    {
        deliver(host,
                [this, call, host, request](base::instant now)
                {
                    if (call->is_finished())
                        return;
                    const rpc::control_answer answer = m_model->promote(
                        base::term(request.term()),
                        base::host_id(request.promoter()), now);
                    keep_state();
                    v1::PromoteResponse response;
                    response.set_promoted(answer.m_taken);
                    *response.mutable_status() = to_message(answer.m_status);
                    transmit(host,
                             [call, response]
                             {
                                 call->reply(response);
                             });
                });
    }

    void pull(const std::shared_ptr<unary_call<v1::PullResponse>>& call,
              const v1::PullRequest& request)
    {
        deliver(request.endpoint(),
                [this, call, request](base::instant now)
                {
                    if (call->is_finished())
                        return;
                    const std::uint64_t ticket = ++m_last_ticket;
                    m_tickets[ticket] = {request.endpoint(), call};
                    carry_out(
                        m_model->pull_received(ticket, to_pull(request), now),
                        now);
                });
    }

    void set_faults(
        const std::shared_ptr<unary_call<v1::StandinControlResponse>>& call,
        const v1::EndpointFaults& faults)
    {
        m_loop.post(
            [this, call, faults](base::instant now)
            {
                m_logger.info("faults", {{"set", faults.ShortDebugString()}});
                apply(faults, now);
                call->reply({});
            });
    }

    void dump(const std::shared_ptr<unary_call<v1::DumpResponse>>& call)
    {
        m_loop.post(
            [this, call](base::instant now)
            {
                v1::DumpResponse response;
                *response.mutable_status() = to_message(m_model->status(now));
                for (const auto& [key, value] : m_model->log().rows())
                {
                    v1::Row& row = *response.add_rows();
                    row.set_key(key);
                    row.set_value(value);
                }
                m_model->log().for_each_record(
                    [&response](const standin::request_record& record)
                    {
                        *response.add_records() = to_message(record);
                    });
                call->reply(std::move(response));
            });
    }

private:
    struct connection_peer
    {
        std::string m_host;
        std::shared_ptr<connect_stream> m_stream;
    };

    struct monitor_peer
    {
        std::string m_host;
        std::shared_ptr<monitor_stream> m_stream;
        std::uint64_t m_round = 0;
    };

    struct pull_peer
    {
        std::string m_endpoint;
        std::shared_ptr<unary_call<v1::PullResponse>> m_call;
    };

    std::unique_ptr<standin::endpoint_model>
    make_model(const standin::endpoint_options& options)
    {
        if (m_state && m_state->has_state())
            return std::make_unique<standin::endpoint_model>(
                options, m_state->take(), m_clock.now());
        return std::make_unique<standin::endpoint_model>(options,
                                                         m_clock.now());
    }

    // Keeps what has changed; called before any answer is sent.
    void keep_state()
    {
        if (m_state)
            m_state->write(*m_model);
    }

    base::connection_generation next_connection()
    {
        return base::connection_generation(++m_last_connection);
    }

    // Handles what arrives from a peer now, or when the endpoint is no longer
    // frozen and the peer no longer cut off, as a transport retransmits.
    void deliver(const std::string& peer, work_loop::work item)
    {
        m_loop.post(
            [this, peer, item = std::move(item)](base::instant now)
            {
                hold_or_run(peer, item, now);
            });
    }

    // Sends to a peer after the answer delay, under the same conditions.
    void transmit(const std::string& peer, std::function<void()> send)
    {
        const base::instant now = m_clock.now();
        work_loop::work item = [send = std::move(send)](base::instant /*now*/)
        {
            send();
        };
        if (m_answer_delay == absl::ZeroDuration())
        {
            hold_or_run(peer, std::move(item), now);
            return;
        }
        m_loop.post_at(now + m_answer_delay,
                       [this, peer, item = std::move(item)](base::instant at)
                       {
                           hold_or_run(peer, item, at);
                       });
    }

    void hold_or_run(const std::string& peer, work_loop::work item,
                     base::instant now)
    {
        if (m_frozen)
            m_held_while_frozen.emplace_back(peer, std::move(item));
        else if (m_filter.is_cut(peer))
            m_held_while_cut[peer].push_back(std::move(item));
        else
            item(now);
    }

    void call_received(base::connection_generation number,
                       const v1::CallRequest& message, base::instant now)
    {
        auto call = to_call(message);
        const base::call_id id(message.call_id());
        if (call)
        {
            carry_out(m_model->call_received(number, id, *std::move(call), now),
                      now);
            return;
        }
        rpc::call_end end;
        end.m_outcome = rpc::call_outcome::failed;
        end.m_detail = "the call has no kind or a statement has none";
        send(number, {id, {}, std::move(end)}, false);
    }

    void connection_closed(base::connection_generation number,
                           base::instant now)
    {
        m_model->connection_closed(number, now);
        m_filter.connection_closed(number);
        m_connections.erase(number);
    }

    void round_received(std::uint64_t number, std::uint64_t round,
                        base::instant now)
    {
        const auto found = m_monitors.find(number);
        if (found == m_monitors.end() || m_filter.is_cut(found->second.m_host))
            return;
        found->second.m_round = std::max(found->second.m_round, round);
        send_status(found->second, to_message(m_model->status(now)));
    }

    void send_status(const monitor_peer& peer, const v1::EndpointStatus& status)
    {
        if (m_filter.is_cut(peer.m_host))
            return;
        v1::MonitorResponse response;
        response.set_round(peer.m_round);
        *response.mutable_status() = status;
        transmit(peer.m_host,
                 [stream = peer.m_stream, response]
                 {
                     stream->send(response);
                 });
    }

    void send(base::connection_generation number, rpc::call_part part,
              bool write)
    {
        const auto found = m_connections.find(number);
        if (found == m_connections.end())
            return;
        auto kept = m_filter.filter(number, std::move(part), write);
        if (!kept)
            return;
        transmit(found->second.m_host,
                 [stream = found->second.m_stream, message = to_message(*kept)]
                 {
                     stream->send(message);
                 });
    }

    void carry_out(standin::endpoint_model::actions actions, base::instant now)
    {
        keep_state();
        for (standin::endpoint_action& action : actions)
            std::visit(
                [&](auto& item)
                {
                    carry_out_one(item, now);
                },
                action);
    }

    void carry_out_one(const standin::connection_accepted& item,
                       base::instant /*now*/)
    {
        const connection_peer& peer = m_connections.at(item.m_connection);
        v1::CallResponse ready;
        ready.set_ready(true);
        transmit(peer.m_host,
                 [stream = peer.m_stream, ready]
                 {
                     stream->send(ready);
                 });
    }

    void carry_out_one(const standin::connection_refused& item,
                       base::instant /*now*/)
    {
        const connection_peer& peer = m_connections.at(item.m_connection);
        const auto code = item.m_leaving ? grpc::StatusCode::UNAVAILABLE
                                         : grpc::StatusCode::RESOURCE_EXHAUSTED;
        transmit(
            peer.m_host,
            [stream = peer.m_stream, status = grpc::Status(code, item.m_reason)]
            {
                stream->finish(status);
            });
    }

    void carry_out_one(standin::send_part& item, base::instant /*now*/)
    {
        send(item.m_connection, std::move(item.m_part), item.m_write);
    }

    void carry_out_one(const standin::answer_pull& item, base::instant /*now*/)
    {
        auto found = m_tickets.extract(item.m_ticket);
        if (found.empty())
            return;
        transmit(
            found.mapped().m_endpoint,
            [call = found.mapped().m_call, message = to_message(item.m_answer)]
            {
                call->reply(message);
            });
    }

    void carry_out_one(const standin::send_pull& item, base::instant now)
    {
        const auto answered = [this, from = item.m_to, number = item.m_number](
                                  base::result<standin::pull_answer> answer)
        {
            deliver({},
                    [this, from, number, answer](base::instant at)
                    {
                        pull_answered(from, number, answer, at);
                    });
        };
        if (!m_filter.is_cut(item.m_to.str()) &&
            m_pulls.pull(item.m_to, item.m_request, answered))
            return;
        m_loop.post_at(now + pull_timeout,
                       [answered](base::instant /*at*/)
                       {
                           answered(no_answer());
                       });
    }

    void pull_answered(const base::endpoint_id& from, std::uint64_t number,
                       base::result<standin::pull_answer> answer,
                       base::instant now)
    {
        if (m_filter.is_cut(from.str()))
            answer = no_answer();
        carry_out(m_model->pull_answered(from, number, std::move(answer), now),
                  now);
    }

    static base::result<standin::pull_answer> no_answer()
    {
        return base::fail(base::error_code::unavailable,
                          "no answer from the member");
    }

    void apply(const v1::EndpointFaults& faults, base::instant now)
    {
        if (faults.has_answer_delay_ms())
            m_answer_delay = absl::Milliseconds(faults.answer_delay_ms());
        if (faults.has_apply_delay_ms())
            m_model->set_apply_delay(
                absl::Milliseconds(faults.apply_delay_ms()));
        if (faults.has_replication_delay_ms())
            m_model->set_replication_delay(
                absl::Milliseconds(faults.replication_delay_ms()));
        if (faults.silence_open_connections())
            m_filter.silence_open_connections();
        if (faults.has_drop_write_answers())
            m_filter.drop_write_answers(faults.drop_write_answers());
        if (faults.has_cross_answers())
            m_filter.cross_answers(faults.cross_answers());
        if (faults.has_leaving())
            m_model->set_leaving(faults.leaving(), now);
        if (faults.set_cut())
            m_filter.set_cut({faults.cut().begin(), faults.cut().end()});
        if (faults.has_frozen())
            m_frozen = faults.frozen();
        release_held(now);
    }

    // Handles what a freeze or cut that has ended was holding back.
    void release_held(base::instant now)
    {
        if (m_frozen)
            return;
        for (auto& [peer, item] : std::exchange(m_held_while_frozen, {}))
            hold_or_run(peer, std::move(item), now);
        for (auto& [peer, items] : std::exchange(m_held_while_cut, {}))
            for (work_loop::work& item : items)
                hold_or_run(peer, std::move(item), now);
    }

    std::optional<base::instant> after_work(base::instant now)
    {
        if (m_frozen)
            return std::nullopt;
        carry_out(m_model->tick(now), now);
        std::optional<base::instant> next = m_model->next_event();
        if (const auto push = push_status(now);
            push && (!next || *push < *next))
            next = push;
        return next;
    }

    // Tells the monitors of a change; returns when to try again.
    std::optional<base::instant> push_status(base::instant now)
    {
        const rpc::endpoint_status status = m_model->status(now);
        const auto key = std::make_tuple(
            status.m_accepted_term, status.m_sealed_term, status.m_role,
            status.m_held, status.m_applied, status.m_leaving);
        if (key == m_pushed)
            return std::nullopt;
        if (now < m_last_push + push_interval)
            return m_last_push + push_interval;
        log_role_change(status);
        m_pushed = key;
        m_last_push = now;
        const v1::EndpointStatus message = to_message(status);
        for (const auto& [number, peer] : m_monitors)
            if (peer.m_round > 0)
                send_status(peer, message);
        return std::nullopt;
    }

    void log_role_change(const rpc::endpoint_status& status) const
    {
        if (std::get<0>(m_pushed) == status.m_accepted_term &&
            std::get<1>(m_pushed) == status.m_sealed_term &&
            std::get<2>(m_pushed) == status.m_role)
            return;
        m_logger.info(
            "role", {{"endpoint", status.m_endpoint},
                     {"role", v1::EndpointRole_Name(to_message(status).role())},
                     {"accepted_term", status.m_accepted_term},
                     {"sealed_term", status.m_sealed_term},
                     {"sealed_by", status.m_sealed_by},
                     {"held_term", status.m_held.m_term},
                     {"held_position", status.m_held.m_position}});
    }

    logging::logger m_logger{"standin"};
    base::system_clock m_clock;
    std::atomic<std::uint64_t> m_last_connection = 0;
    std::atomic<std::uint64_t> m_last_monitor = 0;

    bool m_frozen = false;
    absl::Duration m_answer_delay;
    standin::fault_filter m_filter;
    std::optional<state_file> m_state;
    std::unique_ptr<standin::endpoint_model> m_model;
    std::map<base::connection_generation, connection_peer> m_connections;
    std::map<std::uint64_t, monitor_peer> m_monitors;
    std::uint64_t m_last_ticket = 0;
    std::map<std::uint64_t, pull_peer> m_tickets;
    std::vector<std::pair<std::string, work_loop::work>> m_held_while_frozen;
    std::map<std::string, std::vector<work_loop::work>> m_held_while_cut;
    std::tuple<base::term, base::term, rpc::endpoint_role, base::log_point,
               base::log_position, bool>
        m_pushed;
    base::instant m_last_push;
    pull_client m_pulls;
    // Last, because its thread uses all of the above from the start.
    work_loop m_loop;
};

class endpoint_service final : public v1::Endpoint::CallbackService
{
public:
    explicit endpoint_service(endpoint_core& core) : m_core(&core)
    {
    }

    grpc::ServerBidiReactor<v1::CallRequest, v1::CallResponse>*
    Connect(grpc::CallbackServerContext* context) override
    {
        const auto stream = connect_stream::make();
        m_core->connect(stream, host_of(*context));
        return stream.get();
    }
    grpc::ServerBidiReactor<v1::MonitorRequest, v1::MonitorResponse>*
    Monitor(grpc::CallbackServerContext* context) override
    {
        const auto stream = monitor_stream::make();
        m_core->monitor(stream, host_of(*context));
        return stream.get();
    }
    grpc::ServerUnaryReactor* Seal(grpc::CallbackServerContext* context,
                                   const v1::SealRequest* request,
                                   v1::SealResponse* response) override
    {
        const auto call = unary_call<v1::SealResponse>::make(response);
        m_core->seal(call, host_of(*context), *request);
        return call.get();
    }
    grpc::ServerUnaryReactor* Promote(grpc::CallbackServerContext* context,
                                      const v1::PromoteRequest* request,
                                      v1::PromoteResponse* response) override
    {
        const auto call = unary_call<v1::PromoteResponse>::make(response);
        m_core->promote(call, host_of(*context), *request);
        return call.get();
    }
    grpc::ServerUnaryReactor* Pull(grpc::CallbackServerContext* /*context*/,
                                   const v1::PullRequest* request,
                                   v1::PullResponse* response) override
    {
        const auto call = unary_call<v1::PullResponse>::make(response);
        m_core->pull(call, *request);
        return call.get();
    }

private:
    endpoint_core* m_core;
};

class control_service final : public v1::EndpointStandinControl::CallbackService
{
public:
    explicit control_service(endpoint_core& core) : m_core(&core)
    {
    }

    grpc::ServerUnaryReactor*
    SetFaults(grpc::CallbackServerContext* /*context*/,
              const v1::EndpointFaults* request,
              v1::StandinControlResponse* response) override
    {
        const auto call =
            unary_call<v1::StandinControlResponse>::make(response);
        m_core->set_faults(call, *request);
        return call.get();
    }
    grpc::ServerUnaryReactor* Dump(grpc::CallbackServerContext* /*context*/,
                                   const v1::DumpRequest* /*request*/,
                                   v1::DumpResponse* response) override
    {
        const auto call = unary_call<v1::DumpResponse>::make(response);
        m_core->dump(call);
        return call.get();
    }

private:
    endpoint_core* m_core;
};

} // namespace

class endpoint_server::implementation
{
public:
    implementation(const endpoint_server_options& options,
                   std::optional<state_file> state)
        : m_core(options, std::move(state)), m_service(m_core),
          m_control(m_core)
    {
    }
    ~implementation()
    {
        if (!m_server)
            return;
        // Open streams are cancelled at once.
        m_server->Shutdown(std::chrono::system_clock::now());
        m_server->Wait();
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    bool listen(const std::string& address)
    {
        grpc::ServerBuilder builder;
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddListeningPort(address, grpc::InsecureServerCredentials(),
                                 &m_port);
        builder.RegisterService(&m_service);
        builder.RegisterService(&m_control);
        m_server = builder.BuildAndStart();
        m_host = address.substr(0, address.rfind(':'));
        return m_server != nullptr && m_port != 0;
    }
    [[nodiscard]] std::string address() const
    {
        return absl::StrCat(m_host, ":", m_port);
    }

private:
    endpoint_core m_core;
    endpoint_service m_service;
    control_service m_control;
    std::string m_host;
    int m_port = 0;
    std::unique_ptr<grpc::Server> m_server;
};

base::result<std::unique_ptr<endpoint_server>>
endpoint_server::start(endpoint_server_options options)
{
    std::optional<state_file> state;
    if (!options.m_state_file.empty())
    {
        auto opened = state_file::open(options.m_state_file);
        if (!opened)
            return tl::make_unexpected(opened.error());
        state.emplace(*std::move(opened));
    }
    const std::string address = options.m_address;
    auto inner = std::make_unique<implementation>(options, std::move(state));
    if (!inner->listen(address))
        return base::fail(
            base::error_code::unavailable,
            absl::StrCat("cannot listen on ", address, ", choose a free port"));
    return std::unique_ptr<endpoint_server>(
        new endpoint_server(std::move(inner)));
}

endpoint_server::endpoint_server(std::unique_ptr<implementation> inner)
    : m_inner(std::move(inner))
{
}

endpoint_server::~endpoint_server() = default;

std::string endpoint_server::address() const
{
    return m_inner->address();
}

} // namespace magnoliastack::standin_server
