// An INI file as sections and keys with their line numbers.
#ifndef MAGNOLIASTACK_SETTINGS_DOCUMENT_HPP
#define MAGNOLIASTACK_SETTINGS_DOCUMENT_HPP

#include "magnoliastack/settings/problem.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace magnoliastack::settings
{

// A key with its untyped value.
struct entry
{
    std::string m_key;
    std::string m_value;
    int m_line = 0;
};

// A section. The header `[endpoint cutting-1]` has the kind `endpoint` and the
// name `cutting-1`; `[listen]` has no name.
struct section
{
    std::string m_kind;
    std::string m_name;
    int m_line = 0;
    std::vector<entry> m_entries;

    // The header's text without brackets.
    [[nodiscard]] std::string header() const;

    // The entry of a key, or null.
    [[nodiscard]] const entry* find(std::string_view key) const;
};

// A parsed file. The problems found while parsing (lines that are neither a
// section nor a key, duplicate sections and keys) are kept, so that `check`
// reports them together with those of the values.
struct document
{
    std::string m_file;
    std::vector<section> m_sections;
    std::vector<problem> m_problems;
};

// Parses INI text. An indented line continues the value of the key before it,
// joined by one space. The file name is only used in messages.
document parse(std::string_view text, std::string_view file_name);

} // namespace magnoliastack::settings

#endif
