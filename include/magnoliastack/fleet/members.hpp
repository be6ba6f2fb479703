// The hosts of the fleet and what they last said.
#ifndef MAGNOLIASTACK_FLEET_MEMBERS_HPP
#define MAGNOLIASTACK_FLEET_MEMBERS_HPP

#include "magnoliastack/base/time.hpp"
#include "magnoliastack/fleet/report.hpp"
#include "magnoliastack/fleet/rows.hpp"

#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace magnoliastack::fleet
{

// How members are judged and told.
struct member_options
{
    // Time between two rounds of reports.
    absl::Duration m_round = absl::Milliseconds(250);
    // Largest fleet, without this host, that is told as a whole in each round.
    std::size_t m_fan_out = 10;
    // Hosts told in one round in a larger fleet, of the own failure domain and
    // of the others, which keeps the cost of a host the same at any size. Bytes
    // between failure domains have a price.
    std::size_t m_near_fan_out = 6;
    std::size_t m_far_fan_out = 1;
    // A change of the store that was not answered may be carried out this much
    // later.
    absl::Duration m_latest_write = absl::Seconds(10);
    // A host is taken to live while it was heard within so many of its turns.
    int m_live_turns = 4;
    // A host that was not heard for so many turns, and for so long, is marked
    // as out: after that nobody waits for it any more, and its part of the
    // rates is divided. Hosts that were only cut off for some seconds go on as
    // before; one that was marked has to join anew.
    int m_out_turns = 6;
    absl::Duration m_out_after = absl::Seconds(8);
    // A failure domain is reached while any of its hosts was heard within this.
    absl::Duration m_contact = absl::Milliseconds(2000);
    // For this long after its start a host counts hosts that it has not heard
    // yet as live, so that not every host of a fleet that starts takes itself
    // for the only one.
    absl::Duration m_first_hearing = absl::Seconds(3);
};

// One host.
struct member
{
    member_row m_row;
    rpc::row_version m_version;
    // Newest report of the row's incarnation.
    std::optional<host_report> m_report;
    // When it was heard, or when its row came.
    base::instant m_heard;
    // Set while the row is marked: a time of the store at which the mark was
    // certainly there.
    std::optional<rpc::store_instant> m_marked_by;
};

// Rows say which hosts there are; reports say which of them live.
class member_book
{
public:
    member_book(base::host_id self, base::incarnation incarnation,
                member_options options = {});

    // `at` is a time of the store after the change.
    void row_changed(const member_row& row, rpc::row_version version,
                     rpc::store_instant at, base::instant now);
    // The store has come back from an older copy: the rows stay, but no version
    // means anything any more.
    void versions_lost();
    // All rows up to this version are known now.
    void rows_complete(rpc::row_version version);
    // False when a newer report is known or the host has no such row.
    bool report_received(host_report report, base::instant now);

    // True when the own row is there for this process and not marked.
    [[nodiscard]] bool is_registered() const;
    // Version of the own row, 0 without one.
    [[nodiscard]] rpc::row_version own_version() const;

    // Time between two reports of this member, or to it.
    [[nodiscard]] absl::Duration turn(const member& of) const;

    // Highest version of a member's row that is known with all rows before it.
    [[nodiscard]] rpc::row_version complete_version() const
    {
        return m_complete;
    }
    // Up to `limit` members whose rows are newer than `version`, the oldest
    // first, as far as all rows before them are known.
    [[nodiscard]] std::vector<const member*>
    rows_after(rpc::row_version version, std::size_t limit) const;
    // True when the host has told that it knows this host's present row.
    [[nodiscard]] bool knows_own_row(const member& item) const;

    // All hosts whose row is not marked, this one included.
    [[nodiscard]] std::size_t size() const;
    // Hosts that were heard lately and do not end, this one included, in the
    // order of their names.
    [[nodiscard]] std::vector<base::host_id> live(base::instant now) const;
    // True when a host of another failure domain was heard lately; in a fleet
    // of one domain, any other host.
    [[nodiscard]] bool hears_other_domain(base::instant now) const;
    // True when the host was heard lately.
    [[nodiscard]] bool is_heard(const member& item, base::instant now) const;
    // Members that this host is to mark as out: the first live host of a
    // domain does so for its domain, the first of all for the others.
    [[nodiscard]] std::vector<const member*> to_mark(base::instant now) const;
    // Addresses to report to in this round.
    [[nodiscard]] std::vector<std::string> targets();
    // Addresses of all hosts that may be told, but this one.
    [[nodiscard]] std::vector<std::string> addresses() const;
    // The live hosts that may be told, and those not heard yet since this
    // host's start, in the order in which they act for the key.
    [[nodiscard]] std::vector<base::host_id> order(std::string_view key,
                                                   base::instant now) const;
    // The place of this host for the key among all that may be told, or among
    // those of its failure domain.
    [[nodiscard]] std::size_t place(std::string_view key, bool in_domain) const;
    [[nodiscard]] const std::map<base::host_id, member>& all() const
    {
        return m_members;
    }
    [[nodiscard]] const member* find(const base::host_id& host) const;

private:
    [[nodiscard]] std::size_t others() const;
    [[nodiscard]] bool is_near(const member& item) const;
    void count();

    base::host_id m_self;
    base::incarnation m_incarnation;
    member_options m_options;
    std::map<base::host_id, member> m_members;
    rpc::row_version m_complete;
    // Other hosts that may be told, in the own failure domain and elsewhere;
    // counted when a row changes, since each look at a host needs them.
    std::size_t m_near = 0;
    std::size_t m_far = 0;
    std::optional<base::failure_domain_id> m_own_domain;
    std::size_t m_told_rounds = 0;
    // Since when the others may tell this host something: its row is there and
    // not marked.
    base::instant m_told_since;
    // When the first row came.
    std::optional<base::instant> m_started;
};

} // namespace magnoliastack::fleet

#endif
