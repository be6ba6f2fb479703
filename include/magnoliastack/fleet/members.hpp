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
#include <vector>

namespace magnoliastack::fleet
{

// How members are judged and told.
struct member_options
{
    // Time between two rounds of reports.
    absl::Duration m_round = absl::Milliseconds(250);
    // Hosts told in one round. With more hosts each is told less often, which
    // keeps the cost of a host the same at any size of the fleet.
    std::size_t m_fan_out = 10;
    // A host is taken to live while it was heard within so many of its turns.
    int m_live_turns = 4;
    // A host that was not heard for so many turns is marked as out. Its
    // reliance on rows then lapses before anybody has to wait for it, and a
    // host that reaches the store simply registers again.
    int m_out_turns = 6;
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
};

// Rows say which hosts there are; reports say which of them live.
class member_book
{
public:
    member_book(base::host_id self, base::incarnation incarnation,
                member_options options = {});

    void row_changed(const member_row& row, rpc::row_version version,
                     base::instant now);
    // False when a newer report is known or the host has no such row.
    bool report_received(host_report report, base::instant now);

    // True when the own row is there for this process and not marked.
    [[nodiscard]] bool is_registered() const;
    // Version of the own row, 0 without one.
    [[nodiscard]] rpc::row_version own_version() const;

    // Time between two reports of one host to another.
    [[nodiscard]] absl::Duration turn() const;

    // All hosts whose row is not marked, this one included.
    [[nodiscard]] std::size_t size() const;
    // Hosts that were heard lately and do not end, this one included, in the
    // order of their names.
    [[nodiscard]] std::vector<base::host_id> live(base::instant now) const;
    // Members that are to be marked as out.
    [[nodiscard]] std::vector<const member*> silent(base::instant now) const;
    // Addresses to report to in this round.
    [[nodiscard]] std::vector<std::string> targets();
    [[nodiscard]] const std::map<base::host_id, member>& all() const
    {
        return m_members;
    }
    [[nodiscard]] const member* find(const base::host_id& host) const;

private:
    base::host_id m_self;
    base::incarnation m_incarnation;
    member_options m_options;
    std::map<base::host_id, member> m_members;
    std::size_t m_next_target = 0;
};

} // namespace magnoliastack::fleet

#endif
