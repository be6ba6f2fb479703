#include "magnoliastack/query/query.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "grpcpp/security/server_credentials.h"
#include "grpcpp/server.h"
#include "grpcpp/server_builder.h"
#include "magnoliastack/v1/proxy.grpc.pb.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

#include <criterion/criterion.h>

namespace v1 = magnoliastack::v1;

namespace
{

v1::AnswerEnd make_end(std::uint64_t rows)
{
    v1::AnswerEnd end;
    end.set_row_count(rows);
    end.set_session_token("token-2");
    end.set_endpoint("cutting-1");
    end.set_staleness_ms(20);
    end.set_from_replica(true);
    return end;
}

v1::Refusal make_refusal(v1::Execution execution)
{
    v1::Refusal refusal;
    refusal.set_reason(v1::REFUSAL_REASON_QUEUE_FULL);
    refusal.set_execution(execution);
    refusal.set_retry_after_ms(120);
    return refusal;
}

// A proxy that answers as it is told.
class proxy_stub final : public v1::Proxy::Service
{
public:
    grpc::Status
    Execute(grpc::ServerContext* context, const v1::ExecuteRequest* request,
            grpc::ServerWriter<v1::ExecuteResponse>* writer) override
    {
        m_execute = *request;
        const auto& metadata = context->client_metadata();
        const auto key = metadata.find("magnolia-key");
        m_key = key == metadata.end()
                    ? ""
                    : std::string(key->second.data(), key->second.size());
        for (const auto& part : m_parts)
            writer->Write(part);
        return m_status;
    }
    grpc::Status
    Transact(grpc::ServerContext* /*context*/,
             grpc::ServerReaderWriter<v1::TransactResponse,
                                      v1::TransactRequest>* stream) override
    {
        v1::TransactRequest step;
        while (stream->Read(&step))
        {
            m_steps.push_back(step);
            if (m_steps.size() == m_break_at)
                return {grpc::StatusCode::UNAVAILABLE, "gone"};
            v1::TransactResponse answer;
            const bool has_row = step.statement().has_get();
            if (has_row)
                answer.add_rows()->set_key(step.statement().get().key());
            *answer.mutable_end() = make_end(has_row ? 1 : 0);
            stream->Write(answer);
        }
        return grpc::Status::OK;
    }

    std::vector<v1::ExecuteResponse> m_parts;
    grpc::Status m_status;
    v1::ExecuteRequest m_execute;
    std::string m_key;
    std::vector<v1::TransactRequest> m_steps;
    std::size_t m_break_at = 0;
};

class fixture
{
public:
    fixture()
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0",
                                 grpc::InsecureServerCredentials(), &m_port);
        builder.RegisterService(&m_stub);
        m_server = builder.BuildAndStart();
        cr_assert(m_server != nullptr);
        m_token_file = absl::StrCat("query_test.", getpid(), ".token");
    }
    ~fixture()
    {
        std::remove(m_token_file.c_str());
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    int run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), {"magnolia-query", "--address",
                                             absl::StrCat("127.0.0.1:", m_port),
                                             "--route", "stock"});
        std::vector<const char*> raw;
        for (const auto& item : arguments)
            raw.push_back(item.c_str());
        std::ostringstream out;
        std::ostringstream err;
        const int code = magnoliastack::query::run(
            static_cast<int>(raw.size()), raw.data(), "test", out, err);
        m_out = out.str();
        m_err = err.str();
        return code;
    }

    void answer(const std::vector<std::pair<std::string, std::string>>& rows,
                std::uint64_t count)
    {
        m_stub.m_parts.assign(2, v1::ExecuteResponse());
        for (const auto& [key, value] : rows)
        {
            auto* row = m_stub.m_parts[0].add_rows();
            row->set_key(key);
            row->set_value(value);
        }
        *m_stub.m_parts[1].mutable_end() = make_end(count);
    }

    void refuse(v1::Execution execution)
    {
        m_stub.m_parts.assign(1, v1::ExecuteResponse());
        *m_stub.m_parts[0].mutable_refusal() = make_refusal(execution);
    }

    proxy_stub m_stub;
    int m_port = 0;
    std::unique_ptr<grpc::Server> m_server;
    std::string m_token_file;
    std::string m_out;
    std::string m_err;
};

std::string content_of(const std::string& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in),
            std::istreambuf_iterator<char>()};
}

} // namespace

