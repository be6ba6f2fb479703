#include "magnoliastack/standin/platform_model.hpp"

#include "magnoliastack/base/invariant.hpp"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <openssl/evp.h>

#include <array>

namespace magnoliastack::standin
{

namespace
{

// Announcements older than this beyond the lag cannot be shown any more, as
// long as the lag is raised by less.
constexpr absl::Duration history = absl::Seconds(60);

} // namespace

platform_model::platform_model(platform_options options) : m_options(options)
{
}

call_fate platform_model::fate_of(const std::string& host) const
{
    return {m_outage, m_cut.contains(host), m_delay};
}

bool platform_model::swap_answer_lost()
{
    if (m_drop_swaps == 0)
        return false;
    --m_drop_swaps;
    return true;
}

rpc::row_state platform_model::read_row(const std::string& key)
{
    ++m_reads;
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? rpc::row_state{} : found->second;
}

rpc::swap_outcome platform_model::compare_and_swap(
    const std::string& key, std::uint64_t expected_version, std::string value)
{
    ++m_writes;
    const auto found = m_rows.find(key);
    const std::uint64_t version =
        found == m_rows.end() ? 0 : found->second.m_version;
    if (version != expected_version)
        return {false,
                found == m_rows.end() ? rpc::row_state{} : found->second};
    rpc::row_state& row = m_rows[key];
    MAGNOLIASTACK_INVARIANT(row.m_version == expected_version,
                            "a row's version rises by one with each swap");
    row = {expected_version + 1, std::move(value)};
    return {true, row};
}

base::result<bool> platform_model::put_object(const std::string& name,
                                              std::string content)
{
    const std::string hash = sha256_hex(content);
    if (name != hash)
        return base::fail(base::error_code::invalid_argument,
                          absl::StrCat("object name is \"", name,
                                       "\", expected the SHA-256 ", hash));
    ++m_writes;
    m_objects.emplace(name, std::move(content));
    return true;
}

std::optional<std::string> platform_model::get_object(const std::string& name)
{
    ++m_reads;
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
        return std::nullopt;
    return found->second;
}

void platform_model::announce(const rpc::listed_host& host, bool gone,
                              base::instant now)
{
    m_announcements[host.m_host].push_back({now, host, gone});
    forget_old(now);
}

rpc::host_list platform_model::list_hosts(base::instant now)
{
    const base::instant shown = now - m_options.m_list_lag;
    rpc::host_list list;
    for (const auto& [host, history_of_host] : m_announcements)
    {
        const announcement* last = nullptr;
        for (const announcement& item : history_of_host)
            if (item.m_at <= shown)
                last = &item;
        if (last != nullptr && !last->m_gone &&
            shown - last->m_at < m_options.m_announce_bound)
            list.m_hosts.push_back(last->m_host);
    }
    for (const auto& [at, endpoints] : m_leaving_endpoints)
        if (at <= shown)
            list.m_leaving_endpoints = endpoints;
    return list;
}

void platform_model::set_outage(bool outage)
{
    m_outage = outage;
}

void platform_model::set_delay(absl::Duration delay)
{
    m_delay = delay;
}

void platform_model::set_drop_swap_answers(std::uint32_t count)
{
    m_drop_swaps = count;
}

void platform_model::set_list_lag(absl::Duration lag)
{
    m_options.m_list_lag = lag;
}

void platform_model::set_cut(std::set<std::string> hosts)
{
    m_cut = std::move(hosts);
}

void platform_model::set_leaving_endpoints(
    std::vector<base::endpoint_id> endpoints, base::instant now)
{
    m_leaving_endpoints.emplace_back(now, std::move(endpoints));
    forget_old(now);
}

std::uint64_t platform_model::reads() const
{
    return m_reads;
}

std::uint64_t platform_model::writes() const
{
    return m_writes;
}

void platform_model::forget_old(base::instant now)
{
    const base::instant oldest = now - m_options.m_list_lag - history;
    // The newest item before the oldest instant still counts.
    for (auto& [host, items] : m_announcements)
        while (items.size() > 1 && items[1].m_at <= oldest)
            items.pop_front();
    while (m_leaving_endpoints.size() > 1 &&
           m_leaving_endpoints[1].first <= oldest)
        m_leaving_endpoints.pop_front();
}

std::string sha256_hex(const std::string& text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    const int done = EVP_Digest(text.data(), text.size(), digest.data(), &size,
                                EVP_sha256(), nullptr);
    MAGNOLIASTACK_INVARIANT(done == 1, "SHA-256 is available");
    // The bytes of a digest as text for the hex encoder.
    std::string bytes(digest.begin(), digest.begin() + size);
    return absl::BytesToHexString(bytes);
}

} // namespace magnoliastack::standin
