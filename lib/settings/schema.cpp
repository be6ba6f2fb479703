#include "magnoliastack/settings/schema.hpp"

#include "magnoliastack/base/invariant.hpp"

#include "views.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

#include <algorithm>
#include <arpa/inet.h>
#include <utility>

namespace magnoliastack::settings
{
namespace
{

constexpr std::size_t longest_name = 48;

bool is_name(absl::string_view text)
{
    return !text.empty() && text.size() <= longest_name &&
           std::ranges::all_of(text,
                               [](unsigned char letter)
                               {
                                   return absl::ascii_isalnum(letter) ||
                                          letter == '-' || letter == '_' ||
                                          letter == '.' || letter >= 0x80;
                               });
}

struct host_and_port
{
    std::string m_host;
    std::string m_port;
};

std::optional<host_and_port> split_address(absl::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == absl::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    const bool bracketed =
        absl::ConsumePrefix(&host, "[") && absl::ConsumeSuffix(&host, "]");
    if (!bracketed && absl::StrContains(host, ':'))
        return std::nullopt;
    return host_and_port{std::string(host),
                         std::string(text.substr(colon + 1))};
}

bool is_address(absl::string_view text)
{
    const auto parts = split_address(text);
    if (!parts)
        return false;
    int port = 0;
    if (!absl::SimpleAtoi(parts->m_port, &port) || port < 1 || port > 65535)
        return false;
    in6_addr buffer{};
    return inet_pton(AF_INET, parts->m_host.c_str(), &buffer) == 1 ||
           inet_pton(AF_INET6, parts->m_host.c_str(), &buffer) == 1;
}

std::optional<absl::Duration> to_duration(absl::string_view text)
{
    absl::Duration value;
    // Abseil takes a bare 0; the unit is required here so that a file states
    // one everywhere.
    if (text == "0" || !absl::ParseDuration(text, &value))
        return std::nullopt;
    return value;
}

std::optional<double> to_rate(absl::string_view text)
{
    double value = 0;
    if (!absl::ConsumeSuffix(&text, "/s") || !absl::SimpleAtod(text, &value))
        return std::nullopt;
    return value;
}

std::vector<std::string> split_list(absl::string_view text)
{
    std::vector<std::string> items;
    if (absl::StripAsciiWhitespace(text).empty())
        return items;
    for (const auto item : absl::StrSplit(text, ','))
        items.emplace_back(absl::StripAsciiWhitespace(item));
    return items;
}

std::string expected_of(const key_rule& rule)
{
    switch (rule.m_type)
    {
    case key_type::text:
        return "a text";
    case key_type::name:
        return absl::StrCat("a name of 1 to ", longest_name,
                            " letters, digits, `-`, `_` or `.`");
    case key_type::integer:
        return absl::StrCat("a whole number from ", rule.m_minimum, " to ",
                            rule.m_maximum);
    case key_type::duration:
        return absl::StrCat("a duration with its unit from ",
                            absl::FormatDuration(rule.m_shortest), " to ",
                            absl::FormatDuration(rule.m_longest),
                            ", such as 250ms");
    case key_type::rate:
        return absl::StrFormat("a rate from %.12g/s to %.12g/s, such as 200/s",
                               rule.m_lowest, rule.m_highest);
    case key_type::address:
        return "an IP address and a port, such as 127.0.0.1:7400";
    case key_type::boolean:
        return "true or false";
    case key_type::choice:
        return absl::StrCat("one of ", absl::StrJoin(rule.m_choices, ", "));
    }
    return "a text";
}

bool is_valid(absl::string_view value, const key_rule& rule)
{
    switch (rule.m_type)
    {
    case key_type::text:
        return !value.empty();
    case key_type::name:
        return is_name(value);
    case key_type::integer:
    {
        std::int64_t number = 0;
        return absl::SimpleAtoi(value, &number) && number >= rule.m_minimum &&
               number <= rule.m_maximum;
    }
    case key_type::duration:
    {
        const auto span = to_duration(value);
        return span && *span >= rule.m_shortest && *span <= rule.m_longest;
    }
    case key_type::rate:
    {
        const auto rate = to_rate(value);
        return rate && *rate >= rule.m_lowest && *rate <= rule.m_highest;
    }
    case key_type::address:
        return is_address(value);
    case key_type::boolean:
        return value == "true" || value == "false";
    case key_type::choice:
        return std::ranges::find(rule.m_choices, to_std(value)) !=
               rule.m_choices.end();
    }
    return false;
}

std::string kinds_of(const schema& rules)
{
    return absl::StrJoin(rules.m_sections, ", ",
                         [](std::string* out, const section_rule& rule)
                         {
                             absl::StrAppend(out, "[", rule.m_kind,
                                             rule.m_named ? " NAME" : "", "]");
                         });
}

std::string keys_of(const section_rule& rule)
{
    if (rule.m_table)
        return absl::StrCat("a name of 1 to ", longest_name,
                            " letters, digits, `-`, `_` or `.`");
    if (rule.m_keys.empty())
        return "no keys";
    return absl::StrCat("one of ",
                        absl::StrJoin(rule.m_keys, ", ",
                                      [](std::string* out, const key_rule& key)
                                      {
                                          absl::StrAppend(out, key.m_name);
                                      }));
}

// Collects the problems of one document.
class checker
{
public:
    checker(const document& file, const schema& rules)
        : m_file(file), m_rules(rules), m_problems(file.m_problems)
    {
    }

