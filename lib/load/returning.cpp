#include "magnoliastack/load/returning.hpp"

#include "magnoliastack/base/refusal.hpp"
#include "magnoliastack/load/call.hpp"
#include "magnoliastack/load/loop.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "google/protobuf/struct.pb.h"
#include "google/protobuf/util/json_util.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <sstream>

namespace magnoliastack::load
{

namespace
{

// How often the proxies' resident memory is read.
const absl::Duration memory_interval = absl::Milliseconds(200);

// Least wait of a caller after a refusal or a failed connection.
const absl::Duration least_wait = absl::Milliseconds(50);

struct returning_caller
{
    std::size_t m_organisation = 0;
    std::string m_group;
    std::string m_key;
    std::string m_token;
    std::int64_t m_floor = 0;
    std::unique_ptr<caller> m_connection;
    bool m_whole = false;
};

// One run of the storm.
class storm
{
public:
    storm(const returning_options& options, const std::string& prefix)
        : m_options(options), m_random(options.m_seed)
    {
        const profile& what = *options.m_profile;
        std::vector<double> shares;
        for (const organisation_share& who : what.m_organisations)
            shares.push_back(who.m_share);
        std::discrete_distribution<std::size_t> pick(shares.begin(),
                                                     shares.end());
        m_callers.resize(options.m_callers);
        for (std::size_t index = 0; index < m_callers.size(); ++index)
        {
            returning_caller& who = m_callers[index];
            who.m_organisation = pick(m_random);
            who.m_group = what.m_groups[index % what.m_groups.size()];
            who.m_key = absl::StrCat(prefix, "/", who.m_group, "/c", index);
        }
        m_report.m_callers = m_callers.size();
    }

    returning_report run()
    {
        establish();
        open_channels();
        m_report.m_resident_before = read_memory();
        m_report.m_resident_peak = m_report.m_resident_before;
        m_storm = m_loop.now();
        watch_memory();
        for (std::size_t index = 0; index < m_callers.size(); ++index)
            m_loop.at(m_storm,
                      [this, index]
                      {
                          come_back(index);
                      });
        m_loop.run(
            [this]
            {
                return m_report.m_whole + m_given_up == m_report.m_established;
            },
            m_storm + m_options.m_limit);
        m_over = true;
        for (const returning_caller& who : m_callers)
        {
            if (!who.m_whole && !who.m_token.empty())
                m_report.m_restored[name_of(who)] = m_options.m_limit;
        }
        m_loop.run(
            [this]
            {
                return m_calls == 0;
            },
            m_loop.now() + m_options.m_deadline + absl::Seconds(5));
        return std::move(m_report);
    }

private:
    const std::string& name_of(const returning_caller& who) const
    {
        return m_options.m_profile->m_organisations[who.m_organisation].m_name;
    }

    // One paced write for each caller over shared connections.
    void establish()
    {
        std::vector<std::unique_ptr<caller>> shared;
        for (const std::string& address : m_options.m_proxies)
            shared.push_back(call_proxy(open_channel(address)));
        const base::instant start = m_loop.now();
        for (std::size_t index = 0; index < m_callers.size(); ++index)
            m_loop.at(start + absl::Seconds(static_cast<double>(index) /
                                            m_options.m_write_rate),
                      [this, index, &shared]
                      {
                          write(index, *shared[index % shared.size()]);
                      });
        const absl::Duration paced = absl::Seconds(
            static_cast<double>(m_callers.size()) / m_options.m_write_rate);
        m_loop.run(
            [this]
            {
                return m_written == m_callers.size();
            },
            start + paced + m_options.m_deadline + absl::Seconds(5));
    }

    // A channel connects at its first call. It is made before the storm, as
    // making thousands takes seconds of this thread.
    void open_channels()
    {
        for (std::size_t index = 0; index < m_callers.size(); ++index)
            // The other proxy than the one of the session's write.
            m_callers[index].m_connection = call_proxy(open_channel(
                m_options.m_proxies[(index + 1) % m_options.m_proxies.size()]));
    }

