#include "magnoliastack/settings/document.hpp"

#include "views.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "ini.h"

#include <algorithm>
#include <cstring>

namespace magnoliastack::settings
{
namespace
{

// inih cuts the name of a key to 49 bytes without an error.
constexpr std::size_t longest_name = 48;

// inih calls its handler for keys only, so a section without keys would go
// unseen. The reader adds a line with this key after each section header.
constexpr const char* section_marker = "\x01section";

// Feeds lines to inih, counts them and collects what inih finds.
class parser
{
public:
    parser(absl::string_view text, absl::string_view file_name) : m_rest(text)
    {
        m_document.m_file = std::string(file_name);
    }

    document run()
    {
        // A NUL byte would end the line for inih and hide the rest of it.
        if (absl::StrContains(m_rest, '\0'))
        {
            add_problem("", "", "text with a NUL byte", "plain text");
            return std::move(m_document);
        }
        ini_parse_stream(&parser::read, this, &parser::handle, this);
        return std::move(m_document);
    }

private:
    static char* read(char* buffer, int size, void* self)
    {
        return static_cast<parser*>(self)->next_line(
            buffer, static_cast<std::size_t>(size));
    }

    static int handle(void* self, const char* /*section*/, const char* key,
                      const char* value)
    {
        static_cast<parser*>(self)->on_entry(key, value);
        return 1;
    }

    char* next_line(char* buffer, std::size_t size)
    {
        finish_line();
        if (m_header_pending)
        {
            m_header_pending = false;
            return copy(absl::StrCat(section_marker, "=1\n"), buffer, size);
        }
        if (m_rest.empty())
            return nullptr;

        const auto end = m_rest.find('\n');
        m_text = m_rest.substr(0, end);
        m_rest.remove_prefix(end == absl::string_view::npos ? m_rest.size()
                                                            : end + 1);
        ++m_line;
        if (m_line == 1 && absl::StartsWith(m_text, "\xEF\xBB\xBF"))
            m_text.remove_prefix(3);
        m_text = absl::StripTrailingAsciiWhitespace(m_text);
        // Room for the line end and the NUL; inih would take the rest for a
        // line of its own.
        if (m_text.size() + 2 > size)
        {
            add_problem("", "", absl::StrCat(m_text.size(), " bytes long"),
                        absl::StrCat("at most ", size - 2,
                                     ", continue a list on an indented line"));
            m_text = {};
        }
        const auto content = absl::StripLeadingAsciiWhitespace(m_text);
        m_indented = content.size() != m_text.size();
        if (is_header(content))
        {
            // A header is never a continuation of the value before it.
            m_text = content;
            m_header_pending = true;
        }
        m_has_key = !m_header_pending && !is_blank(content);
        return copy(absl::StrCat(m_text, "\n"), buffer, size);
    }

    // An indented line that starts with a bracket may also be an address in a
    // list; that one does not end with its bracket.
    [[nodiscard]] bool is_header(absl::string_view content) const
    {
        if (!absl::StartsWith(content, "["))
            return false;
        const auto end = content.find(']');
        return !m_indented || end == absl::string_view::npos ||
               is_blank(content.substr(end + 1));
    }

    // True for text that is empty or a comment.
    static bool is_blank(absl::string_view text)
    {
        text = absl::StripLeadingAsciiWhitespace(text);
        return text.empty() || text[0] == ';' || text[0] == '#';
    }

    static char* copy(const std::string& line, char* buffer, std::size_t size)
    {
        std::memcpy(buffer, line.c_str(), std::min(line.size() + 1, size));
        return buffer;
    }

    // Reports a line that inih did not understand: it gives the number of the
    // first one only.
    void finish_line()
    {
        if (m_has_key)
            add_problem("", "", shown(to_std(m_text)),
                        "a [section] header or a line `key = value`");
        m_has_key = false;
    }

