// Asynchronous gRPC calls in progress, and what they leave when they end.
#ifndef MAGNOLIASTACK_GRPC_CALLS_LIVE_CALLS_HPP
#define MAGNOLIASTACK_GRPC_CALLS_LIVE_CALLS_HPP

#include "absl/synchronization/mutex.h"

#include <memory>
#include <vector>

namespace magnoliastack::grpc_calls
{

// Counts calls, so that their owner can wait for the last callback.
//
// A call's context holds its channel. When the last channel of a process is
// freed on one of gRPC's own threads, gRPC waits there for that same thread and
// then uses a completion queue that it has freed. So a callback hands over what
// it holds, and a thread of the owner frees it.
class live_calls
{
public:
    // A call starts. Frees what ended calls have left, so it may not be called
    // from a gRPC callback.
    void begin();

    // The call has ended; the last action of its callback, which gives up all
    // it holds of the call. Any thread.
    void end(std::shared_ptr<void> remains);

    // Returns when no call is in progress and nothing is left of those that
    // have ended. May not be called from a gRPC callback.
    void wait_for_none();

private:
    absl::Mutex m_mutex;
    int m_count = 0;
    std::vector<std::shared_ptr<void>> m_remains;
};

} // namespace magnoliastack::grpc_calls

#endif
