#include "magnoliastack/grpc_calls/live_calls.hpp"

#include <utility>

namespace magnoliastack::grpc_calls
{

void live_calls::begin()
{
    std::vector<std::shared_ptr<void>> remains;
    const absl::MutexLock lock(&m_mutex);
    ++m_count;
    remains.swap(m_remains);
}

void live_calls::end(std::shared_ptr<void> remains)
{
    const absl::MutexLock lock(&m_mutex);
    m_remains.push_back(std::move(remains));
    --m_count;
}

void live_calls::wait_for_none()
{
    const auto none = [this]
    {
        return m_count == 0;
    };
    std::vector<std::shared_ptr<void>> remains;
    m_mutex.LockWhen(absl::Condition(&none));
    remains.swap(m_remains);
    m_mutex.Unlock();
}

} // namespace magnoliastack::grpc_calls
