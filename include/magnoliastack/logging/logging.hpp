// Structured log lines: time, severity, host, component and key=value pairs.
#ifndef MAGNOLIASTACK_LOGGING_LOGGING_HPP
#define MAGNOLIASTACK_LOGGING_LOGGING_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/strong_type.hpp"

#include "absl/time/time.h"

#include <concepts>
#include <initializer_list>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliastack::logging
{

// How much a line matters; a line below the set level is not written.
enum class severity
{
    debug,
    info,
    warning,
    error,
};

// The name of a severity, as in lines and settings.
std::string_view to_string(severity level);

// The severity of a name, or nothing.
std::optional<severity> parse_severity(std::string_view name);

// One key=value pair of a line. Keys and tokens of callers must never be
// logged.
struct field
{
    field(std::string_view key, std::string_view value);
    field(std::string_view key, const char* value);
    field(std::string_view key, const std::string& value);
    field(std::string_view key, bool value);
    field(std::string_view key, absl::Duration value);
    template <std::integral Number>
    field(std::string_view key, Number value)
        : field(key, std::to_string(value))
    {
    }
    template <typename Tag>
    field(std::string_view key, const base::strong_name<Tag>& value)
        : field(key, value.str())
    {
    }
    template <typename Tag>
    field(std::string_view key, base::strong_number<Tag> value)
        : field(key, std::to_string(value.value()))
    {
    }

    std::string m_key;
    std::string m_value;
};

// Where lines go and which.
struct options
{
    base::host_id m_host;
    severity m_level = severity::info;
    // Null means standard error.
    std::ostream* m_target = nullptr;
};

// The process's log, from construction to destruction, one at a time. A thread
// of its own writes, and lines are dropped while more than 4096 wait, so that
// a stalled reader of the log never stalls the proxy.
class log_system
{
public:
    explicit log_system(const options& how);
    log_system(const log_system&) = delete;
    log_system& operator=(const log_system&) = delete;
    // Writes what waits.
    ~log_system();

    // Waits until all lines logged so far are written.
    void flush();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

// Sets the level of the running log.
void set_level(severity level);

// Logs lines of one component; cheap to copy and usable from any thread.
// Without a log_system nothing is written.
class logger
{
public:
    explicit logger(std::string component);

    void debug(std::string_view event,
               std::initializer_list<field> fields = {}) const;
    void info(std::string_view event,
              std::initializer_list<field> fields = {}) const;
    void warning(std::string_view event,
                 std::initializer_list<field> fields = {}) const;
    void error(std::string_view event,
               std::initializer_list<field> fields = {}) const;

    // True when a line of this severity would be written; saves the cost of
    // its fields.
    [[nodiscard]] static bool is_enabled(severity level);

private:
    void write(severity level, std::string_view event,
               std::initializer_list<field> fields) const;

    std::string m_component;
};

} // namespace magnoliastack::logging

#endif
