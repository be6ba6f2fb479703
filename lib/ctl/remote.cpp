#include "remote.hpp"

#include "offline.hpp"

#include "magnoliastack/cli/json.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <map>
#include <unistd.h>
#include <utility>

namespace magnoliastack::ctl
{
namespace
{

using cli::exit_code;

// Time between two questions for the state of a stored change. Hosts take a
// change within about a second.
constexpr absl::Duration poll_interval = absl::Milliseconds(200);

// A new file that only its owner can read. It is made before the key is issued,
// so that no key is lost because its file cannot be written, and removed again
// when no key was written. An existing file is refused, as it may have a key.
class key_file
{
public:
    explicit key_file(std::string path) : m_path(std::move(path))
    {
        if (m_path.empty())
            return;
        m_file = ::open(m_path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC,
                        S_IRUSR | S_IWUSR);
        if (m_file < 0)
            m_fault = m_path + " cannot be made: " + std::strerror(errno);
    }
    ~key_file()
    {
        if (m_file < 0)
            return;
        ::close(m_file);
        if (!m_written)
            ::unlink(m_path.c_str());
    }
    key_file(const key_file&) = delete;
    key_file& operator=(const key_file&) = delete;

    // Why the file could not be made; empty when it was.
    [[nodiscard]] const std::string& fault() const
    {
        return m_fault;
    }

