// Pulling side of replication: whom to ask, and when entries arrive.
#ifndef MAGNOLIASTACK_STANDIN_REPLICATOR_HPP
#define MAGNOLIASTACK_STANDIN_REPLICATOR_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/standin/log_store.hpp"

#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace magnoliastack::standin
{

// Sends a pull to a member; the answer is reported under the same number.
struct send_pull
{
    base::endpoint_id m_to;
    std::uint64_t m_number = 0;
    pull_request m_request;
};

// Times of the pulling side.
struct replicator_options
{
    // Pause between two questions to a member that is not followed. Finding a
    // new primary takes at most this long when none is followed.
    absl::Duration m_search_interval = absl::Milliseconds(10);
    // The same while a primary is followed or the endpoint is primary.
    absl::Duration m_watch_interval = absl::Milliseconds(100);
    // Pause after a failed pull.
    absl::Duration m_retry_interval = absl::Milliseconds(50);
};

// Entries that agree with the own log up to m_after, due for the log.
struct received_batch
{
    base::instant m_due;
    base::endpoint_id m_from;
    base::term m_term;
    base::log_point m_after;
    std::vector<log_entry> m_entries;
    base::log_position m_term_start;
};

// What the endpoint may follow now.
struct follow_state
{
    base::term m_accepted;
    base::term m_sealed;
    bool m_primary = false;
};

// Decides on pulls. It asks every member from time to time, so that it finds
// the primary of the highest term that the endpoint may follow, and pulls
// from that one without a pause. Received entries wait for the replication
// delay while further ones are pulled, as on a long line.
class replicator
{
public:
    replicator(base::endpoint_id self, std::vector<base::endpoint_id> members,
               replicator_options options);

    // Delay between the receipt of entries and their place in the log.
    void set_delay(absl::Duration delay);

    // The pulls to send now.
    std::vector<send_pull> tick(const follow_state& state, const log_store& log,
                                base::instant now);

    // The answer to a pull, or why there is none.
    void answered(const base::endpoint_id& from, std::uint64_t number,
                  base::result<pull_answer> answer, const follow_state& state,
                  const log_store& log, base::instant now);

    // Takes the next batch that is due, if any.
    std::optional<received_batch> take_due(base::instant now);

    // Forgets whom it follows and what is on the way.
    void reset();

    // The last answer of the primary that is followed.
    [[nodiscard]] std::optional<base::instant> last_contact() const;

    // When tick() or take_due() has something to do.
    [[nodiscard]] std::optional<base::instant> next_event() const;

private:
    struct member_state
    {
        std::optional<std::uint64_t> m_in_flight;
        base::log_point m_asked_after;
        std::optional<base::log_position> m_resume_after;
        base::instant m_next_pull;
    };

    [[nodiscard]] base::log_point next_point(const base::endpoint_id& member,
                                             const member_state& at,
                                             const log_store& log) const;
    [[nodiscard]] base::log_point tail_in_transit() const;
    void primary_answered(const base::endpoint_id& from, member_state& at,
                          pull_answer answer, const follow_state& state,
                          const log_store& log, base::instant now);

    base::endpoint_id m_self;
    replicator_options m_options;
    absl::Duration m_delay;
    std::map<base::endpoint_id, member_state> m_members;
    std::uint64_t m_last_number = 0;
    std::optional<base::endpoint_id> m_source;
    base::term m_source_term;
    std::optional<base::instant> m_last_contact;
    std::deque<received_batch> m_in_transit;
};

} // namespace magnoliastack::standin

#endif