    void on_entry(absl::string_view key, absl::string_view value)
    {
        if (key == section_marker)
        {
            on_header();
            return;
        }
        m_has_key = false;
        if (m_document.m_sections.empty() || m_section_dropped)
        {
            // The keys of a duplicate section are dropped with it.
            if (!m_section_dropped)
                add_problem("", key, "outside any section",
                            "a [section] header above it");
            return;
        }
        auto& current = m_document.m_sections.back();
        if (m_indented)
        {
            on_continuation(current, value);
            return;
        }
        if (key.size() > longest_name)
        {
            add_problem(
                current.header(), key, "too long",
                absl::StrCat("a name of at most ", longest_name, " bytes"));
            return;
        }
        if (const auto* earlier = current.find(to_std(key)))
        {
            add_problem(current.header(), key, "a duplicate",
                        absl::StrCat("each key once (first on line ",
                                     earlier->m_line, ")"));
            m_last_dropped = true;
            return;
        }
        m_last_dropped = false;
        current.m_entries.push_back(
            {std::string(key), std::string(value), m_line});
    }

    void on_continuation(section& current, absl::string_view value)
    {
        if (m_last_dropped)
            return;
        const auto equals = value.find('=');
        if (!current.m_entries.empty() && equals == absl::string_view::npos)
        {
            auto& text = current.m_entries.back().m_value;
            absl::StrAppend(&text, text.empty() ? "" : " ", value);
            return;
        }
        add_problem(current.header(), "",
                    absl::StrCat("indented at `", shown(to_std(value)), "`"),
                    "no space before a key, as an indented line continues "
                    "the value above it");
        // The key is kept, so that it is not reported as missing too.
        const auto key = absl::StripAsciiWhitespace(value.substr(0, equals));
        if (equals != absl::string_view::npos &&
            current.find(to_std(key)) == nullptr)
            current.m_entries.push_back({std::string(key),
                                         std::string(absl::StripAsciiWhitespace(
                                             value.substr(equals + 1))),
                                         m_line});
    }

    void on_header()
    {
        m_last_dropped = false;
        const auto end = m_text.find(']');
        if (end == absl::string_view::npos)
            add_problem("", "", shown(to_std(m_text)),
                        "a section header ending in `]`");
        else if (!is_blank(m_text.substr(end + 1)))
            add_problem("", "", shown(to_std(m_text)),
                        "nothing after the `]` of a section header");
        // The section is kept in spite of such a fault, so that its keys are
        // checked too. Its text is taken from the line, because inih cuts it
        // to 49 bytes.
        const auto header = absl::StripAsciiWhitespace(
            end == absl::string_view::npos ? m_text.substr(1)
                                           : m_text.substr(1, end - 1));
        section fresh;
        const auto space = header.find(' ');
        fresh.m_kind = std::string(header.substr(0, space));
        if (space != absl::string_view::npos)
            fresh.m_name =
                std::string(absl::StripAsciiWhitespace(header.substr(space)));
        fresh.m_line = m_line;
        const auto earlier =
            std::ranges::find_if(m_document.m_sections,
                                 [&](const section& item)
                                 {
                                     return item.m_kind == fresh.m_kind &&
                                            item.m_name == fresh.m_name;
                                 });
        m_section_dropped = earlier != m_document.m_sections.end();
        if (m_section_dropped)
        {
            add_problem(fresh.header(), "", "a duplicate",
                        absl::StrCat("each section once (first on line ",
                                     earlier->m_line, ")"));
            return;
        }
        m_document.m_sections.push_back(std::move(fresh));
    }

    void add_problem(absl::string_view section, absl::string_view key,
                     std::string found, std::string expected)
    {
        m_document.m_problems.push_back(
            {m_document.m_file, m_line, std::string(section), std::string(key),
             std::move(found), std::move(expected)});
    }

    absl::string_view m_rest;
    // The present line without its end.
    absl::string_view m_text;
    int m_line = 0;
    bool m_indented = false;
    // The present line should have a key and inih has not given one yet.
    bool m_has_key = false;
    bool m_header_pending = false;
    bool m_section_dropped = false;
    // The last key was a duplicate, so its continuation is dropped with it.
    bool m_last_dropped = false;
    document m_document;
};

} // namespace

std::string section::header() const
{
    return m_name.empty() ? m_kind : absl::StrCat(m_kind, " ", m_name);
}

const entry* section::find(std::string_view key) const
{
    const auto found = std::ranges::find(m_entries, key, &entry::m_key);
    return found == m_entries.end() ? nullptr : &*found;
}

document parse(std::string_view text, std::string_view file_name)
{
    return parser(to_absl(text), to_absl(file_name)).run();
}

} // namespace magnoliastack::settings
