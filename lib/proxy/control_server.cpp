#include "control_server.hpp"

#include <openssl/crypto.h>

#include <algorithm>
#include <utility>

namespace magnoliastack::proxy
{

namespace
{

grpc::ServerUnaryReactor* denied(grpc::CallbackServerContext* context)
{
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status(
        grpc::StatusCode::UNAUTHENTICATED,
        "the operators' secret is missing or wrong; send it as metadata "
        "magnolia-operator"));
    return reactor;
}

void to_proto(const change_report& report, v1::ChangeResponse& message)
{
    message.set_state(static_cast<v1::ChangeState>(report.m_standing));
    message.set_version(report.m_version.value());
    for (const base::host_id& host : report.m_pending)
        message.add_pending_hosts(host.str());
    message.set_winner(report.m_winner);
    for (const std::string& problem : report.m_errors)
        message.add_errors(problem);
}

void to_proto(const rpc::member_entry& member, v1::MemberStatus& message)
{
    static constexpr const char* names[] = {"alive", "suspect", "dead",
                                            "leaving"};
    message.set_host(member.m_host.str());
    message.set_failure_domain(member.m_failure_domain.str());
    message.set_state(names[static_cast<int>(member.m_state) & 3]);
    message.set_configuration_version(member.m_configuration_version.value());
}

void to_proto(const group_status& group, v1::GroupStatus& message)
{
    message.set_group(group.m_group.str());
    message.set_term(group.m_term.value());
    message.set_primary(group.m_primary.str());
    message.set_committed(group.m_committed.value());
    for (const endpoint_view& item : group.m_endpoints)
    {
        v1::EndpointStatusView& view = *message.add_endpoints();
        view.set_endpoint(item.m_endpoint.str());
        view.set_reachable(item.m_reachable);
        view.set_applied(item.m_status.m_applied.value());
        view.set_connections(static_cast<std::uint32_t>(item.m_connections));
        view.set_leaving(item.m_leaving);
    }
}

void to_proto(const host_status& status, v1::StatusResponse& message)
{
    message.set_host(status.m_host.str());
    message.set_failure_domain(status.m_failure_domain.str());
    message.set_state(status.m_state);
    message.set_configuration_version(status.m_version.value());
    const absl::Duration age =
        std::min(status.m_confirmed_age, absl::Hours(24));
    message.set_confirmed_age_ms(
        static_cast<std::uint32_t>(absl::ToInt64Milliseconds(age)));
    message.set_store_reachable(status.m_store_reachable);
    for (const rpc::member_entry& member : status.m_members)
        to_proto(member, *message.add_members());
    for (const group_status& group : status.m_groups)
        to_proto(group, *message.add_groups());
}

} // namespace

control_server::control_server(operator_service& service,
                               const metrics::registry& metrics,
                               std::string secret)
    : m_service(service), m_metrics(metrics), m_secret(std::move(secret))
{
}

bool control_server::is_operator(
    const grpc::CallbackServerContext& context) const
{
    if (m_secret.empty())
        return true;
    const auto& metadata = context.client_metadata();
    const auto found = metadata.find("magnolia-operator");
    return found != metadata.end() && found->second.size() == m_secret.size() &&
           CRYPTO_memcmp(found->second.data(), m_secret.data(),
                         m_secret.size()) == 0;
}

grpc::ServerUnaryReactor*
control_server::Apply(grpc::CallbackServerContext* context,
                      const v1::ApplyRequest* request,
                      v1::ChangeResponse* response)
{
    if (!is_operator(*context))
        return denied(context);
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    m_service.apply({request->inventory(),
                     base::configuration_version(request->based_on_version()),
                     {request->change_id(), request->author()}},
                    [reactor, response](const change_report& report)
                    {
                        to_proto(report, *response);
                        reactor->Finish(grpc::Status::OK);
                    });
    return reactor;
}