    bool write(const std::string& key)
    {
        const std::string line = key + "\n";
        m_written = ::write(m_file, line.data(), line.size()) ==
                        static_cast<ssize_t>(line.size()) &&
                    ::fsync(m_file) == 0;
        return m_written;
    }

private:
    std::string m_path;
    int m_file = -1;
    bool m_written = false;
    std::string m_fault;
};

exit_code exit_code_of(v1::ChangeState state)
{
    switch (state)
    {
    case v1::CHANGE_STATE_ACCEPTED:
        return exit_code::success;
    case v1::CHANGE_STATE_STORED_PENDING:
        return exit_code::pending;
    case v1::CHANGE_STATE_CONFLICT:
        return exit_code::conflict;
    case v1::CHANGE_STATE_INVALID:
        return exit_code::invalid;
    default:
        return exit_code::unknown;
    }
}

bool was_stored(const v1::ChangeResponse& change)
{
    return change.state() == v1::CHANGE_STATE_ACCEPTED ||
           change.state() == v1::CHANGE_STATE_STORED_PENDING;
}

std::string yes_no(bool value)
{
    return value ? "yes" : "no";
}

} // namespace

remote::remote(remote_options options, std::ostream& out, std::ostream& err)
    : m_options(std::move(options)), m_out(out), m_err(err)
{
}

std::optional<exit_code> remote::open()
{
    if (!m_options.m_secret_file.empty())
    {
        auto secret = cli::read_secret(m_options.m_secret_file);
        if (!secret)
        {
            m_err << secret.error().m_message << '\n';
            return exit_code::invalid;
        }
        m_secret = *std::move(secret);
    }
    else if (const char* secret = std::getenv("MAGNOLIA_OPERATOR_SECRET"))
    {
        m_secret = secret;
    }
    auto channel = cli::connect(m_options.m_connection, m_options.m_timeout);
    if (!channel)
    {
        m_err << channel.error().m_message << '\n';
        return cli::exit_code_of(channel.error());
    }
    m_stub = v1::Control::NewStub(*channel);
    return std::nullopt;
}

template <typename Request, typename Response>
grpc::Status remote::call(method<Request, Response> function,
                          const Request& request, Response& response)
{
    grpc::ClientContext context;
    if (!m_secret.empty())
        context.AddMetadata("magnolia-operator", m_secret);
    context.set_deadline(std::chrono::system_clock::now() +
                         absl::ToChronoMicroseconds(m_options.m_timeout));
    return (m_stub.get()->*function)(&context, request, &response);
}

// For calls that change nothing, or whose failure shows that they did not run.
exit_code remote::report_failure(const grpc::Status& status)
{
    m_err << m_options.m_connection.m_address << ": " << status.error_message()
          << '\n';
    switch (status.error_code())
    {
    case grpc::StatusCode::UNAVAILABLE:
    case grpc::StatusCode::DEADLINE_EXCEEDED:
        return exit_code::unreachable;
    case grpc::StatusCode::INVALID_ARGUMENT:
        return exit_code::invalid;
    default:
        return exit_code::refused;
    }
}

exit_code remote::report_lost_change(const grpc::Status& status,
                                     const change_options& how)
{
    switch (status.error_code())
    {
    case grpc::StatusCode::UNAUTHENTICATED:
    case grpc::StatusCode::PERMISSION_DENIED:
    case grpc::StatusCode::INVALID_ARGUMENT:
    case grpc::StatusCode::NOT_FOUND:
    case grpc::StatusCode::UNIMPLEMENTED:
    case grpc::StatusCode::FAILED_PRECONDITION:
        return report_failure(status);
    default:
        break;
    }
    report_failure(status);
    m_err << "the change may have been stored; repeat the command with "
             "--change-id "
          << how.m_change_id << " to learn it\n";
    return exit_code::unknown;
}

// Asks for the state of a stored change until it is accepted or time is up.
void remote::await_acceptance(v1::ChangeResponse& change, absl::Duration wait)
{
    const auto end = absl::Now() + wait;
    while (change.state() == v1::CHANGE_STATE_STORED_PENDING &&
           absl::Now() < end)
    {
        absl::SleepFor(std::min(poll_interval, end - absl::Now()));
        v1::ChangeStatusRequest request;
        request.set_version(change.version());
        v1::ChangeResponse answer;
        // A host that does not answer now may do so later; the change stays
        // stored.
        if (call(&v1::Control::Stub::ChangeStatus, request, answer).ok() &&
            was_stored(answer))
            change = answer;
    }
}

void remote::print_change(const v1::ChangeResponse& change,
                          const change_options& how)
{
    switch (change.state())
    {
    case v1::CHANGE_STATE_ACCEPTED:
        m_out << "accepted as version " << change.version() << '\n';
        break;
    case v1::CHANGE_STATE_STORED_PENDING:
        m_out << "stored as version " << change.version() << ", pending on "
              << absl::StrJoin(change.pending_hosts(), ", ") << '\n';
        break;
    case v1::CHANGE_STATE_CONFLICT:
        m_err << "conflict: the change of " << change.winner()
              << " won as version " << change.version()
              << "; nothing was stored, check with `show` and apply again\n";
        break;
    case v1::CHANGE_STATE_INVALID:
        for (const auto& fault : change.errors())
            m_err << fault << '\n';
        break;
    default:
        m_err << "the store could not be reached and the change may have been "
                 "stored; repeat the command with --change-id "
              << how.m_change_id << " to learn it\n";
        break;
    }
}

exit_code remote::finish_change(v1::ChangeResponse change,
                                const change_options& how)
{
    await_acceptance(change, how.m_wait);
    if (m_options.m_json)
        m_out << cli::to_json(change) << '\n';
    else
        print_change(change, how);
    return exit_code_of(change.state());
}

exit_code remote::apply(const std::string& path,
                        std::optional<std::uint64_t> based_on,
                        const change_options& how)
{
    const auto file = load_inventory(path, m_err);
    if (!file)
        return exit_code::invalid;
    if (const auto failed = open())
        return *failed;
    if (!based_on)
    {
        v1::ShowResponse present;
        const auto status =
            call(&v1::Control::Stub::Show, v1::ShowRequest(), present);
        if (!status.ok())
            return report_failure(status);
        based_on = present.version();
    }
    v1::ApplyRequest request;
    request.set_inventory(file->m_text);
    request.set_based_on_version(*based_on);
    request.set_change_id(how.m_change_id);
    request.set_author(how.m_author);
    v1::ChangeResponse change;
    const auto status = call(&v1::Control::Stub::Apply, request, change);
    if (!status.ok())
        return report_lost_change(status, how);
    return finish_change(std::move(change), how);
}

exit_code remote::issue_key(const std::string& organisation,
                            const std::string& output,
                            const change_options& how)
{
    key_file file(output);
    if (!file.fault().empty())
    {
        m_err << file.fault() << "; no key was issued\n";
        return exit_code::invalid;
    }
    if (const auto failed = open())
        return *failed;
    v1::IssueKeyRequest request;
    request.set_organisation(organisation);
    request.set_change_id(how.m_change_id);
    request.set_author(how.m_author);
    v1::IssueKeyResponse answer;
    const auto status = call(&v1::Control::Stub::IssueKey, request, answer);
    if (!status.ok())
        return report_lost_change(status, how);
    if (was_stored(answer.change()) && !output.empty())
    {
        if (!file.write(answer.key()))
        {
            m_err << output
                  << " cannot be written; the key is lost, withdraw it (`show` "
                     "lists its id) and issue another\n";
            return exit_code::unknown;
        }
        answer.clear_key();
    }
    await_acceptance(*answer.mutable_change(), how.m_wait);
    if (m_options.m_json)
    {
        m_out << cli::to_json(answer) << '\n';
        return exit_code_of(answer.change().state());
    }
    if (was_stored(answer.change()))
        m_out << (output.empty() ? "key " + answer.key()
                                 : "key written to " + output)
              << '\n';
    print_change(answer.change(), how);
    return exit_code_of(answer.change().state());
}

exit_code remote::withdraw_key(const std::string& key_id,
                               const change_options& how)
{
    if (const auto failed = open())
        return *failed;
    v1::WithdrawKeyRequest request;
    request.set_key_id(key_id);
    request.set_change_id(how.m_change_id);
    request.set_author(how.m_author);
    v1::ChangeResponse change;
    const auto status = call(&v1::Control::Stub::WithdrawKey, request, change);
    if (!status.ok())
        return report_lost_change(status, how);
    return finish_change(std::move(change), how);
}

exit_code remote::show()
{
    if (const auto failed = open())
        return *failed;
    v1::ShowResponse answer;
    const auto status =
        call(&v1::Control::Stub::Show, v1::ShowRequest(), answer);
    if (!status.ok())
        return report_failure(status);
    if (m_options.m_json)
    {
        m_out << cli::to_json(answer) << '\n';
        return exit_code::success;
    }
    // The output is an inventory file again: all that is added is a comment.
    m_out << "# version " << answer.version() << ", hash " << answer.hash()
          << '\n';
    for (const auto& key : answer.keys())
        m_out << "# key " << key.key_id() << " of " << key.organisation()
              << '\n';
    m_out << answer.inventory();
    return exit_code::success;
}

exit_code remote::status()
{
    if (const auto failed = open())
        return *failed;
    v1::StatusResponse answer;
    const auto status =
        call(&v1::Control::Stub::Status, v1::StatusRequest(), answer);
    if (!status.ok())
        return report_failure(status);
    if (m_options.m_json)
    {
        m_out << cli::to_json(answer) << '\n';
        return exit_code::success;
    }
    m_out << "host " << answer.host() << " in " << answer.failure_domain()
          << ": " << answer.state() << ", configuration "
          << answer.configuration_version() << " confirmed "
          << absl::FormatDuration(absl::Milliseconds(answer.confirmed_age_ms()))
          << " ago, store reachable " << yes_no(answer.store_reachable())
          << "\n\n"
          << absl::StrFormat("%-20s %-16s %-10s %s\n", "MEMBER",
                             "FAILURE DOMAIN", "STATE", "CONFIGURATION");
    for (const auto& member : answer.members())
        m_out << absl::StrFormat("%-20s %-16s %-10s %d\n", member.host(),
                                 member.failure_domain(), member.state(),
                                 member.configuration_version());
    m_out << '\n'
          << absl::StrFormat("%-20s %8s %-20s %12s\n", "GROUP", "TERM",
                             "PRIMARY", "COMMITTED");
    for (const auto& group : answer.groups())
    {
        m_out << absl::StrFormat(
            "%-20s %8d %-20s %12d\n", group.group(), group.term(),
            group.primary().empty() ? "none" : group.primary(),
            group.committed());
        for (const auto& endpoint : group.endpoints())
            m_out << absl::StrFormat(
                "  %-18s reachable %-3s applied %-10d connections %-4d "
                "leaving %s\n",
                endpoint.endpoint(), yes_no(endpoint.reachable()),
                endpoint.applied(), endpoint.connections(),
                yes_no(endpoint.leaving()));
    }
    return exit_code::success;
}

exit_code remote::stats()
{
    if (const auto failed = open())
        return *failed;
    v1::StatsResponse answer;
    const auto status =
        call(&v1::Control::Stub::Stats, v1::StatsRequest(), answer);
    if (!status.ok())
        return report_failure(status);
    if (m_options.m_json)
    {
        m_out << cli::to_json(answer) << '\n';
        return exit_code::success;
    }
    // The map of the message has no order.
    const std::map<std::string, std::uint64_t> counters(
        answer.counters().begin(), answer.counters().end());
    for (const auto& [name, value] : counters)
        m_out << absl::StrFormat("%-44s %d\n", name, value);
    m_out << absl::StrFormat("\n%-28s %10s %10s %10s %10s %10s\n",
                             "LATENCY (us)", "COUNT", "P50", "P90", "P99",
                             "MAX");
    for (const auto& item : answer.latencies())
        m_out << absl::StrFormat("%-28s %10d %10.0f %10.0f %10.0f %10.0f\n",
                                 item.name(), item.count(), item.p50_us(),
                                 item.p90_us(), item.p99_us(), item.max_us());
    return exit_code::success;
}

exit_code remote::drain()
{
    if (const auto failed = open())
        return *failed;
    v1::DrainResponse answer;
    const auto status =
        call(&v1::Control::Stub::Drain, v1::DrainRequest(), answer);
    if (!status.ok())
        return report_failure(status);
    if (m_options.m_json)
        m_out << cli::to_json(answer) << '\n';
    else
        m_out << m_options.m_connection.m_address << ": " << answer.state()
              << '\n';
    return exit_code::success;
}

} // namespace magnoliastack::ctl
