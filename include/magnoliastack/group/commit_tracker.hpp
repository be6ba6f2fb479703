// Finds which log points of a group can never be lost.
#ifndef MAGNOLIASTACK_GROUP_COMMIT_TRACKER_HPP
#define MAGNOLIASTACK_GROUP_COMMIT_TRACKER_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/rpc/endpoint_link.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace magnoliastack::group
{

// Derives the commit point of each term from the endpoints' reports. A report
// (accepted term t, held p) says that the endpoint had the first p entries of
// term t's log before it was sealed for a higher term. It stays true, so
// reports of different times add up.
class commit_tracker
{
public:
    explicit commit_tracker(std::size_t member_count);

    // Takes in a status of a member, in any order.
    void status_received(const rpc::endpoint_status& status);

    // The highest committed position of a term's log, if a majority is known
    // to hold the term's first entry.
    [[nodiscard]] std::optional<base::log_position>
    commit_point(base::term target) const;

    // True when the first `point.m_position` entries of the log of term
    // `point.m_term` are in the log of every later primary.
    [[nodiscard]] bool is_committed(base::log_point point) const;

private:
    struct term_reports
    {
        std::map<base::endpoint_id, base::log_position> m_held;
        base::log_position m_term_start;
        std::optional<base::log_position> m_committed;
    };

    void update(term_reports& reports) const;

    std::size_t m_majority;
    std::map<base::term, term_reports> m_terms;
};

} // namespace magnoliastack::group

#endif
