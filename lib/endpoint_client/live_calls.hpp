// Counts calls in progress, so that a link can wait for the last callback.
#ifndef MAGNOLIASTACK_LIB_ENDPOINT_CLIENT_LIVE_CALLS_HPP
#define MAGNOLIASTACK_LIB_ENDPOINT_CLIENT_LIVE_CALLS_HPP

#include "absl/synchronization/mutex.h"

namespace magnoliastack::endpoint_client
{

// A counter that can be waited on to reach zero.
class live_calls
{
public:
    void begin()
    {
        const absl::MutexLock lock(&m_mutex);
        ++m_count;
    }
    void end()
    {
        const absl::MutexLock lock(&m_mutex);
        --m_count;
    }
    void wait_for_none()
    {
        const auto none = [this]
        {
            return m_count == 0;
        };
        m_mutex.LockWhen(absl::Condition(&none));
        m_mutex.Unlock();
    }

private:
    absl::Mutex m_mutex;
    int m_count = 0;
};

} // namespace magnoliastack::endpoint_client

#endif
