#include "magnoliastack/membership/member_table.hpp"

#include "absl/container/btree_set.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace magnoliastack::membership
{

namespace
{

// Dead hosts and seeds are tried once in this many intervals.
constexpr std::uint64_t rare_interval = 5;

// Most bytes of entries in one message above the full exchange limit.
constexpr std::size_t max_entries_size = 1'200;

// Exchanges in a row that fail before a host is suspect.
constexpr std::size_t failures_to_suspect = 2;

bool is_accusation(rpc::member_state state)
{
    return state == rpc::member_state::suspect ||
           state == rpc::member_state::dead;
}

// Whether the entry is from a later moment of the host than the known one.
bool is_newer(const rpc::member_entry& entry, const rpc::member_entry& known)
{
    if (entry.m_incarnation != known.m_incarnation)
        return entry.m_incarnation > known.m_incarnation;
    return entry.m_heartbeat > known.m_heartbeat;
}

// Whether other hosts need to hear of the difference. Heartbeats, versions and
// durations change all the time and are left out.
bool is_changed(const rpc::member_entry& left, const rpc::member_entry& right)
{
    const auto same_group = [](const rpc::group_observation& one,
                               const rpc::group_observation& other)
    {
        return one.m_group == other.m_group && one.m_term == other.m_term &&
               one.m_primary == other.m_primary &&
               one.m_primary_unreachable == other.m_primary_unreachable &&
               one.m_majority_reachable == other.m_majority_reachable;
    };
    return left.m_incarnation != right.m_incarnation ||
           left.m_peer_address != right.m_peer_address ||
           left.m_slots != right.m_slots ||
           left.m_leaving_endpoints != right.m_leaving_endpoints ||
           left.m_store_reachable != right.m_store_reachable ||
           !std::equal(left.m_groups.begin(), left.m_groups.end(),
                       right.m_groups.begin(), right.m_groups.end(),
                       same_group);
}

} // namespace

member_table::member_table(rpc::member_entry self, member_options options)
    : m_self(std::move(self)), m_options(std::move(options)),
      m_random(m_options.m_random_seed)
{
    m_self.m_state = rpc::member_state::alive;
    m_tokens = static_cast<double>(m_options.m_byte_budget);
    self_changed();
}

void member_table::list_received(const rpc::host_list& list, base::instant now)
{
    m_list = list;
    for (auto& [host, known] : m_records)
        known.m_member.m_listed = false;
    for (const rpc::listed_host& listed : m_list.m_hosts)
    {
        if (listed.m_host == m_self.m_host)
            continue;
        auto found = m_records.find(listed.m_host);
        if (found == m_records.end())
        {
            rpc::member_entry entry;
            entry.m_host = listed.m_host;
            entry.m_failure_domain = listed.m_failure_domain;
            entry.m_peer_address = listed.m_peer_address;
            // All hosts have the list, so this is no news to send.
            insert(entry, now).m_sends_left = 0;
            found = m_records.find(listed.m_host);
        }
        found->second.m_member.m_listed = true;
        found->second.m_listed_as_leaving = listed.m_leaving;
    }
    update_states(now);
}

std::vector<outgoing_exchange> member_table::tick(base::instant now)
{
    skip_pause(now);
    update_states(now);
    if (m_next_exchange && now < *m_next_exchange)
        return {};
    // After a late tick the missed intervals are not made up for.
    m_next_exchange = now + m_options.m_exchange_interval;
    ++m_intervals;
    ++m_self.m_heartbeat;

    std::vector<outgoing_exchange> out;
    for (const base::host_id& host : choose_peers())
    {
        const record& known = m_records.at(host);
        outgoing_exchange exchange{host, known.m_member.m_entry.m_peer_address,
                                   build_message(host)};
        spend(exchange.m_message);
        out.push_back(std::move(exchange));
    }
    add_seeds(out);
    return out;
}

rpc::exchange_message
member_table::exchange_received(const rpc::exchange_message& message,
                                base::instant now)
{
    merge_message(message, now);
    rpc::exchange_message answer = build_message(message.m_sender);
    spend(answer);
    return answer;
}

void member_table::answer_received(const base::host_id& host,
                                   const rpc::exchange_message& message,
                                   base::instant sent_at, base::instant now)
{
    // Another host may have taken over the address.
    if (!host.empty() && host != message.m_sender)
        exchange_failed(host, now);
    merge_message(message, now);
    const auto found = m_records.find(message.m_sender);
    if (found == m_records.end())
        return;
    member& peer = found->second.m_member;
    if (peer.m_entry.m_incarnation != message.m_incarnation)
        return;
    peer.m_answered_sent_at =
        std::max(peer.m_answered_sent_at.value_or(sent_at), sent_at);
}

void member_table::exchange_failed(const base::host_id& host, base::instant now)
{
    const auto found = m_records.find(host);
    if (found == m_records.end())
        return;
    record& known = found->second;
    ++known.m_failures;
    if (m_full_exchange || known.m_failures < failures_to_suspect ||
        known.m_suspect_since)
        return;
    known.m_suspect_since = now;
    update_state(known, now);
}

void member_table::set_configuration_version(
    base::configuration_version version)
{
    m_self.m_configuration_version = version;
}

void member_table::set_store_reachable(bool reachable)
{
    if (m_self.m_store_reachable != reachable)
        self_changed();
    m_self.m_store_reachable = reachable;
}

void member_table::set_groups(std::vector<rpc::group_observation> groups)
{
    rpc::member_entry next = m_self;
    next.m_groups = std::move(groups);
    if (is_changed(m_self, next))
        self_changed();
    m_self.m_groups = std::move(next.m_groups);
}

void member_table::set_slots(std::vector<rpc::slot_holding> slots,
                             std::uint64_t slots_version)
{
    if (m_self.m_slots != slots)
        self_changed();
    m_self.m_slots = std::move(slots);
    m_self.m_slots_version = slots_version;
}

void member_table::set_leaving_endpoints(
    std::vector<base::endpoint_id> endpoints)
{
    if (m_self.m_leaving_endpoints != endpoints)
        self_changed();
    m_self.m_leaving_endpoints = std::move(endpoints);
}

void member_table::set_contact_period(absl::Duration period)
{
    m_contact_period = period;
}

void member_table::leave()
{
    m_self.m_state = rpc::member_state::leaving;
    self_changed();
}

std::vector<member> member_table::members() const
{
    std::vector<member> all;
    all.reserve(m_records.size());
    for (const auto& [host, known] : m_records)
        all.push_back(known.m_member);
    return all;
}

std::vector<base::endpoint_id> member_table::leaving_endpoints() const
{
    absl::btree_set<base::endpoint_id> all(m_list.m_leaving_endpoints.begin(),
                                           m_list.m_leaving_endpoints.end());
    all.insert(m_self.m_leaving_endpoints.begin(),
               m_self.m_leaving_endpoints.end());
    for (const auto& [host, known] : m_records)
    {
        const rpc::member_entry& entry = known.m_member.m_entry;
        if (entry.m_state != rpc::member_state::dead)
            all.insert(entry.m_leaving_endpoints.begin(),
                       entry.m_leaving_endpoints.end());
    }
    return {all.begin(), all.end()};
}

const member* member_table::find(const base::host_id& host) const
{
    const auto found = m_records.find(host);
    return found == m_records.end() ? nullptr : &found->second.m_member;
}

std::size_t member_table::live_count() const
{
    return 1 + std::count_if(m_records.begin(), m_records.end(),
                             [](const auto& item)
                             {
                                 const auto state =
                                     item.second.m_member.m_entry.m_state;
                                 return state == rpc::member_state::alive ||
                                        state == rpc::member_state::suspect;
                             });
}

void member_table::update_mode()
{
    const auto present =
        std::count_if(m_records.begin(), m_records.end(),
                      [](const auto& item)
                      {
                          const member& known = item.second.m_member;
                          return known.m_listed || known.m_entry.m_state !=
                                                       rpc::member_state::dead;
                      });
    m_full_exchange = static_cast<std::size_t>(present) + 1 <=
                      m_options.m_full_exchange_limit;
}

std::size_t member_table::sends_per_change() const
{
    const double doublings =
        std::log2(static_cast<double>(m_records.size()) + 2);
    return m_options.m_sends_per_doubling *
           static_cast<std::size_t>(std::ceil(doublings));
}

rpc::member_state member_table::state_of(const record& known,
                                         base::instant now) const
{
    const absl::Duration silence = now - known.m_member.m_last_news;
    absl::Duration suspected = silence - m_options.m_suspect_after;
    if (!m_full_exchange)
        suspected = known.m_suspect_since ? now - *known.m_suspect_since
                                          : -absl::InfiniteDuration();
    if (suspected >= m_options.m_dead_after - m_options.m_suspect_after)
        return rpc::member_state::dead;
    if (known.m_leaving || known.m_listed_as_leaving)
        return rpc::member_state::leaving;
    if (suspected >= absl::ZeroDuration())
        return rpc::member_state::suspect;
    return rpc::member_state::alive;
}

member_table::record& member_table::insert(const rpc::member_entry& entry,
                                           base::instant now)
{
    record& known = m_records[entry.m_host];
    known.m_member.m_entry = entry;
    known.m_member.m_last_news = now;
    known.m_leaving = entry.m_state == rpc::member_state::leaving;
    // A host that others hold for dead gets no time to prove itself, or each
    // restart of this host would take crashed ones for live.
    if (entry.m_state == rpc::member_state::dead)
    {
        known.m_member.m_last_news = now - m_options.m_dead_after;
        known.m_suspect_since = known.m_member.m_last_news;
    }
    mark_changed(known);
    return known;
}

void member_table::merge(const rpc::member_entry& entry, base::instant now)
{
    if (entry.m_host.empty())
        return;
    if (entry.m_host == m_self.m_host)
        return defend_self(entry);
    const auto found = m_records.find(entry.m_host);
    if (found == m_records.end())
    {
        insert(entry, now);
        return;
    }
    record& known = found->second;
    rpc::member_entry& present = known.m_member.m_entry;
    const bool restarted = entry.m_incarnation > present.m_incarnation;
    if (is_newer(entry, present))
    {
        const bool changed = is_changed(present, entry);
        const auto state = present.m_state;
        present = entry;
        present.m_state = state;
        known.m_member.m_last_news = now;
        if (restarted)
        {
            known.m_member.m_answered_sent_at.reset();
            known.m_leaving = false;
        }
        if (restarted || !is_accusation(entry.m_state))
            known.m_suspect_since.reset();
        if (changed)
            mark_changed(known);
    }
    if (entry.m_incarnation != present.m_incarnation)
        return;
    if (entry.m_state == rpc::member_state::leaving && !known.m_leaving)
    {
        known.m_leaving = true;
        mark_changed(known);
    }
    // What this host has just heard directly outweighs an accusation.
    const bool heard =
        now - known.m_member.m_last_news < m_options.m_suspect_after;
    if (is_accusation(entry.m_state) && !known.m_suspect_since &&
        (restarted || !heard))
        known.m_suspect_since = now;
    update_state(known, now);
}

void member_table::merge_message(const rpc::exchange_message& message,
                                 base::instant now)
{
    for (const rpc::member_entry& entry : message.m_entries)
        merge(entry, now);
    merge_sender(message, now);
}

void member_table::merge_sender(const rpc::exchange_message& message,
                                base::instant now)
{
    const auto found = m_records.find(message.m_sender);
    if (found == m_records.end())
        return;
    record& known = found->second;
    rpc::member_entry& entry = known.m_member.m_entry;
    if (message.m_incarnation < entry.m_incarnation)
        return;
    if (message.m_incarnation > entry.m_incarnation)
    {
        entry.m_incarnation = message.m_incarnation;
        entry.m_heartbeat = 0;
        known.m_leaving = false;
        known.m_member.m_answered_sent_at.reset();
    }
    entry.m_configuration_version = message.m_configuration_version;
    entry.m_slots_version = message.m_slots_version;
    known.m_member.m_last_news = now;
    known.m_suspect_since.reset();
    known.m_failures = 0;
    update_state(known, now);
}

void member_table::defend_self(const rpc::member_entry& entry)
{
    const bool accused =
        entry.m_incarnation == m_self.m_incarnation &&
        is_accusation(entry.m_state) &&
        (entry.m_state == rpc::member_state::dead || !m_full_exchange);
    if (!accused && entry.m_incarnation <= m_self.m_incarnation)
        return;
    m_self.m_incarnation = entry.m_incarnation.next();
    self_changed();
}

void member_table::update_state(record& known, base::instant now)
{
    const auto state = state_of(known, now);
    if (state == known.m_member.m_entry.m_state)
        return;
    known.m_member.m_entry.m_state = state;
    mark_changed(known);
}

void member_table::update_states(base::instant now)
{
    update_mode();
    for (auto& [host, known] : m_records)
        update_state(known, now);
    absl::erase_if(
        m_records,
        [&](const auto& item)
        {
            const member& known = item.second.m_member;
            return !known.m_listed &&
                   known.m_entry.m_state == rpc::member_state::dead &&
                   now - known.m_last_news > m_options.m_forget_after;
        });
}

void member_table::skip_pause(base::instant now)
{
    if (m_last_tick && now - *m_last_tick > m_options.m_max_tick_gap)
    {
        // The others were not heard because this host did not run.
        const absl::Duration gap = now - *m_last_tick;
        for (auto& [host, known] : m_records)
        {
            known.m_member.m_last_news =
                std::min(now, known.m_member.m_last_news + gap);
            if (known.m_suspect_since)
                known.m_suspect_since =
                    std::min(now, *known.m_suspect_since + gap);
        }
    }
    const absl::Duration elapsed =
        m_last_tick ? now - *m_last_tick : absl::ZeroDuration();
    const auto budget = static_cast<double>(m_options.m_byte_budget);
    m_tokens =
        std::min(budget, m_tokens + budget * absl::ToDoubleSeconds(elapsed));
    m_last_tick = now;
}

void member_table::mark_changed(record& known)
{
    known.m_change = ++m_changes;
    known.m_sends_left = sends_per_change();
}

void member_table::self_changed()
{
    m_self_sends_left = sends_per_change();
}

void member_table::spend(const rpc::exchange_message& message)
{
    const std::size_t size = estimated_size(message);
    m_bytes_sent += size;
    const auto budget = static_cast<double>(m_options.m_byte_budget);
    m_tokens = std::max(-budget, m_tokens - static_cast<double>(size));
}

rpc::exchange_message member_table::build_message(const base::host_id& receiver)
{
    rpc::exchange_message message;
    message.m_sender = m_self.m_host;
    message.m_incarnation = m_self.m_incarnation;
    message.m_configuration_version = m_self.m_configuration_version;
    message.m_slots_version = m_self.m_slots_version;
    if (!m_full_exchange)
    {
        add_changed_entries(message, receiver);
        return message;
    }
    message.m_entries.push_back(m_self);
    for (const auto& [host, known] : m_records)
        message.m_entries.push_back(known.m_member.m_entry);
    return message;
}

void member_table::add_changed_entries(rpc::exchange_message& message,
                                       const base::host_id& receiver)
{
    const double room = m_tokens - static_cast<double>(estimated_size(message));
    std::size_t left = std::min(max_entries_size,
                                static_cast<std::size_t>(std::max(0.0, room)));
    const auto add = [&](const rpc::member_entry& entry, std::size_t& sends)
    {
        const std::size_t size = estimated_size(entry);
        if (size > left)
            return false;
        left -= size;
        sends -= sends > 0 ? 1 : 0;
        message.m_entries.push_back(entry);
        return true;
    };
    if (m_self_sends_left > 0)
        add(m_self, m_self_sends_left);
    // A suspect hears of the suspicion from whoever reaches it.
    const auto accused = m_records.find(receiver);
    if (accused != m_records.end() &&
        is_accusation(accused->second.m_member.m_entry.m_state))
        add(accused->second.m_member.m_entry, accused->second.m_sends_left);

    std::vector<record*> changed;
    for (auto& [host, known] : m_records)
    {
        if (known.m_sends_left > 0 && host != receiver)
            changed.push_back(&known);
    }
    std::sort(changed.begin(), changed.end(),
              [](const record* one, const record* other)
              {
                  // Failures first: failover and claims wait for them.
                  const auto order = [](const record& item)
                  {
                      return std::pair(
                          !is_accusation(item.m_member.m_entry.m_state),
                          item.m_change);
                  };
                  return order(*one) < order(*other);
              });
    for (record* known : changed)
    {
        if (!add(known->m_member.m_entry, known->m_sends_left))
            break;
    }
}

std::vector<base::host_id> member_table::choose_peers()
{
    if (!m_full_exchange)
        return choose_random_peers();
    std::vector<base::host_id> peers;
    for (const auto& [host, known] : m_records)
    {
        const bool dead =
            known.m_member.m_entry.m_state == rpc::member_state::dead;
        if (!dead || m_intervals % rare_interval == 0)
            peers.push_back(host);
    }
    return peers;
}

std::vector<base::host_id> member_table::choose_random_peers()
{
    std::vector<base::host_id> peers;
    std::vector<base::host_id> candidates;
    std::vector<base::host_id> dead;
    for (const auto& [host, known] : m_records)
    {
        // A failure is tried again at once, so that a lost message does not
        // count for long.
        if (known.m_failures == 1 && peers.size() < m_options.m_fan_out)
            peers.push_back(host);
        else if (known.m_member.m_entry.m_state == rpc::member_state::dead)
            dead.push_back(host);
        else
            candidates.push_back(host);
    }
    if (m_intervals % rare_interval == 0)
        add_dead_peer(std::move(dead), peers);
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    // Each exchange costs a request here and, on average, an answer to a
    // request of another host.
    rpc::exchange_message empty;
    empty.m_sender = m_self.m_host;
    const auto cost = static_cast<double>(estimated_size(empty));
    double tokens = m_tokens - cost * static_cast<double>(peers.size());
    for (const base::host_id& host : candidates)
    {
        if (peers.size() >= m_options.m_fan_out || tokens < cost)
            break;
        tokens -= cost;
        peers.push_back(host);
    }
    add_peers_in_turn(peers);
    return peers;
}

void member_table::add_dead_peer(std::vector<base::host_id> dead,
                                 std::vector<base::host_id>& peers)
{
    // Every second time only those that the platform still lists: they are
    // more likely to be back.
    if (m_intervals / rare_interval % 2 == 0)
        std::erase_if(dead,
                      [&](const base::host_id& host)
                      {
                          return !m_records.at(host).m_member.m_listed;
                      });
    if (dead.empty())
        return;
    std::uniform_int_distribution<std::size_t> any(0, dead.size() - 1);
    peers.push_back(dead[any(m_random)]);
}

void member_table::add_peers_in_turn(std::vector<base::host_id>& peers)
{
    if (m_contact_period <= absl::ZeroDuration() || m_records.empty())
        return;
    m_contacts_due +=
        static_cast<double>(m_records.size()) *
        absl::FDivDuration(m_options.m_exchange_interval, m_contact_period);
    m_contacts_due =
        std::min(m_contacts_due, static_cast<double>(m_records.size()));
    auto next = m_records.upper_bound(m_last_visited);
    for (; m_contacts_due >= 1; m_contacts_due -= 1)
    {
        if (next == m_records.end())
            next = m_records.begin();
        m_last_visited = next->first;
        if (std::find(peers.begin(), peers.end(), next->first) == peers.end())
            peers.push_back(next->first);
        ++next;
    }
}

void member_table::add_seeds(std::vector<outgoing_exchange>& out)
{
    if (m_intervals % rare_interval != 1)
        return;
    for (const std::string& address : m_options.m_seeds)
    {
        const bool known = std::any_of(
            m_records.begin(), m_records.end(),
            [&](const auto& item)
            {
                return item.second.m_member.m_entry.m_peer_address == address;
            });
        if (known || address == m_self.m_peer_address)
            continue;
        outgoing_exchange exchange{base::host_id(), address,
                                   build_message(base::host_id())};
        spend(exchange.m_message);
        out.push_back(std::move(exchange));
    }
}

} // namespace magnoliastack::membership
