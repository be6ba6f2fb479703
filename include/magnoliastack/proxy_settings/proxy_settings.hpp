// The settings of magnolia-proxy.
#ifndef MAGNOLIASTACK_PROXY_SETTINGS_PROXY_SETTINGS_HPP
#define MAGNOLIASTACK_PROXY_SETTINGS_PROXY_SETTINGS_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/settings/problem.hpp"

#include "absl/time/time.h"
#include "tl/expected.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliastack::proxy_settings
{

// Bounds of what the process holds at once.
struct limits
{
    // Requests that wait, for each organisation.
    std::uint32_t m_queue_per_organisation = 0;
    // How long a read waits for a replica that is about to become eligible.
    absl::Duration m_replica_wait;
    // Time for an endpoint's answer to one call; beyond it the answer counts as
    // lost and the outcome is settled on another connection.
    absl::Duration m_call_timeout;
    // Time between two monitor rounds.
    absl::Duration m_monitor_interval;
    // Callers' connections.
    std::uint32_t m_max_callers = 0;
};

// Paths of PEM files. Empty paths mean no TLS, which `parse` allows on loopback
// addresses or with `allow_plaintext` only.
struct tls_files
{
    // For callers and operators. With a client CA they must show a certificate.
    std::string m_certificate;
    std::string m_private_key;
    std::string m_client_ca;
    // For mutual TLS between peers.
    std::string m_peer_certificate;
    std::string m_peer_private_key;
    std::string m_peer_ca;

    [[nodiscard]] bool has_caller_tls() const
    {
        return !m_certificate.empty();
    }
    [[nodiscard]] bool has_peer_tls() const
    {
        return !m_peer_certificate.empty();
    }
};

// All settings of one host.
struct daemon_settings
{
    base::host_id m_host;
    base::failure_domain_id m_failure_domain;
    // `ip:port` each.
    std::string m_callers_address;
    std::string m_peers_address;
    std::string m_platform_address;
    std::vector<std::string> m_seeds;
    // A name that logging::parse_severity knows.
    std::string m_log_level;
    limits m_limits;
    tls_files m_tls;
    // Path of the file with the operators' shared secret; empty means that
    // operators need none, which is allowed on a loopback address only.
    std::string m_operator_secret_file;
};

// Parses the settings and checks them in full; does not touch the files that
// they name. The error has all problems in the order of their lines.
tl::expected<daemon_settings, std::vector<settings::problem>>
parse(std::string_view text, std::string_view file_name);

// Reads a settings file, parses it and checks that the files it names can be
// read and are not empty; the problems of all steps are in one list.
tl::expected<daemon_settings, std::vector<settings::problem>>
load(const std::string& path);

} // namespace magnoliastack::proxy_settings

#endif
