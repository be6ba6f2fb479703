#include "magnoliastack/standin_server/platform_server.hpp"

#include "conversion.hpp"
#include "reactors.hpp"
#include "work_loop.hpp"

#include "magnoliastack/logging/logging.hpp"
#include "magnoliastack/v1/platform.grpc.pb.h"

#include "absl/strings/str_cat.h"

#include <chrono>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace magnoliastack::standin_server
{

namespace
{

// Connects the model to gRPC. The model belongs to the loop's thread.
class platform_core
{
public:
    explicit platform_core(standin::platform_options options)
        : m_model(options), m_loop(
                                [](base::instant /*now*/)
                                {
                                    return std::optional<base::instant>();
                                })
    {
    }

    // Runs one call: `effect` fills the answer and returns false if the answer
    // is to be lost.
    template <typename Response, typename Effect>
    void run(const std::shared_ptr<unary_call<Response>>& call,
             const std::string& host, Effect effect)
    {
        m_loop.post(
            [this, call, host, effect = std::move(effect)](base::instant now)
            {
                const standin::call_fate fate = m_model.fate_of(host);
                if (fate.m_unanswered)
                    return;
                Response response;
                grpc::Status status(grpc::StatusCode::UNAVAILABLE,
                                    "the platform has an outage");
                if (!fate.m_fails)
                {
                    auto ended = effect(m_model, response, now);
                    if (!ended)
                        return;
                    status = *std::move(ended);
                }
                if (fate.m_delay == absl::ZeroDuration())
                    call->reply(std::move(response), std::move(status));
                else
                    m_loop.post_at(now + fate.m_delay,
                                   [call, response, status](base::instant)
                                   {
                                       call->reply(response, status);
                                   });
            });
    }

    // Runs a control call, which no fault affects.
    template <typename Response, typename Effect>
    void control(const std::shared_ptr<unary_call<Response>>& call,
                 Effect effect)
    {
        m_loop.post(
            [this, call, effect = std::move(effect)](base::instant now)
            {
                Response response;
                effect(m_model, response, now);
                call->reply(std::move(response));
            });
    }

private:
    standin::platform_model m_model;
    work_loop m_loop;
};

// End of a call, or nothing if its answer is lost.
using ending = std::optional<grpc::Status>;

class platform_service final : public v1::Platform::CallbackService
{
public:
    explicit platform_service(platform_core& core) : m_core(&core)
    {
    }

    grpc::ServerUnaryReactor* ReadRow(grpc::CallbackServerContext* context,
                                      const v1::ReadRowRequest* request,
                                      v1::RowState* response) override
    {
        return run(context, response,
                   [request = *request](standin::platform_model& model,
                                        v1::RowState& out, base::instant)
                   {
                       out = to_message(model.read_row(request.key()));
                       return ending(grpc::Status::OK);
                   });
    }
    grpc::ServerUnaryReactor*
    CompareAndSwap(grpc::CallbackServerContext* context,
                   const v1::CompareAndSwapRequest* request,
                   v1::CompareAndSwapResponse* response) override
    {
        return run(
            context, response,
            [request = *request](standin::platform_model& model,
                                 v1::CompareAndSwapResponse& out, base::instant)
            {
                const rpc::swap_outcome done = model.compare_and_swap(
                    request.key(), request.expected_version(), request.value());
                out.set_swapped(done.m_swapped);
                *out.mutable_row() = to_message(done.m_row);
                return model.swap_answer_lost() ? ending()
                                                : ending(grpc::Status::OK);
            });
    }
    grpc::ServerUnaryReactor*
    PutObject(grpc::CallbackServerContext* context,
              const v1::PutObjectRequest* request,
              v1::PutObjectResponse* response) override
    {
        return run(context, response,
                   [request = *request](standin::platform_model& model,
                                        v1::PutObjectResponse&, base::instant)
                   {
                       const auto done =
                           model.put_object(request.name(), request.content());
                       if (done)
                           return ending(grpc::Status::OK);
                       return ending(
                           grpc::Status(grpc::StatusCode::INVALID_ARGUMENT,
                                        done.error().m_message));
                   });
    }
    grpc::ServerUnaryReactor*
    GetObject(grpc::CallbackServerContext* context,
              const v1::GetObjectRequest* request,
              v1::GetObjectResponse* response) override
    {
        return run(context, response,
                   [request = *request](standin::platform_model& model,
                                        v1::GetObjectResponse& out,
                                        base::instant)
                   {
                       auto content = model.get_object(request.name());
                       out.set_found(content.has_value());
                       if (content)
                           out.set_content(*std::move(content));
                       return ending(grpc::Status::OK);
                   });
    }
    grpc::ServerUnaryReactor*
    ListHosts(grpc::CallbackServerContext* context,
              const v1::ListHostsRequest* /*request*/,
              v1::ListHostsResponse* response) override
    {
        return run(context, response,
                   [](standin::platform_model& model,
                      v1::ListHostsResponse& out, base::instant now)
                   {
                       out = to_message(model.list_hosts(now));
                       return ending(grpc::Status::OK);
                   });
    }
    grpc::ServerUnaryReactor* Announce(grpc::CallbackServerContext* context,
                                       const v1::AnnounceRequest* request,
                                       v1::AnnounceResponse* response) override
    {
        return run(
            context, response,
            [request = *request](standin::platform_model& model,
                                 v1::AnnounceResponse&, base::instant now)
            {
                model.announce(to_host(request.host()), request.gone(), now);
                return ending(grpc::Status::OK);
            });
    }

private:
    template <typename Response, typename Effect>
    grpc::ServerUnaryReactor* run(grpc::CallbackServerContext* context,
                                  Response* response, Effect effect)
    {
        const auto call = unary_call<Response>::make(response);
        m_core->run(call, host_of(*context), std::move(effect));
        return call.get();
    }

    platform_core* m_core;
};

void apply(const v1::PlatformFaults& faults, standin::platform_model& model,
           base::instant now)
{
    logging::logger("standin").info("faults",
                                    {{"set", faults.ShortDebugString()}});
    if (faults.has_outage())
        model.set_outage(faults.outage());
    if (faults.has_delay_ms())
        model.set_delay(absl::Milliseconds(faults.delay_ms()));
    if (faults.has_drop_swap_answers())
        model.set_drop_swap_answers(faults.drop_swap_answers());
    if (faults.has_list_lag_ms())
        model.set_list_lag(absl::Milliseconds(faults.list_lag_ms()));
    if (faults.set_cut())
        model.set_cut({faults.cut().begin(), faults.cut().end()});
    if (!faults.set_leaving())
        return;
    std::vector<base::endpoint_id> endpoints;
    for (const std::string& name : faults.leaving_endpoints())
        endpoints.emplace_back(name);
    model.set_leaving_endpoints(std::move(endpoints), now);
}

class control_service final : public v1::PlatformStandinControl::CallbackService
{
public:
    explicit control_service(platform_core& core) : m_core(&core)
    {
    }

    grpc::ServerUnaryReactor*
    SetFaults(grpc::CallbackServerContext* /*context*/,
              const v1::PlatformFaults* request,
              v1::StandinControlResponse* response) override
    {
        const auto call =
            unary_call<v1::StandinControlResponse>::make(response);
        m_core->control(call,
                        [request = *request](standin::platform_model& model,
                                             v1::StandinControlResponse&,
                                             base::instant now)
                        {
                            apply(request, model, now);
                        });
        return call.get();
    }
    grpc::ServerUnaryReactor*
    Stats(grpc::CallbackServerContext* /*context*/,
          const v1::PlatformStatsRequest* /*request*/,
          v1::PlatformStatsResponse* response) override
    {
        const auto call = unary_call<v1::PlatformStatsResponse>::make(response);
        m_core->control(call,
                        [](standin::platform_model& model,
                           v1::PlatformStatsResponse& out, base::instant)
                        {
                            out.set_reads(model.reads());
                            out.set_writes(model.writes());
                        });
        return call.get();
    }

private:
    platform_core* m_core;
};

} // namespace

class platform_server::implementation
{
public:
    explicit implementation(standin::platform_options options)
        : m_core(options), m_service(m_core), m_control(m_core)
    {
    }
    ~implementation()
    {
        if (!m_server)
            return;
        // Calls that get no answer are cancelled at once.
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
    platform_core m_core;
    platform_service m_service;
    control_service m_control;
    std::string m_host;
    int m_port = 0;
    std::unique_ptr<grpc::Server> m_server;
};

base::result<std::unique_ptr<platform_server>>
platform_server::start(platform_server_options options)
{
    auto inner = std::make_unique<implementation>(options.m_model);
    if (!inner->listen(options.m_address))
        return base::fail(base::error_code::unavailable,
                          absl::StrCat("cannot listen on ", options.m_address,
                                       ", choose a free port"));
    return std::unique_ptr<platform_server>(
        new platform_server(std::move(inner)));
}

platform_server::platform_server(std::unique_ptr<implementation> inner)
    : m_inner(std::move(inner))
{
}

platform_server::~platform_server() = default;

std::string platform_server::address() const
{
    return m_inner->address();
}

} // namespace magnoliastack::standin_server
