// Failure domains whose endpoints get no work.
#ifndef MAGNOLIASTACK_FLEET_EVACUATIONS_HPP
#define MAGNOLIASTACK_FLEET_EVACUATIONS_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/rpc/fleet_store.hpp"

#include "absl/time/time.h"

#include <map>
#include <optional>

namespace magnoliastack::fleet
{

// What is known of one failure domain's row.
enum class evacuation_state
{
    // The row is there.
    ordered,
    // The row was there before the store came back from an older copy, and
    // neither it nor its removal has been seen since.
    kept,
    // The row has been removed in this era. Remembered so that a peer that
    // still keeps the evacuation learns of it.
    cancelled,
};

struct evacuation
{
    evacuation_state m_state = evacuation_state::ordered;
    // Version of the row; 0 when it is not there.
    rpc::row_version m_version;
    // The store's time at which a host saw the row first.
    rpc::store_instant m_since;

    friend bool operator==(const evacuation&, const evacuation&) = default;
};

// The evacuations as of a version within an era of the store, as hosts tell
// them each other.
struct evacuation_set
{
    rpc::store_era m_era;
    // 0 while the table has not been read.
    rpc::row_version m_version;
    std::map<base::failure_domain_id, evacuation> m_domains;
};

// Times of evacuations.
struct evacuation_options
{
    // An evacuation that a copy of the store lacks is kept for this long: the
    // operator writes again what was lost.
    absl::Duration m_kept = absl::Seconds(10);
    // Nothing may reach the domain this long after the acknowledgement.
    absl::Duration m_bound = absl::Seconds(5);
    // Part of the bound after which connections are closed. The rest is for
    // the propagation between hosts and for packets in flight.
    double m_closing_part = 0.6;
};

// What a host may do with endpoints of a failure domain.
enum class evacuation_phase
{
    none,
    // Only work that requires the primary there is accepted.
    leaving,
    // Nothing at all.
    closed,
};

// Merges readings of the store's rows with what peers tell. Every change
// returns true when an evacuation has begun, ended or changed.
class evacuations
{
public:
    explicit evacuations(evacuation_options options = {});

    // Rows of the operator's table.
    bool rows_read(const rpc::operator_rows& rows);
    // The store has come back in this era; `at` is a time in it.
    bool era_changed(rpc::store_era era, rpc::store_instant at);
    // A peer's set.
    bool merge_peer_set(const evacuation_set& set, rpc::store_instant at);
    // Drops what was kept for long enough; `at` is not after the store's time.
    bool expire(rpc::store_instant at);

    // The phase when the store's time is at most `latest`. Without a time an
    // evacuated domain is closed.
    [[nodiscard]] evacuation_phase
    phase(const base::failure_domain_id& domain,
          std::optional<rpc::store_instant> latest) const;
    [[nodiscard]] bool
    is_evacuated(const base::failure_domain_id& domain) const;
    // True when any domain is evacuated.
    [[nodiscard]] bool is_any() const;
    [[nodiscard]] const evacuation_set& set() const
    {
        return m_set;
    }

private:
    bool replace(std::map<base::failure_domain_id, evacuation> domains);
    void enter(rpc::store_era era, rpc::store_instant at);

    evacuation_options m_options;
    evacuation_set m_set;
    // The table has been read, or a peer has told what is in it.
    bool m_known = false;
    // What is kept or cancelled is forgotten then.
    rpc::store_instant m_kept_until;
    // Versions of rows that were there when this host read the table first.
    // It cannot know for how long, so their domains are closed at once.
    std::map<base::failure_domain_id, rpc::row_version> m_found_at_start;
};

} // namespace magnoliastack::fleet

#endif
