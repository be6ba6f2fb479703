// Bounded queues by organisation, served by deficit round robin.
#ifndef MAGNOLIASTACK_ADMISSION_FAIR_QUEUE_HPP
#define MAGNOLIASTACK_ADMISSION_FAIR_QUEUE_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/refusal.hpp"
#include "magnoliastack/base/time.hpp"

#include "absl/container/flat_hash_map.h"
#include "tl/expected.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace magnoliastack::admission
{

// Bounds of a fair queue.
struct fair_queue_options
{
    // Waiting items of one organisation.
    std::size_t m_bound = 256;
    // Cost that an organisation may spend in one round.
    std::uint64_t m_quantum = 1;
    // Cost of one item is clamped to this, so that pop visits each queue a
    // bounded number of times.
    std::uint64_t m_largest_cost = 100;
};

// Holds work that waits for an endpoint. Each organisation with waiting work
// gets the same cost per round, whatever the length of its queue.
template <typename Item>
class fair_queue
{
public:
    // An item and whose it is.
    struct entry
    {
        base::organisation_id m_organisation;
        Item m_item;
    };

    explicit fair_queue(fair_queue_options options = {}) : m_options(options)
    {
    }

    // Adds an item. Refused as queue_full when the organisation has reached
    // its bound and as deadline_exceeded when the deadline has passed; the
    // item then was not taken.
    tl::expected<void, base::refusal_reason>
    push(const base::organisation_id& organisation, Item item,
         base::instant deadline, std::uint64_t cost, base::instant now)
    {
        if (deadline <= now)
            return tl::make_unexpected(base::refusal_reason::deadline_exceeded);
        auto& queue = m_queues[organisation];
        if (queue.m_items.size() >= m_options.m_bound)
            return tl::make_unexpected(base::refusal_reason::queue_full);
        if (!std::exchange(queue.m_in_round, true))
            m_active.push_back(organisation);
        const std::uint64_t bounded =
            std::clamp<std::uint64_t>(cost, 1, m_options.m_largest_cost);
        queue.m_items.push_back({std::move(item), deadline, bounded});
        queue.m_cost += bounded;
        ++m_size;
        m_next_deadline =
            m_next_deadline ? std::min(*m_next_deadline, deadline) : deadline;
        return {};
    }

    // Takes the next item in turn whose deadline has not passed.
    std::optional<entry> pop(base::instant now)
    {
        return pop(
            [](const base::organisation_id&)
            {
                return true;
            },
            now);
    }

    // The same, passing over organisations for which `may_run` is false, such
    // as one without a token. They keep their turn's deficit.
    template <typename Predicate>
    std::optional<entry> pop(Predicate may_run, base::instant now)
    {
        std::size_t passed_over = 0;
        while (passed_over < m_active.size())
        {
            const base::organisation_id organisation = m_active.front();
            auto& queue = m_queues[organisation];
            drop_expired_head(organisation, queue, now);
            if (queue.m_items.empty())
            {
                retire_front();
                continue;
            }
            if (!may_run(organisation))
            {
                rotate();
                ++passed_over;
                continue;
            }
            if (!m_front_credited)
            {
                queue.m_deficit += m_options.m_quantum;
                m_front_credited = true;
            }
            if (queue.m_items.front().m_cost > queue.m_deficit)
            {
                rotate();
                passed_over = 0;
                continue;
            }
            return take_front(organisation, queue);
        }
        return std::nullopt;
    }

    // Returns the items whose deadline has passed, each once; the caller
    // refuses them.
    std::vector<entry> expire(base::instant now)
    {
        if (m_next_deadline && now >= *m_next_deadline)
        {
            m_next_deadline.reset();
            for (auto& [organisation, queue] : m_queues)
                sweep(organisation, queue, now);
        }
        return std::exchange(m_expired, {});
    }

    // Cost that is served before a new item of `organisation`: its own queue
    // and as many rounds of the others, as far as they have work.
    [[nodiscard]] std::uint64_t
    cost_ahead(const base::organisation_id& organisation) const
    {
        const auto own = m_queues.find(organisation);
        const std::uint64_t own_cost =
            own == m_queues.end() ? 0 : own->second.m_cost;
        std::uint64_t total = own_cost;
        for (const auto& [other, queue] : m_queues)
            if (other != organisation)
                total += std::min(queue.m_cost, own_cost + m_options.m_quantum);
        return total;
    }

    // Waiting items of one organisation.
    [[nodiscard]] std::size_t
    size(const base::organisation_id& organisation) const
    {
        const auto found = m_queues.find(organisation);
        return found == m_queues.end() ? 0 : found->second.m_items.size();
    }

    // Waiting items of all organisations.
    [[nodiscard]] std::size_t size() const
    {
        return m_size;
    }

private:
    struct waiting
    {
        Item m_item;
        base::instant m_deadline;
        std::uint64_t m_cost = 1;
    };
    struct organisation_queue
    {
        std::deque<waiting> m_items;
        std::uint64_t m_cost = 0;
        std::uint64_t m_deficit = 0;
        // Listed in m_active; an emptied queue stays there until pop sees it.
        bool m_in_round = false;
    };

    void rotate()
    {
        m_active.push_back(m_active.front());
        m_active.pop_front();
        m_front_credited = false;
    }

    // An organisation without work leaves the round and keeps no deficit;
    // saved deficits would let it overtake the others later.
    void retire_front()
    {
        m_queues.erase(m_active.front());
        m_active.pop_front();
        m_front_credited = false;
    }

    void drop_expired_head(const base::organisation_id& organisation,
                           organisation_queue& queue, base::instant now)
    {
        while (!queue.m_items.empty() &&
               queue.m_items.front().m_deadline <= now)
        {
            m_expired.push_back(
                {organisation, std::move(queue.m_items.front().m_item)});
            remove_head(queue);
        }
    }

    void remove_head(organisation_queue& queue)
    {
        queue.m_cost -= queue.m_items.front().m_cost;
        queue.m_items.pop_front();
        --m_size;
    }

    std::optional<entry> take_front(const base::organisation_id& organisation,
                                    organisation_queue& queue)
    {
        queue.m_deficit -= queue.m_items.front().m_cost;
        entry taken{organisation, std::move(queue.m_items.front().m_item)};
        remove_head(queue);
        if (queue.m_items.empty())
            retire_front();
        return taken;
    }

    void sweep(const base::organisation_id& organisation,
               organisation_queue& queue, base::instant now)
    {
        std::deque<waiting> kept;
        for (auto& item : queue.m_items)
        {
            if (item.m_deadline <= now)
            {
                queue.m_cost -= item.m_cost;
                --m_size;
                m_expired.push_back({organisation, std::move(item.m_item)});
                continue;
            }
            m_next_deadline = m_next_deadline
                                  ? std::min(*m_next_deadline, item.m_deadline)
                                  : item.m_deadline;
            kept.push_back(std::move(item));
        }
        queue.m_items = std::move(kept);
    }

    fair_queue_options m_options;
    absl::flat_hash_map<base::organisation_id, organisation_queue> m_queues;
    std::deque<base::organisation_id> m_active;
    bool m_front_credited = false;
    std::size_t m_size = 0;
    std::optional<base::instant> m_next_deadline;
    std::vector<entry> m_expired;
};

} // namespace magnoliastack::admission

#endif
