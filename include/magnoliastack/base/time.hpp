// Monotonic time that counts suspend time, and the clock that gives it.
#ifndef MAGNOLIASTACK_BASE_TIME_HPP
#define MAGNOLIASTACK_BASE_TIME_HPP

#include "absl/time/time.h"

#include <compare>
#include <cstdint>

namespace magnoliastack::base
{

// A point on the host's boot-time clock. Instants of different hosts are not
// comparable.
class instant
{
public:
    constexpr instant() = default;

    // The point that lies `nanoseconds` after the clock's origin.
    static constexpr instant from_nanoseconds(std::int64_t nanoseconds)
    {
        instant result;
        result.m_nanoseconds = nanoseconds;
        return result;
    }

    [[nodiscard]] constexpr std::int64_t nanoseconds() const
    {
        return m_nanoseconds;
    }

    constexpr auto operator<=>(const instant&) const = default;

    friend instant operator+(instant point, absl::Duration span)
    {
        return from_nanoseconds(point.m_nanoseconds +
                                absl::ToInt64Nanoseconds(span));
    }
    friend instant operator-(instant point, absl::Duration span)
    {
        return point + (-span);
    }
    friend absl::Duration operator-(instant later, instant earlier)
    {
        return absl::Nanoseconds(later.m_nanoseconds - earlier.m_nanoseconds);
    }

private:
    std::int64_t m_nanoseconds = 0;
};

// Source of time; mocked in tests.
class clock
{
public:
    virtual ~clock() = default;

    // The present instant, on a clock that goes on while the host sleeps.
    [[nodiscard]] virtual instant now() const = 0;

    // Wall time in milliseconds since the Unix epoch. Only used to check the
    // issue time of request ids, never for a lease.
    [[nodiscard]] virtual std::int64_t unix_ms() const = 0;
};

// The operating system's clock (CLOCK_BOOTTIME and CLOCK_REALTIME).
class system_clock final : public clock
{
public:
    [[nodiscard]] instant now() const override;
    [[nodiscard]] std::int64_t unix_ms() const override;
};

} // namespace magnoliastack::base

#endif