    call_request base_request(const returning_caller& who)
    {
        call_request call;
        call.m_request.set_route(who.m_group);
        call.m_request.set_session_token(who.m_token);
        call.m_deadline = m_options.m_deadline;
        const auto key = m_options.m_keys.find(name_of(who));
        if (key != m_options.m_keys.end())
            call.m_key = key->second;
        return call;
    }

    void write(std::size_t index, caller& target)
    {
        returning_caller& who = m_callers[index];
        call_request call = base_request(who);
        call.m_write = true;
        v1::ExecuteRequest& request = call.m_request;
        v1::PutStatement& put = *request.add_statements()->mutable_put();
        put.set_key(who.m_key);
        put.set_value(m_checker.begin_put(who.m_key));
        request.set_may_repeat(true);
        request.mutable_request_id()->set_high(m_random());
        request.mutable_request_id()->set_low(m_random());
        request.mutable_request_id()->set_issued_unix_ms(
            base::system_clock().unix_ms());
        start(target, std::move(call),
              [this, index](const call_result& result)
              {
                  ++m_written;
                  returning_caller& writer = m_callers[index];
                  if (!result.m_end)
                      return count(result);
                  m_checker.put_ended(writer.m_key,
                                      write_outcome::acknowledged);
                  writer.m_token = result.m_end->session_token();
                  writer.m_floor = m_checker.floor(writer.m_key);
                  ++m_report.m_established;
              });
    }

    void come_back(std::size_t index)
    {
        returning_caller& who = m_callers[index];
        if (who.m_token.empty() || m_over)
            return;
        call_request call = base_request(who);
        call.m_request.add_statements()->mutable_get()->set_key(who.m_key);
        start(*who.m_connection, std::move(call),
              [this, index](const call_result& result)
              {
                  came_back(index, result);
              });
    }

    void came_back(std::size_t index, const call_result& result)
    {
        returning_caller& who = m_callers[index];
        if (result.m_end)
            return check(who, result);
        count(result);
        if (result.m_refusal &&
            result.m_refusal->reason() == v1::REFUSAL_REASON_TOKEN_REJECTED)
        {
            ++m_report.m_broken_sessions;
            ++m_given_up;
            return;
        }
        absl::Duration wait = least_wait;
        if (result.m_refusal)
            wait = std::max(
                wait, absl::Milliseconds(result.m_refusal->retry_after_ms()));
        m_loop.after(wait,
                     [this, index]
                     {
                         come_back(index);
                     });
    }

    void check(returning_caller& who, const call_result& result)
    {
        std::optional<std::string> value;
        for (const v1::Row& row : result.m_rows)
        {
            if (row.key() == who.m_key)
                value = row.value();
        }
        const std::uint64_t before = m_checker.found().total();
        m_checker.check_read(who.m_key, value, who.m_floor);
        m_report.m_broken_sessions += m_checker.found().total() - before;
        who.m_whole = true;
        ++m_report.m_whole;
        m_report.m_restored[name_of(who)] = m_loop.now() - m_storm;
    }

    void count(const call_result& result)
    {
        ++m_report.m_refusals;
        ++m_report.m_reasons[result.m_refusal
                                 ? std::string(base::to_string(
                                       static_cast<base::refusal_reason>(
                                           result.m_refusal->reason())))
                                 : result.m_failure];
    }

    void start(caller& target, call_request call,
               std::function<void(const call_result&)> done)
    {
        ++m_calls;
        m_loop.after(
            m_options.m_profile->m_client_delay,
            [this, &target, call = std::move(call), done = std::move(done)]
            {
                target.start(call,
                             [this, done](call_result result)
                             {
                                 m_loop.after(
                                     m_options.m_profile->m_client_delay,
                                     [this, done, result = std::move(result)]
                                     {
                                         --m_calls;
                                         done(result);
                                     });
                             });
            });
    }

