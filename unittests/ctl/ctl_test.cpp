#include "magnoliastack/ctl/ctl.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "grpcpp/security/server_credentials.h"
#include "grpcpp/server.h"
#include "grpcpp/server_builder.h"
#include "magnoliastack/v1/control.grpc.pb.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <sstream>
#include <string>
#include <sys/stat.h>
#include <unistd.h>
#include <vector>

#include <criterion/criterion.h>

namespace v1 = magnoliastack::v1;

namespace
{

constexpr const char* good_inventory =
    "[fleet]\nslots = 8\n[organisation oyster]\nrate = 200/s\nburst = 400\n";

// A host that answers as it is told and keeps what it was asked.
class control_stub final : public v1::Control::Service
{
public:
    grpc::Status Apply(grpc::ServerContext* context,
                       const v1::ApplyRequest* request,
                       v1::ChangeResponse* response) override
    {
        const auto& metadata = context->client_metadata();
        const auto secret = metadata.find("magnolia-operator");
        if (secret == metadata.end() || secret->second != "s3cret")
            return {grpc::StatusCode::UNAUTHENTICATED,
                    "the operators' secret is missing or wrong"};
        m_apply = *request;
        *response = m_change;
        return m_apply_status;
    }
    grpc::Status ChangeStatus(grpc::ServerContext* /*context*/,
                              const v1::ChangeStatusRequest* request,
                              v1::ChangeResponse* response) override
    {
        *response = m_change;
        response->set_version(request->version());
        if (++m_asked >= 2)
            response->set_state(v1::CHANGE_STATE_ACCEPTED);
        return grpc::Status::OK;
    }
    grpc::Status Show(grpc::ServerContext* /*context*/,
                      const v1::ShowRequest* /*request*/,
                      v1::ShowResponse* response) override
    {
        response->set_version(6);
        response->set_hash("abc");
        response->set_inventory(good_inventory);
        auto* key = response->add_keys();
        key->set_key_id("k1");
        key->set_organisation("oyster");
        return grpc::Status::OK;
    }
    grpc::Status IssueKey(grpc::ServerContext* /*context*/,
                          const v1::IssueKeyRequest* request,
                          v1::IssueKeyResponse* response) override
    {
        if (request->organisation() != "oyster")
            return {grpc::StatusCode::NOT_FOUND, "organisation is unknown"};
        *response->mutable_change() = m_change;
        response->set_key("mk_k2_xyz");
        return grpc::Status::OK;
    }
    grpc::Status Stats(grpc::ServerContext* /*context*/,
                       const v1::StatsRequest* /*request*/,
                       v1::StatsResponse* response) override
    {
        (*response->mutable_counters())["refused.queue_full"] = 3;
        (*response->mutable_counters())["admitted"] = 7;
        auto* item = response->add_latencies();
        item->set_name("read");
        item->set_p99_us(1234.4);
        return grpc::Status::OK;
    }

    v1::ChangeResponse m_change;
    grpc::Status m_apply_status;
    v1::ApplyRequest m_apply;
    std::atomic<int> m_asked = 0;
};

// A stub that listens, a scratch file with an inventory, and one run of the
// command.
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
        m_stub.m_change.set_state(v1::CHANGE_STATE_ACCEPTED);
        m_stub.m_change.set_version(7);
        m_file = absl::StrCat("ctl_test.", getpid());
        write(good_inventory);
        setenv("MAGNOLIA_OPERATOR_SECRET", "s3cret", 1);
    }
    ~fixture()
    {
        std::remove(m_file.c_str());
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    void write(const std::string& text) const
    {
        std::ofstream(m_file) << text;
    }

    int run(std::vector<std::string> arguments)
    {
        arguments.insert(
            arguments.begin(),
            {"magnolia-ctl", "--address", absl::StrCat("127.0.0.1:", m_port)});
        std::vector<const char*> raw;
        for (const auto& item : arguments)
            raw.push_back(item.c_str());
        std::ostringstream out;
        std::ostringstream err;
        const int code = magnoliastack::ctl::run(static_cast<int>(raw.size()),
                                                 raw.data(), "test", out, err);
        m_out = out.str();
        m_err = err.str();
        return code;
    }

    control_stub m_stub;
    int m_port = 0;
    std::unique_ptr<grpc::Server> m_server;
    std::string m_file;
    std::string m_out;
    std::string m_err;
};

} // namespace

// Guards against an inventory that reaches the fleet with errors in it.
Test(ctl, a_wrong_inventory_is_not_sent)
{
    fixture f;
    f.write("[fleet]\nslots = 0\n[caller x]\norganisation = y\n");
    cr_assert_eq(f.run({"apply", f.m_file}), 2);
    cr_assert_eq(std::count(f.m_err.begin(), f.m_err.end(), '\n'), 2);
    cr_assert(f.m_stub.m_apply.inventory().empty());
    cr_assert_eq(f.run({"check", f.m_file}), 2);
    cr_assert_eq(f.run({"check", f.m_file, "--json"}), 2);
    cr_assert(absl::StrContains(f.m_out, "\"valid\":false"));
}

