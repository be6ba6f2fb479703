// This host as a part of the fleet: membership, leadership, reports.
#ifndef MAGNOLIASTACK_ENTRY_FLEET_SERVICE_HPP
#define MAGNOLIASTACK_ENTRY_FLEET_SERVICE_HPP

#include "magnoliastack/entry/statement_runner.hpp"
#include "magnoliastack/fleet/configuration_relay.hpp"
#include "magnoliastack/fleet/endpoint_relay.hpp"
#include "magnoliastack/fleet/evacuations.hpp"
#include "magnoliastack/fleet/member_relay.hpp"
#include "magnoliastack/fleet/members.hpp"
#include "magnoliastack/fleet/row_recovery.hpp"
#include "magnoliastack/handover/lost_replicas.hpp"
#include "magnoliastack/handover/promotion.hpp"
#include "magnoliastack/lease/currency.hpp"
#include "magnoliastack/lease/store_clock.hpp"
#include "magnoliastack/quota/demand_table.hpp"
#include "magnoliastack/quota/even_shares.hpp"
#include "magnoliastack/quota/home_hosts.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliastack::entry
{

// Who the host is in the fleet, and its times.
struct fleet_options
{
    base::host_id m_self;
    base::incarnation m_incarnation;
    base::failure_domain_id m_failure_domain;
    // `ip:port` at which this host takes datagrams.
    std::string m_address;
    // A statement under way at a primary that moves may end within this.
    absl::Duration m_stop_wait = absl::Milliseconds(300);
    // A planned change waits this long until every host can be asked or has
    // lapsed; the primary serves meanwhile. With the time until a host reads
    // that the primary leaves it stays below the 7 s after which a leaving
    // endpoint may get no work.
    absl::Duration m_planned_wait = absl::Milliseconds(4500);
    // Hosts start a promotion one after the other, so that claims do not race.
    absl::Duration m_turn = absl::Milliseconds(150);
    absl::Duration m_change_timeout = absl::Milliseconds(800);
    // Hosts that judge a primary, the first ones in the group's order. In a
    // large fleet few hosts have traffic for a group at any moment, and all of
    // them together would be a load on an endpoint that they try.
    std::size_t m_judges = 12;
    // A silent primary is told to the judges this often.
    absl::Duration m_suspicion_interval = absl::Milliseconds(250);
    // Groups of one report, besides those whose leadership changes or whose
    // primary does not answer. It bounds a report to some 1,200 bytes.
    std::size_t m_told_groups = 24;
    // Time between two requests for a configuration.
    absl::Duration m_configuration_interval = absl::Milliseconds(300);
    // Reports carry a leadership row for this long after its change.
    absl::Duration m_row_told_for = absl::Seconds(10);
    // Rows that nobody has confirmed for this long were asked for at the store
    // in vain.
    absl::Duration m_isolated_after = absl::Milliseconds(2000);
    // After a return of the store all hosts have this long to write again what
    // it has lost; until then its answers confirm no rows.
    absl::Duration m_settling = absl::Milliseconds(2000);
    // The same in a large fleet, whose hosts come back to the store later.
    absl::Duration m_large_settling = absl::Milliseconds(3000);
    // In a large fleet hosts write lost rows again one after the other, so that
    // most of them find nothing left to do.
    absl::Duration m_recovery_turn = absl::Milliseconds(150);
    absl::Duration m_recovery_latest = absl::Milliseconds(1500);
    // Time between two tries to write them.
    absl::Duration m_recovery_pause = absl::Milliseconds(100);
    // A leadership row that the endpoints' entries contradict for this long is
    // wrong. An entry that is not renewed lapses sooner.
    absl::Duration m_contradicted_for = absl::Milliseconds(5000);
    // Endpoints that a promotion waits for are logged this often.
    absl::Duration m_awaited_line_interval = absl::Seconds(5);
    // What still runs in an evacuated failure domain is logged this often.
    absl::Duration m_evacuation_line_interval = absl::Seconds(1);
    fleet::evacuation_options m_evacuation;
    // Rows of one change; the store takes 100 entries.
    std::size_t m_largest_recovery = 90;
    lease::currency_options m_currency;
    // For how long a configuration may be taken for the newest one after it was
    // known to be: the bound within which a newer one has to be in force.
    lease::currency_options m_configuration{absl::Seconds(3), {}};
    // In a large fleet peers confirm the rows of most hosts that have
    // registered within this; the others read them.
    absl::Duration m_large_confirmation_wait = absl::Milliseconds(600);
    fleet::member_options m_members;
    handover::promotion_options m_promotion;
    handover::assessment_options m_assessment;
};

// Receives what peers have passed on.
class peer_events
{
public:
    virtual ~peer_events() = default;

    // A peer has read these endpoints later than this host.
    virtual void
    endpoints_told(std::vector<catalogue::endpoint_entry> endpoints,
                   rpc::store_instant at, base::instant now) = 0;
    // A peer's configuration, which may be older than this host's.
    virtual void configuration_told(rpc::configuration_ptr configuration,
                                    base::instant now) = 0;
};

// The links that the service uses.
struct fleet_links
{
    const base::clock& m_clock;
    rpc::fleet_store& m_store;
    rpc::promotion_link& m_promotions;
    rpc::datagram_link& m_datagrams;
    metrics::registry& m_metrics;
    peer_events& m_events;
};

// How rates are divided; the service tells them of changes of the fleet.
struct fleet_quotas
{
    quota::demand_table& m_demand;
    quota::even_shares& m_shares;
    quota::home_hosts& m_homes;
};

// Where tokens of an organisation's rate come from when the host has none.
class token_source
{
public:
    virtual ~token_source() = default;

    // Asks the host that is likely to have some; false when none is. The
    // answer comes to token_receiver.
    virtual bool request_tokens(const base::organisation_id& who,
                                std::uint32_t amount) = 0;
    // Gives a token back to the host that it came from.
    virtual void return_token(const base::organisation_id& who,
                              const base::host_id& lender) = 0;
};

// Takes part in the movement of tokens.
class token_receiver
{
public:
    virtual ~token_receiver() = default;

    // Another host asks; returns the tokens that were taken out for it.
    virtual std::uint32_t lend_tokens(const base::organisation_id& who,
                                      std::uint32_t amount,
                                      base::instant now) = 0;
    // Tokens of the lender to be spent at once.
    virtual void tokens_granted(const base::organisation_id& who,
                                const base::host_id& lender,
                                std::uint32_t amount, base::instant now) = 0;
    // Tokens that were lent and have not been used.
    virtual void tokens_returned(const base::organisation_id& who,
                                 std::uint32_t amount, base::instant now) = 0;
    // Whole tokens at hand of each organisation, to tell the others.
    [[nodiscard]] virtual std::map<base::organisation_id, std::uint32_t>
    tokens(base::instant now) const = 0;
};

// Tells whether the configuration in force here may be taken for the newest.
class configuration_status
{
public:
    virtual ~configuration_status() = default;

    // How long ago it was known to be the newest one at most; infinite when it
    // never was.
    [[nodiscard]] virtual absl::Duration
    configuration_age(base::instant now) const = 0;
    // False when a newer one may have to be in force by now.
    [[nodiscard]] virtual bool
    is_configuration_current(base::instant now) const = 0;
};

// Knows which endpoint leads each group and for how long that may be relied
// on, and replaces the leader when it is this host's turn.
class fleet_service final : public primary_source,
                            public token_source,
                            public configuration_status
{
public:
    fleet_service(fleet_options options, fleet_links links,
                  fleet_quotas quotas);

    // Set once, before use.
    void set_runner(statement_runner& runner)
    {
        m_runner = &runner;
    }
    void set_tokens(token_receiver& tokens)
    {
        m_tokens = &tokens;
    }

    void tick(bool store_reachable, base::instant now);

    void
    endpoints_changed(const std::vector<catalogue::endpoint_entry>& endpoints);
    void era_changed(rpc::store_era era, rpc::store_instant at,
                     base::instant now);
    void operator_rows_read(const rpc::operator_rows& rows, base::instant now);
    void operator_rows_confirmed(rpc::store_instant at, base::instant now);
    void row_changed(const rpc::fleet_row& row, rpc::store_instant at,
                     base::instant now);
    void rows_confirmed(rpc::row_version version, rpc::store_instant at,
                        base::instant sent, base::instant now);
    void datagram_received(std::string_view bytes);

    // Planned stop: this host relies on nothing any more.
    void leave(base::instant now);

    [[nodiscard]] const fleet::member_book& members() const
    {
        return m_members;
    }

    bool request_tokens(const base::organisation_id& who,
                        std::uint32_t amount) override;
    void return_token(const base::organisation_id& who,
                      const base::host_id& lender) override;

    // True when neither the store nor another failure domain is reached: the
    // host can serve little, and soon nothing.
    [[nodiscard]] bool is_isolated(base::instant now) const;
    // How long ago the rows were confirmed; infinite when one is missing.
    [[nodiscard]] absl::Duration confirmed_age(base::instant now) const;
    // The place of this host when it comes to reading the store for others: in
    // a large fleet for those of its failure domain.
    [[nodiscard]] std::size_t reading_place() const
    {
        return m_reading_place;
    }
    // The endpoints as this host or a peer has read them at that time of the
    // store.
    void endpoints_read(const std::vector<catalogue::endpoint_entry>& endpoints,
                        rpc::store_instant at);
    // True while something waits for a reading of the rows that is newer than
    // the last one.
    [[nodiscard]] bool needs_rows(base::instant now) const;
    // True while a promotion waits for a new list of the endpoints.
    [[nodiscard]] bool needs_endpoints() const;
    // Newest version of the configuration that a peer has told.
    [[nodiscard]] base::configuration_version newest_configuration() const
    {
        return m_newest_configuration;
    }
    // What this host has in force, to tell the others.
    void set_configuration(rpc::configuration_ptr configuration)
    {
        m_configuration = std::move(configuration);
    }

    [[nodiscard]] absl::Duration
    configuration_age(base::instant now) const override;
    [[nodiscard]] bool
    is_configuration_current(base::instant now) const override;

    [[nodiscard]] std::optional<base::endpoint_id>
    primary(const base::group_id& group, base::instant now) const override;
    [[nodiscard]] bool may_continue(const base::group_id& group,
                                    const base::endpoint_id& endpoint,
                                    base::instant now) const override;
    [[nodiscard]] bool may_acknowledge(const base::group_id& group,
                                       const base::endpoint_id& endpoint,
                                       base::instant now) const override;
    [[nodiscard]] fleet::evacuation_phase
    evacuation(const base::failure_domain_id& domain,
               base::instant now) const override;

private:
    // One group's leadership at this host.
    struct group_leadership
    {
        // The group's endpoints, and the one of them that calls itself primary;
        // none when several do.
        std::vector<catalogue::endpoint_entry> m_entries;
        std::optional<base::endpoint_id> m_initial_primary;
        // Replicas that may have had commits and cannot be asked any more.
        handover::lost_replicas m_lost;
        // The leader is listed, stays and is not evacuated; kept when one of
        // them changes.
        bool m_leader_stays = false;
        // Set while the row's primary calls itself a replica and another
        // endpoint calls itself primary: the store's time of the first such
        // reading of the entries, or of the row's change after it.
        std::optional<rpc::store_instant> m_contradicted_since;
        const group_state* m_state = nullptr;
        std::optional<fleet::leadership_row> m_row;
        rpc::row_version m_version;
        // The version that was carried out.
        rpc::row_version m_followed;
        // The store's time after the row's change, and when it came here.
        rpc::store_instant m_changed_at;
        base::instant m_changed;
        // Newest generation whose predecessor this host uses no more.
        std::uint64_t m_stopped = 0;
        std::unique_ptr<handover::promotion> m_promotion;
        // Since when a replacement has been needed.
        std::optional<base::instant> m_needed_since;
        // Since when the promotion has waited for reports of endpoints that may
        // hold acknowledged commits, and when that is logged next.
        std::optional<base::instant> m_awaits_since;
        base::instant m_next_awaited_line;
        // When the group was in a report last, and the log point then.
        base::instant m_told;
        base::instant m_told_point;
        base::instant m_newest_point;

        [[nodiscard]] bool is_listed(const base::endpoint_id& endpoint) const;
    };
    using group_item = std::pair<const base::group_id, group_leadership>;

    [[nodiscard]] bool is_current(base::instant now) const;
    [[nodiscard]] bool is_confirmed_since_registration() const;
    void remember_rows();
    void restore_rows(base::instant now);
    [[nodiscard]] bool is_era_known() const;
    [[nodiscard]] bool is_recovered() const;
    [[nodiscard]] bool have_all_recovered() const;
    [[nodiscard]] bool is_settled(base::instant now) const;
    [[nodiscard]] bool is_era_before_over(base::instant now) const;
    [[nodiscard]] bool is_of_era(const fleet::host_report& report) const;
    bool accepts(const std::string& key, const std::string& value,
                 rpc::row_version version);
    void set_entries(group_leadership& group,
                     std::vector<catalogue::endpoint_entry> entries) const;
    void update_leader(group_leadership& group) const;
    [[nodiscard]] static bool is_contradicted(const group_leadership& group);
    [[nodiscard]] bool is_row_wrong(const group_leadership& group) const;
    [[nodiscard]] bool may_row_be_wrong(const group_leadership& group) const;
    [[nodiscard]] bool is_quiet(const base::group_id& id,
                                group_leadership& group) const;
    void take_leadership(const fleet::leadership_row& row,
                         rpc::row_version version, rpc::store_instant at,
                         base::instant now);
    void follow_leadership(base::instant now);
    void update_homes(base::instant now);
    void update_shares(base::instant now);
    void register_self(base::instant now);
    void mark_silent(base::instant now);
    void change_members(const rpc::fleet_change& change,
                        std::function<void()> applied);
    void change_rows(rpc::fleet_change change, absl::Duration timeout,
                     rpc::fleet_store::callback<rpc::change_outcome> done);
    void take_member(const fleet::member_row& row, rpc::row_version version,
                     rpc::store_instant at, base::instant now);
    [[nodiscard]] bool has_lapsed(const fleet::member& host,
                                  base::instant now) const;
    [[nodiscard]] bool are_all_rows_current(base::instant now) const;
    [[nodiscard]] bool counts_self(const fleet::member& host,
                                   base::instant now) const;
    [[nodiscard]] bool is_evacuated(const group_leadership& group,
                                    const base::endpoint_id& endpoint) const;
    // False when only evacuated endpoints could lead the group.
    [[nodiscard]] bool has_replacement_candidate(const group_leadership& group,
                                                 base::instant now) const;
    void take_operator_confirmation(const fleet::host_report& report,
                                    base::instant now);
    void check_configuration_age(base::instant now);
    void evacuations_changed(const char* source, base::instant now);
    void follow_evacuations(base::instant now);
    [[nodiscard]] std::vector<base::endpoint_id>
    replaced_endpoints(const base::group_id& id,
                       const fleet::leadership_row& claim);
    void stop_moving(const base::group_id& id, group_leadership& group,
                     base::instant now);
    void replace_primary(const base::group_id& id, group_leadership& group,
                         base::instant now);
    [[nodiscard]] handover::need assess(const base::group_id& id,
                                        const group_leadership& group,
                                        base::instant now) const;
    [[nodiscard]] bool holds_duty(base::instant now) const;
    [[nodiscard]] bool is_own_turn(const base::group_id& id,
                                   const group_leadership& group,
                                   handover::need need,
                                   base::instant now) const;
    [[nodiscard]] bool can_all_release(base::instant now) const;
    [[nodiscard]] std::vector<base::endpoint_id>
    promotion_candidates(const group_leadership& group,
                         const base::endpoint_id& primary,
                         base::instant now) const;
    [[nodiscard]] std::uint32_t sync_replicas(const base::group_id& id) const;
    [[nodiscard]] handover::commit_holders
    holders_of(const base::group_id& id, const group_leadership& group,
               base::instant now) const;
    [[nodiscard]] base::log_point shown_end(const base::group_id& id) const;
    void follow_lost_replicas(const base::group_id& id, group_leadership& group,
                              base::instant now) const;
    void tell_awaited(const base::group_id& id, group_leadership& group,
                      base::instant now);
    [[nodiscard]] handover::promotion_inputs inputs(const base::group_id& id,
                                                    group_leadership& group,
                                                    handover::need why,
                                                    base::instant now);
    [[nodiscard]] bool is_released(const base::group_id& id,
                                   const group_leadership& group,
                                   base::instant now) const;
    [[nodiscard]] bool has_released(const fleet::member& host,
                                    const base::group_id& id,
                                    const group_leadership& group,
                                    base::instant now) const;
    void carry_out(const base::group_id& id, group_leadership& group,
                   const std::vector<handover::promotion_action>& actions,
                   base::instant now);
    [[nodiscard]] fleet::host_report make_report(base::instant now);
    [[nodiscard]] std::vector<group_item*> groups_to_tell(base::instant now);
    [[nodiscard]] bool is_row_new(const group_leadership& group,
                                  base::instant now) const;
    [[nodiscard]] bool is_urgent(const base::group_id& id,
                                 const group_leadership& group,
                                 base::instant now) const;
    void leaderships_complete(rpc::row_version version);
    [[nodiscard]] fleet::group_report
    make_group_report(const base::group_id& id, const group_leadership& group,
                      base::instant now) const;
    void send_reports(base::instant now);
    void tell(const std::vector<std::string>& addresses, base::instant now);
    void tell_hosts(const std::vector<base::host_id>& hosts, base::instant now);
    void tell_all(base::instant now);
    [[nodiscard]] std::vector<base::host_id> judges(const base::group_id& id,
                                                    base::instant now) const;
    void tell_suspicions(base::instant now);
    void try_suspects(const fleet::host_report& report, base::instant now);
    void take_rows(const fleet::host_report& report, base::instant now);
    void take_members(const fleet::member_update& update, base::instant now);
    void pass_members_on(const fleet::member& to, base::instant now);
    void take_endpoints(fleet::endpoint_update update, base::instant now);
    void send_endpoints(const fleet::endpoint_request& request);
    [[nodiscard]] base::configuration_version configuration_version() const;
    void ask_configuration(const fleet::host_report& report, base::instant now);
    void send_configuration(const fleet::configuration_request& request);
    void take_configuration(fleet::configuration_part part, base::instant now);
    void take_report(fleet::host_report report, base::instant now);
    void take_request(const fleet::token_transfer& request, base::instant now);
    void take_grant(const fleet::token_transfer& grant, base::instant now);
    [[nodiscard]] fleet::token_transfer
    transfer(const base::organisation_id& who, std::uint32_t amount) const;
    void take_covered(const fleet::group_report& report, base::instant now);
    group_leadership& find(const base::group_id& id);

    fleet_options m_options;
    fleet_links m_links;
    quota::demand_table& m_demand;
    quota::even_shares& m_shares;
    quota::home_hosts& m_homes;
    statement_runner* m_runner = nullptr;
    token_receiver* m_tokens = nullptr;
    logging::logger m_log{"fleet"};
    lease::store_clock m_store_clock;
    lease::currency m_currency;
    fleet::member_book m_members;
    std::map<base::group_id, group_leadership> m_groups;
    std::optional<fleet::duty_row> m_duty;
    rpc::row_version m_duty_version;
    // Era of the store that this host's rows and their versions are of.
    std::optional<rpc::store_era> m_era;
    std::optional<fleet::era_row> m_era_row;
    rpc::row_version m_era_version;
    fleet::row_recovery m_recovery;
    // The era began while this process ran.
    bool m_saw_return = false;
    // All rows of the era have been read, and from when on what is lost is
    // written again.
    bool m_era_read = false;
    base::instant m_recover_at;
    // A peer follows a newer era.
    bool m_era_missing = false;
    rpc::configuration_ptr m_configuration;
    // As of when all rows of the operator are known.
    lease::currency m_operator_rows;
    // The bound has passed since then, and a log line says so.
    bool m_configuration_outdated = false;
    std::optional<base::instant> m_configuration_asked;
    // The newest configuration that a peer has told, and when it did first.
    base::instant m_newest_configuration_at;
    base::configuration_version m_newest_configuration;
    // Until when the rows of members may be relied on as well. Only that may be
    // told others: a host that does not know that another one is marked as out
    // must not extend its reliance.
    lease::currency m_all_rows;
    fleet::member_relay m_relay;
    // A time of the store after the change that registered this process.
    std::optional<rpc::store_instant> m_registered_at;
    // All rows up to this version have been read.
    rpc::row_version m_rows_version;
    // Version of the newest claim of this host.
    rpc::row_version m_claim_version;
    base::instant m_registered;
    // Highest version of a leadership row that is known with all before.
    rpc::row_version m_leaderships_version;
    // A peer has told of a leadership row that this host lacks.
    bool m_row_missing = false;
    fleet::endpoint_relay m_endpoints;
    fleet::configuration_relay m_configurations;
    fleet::evacuations m_evacuations;
    // Since when each evacuation has been in force here.
    std::map<base::failure_domain_id, base::instant> m_evacuated_since;
    base::instant m_next_evacuation_line;
    base::instant m_next_suspicion;
    std::size_t m_reading_place = 0;
    // Rows of members have changed, or a marked one has not lapsed yet.
    bool m_members_changed = false;
    bool m_rows_known = false;
    bool m_store_reachable = false;
    bool m_leaving = false;
    bool m_member_change_running = false;
    std::uint64_t m_report_number = 0;
    base::instant m_next_report;
};

} // namespace magnoliastack::entry

#endif
