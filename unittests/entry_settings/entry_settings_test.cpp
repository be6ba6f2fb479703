#include "magnoliastack/entry_settings/entry_settings.hpp"

#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace entry_settings = magnoliastack::entry_settings;

namespace
{

const std::string good = "[host]\nid = h0\nfailure_domain = d\n"
                         "[listen]\ncallers = 10.0.0.1:1\n"
                         "probe = 10.0.0.1:2\npeers = 10.0.0.1:3\n"
                         "metrics = 10.0.0.1:4\n"
                         "[platform]\nstore = 10.0.0.9:5\n"
                         "duties = 10.0.0.9:6\n[limits]\nstop = 6s\n";

std::string with(const std::string& from, const std::string& to)
{
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

Test(entry_settings, a_right_file_is_read)
{
    const auto parsed = entry_settings::parse(good, "f");
    cr_assert(parsed.has_value());
    cr_assert_eq(parsed->m_stop_limit, absl::Seconds(6));
    cr_assert_eq(parsed->m_largest_sessions, 3500);
    cr_assert(parsed->m_region.empty());
    cr_assert(parsed->m_regions.empty());
}

// Without the regions of failure domains, home regions would exclude every
// endpoint.
Test(entry_settings, regions_of_the_host_and_its_failure_domains_are_read)
{
    const auto parsed = entry_settings::parse(
        with("failure_domain = d\n",
             "failure_domain = d\nregion = north\n[failure_domains]\n"
             "d = north\nd.2 = south\n"),
        "f");
    cr_assert(parsed.has_value());
    cr_assert_eq(parsed->m_region.str(), "north");
    cr_assert_eq(parsed->m_regions.size(), 2);
    cr_assert_eq(
        parsed->m_regions.at(magnoliastack::base::failure_domain_id("d.2"))
            .str(),
        "south");
}

// The platform leaves the value and the table empty where a deployment has no
// regions.
Test(entry_settings, a_deployment_without_regions_is_accepted)
{
    const auto parsed = entry_settings::parse(
        with("failure_domain = d\n",
             "failure_domain = d\nregion =\n[failure_domains]\n"),
        "f");
    cr_assert(parsed.has_value());
    cr_assert(parsed->m_region.empty());
    cr_assert(parsed->m_regions.empty());
}

// A deployment that declares no bound has no line for it.
Test(entry_settings, an_undeclared_evacuation_bound_is_five_seconds)
{
    const auto parsed = entry_settings::parse(good, "f");
    cr_assert(parsed.has_value());
    cr_assert_eq(parsed->m_evacuation_limit, absl::Seconds(5));
    const auto declared =
        entry_settings::parse(good + "evacuation = 4000ms\n", "f");
    cr_assert(declared.has_value());
    cr_assert_eq(declared->m_evacuation_limit, absl::Seconds(4));
}

// A deployment that declares no bound has no line for it.
Test(entry_settings, an_undeclared_configuration_bound_is_three_seconds)
{
    const auto parsed = entry_settings::parse(good, "f");
    cr_assert(parsed.has_value());
    cr_assert_eq(parsed->m_configuration_limit, absl::Seconds(3));
    const auto declared =
        entry_settings::parse(good + "configuration = 6000ms\n", "f");
    cr_assert(declared.has_value());
    cr_assert_eq(declared->m_configuration_limit, absl::Seconds(6));
}

Test(entry_settings, each_wrong_file_gives_one_line_with_its_place)
{
    const std::vector<std::pair<std::string, std::string>> wrong = {
        {with("id = h0\n", ""), "id"},
        {with("id = h0", "id = h 0"), "id"},
        {with("id = h0", "id = h0\nid = h1"), "id"},
        {with("callers = 10.0.0.1:1", "callers = here"), "callers"},
        {with("probe = 10.0.0.1:2", "probe = 10.0.0.1:1"), "probe"},
        {with("stop = 6s", "stop = 6"), "stop"},
        {with("stop = 6s", "stop = 0s"), "stop"},
        {with("stop = 6s", "stops = 6s"), "stops"},
        {with("stop = 6s", "evacuation = 0ms"), "evacuation"},
        {with("stop = 6s", "evacuation = ms"), "evacuation"},
        {with("stop = 6s", "configuration = 0ms"), "configuration"},
        {with("stop = 6s", "configuration = ms"), "configuration"},
        {with("[limits]", "[limit]"), "limit"},
        {with("stop = 6s", "sessions = 0"), "sessions"},
        {with("[limits]", "[failure_domains]\nd = a b\n[limits]"), "d"},
        {with("[limits]", "[failure_domains]\nd x = a\n[limits]"), "d x"},
        {with("[limits]", "[failure_domains]\nd =\n[limits]"), "d"},
        {with("[limits]", "[failure_domains]\nd = a\nd = b\n[limits]"), "d"},
        {with("store = 10.0.0.9:5", "store = 10.0.0.9"), "store"},
    };
    for (const auto& [text, word] : wrong)
    {
        const auto parsed = entry_settings::parse(text, "f.ini");
        cr_assert_not(parsed.has_value(), "%s", word.c_str());
        const auto line = parsed.error().front().to_string();
        cr_assert_neq(line.find("f.ini"), std::string::npos, "%s",
                      line.c_str());
        cr_assert_neq(line.find(word), std::string::npos, "%s", line.c_str());
    }
}