// Guards against a session that forgets its position or a key on the command
// line.
Test(query, a_read_prints_rows_and_updates_the_token)
{
    fixture f;
    std::ofstream(f.m_token_file) << "token-1";
    setenv("MAGNOLIA_KEY", "mk_k1_abc", 1);
    f.answer({{"board/1", "oak\tdark"}, {"board/2", "7"}}, 2);
    cr_assert_eq(f.run({"scan", "board/", "--token-file", f.m_token_file}), 0,
                 "%s", f.m_err.c_str());
    cr_assert_str_eq(f.m_out.c_str(),
                     "board/1\toak\\tdark\nboard/2\t7\n"
                     "done rows=2 endpoint=cutting-1 replica=yes "
                     "staleness=20ms repeated=no\n");
    cr_assert(f.m_stub.m_execute.session_token() == "token-1");
    cr_assert(f.m_stub.m_key == "mk_k1_abc");
    cr_assert(content_of(f.m_token_file) == "token-2");
}

// Guards against an answer without its end, or with rows missing, that is taken
// for the whole answer.
Test(query, an_answer_that_is_not_whole_is_not_printed)
{
    fixture f;
    f.answer({{"a", "1"}}, 2);
    cr_assert_eq(f.run({"get", "a", "--token-file", f.m_token_file}), 3);
    cr_assert(absl::StrContains(f.m_out, "fault=\"the answer has 1 of 2 rows"));
    cr_assert(!absl::StrContains(f.m_out, "a\t1"));
    cr_assert(content_of(f.m_token_file).empty());
    f.m_stub.m_parts.resize(1);
    cr_assert_eq(f.run({"get", "a"}), 3);
    cr_assert_eq(f.run({"put", "a", "1"}), 5);
    cr_assert(absl::StrContains(f.m_out, "unknown fault="));
}

// Guards against a repeat under another id, which could run a write twice.
Test(query, a_repeat_sends_the_id_that_was_printed)
{
    fixture f;
    f.refuse(v1::EXECUTION_UNKNOWN);
    cr_assert_eq(f.run({"add", "a b", "-5"}), 5);
    const auto first = f.m_stub.m_execute;
    cr_assert(first.statements(0).add().key() == "a b");
    cr_assert_eq(first.statements(0).add().amount(), -5);
    const auto at = f.m_out.find("request_id=");
    cr_assert_neq(at, std::string::npos);
    const auto id = f.m_out.substr(at + 11, f.m_out.size() - at - 12);
    f.refuse(v1::EXECUTION_NOT_RUN);
    cr_assert_eq(f.run({"add", "a b", "-5", "--request-id", id}), 4);
    cr_assert(absl::StrContains(f.m_out, "not_run reason=queue_full "
                                         "retry_after=120ms"));
    cr_assert(f.m_stub.m_execute.request_id().SerializeAsString() ==
              first.request_id().SerializeAsString());
    cr_assert_eq(f.run({"add", "a", "1", "--request-id", "12"}), 2);
}

// Guards against `unknown` for a transaction that broke before its commit and
// `not_run` for one that broke after it.
Test(query, a_broken_transaction_is_unknown_only_after_the_commit)
{
    fixture f;
    const std::vector<std::string> command = {"transaction", "get a",
                                              "put b x y"};
    cr_assert_eq(f.run(command), 0);
    cr_assert(absl::StrContains(f.m_out, "done rows=1"));
    cr_assert_eq(f.m_stub.m_steps.size(), 4U);
    cr_assert(f.m_stub.m_steps[2].statement().put().value() == "x y");
    for (std::size_t step = 1; step <= 4; ++step)
    {
        f.m_stub.m_steps.clear();
        f.m_stub.m_break_at = step;
        cr_assert_eq(f.run(command), step < 4 ? 3 : 5, "%zu: %s", step,
                     f.m_out.c_str());
    }
}

// Guards against scripts that cannot tell outcomes apart in JSON.
Test(query, json_has_the_outcome_and_the_reason)
{
    fixture f;
    f.refuse(v1::EXECUTION_NOT_RUN);
    cr_assert_eq(f.run({"--json", "get", "a"}), 4);
    cr_assert(absl::StrContains(f.m_out, "\"outcome\":\"not_run\""));
    cr_assert(absl::StrContains(f.m_out, "\"reason\":\"queue_full\""));
    f.m_server->Shutdown();
    cr_assert_eq(f.run({"get", "a", "--deadline", "200ms"}), 3);
}

// Guards against malformed statements that reach the proxy.
Test(query, malformed_statements_are_refused)
{
    fixture f;
    for (const auto* text : {"get", "get a b", "put a", "add a x", "add a",
                             "scan", "scan a x", "drop a", "delete", "get "})
        cr_assert_eq(f.run({"transaction", text}), 2, "%s", text);
    cr_assert(f.m_stub.m_steps.empty());
}
