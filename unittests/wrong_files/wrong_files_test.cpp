// Wrong settings and inventories, each made from an example by one edit.
#include "magnoliastack/inventory/inventory.hpp"
#include "magnoliastack/proxy_settings/proxy_settings.hpp"
#include "magnoliastack/settings/file.hpp"

#include <functional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace inventory = magnoliastack::inventory;
namespace proxy_settings = magnoliastack::proxy_settings;
namespace settings = magnoliastack::settings;

namespace
{

// One edit of the example and the lines it must lead to.
struct wrong_file
{
    std::string m_from;
    std::string m_to;
    std::vector<std::string> m_lines;
};

std::string example(const std::string& name)
{
    const auto text = settings::read_file(MAGNOLIASTACK_EXAMPLES + name);
    cr_assert(text.has_value(), "%s: %s", name.c_str(),
              text.error().m_message.c_str());
    return *text;
}

using checker =
    std::function<std::vector<settings::problem>(const std::string&)>;

std::vector<settings::problem> check_settings(const std::string& text)
{
    const auto result = proxy_settings::parse(text, "f");
    return result ? std::vector<settings::problem>() : result.error();
}

std::vector<settings::problem> check_inventory(const std::string& text)
{
    const auto result = inventory::parse_inventory(text, "f");
    return result ? std::vector<settings::problem>() : result.error();
}

void run(const std::string& base, const std::vector<wrong_file>& cases,
         const checker& check)
{
    cr_assert(check(base).empty(), "the example itself is wrong");
    for (const auto& item : cases)
    {
        std::string text = base;
        const auto at = text.find(item.m_from);
        cr_assert_neq(at, std::string::npos, "%s", item.m_from.c_str());
        text.replace(at, item.m_from.size(), item.m_to);
        std::string found;
        for (const auto& problem : check(text))
            found += problem.to_string() + "\n";
        std::string expected;
        for (const auto& line : item.m_lines)
            expected += "f" + line + "\n";
        cr_expect(found == expected, "edit: %s\nfound:\n%sexpected:\n%s",
                  item.m_to.c_str(), found.c_str(), expected.c_str());
    }
}

} // namespace

