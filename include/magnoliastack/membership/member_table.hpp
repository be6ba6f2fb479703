// What a host knows of the fleet's members, kept up to date by gossip.
#ifndef MAGNOLIASTACK_MEMBERSHIP_MEMBER_TABLE_HPP
#define MAGNOLIASTACK_MEMBERSHIP_MEMBER_TABLE_HPP

#include "magnoliastack/base/time.hpp"
#include "magnoliastack/rpc/peer_link.hpp"
#include "magnoliastack/rpc/platform_link.hpp"

#include "absl/container/btree_map.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace magnoliastack::membership
{

// Times and limits of the gossip.
struct member_options
{
    absl::Duration m_exchange_interval = absl::Milliseconds(100);
    // Up to this many hosts, itself included, a host exchanges with all others
    // and sends its whole table.
    std::size_t m_full_exchange_limit = 16;
    // Peers per interval above the limit.
    std::size_t m_fan_out = 3;
    absl::Duration m_suspect_after = absl::Seconds(1);
    absl::Duration m_dead_after = absl::Seconds(3);
    // A dead host that is no longer listed is forgotten after this long.
    absl::Duration m_forget_after = absl::Hours(1);
    // Bytes a second for requests and answers above the limit.
    std::uint64_t m_byte_budget = 3'000;
    // A changed entry is sent this many times for each doubling of the fleet,
    // which reaches all hosts with high probability.
    std::size_t m_sends_per_doubling = 1;
    // Longer gaps between ticks are a pause of this host and no silence of
    // the others.
    absl::Duration m_max_tick_gap = absl::Milliseconds(500);
    // Peer addresses from the settings, for the time before the first list.
    std::vector<std::string> m_seeds;
    std::uint64_t m_random_seed = 1;
};

// A message to send. The host is empty for a seed that has not answered yet.
struct outgoing_exchange
{
    base::host_id m_host;
    std::string m_address;
    rpc::exchange_message m_message;
};

// A member as this host sees it.
struct member
{
    // As last heard, with this host's own view of the state.
    rpc::member_entry m_entry;
    // When a newer incarnation or heartbeat arrived last, in whatever way.
    base::instant m_last_news;
    // When this host sent the newest exchange that the member answered in its
    // present incarnation.
    std::optional<base::instant> m_answered_sent_at;
    bool m_listed = false;
};

// The bytes that an entry takes in a message, rounded up.
std::size_t estimated_size(const rpc::member_entry& entry);

// The bytes that a message takes with its frame, rounded up.
std::size_t estimated_size(const rpc::exchange_message& message);

// The member table of one host.
//
// Up to the full exchange limit every host exchanges with every other one and
// a host whose heartbeat does not rise for a second is suspect. Above it,
// heartbeats and versions of all hosts do not fit into the byte budget (550
// entries of 100 bytes are 18 s of it). An entry is then sent only when
// something else in it has changed, and a host becomes suspect when two
// exchanges in a row fail or another host says so. A suspect that does not
// refute this with a higher incarnation is dead 2 s later. The head of each
// message has its sender's incarnation and versions, so versions spread with
// every exchange, and a message is a sign of life of its sender.
class member_table
{
public:
    member_table(rpc::member_entry self, member_options options);

    // The platform's list arrived.
    void list_received(const rpc::host_list& list, base::instant now);

    // Advances the heartbeat and the suspicion; returns what to send.
    std::vector<outgoing_exchange> tick(base::instant now);

    // A peer's request arrived; returns the answer.
    rpc::exchange_message
    exchange_received(const rpc::exchange_message& message, base::instant now);

    // A peer answered. sent_at is the instant before this host's request.
    void answer_received(const base::host_id& host,
                         const rpc::exchange_message& message,
                         base::instant sent_at, base::instant now);

    // An exchange failed or took too long.
    void exchange_failed(const base::host_id& host, base::instant now);

    // What rides on the own entry. Setting an equal value sends nothing.
    void set_configuration_version(base::configuration_version version);
    void set_store_reachable(bool reachable);
    void set_groups(std::vector<rpc::group_observation> groups);
    void set_slots(std::vector<rpc::slot_holding> slots,
                   std::uint64_t slots_version);
    void set_leaving_endpoints(std::vector<base::endpoint_id> endpoints);

    // While the store is down or a change is pending, hosts need answers from
    // a majority within `period`; the peers are then visited in turn, beyond
    // the byte budget. Zero ends this.
    void set_contact_period(absl::Duration period);

    // This host has started to leave.
    void leave();

    // This host's own entry. A refuted suspicion raises its incarnation.
    [[nodiscard]] const rpc::member_entry& self() const
    {
        return m_self;
    }

    // All known hosts but this one, in the order of their ids.
    [[nodiscard]] std::vector<member> members() const;

    // The hosts of the last list, this one included if it was in it.
    [[nodiscard]] const std::vector<rpc::listed_host>& listed_hosts() const
    {
        return m_list.m_hosts;
    }

    // Endpoints that the list or a live member marks as leaving.
    [[nodiscard]] std::vector<base::endpoint_id> leaving_endpoints() const;

    // A known host; null for an unknown one and for this one.
    [[nodiscard]] const member* find(const base::host_id& host) const;

    // Hosts that are alive or suspect, this one included.
    [[nodiscard]] std::size_t live_count() const;

    // Bytes sent in requests and answers so far, as estimated.
    [[nodiscard]] std::uint64_t bytes_sent() const
    {
        return m_bytes_sent;
    }

private:
    struct record
    {
        member m_member;
        // Declared by the host itself, for its present incarnation.
        bool m_leaving = false;
        bool m_listed_as_leaving = false;
        // Since when the host is suspected above the limit.
        std::optional<base::instant> m_suspect_since;
        std::size_t m_failures = 0;
        // Position in the order of changes and sends that remain.
        std::uint64_t m_change = 0;
        std::size_t m_sends_left = 0;
    };

    void update_mode();
    [[nodiscard]] std::size_t sends_per_change() const;
    [[nodiscard]] rpc::member_state state_of(const record& known,
                                             base::instant now) const;
    record& insert(const rpc::member_entry& entry, base::instant now);
    void merge(const rpc::member_entry& entry, base::instant now);
    void merge_message(const rpc::exchange_message& message, base::instant now);
    void merge_sender(const rpc::exchange_message& message, base::instant now);
    void defend_self(const rpc::member_entry& entry);
    void update_state(record& known, base::instant now);
    void update_states(base::instant now);
    void skip_pause(base::instant now);
    void mark_changed(record& known);
    void self_changed();
    void spend(const rpc::exchange_message& message);
    rpc::exchange_message build_message(const base::host_id& receiver);
    void add_changed_entries(rpc::exchange_message& message,
                             const base::host_id& receiver);
    std::vector<base::host_id> choose_peers();
    std::vector<base::host_id> choose_random_peers();
    void add_dead_peer(std::vector<base::host_id> dead,
                       std::vector<base::host_id>& peers);
    void add_peers_in_turn(std::vector<base::host_id>& peers);
    void add_seeds(std::vector<outgoing_exchange>& out);

    rpc::member_entry m_self;
    member_options m_options;
    std::mt19937_64 m_random;
    rpc::host_list m_list;
    absl::btree_map<base::host_id, record> m_records;
    std::optional<base::instant> m_last_tick;
    std::optional<base::instant> m_next_exchange;
    bool m_full_exchange = true;
    std::uint64_t m_intervals = 0;
    std::uint64_t m_changes = 0;
    std::size_t m_self_sends_left = 0;
    double m_tokens = 0;
    std::uint64_t m_bytes_sent = 0;
    absl::Duration m_contact_period;
    double m_contacts_due = 0;
    base::host_id m_last_visited;
};

} // namespace magnoliastack::membership

#endif
