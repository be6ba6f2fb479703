#include "magnoliastack/entry_settings/entry_settings.hpp"

#include "magnoliastack/settings/document.hpp"
#include "magnoliastack/settings/file.hpp"
#include "magnoliastack/settings/schema.hpp"

#include <set>
#include <utility>

namespace magnoliastack::entry_settings
{
namespace
{

using settings::problem;

settings::schema make_schema()
{
    using settings::address_key;
    return {{
        {"host",
         false,
         {settings::name_key("id"), settings::name_key("failure_domain"),
          settings::name_key("region", "")}},
        {"failure_domains", false, {}, settings::name_key("region")},
        {"listen",
         false,
         {address_key("callers"), address_key("probe"), address_key("peers"),
          address_key("metrics")}},
        {"platform", false, {address_key("store"), address_key("duties")}},
        {"log",
         false,
         {settings::choice_key("level", {"debug", "info", "warning", "error"},
                               "info")}},
        {"limits",
         false,
         {settings::duration_key("stop", absl::Seconds(1), absl::Minutes(5),
                                 "6s"),
          settings::duration_key("evacuation", absl::Milliseconds(500),
                                 absl::Minutes(5), "5s"),
          settings::duration_key("configuration", absl::Milliseconds(500),
                                 absl::Minutes(5), "3s"),
          settings::integer_key("sessions", 1, 1'000'000, "3500")}},
    }};
}

const settings::schema& rules()
{
    static const settings::schema all = make_schema();
    return all;
}

// Two servers cannot share an address. Wrong or missing values have been
// reported already.
void check_distinct(const settings::document& file,
                    std::vector<problem>& problems)
{
    const auto listen = settings::only(file, rules(), "listen");
    std::set<std::string> seen;
    for (const auto* key : {"callers", "probe", "peers", "metrics"})
    {
        if (!listen.has(key) || seen.insert(listen.text(key)).second)
            continue;
        problems.push_back({file.m_file, listen.line_of(key), "listen", key,
                            listen.text(key),
                            "another address than the other servers"});
    }
}

entry_settings build(const settings::document& file)
{
    const auto view = [&](const char* kind)
    {
        return settings::only(file, rules(), kind);
    };
    entry_settings result;
    result.m_host = base::host_id(view("host").text("id"));
    result.m_failure_domain =
        base::failure_domain_id(view("host").text("failure_domain"));
    result.m_region = base::region_id(view("host").text("region"));
    for (const auto& item : view("failure_domains").entries())
        result.m_regions[base::failure_domain_id(item.m_key)] =
            base::region_id(item.m_value);
    const auto listen = view("listen");
    result.m_callers_address = listen.text("callers");
    result.m_probe_address = listen.text("probe");
    result.m_peers_address = listen.text("peers");
    result.m_metrics_address = listen.text("metrics");
    result.m_store_address = view("platform").text("store");
    result.m_duties_address = view("platform").text("duties");
    result.m_log_level = view("log").text("level");
    result.m_stop_limit = view("limits").duration("stop");
    result.m_evacuation_limit = view("limits").duration("evacuation");
    result.m_configuration_limit = view("limits").duration("configuration");
    result.m_largest_sessions =
        static_cast<std::uint32_t>(view("limits").integer("sessions"));
    return result;
}

} // namespace

tl::expected<entry_settings, std::vector<problem>>
parse(std::string_view text, std::string_view file_name)
{
    const auto file = settings::parse(text, file_name);
    auto problems = settings::check(file, rules());
    check_distinct(file, problems);
    settings::sort_by_line(problems);
    if (!problems.empty())
        return tl::make_unexpected(std::move(problems));
    return build(file);
}

tl::expected<entry_settings, std::vector<problem>> load(const std::string& path)
{
    const auto text = settings::read_file(path);
    if (!text)
        return tl::make_unexpected(std::vector<problem>{
            {path, 0, "", "", "unreadable (" + text.error().m_message + ")",
             "a settings file"}});
    return parse(*text, path);
}

} // namespace magnoliastack::entry_settings