    std::uint64_t read_memory() const
    {
        std::uint64_t sum = 0;
        for (const int process : m_options.m_process_ids)
        {
            std::ifstream file(absl::StrCat("/proc/", process, "/status"));
            sum += resident_bytes({std::istreambuf_iterator<char>(file), {}});
        }
        return sum;
    }

    void watch_memory()
    {
        m_report.m_resident_peak =
            std::max(m_report.m_resident_peak, read_memory());
        if (!m_over)
            m_loop.after(memory_interval,
                         [this]
                         {
                             watch_memory();
                         });
    }

    const returning_options& m_options;
    std::mt19937_64 m_random;
    loop m_loop;
    checker m_checker;
    std::vector<returning_caller> m_callers;
    std::size_t m_written = 0;
    std::size_t m_given_up = 0;
    std::size_t m_calls = 0;
    bool m_over = false;
    base::instant m_storm;
    returning_report m_report;
};

} // namespace

absl::Duration returning_report::worst() const
{
    absl::Duration longest;
    for (const auto& [organisation, time] : m_restored)
        longest = std::max(longest, time);
    return longest;
}

double returning_report::bytes_per_connection() const
{
    if (m_established == 0 || m_resident_peak < m_resident_before)
        return 0;
    return static_cast<double>(m_resident_peak - m_resident_before) /
           static_cast<double>(m_established);
}

returning_report run_returning(const returning_options& options,
                               const std::string& key_prefix)
{
    return storm(options, key_prefix).run();
}

std::uint64_t resident_bytes(const std::string& status_text)
{
    constexpr std::uint64_t kilobyte = 1024;
    std::istringstream lines(status_text);
    std::string line;
    while (std::getline(lines, line))
    {
        std::istringstream words(line);
        std::string name;
        std::uint64_t value = 0;
        if (words >> name >> value && name == "VmRSS:")
            return value * kilobyte;
    }
    return 0;
}

std::string to_table(const returning_report& what)
{
    std::string out = absl::StrFormat(
        "callers %d, established %d, whole %d, broken sessions %d\n",
        what.m_callers, what.m_established, what.m_whole,
        what.m_broken_sessions);
    absl::StrAppendFormat(&out,
                          "worst-served organisation whole after %.0f ms\n",
                          absl::ToDoubleMilliseconds(what.worst()));
    for (const auto& [organisation, time] : what.m_restored)
        absl::StrAppendFormat(&out, "%-24s %10.0f ms\n", organisation,
                              absl::ToDoubleMilliseconds(time));
    absl::StrAppendFormat(&out, "refused or failed calls %d\n",
                          what.m_refusals);
    for (const auto& [reason, number] : what.m_reasons)
        absl::StrAppendFormat(&out, "%-24s %10d\n", reason, number);
    absl::StrAppendFormat(
        &out,
        "resident memory of the proxies %d to %d bytes, %.0f per connection\n",
        what.m_resident_before, what.m_resident_peak,
        what.bytes_per_connection());
    return out;
}

std::string to_json(const returning_report& what)
{
    google::protobuf::Struct all;
    const auto set = [&all](const std::string& name, double value)
    {
        (*all.mutable_fields())[name].set_number_value(value);
    };
    set("callers", static_cast<double>(what.m_callers));
    set("established", static_cast<double>(what.m_established));
    set("whole", static_cast<double>(what.m_whole));
    set("broken_sessions", static_cast<double>(what.m_broken_sessions));
    set("refusals", static_cast<double>(what.m_refusals));
    set("worst_restored_ms", absl::ToDoubleMilliseconds(what.worst()));
    set("resident_before", static_cast<double>(what.m_resident_before));
    set("resident_peak", static_cast<double>(what.m_resident_peak));
    set("bytes_per_connection", what.bytes_per_connection());
    std::string text;
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    const auto status =
        google::protobuf::util::MessageToJsonString(all, &text, options);
    return status.ok() ? text : std::string();
}

} // namespace magnoliastack::load
