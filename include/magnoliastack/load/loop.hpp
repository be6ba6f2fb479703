// One thread that runs posted work and timers of the load tool.
#ifndef MAGNOLIASTACK_LOAD_LOOP_HPP
#define MAGNOLIASTACK_LOAD_LOOP_HPP

#include "magnoliastack/base/time.hpp"

#include "absl/synchronization/mutex.h"

#include <functional>
#include <map>

namespace magnoliastack::load
{

// Work may be added from any thread; it runs in the thread that calls run.
class loop
{
public:
    using work = std::function<void()>;

    void post(work what);
    void at(base::instant when, work what);
    void after(absl::Duration delay, work what);

    // Runs work until `done` holds or `until` has passed. Returns whether it
    // holds.
    bool run(const std::function<bool()>& done, base::instant until);

    [[nodiscard]] base::instant now() const;

private:
    base::system_clock m_clock;
    absl::Mutex m_mutex;
    std::multimap<base::instant, work> m_work;
};

} // namespace magnoliastack::load

#endif
