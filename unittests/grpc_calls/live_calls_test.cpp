#include "magnoliastack/grpc_calls/live_calls.hpp"

#include <memory>
#include <thread>

#include <criterion/criterion.h>

using magnoliastack::grpc_calls::live_calls;

namespace
{

// Notes the thread that frees it.
struct call
{
    explicit call(std::thread::id& freed_by) : m_freed_by(freed_by)
    {
    }
    ~call()
    {
        m_freed_by = std::this_thread::get_id();
    }
    call(const call&) = delete;
    call& operator=(const call&) = delete;

    std::thread::id& m_freed_by;
};

} // namespace

// Guards against gRPC's abort "prior > 0": a callback freed the last channel
// of the process on gRPC's own thread (1 of 600 runs of unit.standin_server).
Test(live_calls, the_owner_frees_what_a_callback_held)
{
    live_calls calls;
    std::thread::id freed_by;
    calls.begin();
    std::thread callback(
        [&calls, held = std::make_shared<call>(freed_by)]() mutable
        {
            calls.end(std::move(held));
        });
    calls.wait_for_none();
    cr_assert(freed_by == std::this_thread::get_id());
    callback.join();
}

// Guards against memory that grows with the number of calls.
Test(live_calls, a_new_call_frees_what_ended_ones_left)
{
    live_calls calls;
    std::thread::id freed_by;
    calls.begin();
    calls.end(std::make_shared<call>(freed_by));
    cr_assert(freed_by == std::thread::id());
    calls.begin();
    cr_assert(freed_by == std::this_thread::get_id());
    calls.end(nullptr);
}
