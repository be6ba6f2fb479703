#include "magnoliastack/proxy_settings/proxy_settings.hpp"

#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

#include <criterion/criterion.h>

namespace proxy_settings = magnoliastack::proxy_settings;

namespace
{

constexpr const char* minimal = "[host]\nid = h1\nfailure_domain = barka\n"
                                "[listen]\ncallers = 127.0.0.1:7400\n"
                                "peers = 127.0.0.1:7401\n"
                                "[platform]\naddress = 127.0.0.1:7300\n";

constexpr const char* exposed = "[host]\nid = h1\nfailure_domain = barka\n"
                                "[listen]\ncallers = 192.0.2.1:7400\n"
                                "peers = 192.0.2.1:7401\n"
                                "[platform]\naddress = 192.0.2.9:7300\n";

std::string messages(const std::string& text)
{
    const auto result = proxy_settings::parse(text, "p.ini");
    std::string out;
    if (!result.has_value())
    {
        for (const auto& item : result.error())
            out += item.to_string() + "\n";
    }
    return out;
}

void expect(const std::string& text, const std::string& expected)
{
    const auto found = messages(text);
    cr_assert_str_eq(found.c_str(), expected.c_str());
}

} // namespace

// Guards against a default that differs from the documented one.
Test(proxy_settings, a_minimal_file_has_the_documented_defaults)
{
    const auto result = proxy_settings::parse(minimal, "p.ini");
    cr_assert(result.has_value(), "%s", messages(minimal).c_str());
    cr_assert_eq(result->m_limits.m_queue_per_organisation, 256U);
    cr_assert(result->m_limits.m_replica_wait == absl::Milliseconds(20));
    cr_assert(result->m_limits.m_monitor_interval == absl::Milliseconds(50));
    cr_assert_eq(result->m_limits.m_max_callers, 20000U);
    cr_assert_str_eq(result->m_log_level.c_str(), "info");
    cr_assert(result->m_seeds.empty() && !result->m_tls.has_caller_tls() &&
              !result->m_tls.has_peer_tls());
}

// Guards against keys, secrets and gossip in plain text on a network because a
// setting was forgotten.
Test(proxy_settings, plaintext_off_loopback_must_be_asked_for)
{
    expect(exposed,
           "p.ini: \"certificate\" in [tls] is missing, expected the path of a "
           "file, or allow_plaintext = true, as [listen] callers is not a "
           "loopback address\n"
           "p.ini: \"peer_certificate\" in [tls] is missing, expected the path "
           "of a file, or allow_plaintext = true, as [listen] peers is not a "
           "loopback address\n"
           "p.ini: \"secret_file\" in [operator] is missing, expected the file "
           "with the operators' secret, as [listen] callers is not a loopback "
           "address\n");
    expect(std::string(exposed) + "[tls]\nallow_plaintext = true\n"
                                  "[operator]\nsecret_file = s\n",
           "");
}

// Guards against TLS that is switched on by half and stays off.
Test(proxy_settings, tls_keys_are_required_as_a_set)
{
    expect(std::string(minimal) + "[tls]\ncertificate = c\n",
           "p.ini line 9: \"private_key\" in [tls] is missing, expected the "
           "path of a file, as certificate is set\n");
    expect(std::string(minimal) + "[tls]\nclient_ca = c\n",
           "p.ini line 9: \"certificate\" in [tls] is missing, expected the "
           "path of a file, as client_ca is set\n");
    expect(std::string(minimal) + "[tls]\npeer_ca = c\npeer_private_key = k\n",
           "p.ini line 9: \"peer_certificate\" in [tls] is missing, expected "
           "the path of a file, as peer_private_key is set\n");
}

// Guards against an address that peers cannot reach.
Test(proxy_settings, the_peers_address_must_be_reachable_and_distinct)
{
    std::string text = minimal;
    text.replace(text.find("127.0.0.1:7401"), 14, "127.0.0.1:7400");
    expect(text, "p.ini line 6: \"peers\" in [listen] is 127.0.0.1:7400, "
                 "expected another address than callers\n");
    text.replace(text.rfind("127.0.0.1:7400"), 14, "0.0.0.0:7401");
    text += "[tls]\nallow_plaintext = true\n";
    expect(text, "p.ini line 6: \"peers\" in [listen] is 0.0.0.0:7401, "
                 "expected an address that peers can reach, not a wildcard\n");
}

// Guards against a start that fails later because a named file is not there.
Test(proxy_settings, load_checks_the_files_that_are_named)
{
    const std::string path =
        "proxy_settings_test." + std::to_string(getpid()) + ".ini";
    std::ofstream(path) << minimal << "[operator]\nsecret_file = /nonexistent\n"
                        << "[log]\nlevel = loud\n";
    const auto result = proxy_settings::load(path);
    std::remove(path.c_str());
    cr_assert(!result.has_value() && result.error().size() == 2U);
    cr_assert_eq(result.error()[0].m_line, 10);
    cr_assert_eq(result.error()[1].m_line, 12);
    cr_assert(!proxy_settings::load("/nonexistent").has_value());
    cr_assert(!proxy_settings::load("/").has_value());
}
