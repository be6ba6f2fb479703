// Which sections and keys a file may have, checks against it and typed access.
#ifndef MAGNOLIASTACK_SETTINGS_SCHEMA_HPP
#define MAGNOLIASTACK_SETTINGS_SCHEMA_HPP

#include "magnoliastack/settings/document.hpp"
#include "magnoliastack/settings/problem.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliastack::settings
{

// Type of a key's value.
enum class key_type
{
    // Any text that is not empty.
    text,
    // A name: 1 to 48 letters, digits, `-`, `_` and `.`, also beyond ASCII.
    name,
    // A whole number.
    integer,
    // A length of time with its unit, such as `250ms`.
    duration,
    // Events a second, such as `200/s`.
    rate,
    // A numeric IP address and a port, such as `127.0.0.1:7400`.
    address,
    // `true` or `false`.
    boolean,
    // One of a fixed set of words.
    choice,
};

// A key of a section. The functions below make the usual ones.
struct key_rule
{
    std::string m_name;
    key_type m_type = key_type::text;
    // Comma-separated values of the type.
    bool m_is_list = false;
    // Without a default the key is required.
    std::optional<std::string> m_default;
    std::int64_t m_minimum = 0;
    std::int64_t m_maximum = 0;
    absl::Duration m_shortest;
    absl::Duration m_longest;
    double m_lowest = 0;
    double m_highest = 0;
    std::vector<std::string> m_choices;
};

key_rule text_key(std::string name,
                  std::optional<std::string> fallback = std::nullopt);
key_rule name_key(std::string name,
                  std::optional<std::string> fallback = std::nullopt);
key_rule integer_key(std::string name, std::int64_t minimum,
                     std::int64_t maximum,
                     std::optional<std::string> fallback = std::nullopt);
key_rule duration_key(std::string name, absl::Duration shortest,
                      absl::Duration longest,
                      std::optional<std::string> fallback = std::nullopt);
key_rule rate_key(std::string name, double lowest, double highest,
                  std::optional<std::string> fallback = std::nullopt);
key_rule address_key(std::string name,
                     std::optional<std::string> fallback = std::nullopt);
key_rule boolean_key(std::string name,
                     std::optional<std::string> fallback = std::nullopt);
key_rule choice_key(std::string name, std::vector<std::string> choices,
                    std::optional<std::string> fallback = std::nullopt);
// A list of names or addresses; the default is the empty list.
key_rule list_key(std::string name, key_type element);

// A kind of section.
struct section_rule
{
    std::string m_kind;
    // Named sections may occur any number of times with different names, the
    // others once.
    bool m_named = false;
    std::vector<key_rule> m_keys;
    // Set for a table: its keys are names of the file's own choice, and their
    // values follow this rule.
    std::optional<key_rule> m_table = std::nullopt;

    // The rule of a key, or null.
    [[nodiscard]] const key_rule* find(std::string_view key) const;
};

// All sections of a file.
struct schema
{
    std::vector<section_rule> m_sections;

    // The rule of a kind, or null.
    [[nodiscard]] const section_rule* find(std::string_view kind) const;
};

// All problems of a document, in the order of its lines: those found while
// parsing, unknown sections and keys, missing keys, values of the wrong type
// or out of range.
std::vector<problem> check(const document& file, const schema& rules);

// The problem of one value against its rule; only found and expected are set.
std::optional<problem> check_value(std::string_view value,
                                   const key_rule& rule);

// Typed access to one section of a checked document. A key that is absent has
// its default. Both arguments must outlive the view; asking for a key that the
// rule lacks, or for another type, is a broken invariant.
class section_view
{
public:
    section_view(const section* part, const section_rule& rule);

    // The name in the header of a named section.
    [[nodiscard]] std::string name() const;
    // The line of the header; 0 for a section that the file lacks.
    [[nodiscard]] int line() const;
    // The line of a key, or of the header when the default holds.
    [[nodiscard]] int line_of(std::string_view key) const;
    // The keys and values of a table, in the order of the file.
    [[nodiscard]] std::vector<entry> entries() const;
    // True when the file sets the key.
    [[nodiscard]] bool has(std::string_view key) const;

    // The value of a text, name, address or choice.
    [[nodiscard]] std::string text(std::string_view key) const;
    [[nodiscard]] std::int64_t integer(std::string_view key) const;
    [[nodiscard]] absl::Duration duration(std::string_view key) const;
    // Events a second.
    [[nodiscard]] double rate(std::string_view key) const;
    [[nodiscard]] bool boolean(std::string_view key) const;
    [[nodiscard]] std::vector<std::string> list(std::string_view key) const;

private:
    [[nodiscard]] const key_rule& rule_of(std::string_view key) const;
    [[nodiscard]] std::string raw(const key_rule& rule) const;

    const section* m_section;
    const section_rule* m_rule;
};

// The only section of a kind; defaults alone when the file lacks it.
section_view only(const document& file, const schema& rules,
                  std::string_view kind);

// All sections of a named kind, in the order of the file.
std::vector<section_view> all(const document& file, const schema& rules,
                              std::string_view kind);

// True for an `ip:port` address whose host is a loopback address. The address
// must be valid.
bool is_loopback(std::string_view address);

} // namespace magnoliastack::settings

#endif
