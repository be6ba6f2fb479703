// Endpoints that answer their health check and fail what they run.
#include "magnoliastack/entry/failure_average.hpp"
#include "magnoliastack/entry/placement.hpp"

#include <criterion/criterion.h>

using namespace magnoliastack::entry;
namespace base = magnoliastack::base;

namespace
{

base::instant at(int milliseconds)
{
    return base::instant() + absl::Seconds(9) +
           absl::Milliseconds(milliseconds);
}

placement_candidate replica(const char* name, bool avoided, int answer_ms)
{
    placement_candidate result;
    result.m_endpoint = base::endpoint_id(name);
    result.m_avoided = avoided;
    result.m_answer_time = absl::Milliseconds(answer_ms);
    result.m_has_idle_connection = true;
    return result;
}

} // namespace

// Guards against an endpoint that fails quickly and so draws more work.
Test(failures, half_of_them_make_an_endpoint_avoided_but_for_trials)
{
    failure_average average;
    for (int count = 0; count < 8; ++count)
    {
        average.tried(at(count * 10));
        average.ended(count % 2 == 0, at(count * 10));
    }
    average.ended(true, at(80));
    cr_assert(average.is_avoided(at(81)));
    cr_assert_not(average.is_avoided(at(800)), "no trial was let through");
    average.tried(at(800));
    cr_assert(average.is_avoided(at(801)));
    for (int count = 0; count < 4; ++count)
        average.ended(false, at(900));
    cr_assert_not(average.is_avoided(at(901)));
}

// Guards against a primary that fails everything and is never replaced, and
// against one that is replaced for a few failures.
Test(failures, only_failures_in_a_row_make_an_endpoint_down)
{
    failure_average average;
    for (int count = 0; count < 40; ++count)
    {
        average.ended(count % 4 != 0, at(count));
        cr_assert_not(average.down_since().has_value());
    }
    for (int count = 0; count < 9; ++count)
        average.ended(true, at(100 + count));
    cr_assert(average.down_since() <= at(100));
    average.ended(false, at(200));
    cr_assert_not(average.down_since().has_value());
}

Test(failures, an_avoided_endpoint_serves_when_nobody_else_can)
{
    const placement_request request{
        false, base::log_point{base::term(1), base::log_position(5)}};
    auto chosen = choose_endpoint(
        request, {replica("bad", true, 2), replica("good", false, 90)});
    cr_assert_eq(chosen->str(), "good");
    chosen = choose_endpoint(request, {replica("bad", true, 2)});
    cr_assert_eq(chosen->str(), "bad");
}
