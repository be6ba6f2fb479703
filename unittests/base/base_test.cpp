#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/refusal.hpp"
#include "magnoliastack/base/time.hpp"

#include <set>

#include <criterion/criterion.h>

namespace base = magnoliastack::base;

// Guards against a reason added to the enum without a name of its own.
Test(refusal, every_reason_has_a_distinct_name)
{
    std::set<std::string_view> names;
    for (int index = 0; index < base::refusal_reason_count; ++index)
        names.insert(base::to_string(static_cast<base::refusal_reason>(index)));
    cr_assert_eq(names.size(),
                 static_cast<std::size_t>(base::refusal_reason_count));
}

// Guards against comparing positions before terms: a replica of an older term
// may have a higher position and still lack the write.
Test(log_point, a_higher_term_orders_before_any_position)
{
    const base::log_point old_term{base::term(1), base::log_position(90)};
    const base::log_point new_term{base::term(2), base::log_position(10)};
    cr_assert(old_term < new_term);
}

// Guards against a lost sign or unit in instant arithmetic, on which every
// lease depends.
Test(instant, subtraction_inverts_addition)
{
    const auto start = base::instant::from_nanoseconds(5'000);
    const auto later = start + absl::Milliseconds(250);
    cr_assert(later - start == absl::Milliseconds(250));
    cr_assert(later - absl::Milliseconds(250) == start);
}
