#include "work_loop.hpp"

#include "absl/time/time.h"

#include <algorithm>
#include <utility>

namespace magnoliastack::standin_server
{

work_loop::work_loop(after_work_function after_work)
    : m_after_work(std::move(after_work)), m_thread(
                                               [this]
                                               {
                                                   run();
                                               })
{
}

work_loop::~work_loop()
{
    stop();
}

void work_loop::post(work item)
{
    {
        const std::lock_guard lock(m_mutex);
        m_posted.push_back(std::move(item));
    }
    m_changed.notify_one();
}

void work_loop::post_at(base::instant when, work item)
{
    {
        const std::lock_guard lock(m_mutex);
        m_timed.emplace(when, std::move(item));
    }
    m_changed.notify_one();
}

void work_loop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_one();
    if (m_thread.joinable())
        m_thread.join();
}

void work_loop::run()
{
    std::optional<base::instant> wake = m_clock.now();
    std::unique_lock lock(m_mutex);
    while (!m_stopping)
    {
        base::instant now = m_clock.now();
        std::optional<base::instant> until = wake;
        if (!m_timed.empty() && (!until || m_timed.begin()->first < *until))
            until = m_timed.begin()->first;
        if (m_posted.empty() && (!until || *until > now))
        {
            // Without a timer the wait is bounded only to keep one call.
            const absl::Duration wait = until ? *until - now : absl::Seconds(1);
            m_changed.wait_for(lock, absl::ToChronoNanoseconds(wait));
            continue;
        }
        std::deque<work> ready = std::exchange(m_posted, {});
        while (!m_timed.empty() && m_timed.begin()->first <= now)
            ready.push_back(
                std::move(m_timed.extract(m_timed.begin()).mapped()));
        lock.unlock();
        for (work& item : ready)
            item(now);
        ready.clear();
        wake = m_after_work(m_clock.now());
        lock.lock();
    }
}

} // namespace magnoliastack::standin_server
