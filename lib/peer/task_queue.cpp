#include "task_queue.hpp"

#include "magnoliastack/base/invariant.hpp"

#include <kj/exception.h>

#include <fcntl.h>
#include <unistd.h>

namespace magnoliastack::peer
{

task_queue::task_queue()
{
    int ends[2] = {-1, -1};
    const int made = pipe2(ends, O_NONBLOCK | O_CLOEXEC);
    MAGNOLIASTACK_INVARIANT(made == 0, "the process can open a pipe");
    m_read_end = ends[0];
    m_write_end = ends[1];
}

task_queue::~task_queue()
{
    close(m_read_end);
    close(m_write_end);
}

void task_queue::post(std::function<void()> task)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_stopped)
    {
        // Destroyed by the caller, after the lock is released.
        return;
    }
    m_tasks.push_back(std::move(task));
    const char wakeup = 0;
    // A full pipe wakes the loop as well.
    static_cast<void>(!write(m_write_end, &wakeup, 1));
}

kj::Promise<void> task_queue::run(kj::LowLevelAsyncIoProvider& provider)
{
    m_wakeups = provider.wrapInputFd(
        m_read_end, kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK |
                        kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC);
    return read_next();
}

kj::Promise<void> task_queue::read_next()
{
    return m_wakeups->tryRead(m_buffer, 1, sizeof(m_buffer))
        .then(
            [this](std::size_t) -> kj::Promise<void>
            {
                run_queued();
                return read_next();
            });
}

void task_queue::run_queued()
{
    std::vector<std::function<void()>> tasks;
    {
        const absl::MutexLock lock(&m_mutex);
        tasks.swap(m_tasks);
    }
    for (const std::function<void()>& task : tasks)
    {
        // A task that fails loses its call, whose completion reports it; the
        // loop goes on.
        static_cast<void>(kj::runCatchingExceptions(
            [&]()
            {
                task();
            }));
    }
}

void task_queue::stop()
{
    m_wakeups = nullptr;
    std::vector<std::function<void()>> tasks;
    const absl::MutexLock lock(&m_mutex);
    m_stopped = true;
    tasks.swap(m_tasks);
}

} // namespace magnoliastack::peer
