#include "magnoliastack/quota/home_hosts.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace magnoliastack::quota
{
namespace
{

std::uint64_t weight(const base::host_id& host,
                     const base::organisation_id& who)
{
    const std::string key = host.str() + '\n' + who.str();
    return XXH64(key.data(), key.size(), 0);
}

} // namespace

home_hosts::home_hosts(base::host_id self, home_options options)
    : m_self(std::move(self)), m_options(options)
{
}

void home_hosts::set_hosts(std::vector<base::host_id> hosts)
{
    if (hosts == m_hosts)
        return;
    m_hosts = std::move(hosts);
    m_homes.clear();
    const auto before = std::exchange(m_home_since, {});
    for (const auto& [who, since] : before)
    {
        const auto& chosen = homes(who);
        if (std::find(chosen.begin(), chosen.end(), m_self) != chosen.end())
            m_home_since[who] = since;
    }
}

double home_hosts::share(const base::organisation_id& who, base::instant now)
{
    const auto& chosen = homes(who);
    if (std::find(chosen.begin(), chosen.end(), m_self) == chosen.end())
        return 0;
    const auto since = m_home_since.try_emplace(who, now).first->second;
    if (m_suspended || now - since < m_options.m_take_over)
        return 0;
    return 1 / static_cast<double>(chosen.size());
}

std::optional<base::host_id>
home_hosts::choose(const base::organisation_id& who, base::instant now)
{
    const auto chosen = homes(who);
    for (std::size_t tried = 0; tried < chosen.size(); ++tried)
    {
        const auto& home = chosen[++m_turn % chosen.size()];
        if (home == m_self)
            continue;
        asked_home& asked = m_asked[{who, home}];
        if (asked.m_asked && now - *asked.m_asked > m_options.m_answer_time)
        {
            asked.m_asked.reset();
            asked.m_not_before = now + m_options.m_silent_pause;
        }
        if (now < asked.m_not_before)
            continue;
        if (!asked.m_asked)
            asked.m_asked = now;
        return home;
    }
    return std::nullopt;
}

void home_hosts::answered(const base::host_id& home,
                          const base::organisation_id& who,
                          std::uint32_t amount, base::instant now)
{
    asked_home& asked = m_asked[{who, home}];
    asked.m_asked.reset();
    asked.m_not_before = amount > 0 ? now : now + m_options.m_pause;
}

const std::vector<base::host_id>&
home_hosts::homes(const base::organisation_id& who)
{
    const auto found = m_homes.find(who);
    if (found != m_homes.end())
        return found->second;
    auto ranked = m_hosts;
    const std::size_t count = std::min(m_options.m_homes, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(),
                      [&who](const auto& one, const auto& other)
                      {
                          return weight(one, who) > weight(other, who);
                      });
    ranked.resize(count);
    return m_homes.emplace(who, std::move(ranked)).first->second;
}

} // namespace magnoliastack::quota