// Guards against a change that is not based on the version it was made from.
Test(ctl, apply_sends_the_base_version_and_the_change_id)
{
    fixture f;
    cr_assert_eq(f.run({"apply", f.m_file, "--author", "amal"}), 0, "%s",
                 f.m_err.c_str());
    cr_assert_eq(f.m_stub.m_apply.based_on_version(), 6U);
    cr_assert_eq(f.m_stub.m_apply.change_id().size(), 32U);
    cr_assert(f.m_stub.m_apply.author() == "amal");
    cr_assert(f.m_stub.m_apply.inventory() == good_inventory);
    cr_assert(absl::StrContains(f.m_out, "accepted as version 7"));
    cr_assert_eq(
        f.run({"apply", f.m_file, "--based-on", "4", "--change-id", "c9"}), 0);
    cr_assert_eq(f.m_stub.m_apply.based_on_version(), 4U);
    cr_assert(f.m_stub.m_apply.change_id() == "c9");
}

// Guards against `apply --wait` that ends before the change is in force.
Test(ctl, apply_waits_until_the_change_is_accepted)
{
    fixture f;
    f.m_stub.m_change.set_state(v1::CHANGE_STATE_STORED_PENDING);
    f.m_stub.m_change.add_pending_hosts("h3");
    cr_assert_eq(f.run({"apply", f.m_file}), 7);
    cr_assert(absl::StrContains(f.m_out, "pending on h3"));
    cr_assert_eq(f.run({"apply", f.m_file, "--wait", "20s"}), 0);
    cr_assert_geq(f.m_stub.m_asked.load(), 2);
}

// Guards against exit codes that do not tell a lost answer, a refusal and a
// conflict apart.
Test(ctl, each_outcome_of_a_change_has_its_exit_code)
{
    fixture f;
    f.m_stub.m_change.set_state(v1::CHANGE_STATE_CONFLICT);
    f.m_stub.m_change.set_winner("salma");
    cr_assert_eq(f.run({"apply", f.m_file}), 6);
    cr_assert(absl::StrContains(f.m_err, "salma"));
    f.m_stub.m_change.set_state(v1::CHANGE_STATE_UNKNOWN);
    cr_assert_eq(f.run({"apply", f.m_file, "--change-id", "c1"}), 5);
    cr_assert(absl::StrContains(f.m_err, "--change-id c1"));
    f.m_stub.m_apply_status = {grpc::StatusCode::UNAVAILABLE, "gone"};
    cr_assert_eq(f.run({"apply", f.m_file, "--change-id", "c2"}), 5);
    cr_assert(absl::StrContains(f.m_err, "--change-id c2"));
    setenv("MAGNOLIA_OPERATOR_SECRET", "wrong", 1);
    cr_assert_eq(f.run({"apply", f.m_file}), 4);
    f.m_server->Shutdown();
    cr_assert_eq(f.run({"apply", f.m_file, "--timeout", "200ms"}), 3);
}

// Guards against a key file that others can read or that replaces another key.
Test(ctl, an_issued_key_goes_to_a_new_private_file)
{
    fixture f;
    const std::string path = f.m_file + ".key";
    cr_assert_eq(f.run({"key", "issue", "oyster", "--output", path}), 0);
    cr_assert(!absl::StrContains(f.m_out, "mk_k2_xyz"));
    struct stat info
    {
    };
    cr_assert_eq(stat(path.c_str(), &info), 0);
    cr_assert_eq(info.st_mode & 0777U, 0600U);
    std::ifstream in(path);
    const std::string key((std::istreambuf_iterator<char>(in)),
                          std::istreambuf_iterator<char>());
    cr_assert(key == "mk_k2_xyz\n");
    cr_assert_eq(f.run({"key", "issue", "oyster", "--output", path}), 2);
    std::remove(path.c_str());
    cr_assert_eq(f.run({"key", "issue", "oyster"}), 0);
    cr_assert(absl::StrContains(f.m_out, "key mk_k2_xyz\n"));
    cr_assert_eq(f.run({"key", "issue", "pearl"}), 4);
}

// Guards against output of `show` that cannot be edited and applied again.
Test(ctl, the_output_of_show_is_an_inventory)
{
    fixture f;
    cr_assert_eq(f.run({"show"}), 0);
    cr_assert(absl::StrContains(f.m_out, "# version 6"));
    f.write(f.m_out);
    cr_assert_eq(f.run({"check", f.m_file}), 0, "%s", f.m_err.c_str());
    const std::string other = f.m_file + ".new";
    std::ofstream(other) << good_inventory << "[caller a]\n"
                         << "organisation = oyster\n";
    cr_assert_eq(f.run({"diff", f.m_file, f.m_file}), 0);
    cr_assert_eq(f.run({"diff", f.m_file, other}), 1);
    cr_assert(f.m_out == "+ [caller a]\n");
    std::remove(other.c_str());
}

// Guards against counters in random order and JSON without default fields.
Test(ctl, stats_are_sorted_and_json_is_complete)
{
    fixture f;
    cr_assert_eq(f.run({"stats"}), 0);
    cr_assert_lt(f.m_out.find("admitted"), f.m_out.find("refused.queue_full"));
    cr_assert_eq(f.run({"--json", "stats"}), 0);
    cr_assert(absl::StrContains(f.m_out, "\"max_us\":0"), "%s",
              f.m_out.c_str());
}
