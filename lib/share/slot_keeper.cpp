#include "magnoliastack/share/slot_keeper.hpp"

#include "absl/random/distributions.h"

#include <algorithm>
#include <functional>
#include <set>
#include <tuple>
#include <utility>

namespace magnoliastack::share
{

namespace
{

bool is_live(const rpc::member_entry& entry)
{
    return entry.m_state == rpc::member_state::alive ||
           entry.m_state == rpc::member_state::suspect;
}

} // namespace

slot_keeper::slot_keeper(slot_keeper_options options)
    : m_options(std::move(options)), m_random(m_options.m_seed)
{
}

std::vector<slot_action> slot_keeper::tick(base::instant now)
{
    std::vector<slot_action> actions;
    watch_owners(now);
    check_acknowledgements(now);
    choose_handover(now);
    if (m_call && now - m_call->m_sent_at >= m_options.m_call_timeout)
    {
        if (m_call->m_swap)
            m_next_read = now;
        m_call.reset();
    }
    if (!m_call)
    {
        // A swap whose answer was lost is read back before anything else.
        if (!m_known || now >= m_next_read)
        {
            m_call = call{false, now};
            m_next_read = now + m_options.m_read_interval *
                                    absl::Uniform(m_random, 0.75, 1.0);
            actions.emplace_back(read_row{});
        }
        else if (m_open_swap)
        {
            // It can still take effect, so only the same swap may follow.
            m_call = call{true, now};
            actions.emplace_back(*m_open_swap);
        }
        else if (const auto table = next_table(now))
        {
            send_swap(*table, actions, now);
        }
    }
    if (std::exchange(m_changed, false))
        actions.emplace_back(slots_changed{});
    return actions;
}

void slot_keeper::row_read(const base::result<rpc::row_state>& result,
                           base::instant sent_at, base::instant now)
{
    if (m_call && !m_call->m_swap && m_call->m_sent_at == sent_at)
        m_call.reset();
    if (!result || result->m_version < m_version)
        return;
    m_read_at = m_read_at ? std::max(*m_read_at, sent_at) : sent_at;
    adopt(*result, now);
}

void slot_keeper::swap_done(const base::result<rpc::swap_outcome>& result,
                            base::instant sent_at, base::instant now)
{
    if (m_call && m_call->m_swap && m_call->m_sent_at == sent_at)
        m_call.reset();
    if (!result)
    {
        m_next_read = now;
        return;
    }
    if (result->m_row.m_version < m_version)
        return;
    m_read_at = m_read_at ? std::max(*m_read_at, sent_at) : sent_at;
    adopt(result->m_row, now);
}

void slot_keeper::peer_version_seen(const base::host_id& host,
                                    std::uint64_t version,
                                    base::instant sent_at, base::instant now)
{
    auto& highest = m_acknowledged[host];
    highest = std::max(highest, version);
    if (version > m_version)
    {
        // There is something to learn; do not wait for the next read.
        m_next_read = std::min(m_next_read, now);
        return;
    }
    // A restarted peer has forgotten the version that it acknowledged before;
    // until it has read the row its answer proves nothing.
    if (version == 0)
        return;
    auto& agreed = m_agreed_at[host];
    agreed = std::max(agreed, sent_at);
}

void slot_keeper::members_changed(const std::vector<rpc::member_entry>& members,
                                  base::instant now)
{
    (void)now;
    m_owners_changed = true;
    m_members.clear();
    for (const rpc::member_entry& entry : members)
    {
        auto& highest = m_acknowledged[entry.m_host];
        highest = std::max(highest, entry.m_slots_version);
        m_members.emplace(entry.m_host, entry);
    }
}

void slot_keeper::hosts_listed(const std::vector<base::host_id>& hosts,
                               base::instant now)
{
    (void)now;
    m_owners_changed = true;
    m_listed = hosts;
}

void slot_keeper::release(base::instant now)
{
    (void)now;
    m_releasing = true;
    m_vacated = false;
    for (auto& [slot, owned] : m_owned)
    {
        owned.m_vacating = true;
        owned.m_receiver = {};
    }
    refresh_slots();
}

void slot_keeper::slots_vacated(base::instant now)
{
    (void)now;
    m_vacated = true;
}

const std::vector<held_slot>& slot_keeper::slots() const
{
    return m_slots;
}

std::size_t slot_keeper::slot_count() const
{
    return m_table.m_slots.size();
}

std::vector<rpc::slot_holding> slot_keeper::holdings() const
{
    std::vector<rpc::slot_holding> result;
    for (const held_slot& slot : m_slots)
        result.push_back({slot.m_slot, slot.m_epoch});
    return result;
}

std::uint64_t slot_keeper::row_version() const
{
    return m_version;
}

std::optional<base::instant> slot_keeper::confirmed_at() const
{
    if (!m_known)
        return std::nullopt;
    std::vector<base::instant> agreed;
    std::size_t needed = majority();
    for (const base::host_id& host : m_listed)
    {
        if (host == m_options.m_self)
        {
            --needed;
            continue;
        }
        const auto found = m_agreed_at.find(host);
        if (found != m_agreed_at.end())
            agreed.push_back(found->second);
    }
    std::optional<base::instant> result = m_read_at;
    if (needed > 0 && agreed.size() >= needed)
    {
        // The oldest of the newest `needed` answers.
        std::sort(agreed.begin(), agreed.end(), std::greater<>());
        const base::instant by_peers = agreed[needed - 1];
        result = result ? std::max(*result, by_peers) : by_peers;
    }
    return result;
}

bool slot_keeper::is_released() const
{
    if (!m_releasing || m_open_swap)
        return false;
    return std::none_of(m_owned.begin(), m_owned.end(),
                        [this](const auto& item)
                        {
                            return item.second.m_origin !=
                                   slot_origin::taken_over;
                        });
}

void slot_keeper::adopt(const rpc::row_state& row, base::instant now)
{
    if (m_open_swap && row.m_version > m_open_swap->m_expected_version)
        m_open_swap.reset();
    if (m_known && row.m_version == m_version)
        return;
    auto parsed = row.m_version == 0 ? base::result<slot_table>(slot_table{})
                                     : parse_slot_table(row.m_value);
    // Without a table that can be read the host owns nothing.
    slot_table table = parsed ? std::move(*parsed) : slot_table{};
    const slot_table before = std::exchange(m_table, std::move(table));
    const bool first = !std::exchange(m_known, true);
    m_version = row.m_version;
    m_owners_changed = true;
    std::erase_if(m_owned,
                  [this](const auto& item)
                  {
                      return item.first.value() >= m_table.m_slots.size();
                  });
    for (std::size_t index = 0; index < m_table.m_slots.size(); ++index)
    {
        const slot_record& record = m_table.m_slots[index];
        const base::slot_index slot(index);
        const auto owned = m_owned.find(slot);
        const bool mine = record.m_host == m_options.m_self &&
                          record.m_incarnation >= m_options.m_incarnation;
        if (!mine)
        {
            if (owned != m_owned.end())
                m_owned.erase(owned);
            continue;
        }
        if (owned != m_owned.end() && owned->second.m_epoch == record.m_epoch)
            continue;
        adopt_slot(slot, record, row.m_version, now);
        // A slot that an earlier process of this host may have lent. On the
        // first read nothing is known of the former owner.
        const bool own_before =
            index < before.m_slots.size() &&
            before.m_slots[index].m_host == m_options.m_self;
        if ((first || own_before) && !record.m_unsettled)
            m_owned[slot].m_origin = slot_origin::restarted;
    }
    check_acknowledgements(now);
    refresh_slots();
}

void slot_keeper::adopt_slot(base::slot_index slot, const slot_record& record,
                             std::uint64_t version, base::instant now)
{
    ownership owned;
    owned.m_epoch = record.m_epoch;
    owned.m_vacating = m_releasing;
    if (record.m_unsettled)
    {
        owned.m_origin = slot_origin::taken_over;
        owned.m_claim_version = version;
    }
    else
    {
        owned.m_since = now;
    }
    m_owned[slot] = owned;
}

void slot_keeper::check_acknowledgements(base::instant now)
{
    for (auto& [slot, owned] : m_owned)
    {
        if (owned.m_origin != slot_origin::taken_over || owned.m_since)
            continue;
        std::size_t acknowledged = 0;
        for (const base::host_id& host : m_listed)
        {
            const auto found = m_acknowledged.find(host);
            if (host == m_options.m_self ||
                (found != m_acknowledged.end() &&
                 found->second >= owned.m_claim_version))
                ++acknowledged;
        }
        if (m_listed.empty() || acknowledged < majority())
            continue;
        owned.m_since = now;
        refresh_slots();
    }
}

void slot_keeper::refresh_slots()
{
    std::vector<held_slot> slots;
    for (const auto& [slot, owned] : m_owned)
        if (!owned.m_vacating)
            slots.push_back(
                {slot, owned.m_epoch, owned.m_origin, owned.m_since});
    if (slots == m_slots)
        return;
    m_slots = std::move(slots);
    m_changed = true;
}

void slot_keeper::watch_owners(base::instant now)
{
    if (!std::exchange(m_owners_changed, false))
        return;
    for (std::size_t index = 0; index < m_table.m_slots.size(); ++index)
    {
        const base::slot_index slot(index);
        const base::host_id& owner = m_table.m_slots[index].m_host;
        const auto member = m_members.find(owner);
        const bool known = member != m_members.end();
        const bool listed = std::find(m_listed.begin(), m_listed.end(),
                                      owner) != m_listed.end();
        const bool dead =
            known ? member->second.m_state == rpc::member_state::dead : !listed;
        if (owner.empty() || owner == m_options.m_self || !dead)
            m_dead_since.erase(slot);
        else
            m_dead_since.try_emplace(slot, now);
    }
}

std::optional<slot_table> slot_keeper::next_table(base::instant now)
{
    if (!m_known)
        return std::nullopt;
    if (m_version == 0)
        return m_releasing ? std::nullopt : initial_table();
    if (!has_work(now))
        return std::nullopt;
    slot_table table = m_table;
    bool changed = write_vacated(table);
    changed = write_settled(table, now) || changed;
    if (!m_releasing)
        changed = write_claims(table, now) || changed;
    if (!changed)
        return std::nullopt;
    return table;
}

bool slot_keeper::has_work(base::instant now) const
{
    for (const auto& [slot, owned] : m_owned)
        if (owned.m_vacating || owned.m_origin == slot_origin::taken_over)
            return true;
    for (std::size_t index = 0; index < m_table.m_slots.size(); ++index)
        if (is_claimable(base::slot_index(index), m_table.m_slots[index], now))
            return true;
    return false;
}

std::optional<slot_table> slot_keeper::initial_table() const
{
    slot_table table;
    table.m_slots.resize(m_options.m_slots);
    for (auto& record : table.m_slots)
        record.m_epoch = base::slot_epoch(1);
    if (!table.m_slots.empty())
    {
        table.m_slots[0].m_host = m_options.m_self;
        table.m_slots[0].m_incarnation = m_options.m_incarnation;
    }
    return table;
}

bool slot_keeper::write_vacated(slot_table& table) const
{
    if (!m_vacated)
        return false;
    bool changed = false;
    for (const auto& [slot, owned] : m_owned)
    {
        slot_record& record = table.m_slots[slot.value()];
        // The next owner uses the slot at once, so one that this host could
        // not use in full yet is left for a takeover.
        if (!owned.m_vacating || record.m_unsettled ||
            owned.m_origin == slot_origin::taken_over)
            continue;
        record.m_host = owned.m_receiver;
        record.m_incarnation = owned.m_receiver_incarnation;
        record.m_epoch = record.m_epoch.next();
        changed = true;
    }
    return changed;
}

bool slot_keeper::write_settled(slot_table& table, base::instant now) const
{
    bool changed = false;
    for (const auto& [slot, owned] : m_owned)
    {
        slot_record& record = table.m_slots[slot.value()];
        if (!record.m_unsettled || !is_settled(owned, now))
            continue;
        record.m_unsettled = false;
        changed = true;
    }
    return changed;
}

bool slot_keeper::write_claims(slot_table& table, base::instant now)
{
    bool changed = false;
    std::size_t count = m_owned.size();
    const std::size_t most = quota();
    // Different hosts start at different slots, so that concurrent starts
    // conflict less.
    const std::size_t size = table.m_slots.size();
    const std::size_t start =
        std::hash<std::string>{}(m_options.m_self.str()) % size;
    for (std::size_t step = 0; step < size && count < most; ++step)
    {
        const std::size_t index = (start + step) % size;
        slot_record& record = table.m_slots[index];
        if (!is_claimable(base::slot_index(index), record, now))
            continue;
        const bool own = record.m_host == m_options.m_self;
        record.m_unsettled =
            record.m_unsettled || (!record.m_host.empty() && !own);
        record.m_host = m_options.m_self;
        record.m_incarnation = m_options.m_incarnation;
        record.m_epoch = record.m_epoch.next();
        ++count;
        changed = true;
    }
    return changed;
}

void slot_keeper::choose_handover(base::instant now)
{
    if (m_releasing || !m_known || m_owned.size() < 2)
        return;
    for (const auto& [slot, owned] : m_owned)
        if (owned.m_vacating)
            return;
    for (const slot_record& record : m_table.m_slots)
        if (record.m_host.empty())
            return;
    // Of the live hosts, the one with the most slots gives to the one with the
    // fewest when they differ by at least two.
    const rpc::member_entry* receiver = nullptr;
    std::size_t fewest = 0;
    const std::size_t own = m_owned.size();
    for (const auto& [host, entry] : m_members)
    {
        if (host == m_options.m_self ||
            entry.m_state != rpc::member_state::alive)
            continue;
        const std::size_t count = m_table.count(host);
        if (count > own || (count == own && host < m_options.m_self))
            return;
        if (receiver == nullptr || count < fewest)
        {
            receiver = &entry;
            fewest = count;
        }
    }
    if (receiver == nullptr || own < fewest + 2)
        return;
    for (auto item = m_owned.rbegin(); item != m_owned.rend(); ++item)
    {
        ownership& owned = item->second;
        const slot_record& record = m_table.m_slots[item->first.value()];
        if (record.m_unsettled || !is_settled(owned, now))
            continue;
        owned.m_vacating = true;
        owned.m_receiver = receiver->m_host;
        owned.m_receiver_incarnation = receiver->m_incarnation;
        m_vacated = false;
        refresh_slots();
        return;
    }
}

bool slot_keeper::is_claimable(base::slot_index slot, const slot_record& record,
                               base::instant now) const
{
    if (record.m_host.empty())
        return true;
    if (record.m_host == m_options.m_self)
        return record.m_incarnation < m_options.m_incarnation;
    const auto dead = m_dead_since.find(slot);
    if (dead == m_dead_since.end())
        return false;
    // A host that is cut off from the others sees them all as dead while it
    // may still reach the store; it must not take their slots.
    std::size_t live = 0;
    for (const base::host_id& host : m_listed)
    {
        const auto member = m_members.find(host);
        if (host == m_options.m_self ||
            (member != m_members.end() && is_live(member->second)))
            ++live;
    }
    if (m_listed.empty() || live < majority())
        return false;
    return now - dead->second >=
           m_options.m_dead_for +
               m_options.m_rank_delay * static_cast<double>(claim_rank());
}

bool slot_keeper::is_settled(const ownership& owned, base::instant now) const
{
    switch (owned.m_origin)
    {
    case slot_origin::released:
        return true;
    case slot_origin::restarted:
        return now >= *owned.m_since + m_options.m_timing.longest_loan_end();
    case slot_origin::taken_over:
        return owned.m_since &&
               now >= *owned.m_since + m_options.m_timing.longest_takeover();
    }
    return false;
}

std::size_t slot_keeper::quota() const
{
    std::set<base::host_id> live = {m_options.m_self};
    for (const base::host_id& host : m_listed)
        live.insert(host);
    for (const auto& [host, entry] : m_members)
    {
        if (is_live(entry))
            live.insert(host);
        else if (host != m_options.m_self)
            live.erase(host);
    }
    return (m_table.m_slots.size() + live.size() - 1) / live.size();
}

std::size_t slot_keeper::claim_rank() const
{
    const auto own =
        std::tuple(m_table.count(m_options.m_self), m_options.m_self);
    std::size_t rank = 0;
    for (const auto& [host, entry] : m_members)
        if (host != m_options.m_self && is_live(entry) &&
            std::tuple(m_table.count(host), host) < own)
            ++rank;
    return rank;
}

std::size_t slot_keeper::majority() const
{
    return m_listed.size() / 2 + 1;
}

void slot_keeper::send_swap(const slot_table& table,
                            std::vector<slot_action>& actions,
                            base::instant now)
{
    m_open_swap = swap_row{m_version, serialize(table)};
    m_call = call{true, now};
    actions.emplace_back(*m_open_swap);
}

} // namespace magnoliastack::share
