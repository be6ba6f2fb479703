#include "magnoliastack/standin_server/endpoint_server.hpp"
#include "magnoliastack/standin_server/platform_server.hpp"
#include "magnoliastack/v1/endpoint.grpc.pb.h"
#include "magnoliastack/v1/platform.grpc.pb.h"

#include "absl/strings/str_cat.h"
#include "grpcpp/grpcpp.h"

#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

namespace base = magnoliastack::base;
namespace server = magnoliastack::standin_server;
namespace v1 = magnoliastack::v1;

namespace
{

// Generous bound for conditions that loopback calls reach in milliseconds.
constexpr auto bound = std::chrono::seconds(20);

bool eventually(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

void set_context(grpc::ClientContext& context, const std::string& host,
                 std::chrono::milliseconds timeout = bound)
{
    context.AddMetadata("magnolia-host", host);
    context.set_deadline(std::chrono::system_clock::now() + timeout);
}

std::shared_ptr<grpc::Channel> channel_to(const std::string& address)
{
    return grpc::CreateChannel(address, grpc::InsecureChannelCredentials());
}

// An endpoint in this process and stubs for it.
struct endpoint
{
    explicit endpoint(const std::string& name, bool primary,
                      const std::string& peer = {},
                      const std::string& peer_address = {},
                      const std::string& state_file = {})
    {
        server::endpoint_server_options options;
        options.m_address = "127.0.0.1:0";
        options.m_model.m_endpoint = base::endpoint_id(name);
        options.m_model.m_group = base::group_id("ledger");
        options.m_model.m_initial_primary = primary;
        options.m_state_file = state_file;
        if (!peer.empty())
        {
            const base::endpoint_id other(peer);
            options.m_model.m_members = {other};
            options.m_addresses[other] = peer_address;
        }
        auto started = server::endpoint_server::start(std::move(options));
        cr_assert(started.has_value());
        m_server = *std::move(started);
        m_stub = v1::Endpoint::NewStub(channel_to(m_server->address()));
        m_control = v1::EndpointStandinControl::NewStub(
            channel_to(m_server->address()));
    }

    v1::DumpResponse dump() const
    {
        grpc::ClientContext context;
        set_context(context, "test");
        v1::DumpResponse response;
        cr_assert(m_control->Dump(&context, {}, &response).ok());
        return response;
    }

    void set_faults(const v1::EndpointFaults& faults) const
    {
        grpc::ClientContext context;
        set_context(context, "test");
        v1::StandinControlResponse response;
        cr_assert(m_control->SetFaults(&context, faults, &response).ok());
        cr_assert(response.error().empty());
    }

    grpc::Status seal(std::uint64_t term, std::chrono::milliseconds timeout,
                      v1::SealResponse& response) const
    {
        grpc::ClientContext context;
        set_context(context, "h1", timeout);
        v1::SealRequest request;
        request.set_term(term);
        request.set_promoter("h1");
        return m_stub->Seal(&context, request, &response);
    }

    std::unique_ptr<server::endpoint_server> m_server;
    std::unique_ptr<v1::Endpoint::Stub> m_stub;
    std::unique_ptr<v1::EndpointStandinControl::Stub> m_control;
};

// One database connection.
struct connection
{
    explicit connection(const endpoint& to, const std::string& host = "h1",
                        std::chrono::milliseconds timeout = bound)
    {
        set_context(m_context, host, timeout);
        m_stream = to.m_stub->Connect(&m_context);
    }

    // False when the stream ended first.
    bool wait_ready()
    {
        v1::CallResponse response;
        return m_stream->Read(&response) && response.ready();
    }

    void send_put(std::uint64_t call, const std::string& key)
    {
        v1::CallRequest request;
        request.set_call_id(call);
        v1::ExecuteCall& execute = *request.mutable_execute();
        execute.set_write(true);
        execute.set_expected_term(1);
        execute.mutable_request_id()->set_low(call);
        v1::PutStatement& put = *execute.add_statements()->mutable_put();
        put.set_key(key);
        put.set_value("v");
        cr_assert(m_stream->Write(request));
    }

    std::string get(std::uint64_t call, const std::string& key)
    {
        v1::CallRequest request;
        request.set_call_id(call);
        request.mutable_execute()->add_statements()->mutable_get()->set_key(
            key);
        cr_assert(m_stream->Write(request));
        const v1::CallResponse response = read();
        cr_assert_eq(response.call_id(), call);
        return response.rows().empty() ? "" : response.rows(0).value();
    }

    v1::CallResponse read()
    {
        v1::CallResponse response;
        cr_assert(m_stream->Read(&response));
        return response;
    }

    grpc::ClientContext m_context;
    std::unique_ptr<grpc::ClientReaderWriter<v1::CallRequest, v1::CallResponse>>
        m_stream;
};

} // namespace

// Guards against a write that the primary confirms and that never reaches a
// replica over the wire.
Test(endpoint_server, a_write_reaches_the_replica)
{
    const endpoint primary("e1", true);
    const endpoint replica("e2", false, "e1", primary.m_server->address());
    connection writer(primary);
    cr_assert(writer.wait_ready());
    writer.send_put(1, "board");
    const v1::CallResponse written = writer.read();
    cr_assert_eq(written.end().outcome(), v1::CALL_OUTCOME_DONE);
    cr_assert_eq(written.end().point().position(), 2u);
    cr_assert(eventually(
        [&]
        {
            return replica.dump().status().held().position() >= 2;
        }));
    connection reader(replica);
    cr_assert(reader.wait_ready());
    cr_assert(eventually(
        [&, call = std::uint64_t{0}]() mutable
        {
            return reader.get(++call, "board") == "v";
        }));
}

// Guards against a frozen endpoint that still grants a seal, or that forgets
// what arrived meanwhile.
Test(endpoint_server, a_frozen_endpoint_answers_nothing_and_continues)
{
    const endpoint primary("e1", true);
    connection writer(primary);
    cr_assert(writer.wait_ready());
    v1::EndpointFaults faults;
    faults.set_frozen(true);
    primary.set_faults(faults);
    writer.send_put(1, "board");
    v1::SealResponse sealed;
    cr_assert_eq(
        primary.seal(2, std::chrono::milliseconds(200), sealed).error_code(),
        grpc::StatusCode::DEADLINE_EXCEEDED);
    cr_assert_eq(primary.dump().status().held().position(), 1u);
    // The server learns of the deadline by its own timer, a little later than
    // the caller; a seal that is still waited for may be granted.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    faults.set_frozen(false);
    primary.set_faults(faults);
    cr_assert_eq(writer.read().end().outcome(), v1::CALL_OUTCOME_DONE);
    cr_assert_eq(primary.dump().status().sealed_term(), 1u,
                 "a seal whose caller gave up is not granted later");
    cr_assert(primary.seal(2, bound, sealed).ok());
    cr_assert(sealed.sealed());
}

// Guards against a cut that reaches other hosts, or that loses messages which
// a transport would send again.
Test(endpoint_server, a_cut_delays_messages_of_the_named_host_only)
{
    const endpoint primary("e1", true);
    connection cut(primary, "h1");
    connection other(primary, "h2");
    cr_assert(cut.wait_ready());
    cr_assert(other.wait_ready());
    v1::EndpointFaults faults;
    faults.add_cut("h1");
    faults.set_set_cut(true);
    primary.set_faults(faults);
    cut.send_put(1, "late");
    other.send_put(2, "board");
    cr_assert_eq(other.read().end().outcome(), v1::CALL_OUTCOME_DONE);
    cr_assert_eq(primary.dump().status().held().position(), 2u);
    faults.clear_cut();
    primary.set_faults(faults);
    cr_assert_eq(cut.read().end().outcome(), v1::CALL_OUTCOME_DONE);
    cr_assert_eq(primary.dump().status().held().position(), 3u);
}

// Guards against a dropped answer that loses the write itself, and against a
// repeat that runs it again.
Test(endpoint_server, a_lost_answer_leaves_the_write_in_the_log)
{
    const endpoint primary("e1", true);
    connection writer(primary);
    cr_assert(writer.wait_ready());
    v1::EndpointFaults faults;
    faults.set_drop_write_answers(1);
    primary.set_faults(faults);
    writer.send_put(1, "board");
    cr_assert(eventually(
        [&]
        {
            return primary.dump().status().held().position() == 2;
        }));
    connection second(primary);
    cr_assert(second.wait_ready());
    second.send_put(1, "board");
    const v1::CallResponse repeated = second.read();
    cr_assert(repeated.end().repeated());
    cr_assert_eq(primary.dump().status().held().position(), 2u);
}

// Guards against a status that monitors learn only by asking.
Test(endpoint_server, a_change_is_pushed_to_monitors)
{
    const endpoint primary("e1", true);
    grpc::ClientContext context;
    set_context(context, "h1");
    const auto monitor = primary.m_stub->Monitor(&context);
    v1::MonitorRequest round;
    round.set_round(7);
    cr_assert(monitor->Write(round));
    v1::MonitorResponse response;
    cr_assert(monitor->Read(&response));
    cr_assert_eq(response.round(), 7u);
    connection writer(primary);
    cr_assert(writer.wait_ready());
    writer.send_put(1, "board");
    while (response.status().held().position() < 2)
        cr_assert(monitor->Read(&response), "the push never came");
    cr_assert_eq(response.round(), 7u);
}

// Guards against a restarted endpoint that has lost writes or its seal.
Test(endpoint_server, a_restarted_endpoint_reads_its_state_file)
{
    const std::string file = (std::filesystem::temp_directory_path() /
                              absl::StrCat("standin_state_", getpid()))
                                 .string();
    v1::DumpResponse before;
    {
        const endpoint primary("e1", true, {}, {}, file);
        connection writer(primary);
        cr_assert(writer.wait_ready());
        for (std::uint64_t call = 1; call <= 3; ++call)
        {
            writer.send_put(call, absl::StrCat("k", call));
            cr_assert_eq(writer.read().end().outcome(), v1::CALL_OUTCOME_DONE);
        }
        v1::SealResponse sealed;
        cr_assert(primary.seal(2, bound, sealed).ok());
        before = primary.dump();
        writer.m_context.TryCancel();
    }
    {
        const endpoint again("e1", true, {}, {}, file);
        const v1::DumpResponse after = again.dump();
        cr_assert_eq(after.rows_size(), 3);
        cr_assert_eq(after.records_size(), 3);
        cr_assert_eq(after.status().sealed_term(), 2u);
        cr_assert_eq(after.status().sealed_by(), "h1");
        cr_assert_eq(after.status().held().position(),
                     before.status().held().position());
    }
    std::filesystem::remove(file);
    std::filesystem::remove(file + ".seal");
}

// Guards against a swap whose answer is lost without its effect, and against
// an outage that still changes rows.
Test(platform_server, a_lost_swap_answer_leaves_its_effect)
{
    server::platform_server_options options;
    options.m_address = "127.0.0.1:0";
    auto started = server::platform_server::start(options);
    cr_assert(started.has_value());
    const auto channel = channel_to((*started)->address());
    const auto stub = v1::Platform::NewStub(channel);
    const auto control = v1::PlatformStandinControl::NewStub(channel);
    const auto set_faults = [&](const v1::PlatformFaults& faults)
    {
        grpc::ClientContext context;
        v1::StandinControlResponse response;
        cr_assert(control->SetFaults(&context, faults, &response).ok());
    };
    const auto swap =
        [&](std::uint64_t expected, std::chrono::milliseconds timeout)
    {
        grpc::ClientContext context;
        set_context(context, "h1", timeout);
        v1::CompareAndSwapRequest request;
        request.set_key("configuration");
        request.set_expected_version(expected);
        v1::CompareAndSwapResponse response;
        return stub->CompareAndSwap(&context, request, &response).error_code();
    };
    v1::PlatformFaults faults;
    faults.set_drop_swap_answers(1);
    set_faults(faults);
    cr_assert_eq(swap(0, std::chrono::milliseconds(200)),
                 grpc::StatusCode::DEADLINE_EXCEEDED);
    faults.Clear();
    faults.set_outage(true);
    set_faults(faults);
    cr_assert_eq(swap(1, bound), grpc::StatusCode::UNAVAILABLE);
    faults.set_outage(false);
    set_faults(faults);
    grpc::ClientContext context;
    set_context(context, "h1");
    v1::ReadRowRequest request;
    request.set_key("configuration");
    v1::RowState row;
    cr_assert(stub->ReadRow(&context, request, &row).ok());
    cr_assert_eq(row.version(), 1u);
}
