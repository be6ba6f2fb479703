// Owns, claims and releases this host's share slots in the row `slots`.
#ifndef MAGNOLIASTACK_SHARE_SLOT_KEEPER_HPP
#define MAGNOLIASTACK_SHARE_SLOT_KEEPER_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/rpc/peer_link.hpp"
#include "magnoliastack/rpc/platform_link.hpp"
#include "magnoliastack/share/slot_table.hpp"
#include "magnoliastack/share/timing.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace magnoliastack::share
{

// The row's key in the platform's table.
inline constexpr const char* slots_row_key = "slots";

// Who the keeper is and how it works.
struct slot_keeper_options
{
    base::host_id m_self;
    // Start count of this process.
    base::incarnation m_incarnation;
    // Slots of a row that does not exist yet (inventory `[fleet] slots`).
    std::size_t m_slots = 1;
    share_timing m_timing;
    absl::Duration m_read_interval = absl::Seconds(1);
    // A call to the store without an answer for this long counts as lost.
    absl::Duration m_call_timeout = absl::Seconds(1);
    // Hosts claim a dead host's slots one after the other, so that one claim
    // succeeds instead of many in conflict.
    absl::Duration m_rank_delay = absl::Milliseconds(500);
    // How long an owner has to be dead or missing before a claim.
    absl::Duration m_dead_for = absl::Seconds(3);
    // Seeds the jitter of the reads.
    std::uint64_t m_seed = 0;
};

// A slot that this host may count in its share.
struct held_slot
{
    base::slot_index m_slot;
    base::slot_epoch m_epoch;
    slot_origin m_origin = slot_origin::released;
    // Start of the wait that the origin asks for; absent while a majority has
    // not acknowledged a takeover.
    std::optional<base::instant> m_since;

    bool operator==(const held_slot&) const = default;
};

// Read the row.
struct read_row
{
};
// Write the row if it still has the version.
struct swap_row
{
    std::uint64_t m_expected_version = 0;
    std::string m_value;
};
// The slots that the host may count have changed: call ledger::set_slots.
struct slots_changed
{
};
using slot_action = std::variant<read_row, swap_row, slots_changed>;

// Decides which slots this host owns. It takes the row's reads and swaps, the
// versions that peers have seen and the membership, and returns what to do.
// Answers carry the send time of their call, which is the time for which they
// prove anything.
class slot_keeper
{
public:
    explicit slot_keeper(slot_keeper_options options);

    // Reads, claims, hands over and releases what is due.
    std::vector<slot_action> tick(base::instant now);

    // The answer to read_row. Only one that was sent after the last lost swap
    // tells its outcome.
    void row_read(const base::result<rpc::row_state>& result,
                  base::instant sent_at, base::instant now);

    // The answer to swap_row. An error leaves the outcome open; the row is
    // read back.
    void swap_done(const base::result<rpc::swap_outcome>& result,
                   base::instant sent_at, base::instant now);

    // A peer answered an exchange that was sent at `sent_at` with the version
    // of the row that it has read.
    void peer_version_seen(const base::host_id& host, std::uint64_t version,
                           base::instant sent_at, base::instant now);

    // The members as the gossip knows them. Their versions count as
    // acknowledgements, but confirm nothing, since they may be old.
    void members_changed(const std::vector<rpc::member_entry>& members,
                         base::instant now);

    // The hosts of the platform's list; majorities are counted over them.
    void hosts_listed(const std::vector<base::host_id>& hosts,
                      base::instant now);

    // Starts a planned stop: no slot is counted from now on. The slots are
    // released once slots_vacated was called.
    void release(base::instant now);

    // Nothing of the slots that the keeper no longer lists in slots() is used
    // or lent by this host any more. Call it at each tick while it holds
    // (ledger::covers_loans).
    void slots_vacated(base::instant now);

    // The slots that the host may count.
    [[nodiscard]] const std::vector<held_slot>& slots() const;

    // Number of all slots in the row; 0 before the first read.
    [[nodiscard]] std::size_t slot_count() const;

    // For the gossip entry.
    [[nodiscard]] std::vector<rpc::slot_holding> holdings() const;

    // Version of the row that was read last; 0 before the first read.
    [[nodiscard]] std::uint64_t row_version() const;

    // The last instant for which it is proven that the row had no version
    // above row_version(): by a read or by a majority of the listed hosts.
    [[nodiscard]] std::optional<base::instant> confirmed_at() const;

    // True when the release has reached the store.
    [[nodiscard]] bool is_released() const;

private:
    struct ownership
    {
        base::slot_epoch m_epoch;
        slot_origin m_origin = slot_origin::released;
        std::optional<base::instant> m_since;
        // Version of the row with the claim; acknowledgements have to reach it.
        std::uint64_t m_claim_version = 0;
        bool m_vacating = false;
        // Set when the slot is to go to another host; empty for a release.
        base::host_id m_receiver;
        base::incarnation m_receiver_incarnation;
    };
    struct call
    {
        bool m_swap = false;
        base::instant m_sent_at;
    };

    void adopt(const rpc::row_state& row, base::instant now);
    void adopt_slot(base::slot_index slot, const slot_record& record,
                    std::uint64_t version, base::instant now);
    void check_acknowledgements(base::instant now);
    void refresh_slots();
    void watch_owners(base::instant now);
    [[nodiscard]] std::optional<slot_table> next_table(base::instant now);
    [[nodiscard]] bool has_work(base::instant now) const;
    [[nodiscard]] std::optional<slot_table> initial_table() const;
    bool write_vacated(slot_table& table) const;
    bool write_settled(slot_table& table, base::instant now) const;
    bool write_claims(slot_table& table, base::instant now);
    void choose_handover(base::instant now);
    [[nodiscard]] bool is_claimable(base::slot_index slot,
                                    const slot_record& record,
                                    base::instant now) const;
    [[nodiscard]] bool is_settled(const ownership& owned,
                                  base::instant now) const;
    [[nodiscard]] std::size_t quota() const;
    [[nodiscard]] std::size_t claim_rank() const;
    [[nodiscard]] std::size_t majority() const;
    void send_swap(const slot_table& table, std::vector<slot_action>& actions,
                   base::instant now);

    slot_keeper_options m_options;
    std::mt19937_64 m_random;
    std::uint64_t m_version = 0;
    bool m_known = false;
    slot_table m_table;
    std::map<base::slot_index, ownership> m_owned;
    std::vector<held_slot> m_slots;
    bool m_changed = false;
    bool m_releasing = false;
    bool m_vacated = false;
    std::optional<call> m_call;
    // A swap whose outcome is open, and the version it expects: it can take
    // effect until the row has a higher version.
    std::optional<swap_row> m_open_swap;
    base::instant m_next_read;
    std::vector<base::host_id> m_listed;
    std::map<base::host_id, rpc::member_entry> m_members;
    // Highest version that a peer has acknowledged, and the send time of the
    // last exchange in which it knew no higher one than this host.
    std::map<base::host_id, std::uint64_t> m_acknowledged;
    std::map<base::host_id, base::instant> m_agreed_at;
    std::optional<base::instant> m_read_at;
    // The members, the list or the row have changed since the last check.
    bool m_owners_changed = false;
    // Since when the owner of a slot has been dead or missing.
    std::map<base::slot_index, base::instant> m_dead_since;
};

} // namespace magnoliastack::share

#endif