// Guards against settings that start a host in a way its operator did not
// mean, and against messages that do not say where and what.
Test(wrong_files, each_wrong_setting_gives_one_line)
{
    run(example("muscat/host-1.ini"),
        {
            {"id = batinah-1",
             "id = batinah 1",
             {" line 3: \"id\" in [host] is batinah 1, expected a name of 1 to "
              "48 letters, digits, `-`, `_` or `.`"}},
            {"id = batinah-1\n",
             "",
             {" line 2: \"id\" in [host] is missing, expected a name of 1 to "
              "48 "
              "letters, digits, `-`, `_` or `.`"}},
            {"id = batinah-1",
             "id = batinah-1\nid = batinah-2",
             {" line 4: \"id\" in [host] is a duplicate, expected each key "
              "once "
              "(first on line 3)"}},
            {"failure_domain = sohar",
             "zone = sohar\nfailure_domain = sohar",
             {" line 4: \"zone\" in [host] is unknown, expected one of id, "
              "failure_domain"}},
            {"callers = 127.0.0.1:7400",
             "callers = localhost:7400",
             {" line 7: \"callers\" in [listen] is localhost:7400, expected an "
              "IP address and a port, such as 127.0.0.1:7400"}},
            {"callers = 127.0.0.1:7400",
             "callers = 127.0.0.1:74000",
             {" line 7: \"callers\" in [listen] is 127.0.0.1:74000, expected "
              "an IP address and a port, such as 127.0.0.1:7400"}},
            {"peers = 127.0.0.1:7401",
             "peers = 127.0.0.1:7400",
             {" line 8: \"peers\" in [listen] is 127.0.0.1:7400, expected "
              "another address than callers"}},
            {"address = 127.0.0.1:7600",
             "address =",
             {" line 11: \"address\" in [platform] is empty, expected an IP "
              "address and a port, such as 127.0.0.1:7400"}},
            {"[platform]\naddress = 127.0.0.1:7600\n",
             "",
             {": section [platform] is missing, expected the section with "
              "address"}},
            {"[peers]",
             "[peer]",
             {" line 13: section [peer] is unknown, expected one of [host], "
              "[listen], [platform], [peers], [log], [limits], [tls], "
              "[operator]"}},
            {"127.0.0.1:7411",
             "127.0.0.1:7401",
             {" line 14: \"seeds\" in [peers] is a list with 127.0.0.1:7401 "
              "twice, expected a comma-separated list, each once and an IP "
              "address and a port, such as 127.0.0.1:7400"}},
            {"127.0.0.1:7411",
             "127.0.0.1",
             {" line 14: \"seeds\" in [peers] is a list with 127.0.0.1, "
              "expected a comma-separated list, each once and an IP address "
              "and a port, such as 127.0.0.1:7400"}},
            {"level = info",
             "level = loud",
             {" line 17: \"level\" in [log] is loud, expected one of debug, "
              "info, warning, error"}},
            {"queue_per_organisation = 256",
             "queue_per_organisation = -1",
             {" line 20: \"queue_per_organisation\" in [limits] is -1, "
              "expected a whole number from 1 to 100000"}},
            {"replica_wait = 20ms",
             "replica_wait = 20",
             {" line 21: \"replica_wait\" in [limits] is 20, expected a "
              "duration with its unit from 0 to 1s, such as 250ms"}},
            {"monitor_interval = 50ms",
             "monitor_interval = 5m",
             {" line 22: \"monitor_interval\" in [limits] is 5m, expected a "
              "duration with its unit from 10ms to 1s, such as 250ms"}},
            {"max_callers = 20000",
             "max_callers = 20k",
             {" line 23: \"max_callers\" in [limits] is 20k, expected a whole "
              "number from 1 to 1000000"}},
            {"[log]",
             "[log]\nthe level",
             {" line 17: line is the level, expected a [section] header or a "
              "line `key = value`"}},
            {"[log]",
             "[log",
             {" line 16: line is [log, expected a section header ending in "
              "`]`"}},
            {"[limits]",
             "[tls]\nallow_plaintext = maybe\n[limits]",
             {" line 20: \"allow_plaintext\" in [tls] is maybe, expected true "
              "or false"}},
            {"[limits]",
             "[tls]\ncertificate = host.pem\n[limits]",
             {" line 19: \"private_key\" in [tls] is missing, expected the "
              "path of a file, as certificate is set"}},
            {"[limits]",
             "[host]\nid = other\n[limits]",
             {" line 19: section [host] is a duplicate, expected each section "
              "once (first on line 2)"}},
        },
        check_settings);
}

// Guards against an inventory that would serve callers otherwise than its
// operator meant.
Test(wrong_files, each_wrong_inventory_gives_one_line)
{
    run(example("muscat/inventory.ini"),
        {
            {"slots = 8",
             "slots = 0",
             {" line 6: \"slots\" in [fleet] is 0, expected a whole number "
              "from 1 to 4096"}},
            {"configuration_bound = 5s",
             "configuration_bound = 100ms",
             {" line 7: \"configuration_bound\" in [fleet] is 100ms, expected "
              "a duration with its unit from 1s to 1m, such as 250ms"}},
            {"rate = 400/s",
             "rate = 400",
             {" line 12: \"rate\" in [organisation seeb-merchants] is 400, "
              "expected a rate from 0.1/s to 1000000/s, such as 200/s"}},
            {"burst = 800",
             "burst = -3",
             {" line 13: \"burst\" in [organisation seeb-merchants] is -3, "
              "expected a whole number from 1 to 1000000"}},
            {"burst = 800\n",
             "",
             {" line 11: \"burst\" in [organisation seeb-merchants] is "
              "missing, expected a whole number from 1 to 1000000"}},
            {"[caller payroll-host]",
             "[caller]",
             {" line 69: section [caller] is without a name, expected [caller "
              "NAME] with a name of 1 to 48 letters, digits, `-`, `_` or "
              "`.`"}},
            {"organisation = payroll",
             "organisation = payrol",
             {" line 70: \"organisation\" in [caller payroll-host] is payrol, "
              "expected the name of a section [organisation NAME]"}},
            {"[group orders]",
             "[group orders]\n[group empty]",
             {" line 119: section [group empty] is without an endpoint, "
              "expected at least one [endpoint NAME] with this group"}},
            {"group = cuts",
             "group = cust",
             {" line 75: \"group\" in [endpoint cuts-1] is cust, expected the "
              "name of a section [group NAME]"}},
            {"address = 127.0.0.1:7612",
             "address = 127.0.0.1:7611",
             {" line 84: \"address\" in [endpoint cuts-2] is 127.0.0.1:7611, "
              "expected an address of its own, as [endpoint cuts-1] has this "
              "one"}},
            {"connections = 20",
             "connections = 20.5",
             {" line 79: \"connections\" in [endpoint cuts-1] is 20.5, "
              "expected a whole number from 1 to 100000"}},
            {"[endpoint cuts-2]",
             "[endpoint cuts-1]",
             {" line 81: section [endpoint cuts-1] is a duplicate, expected "
              "each section once (first on line 74)"}},
            {"access = keyed",
             "access = closed",
             {" line 146: \"access\" in [route cut-log] is closed, expected "
              "one of open, keyed"}},
            {"access = keyed\n",
             "",
             {" line 144: \"access\" in [route cut-log] is missing, expected "
              "one of open, keyed"}},
            {"staleness = 2s",
             "staleness = 2",
             {" line 155: \"staleness\" in [route stock-check] is 2, expected "
              "a duration with its unit from 0 to 1h, such as 250ms"}},
            {"staleness = 5s",
             "staleness = 5s\norganisations = payroll",
             {" line 169: \"organisations\" in [route catalogue] is set, "
              "expected no list on a route with open access"}},
            {"artisans-saham, artisans-suwaiq,",
             "artisans-saham,, artisans-suwaiq,",
             {" line 148: \"organisations\" in [route cut-log] is a list with "
              "empty, expected a comma-separated list, each once and a name "
              "of 1 to 48 letters, digits, `-`, `_` or `.`"}},
            {"[route catalogue]\ngroup = stock",
             "[route catalogue]\ngroup = stocks",
             {" line 166: \"group\" in [route catalogue] is stocks, expected "
              "the name of a section [group NAME]"}},
            {"burst = 800",
             "  burst = 800",
             {" line 13: section [organisation seeb-merchants] is indented at "
              "`burst = 800`, expected no space before a key, as an indented "
              "line continues the value above it"}},
        },
        check_inventory);
}

