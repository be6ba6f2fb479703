#include "magnoliastack/load/deployment.hpp"

#include "magnoliastack/inventory/inventory.hpp"
#include "magnoliastack/v1/control.grpc.pb.h"
#include "magnoliastack/v1/endpoint.grpc.pb.h"
#include "magnoliastack/v1/platform.grpc.pb.h"

#include "absl/strings/str_cat.h"
#include "google/protobuf/util/json_util.h"
#include "grpcpp/grpcpp.h"

#include <chrono>
#include <limits>
#include <sstream>
#include <thread>

namespace magnoliastack::load
{

namespace
{

constexpr auto call_bound = std::chrono::seconds(10);
constexpr auto repeat_interval = std::chrono::milliseconds(200);

std::shared_ptr<grpc::Channel> control_channel(const std::string& address)
{
    grpc::ChannelArguments arguments;
    // A dump holds the rows and records of a whole run.
    arguments.SetMaxReceiveMessageSize(std::numeric_limits<int>::max());
    return grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
}

void set_bound(grpc::ClientContext& context)
{
    context.AddMetadata("magnolia-host", "magnolia-load");
    context.set_deadline(std::chrono::system_clock::now() + call_bound);
}

// Calls `step` until it returns true; false when the time is over.
template <typename Step>
bool repeat_until(std::chrono::steady_clock::time_point end, Step step)
{
    while (!step())
    {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(repeat_interval);
    }
    return true;
}

bool is_stored(const v1::ChangeResponse& change)
{
    return change.state() == v1::CHANGE_STATE_ACCEPTED ||
           change.state() == v1::CHANGE_STATE_STORED_PENDING;
}

std::string describe(const grpc::Status& status,
                     const v1::ChangeResponse& change)
{
    std::string text = status.ok() ? v1::ChangeState_Name(change.state())
                                   : status.error_message();
    for (const std::string& problem : change.errors())
        absl::StrAppend(&text, "; ", problem);
    for (const std::string& host : change.pending_hosts())
        absl::StrAppend(&text, "; pending at ", host);
    return text;
}

template <typename Stub, typename Faults>
base::result<void> set_faults(Stub& stub, Faults faults,
                              const std::string& address,
                              const std::string& json)
{
    const auto parsed =
        google::protobuf::util::JsonStringToMessage(json, &faults);
    if (!parsed.ok())
        return base::fail(
            base::error_code::invalid_argument,
            absl::StrCat("faults are not valid JSON: ", parsed.ToString()));
    grpc::ClientContext context;
    set_bound(context);
    v1::StandinControlResponse response;
    const grpc::Status status = stub.SetFaults(&context, faults, &response);
    if (!status.ok() || !response.error().empty())
        return base::fail(base::error_code::unavailable,
                          absl::StrCat("faults of ", address,
                                       " not set: ", status.error_message(),
                                       response.error()));
    return {};
}

// The steps of prepare against one proxy.
class preparation
{
public:
    preparation(const std::string& proxy, absl::Duration patience)
        : m_stub(v1::Control::NewStub(control_channel(proxy))),
          m_end(std::chrono::steady_clock::now() +
                absl::ToChronoMilliseconds(patience))
    {
    }

    base::result<void> apply(const std::string& inventory_text)
    {
        const bool done = repeat_until(
            m_end,
            [&]
            {
                v1::ShowResponse shown;
                grpc::ClientContext show_context;
                set_bound(show_context);
                if (!m_stub->Show(&show_context, {}, &shown).ok())
                    return false;
                v1::ApplyRequest request;
                request.set_inventory(inventory_text);
                request.set_based_on_version(shown.version());
                request.set_change_id(next_change());
                request.set_author("magnolia-load");
                grpc::ClientContext context;
                set_bound(context);
                return taken(m_stub->Apply(&context, request, &m_change));
            });
        return done ? base::result<void>() : failed("inventory not applied");
    }

    base::result<std::string> issue(const std::string& organisation)
    {
        std::string key;
        const bool done =
            repeat_until(m_end,
                         [&]
                         {
                             v1::IssueKeyRequest request;
                             request.set_organisation(organisation);
                             request.set_change_id(next_change());
                             request.set_author("magnolia-load");
                             grpc::ClientContext context;
                             set_bound(context);
                             v1::IssueKeyResponse response;
                             const grpc::Status status =
                                 m_stub->IssueKey(&context, request, &response);
                             m_change = response.change();
                             key = response.key();
                             return taken(status);
                         });
        if (!done)
            return tl::make_unexpected(
                failed("no key for " + organisation).error());
        return key;
    }

