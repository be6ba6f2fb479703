#include "magnoliastack/group/freshness_tracker.hpp"

#include "absl/time/time.h"

#include <algorithm>

namespace magnoliastack::group
{

namespace
{

// Rounds that wait for answers: 3.2 s of them at one round every 50 ms.
constexpr std::size_t max_open_rounds = 64;

// Proven rounds that are kept in full, and those kept after thinning.
constexpr std::size_t dense_rounds = 32;
constexpr std::size_t max_proven_rounds = 128;

// Between older rounds, gaps of this part of their age are allowed, so that
// the history covers minutes and a bound is proven at most an eighth late.
constexpr int gap_divisor = 8;

} // namespace

freshness_tracker::freshness_tracker(std::size_t member_count)
    : m_majority(member_count / 2 + 1)
{
}

void freshness_tracker::round_begun(base::round_number round, base::instant now)
{
    m_open.push_back({round, now, {}});
    if (m_open.size() > max_open_rounds)
        m_open.pop_front();
}

void freshness_tracker::status_received(base::round_number round,
                                        const rpc::endpoint_status& status)
{
    const report entry{status.m_accepted_term, status.m_held.m_position,
                       status.m_sealed_term > status.m_accepted_term};
    for (auto open = m_open.begin();
         open != m_open.end() && open->m_round <= round;)
    {
        open->m_reports[status.m_endpoint] = entry;
        const auto proven = evaluate(*open);
        if (!proven)
        {
            ++open;
            continue;
        }
        add(*proven);
        open = m_open.erase(open);
    }
}

std::optional<proven_round>
freshness_tracker::evaluate(const open_round& round) const
{
    base::term highest;
    for (const auto& [endpoint, entry] : round.m_reports)
        highest = std::max(highest, entry.m_accepted);
    std::size_t agreeing = 0;
    base::log_position held;
    for (const auto& [endpoint, entry] : round.m_reports)
    {
        if (entry.m_accepted != highest || entry.m_sealed_higher)
            continue;
        ++agreeing;
        held = std::max(held, entry.m_held);
    }
    if (agreeing < m_majority || highest == base::term())
        return std::nullopt;
    return proven_round{round.m_sent_at, highest, held};
}

void freshness_tracker::add(proven_round round)
{
    // Proofs of an older term are of no use: no endpoint of that term is read.
    std::erase_if(m_proven,
                  [&](const proven_round& old)
                  {
                      return old.m_term < round.m_term;
                  });
    if (!m_proven.empty() && round.m_term < m_proven.back().m_term)
        return;
    // A later round that asks for no more replaces the earlier one.
    std::erase_if(m_proven,
                  [&](const proven_round& old)
                  {
                      return old.m_sent_at <= round.m_sent_at &&
                             old.m_position >= round.m_position;
                  });
    const auto place = std::ranges::upper_bound(m_proven, round.m_sent_at, {},
                                                &proven_round::m_sent_at);
    m_proven.insert(place, round);
    thin();
}

void freshness_tracker::thin()
{
    if (m_proven.size() <= dense_rounds)
        return;
    const base::instant now = m_proven.back().m_sent_at;
    std::size_t index = 1;
    while (index + dense_rounds < m_proven.size())
    {
        const proven_round& before = m_proven[index - 1];
        const proven_round& after = m_proven[index + 1];
        if (after.m_sent_at - before.m_sent_at <=
            (now - after.m_sent_at) / gap_divisor)
            m_proven.erase(m_proven.begin() +
                           static_cast<std::ptrdiff_t>(index));
        else
            ++index;
    }
    if (m_proven.size() > max_proven_rounds)
        m_proven.pop_front();
}

std::optional<base::instant>
freshness_tracker::fresh_as_of(base::log_point point) const
{
    // Positions rise with the send time, see add().
    for (auto round = m_proven.rbegin(); round != m_proven.rend(); ++round)
    {
        if (round->m_term == point.m_term &&
            round->m_position <= point.m_position)
            return round->m_sent_at;
    }
    return std::nullopt;
}

std::optional<proven_round> freshness_tracker::newest(base::term target) const
{
    if (m_proven.empty() || m_proven.back().m_term != target)
        return std::nullopt;
    return m_proven.back();
}

std::optional<base::instant>
freshness_tracker::written_by(base::log_point point) const
{
    for (const proven_round& round : m_proven)
    {
        if (round.m_term == point.m_term &&
            round.m_position >= point.m_position)
            return round.m_sent_at;
    }
    return std::nullopt;
}

} // namespace magnoliastack::group
