#include "magnoliastack/share/ledger.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace magnoliastack::share
{

namespace
{

// The largest grant that has not ended.
template <typename Grants>
std::uint64_t largest(const Grants& grants, base::instant now)
{
    std::uint64_t result = 0;
    for (const auto& item : grants)
        if (now < item.m_end)
            result = std::max(result, item.m_amount);
    return result;
}

template <typename Lent>
std::uint64_t total_lent(const Lent& lent, base::instant now)
{
    std::uint64_t result = 0;
    for (const auto& [host, grants] : lent)
        result += largest(grants, now);
    return result;
}

template <typename Lenders>
std::uint64_t total_borrowed(const Lenders& lenders, base::instant now)
{
    std::uint64_t result = 0;
    for (const auto& [host, lender] : lenders)
        result += largest(lender.m_grants, now);
    return result;
}

std::uint64_t minus(std::uint64_t from, std::uint64_t amount)
{
    return from > amount ? from - amount : 0;
}

} // namespace

ledger::ledger(ledger_options options)
    : m_options(std::move(options)),
      // A return that is meant for a loan of an earlier process names no loan
      // of this one.
      m_last_loan(m_options.m_incarnation.value() << 32U)
{
    m_next_peer = std::hash<std::string>{}(m_options.m_self.str());
}

void ledger::set_resource(const std::string& resource, resource_kind kind,
                          std::uint64_t total, base::instant now)
{
    (void)now;
    entry& item = m_entries[resource];
    item.m_kind = kind;
    item.m_total = total;
}

void ledger::set_slots(const std::vector<held_slot>& slots,
                       std::size_t slot_count,
                       std::optional<base::instant> confirmed_at,
                       base::instant now)
{
    (void)now;
    m_slots = slots;
    m_slot_count = slot_count;
    m_slots_confirmed_at = confirmed_at;
}

void ledger::set_confirmed(std::optional<base::instant> confirmed_at,
                           base::instant now)
{
    (void)now;
    m_confirmed_at = confirmed_at;
}

void ledger::set_peers(const std::vector<base::host_id>& peers,
                       base::instant now)
{
    (void)now;
    m_peers = peers;
}

void ledger::set_in_use(const std::string& resource, std::uint64_t count,
                        base::instant now)
{
    (void)now;
    const auto found = m_entries.find(resource);
    if (found != m_entries.end())
        found->second.m_in_use = count;
}

std::uint64_t ledger::usable(const std::string& resource,
                             base::instant now) const
{
    const auto found = m_entries.find(resource);
    return found == m_entries.end() ? 0 : usable_of(found->second, now);
}

base::instant ledger::usable_until(const std::string& resource,
                                   base::instant now) const
{
    const auto found = m_entries.find(resource);
    if (found == m_entries.end())
        return now;
    const auto confirmed = confirmed_until(found->second);
    if (!confirmed)
        return now;
    base::instant until = *confirmed;
    for (const auto& [host, lender] : found->second.m_lenders)
        for (const grant& item : lender.m_grants)
            if (now < item.m_end)
                until = std::min(until, item.m_end);
    return until;
}

double ledger::burst_capacity(const std::string& resource, double burst,
                              base::instant now) const
{
    const auto found = m_entries.find(resource);
    if (found == m_entries.end() || m_slot_count == 0 ||
        !is_confirmed(found->second, now))
        return 0;
    const auto slot_count = static_cast<double>(m_slot_count);
    const double fixed =
        burst < slot_count ? 0 : std::max(burst / 2, slot_count);
    const auto slots = static_cast<double>(own(found->second, now).m_slots);
    return fixed / slot_count * slots +
           (burst - fixed) * static_cast<double>(usable(resource, now)) /
               static_cast<double>(whole);
}

void ledger::demand(const std::string& resource, std::uint64_t amount,
                    base::instant now)
{
    (void)now;
    const auto found = m_entries.find(resource);
    if (found != m_entries.end())
        found->second.m_demand = amount;
}

std::vector<ledger_action> ledger::tick(base::instant now)
{
    std::vector<ledger_action> actions;
    for (auto& [resource, item] : m_entries)
    {
        drop_lapsed(item, now);
        const std::uint64_t needed = needed_loans(item, now);
        return_surplus(item, needed, now);
        send_returns(resource, item, actions, now);
        if (!m_lending || !is_confirmed(item, now))
            continue;
        renew(resource, item, needed, actions, now);
        ask_for_more(resource, item, needed, actions, now);
    }
    return actions;
}

rpc::borrow_response ledger::borrow_received(const rpc::borrow_request& request,
                                             base::instant now)
{
    m_last_loan = m_last_loan.next();
    rpc::borrow_response response{m_last_loan, 0, absl::ZeroDuration()};
    const auto found = m_entries.find(request.m_resource);
    if (found == m_entries.end() || !m_lending ||
        request.m_borrower == m_options.m_self)
        return response;
    entry& item = found->second;
    // A borrower's share may not outlast this host's own claim to the slots.
    const auto confirmed = confirmed_until(item);
    if (!confirmed || now >= *confirmed || request.m_amount == 0)
        return response;
    const absl::Duration length =
        std::min(m_options.m_timing.m_loan, *confirmed - now);
    const own_share share = own(item, now);
    const std::uint64_t lent = total_lent(item.m_lent, now);
    auto& grants = item.m_lent[request.m_borrower];
    const std::uint64_t present = largest(grants, now);
    const std::uint64_t others = lent - present;
    // What can be lent to this borrower in total, after the own needs.
    const std::uint64_t kept = std::max(target(item), item.m_in_use);
    const std::uint64_t most = std::min(minus(share.m_lendable, others),
                                        minus(share.m_usable, others + kept));
    const std::uint64_t amount = std::min(request.m_amount, most);
    if (amount == 0)
        return response;
    const base::instant end =
        now + length + m_options.m_timing.m_margin + timing(item).m_hold;
    // A smaller or earlier grant adds nothing to what is counted.
    std::erase_if(grants,
                  [&](const grant& old)
                  {
                      return old.m_end <= end && old.m_amount <= amount;
                  });
    grants.push_back({m_last_loan, amount, end, now});
    response.m_amount = amount;
    response.m_length = length;
    return response;
}

void ledger::borrow_answered(const base::host_id& host,
                             const rpc::borrow_request& request,
                             const base::result<rpc::borrow_response>& result,
                             base::instant sent_at, base::instant now)
{
    const auto found = m_entries.find(request.m_resource);
    if (found == m_entries.end())
        return;
    entry& item = found->second;
    lender_state& lender = item.m_lenders[host];
    if (!lender.m_request || lender.m_request->first != sent_at)
        return;
    lender.m_request.reset();
    if (!result)
    {
        lender.m_answer_lost = true;
        hold_lender(lender, now);
        return;
    }
    lender.m_answer_lost = false;
    if (result->m_amount < request.m_amount)
        hold_lender(lender, now);
    else
        lender.m_hold = absl::ZeroDuration();
    const absl::Duration length =
        std::min(result->m_length, m_options.m_timing.m_loan);
    const grant taken{result->m_loan,
                      std::min(result->m_amount, request.m_amount),
                      sent_at + length, sent_at};
    // The answer replaces all earlier grants. When it is smaller, the lender
    // needs the difference and gets it back now instead of at the loan's end.
    const std::uint64_t before = largest(lender.m_grants, now);
    lender.m_grants.clear();
    if (taken.m_amount > 0 && now < taken.m_end)
    {
        lender.m_grants.push_back(taken);
        if (taken.m_amount < before)
            add_return(item, host, base::loan_id(taken.m_loan.value() - 1),
                       now);
    }
    else
    {
        add_return(item, host, taken.m_loan, now);
    }
}

void ledger::give_back_received(const rpc::give_back& message,
                                base::instant now)
{
    (void)now;
    const auto found = m_entries.find(message.m_resource);
    if (found == m_entries.end())
        return;
    const auto lent = found->second.m_lent.find(message.m_borrower);
    if (lent == found->second.m_lent.end())
        return;
    std::erase_if(lent->second,
                  [&](const grant& item)
                  {
                      return item.m_loan <= message.m_loan;
                  });
}

void ledger::give_back_answered(const base::host_id& host,
                                const rpc::give_back& message,
                                const base::result<bool>& result,
                                base::instant now)
{
    (void)now;
    const auto found = m_entries.find(message.m_resource);
    if (found == m_entries.end() || !result)
        return;
    std::erase_if(found->second.m_returns,
                  [&](const pending_return& item)
                  {
                      return item.m_host == host &&
                             item.m_loan == message.m_loan;
                  });
}

void ledger::stop_lending(base::instant now)
{
    (void)now;
    m_lending = false;
}

bool ledger::covers_loans(base::instant now) const
{
    for (const auto& [resource, item] : m_entries)
    {
        if (total_lent(item.m_lent, now) > own(item, now).m_lendable)
            return false;
        if (item.m_kind == resource_kind::units &&
            item.m_in_use > usable_of(item, now))
            return false;
    }
    return true;
}

std::uint64_t ledger::lent(const std::string& resource, base::instant now) const
{
    const auto found = m_entries.find(resource);
    return found == m_entries.end() ? 0 : total_lent(found->second.m_lent, now);
}

std::uint64_t ledger::borrowed(const std::string& resource,
                               base::instant now) const
{
    const auto found = m_entries.find(resource);
    return found == m_entries.end()
               ? 0
               : total_borrowed(found->second.m_lenders, now);
}

const kind_timing& ledger::timing(const entry& item) const
{
    return item.m_kind == resource_kind::units ? m_options.m_timing.m_units
                                               : m_options.m_timing.m_fraction;
}

ledger::own_share ledger::own(const entry& item, base::instant now) const
{
    own_share result;
    if (m_slot_count == 0)
        return result;
    const kind_timing& kind = timing(item);
    for (const held_slot& slot : m_slots)
    {
        const std::uint64_t share =
            item.m_total / m_slot_count +
            (slot.m_slot.value() < item.m_total % m_slot_count ? 1 : 0);
        const double exact = static_cast<double>(share) * m_options.m_floor;
        // A floor of no connection would leave a host without any.
        const auto floor = static_cast<std::uint64_t>(
            item.m_kind == resource_kind::units ? std::ceil(exact) : exact);
        bool whole_slot = true;
        if (slot.m_origin == slot_origin::restarted)
            whole_slot =
                slot.m_since &&
                now >= *slot.m_since + m_options.m_timing.loan_end(kind);
        else if (slot.m_origin == slot_origin::taken_over)
            whole_slot =
                slot.m_since &&
                now >= *slot.m_since + m_options.m_timing.takeover(kind);
        if (whole_slot)
        {
            result.m_usable += share;
            result.m_lendable += share - floor;
            ++result.m_slots;
        }
        else if (slot.m_origin == slot_origin::restarted)
        {
            // What the earlier process lent is out; it never lent the floor.
            result.m_usable += floor;
            ++result.m_slots;
        }
    }
    return result;
}

std::optional<base::instant> ledger::confirmed_until(const entry& item) const
{
    if (!m_slots_confirmed_at)
        return std::nullopt;
    base::instant since = *m_slots_confirmed_at;
    if (item.m_kind == resource_kind::fraction)
    {
        if (!m_confirmed_at)
            return std::nullopt;
        since = std::min(since, *m_confirmed_at);
    }
    return since + timing(item).m_bound;
}

bool ledger::is_confirmed(const entry& item, base::instant now) const
{
    const auto until = confirmed_until(item);
    return until && now < *until;
}

std::uint64_t ledger::usable_of(const entry& item, base::instant now) const
{
    if (!is_confirmed(item, now))
        return 0;
    return minus(own(item, now).m_usable + total_borrowed(item.m_lenders, now),
                 total_lent(item.m_lent, now));
}

std::uint64_t ledger::target(const entry& item) const
{
    if (item.m_kind == resource_kind::units)
        return std::min(item.m_demand, item.m_total);
    const double wanted =
        static_cast<double>(item.m_demand) * (1.0 + m_options.m_headroom);
    return std::min(static_cast<std::uint64_t>(wanted), item.m_total);
}

std::uint64_t ledger::needed_loans(const entry& item, base::instant now) const
{
    return minus(target(item) + total_lent(item.m_lent, now),
                 own(item, now).m_usable);
}

void ledger::hold_lender(lender_state& lender, base::instant now) const
{
    lender.m_hold = std::clamp(lender.m_hold * 2, m_options.m_refused_hold,
                               m_options.m_longest_hold);
    lender.m_not_before = now + lender.m_hold;
}

void ledger::drop_lapsed(entry& item, base::instant now)
{
    for (auto& [host, grants] : item.m_lent)
        std::erase_if(grants,
                      [&](const grant& lent)
                      {
                          return lent.m_end <= now;
                      });
    std::erase_if(item.m_lent,
                  [](const auto& lent)
                  {
                      return lent.second.empty();
                  });
    for (auto& [host, lender] : item.m_lenders)
    {
        if (lender.m_request &&
            now - lender.m_request->first >= m_options.m_request_timeout)
        {
            lender.m_request.reset();
            lender.m_answer_lost = true;
            hold_lender(lender, now);
        }
        if (lender.m_grants.empty() || now < lender.m_grants.back().m_end)
            continue;
        const base::loan_id loan = lender.m_grants.back().m_loan;
        lender.m_grants.clear();
        // A lapsed fraction ends at the lender by itself.
        if (item.m_kind == resource_kind::units)
            add_return(item, host, loan, now);
    }
}

void ledger::add_return(entry& item, const base::host_id& host,
                        base::loan_id loan, base::instant now)
{
    // A later return covers the earlier grants as well.
    std::erase_if(item.m_returns,
                  [&](const pending_return& old)
                  {
                      return old.m_host == host && old.m_loan <= loan;
                  });
    item.m_returns.push_back(
        {host, loan, now, now + m_options.m_timing.loan_end(timing(item))});
}

void ledger::return_surplus(entry& item, std::uint64_t needed,
                            base::instant now)
{
    const std::uint64_t present = total_borrowed(item.m_lenders, now);
    if (present <= needed)
        return;
    // Small differences are kept; demand changes all the time.
    std::uint64_t surplus = present - needed;
    if (needed > 0 && surplus < present / 4)
        return;
    for (auto& [host, lender] : item.m_lenders)
    {
        const std::uint64_t amount = largest(lender.m_grants, now);
        if (amount == 0 || amount > surplus || lender.m_request)
            continue;
        surplus -= amount;
        add_return(item, host, lender.m_grants.back().m_loan, now);
        lender.m_grants.clear();
    }
}

void ledger::send_returns(const std::string& resource, entry& item,
                          std::vector<ledger_action>& actions,
                          base::instant now)
{
    std::erase_if(item.m_returns,
                  [&](const pending_return& old)
                  {
                      return old.m_forget_at <= now;
                  });
    // Connections that are still open are still used.
    if (item.m_kind == resource_kind::units &&
        item.m_in_use > usable_of(item, now))
        return;
    for (pending_return& due : item.m_returns)
    {
        if (now < due.m_next_send)
            continue;
        due.m_next_send = now + m_options.m_return_interval;
        actions.emplace_back(
            return_loan{due.m_host, rpc::give_back{m_options.m_self, due.m_loan,
                                                   resource}});
    }
}

void ledger::renew(const std::string& resource, entry& item,
                   std::uint64_t needed, std::vector<ledger_action>& actions,
                   base::instant now)
{
    for (auto& [host, lender] : item.m_lenders)
    {
        if (lender.m_request || now < lender.m_not_before)
            continue;
        if (lender.m_grants.empty())
        {
            // Finds out what the lender counts after a lost answer, so that
            // the units can be returned.
            if (lender.m_answer_lost && item.m_kind == resource_kind::units &&
                needed == 0)
                send_request(resource, host, lender, 0, actions, now);
            continue;
        }
        const grant& present = lender.m_grants.back();
        if (needed > 0 && now - present.m_sent_at >= m_options.m_renew_after)
            send_request(resource, host, lender, present.m_amount, actions,
                         now);
    }
}

void ledger::ask_for_more(const std::string& resource, entry& item,
                          std::uint64_t needed,
                          std::vector<ledger_action>& actions,
                          base::instant now)
{
    // What is asked for already counts as if it were granted.
    std::uint64_t expected = 0;
    for (const auto& [host, lender] : item.m_lenders)
        expected += std::max(largest(lender.m_grants, now),
                             lender.m_request ? lender.m_request->second : 0);
    if (needed <= expected)
        return;
    std::vector<base::host_id> candidates;
    for (std::size_t step = 0;
         step < m_peers.size() && candidates.size() < m_options.m_fan_out;
         ++step)
    {
        const base::host_id& host =
            m_peers[(m_next_peer + step) % m_peers.size()];
        const lender_state& lender = item.m_lenders[host];
        if (!lender.m_request && now >= lender.m_not_before)
            candidates.push_back(host);
    }
    if (candidates.empty())
        return;
    ++m_next_peer;
    const std::uint64_t missing = needed - expected;
    const std::uint64_t each =
        (missing + candidates.size() - 1) / candidates.size();
    std::uint64_t asked = 0;
    for (const base::host_id& host : candidates)
    {
        if (asked >= missing)
            return;
        asked += each;
        lender_state& lender = item.m_lenders[host];
        send_request(resource, host, lender,
                     largest(lender.m_grants, now) + each, actions, now);
    }
}

void ledger::send_request(const std::string& resource,
                          const base::host_id& host, lender_state& lender,
                          std::uint64_t amount,
                          std::vector<ledger_action>& actions,
                          base::instant now)
{
    lender.m_request = {now, amount};
    actions.emplace_back(borrow{
        host, rpc::borrow_request{m_options.m_self, m_options.m_incarnation,
                                  resource, amount}});
}

} // namespace magnoliastack::share