// Guards against reporting the first error only: a file with every kind of
// error gives a line for each.
Test(wrong_files, several_errors_give_a_line_each_in_order)
{
    std::string text = example("muscat/inventory.ini");
    const std::vector<std::pair<std::string, std::string>> edits = {
        {"slots = 8", "slots = eight"},
        {"rate = 300/s", "rat = 300/s"},
        {"organisation = payroll", "organisation = nobody"},
        {"address = 127.0.0.1:7615", "address = 127.0.0.1"},
        {"staleness = 5s", "staleness = never"}};
    for (const auto& [from, to] : edits)
        text.replace(text.find(from), from.size(), to);
    const auto problems = check_inventory(text);
    // The misspelt rate is unknown, and the rate itself is missing.
    cr_assert_eq(problems.size(), edits.size() + 1);
    for (std::size_t index = 1; index < problems.size(); ++index)
        cr_assert_leq(problems[index - 1].m_line, problems[index].m_line);
}

// Guards against examples that do not have the size of the deployments.
Test(examples, both_inventories_have_the_size_of_their_deployment)
{
    for (const auto& [name, slots, connections] :
         {std::tuple("muscat/inventory.ini", 3U, 20U),
          std::tuple("nordurljos/inventory.ini", 5U, 60U)})
    {
        const auto item =
            inventory::parse_inventory(example(name), name).value();
        cr_assert_eq(item.m_organisations.size(), 8U);
        cr_assert_eq(item.m_groups.size(), 3U);
        std::set<std::string> domains;
        for (const auto& [id, endpoint] : item.m_endpoints)
        {
            cr_assert_eq(endpoint.m_slots, slots);
            cr_assert_eq(endpoint.m_connections, connections);
            domains.insert(endpoint.m_failure_domain.str());
        }
        cr_assert_eq(domains.size(), 4U);
        for (const auto& [id, group] : item.m_groups)
            cr_assert_eq(group.m_endpoints.size(), 3U);
    }
}

// Guards against example settings that no host starts with.
Test(examples, all_settings_are_valid)
{
    for (const auto* name :
         {"muscat/host-1.ini", "muscat/host-2.ini", "nordurljos/host-1.ini",
          "nordurljos/host-2.ini", "host-tls.ini"})
    {
        const auto problems = check_settings(example(name));
        cr_assert(problems.empty(), "%s", problems[0].to_string().c_str());
    }
}
