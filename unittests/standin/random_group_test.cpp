// Randomised run over a group of three with racing promoters, cuts and
// crashes. Every seed gives the same run each time; the failing seed is in
// the message.
#include "simulation.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace magnoliastack;
using namespace magnoliastack::standin;
using rpc::call_outcome;

namespace
{

constexpr std::size_t nodes = 3;
constexpr std::size_t majority = 2;
constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t last_seed = 60;

// What any majority of statuses proves to be committed, from the facts that
// each endpoint showed at some time.
class commit_checker
{
public:
    commit_checker(simulation& group, std::uint64_t seed)
        : m_group(&group), m_seed(seed)
    {
    }

    void observe(std::size_t node)
    {
        const rpc::endpoint_status status = m_group->status(node);
        const base::term term = status.m_accepted_term;
        base::log_position& held = m_held[term][node];
        held = std::max(held, status.m_held.m_position);
        if (status.m_term_start.value() > 0)
            m_term_start[term] = status.m_term_start;
        if (status.m_role == rpc::endpoint_role::primary &&
            m_primary.emplace(term, node).second)
            check_new_primary(node);
        cr_assert(status.m_role != rpc::endpoint_role::primary ||
                      m_primary.at(term) == node,
                  "seed %lu: term %lu has two primaries", m_seed, term.value());
        advance(term, node);
    }

    [[nodiscard]] const std::vector<log_entry>& committed() const
    {
        return m_committed;
    }

    // Terms that began.
    [[nodiscard]] std::size_t terms() const
    {
        return m_primary.size();
    }

    // True when a log begins with all that was committed.
    [[nodiscard]] bool has_committed(std::size_t node) const
    {
        const auto& log = m_group->model(node).log().entries();
        return log.size() >= m_committed.size() &&
               std::equal(m_committed.begin(), m_committed.end(), log.begin());
    }

private:
    // A late promote may still make a primary of an older term than one that
    // has committed entries already; it only needs what older terms committed.
    void check_new_primary(std::size_t node) const
    {
        const base::term term = m_group->status(node).m_accepted_term;
        const auto& log = m_group->model(node).log().entries();
        for (std::size_t index = 0; index < m_committed.size(); ++index)
            cr_assert(
                m_committed_in[index] >= term ||
                    (index < log.size() && log[index] == m_committed[index]),
                "seed %lu: primary of term %lu lacks position %lu, "
                "committed in term %lu",
                m_seed, term.value(), index + 1, m_committed_in[index].value());
    }

    void advance(base::term term, std::size_t node)
    {
        std::vector<base::log_position> held;
        for (const auto& [other, position] : m_held[term])
            held.push_back(position);
        if (held.size() < majority || !m_term_start.contains(term))
            return;
        std::ranges::sort(held, std::greater<>());
        const base::log_position point = held[majority - 1];
        if (point < m_term_start.at(term))
            return;
        // The endpoint that showed the last fact holds the entries up to it.
        // A log only grows within a term, so each entry is compared once.
        const auto& log = m_group->model(node).log().entries();
        std::uint64_t& compared = m_compared[term][node];
        for (; compared < std::min<std::uint64_t>(point.value(), log.size());
             ++compared)
        {
            const std::uint64_t index = compared;
            if (index == m_committed.size())
            {
                m_committed.push_back(log[index]);
                m_committed_in.push_back(term);
            }
            cr_assert(m_committed[index] == log[index],
                      "seed %lu: position %lu was committed twice", m_seed,
                      index + 1);
        }
    }

    simulation* m_group;
    std::uint64_t m_seed;
    std::map<base::term, std::map<std::size_t, base::log_position>> m_held;
    std::map<base::term, std::map<std::size_t, std::uint64_t>> m_compared;
    std::map<base::term, base::log_position> m_term_start;
    std::map<base::term, std::size_t> m_primary;
    std::vector<log_entry> m_committed;
    // The term whose majority proved each committed entry first.
    std::vector<base::term> m_committed_in;
};

// One run.
class random_run
{
public:
    explicit random_run(std::uint64_t seed)
        : m_seed(seed), m_group(nodes, seed,
                                [seed](std::size_t, endpoint_options& options)
                                {
                                    set_options(seed, options);
                                }),
          m_checker(m_group, seed)
    {
        m_group.m_observe = [this](std::size_t node)
        {
            m_checker.observe(node);
        };
    }

