#include "magnoliastack/standin_server/arguments.hpp"

#include "absl/strings/str_cat.h"

#include <ini.h>

#include <csignal>
#include <set>
#include <utility>

namespace magnoliastack::standin_server
{

namespace
{

struct reading
{
    std::string m_section;
    std::set<std::string> m_seen;
    std::vector<std::string> m_options;
    std::string m_problem;
};

int take_key(void* user, const char* section, const char* name,
             const char* value)
{
    auto& state = *static_cast<reading*>(user);
    if (state.m_section != section)
        state.m_problem = absl::StrCat("section [", section, "], expected [",
                                       state.m_section, "]");
    else if (!state.m_seen.insert(name).second)
        state.m_problem = absl::StrCat("key \"", name, "\" occurs twice");
    else
        state.m_options.push_back(absl::StrCat("--", name, "=", value));
    return state.m_problem.empty() ? 1 : 0;
}

sigset_t stop_signals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

} // namespace

base::result<std::vector<std::string>>
options_from_file(const std::string& file_name, const std::string& section)
{
    reading state;
    state.m_section = section;
    const int line = ini_parse(file_name.c_str(), take_key, &state);
    if (line < 0)
        return base::fail(
            base::error_code::not_found,
            absl::StrCat("cannot read settings file ", file_name));
    if (line == 0)
        return std::move(state.m_options);
    if (state.m_problem.empty())
        state.m_problem = "expected `key = value`";
    return base::fail(
        base::error_code::invalid_argument,
        absl::StrCat(file_name, " line ", line, ": ", state.m_problem));
}

base::result<absl::Duration> parse_duration(const std::string& text)
{
    absl::Duration value;
    if (!absl::ParseDuration(text, &value) || value < absl::ZeroDuration() ||
        value == absl::InfiniteDuration())
        return base::fail(
            base::error_code::invalid_argument,
            absl::StrCat("duration is \"", text,
                         "\", expected a number with a unit such as 250ms"));
    return value;
}

base::result<named_address> parse_named_address(const std::string& text)
{
    const auto split = text.find('=');
    if (split == std::string::npos || split == 0 || split + 1 == text.size())
        return base::fail(
            base::error_code::invalid_argument,
            absl::StrCat("member is \"", text, "\", expected name=ip:port"));
    return named_address{text.substr(0, split), text.substr(split + 1)};
}

void block_stop_signals()
{
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_stop_signal()
{
    const sigset_t signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace magnoliastack::standin_server