    std::vector<problem> run()
    {
        for (const auto& part : m_file.m_sections)
            check_section(part);
        for (const auto& rule : m_rules.m_sections)
            check_presence(rule);
        sort_by_line(m_problems);
        return std::move(m_problems);
    }

private:
    void add(const section& part, int line, std::string key, std::string found,
             std::string expected)
    {
        m_problems.push_back({m_file.m_file, line, part.header(),
                              std::move(key), std::move(found),
                              std::move(expected)});
    }

    void check_section(const section& part)
    {
        const auto* rule = m_rules.find(part.m_kind);
        if (rule == nullptr)
        {
            add(part, part.m_line, "", "unknown",
                absl::StrCat("one of ", kinds_of(m_rules)));
            return;
        }
        if (rule->m_named && !is_name(part.m_name))
            add(part, part.m_line, "",
                part.m_name.empty() ? "without a name" : "misnamed",
                absl::StrCat("[", part.m_kind, " NAME] with a name of 1 to ",
                             longest_name,
                             " letters, digits, `-`, `_` or `.`"));
        if (!rule->m_named && !part.m_name.empty())
            add(part, part.m_line, "", "named",
                absl::StrCat("[", part.m_kind, "]"));
        for (const auto& item : part.m_entries)
            check_entry(part, item, *rule);
        for (const auto& key : rule->m_keys)
        {
            if (!key.m_default && part.find(key.m_name) == nullptr)
                add(part, part.m_line, key.m_name, "missing", expected_of(key));
        }
    }

    void check_entry(const section& part, const entry& item,
                     const section_rule& rule)
    {
        const auto* key = rule.find(item.m_key);
        if (key == nullptr && rule.m_table && is_name(item.m_key))
            key = &*rule.m_table;
        if (key == nullptr)
        {
            add(part, item.m_line, shown(item.m_key), "unknown", keys_of(rule));
            return;
        }
        if (auto fault = check_value(item.m_value, *key))
            add(part, item.m_line, item.m_key, std::move(fault->m_found),
                std::move(fault->m_expected));
    }

