// This host's part of every organisation's rate and every endpoint's
// connections: own slots, loans given and loans taken.
#ifndef MAGNOLIASTACK_SHARE_LEDGER_HPP
#define MAGNOLIASTACK_SHARE_LEDGER_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/rpc/peer_link.hpp"
#include "magnoliastack/share/slot_keeper.hpp"
#include "magnoliastack/share/timing.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace magnoliastack::share
{

// How a resource is counted.
enum class resource_kind
{
    // Millionths of an organisation's rate and burst.
    fraction,
    // Whole connections of an endpoint.
    units,
};

// Millionths of a whole rate.
inline constexpr std::uint64_t whole = 1'000'000;

// Who the ledger is and how it lends and borrows.
struct ledger_options
{
    base::host_id m_self;
    // Start count of this process; loan ids of different processes of a host
    // do not overlap.
    base::incarnation m_incarnation;
    share_timing m_timing;
    // Part of a slot that is never lent.
    double m_floor = 0.1;
    // Kept above the own demand when lending, and asked for when borrowing.
    // Arrivals are random; without headroom the buckets run empty.
    double m_headroom = 0.1;
    // Time after which a loan that is still needed is renewed, well before its
    // end, so that one lost message does not end it.
    absl::Duration m_renew_after = absl::Milliseconds(700);
    // A request without an answer for this long counts as lost.
    absl::Duration m_request_timeout = absl::Milliseconds(400);
    // How long a lender that gave less than asked is not asked for more: at
    // first, and at most after it has done so repeatedly. Under scarcity every
    // host asks every other, so the messages have to get fewer.
    absl::Duration m_refused_hold = absl::Milliseconds(50);
    absl::Duration m_longest_hold = absl::Milliseconds(400);
    // Time between repeats of a return that was not confirmed.
    absl::Duration m_return_interval = absl::Milliseconds(500);
    // Lenders asked at the same time for one resource.
    std::size_t m_fan_out = 8;
};

// Ask a peer for a loan; report the answer to borrow_answered.
struct borrow
{
    base::host_id m_host;
    rpc::borrow_request m_request;
};
// Tell a lender that a loan is not used any more; report the answer to
// give_back_answered.
struct return_loan
{
    base::host_id m_host;
    rpc::give_back m_message;
};
using ledger_action = std::variant<borrow, return_loan>;

// Keeps the sum of all hosts' usable amounts at or below the whole. A lender
// deducts before it answers and counts on the loan until after the borrower's
// end; the borrower's end counts from its send time.
//
// A request names the whole amount that the borrower wants to have from the
// lender, so a renewal and a change are the same message. Both sides keep
// each grant until its end and count the largest one.
//
// The owner applies a changed usable amount to its token bucket or pool
// before it carries out actions or sends an answer.
class ledger
{
public:
    explicit ledger(ledger_options options);

    // Adds a resource or changes its total: `whole` for a fraction, the
    // connection limit of an endpoint. A total of 0 withdraws it.
    void set_resource(const std::string& resource, resource_kind kind,
                      std::uint64_t total, base::instant now);

    // Sets the slots from slot_keeper::slots, the number of all slots and
    // slot_keeper::confirmed_at, together: a confirmation says nothing about
    // slots of an older row.
    void set_slots(const std::vector<held_slot>& slots, std::size_t slot_count,
                   std::optional<base::instant> confirmed_at,
                   base::instant now);

    // Sets the last instant for which the configuration is known to have been
    // current. Fractions are usable only within the currency bound after it;
    // an instant instead of a flag, because a paused host cannot clear a flag.
    void set_confirmed(std::optional<base::instant> confirmed_at,
                       base::instant now);

    // Sets the hosts that may lend, without this one.
    void set_peers(const std::vector<base::host_id>& peers, base::instant now);

    // Sets how many units are taken (open connections). Units are lent and
    // returned only when they are not.
    void set_in_use(const std::string& resource, std::uint64_t count,
                    base::instant now);

    // What this host may use now. Zero for an unknown resource, without a
    // confirmation in time, and beyond the end of what was borrowed.
    [[nodiscard]] std::uint64_t usable(const std::string& resource,
                                       base::instant now) const;

    // The instant at which the usable amount falls by itself.
    [[nodiscard]] base::instant usable_until(const std::string& resource,
                                             base::instant now) const;

    // This host's part of an organisation's burst, in requests: input for
    // token_bucket::set_share. Half of the burst, and at least one request per
    // slot, is divided over the slots and never lent; the rest follows the
    // fraction. Without the fixed part a host with a small fraction could not
    // hold one whole token. With a burst below one request per slot, all of it
    // follows the fraction.
    [[nodiscard]] double burst_capacity(const std::string& resource,
                                        double burst, base::instant now) const;

    // Sets what this host needs, in millionths or units.
    void demand(const std::string& resource, std::uint64_t amount,
                base::instant now);

    // Borrows, renews and returns what is due.
    std::vector<ledger_action> tick(base::instant now);

    // A peer asks for a loan. The usable amount has fallen when this returns.
    rpc::borrow_response borrow_received(const rpc::borrow_request& request,
                                         base::instant now);

    // The answer to a borrow action of the tick at `sent_at`. Answers that
    // come after the request counted as lost are ignored.
    void borrow_answered(const base::host_id& host,
                         const rpc::borrow_request& request,
                         const base::result<rpc::borrow_response>& result,
                         base::instant sent_at, base::instant now);

    // A borrower returned a loan and all earlier grants to it.
    void give_back_received(const rpc::give_back& message, base::instant now);

    // The answer to a return_loan action.
    void give_back_answered(const base::host_id& host,
                            const rpc::give_back& message,
                            const base::result<bool>& result,
                            base::instant now);

    // Lends nothing more; for a planned stop.
    void stop_lending(base::instant now);

    // True when the present slots cover what is lent and taken, so that slots
    // which set_slots has removed may go to another host.
    [[nodiscard]] bool covers_loans(base::instant now) const;

    // Millionths or units lent to others now.
    [[nodiscard]] std::uint64_t lent(const std::string& resource,
                                     base::instant now) const;
    // Millionths or units borrowed and not lapsed.
    [[nodiscard]] std::uint64_t borrowed(const std::string& resource,
                                         base::instant now) const;

private:
    // One grant; m_end is the lender's or the borrower's end of it.
    struct grant
    {
        base::loan_id m_loan;
        std::uint64_t m_amount = 0;
        base::instant m_end;
        // Borrower: send time of the request.
        base::instant m_sent_at;
    };
    struct lender_state
    {
        std::vector<grant> m_grants;
        // Send time and amount of the request without an answer yet.
        std::optional<std::pair<base::instant, std::uint64_t>> m_request;
        base::instant m_not_before;
        absl::Duration m_hold;
        // An answer was lost; the lender may count on a loan that is unknown
        // here, which only matters for units.
        bool m_answer_lost = false;
    };
    struct pending_return
    {
        base::host_id m_host;
        base::loan_id m_loan;
        base::instant m_next_send;
        base::instant m_forget_at;
    };
    struct entry
    {
        resource_kind m_kind = resource_kind::fraction;
        std::uint64_t m_total = 0;
        std::uint64_t m_demand = 0;
        std::uint64_t m_in_use = 0;
        std::map<base::host_id, std::vector<grant>> m_lent;
        std::map<base::host_id, lender_state> m_lenders;
        std::vector<pending_return> m_returns;
    };
    // What the own slots give: usable, and the part that may be lent.
    struct own_share
    {
        std::uint64_t m_usable = 0;
        std::uint64_t m_lendable = 0;
        // Slots whose floor may be used.
        std::size_t m_slots = 0;
    };

    [[nodiscard]] const kind_timing& timing(const entry& item) const;
    [[nodiscard]] own_share own(const entry& item, base::instant now) const;
    [[nodiscard]] std::optional<base::instant>
    confirmed_until(const entry& item) const;
    [[nodiscard]] bool is_confirmed(const entry& item, base::instant now) const;
    [[nodiscard]] std::uint64_t usable_of(const entry& item,
                                          base::instant now) const;
    [[nodiscard]] std::uint64_t target(const entry& item) const;
    [[nodiscard]] std::uint64_t needed_loans(const entry& item,
                                             base::instant now) const;
    void hold_lender(lender_state& lender, base::instant now) const;
    void drop_lapsed(entry& item, base::instant now);
    void add_return(entry& item, const base::host_id& host, base::loan_id loan,
                    base::instant now);
    void return_surplus(entry& item, std::uint64_t needed, base::instant now);
    void send_returns(const std::string& resource, entry& item,
                      std::vector<ledger_action>& actions, base::instant now);
    void renew(const std::string& resource, entry& item, std::uint64_t needed,
               std::vector<ledger_action>& actions, base::instant now);
    void ask_for_more(const std::string& resource, entry& item,
                      std::uint64_t needed, std::vector<ledger_action>& actions,
                      base::instant now);
    void send_request(const std::string& resource, const base::host_id& host,
                      lender_state& lender, std::uint64_t amount,
                      std::vector<ledger_action>& actions, base::instant now);

    ledger_options m_options;
    std::map<std::string, entry> m_entries;
    std::vector<held_slot> m_slots;
    std::size_t m_slot_count = 0;
    std::optional<base::instant> m_slots_confirmed_at;
    std::optional<base::instant> m_confirmed_at;
    std::vector<base::host_id> m_peers;
    std::size_t m_next_peer = 0;
    bool m_lending = true;
    base::loan_id m_last_loan;
};

} // namespace magnoliastack::share

#endif