    void run()
    {
        client_step();
        fault_step();
        for (const char* host : {"h1", "h2"})
            promoter_step(host);
        m_group.run_for(absl::Seconds(30));
        m_active = false;
        heal();
        // What was on its way when the faults ended still arrives.
        m_group.run_for(absl::Seconds(3));
        promote_once("h1", true);
        m_group.run_for(absl::Seconds(5));
        check_end();
    }

    std::size_t m_committed_writes = 0;
    std::size_t m_terms = 0;

private:
    // Small answers make a replica accept a term with a part of its log;
    // delays leave entries on the way when a seal comes.
    static void set_options(std::uint64_t seed, endpoint_options& options)
    {
        options.m_service_time = absl::Milliseconds(1);
        options.m_pull_entries = seed % 2 == 0 ? 1024 : 2;
        if (seed % 3 == 0)
            options.m_replication_delay = absl::Milliseconds(50);
        if (seed % 5 == 0)
            options.m_apply_delay = absl::Milliseconds(50);
    }

    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(
            m_group.random());
    }

    absl::Duration random_time(absl::Duration longest)
    {
        return absl::Microseconds(static_cast<std::int64_t>(below(
            static_cast<std::uint64_t>(absl::ToInt64Microseconds(longest)))));
    }

    // Sends a write, a repeat or a fence for a recent request to any endpoint
    // that believes it is primary, over a connection of its own that may be
    // closed at any time.
    void client_step()
    {
        if (!m_active)
            return;
        m_group.after(random_time(absl::Milliseconds(6)),
                      [this]
                      {
                          client_step();
                      });
        const std::size_t node = below(nodes);
        if (!m_group.is_up(node) ||
            m_group.status(node).m_role != rpc::endpoint_role::primary)
            return;
        const std::uint64_t term = m_group.status(node).m_accepted_term.value();
        const std::uint64_t connection = ++m_last_connection;
        const std::uint64_t number =
            below(3) == 0 && m_last_request > 0
                ? m_last_request -
                      below(std::min<std::uint64_t>(m_last_request, 20))
                : ++m_last_request;
        const std::uint64_t attempt = below(3);
        const auto id = request(number, static_cast<std::int64_t>(number));
        rpc::call call = add(absl::StrCat("r", number), 1, id, term, attempt);
        if (below(6) == 0)
            call = fence(id, attempt, term);
        m_group.open(node, connection);
        m_group.call(node, connection, 1, call);
        const std::uint64_t life = m_incarnation[node];
        m_group.after(random_time(absl::Milliseconds(60)),
                      [this, node, connection, life]
                      {
                          if (m_group.is_up(node) &&
                              m_incarnation[node] == life)
                              m_group.close(node, connection);
                      });
    }

    void fault_step()
    {
        if (!m_active)
            return;
        m_group.after(random_time(absl::Milliseconds(800)),
                      [this]
                      {
                          fault_step();
                      });
        const std::size_t node = below(nodes);
        const std::size_t other = (node + 1) % nodes;
        switch (below(6))
        {
        case 0:
            if (m_group.is_up(node))
                m_group.crash(node);
            break;
        case 1:
        case 2:
            if (!m_group.is_up(node))
            {
                ++m_incarnation[node];
                m_group.restart(node);
            }
            break;
        case 3:
            m_group.set_cut(node, other, true);
            break;
        case 4:
            m_group.set_cut(node, other, false);
            break;
        default:
            m_group.set_max_delay(below(2) == 0 ? absl::Milliseconds(1)
                                                : absl::Milliseconds(80));
        }
    }