    base::result<void> wait_until_accepted()
    {
        v1::ChangeStatusRequest request;
        request.set_version(m_change.version());
        const bool done = repeat_until(
            m_end,
            [&]
            {
                grpc::ClientContext context;
                set_bound(context);
                return taken(m_stub->ChangeStatus(&context, request,
                                                  &m_change)) &&
                       m_change.state() == v1::CHANGE_STATE_ACCEPTED;
            });
        return done ? base::result<void>()
                    : failed("configuration not in force on every host");
    }

private:
    // Change ids differ between runs of the tool and between repeats, because
    // a key is shown only in the answer to its own change.
    std::string next_change()
    {
        return absl::StrCat("magnolia-load-", base::system_clock().unix_ms(),
                            "-", ++m_changes);
    }

    bool taken(const grpc::Status& status)
    {
        m_problem = describe(status, m_change);
        return status.ok() && is_stored(m_change);
    }

    base::result<void> failed(const std::string& what) const
    {
        return base::fail(base::error_code::unavailable,
                          absl::StrCat(what, ": ", m_problem));
    }

    std::unique_ptr<v1::Control::Stub> m_stub;
    std::chrono::steady_clock::time_point m_end;
    int m_changes = 0;
    v1::ChangeResponse m_change;
    std::string m_problem;
};

} // namespace

base::result<std::map<std::string, endpoint_addresses>>
groups_of(const std::string& inventory_text, const std::string& file_name)
{
    const auto parsed = inventory::parse_inventory(inventory_text, file_name);
    if (!parsed.has_value())
        return base::fail(base::error_code::invalid_argument,
                          parsed.error().front().to_string());
    std::map<std::string, endpoint_addresses> all;
    for (const auto& [id, endpoint] : parsed->m_endpoints)
        all[endpoint.m_group.str()][id.str()] = endpoint.m_address;
    return all;
}

base::result<primary_endpoint> find_primary(const endpoint_addresses& members)
{
    primary_endpoint best;
    std::uint64_t best_term = 0;
    for (const auto& [name, address] : members)
    {
        const auto stub =
            v1::EndpointStandinControl::NewStub(control_channel(address));
        grpc::ClientContext context;
        set_bound(context);
        v1::DumpResponse dump;
        if (!stub->Dump(&context, {}, &dump).ok() ||
            dump.status().role() != v1::ENDPOINT_ROLE_PRIMARY ||
            dump.status().accepted_term() <= best_term)
            continue;
        best_term = dump.status().accepted_term();
        best = {name, address, {}};
        for (const v1::Row& row : dump.rows())
            best.m_rows[row.key()] = row.value();
    }
    if (best_term == 0)
        return base::fail(base::error_code::not_found,
                          "no endpoint of the group is primary");
    return best;
}

base::result<organisation_keys>
prepare(const std::string& proxy, const std::string& inventory_text,
        const std::vector<std::string>& organisations, absl::Duration patience)
{
    preparation steps(proxy, patience);
    organisation_keys keys;
    if (auto applied = steps.apply(inventory_text); !applied)
        return tl::make_unexpected(applied.error());
    for (const std::string& organisation : organisations)
    {
        auto key = steps.issue(organisation);
        if (!key)
            return tl::make_unexpected(key.error());
        keys[organisation] = *std::move(key);
    }
    if (auto accepted = steps.wait_until_accepted(); !accepted)
        return tl::make_unexpected(accepted.error());
    return keys;
}

base::result<void> set_endpoint_faults(const std::string& address,
                                       const std::string& json)
{
    const auto stub =
        v1::EndpointStandinControl::NewStub(control_channel(address));
    return set_faults(*stub, v1::EndpointFaults(), address, json);
}

base::result<void> set_platform_faults(const std::string& address,
                                       const std::string& json)
{
    const auto stub =
        v1::PlatformStandinControl::NewStub(control_channel(address));
    return set_faults(*stub, v1::PlatformFaults(), address, json);
}

std::string to_text(const organisation_keys& keys)
{
    std::string text;
    for (const auto& [organisation, key] : keys)
        absl::StrAppend(&text, organisation, " ", key, "\n");
    return text;
}

organisation_keys parse_keys(const std::string& text)
{
    organisation_keys keys;
    std::istringstream lines(text);
    std::string organisation;
    std::string key;
    while (lines >> organisation >> key)
        keys[organisation] = key;
    return keys;
}

} // namespace magnoliastack::load