grpc::ServerUnaryReactor*
control_server::ChangeStatus(grpc::CallbackServerContext* context,
                             const v1::ChangeStatusRequest* request,
                             v1::ChangeResponse* response)
{
    if (!is_operator(*context))
        return denied(context);
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    m_service.change_status(base::configuration_version(request->version()),
                            [reactor, response](const change_report& report)
                            {
                                to_proto(report, *response);
                                reactor->Finish(grpc::Status::OK);
                            });
    return reactor;
}

grpc::ServerUnaryReactor*
control_server::Show(grpc::CallbackServerContext* context,
                     const v1::ShowRequest* /*request*/,
                     v1::ShowResponse* response)
{
    if (!is_operator(*context))
        return denied(context);
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    m_service.show(
        [reactor, response](const shown_configuration& shown)
        {
            response->set_version(shown.m_version.value());
            response->set_hash(shown.m_hash);
            response->set_inventory(shown.m_inventory);
            for (const auto& [key, organisation] : shown.m_keys)
            {
                v1::KeyDescription& description = *response->add_keys();
                description.set_key_id(key.str());
                description.set_organisation(organisation.str());
            }
            reactor->Finish(grpc::Status::OK);
        });
    return reactor;
}

grpc::ServerUnaryReactor*
control_server::IssueKey(grpc::CallbackServerContext* context,
                         const v1::IssueKeyRequest* request,
                         v1::IssueKeyResponse* response)
{
    if (!is_operator(*context))
        return denied(context);
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    m_service.issue_key(base::organisation_id(request->organisation()),
                        {request->change_id(), request->author()},
                        [reactor, response](const issued_key_report& report)
                        {
                            to_proto(report.m_change,
                                     *response->mutable_change());
                            response->set_key(report.m_key_text);
                            reactor->Finish(grpc::Status::OK);
                        });
    return reactor;
}

grpc::ServerUnaryReactor*
control_server::WithdrawKey(grpc::CallbackServerContext* context,
                            const v1::WithdrawKeyRequest* request,
                            v1::ChangeResponse* response)
{
    if (!is_operator(*context))
        return denied(context);
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    m_service.withdraw_key(base::key_id(request->key_id()),
                           {request->change_id(), request->author()},
                           [reactor, response](const change_report& report)
                           {
                               to_proto(report, *response);
                               reactor->Finish(grpc::Status::OK);
                           });
    return reactor;
}

grpc::ServerUnaryReactor*
control_server::Status(grpc::CallbackServerContext* context,
                       const v1::StatusRequest* /*request*/,
                       v1::StatusResponse* response)
{
    if (!is_operator(*context))
        return denied(context);
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    m_service.status(
        [reactor, response](const host_status& status)
        {
            to_proto(status, *response);
            reactor->Finish(grpc::Status::OK);
        });
    return reactor;
}

grpc::ServerUnaryReactor*
control_server::Stats(grpc::CallbackServerContext* context,
                      const v1::StatsRequest* /*request*/,
                      v1::StatsResponse* response)
{
    if (!is_operator(*context))
        return denied(context);
    const metrics::snapshot_data data = m_metrics.snapshot();
    for (const auto& [name, value] : data.m_counters)
        (*response->mutable_counters())[name] = value;
    for (const metrics::latency_summary& item : data.m_latencies)
    {
        v1::LatencySummary& summary = *response->add_latencies();
        summary.set_name(item.m_name);
        summary.set_count(item.m_count);
        summary.set_p50_us(absl::ToDoubleMicroseconds(item.m_p50));
        summary.set_p90_us(absl::ToDoubleMicroseconds(item.m_p90));
        summary.set_p99_us(absl::ToDoubleMicroseconds(item.m_p99));
        summary.set_max_us(absl::ToDoubleMicroseconds(item.m_max));
    }
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

grpc::ServerUnaryReactor*
control_server::Drain(grpc::CallbackServerContext* context,
                      const v1::DrainRequest* /*request*/,
                      v1::DrainResponse* response)
{
    if (!is_operator(*context))
        return denied(context);
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    m_service.start_drain(
        [reactor, response]
        {
            response->set_state("draining");
            reactor->Finish(grpc::Status::OK);
        });
    return reactor;
}

} // namespace magnoliastack::proxy