    // Reports a section with required keys that the file lacks.
    void check_presence(const section_rule& rule)
    {
        const bool present =
            std::ranges::find(m_file.m_sections, rule.m_kind,
                              &section::m_kind) != m_file.m_sections.end();
        if (rule.m_named || present)
            return;
        std::vector<std::string> required;
        for (const auto& key : rule.m_keys)
        {
            if (!key.m_default)
                required.push_back(key.m_name);
        }
        if (!required.empty())
            m_problems.push_back({m_file.m_file, 0, rule.m_kind, "", "missing",
                                  absl::StrCat("the section with ",
                                               absl::StrJoin(required, ", "))});
    }

    const document& m_file;
    const schema& m_rules;
    std::vector<problem> m_problems;
};

key_rule plain_key(std::string name, key_type type,
                   std::optional<std::string> fallback)
{
    key_rule rule;
    rule.m_name = std::move(name);
    rule.m_type = type;
    rule.m_default = std::move(fallback);
    return rule;
}

} // namespace

key_rule text_key(std::string name, std::optional<std::string> fallback)
{
    return plain_key(std::move(name), key_type::text, std::move(fallback));
}

key_rule name_key(std::string name, std::optional<std::string> fallback)
{
    return plain_key(std::move(name), key_type::name, std::move(fallback));
}

key_rule integer_key(std::string name, std::int64_t minimum,
                     std::int64_t maximum, std::optional<std::string> fallback)
{
    auto rule =
        plain_key(std::move(name), key_type::integer, std::move(fallback));
    rule.m_minimum = minimum;
    rule.m_maximum = maximum;
    return rule;
}

key_rule duration_key(std::string name, absl::Duration shortest,
                      absl::Duration longest,
                      std::optional<std::string> fallback)
{
    auto rule =
        plain_key(std::move(name), key_type::duration, std::move(fallback));
    rule.m_shortest = shortest;
    rule.m_longest = longest;
    return rule;
}

key_rule rate_key(std::string name, double lowest, double highest,
                  std::optional<std::string> fallback)
{
    auto rule = plain_key(std::move(name), key_type::rate, std::move(fallback));
    rule.m_lowest = lowest;
    rule.m_highest = highest;
    return rule;
}

key_rule address_key(std::string name, std::optional<std::string> fallback)
{
    return plain_key(std::move(name), key_type::address, std::move(fallback));
}

key_rule boolean_key(std::string name, std::optional<std::string> fallback)
{
    return plain_key(std::move(name), key_type::boolean, std::move(fallback));
}

key_rule choice_key(std::string name, std::vector<std::string> choices,
                    std::optional<std::string> fallback)
{
    auto rule =
        plain_key(std::move(name), key_type::choice, std::move(fallback));
    rule.m_choices = std::move(choices);
    return rule;
}

key_rule list_key(std::string name, key_type element)
{
    auto rule = plain_key(std::move(name), element, "");
    rule.m_is_list = true;
    return rule;
}

const key_rule* section_rule::find(std::string_view key) const
{
    const auto found = std::ranges::find(m_keys, key, &key_rule::m_name);
    return found == m_keys.end() ? nullptr : &*found;
}

const section_rule* schema::find(std::string_view kind) const
{
    const auto found =
        std::ranges::find(m_sections, kind, &section_rule::m_kind);
    return found == m_sections.end() ? nullptr : &*found;
}

std::optional<problem> check_value(std::string_view value, const key_rule& rule)
{
    problem fault;
    if (!rule.m_is_list)
    {
        if (is_valid(to_absl(value), rule) ||
            (value.empty() && rule.m_default == std::string()))
            return std::nullopt;
        fault.m_found = shown(value);
        fault.m_expected = expected_of(rule);
        return fault;
    }
    const auto items = split_list(to_absl(value));
    for (auto item = items.begin(); item != items.end(); ++item)
    {
        const bool repeated = std::find(items.begin(), item, *item) != item;
        if (!repeated && is_valid(*item, rule))
            continue;
        fault.m_found = absl::StrCat("a list with ", shown(*item),
                                     repeated ? " twice" : "");
        fault.m_expected = absl::StrCat(
            "a comma-separated list, each once and ", expected_of(rule));
        return fault;
    }
    return std::nullopt;
}

std::vector<problem> check(const document& file, const schema& rules)
{
    return checker(file, rules).run();
}

section_view::section_view(const section* part, const section_rule& rule)
    : m_section(part), m_rule(&rule)
{
}

std::string section_view::name() const
{
    return m_section == nullptr ? std::string() : m_section->m_name;
}

int section_view::line() const
{
    return m_section == nullptr ? 0 : m_section->m_line;
}

int section_view::line_of(std::string_view key) const
{
    const auto* item = m_section == nullptr ? nullptr : m_section->find(key);
    return item == nullptr ? line() : item->m_line;
}

std::vector<entry> section_view::entries() const
{
    return m_section == nullptr ? std::vector<entry>() : m_section->m_entries;
}

bool section_view::has(std::string_view key) const
{
    return m_section != nullptr && m_section->find(key) != nullptr;
}

const key_rule& section_view::rule_of(std::string_view key) const
{
    const auto* rule = m_rule->find(key);
    MAGNOLIASTACK_INVARIANT(rule != nullptr, "the schema has the key");
    return *rule;
}

std::string section_view::raw(const key_rule& rule) const
{
    const auto* item =
        m_section == nullptr ? nullptr : m_section->find(rule.m_name);
    return item == nullptr ? rule.m_default.value_or("") : item->m_value;
}

std::string section_view::text(std::string_view key) const
{
    return raw(rule_of(key));
}

std::int64_t section_view::integer(std::string_view key) const
{
    std::int64_t value = 0;
    const bool parsed = absl::SimpleAtoi(raw(rule_of(key)), &value);
    MAGNOLIASTACK_INVARIANT(parsed, "the document was checked");
    return value;
}

absl::Duration section_view::duration(std::string_view key) const
{
    const auto value = to_duration(raw(rule_of(key)));
    MAGNOLIASTACK_INVARIANT(value.has_value(), "the document was checked");
    return value.value_or(absl::ZeroDuration());
}

double section_view::rate(std::string_view key) const
{
    const auto value = to_rate(raw(rule_of(key)));
    MAGNOLIASTACK_INVARIANT(value.has_value(), "the document was checked");
    return value.value_or(0);
}

bool section_view::boolean(std::string_view key) const
{
    return raw(rule_of(key)) == "true";
}

std::vector<std::string> section_view::list(std::string_view key) const
{
    return split_list(raw(rule_of(key)));
}

section_view only(const document& file, const schema& rules,
                  std::string_view kind)
{
    const auto* rule = rules.find(kind);
    MAGNOLIASTACK_INVARIANT(rule != nullptr, "the schema has the section");
    const auto found =
        std::ranges::find(file.m_sections, kind, &section::m_kind);
    return {found == file.m_sections.end() ? nullptr : &*found, *rule};
}

std::vector<section_view> all(const document& file, const schema& rules,
                              std::string_view kind)
{
    const auto* rule = rules.find(kind);
    MAGNOLIASTACK_INVARIANT(rule != nullptr, "the schema has the section");
    std::vector<section_view> views;
    for (const auto& part : file.m_sections)
    {
        if (part.m_kind == kind)
            views.emplace_back(&part, *rule);
    }
    return views;
}

bool is_loopback(std::string_view address)
{
    const auto parts = split_address(to_absl(address));
    if (!parts)
        return false;
    in_addr v4{};
    if (inet_pton(AF_INET, parts->m_host.c_str(), &v4) == 1)
        return (ntohl(v4.s_addr) >> 24U) == 127U;
    in6_addr v6{};
    return inet_pton(AF_INET6, parts->m_host.c_str(), &v6) == 1 &&
           IN6_IS_ADDR_LOOPBACK(&v6);
}

} // namespace magnoliastack::settings
