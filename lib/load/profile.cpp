#include "magnoliastack/load/profile.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>

namespace magnoliastack::load
{

namespace
{

// Eight organisations, three of them large.
constexpr std::array<double, 8> shares = {0.30, 0.22, 0.18, 0.10,
                                          0.08, 0.06, 0.04, 0.02};

std::vector<organisation_share>
organisations(const std::array<const char*, shares.size()>& names)
{
    std::vector<organisation_share> all;
    for (std::size_t index = 0; index < names.size(); ++index)
        all.push_back({names[index], shares[index]});
    return all;
}

profile muscat()
{
    profile what;
    what.m_name = "muscat";
    what.m_organisations = organisations(
        {"pearl-court", "rosewood-hall", "harbour-boards", "inlay-guild",
         "souq-traders", "barka-works", "sohar-points", "seeb-cutters"});
    what.m_groups = {"stock", "cutting", "orders"};
    what.m_mix = {{{operation_kind::read, 0.82, 1},
                   {operation_kind::put, 0.08, 1},
                   {operation_kind::add, 0.07, 10},
                   {operation_kind::transaction, 0.03, 1}}};
    what.m_failure_domains = {"barka", "seeb", "sohar", "saham"};
    what.m_client_delay = absl::Milliseconds(3);
    what.m_rate = 300;
    what.m_endpoint_slots = 3;
    what.m_endpoint_connections = 20;
    what.m_staleness = absl::Seconds(2);
    return what;
}

profile nordurljos()
{
    profile what;
    what.m_name = "nordurljos";
    what.m_organisations = organisations(
        {"fishers-south", "nurses-union", "electricians", "fishers-east",
         "port-workers", "cannery-union", "ferry-crews", "lighthouse-keepers"});
    what.m_groups = {"dues", "standing", "postings"};
    what.m_mix = {{{operation_kind::read, 0.60, 1},
                   {operation_kind::put, 0.12, 1},
                   {operation_kind::add, 0.25, 20},
                   {operation_kind::transaction, 0.03, 1}}};
    what.m_failure_domains = {"selfoss", "hella", "vik", "hofn"};
    what.m_client_delay = absl::Milliseconds(1);
    what.m_rate = 300;
    what.m_endpoint_slots = 5;
    what.m_endpoint_connections = 60;
    what.m_staleness = absl::Seconds(2);
    return what;
}

} // namespace

std::string to_string(operation_kind kind)
{
    static constexpr std::array<const char*, operation_kind_count> names = {
        "read", "put", "add", "transaction"};
    return names.at(static_cast<std::size_t>(kind));
}

const profile* find_profile(std::string_view name)
{
    static const std::vector<profile> all = {muscat(), nordurljos()};
    const auto found = std::ranges::find(all, name, &profile::m_name);
    return found == all.end() ? nullptr : &*found;
}

limits limits_of(const profile& what, const organisation_share& who)
{
    constexpr double headroom = 2.0;
    constexpr double bursts = 8.0;
    std::uint32_t largest = 1;
    for (const mix_entry& entry : what.m_mix)
        largest = std::max(largest, entry.m_burst);
    const double rate = std::ceil(headroom * what.m_rate * who.m_share);
    return {rate,
            static_cast<std::uint64_t>(std::ceil(2 * rate + bursts * largest))};
}

std::string inventory_text(const profile& what, std::uint32_t slots,
                           std::uint16_t first_port, double factor)
{
    std::string text = absl::StrCat("[fleet]\nslots = ", slots, "\n");
    for (const organisation_share& who : what.m_organisations)
    {
        limits allowed = limits_of(what, who);
        allowed.m_rate *= factor;
        allowed.m_burst = static_cast<std::uint64_t>(
            std::ceil(static_cast<double>(allowed.m_burst) * factor));
        absl::StrAppend(
            &text, "[organisation ", who.m_name, "]\nrate = ", allowed.m_rate,
            "/s\nburst = ", allowed.m_burst, "\n[caller ", who.m_name,
            "-desk]\norganisation = ", who.m_name, "\n");
    }
    int port = first_port;
    for (const std::string& group : what.m_groups)
    {
        absl::StrAppend(&text, "[group ", group, "]\n");
        for (std::size_t index = 0; index < endpoints_per_group; ++index)
            absl::StrAppend(
                &text, "[endpoint ", group, "-", index + 1,
                "]\ngroup = ", group,
                "\nfailure_domain = ", what.m_failure_domains[index],
                "\naddress = 127.0.0.1:", port++,
                "\nslots = ", what.m_endpoint_slots,
                "\nconnections = ", what.m_endpoint_connections, "\n");
        absl::StrAppend(&text, "[route ", group, "]\ngroup = ", group,
                        "\naccess = keyed\nstaleness = ",
                        absl::ToInt64Milliseconds(what.m_staleness), "ms\n");
    }
    return text;
}

} // namespace magnoliastack::load
