// A thread that runs posted work and timers in order.
#ifndef MAGNOLIASTACK_STANDIN_SERVER_WORK_LOOP_HPP
#define MAGNOLIASTACK_STANDIN_SERVER_WORK_LOOP_HPP

#include "magnoliastack/base/time.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace magnoliastack::standin_server
{

// Runs all work on one thread, so that the models need no locks. After each
// round of work `after_work` runs and says when it wants to run next.
class work_loop
{
public:
    using work = std::function<void(base::instant now)>;
    using after_work_function =
        std::function<std::optional<base::instant>(base::instant now)>;

    explicit work_loop(after_work_function after_work);
    ~work_loop();
    work_loop(const work_loop&) = delete;
    work_loop& operator=(const work_loop&) = delete;

    // Runs work as soon as possible, after what was posted before.
    void post(work item);

    // Runs work at an instant.
    void post_at(base::instant when, work item);

    // Ends the thread; work posted later never runs.
    void stop();

private:
    void run();

    after_work_function m_after_work;
    base::system_clock m_clock;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<work> m_posted;
    std::multimap<base::instant, work> m_timed;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace magnoliastack::standin_server

#endif
