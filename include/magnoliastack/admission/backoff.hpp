// Exponential backoff with full jitter.
#ifndef MAGNOLIASTACK_ADMISSION_BACKOFF_HPP
#define MAGNOLIASTACK_ADMISSION_BACKOFF_HPP

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

namespace magnoliastack::admission
{

// Range of the delays.
struct backoff_options
{
    absl::Duration m_first = absl::Milliseconds(10);
    absl::Duration m_largest = absl::Milliseconds(500);
};

// Delays between the tries of one piece of work.
class backoff
{
public:
    explicit backoff(backoff_options options = {});

    // The next delay: uniform between zero and a limit that doubles from
    // m_first to m_largest.
    absl::Duration next(absl::BitGenRef random);

    // Starts again at the first limit, after a success.
    void reset();

private:
    backoff_options m_options;
    absl::Duration m_limit;
};

} // namespace magnoliastack::admission

#endif
