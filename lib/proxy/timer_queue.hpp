// Functions to run at an instant, on the event loop.
#ifndef MAGNOLIASTACK_LIB_PROXY_TIMER_QUEUE_HPP
#define MAGNOLIASTACK_LIB_PROXY_TIMER_QUEUE_HPP

#include "magnoliastack/base/time.hpp"

#include "absl/container/btree_map.h"

#include <functional>
#include <utility>

namespace magnoliastack::proxy
{

// Ordered by time; cancellation is left to the functions, which hold weak
// pointers.
class timer_queue
{
public:
    void schedule(base::instant at, std::function<void()> what)
    {
        m_timers.emplace(at, std::move(what));
    }

    // Drops all timers.
    void clear()
    {
        m_timers.clear();
    }

    // Runs everything that is due, also what is scheduled meanwhile.
    void run_due(base::instant now)
    {
        while (!m_timers.empty() && m_timers.begin()->first <= now)
        {
            const std::function<void()> what =
                std::move(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
            what();
        }
    }

private:
    absl::btree_multimap<base::instant, std::function<void()>> m_timers;
};

} // namespace magnoliastack::proxy

#endif