    void promoter_step(const std::string& host)
    {
        if (!m_active)
            return;
        m_group.after(absl::Milliseconds(200) +
                          random_time(absl::Milliseconds(2'000)),
                      [this, host]
                      {
                          promoter_step(host);
                      });
        promote_once(host, false);
    }

    // One attempt after section 7: seal all, promote the best of a majority.
    // Messages are delayed by up to 300 ms or lost, so that attempts of both
    // hosts mix. Both take the same next term, which races them.
    void promote_once(const std::string& host, bool reliable)
    {
        std::uint64_t highest = 0;
        for (std::size_t node = 0; node < nodes; ++node)
            if (m_group.is_up(node))
                highest = std::max(
                    {highest, m_group.status(node).m_accepted_term.value(),
                     m_group.status(node).m_sealed_term.value()});
        // A host must not use a term twice: its second attempt could promote
        // another endpoint than the first one, whose seals it shares.
        const std::uint64_t term =
            std::max(highest + (below(4) == 0 && !reliable ? 0 : 1),
                     m_last_term[host] + 1);
        m_last_term[host] = term;
        auto sealed =
            std::make_shared<std::map<std::size_t, base::log_point>>();
        auto promoted = std::make_shared<bool>(false);
        for (std::size_t node = 0; node < nodes; ++node)
        {
            if (!reliable && below(4) == 0)
                continue;
            const absl::Duration there = random_time(absl::Milliseconds(300));
            const absl::Duration back = random_time(absl::Milliseconds(300));
            m_group.after(
                there,
                [this, node, term, host, back, sealed, promoted]
                {
                    if (!m_group.is_up(node) || !m_group.seal(node, term, host))
                        return;
                    const base::log_point held = m_group.status(node).m_held;
                    m_group.after(back,
                                  [=, this]
                                  {
                                      (*sealed)[node] = held;
                                      if (sealed->size() < majority ||
                                          std::exchange(*promoted, true))
                                          return;
                                      promote_best(term, host, *sealed);
                                  });
                });
        }
    }

    void promote_best(std::uint64_t term, const std::string& host,
                      const std::map<std::size_t, base::log_point>& sealed)
    {
        const auto best = std::ranges::max_element(sealed, {},
                                                   [](const auto& item)
                                                   {
                                                       return item.second;
                                                   });
        m_group.after(random_time(absl::Milliseconds(300)),
                      [this, node = best->first, term, host]
                      {
                          if (m_group.is_up(node))
                              m_group.promote(node, term, host);
                      });
    }

    void heal()
    {
        m_group.set_max_delay(absl::Milliseconds(1));
        for (std::size_t node = 0; node < nodes; ++node)
        {
            m_group.set_cut(node, (node + 1) % nodes, false);
            if (!m_group.is_up(node))
                m_group.restart(node);
        }
    }

    void check_end()
    {
        const auto& log = m_group.model(0).log();
        for (std::size_t node = 0; node < nodes; ++node)
        {
            cr_assert(m_checker.has_committed(node),
                      "seed %lu: e%lu lacks a committed entry", m_seed, node);
            cr_assert(m_group.model(node).log().entries() == log.entries(),
                      "seed %lu: the log of e%lu differs", m_seed, node);
        }
        // Each request adds 1 to a row of its own.
        for (const auto& [key, value] : log.rows())
            cr_assert_eq(value, "1", "seed %lu: %s ran %s times", m_seed,
                         key.c_str(), value.c_str());
        check_answers();
        m_terms = m_checker.terms();
        for (const log_entry& entry : m_checker.committed())
            m_committed_writes += entry.m_record && !entry.m_record->m_fence;
    }

    // An answer whose point was committed must agree with the log's end.
    void check_answers() const
    {
        const auto& log = final_log();
        for (const endpoint_action& action : m_group.m_seen)
        {
            const auto* part = std::get_if<send_part>(&action);
            if (part == nullptr || !part->m_write || !part->m_part.m_end)
                continue;
            const rpc::call_end& end = *part->m_part.m_end;
            if (end.m_outcome != call_outcome::done || end.m_repeated)
                continue;
            const std::uint64_t position = end.m_point.m_position.value();
            const auto& committed = m_checker.committed();
            if (position > committed.size() ||
                committed[position - 1].m_point != end.m_point)
                continue;
            cr_assert(log[position - 1].m_record->m_rows == part->m_part.m_rows,
                      "seed %lu: an acknowledged write is gone", m_seed);
        }
    }

    [[nodiscard]] const std::vector<log_entry>& final_log() const
    {
        return const_cast<simulation&>(m_group).model(0).log().entries();
    }

    std::uint64_t m_seed;
    simulation m_group;
    commit_checker m_checker;
    bool m_active = true;
    std::uint64_t m_last_connection = 0;
    std::uint64_t m_last_request = 0;
    std::map<std::size_t, std::uint64_t> m_incarnation;
    std::map<std::string, std::uint64_t> m_last_term;
};

} // namespace

// Guards against a committed write that is lost or run twice under faults.
Test(random_group, committed_writes_are_in_every_later_primary, .timeout = 240)
{
    std::size_t writes = 0;
    std::size_t terms = 0;
    for (std::uint64_t seed = first_seed; seed <= last_seed; ++seed)
    {
        random_run run(seed);
        run.run();
        writes += run.m_committed_writes;
        terms += run.m_terms;
    }
    // The run must reach the states that it is about.
    cr_assert_gt(writes, 10'000u);
    cr_assert_gt(terms, 5 * (last_seed - first_seed + 1));
}
