// Membership, configuration, shares and operators' changes of one host.
#ifndef MAGNOLIASTACK_LIB_PROXY_CONTROL_PLANE_HPP
#define MAGNOLIASTACK_LIB_PROXY_CONTROL_PLANE_HPP

#include "active_fleet.hpp"
#include "context.hpp"

#include "magnoliastack/configuration/acceptance.hpp"
#include "magnoliastack/configuration/change.hpp"
#include "magnoliastack/configuration/keeper.hpp"
#include "magnoliastack/failover/evidence.hpp"
#include "magnoliastack/logging/logging.hpp"
#include "magnoliastack/membership/member_table.hpp"
#include "magnoliastack/rpc/peer_link.hpp"
#include "magnoliastack/rpc/platform_link.hpp"
#include "magnoliastack/share/ledger.hpp"
#include "magnoliastack/share/slot_keeper.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace magnoliastack::proxy
{

// Identity and addresses of this host.
struct control_options
{
    base::incarnation m_incarnation;
    std::string m_peer_address;
    std::vector<std::string> m_seeds;
};

// What became of an operator's change.
struct change_result
{
    configuration::change_state m_state = configuration::change_state::unknown;
    configuration::change_record m_change;
    std::string m_problem;
    configuration::acceptance m_acceptance;
};

// The organisation in a borrow request for tokens, or nothing for a request
// that the ledger answers.
std::optional<base::organisation_id>
token_organisation(const std::string& resource);

// Runs on the event loop. Calls of the platform and of peers return through
// context::m_post.
class control_plane
{
public:
    control_plane(context& shared, control_options options,
                  rpc::platform_link& platform, rpc::peer_link& peers);

    void tick(base::instant now);

    // The configuration in force, or null. Changes its address with each
    // version.
    [[nodiscard]] const active_fleet* fleet() const
    {
        return m_fleet.get();
    }
    [[nodiscard]] const configuration::keeper& keeper() const
    {
        return m_keeper;
    }
    [[nodiscard]] const membership::member_table& members() const
    {
        return m_members;
    }
    [[nodiscard]] share::ledger& shares()
    {
        return m_ledger;
    }
    // True while the version in use is confirmed current. The keeper can be
    // ahead of fleet() for a moment; its confirmation then says nothing about
    // the older version.
    [[nodiscard]] bool is_confirmed(base::instant now) const
    {
        return m_fleet && m_keeper.active() != nullptr &&
               m_fleet->m_change == m_keeper.active()->m_change &&
               m_keeper.is_confirmed(now);
    }

    // Endpoints that are leaving by the platform's list or the peers' word.
    [[nodiscard]] std::set<base::endpoint_id> leaving_endpoints() const;

    // What the fleet reports of a group, this host included.
    [[nodiscard]] failover::evidence_list
    evidence(const base::group_id& group) const;

    // For the own gossip entry.
    void set_observations(std::vector<rpc::group_observation> groups,
                          std::vector<base::endpoint_id> leaving);

    // Stores a change and reports how it stands once its fate in the store is
    // known.
    void start_change(base::configuration_version based_on,
                      configuration::content content, std::string change_id,
                      std::string author,
                      std::function<void(change_result)> done);

    // Whether a stored version is in force everywhere.
    configuration::acceptance judge(base::configuration_version version,
                                    base::instant now);

    // Planned stop, first step: no vote, no lending, marked as leaving.
    void leave(base::instant now);
    // Second step, once no request runs: slots are handed back.
    void release_shares(base::instant now);
    // True when the slots were released, or waiting for that does not help.
    [[nodiscard]] bool has_left(base::instant now) const;
    // Tells the platform that the process stops.
    void announce_gone();

    // The host where an organisation's tokens are pooled: the first of the
    // live ones by rendezvous hash.
    [[nodiscard]] base::host_id
    home_of(const base::organisation_id& organisation) const;

    // Asks one live peer for tokens of an organisation, the home host or the
    // next in turn; `done` gets their number, 0 when none or when the answer
    // was lost. False when there is no peer to ask.
    bool borrow_tokens(const base::organisation_id& organisation,
                       std::uint64_t amount, bool from_home,
                       std::function<void(std::uint64_t)> done);

    // Handlers of the peer service.
    rpc::exchange_message exchange_received(const rpc::exchange_message& what,
                                            base::instant now);
    rpc::borrow_response borrow_received(const rpc::borrow_request& what,
                                         base::instant now);
    base::result<rpc::configuration_object>
    configuration_for_peer(base::configuration_version minimum) const;

private:
    // A change in progress.
    struct running_change
    {
        configuration::change m_change;
        std::function<void(change_result)> m_done;
    };

    void tick_configuration(base::instant now);
    void tick_members(base::instant now);
    void tick_shares(base::instant now);
    void tick_slots(base::instant now);
    void read_slots_row(base::instant now);
    void send_borrow(const share::borrow& what, base::instant now);
    void send_return(const share::return_loan& what);
    void tick_changes(base::instant now);
    void tick_judge(base::instant now);
    void read_configuration_row(base::instant now);
    void fetch_object(const std::string& hash);
    void fetch_from_peer(const configuration::fetch_from_peer& what);
    void refresh_list(base::instant now);
    void list_received(const rpc::host_list& list, base::instant sent_at);
    void refresh_fleet(base::instant now);
    void apply_resources(const active_fleet* old, base::instant now);
    void carry_out(const std::shared_ptr<running_change>& change,
                   const configuration::change_action& what);
    void exchange_answered(const base::host_id& host,
                           const base::result<rpc::exchange_message>& answer,
                           base::instant sent_at);
    void swap_slots(const share::swap_row& what, base::instant now);
    [[nodiscard]] std::vector<configuration::host_report>
    reports(base::instant now) const;
    [[nodiscard]] std::string address_of(const base::host_id& host) const;

    context& m_shared;
    logging::logger m_log{"control"};
    control_options m_options;
    rpc::platform_link& m_platform;
    rpc::peer_link& m_peers;
    inventory_checker m_checker;
    configuration::keeper m_keeper;
    configuration::acceptance_judge m_judge;
    membership::member_table m_members;
    std::unique_ptr<share::slot_keeper> m_slots;
    share::ledger m_ledger;
    std::unique_ptr<active_fleet> m_fleet;
    std::vector<std::shared_ptr<running_change>> m_changes;
    base::instant m_next_list;
    // The live peers of the last tick, and whom to ask for tokens next.
    std::vector<base::host_id> m_live;
    std::size_t m_next_lender = 0;
    base::instant m_next_judgement;
    // The newest version that is known to be accepted.
    base::configuration_version m_accepted;
    bool m_leaving = false;
    bool m_released = false;
    base::instant m_release_deadline;
    bool m_was_confirmed = false;
};

} // namespace magnoliastack::proxy

#endif
