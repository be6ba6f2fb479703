// A group view of three endpoints with statuses given by the test.
#ifndef MAGNOLIASTACK_UNITTESTS_GROUP_VIEW_FIXTURE_HPP
#define MAGNOLIASTACK_UNITTESTS_GROUP_VIEW_FIXTURE_HPP

#include "magnoliastack/group/group_view.hpp"

#include <string>
#include <vector>

namespace magnoliastack::group
{

inline base::endpoint_id endpoint(int index)
{
    return base::endpoint_id("e" + std::to_string(index));
}

inline base::log_point point(std::uint64_t term, std::uint64_t position)
{
    return {base::term(term), base::log_position(position)};
}

// The status of an endpoint that has applied all that it holds. Endpoint 0 is
// the primary.
inline rpc::endpoint_status status_at(int index, std::uint64_t term,
                                      std::uint64_t held,
                                      std::uint64_t term_start = 1)
{
    rpc::endpoint_status status;
    status.m_endpoint = endpoint(index);
    status.m_role =
        index == 0 ? rpc::endpoint_role::primary : rpc::endpoint_role::replica;
    status.m_accepted_term = base::term(term);
    status.m_held = point(term, held);
    status.m_applied = base::log_position(held);
    status.m_term_start = base::log_position(term_start);
    return status;
}

struct view_fixture
{
    base::instant m_now = base::instant::from_nanoseconds(1'000'000'000);
    group_view m_view{base::group_id("g"),
                      {endpoint(0), endpoint(1), endpoint(2)}};
    base::round_number m_round;

    void receive(const rpc::endpoint_status& status)
    {
        m_view.status_received(status.m_endpoint, m_round, status, m_now);
    }

    // Sends a round that these statuses answer 2 ms later, then waits for the
    // time of the next round.
    void round(const std::vector<rpc::endpoint_status>& answers)
    {
        m_round = m_view.begin_round(m_now);
        m_now = m_now + absl::Milliseconds(2);
        for (const auto& status : answers)
            receive(status);
        m_now = m_now + absl::Milliseconds(48);
    }

    void rounds(int count, const std::vector<rpc::endpoint_status>& answers)
    {
        for (int index = 0; index < count; ++index)
            round(answers);
    }
};

} // namespace magnoliastack::group

#endif
