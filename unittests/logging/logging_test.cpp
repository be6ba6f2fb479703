#include "magnoliastack/logging/logging.hpp"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <thread>

#include <criterion/criterion.h>

namespace base = magnoliastack::base;
namespace logging = magnoliastack::logging;

namespace
{

// Tells when the log has written a line.
class flush_watch final : public std::stringbuf
{
public:
    int sync() override
    {
        m_flushed = true;
        return 0;
    }

    std::atomic<bool> m_flushed = false;
};

// The folders of this process's threads.
std::set<std::string> list_threads()
{
    std::set<std::string> threads;
    for (const auto& item :
         std::filesystem::directory_iterator("/proc/self/task"))
        threads.insert(item.path().string());
    return threads;
}

bool blocks(const std::string& thread, int signal)
{
    std::ifstream in(thread + "/status");
    for (std::string line; std::getline(in, line);)
    {
        std::uint64_t mask = 0;
        if (absl::StartsWith(line, "SigBlk:") &&
            absl::SimpleHexAtoi(line.substr(8), &mask))
            return ((mask >> static_cast<unsigned>(signal - 1)) & 1U) != 0;
    }
    return false;
}

} // namespace

// Guards against a line that lacks one of the fixed fields or that a value
// splits into two lines.
Test(logging, a_line_carries_all_fields_in_one_line)
{
    std::ostringstream out;
    {
        const logging::log_system system(
            {base::host_id("h1"), logging::severity::info, &out});
        logging::logger("failover")
            .warning("primary lost", {{"group", base::group_id("cutting")},
                                      {"term", base::term(7)},
                                      {"after", absl::Milliseconds(600)},
                                      {"planned", false},
                                      {"count", 3},
                                      {"detail", "a\nb \"c\""},
                                      {"empty", ""}});
    }
    const auto line = out.str();
    cr_assert(absl::StartsWith(line, "time=2"), "%s", line.c_str());
    cr_assert(absl::StrContains(line,
                                "Z severity=warning host=h1 component=failover "
                                "event=\"primary lost\" group=cutting term=7 "
                                "after=600ms planned=false count=3 "
                                "detail=\"a\\nb \\\"c\\\"\" empty=\"\"\n"),
              "%s", line.c_str());
    cr_assert_eq(std::count(line.begin(), line.end(), '\n'), 1);
}

// Guards against lines below the level, and against Boost.Log's fallback to
// standard output after the log has ended.
Test(logging, the_level_and_the_end_of_the_log_are_respected)
{
    std::ostringstream out;
    const logging::logger log("test");
    {
        logging::log_system system(
            {base::host_id("h1"), logging::severity::info, &out});
        log.debug("one");
        logging::set_level(logging::severity::debug);
        log.debug("two");
        logging::set_level(logging::severity::error);
        log.warning("three");
        system.flush();
        cr_assert(absl::StrContains(out.str(), "event=two"));
    }
    log.error("four");
    cr_assert(!logging::logger::is_enabled(logging::severity::error));
    const auto text = out.str();
    cr_assert_eq(std::count(text.begin(), text.end(), '\n'), 1, "%s",
                 text.c_str());
    cr_assert(absl::EndsWith(text, " event=two\n"), "%s", text.c_str());
}

// Guards against a settable level whose name cannot be read back.
Test(logging, every_severity_has_a_name_that_reads_back)
{
    for (const auto* name : {"debug", "info", "warning", "error"})
        cr_assert(logging::to_string(*logging::parse_severity(name)) == name);
    cr_assert(!logging::parse_severity("loud").has_value());
}

// Guards against a log thread that takes the signal of a planned stop, which
// would end the process at once.
Test(logging, the_log_thread_takes_no_signals)
{
    const auto before = list_threads();
    flush_watch watch;
    std::ostream out(&watch);
    const logging::log_system system(
        {base::host_id("h1"), logging::severity::info, &out});
    // A new thread blocks all signals until it runs; it does when it has
    // written a line.
    logging::logger("test").info("one");
    for (int turn = 0; turn < 10'000 && !watch.m_flushed; ++turn)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    cr_assert(watch.m_flushed);
    int started = 0;
    for (const auto& thread : list_threads())
    {
        if (before.contains(thread))
            continue;
        ++started;
        cr_assert(blocks(thread, SIGTERM), "%s", thread.c_str());
    }
    cr_assert_eq(started, 1);
}
