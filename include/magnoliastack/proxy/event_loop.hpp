// The thread that owns all decision state of a proxy.
#ifndef MAGNOLIASTACK_PROXY_EVENT_LOOP_HPP
#define MAGNOLIASTACK_PROXY_EVENT_LOOP_HPP

#include "magnoliastack/base/time.hpp"

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <thread>
#include <vector>

namespace magnoliastack::proxy
{

// Runs posted tasks in order on one thread and a tick at a fixed interval.
class event_loop
{
public:
    using task = std::function<void()>;

    // `tick` runs on the loop's thread every `interval`.
    event_loop(std::function<void()> tick, absl::Duration interval);
    ~event_loop();

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Starts the thread.
    void start();

    // Runs the task on the loop's thread. Dropped after stop.
    void post(task what);

    // Runs the tasks posted so far and ends the thread. Not from the loop.
    void stop();

    // Processor time that the loop's thread has used.
    [[nodiscard]] absl::Duration processor_time() const;

private:
    void run();

    std::function<void()> m_tick;
    absl::Duration m_interval;
    base::system_clock m_clock;
    absl::Mutex m_mutex;
    std::vector<task> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
    std::atomic<std::int64_t> m_processor_nanoseconds{0};
};

} // namespace magnoliastack::proxy

#endif
