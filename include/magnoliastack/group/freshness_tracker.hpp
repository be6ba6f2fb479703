// Proves how old the data of an endpoint can be, without synchronized clocks.
#ifndef MAGNOLIASTACK_GROUP_FRESHNESS_TRACKER_HPP
#define MAGNOLIASTACK_GROUP_FRESHNESS_TRACKER_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/rpc/endpoint_link.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace magnoliastack::group
{

// A monitor round that a majority answered in one term without a higher seal.
// Every write that was acknowledged before m_sent_at is at or below m_position
// in the log of m_term.
struct proven_round
{
    base::instant m_sent_at;
    base::term m_term;
    base::log_position m_position;
};

// Collects the answers to monitor rounds.
class freshness_tracker
{
public:
    explicit freshness_tracker(std::size_t member_count);

    // Notes the send time of a round; rounds have rising numbers.
    void round_begun(base::round_number round, base::instant now);

    // Takes in a status that its endpoint made after it received `round`. It
    // answers the earlier rounds too.
    void status_received(base::round_number round,
                         const rpc::endpoint_status& status);

    // The send time of the newest round that proves `point` fresh: data with
    // the log of `point.m_term` up to `point.m_position` has every write that
    // was acknowledged before.
    [[nodiscard]] std::optional<base::instant>
    fresh_as_of(base::log_point point) const;

    // The newest round proven in this term. The primary of a term holds all
    // entries of its term, so this also bounds the age of any read that the
    // primary runs afterwards.
    [[nodiscard]] std::optional<proven_round> newest(base::term target) const;

    // The send time of the oldest round in the history that covers `position`
    // in the log of the term: about when it was written.
    [[nodiscard]] std::optional<base::instant>
    written_by(base::log_point point) const;

private:
    struct report
    {
        base::term m_accepted;
        base::log_position m_held;
        bool m_sealed_higher = false;
    };
    struct open_round
    {
        base::round_number m_round;
        base::instant m_sent_at;
        std::map<base::endpoint_id, report> m_reports;
    };

    [[nodiscard]] std::optional<proven_round>
    evaluate(const open_round& round) const;
    void add(proven_round round);
    void thin();

    std::size_t m_majority;
    std::deque<open_round> m_open;
    std::deque<proven_round> m_proven;
};

} // namespace magnoliastack::group

#endif
