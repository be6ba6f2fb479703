#include "magnoliastack/proxy/event_loop.hpp"

#include <ctime>
#include <utility>

namespace magnoliastack::proxy
{

namespace
{

std::int64_t thread_processor_nanoseconds()
{
    timespec value{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return value.tv_sec * 1'000'000'000 + value.tv_nsec;
}

} // namespace

event_loop::event_loop(std::function<void()> tick, absl::Duration interval)
    : m_tick(std::move(tick)), m_interval(interval)
{
}

event_loop::~event_loop()
{
    stop();
}

void event_loop::start()
{
    m_thread = std::thread(
        [this]
        {
            run();
        });
}

void event_loop::post(task what)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_stopping)
        return;
    m_tasks.push_back(std::move(what));
}

void event_loop::stop()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    if (m_thread.joinable())
        m_thread.join();
}

absl::Duration event_loop::processor_time() const
{
    return absl::Nanoseconds(m_processor_nanoseconds.load());
}

void event_loop::run()
{
    base::instant next_tick = m_clock.now() + m_interval;
    std::vector<task> batch;
    const auto has_work = [this]
    {
        return m_stopping || !m_tasks.empty();
    };
    bool stopping = false;
    while (!stopping)
    {
        const absl::Duration pause = next_tick - m_clock.now();
        m_mutex.LockWhenWithTimeout(absl::Condition(&has_work), pause);
        batch.swap(m_tasks);
        stopping = m_stopping;
        m_mutex.Unlock();

        for (task& item : batch)
            item();
        batch.clear();

        const base::instant now = m_clock.now();
        if (now < next_tick)
            continue;
        m_tick();
        // A late loop skips ticks instead of running them in a burst.
        next_tick = m_clock.now() + m_interval;
        m_processor_nanoseconds.store(thread_processor_nanoseconds());
    }
}

} // namespace magnoliastack::proxy
