#include "control_plane.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace magnoliastack::proxy
{

namespace
{

const absl::Duration platform_timeout = absl::Milliseconds(800);
const absl::Duration peer_timeout = absl::Milliseconds(400);
const absl::Duration judge_interval = absl::Milliseconds(200);
const absl::Duration list_interval = absl::Seconds(1);

// How long a planned stop waits for loans to end, so that its slots can be
// handed back. A slot that is not handed back is claimed by another host only
// after connection_share_bound.
const absl::Duration release_limit = absl::Seconds(40);

// A dead host's connections return to the others after this long. It has to
// outlast a partition of minutes, during which the cut-off failure domain
// keeps its connections for open routes; a planned stop hands them over at
// once.
const absl::Duration connection_share_bound = absl::Minutes(10);

share::share_timing share_times(absl::Duration currency_bound)
{
    share::share_timing timing;
    timing.m_fraction.m_bound = currency_bound;
    timing.m_units.m_bound = connection_share_bound;
    return timing;
}

configuration::keeper_options keeper_options(const context& shared,
                                             const control_options& options)
{
    configuration::keeper_options result;
    result.m_self = shared.m_self;
    result.m_random_seed = options.m_incarnation.value();
    return result;
}

configuration::judge_options judge_options(const context& shared)
{
    configuration::judge_options result;
    result.m_self = shared.m_self;
    return result;
}

rpc::member_entry own_entry(const context& shared,
                            const control_options& options)
{
    rpc::member_entry entry;
    entry.m_host = shared.m_self;
    entry.m_incarnation = options.m_incarnation;
    entry.m_failure_domain = shared.m_failure_domain;
    entry.m_peer_address = options.m_peer_address;
    return entry;
}

membership::member_options member_options(const control_options& options)
{
    membership::member_options result;
    result.m_seeds = options.m_seeds;
    result.m_random_seed = options.m_incarnation.value();
    return result;
}

share::ledger_options ledger_options(const context& shared,
                                     const control_options& options)
{
    share::ledger_options result;
    result.m_self = shared.m_self;
    result.m_incarnation = options.m_incarnation;
    result.m_timing = share_times(absl::Seconds(5));
    return result;
}

std::string rate_resource(const base::organisation_id& id)
{
    return "org/" + id.str();
}

// Marks a borrow request for tokens instead of a rate.
const std::string token_prefix = "token/";

// Tokens expire 150 ms after they were asked for.
const absl::Duration token_timeout = absl::Milliseconds(100);

std::string connection_resource(const base::endpoint_id& id)
{
    return "endpoint/" + id.str();
}

} // namespace

std::optional<base::organisation_id>
token_organisation(const std::string& resource)
{
    if (!resource.starts_with(token_prefix))
        return std::nullopt;
    return base::organisation_id(resource.substr(token_prefix.size()));
}

control_plane::control_plane(context& shared, control_options options,
                             rpc::platform_link& platform,
                             rpc::peer_link& peers)
    : m_shared(shared), m_options(std::move(options)), m_platform(platform),
      m_peers(peers), m_keeper(keeper_options(shared, m_options), m_checker),
      m_judge(judge_options(shared)),
      m_members(own_entry(shared, m_options), member_options(m_options)),
      m_ledger(ledger_options(shared, m_options))
{
}

void control_plane::tick(base::instant now)
{
    refresh_list(now);
    tick_configuration(now);
    tick_members(now);
    tick_shares(now);
    tick_changes(now);
    tick_judge(now);
}

void control_plane::refresh_list(base::instant now)
{
    if (now < m_next_list)
        return;
    m_next_list = now + list_interval;
    const rpc::listed_host self{m_shared.m_self, m_options.m_peer_address,
                                m_shared.m_failure_domain, m_leaving};
    m_platform.announce(self, false, platform_timeout,
                        [](const base::result<bool>&) {});
    m_platform.list_hosts(
        platform_timeout,
        [this, sent_at = now](base::result<rpc::host_list> answer)
        {
            m_shared.m_post(
                [this, sent_at, answer = std::move(answer)]
                {
                    if (answer.has_value())
                        list_received(*answer, sent_at);
                });
        });
}

void control_plane::list_received(const rpc::host_list& list,
                                  base::instant sent_at)
{
    const base::instant now = m_shared.m_clock.now();
    m_members.list_received(list, now);
    m_keeper.hosts_listed(list.m_hosts, now);
    m_judge.hosts_listed(list.m_hosts, sent_at, now);
    std::vector<base::host_id> hosts;
    for (const rpc::listed_host& item : list.m_hosts)
        hosts.push_back(item.m_host);
    if (m_slots)
        m_slots->hosts_listed(hosts, now);
}

void control_plane::tick_configuration(base::instant now)
{
    for (const configuration::action& what : m_keeper.tick(now))
    {
        if (std::holds_alternative<configuration::read_row>(what))
            read_configuration_row(now);
        else if (const auto* get =
                     std::get_if<configuration::get_object>(&what))
            fetch_object(get->m_hash);
        else if (const auto* peer =
                     std::get_if<configuration::fetch_from_peer>(&what))
            fetch_from_peer(*peer);
    }
    m_members.set_configuration_version(m_keeper.announced_version());
    m_members.set_store_reachable(m_keeper.is_store_reachable());
    refresh_fleet(now);
    const bool confirmed = m_keeper.is_confirmed(now);
    if (confirmed != std::exchange(m_was_confirmed, confirmed))
        m_log.info(confirmed ? "configuration_confirmed"
                             : "configuration_unconfirmed",
                   {{"version", m_keeper.highest_version()}});
}

void control_plane::read_configuration_row(base::instant now)
{
    m_shared.m_metrics.counter("platform.reads").add(1);
    m_platform.read_row(
        configuration::row_key, platform_timeout,
        [this, sent_at = now](base::result<rpc::row_state> answer)
        {
            m_shared.m_post(
                [this, sent_at, answer = std::move(answer)]
                {
                    const base::instant at = m_shared.m_clock.now();
                    m_keeper.row_read(answer, sent_at);
                    if (!answer.has_value())
                        return;
                    const auto row = configuration::parse_row(answer->m_value);
                    if (row.has_value())
                        m_judge.row_seen(row->m_current.m_version, at);
                });
        });
}

void control_plane::fetch_object(const std::string& hash)
{
    m_shared.m_metrics.counter("platform.reads").add(1);
    m_platform.get_object(
        hash, platform_timeout,
        [this, hash](base::result<std::optional<std::string>> answer)
        {
            m_shared.m_post(
                [this, hash, answer = std::move(answer)]
                {
                    m_keeper.object_read(hash, answer, m_shared.m_clock.now());
                    refresh_fleet(m_shared.m_clock.now());
                });
        });
}

void control_plane::fetch_from_peer(const configuration::fetch_from_peer& what)
{
    m_peers.fetch_configuration(
        address_of(what.m_host), what.m_minimum_version, peer_timeout,
        [this,
         host = what.m_host](base::result<rpc::configuration_object> answer)
        {
            m_shared.m_post(
                [this, host, answer = std::move(answer)]
                {
                    m_keeper.peer_object_read(host, answer,
                                              m_shared.m_clock.now());
                    refresh_fleet(m_shared.m_clock.now());
                });
        });
}

void control_plane::refresh_fleet(base::instant now)
{
    const configuration::active_configuration* active = m_keeper.active();
    if (active == nullptr || (m_fleet && m_fleet->m_change == active->m_change))
        return;
    auto parsed = inventory::parse_inventory(active->m_content.m_inventory_text,
                                             "inventory");
    // The keeper has checked the content before it came into force.
    if (!parsed.has_value())
        return;
    const std::unique_ptr<active_fleet> old = std::move(m_fleet);
    m_judge.roster_seen(active->m_content.m_roster, now);
    m_fleet = std::make_unique<active_fleet>(
        active->m_change, *std::move(parsed), active->m_content);
    const absl::Duration bound = m_fleet->m_inventory.m_configuration_bound;
    m_keeper.set_bound(bound);
    // Hosts under the old bound may serve that long.
    m_judge.set_bound(
        old ? std::max(bound, old->m_inventory.m_configuration_bound) : bound);
    apply_resources(old.get(), now);
    m_log.info("configuration_in_force",
               {{"version", active->m_change.m_version},
                {"hash", active->m_change.m_hash},
                {"author", active->m_change.m_author}});
}

void control_plane::apply_resources(const active_fleet* old, base::instant now)
{
    const inventory::inventory& present = m_fleet->m_inventory;
    if (!m_slots)
    {
        share::slot_keeper_options options;
        options.m_self = m_shared.m_self;
        options.m_incarnation = m_options.m_incarnation;
        options.m_slots = present.m_slots;
        options.m_timing = share_times(present.m_configuration_bound);
        options.m_seed = m_options.m_incarnation.value();
        m_slots = std::make_unique<share::slot_keeper>(options);
    }
    if (old != nullptr)
    {
        for (const auto& [id, item] : old->m_inventory.m_organisations)
            if (present.find(id) == nullptr)
                m_ledger.set_resource(rate_resource(id),
                                      share::resource_kind::fraction, 0, now);
        for (const auto& [id, item] : old->m_inventory.m_endpoints)
            if (present.find(id) == nullptr)
                m_ledger.set_resource(connection_resource(id),
                                      share::resource_kind::units, 0, now);
    }
    for (const auto& [id, item] : present.m_organisations)
        m_ledger.set_resource(rate_resource(id), share::resource_kind::fraction,
                              share::whole, now);
    for (const auto& [id, item] : present.m_endpoints)
        m_ledger.set_resource(connection_resource(id),
                              share::resource_kind::units, item.m_connections,
                              now);
}

void control_plane::tick_members(base::instant now)
{
    for (membership::outgoing_exchange& item : m_members.tick(now))
    {
        m_peers.exchange(
            item.m_address, item.m_message, peer_timeout,
            [this, host = item.m_host,
             sent_at = now](base::result<rpc::exchange_message> answer)
            {
                m_shared.m_post(
                    [this, host, sent_at, answer = std::move(answer)]
                    {
                        exchange_answered(host, answer, sent_at);
                    });
            });
    }
}

void control_plane::exchange_answered(
    const base::host_id& host,
    const base::result<rpc::exchange_message>& answer, base::instant sent_at)
{
    const base::instant now = m_shared.m_clock.now();
    if (!answer.has_value())
    {
        if (!host.empty())
            m_members.exchange_failed(host, now);
        return;
    }
    const base::host_id& sender = answer->m_sender;
    m_members.answer_received(sender, *answer, sent_at, now);
    m_keeper.peer_version_seen(sender, answer->m_configuration_version, sent_at,
                               now);
    for (const rpc::member_entry& entry : answer->m_entries)
        m_keeper.version_heard(entry.m_host, entry.m_configuration_version);
    if (m_slots)
        m_slots->peer_version_seen(sender, answer->m_slots_version, sent_at,
                                   now);
}

rpc::exchange_message
control_plane::exchange_received(const rpc::exchange_message& what,
                                 base::instant now)
{
    for (const rpc::member_entry& entry : what.m_entries)
        m_keeper.version_heard(entry.m_host, entry.m_configuration_version);
    return m_members.exchange_received(what, now);
}

void control_plane::tick_shares(base::instant now)
{
    if (!m_slots)
        return;
    tick_slots(now);
    m_members.set_slots(m_slots->holdings(), m_slots->row_version());
    m_ledger.set_slots(m_slots->slots(), m_slots->slot_count(),
                       m_slots->confirmed_at(), now);
    const absl::Duration age = m_keeper.confirmed_age(now);
    std::optional<base::instant> confirmed_at;
    if (age != absl::InfiniteDuration())
        confirmed_at = now - age;
    m_ledger.set_confirmed(confirmed_at, now);
    m_ledger.set_peers(m_live, now);
    if (m_ledger.covers_loans(now))
        m_slots->slots_vacated(now);
    for (const share::ledger_action& what : m_ledger.tick(now))
    {
        if (const auto* ask = std::get_if<share::borrow>(&what))
            send_borrow(*ask, now);
        else if (const auto* back = std::get_if<share::return_loan>(&what))
            send_return(*back);
    }
}

void control_plane::tick_slots(base::instant now)
{
    std::vector<rpc::member_entry> entries;
    m_live.clear();
    for (const membership::member& item : m_members.members())
    {
        entries.push_back(item.m_entry);
        if (item.m_entry.m_state == rpc::member_state::alive)
            m_live.push_back(item.m_entry.m_host);
    }
    m_slots->members_changed(entries, now);
    for (const share::slot_action& what : m_slots->tick(now))
    {
        if (std::holds_alternative<share::read_row>(what))
            read_slots_row(now);
        else if (const auto* swap = std::get_if<share::swap_row>(&what))
            swap_slots(*swap, now);
    }
}

void control_plane::read_slots_row(base::instant now)
{
    m_shared.m_metrics.counter("platform.reads").add(1);
    m_platform.read_row(
        share::slots_row_key, platform_timeout,
        [this, sent_at = now](base::result<rpc::row_state> answer)
        {
            m_shared.m_post(
                [this, sent_at, answer = std::move(answer)]
                {
                    m_slots->row_read(answer, sent_at, m_shared.m_clock.now());
                });
        });
}

void control_plane::send_borrow(const share::borrow& what, base::instant now)
{
    m_peers.borrow(
        address_of(what.m_host), what.m_request, peer_timeout,
        [this, what, sent_at = now](base::result<rpc::borrow_response> answer)
        {
            m_shared.m_post(
                [this, what, sent_at, answer = std::move(answer)]
                {
                    m_ledger.borrow_answered(what.m_host, what.m_request,
                                             answer, sent_at,
                                             m_shared.m_clock.now());
                });
        });
}

void control_plane::send_return(const share::return_loan& what)
{
    m_peers.give_back_loan(
        address_of(what.m_host), what.m_message, peer_timeout,
        [this, what](base::result<bool> answer)
        {
            m_shared.m_post(
                [this, what, answer = std::move(answer)]
                {
                    m_ledger.give_back_answered(what.m_host, what.m_message,
                                                answer, m_shared.m_clock.now());
                });
        });
}

void control_plane::swap_slots(const share::swap_row& what, base::instant now)
{
    m_shared.m_metrics.counter("platform.writes").add(1);
    m_platform.compare_and_swap(
        share::slots_row_key, what.m_expected_version, what.m_value,
        platform_timeout,
        [this, sent_at = now](base::result<rpc::swap_outcome> answer)
        {
            m_shared.m_post(
                [this, sent_at, answer = std::move(answer)]
                {
                    m_slots->swap_done(answer, sent_at, m_shared.m_clock.now());
                });
        });
}

base::host_id
control_plane::home_of(const base::organisation_id& organisation) const
{
    const auto score = [&organisation](const base::host_id& host)
    {
        const std::string text = organisation.str() + "/" + host.str();
        return XXH3_64bits(text.data(), text.size());
    };
    base::host_id best = m_shared.m_self;
    for (const base::host_id& host : m_live)
        if (score(host) > score(best))
            best = host;
    return best;
}

bool control_plane::borrow_tokens(const base::organisation_id& organisation,
                                  std::uint64_t amount, bool from_home,
                                  std::function<void(std::uint64_t)> done)
{
    if (m_live.empty())
        return false;
    base::host_id host = m_live[m_next_lender++ % m_live.size()];
    if (from_home && home_of(organisation) != m_shared.m_self)
        host = home_of(organisation);
    const rpc::borrow_request request{m_shared.m_self, m_options.m_incarnation,
                                      token_prefix + organisation.str(),
                                      amount};
    m_shared.m_metrics.counter("tokens.asked").add(1);
    m_peers.borrow(
        address_of(host), request, token_timeout,
        [this, done = std::move(done)](
            const base::result<rpc::borrow_response>& answer)
        {
            m_shared.m_post(
                [this, done, amount = answer ? answer->m_amount : 0]
                {
                    m_shared.m_metrics.counter("tokens.borrowed").add(amount);
                    done(amount);
                });
        });
    return true;
}

rpc::borrow_response
control_plane::borrow_received(const rpc::borrow_request& what,
                               base::instant now)
{
    return m_ledger.borrow_received(what, now);
}

base::result<rpc::configuration_object>
control_plane::configuration_for_peer(base::configuration_version minimum) const
{
    const configuration::active_configuration* active = m_keeper.active();
    if (active == nullptr || active->m_change.m_version < minimum)
        return base::fail(base::error_code::not_found,
                          "this host has no such version");
    return rpc::configuration_object{
        active->m_change.m_version, active->m_change.m_hash,
        active->m_change.m_change_id, active->m_change.m_author,
        active->m_bytes};
}

void control_plane::start_change(base::configuration_version based_on,
                                 configuration::content content,
                                 std::string change_id, std::string author,
                                 std::function<void(change_result)> done)
{
    const base::instant now = m_shared.m_clock.now();
    content.m_roster = m_judge.roster(now);
    m_changes.push_back(std::make_shared<running_change>(running_change{
        configuration::change(based_on, std::move(content),
                              std::move(change_id), std::move(author), now),
        std::move(done)}));
}

void control_plane::tick_changes(base::instant now)
{
    for (const std::shared_ptr<running_change>& item : m_changes)
        for (const configuration::change_action& what :
             item->m_change.tick(now))
            carry_out(item, what);
    const auto done = [](const std::shared_ptr<running_change>& item)
    {
        return item->m_change.state() != configuration::change_state::running;
    };
    for (const std::shared_ptr<running_change>& item : m_changes)
    {
        if (!done(item))
            continue;
        change_result result{item->m_change.state(),
                             item->m_change.outcome(),
                             item->m_change.problem(),
                             {}};
        if (result.m_state == configuration::change_state::stored)
        {
            m_judge.row_seen(result.m_change.m_version, now);
            m_keeper.version_heard(m_shared.m_self, result.m_change.m_version);
            result.m_acceptance = judge(result.m_change.m_version, now);
        }
        item->m_done(std::move(result));
    }
    std::erase_if(m_changes, done);
}

void control_plane::carry_out(const std::shared_ptr<running_change>& change,
                              const configuration::change_action& what)
{
    if (const auto* put = std::get_if<configuration::put_content>(&what))
    {
        m_shared.m_metrics.counter("platform.writes").add(1);
        m_platform.put_object(put->m_hash, put->m_bytes, platform_timeout,
                              [this, change](base::result<bool> answer)
                              {
                                  m_shared.m_post(
                                      [this, change, answer = std::move(answer)]
                                      {
                                          change->m_change.content_put(
                                              answer, m_shared.m_clock.now());
                                      });
                              });
    }
    else if (const auto* swap = std::get_if<configuration::swap_row>(&what))
    {
        m_shared.m_metrics.counter("platform.writes").add(1);
        m_platform.compare_and_swap(
            configuration::row_key, swap->m_expected_row_version, swap->m_value,
            platform_timeout,
            [this, change](base::result<rpc::swap_outcome> answer)
            {
                m_shared.m_post(
                    [this, change, answer = std::move(answer)]
                    {
                        change->m_change.row_swapped(answer,
                                                     m_shared.m_clock.now());
                    });
            });
    }
    else
    {
        m_shared.m_metrics.counter("platform.reads").add(1);
        m_platform.read_row(configuration::row_key, platform_timeout,
                            [this, change](base::result<rpc::row_state> answer)
                            {
                                m_shared.m_post(
                                    [this, change, answer = std::move(answer)]
                                    {
                                        change->m_change.row_read(
                                            answer, m_shared.m_clock.now());
                                    });
                            });
    }
}

// The judge collects evidence whenever it is asked, so it is asked while a
// change is pending, whether or not an operator waits.
void control_plane::tick_judge(base::instant now)
{
    if (m_fleet == nullptr || now < m_next_judgement)
        return;
    m_next_judgement = now + judge_interval;
    const base::configuration_version present = m_fleet->m_change.m_version;
    if (m_accepted < present && judge(present, now).m_accepted)
        m_accepted = present;
    // Confirmation by peers and acceptance need answers from a majority within
    // the bound; in a large fleet the gossip alone visits too few peers.
    const bool needs_majority =
        !m_keeper.is_store_reachable() || m_accepted < present;
    m_members.set_contact_period(
        needs_majority ? m_fleet->m_inventory.m_configuration_bound / 2
                       : absl::ZeroDuration());
}

std::vector<configuration::host_report>
control_plane::reports(base::instant now) const
{
    std::vector<configuration::host_report> reports;
    reports.push_back({m_shared.m_self, m_options.m_incarnation,
                       m_keeper.announced_version(), now, now});
    for (const membership::member& item : m_members.members())
        reports.push_back({item.m_entry.m_host, item.m_entry.m_incarnation,
                           item.m_entry.m_configuration_version,
                           item.m_last_news, item.m_answered_sent_at});
    return reports;
}

configuration::acceptance
control_plane::judge(base::configuration_version version, base::instant now)
{
    return m_judge.judge(version, reports(now), now);
}

std::set<base::endpoint_id> control_plane::leaving_endpoints() const
{
    const std::vector<base::endpoint_id> leaving =
        m_members.leaving_endpoints();
    return {leaving.begin(), leaving.end()};
}

failover::evidence_list
control_plane::evidence(const base::group_id& group) const
{
    failover::evidence_list list;
    list.push_back({m_shared.m_self, m_shared.m_failure_domain, true, {}});
    for (const membership::member& item : m_members.members())
        for (const rpc::group_observation& seen : item.m_entry.m_groups)
            if (seen.m_group == group)
                list.push_back(
                    {item.m_entry.m_host, item.m_entry.m_failure_domain,
                     item.m_entry.m_state == rpc::member_state::alive, seen});
    return list;
}

void control_plane::set_observations(std::vector<rpc::group_observation> groups,
                                     std::vector<base::endpoint_id> leaving)
{
    m_members.set_groups(std::move(groups));
    m_members.set_leaving_endpoints(std::move(leaving));
}

std::string control_plane::address_of(const base::host_id& host) const
{
    const membership::member* known = m_members.find(host);
    return known == nullptr ? std::string() : known->m_entry.m_peer_address;
}

void control_plane::leave(base::instant now)
{
    if (std::exchange(m_leaving, true))
        return;
    m_members.leave();
    m_keeper.leave();
    m_ledger.stop_lending(now);
    m_next_list = now;
}

void control_plane::release_shares(base::instant now)
{
    if (std::exchange(m_released, true) || !m_slots)
        return;
    m_release_deadline = now + release_limit;
    m_slots->release(now);
}

bool control_plane::has_left(base::instant now) const
{
    if (!m_slots || m_slots->is_released())
        return true;
    return m_released &&
           (!m_keeper.is_store_reachable() || now >= m_release_deadline);
}

void control_plane::announce_gone()
{
    m_platform.announce({m_shared.m_self, m_options.m_peer_address,
                         m_shared.m_failure_domain, true},
                        true, platform_timeout,
                        [](const base::result<bool>&) {});
}

} // namespace magnoliastack::proxy
