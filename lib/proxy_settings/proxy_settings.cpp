#include "magnoliastack/proxy_settings/proxy_settings.hpp"

#include "magnoliastack/settings/document.hpp"
#include "magnoliastack/settings/file.hpp"
#include "magnoliastack/settings/schema.hpp"

#include <set>
#include <utility>

namespace magnoliastack::proxy_settings
{
namespace
{

using settings::problem;
using settings::section_view;

settings::schema make_schema()
{
    using settings::address_key;
    using settings::integer_key;
    using settings::name_key;
    using settings::text_key;
    return {{
        {"host", false, {name_key("id"), name_key("failure_domain")}},
        {"listen", false, {address_key("callers"), address_key("peers")}},
        {"platform", false, {address_key("address")}},
        {"peers",
         false,
         {settings::list_key("seeds", settings::key_type::address)}},
        {"log",
         false,
         {settings::choice_key("level", {"debug", "info", "warning", "error"},
                               "info")}},
        {"limits",
         false,
         {integer_key("queue_per_organisation", 1, 100'000, "256"),
          settings::duration_key("replica_wait", absl::ZeroDuration(),
                                 absl::Seconds(1), "20ms"),
          settings::duration_key("call_timeout", absl::Milliseconds(100),
                                 absl::Minutes(10), "1s"),
          settings::duration_key("monitor_interval", absl::Milliseconds(10),
                                 absl::Seconds(1), "50ms"),
          integer_key("max_callers", 1, 1'000'000, "20000")}},
        {"tls",
         false,
         {text_key("certificate", ""), text_key("private_key", ""),
          text_key("client_ca", ""), text_key("peer_certificate", ""),
          text_key("peer_private_key", ""), text_key("peer_ca", ""),
          settings::boolean_key("allow_plaintext", "false")}},
        {"operator", false, {text_key("secret_file", "")}},
    }};
}

const settings::schema& rules()
{
    static const settings::schema all = make_schema();
    return all;
}

// Checks that concern several keys. A key whose own value is wrong, or that is
// missing, takes no part: its error has been reported.
class cross_checker
{
public:
    cross_checker(const settings::document& file,
                  std::vector<problem>& problems)
        : m_file(file), m_problems(problems),
          m_listen(settings::only(file, rules(), "listen")),
          m_tls(settings::only(file, rules(), "tls")),
          m_operator(settings::only(file, rules(), "operator"))
    {
    }

    void run()
    {
        check_listen();
        check_set("certificate", {"private_key"});
        check_set("private_key", {"certificate"});
        check_set("client_ca", {"certificate"});
        check_set("peer_certificate", {"peer_private_key", "peer_ca"});
        check_set("peer_private_key", {"peer_certificate", "peer_ca"});
        check_set("peer_ca", {"peer_certificate", "peer_private_key"});
        check_plaintext("callers", "certificate");
        check_plaintext("peers", "peer_certificate");
        if (is_exposed("callers") && m_operator.text("secret_file").empty())
            add("operator", m_operator.line_of("secret_file"), "secret_file",
                m_operator.has("secret_file") ? "empty" : "missing",
                "the file with the operators' secret, as [listen] callers is "
                "not a loopback address");
    }

private:
    void add(std::string section, int line, std::string key, std::string found,
             std::string expected)
    {
        m_problems.push_back({m_file.m_file, line, std::move(section),
                              std::move(key), std::move(found),
                              std::move(expected)});
    }

    // A present and valid address.
    [[nodiscard]] bool is_usable(const char* key) const
    {
        return m_listen.has(key) &&
               !settings::check_value(m_listen.text(key),
                                      settings::address_key(key));
    }

    [[nodiscard]] bool is_exposed(const char* key) const
    {
        return is_usable(key) && !settings::is_loopback(m_listen.text(key));
    }

    void check_listen()
    {
        if (!is_usable("peers"))
            return;
        const auto peers = m_listen.text("peers");
        // Peers are told this address, and nobody can reach a wildcard.
        if (peers.starts_with("0.0.0.0:") || peers.starts_with("[::]:"))
            add("listen", m_listen.line_of("peers"), "peers", peers,
                "an address that peers can reach, not a wildcard");
        if (peers == m_listen.text("callers"))
            add("listen", m_listen.line_of("peers"), "peers", peers,
                "another address than callers");
    }

    // A key that is of use only together with others. One line is given for
    // the set, at the first key of it that is there.
    void check_set(const char* key, std::vector<const char*> others)
    {
        if (m_tls.text(key).empty())
            return;
        for (const auto* other : others)
        {
            const std::string name = other;
            if (!m_tls.text(name).empty() || m_reported.contains(name))
                continue;
            m_reported.insert(name);
            add("tls", m_tls.line_of(name), name,
                m_tls.has(name) ? "empty" : "missing",
                std::string("the path of a file, as ") + key + " is set");
        }
    }

    void check_plaintext(const char* listen_key, const char* tls_key)
    {
        if (!is_exposed(listen_key) || !m_tls.text(tls_key).empty() ||
            m_reported.contains(tls_key))
            return;
        const auto allow = m_tls.text("allow_plaintext");
        // A wrong value here has been reported and may have meant true.
        if (allow != "false")
            return;
        add("tls", m_tls.line_of(tls_key), tls_key,
            m_tls.has(tls_key) ? "empty" : "missing",
            std::string("the path of a file, or allow_plaintext = true, as "
                        "[listen] ") +
                listen_key + " is not a loopback address");
    }

    const settings::document& m_file;
    std::vector<problem>& m_problems;
    section_view m_listen;
    section_view m_tls;
    section_view m_operator;
    std::set<std::string> m_reported;
};

daemon_settings build(const settings::document& file)
{
    const auto view = [&](const char* kind)
    {
        return settings::only(file, rules(), kind);
    };
    daemon_settings result;
    result.m_host = base::host_id(view("host").text("id"));
    result.m_failure_domain =
        base::failure_domain_id(view("host").text("failure_domain"));
    result.m_callers_address = view("listen").text("callers");
    result.m_peers_address = view("listen").text("peers");
    result.m_platform_address = view("platform").text("address");
    result.m_seeds = view("peers").list("seeds");
    result.m_log_level = view("log").text("level");
    const auto bounds = view("limits");
    result.m_limits = {
        static_cast<std::uint32_t>(bounds.integer("queue_per_organisation")),
        bounds.duration("replica_wait"), bounds.duration("call_timeout"),
        bounds.duration("monitor_interval"),
        static_cast<std::uint32_t>(bounds.integer("max_callers"))};
    const auto tls = view("tls");
    result.m_tls = {tls.text("certificate"),      tls.text("private_key"),
                    tls.text("client_ca"),        tls.text("peer_certificate"),
                    tls.text("peer_private_key"), tls.text("peer_ca")};
    result.m_operator_secret_file = view("operator").text("secret_file");
    return result;
}

std::vector<problem> check_all(const settings::document& file)
{
    auto problems = settings::check(file, rules());
    cross_checker(file, problems).run();
    settings::sort_by_line(problems);
    return problems;
}

// Checks that a file can be read and has content.
void check_file(const settings::document& file, const char* section,
                const char* key, std::vector<problem>& problems)
{
    const auto view = settings::only(file, rules(), section);
    const auto path = view.text(key);
    if (path.empty())
        return;
    const auto content = settings::read_file(path);
    if (content && !content->empty())
        return;
    problems.push_back({file.m_file, view.line_of(key), section, key,
                        settings::shown(path),
                        "a file that can be read and is not empty"});
}

} // namespace

tl::expected<daemon_settings, std::vector<problem>>
parse(std::string_view text, std::string_view file_name)
{
    const auto file = settings::parse(text, file_name);
    auto problems = check_all(file);
    if (!problems.empty())
        return tl::make_unexpected(std::move(problems));
    return build(file);
}

tl::expected<daemon_settings, std::vector<problem>>
load(const std::string& path)
{
    const auto text = settings::read_file(path);
    if (!text)
        return tl::make_unexpected(std::vector<problem>{
            {path, 0, "", "", "unreadable (" + text.error().m_message + ")",
             "a settings file"}});
    const auto file = settings::parse(*text, path);
    auto problems = check_all(file);
    for (const auto* key : {"certificate", "private_key", "client_ca",
                            "peer_certificate", "peer_private_key", "peer_ca"})
        check_file(file, "tls", key, problems);
    check_file(file, "operator", "secret_file", problems);
    settings::sort_by_line(problems);
    if (!problems.empty())
        return tl::make_unexpected(std::move(problems));
    return build(file);
}

} // namespace magnoliastack::proxy_settings
