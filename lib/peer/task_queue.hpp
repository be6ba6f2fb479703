// Hands work to the thread of a KJ event loop.
#ifndef MAGNOLIASTACK_LIB_PEER_TASK_QUEUE_HPP
#define MAGNOLIASTACK_LIB_PEER_TASK_QUEUE_HPP

#include "magnoliastack/base/error.hpp"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace magnoliastack::peer
{

// Tasks from any thread, run in order in the loop's thread. A pipe wakes the
// loop, because kj::Executor needs an event loop in the calling thread too.
class task_queue
{
public:
    task_queue();
    ~task_queue();
    task_queue(const task_queue&) = delete;
    task_queue& operator=(const task_queue&) = delete;

    // Queues a task; it is destroyed without a run when the queue has stopped.
    void post(std::function<void()> task);

    // Runs tasks until the promise is destroyed. To be called in the loop's
    // thread, once.
    kj::Promise<void> run(kj::LowLevelAsyncIoProvider& provider);

    // Destroys what is queued and every later task.
    void stop();

private:
    kj::Promise<void> read_next();
    void run_queued();

    absl::Mutex m_mutex;
    std::vector<std::function<void()>> m_tasks ABSL_GUARDED_BY(m_mutex);
    bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
    int m_write_end = -1;
    int m_read_end = -1;
    kj::Own<kj::AsyncInputStream> m_wakeups;
    char m_buffer[64] = {};
};

// A callback that is called exactly once: when it is destroyed before, with
// the error unavailable.
template <typename Value>
class completion
{
public:
    explicit completion(std::function<void(base::result<Value>)> done)
        : m_done(std::move(done))
    {
    }
    ~completion()
    {
        finish(base::fail(base::error_code::unavailable,
                          "the peer node has stopped, the call was not sent "
                          "or its answer was not awaited"));
    }
    completion(const completion&) = delete;
    completion& operator=(const completion&) = delete;

    void finish(base::result<Value> outcome)
    {
        if (auto done = std::exchange(m_done, nullptr))
            done(std::move(outcome));
    }

private:
    std::function<void(base::result<Value>)> m_done;
};

} // namespace magnoliastack::peer

#endif
