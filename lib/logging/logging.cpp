#include "magnoliastack/logging/logging.hpp"

#include "magnoliastack/base/invariant.hpp"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>

#include <array>
#include <atomic>
#include <csignal>
#include <iostream>
#include <utility>

namespace magnoliastack::logging
{
namespace
{

namespace sinks = boost::log::sinks;

using text_sink = sinks::text_ostream_backend;
using queue = sinks::bounded_fifo_queue<4096, sinks::drop_on_overflow>;
using frontend = sinks::asynchronous_sink<text_sink, queue>;

constexpr std::array<std::string_view, 4> names = {"debug", "info", "warning",
                                                   "error"};
constexpr int off = static_cast<int>(names.size());

// Boost.Log writes to standard output when no sink is registered, so nothing
// is passed to it while no log_system runs.
std::atomic<int> lowest_level = off;

// The running system's host; set before lowest_level is lowered.
std::string host_name;

// Quotes a value that would not read back as one word.
std::string as_word(std::string_view value)
{
    const bool plain = !value.empty() && value.find_first_of(" =\"\\\t\r\n") ==
                                             std::string_view::npos;
    const absl::string_view text(value.data(), value.size());
    if (plain)
        return absl::Utf8SafeCEscape(text);
    return absl::StrCat("\"", absl::Utf8SafeCEscape(text), "\"");
}

} // namespace

struct log_system::state
{
    boost::shared_ptr<frontend> m_sink;
};

std::string_view to_string(severity level)
{
    return names.at(static_cast<std::size_t>(level));
}

std::optional<severity> parse_severity(std::string_view name)
{
    for (std::size_t index = 0; index < names.size(); ++index)
    {
        if (names.at(index) == name)
            return static_cast<severity>(index);
    }
    return std::nullopt;
}

field::field(std::string_view key, std::string_view value)
    : m_key(key), m_value(value)
{
}

field::field(std::string_view key, const char* value)
    : field(key, std::string_view(value))
{
}

field::field(std::string_view key, const std::string& value)
    : field(key, std::string_view(value))
{
}

field::field(std::string_view key, bool value)
    : field(key, std::string_view(value ? "true" : "false"))
{
}

field::field(std::string_view key, absl::Duration value)
    : field(key, absl::FormatDuration(value))
{
}

log_system::log_system(const options& how) : m_state(std::make_unique<state>())
{
    MAGNOLIASTACK_INVARIANT(lowest_level == off,
                            "a process has one log at a time");
    auto writer = boost::make_shared<text_sink>();
    auto* target = how.m_target == nullptr ? &std::clog : how.m_target;
    writer->add_stream(
        boost::shared_ptr<std::ostream>(target, boost::null_deleter()));
    writer->auto_flush(true);
    // The sink starts its thread here, which inherits the mask: a signal meant
    // for the process must not be taken by this thread, whose default action
    // would end the process without a planned stop.
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    m_state->m_sink = boost::make_shared<frontend>(writer);
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    m_state->m_sink->set_formatter(boost::log::expressions::stream
                                   << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(m_state->m_sink);
    host_name = how.m_host.str();
    lowest_level = static_cast<int>(how.m_level);
}

log_system::~log_system()
{
    lowest_level = off;
    boost::log::core::get()->remove_sink(m_state->m_sink);
    m_state->m_sink->stop();
    m_state->m_sink->flush();
}

void log_system::flush()
{
    m_state->m_sink->flush();
}

void set_level(severity level)
{
    if (lowest_level != off)
        lowest_level = static_cast<int>(level);
}

logger::logger(std::string component) : m_component(std::move(component))
{
}

bool logger::is_enabled(severity level)
{
    return static_cast<int>(level) >=
           lowest_level.load(std::memory_order_acquire);
}

void logger::write(severity level, std::string_view event,
                   std::initializer_list<field> fields) const
{
    if (!is_enabled(level))
        return;
    const auto severity_name = to_string(level);
    std::string line = absl::StrCat(
        "time=",
        absl::FormatTime("%Y-%m-%d%ET%H:%M:%E6SZ", absl::Now(),
                         absl::UTCTimeZone()),
        " severity=",
        absl::string_view(severity_name.data(), severity_name.size()),
        " host=", as_word(host_name), " component=", as_word(m_component),
        " event=", as_word(event));
    for (const auto& item : fields)
        absl::StrAppend(&line, " ", item.m_key, "=", as_word(item.m_value));
    boost::log::sources::logger source;
    if (auto record = source.open_record())
    {
        boost::log::record_ostream out(record);
        out << line << std::flush;
        source.push_record(std::move(record));
    }
}

void logger::debug(std::string_view event,
                   std::initializer_list<field> fields) const
{
    write(severity::debug, event, fields);
}

void logger::info(std::string_view event,
                  std::initializer_list<field> fields) const
{
    write(severity::info, event, fields);
}

void logger::warning(std::string_view event,
                     std::initializer_list<field> fields) const
{
    write(severity::warning, event, fields);
}

void logger::error(std::string_view event,
                   std::initializer_list<field> fields) const
{
    write(severity::error, event, fields);
}

} // namespace magnoliastack::logging
