#include "magnoliastack/settings/document.hpp"
#include "magnoliastack/settings/schema.hpp"

#include "absl/strings/match.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace settings = magnoliastack::settings;

namespace
{

settings::schema example_schema()
{
    return {{{"limits",
              false,
              {settings::integer_key("burst", 1, 1000000),
               settings::duration_key("wait", absl::ZeroDuration(),
                                      absl::Seconds(10), "20ms"),
               settings::rate_key("rate", 0.1, 1e6, "200/s"),
               settings::address_key("callers", "127.0.0.1:7400"),
               settings::boolean_key("open", "false"),
               settings::list_key("seeds", settings::key_type::address)}},
             {"group", true, {}}}};
}

std::vector<std::string> problems_of(std::string_view text)
{
    const auto file = settings::parse(text, "a.ini");
    std::vector<std::string> lines;
    for (const auto& item : settings::check(file, example_schema()))
        lines.push_back(item.to_string());
    return lines;
}

void expect_one(std::string_view text, std::string_view message)
{
    const auto lines = problems_of(text);
    cr_assert_eq(lines.size(), 1U, "%zu problems, first: %s", lines.size(),
                 lines.empty() ? "" : lines[0].c_str());
    cr_assert(lines[0] == message, "got: %s", lines[0].c_str());
}

} // namespace

// Guards against getters that lose a unit or ignore a default.
Test(settings, getters_return_typed_values_and_defaults)
{
    const auto rules = example_schema();
    const auto file =
        settings::parse("[limits]\nburst = 7 ; a comment\nopen = true\n"
                        "rate = 2.5/s\nseeds = 127.0.0.1:1,\n  [::1]:2\n",
                        "a.ini");
    cr_assert(settings::check(file, rules).empty());
    const auto view = settings::only(file, rules, "limits");
    cr_assert_eq(view.integer("burst"), 7);
    cr_assert(view.boolean("open"));
    cr_assert_eq(view.rate("rate"), 2.5);
    cr_assert(view.duration("wait") == absl::Milliseconds(20));
    cr_assert_eq(view.list("seeds").size(), 2U);
    cr_assert(view.list("seeds")[1] == "[::1]:2");
    cr_assert_eq(view.line_of("rate"), 4);
}

// Guards against a section that inih passes over because it has no keys.
Test(settings, a_section_without_keys_is_seen)
{
    const auto file =
        settings::parse("[group a]\n[group b]\n[limits]\nburst=1\n", "a.ini");
    const auto rules = example_schema();
    cr_assert(settings::check(file, rules).empty());
    const auto groups = settings::all(file, rules, "group");
    cr_assert_eq(groups.size(), 2U);
    cr_assert(groups[1].name() == "b");
    cr_assert_eq(groups[1].line(), 2);
}

// Guards against silent acceptance of the later of two values.
Test(settings, duplicates_are_reported_with_both_lines)
{
    expect_one("[limits]\nburst = 1\n\nburst = 2\n",
               "a.ini line 4: \"burst\" in [limits] is a duplicate, expected "
               "each key once (first on line 2)");
    expect_one("[limits]\nburst = 1\n[group a]\n[limits]\nburst = 2\n",
               "a.ini line 4: section [limits] is a duplicate, expected each "
               "section once (first on line 1)");
}

// Guards against text that inih drops or cuts without an error.
Test(settings, lines_that_inih_passes_over_are_reported)
{
    cr_assert(absl::StrContains(
        problems_of("[limits] burst = 3\nburst = 1\n")[0], "line 1: line is"));
    cr_assert(absl::StrContains(problems_of("[limits\nburst = 1\n")[0],
                                "ending in `]`"));
    expect_one("[limits]\nburst = 1\nnonsense\n",
               "a.ini line 3: line is nonsense, expected a [section] header "
               "or a line `key = value`");
    cr_assert(absl::StrContains(problems_of("[limits]\nburst = 1\n[group " +
                                            std::string(60, 'g') + "]\n")[0],
                                "section [group ggg"));
    cr_assert(absl::StrContains(problems_of("[limits]\nburst = 1\nseeds = " +
                                            std::string(300, '1') + "\n")[0],
                                "line 3: line is 308 bytes long"));
    cr_assert(absl::StrContains(
        problems_of("[limits]\nburst = 1\n  open = true\n")[0], "indented"));
}

// Guards against values that a lax number parser accepts.
Test(settings, wrong_values_name_what_was_found_and_expected)
{
    expect_one("[limits]\nburst = -3\n",
               "a.ini line 2: \"burst\" in [limits] is -3, expected a whole "
               "number from 1 to 1000000");
    expect_one("[limits]\nburst = 1\nwait = 20\n",
               "a.ini line 3: \"wait\" in [limits] is 20, expected a duration "
               "with its unit from 0 to 10s, such as 250ms");
    for (const auto* wrong :
         {"wait = inf", "wait = -1ms", "wait = 0", "rate = nan/s",
          "rate = inf/s", "rate = 200", "rate = 200/m", "open = yes",
          "callers = localhost:80", "callers = 127.0.0.1:0",
          "callers = 127.0.0.1", "callers = ::1:80", "callers = 1.2.3.4:65536",
          "seeds = 127.0.0.1:1,,127.0.0.1:2", "seeds = 1.1.1.1:1, 1.1.1.1:1",
          "unknown = 1"})
    {
        const auto lines =
            problems_of(std::string("[limits]\nburst = 1\n") + wrong);
        cr_assert_eq(lines.size(), 1U, "%s: %zu problems", wrong, lines.size());
        cr_assert(absl::StrContains(lines[0], "line 3"), "%s", wrong);
    }
}

// Guards against stopping at the first error.
Test(settings, all_problems_are_reported_in_line_order)
{
    const auto lines = problems_of("x = 1\n[wrong]\n[limits]\nwait = 3\n"
                                   "what = 1\n[group]\n");
    cr_assert_eq(lines.size(), 6U);
    cr_assert(absl::StrContains(lines[0], "line 1: \"x\" is outside"));
    cr_assert(absl::StrContains(lines[1], "line 2: section [wrong]"));
    cr_assert(absl::StrContains(lines[2], "line 3: \"burst\""));
    cr_assert(absl::StrContains(lines[3], "line 4: \"wait\""));
    cr_assert(absl::StrContains(lines[4], "line 5: \"what\""));
    cr_assert(absl::StrContains(lines[5], "line 6: section [group]"));
}
