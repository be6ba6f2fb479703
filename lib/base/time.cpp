#include "magnoliastack/base/time.hpp"

#include <ctime>

namespace magnoliastack::base
{

instant system_clock::now() const
{
    // CLOCK_MONOTONIC stops during suspend, which would let a lease outlive
    // its end.
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return instant::from_nanoseconds(value.tv_sec * 1'000'000'000 +
                                     value.tv_nsec);
}

std::int64_t system_clock::unix_ms() const
{
    timespec value{};
    clock_gettime(CLOCK_REALTIME, &value);
    return value.tv_sec * 1'000 + value.tv_nsec / 1'000'000;
}

} // namespace magnoliastack::base
