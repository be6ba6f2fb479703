#include "fleet.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace magnoliastack::test
{

namespace
{

constexpr const char* organisation = "org/a";
constexpr const char* endpoint = "endpoint/e";
// Hosts that have not taken a new rate stop after the currency bound.
constexpr double change_window = 6;

// Pauses are at most 20 s here; a shorter bound than the default lets a run
// of 45 s see units change hands.
share::share_timing timing()
{
    share::share_timing result;
    result.m_units = {absl::Seconds(6), absl::Seconds(21)};
    return result;
}

} // namespace

fleet::fleet(fleet_options options)
    : m_options(std::move(options)), m_random(m_options.m_seed),
      m_rate_now(m_options.m_rate), m_rate_before(m_options.m_rate),
      m_excess(-m_options.m_burst)
{
    m_hosts.resize(m_options.m_hosts);
    for (std::size_t index = 0; index < m_hosts.size(); ++index)
    {
        host& item = m_hosts[index];
        item.m_id = base::host_id("host" + std::to_string(index));
        item.m_clock_rate = uniform(0.99, 1.01);
        item.m_clock_offset = uniform(1, 1000);
        item.m_heard.assign(m_hosts.size(), -100);
    }
}

fleet_report fleet::run()
{
    if (!m_options.m_arrivals)
    {
        draw_character();
        after(0,
              [this]
              {
                  change_phase(false);
              });
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index)
    {
        const double delay = m_options.m_faults ? uniform(0, 2) : 0;
        after(delay,
              [this, index]
              {
                  start(index);
              });
        if (!m_options.m_arrivals)
            after(delay,
                  [this, index]
                  {
                      change_phase(index);
                  });
    }
    if (m_options.m_faults)
        after(4,
              [this]
              {
                  inject_fault();
              });
    while (!m_events.empty() && m_events.top().m_at <= m_options.m_duration)
    {
        event next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.m_at);
        if (next.m_host == no_host)
        {
            next.m_run();
            continue;
        }
        const host& target = m_hosts[next.m_host];
        if (!target.m_up || target.m_incarnation != next.m_incarnation)
            continue;
        if (m_now < target.m_paused_until)
        {
            // What waited for a paused process is handled in any order.
            next.m_at = target.m_paused_until + uniform(0, 0.001);
            m_events.push(std::move(next));
            continue;
        }
        next.m_run();
        check_sums(next.m_host);
    }
    return m_report;
}

double fleet::uniform(double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(m_random);
}

bool fleet::chance(double probability)
{
    return uniform(0, 1) < probability;
}

base::instant fleet::local(const host& item) const
{
    return base::instant::from_nanoseconds(static_cast<std::int64_t>(
        (item.m_clock_offset + m_now * item.m_clock_rate) * 1e9));
}

void fleet::after(double delay, std::function<void()> run)
{
    m_events.push({m_now + delay, m_order++, no_host, 0, std::move(run)});
}

void fleet::at_host(std::size_t index, double delay, std::function<void()> run)
{
    m_events.push({m_now + delay, m_order++, index,
                   m_hosts[index].m_incarnation, std::move(run)});
}

void fleet::send(std::size_t from, std::size_t to, std::function<void()> run)
{
    if (m_hosts[from].m_part != m_hosts[to].m_part ||
        m_hosts[from].m_unreachable == to ||
        m_hosts[to].m_unreachable == from || chance(m_loss))
        return;
    // A few messages are late, up to the length of a loan.
    const double delay = m_options.m_faults && chance(0.03)
                             ? uniform(0.01, 2)
                             : uniform(0.0005, 0.003);
    at_host(to, delay, std::move(run));
}

void fleet::start(std::size_t index)
{
    host& item = m_hosts[index];
    item.m_up = true;
    item.m_leaving = false;
    share::slot_keeper_options keeper;
    keeper.m_self = item.m_id;
    keeper.m_incarnation = base::incarnation(item.m_incarnation);
    keeper.m_slots = m_hosts.size();
    keeper.m_timing = timing();
    keeper.m_seed = m_random();
    share::ledger_options ledger;
    ledger.m_self = item.m_id;
    ledger.m_incarnation = keeper.m_incarnation;
    ledger.m_timing = timing();
    item.m_process.emplace(process{share::slot_keeper(keeper),
                                   share::ledger(ledger),
                                   admission::token_bucket(),
                                   admission::demand_meter(),
                                   {}});
    process& now_up = *item.m_process;
    const base::instant now = local(item);
    now_up.m_ledger.set_resource(organisation, share::resource_kind::fraction,
                                 share::whole, now);
    now_up.m_ledger.set_resource(endpoint, share::resource_kind::units,
                                 m_options.m_units, now);
    std::vector<base::host_id> listed;
    for (std::size_t other = 0; other < m_hosts.size(); ++other)
    {
        listed.push_back(m_hosts[other].m_id);
        item.m_heard[other] = m_now;
    }
    now_up.m_keeper.hosts_listed(listed, now);
    at_host(index, uniform(0, m_options.m_tick),
            [this, index]
            {
                tick(index);
            });
    at_host(index, uniform(0, 0.2),
            [this, index]
            {
                exchange(index);
            });
    if (m_options.m_arrivals)
        at_host(index, 0.001,
                [this, index]
                {
                    arrive(index);
                });
}

void fleet::stop(std::size_t index)
{
    host& item = m_hosts[index];
    if (!item.m_up)
        return;
    item.m_up = false;
    item.m_process.reset();
    ++item.m_incarnation;
    item.m_paused_until = 0;
    item.m_open = 0;
    item.m_counted_units = item.m_counted_fraction = 0;
    // Most come back soon, some stay away for a takeover.
    after(chance(0.6) ? uniform(0.05, 2) : uniform(8, 30),
          [this, index]
          {
              if (!m_hosts[index].m_up)
                  start(index);
          });
}

void fleet::tick(std::size_t index)
{
    host& item = m_hosts[index];
    process& self = *item.m_process;
    const base::instant now = local(item);
    for (const auto& action : self.m_keeper.tick(now))
        run_slot_action(index, action);
    // Both confirmations come from the same exchanges here. A host without
    // the new rate has no confirmation from after the change.
    const auto confirmed = self.m_keeper.confirmed_at();
    self.m_ledger.set_slots(self.m_keeper.slots(), self.m_keeper.slot_count(),
                            confirmed, now);
    const bool adopted = m_now >= m_rate_changed + item.m_adopts_config_after;
    auto current = confirmed;
    if (current && !adopted)
        current =
            std::min(*current, now - absl::Seconds(m_now - m_rate_changed));
    self.m_ledger.set_confirmed(current, now);
    std::vector<base::host_id> peers;
    for (std::size_t other = 0; other < m_hosts.size(); ++other)
        if (other != index && m_now - item.m_heard[other] < 1)
            peers.push_back(m_hosts[other].m_id);
    self.m_ledger.set_peers(peers, now);
    std::uint64_t demand = item.m_greedy ? 900'000 : 10'000;
    if (m_options.m_arrivals)
        demand = self.m_meter.demand(m_rate_now, self.m_waiting.size(),
                                     self.m_bucket.tokens(now), now);
    self.m_ledger.demand(organisation, demand, now);
    self.m_ledger.demand(endpoint, item.m_greedy ? m_options.m_units : 1, now);
    const std::uint64_t usable = self.m_ledger.usable(endpoint, now);
    const std::uint64_t wanted =
        item.m_greedy ? usable : std::min<std::uint64_t>(usable, 1);
    if (item.m_open < wanted)
        item.m_open = wanted;
    else if (item.m_open > wanted && chance(0.5))
        --item.m_open;
    self.m_ledger.set_in_use(endpoint, item.m_open, now);
    const auto actions = self.m_ledger.tick(now);
    // The bucket falls before a return or an answer leaves the host.
    admit(index);
    for (const auto& action : actions)
        run_ledger_action(index, action);
    if (self.m_ledger.covers_loans(now))
        self.m_keeper.slots_vacated(now);
    if (item.m_leaving &&
        (self.m_keeper.is_released() || m_now > item.m_leave_deadline))
    {
        m_report.m_releases += self.m_keeper.is_released() ? 1 : 0;
        stop(index);
        return;
    }
    at_host(index, m_options.m_tick,
            [this, index]
            {
                tick(index);
            });
}

void fleet::call(std::size_t from, std::size_t to,
                 std::function<std::function<void()>()> serve)
{
    const std::uint64_t incarnation = m_hosts[from].m_incarnation;
    send(from, to,
         [this, from, to, incarnation, serve = std::move(serve)]
         {
             auto answer = serve();
             if (m_hosts[from].m_incarnation == incarnation)
                 send(to, from, std::move(answer));
         });
}

void fleet::exchange(std::size_t index)
{
    host& item = m_hosts[index];
    const base::instant sent_at = local(item);
    for (std::size_t other = 0; other < m_hosts.size(); ++other)
    {
        if (other == index)
            continue;
        call(index, other,
             [this, index, other, sent_at]() -> std::function<void()>
             {
                 m_hosts[other].m_heard[index] = m_now;
                 const std::uint64_t version =
                     m_hosts[other].m_process->m_keeper.row_version();
                 return [this, index, other, sent_at, version]
                 {
                     host& self = m_hosts[index];
                     self.m_heard[other] = m_now;
                     self.m_process->m_keeper.peer_version_seen(
                         m_hosts[other].m_id, version, sent_at, local(self));
                 };
             });
    }
    std::vector<rpc::member_entry> members;
    for (std::size_t other = 0; other < m_hosts.size(); ++other)
    {
        rpc::member_entry entry;
        entry.m_host = m_hosts[other].m_id;
        entry.m_incarnation = base::incarnation(m_hosts[other].m_incarnation);
        const double silence = m_now - item.m_heard[other];
        entry.m_state = other == index || silence < 1 ? rpc::member_state::alive
                        : silence < 3 ? rpc::member_state::suspect
                                      : rpc::member_state::dead;
        members.push_back(entry);
    }
    item.m_process->m_keeper.members_changed(members, sent_at);
    at_host(index, 0.2,
            [this, index]
            {
                exchange(index);
            });
}

void fleet::arrive(std::size_t index)
{
    host& item = m_hosts[index];
    const double rate = m_options.m_arrivals(index, m_now);
    if (rate > 0)
    {
        compare_with_one_bucket();
        item.m_process->m_meter.arrived(local(item));
        item.m_process->m_waiting.push_back(m_now + m_options.m_patience);
        admit(index);
    }
    const double gap =
        rate > 0 ? std::exponential_distribution<double>(rate)(m_random) : 0.01;
    at_host(index, gap,
            [this, index]
            {
                arrive(index);
            });
}

void fleet::compare_with_one_bucket()
{
    m_one_bucket =
        std::max(m_one_bucket - m_options.m_rate * (m_now - m_one_bucket_at),
                 -m_options.m_burst);
    m_one_bucket_at = m_now;
    if (m_one_bucket + 1 > m_options.m_rate * m_options.m_patience)
        ++m_report.m_refused_by_one_bucket;
    else
        m_one_bucket += 1;
}

void fleet::admit(std::size_t index)
{
    host& item = m_hosts[index];
    process& self = *item.m_process;
    apply(index);
    const base::instant now = local(item);
    if (!m_options.m_arrivals)
    {
        while (item.m_greedy && self.m_bucket.try_take(now))
            count_admission();
        return;
    }
    while (!self.m_waiting.empty())
    {
        if (m_now >= self.m_waiting.front())
        {
            ++m_report.m_refused;
            m_report.m_last_refusal = m_now;
        }
        else if (self.m_bucket.try_take(now))
            count_admission();
        else
            return;
        self.m_waiting.pop_front();
    }
}

void fleet::apply(std::size_t index)
{
    host& item = m_hosts[index];
    const base::instant now = local(item);
    const bool adopted = m_now >= m_rate_changed + item.m_adopts_config_after;
    const share::ledger& ledger = item.m_process->m_ledger;
    item.m_process->m_bucket.set_share(
        adopted ? m_rate_now : m_rate_before,
        ledger.burst_capacity(organisation, m_options.m_burst, now),
        ledger.usable(organisation, now),
        ledger.usable_until(organisation, now), now);
}

void fleet::check_sums(std::size_t index)
{
    host& item = m_hosts[index];
    if (!item.m_up || m_now < item.m_paused_until)
        return;
    const base::instant now = local(item);
    const share::ledger& ledger = item.m_process->m_ledger;
    item.m_counted_units = std::max(item.m_open, ledger.usable(endpoint, now));
    item.m_counted_fraction = ledger.usable(organisation, now);
    auto units = -static_cast<std::int64_t>(m_options.m_units);
    auto fraction = -static_cast<std::int64_t>(share::whole);
    for (const host& other : m_hosts)
    {
        units += static_cast<std::int64_t>(other.m_counted_units);
        fraction += static_cast<std::int64_t>(other.m_counted_fraction);
    }
    m_report.m_worst_units = std::max(m_report.m_worst_units, units);
    m_report.m_worst_fraction = std::max(m_report.m_worst_fraction, fraction);
}

void fleet::run_slot_action(std::size_t index, const share::slot_action& action)
{
    const base::instant sent_at = local(m_hosts[index]);
    if (std::holds_alternative<share::read_row>(action))
    {
        auto row = std::make_shared<rpc::row_state>();
        call_store(
            index,
            [this, row]
            {
                *row = m_row;
            },
            [this, index, row, sent_at](bool answered)
            {
                host& item = m_hosts[index];
                base::result<rpc::row_state> result = *row;
                if (!answered)
                    result = base::fail(base::error_code::unavailable, "");
                item.m_process->m_keeper.row_read(result, sent_at, local(item));
            });
    }
    else if (const auto* swap = std::get_if<share::swap_row>(&action))
    {
        auto outcome = std::make_shared<rpc::swap_outcome>();
        call_store(
            index,
            [this, outcome, swap = *swap]
            {
                outcome->m_swapped = m_row.m_version == swap.m_expected_version;
                if (outcome->m_swapped)
                {
                    count_takeovers(swap.m_value);
                    m_row = {m_row.m_version + 1, swap.m_value};
                }
                outcome->m_row = m_row;
            },
            [this, index, outcome, sent_at](bool answered)
            {
                host& item = m_hosts[index];
                m_report.m_lost_swaps += answered ? 0 : 1;
                base::result<rpc::swap_outcome> result = *outcome;
                if (!answered)
                    result = base::fail(base::error_code::unavailable, "");
                item.m_process->m_keeper.swap_done(result, sent_at,
                                                   local(item));
            });
    }
}

void fleet::call_store(std::size_t index, std::function<void()> effect,
                       std::function<void(bool)> answer)
{
    const bool reaches =
        !m_store_down && !m_hosts[index].m_store_cut && !chance(m_loss);
    const bool answered = reaches && !chance(2 * m_loss);
    // A late call takes effect after its sender has given it up.
    const double delay = m_options.m_faults && chance(0.05)
                             ? uniform(0.5, 4)
                             : uniform(0.001, 0.01);
    if (reaches)
        after(delay, std::move(effect));
    const double done = answered ? std::min(delay, 0.8) + 0.001 : 0.8;
    const bool in_time = answered && delay < 0.8;
    at_host(index, done,
            [answer = std::move(answer), in_time]
            {
                answer(in_time);
            });
}

void fleet::run_ledger_action(std::size_t index,
                              const share::ledger_action& action)
{
    const base::instant sent_at = local(m_hosts[index]);
    if (const auto* ask = std::get_if<share::borrow>(&action))
    {
        const std::size_t lender = index_of(ask->m_host);
        call(index, lender,
             [this, index, lender, sent_at,
              request = ask->m_request]() -> std::function<void()>
             {
                 host& item = m_hosts[lender];
                 const auto response = item.m_process->m_ledger.borrow_received(
                     request, local(item));
                 apply(lender);
                 m_report.m_loans += response.m_amount > 0 ? 1 : 0;
                 return [this, index, lender, sent_at, request, response]
                 {
                     host& self = m_hosts[index];
                     self.m_process->m_ledger.borrow_answered(
                         m_hosts[lender].m_id, request, response, sent_at,
                         local(self));
                     admit(index);
                 };
             });
        // The worst moment for a pause: the answer waits for the wake-up.
        if (std::exchange(m_hosts[index].m_pause_at_request, false))
            pause(index);
    }
    else if (const auto* back = std::get_if<share::return_loan>(&action))
    {
        const std::size_t lender = index_of(back->m_host);
        call(index, lender,
             [this, index, lender,
              message = back->m_message]() -> std::function<void()>
             {
                 host& item = m_hosts[lender];
                 item.m_process->m_ledger.give_back_received(message,
                                                             local(item));
                 return [this, index, lender, message]
                 {
                     host& self = m_hosts[index];
                     self.m_process->m_ledger.give_back_answered(
                         m_hosts[lender].m_id, message, true, local(self));
                 };
             });
    }
}

std::size_t fleet::index_of(const base::host_id& id)
{
    return std::stoul(id.str().substr(4));
}

void fleet::pause(std::size_t index)
{
    host& item = m_hosts[index];
    // A paused process admits nothing and keeps its connections.
    item.m_counted_fraction = 0;
    item.m_counted_units = item.m_open;
    item.m_paused_until =
        m_now + (chance(0.5) ? uniform(0.3, 4) : uniform(4, 20));
}

void fleet::count_takeovers(const std::string& value)
{
    const auto before = share::parse_slot_table(m_row.m_value);
    const auto table = share::parse_slot_table(value);
    for (std::size_t slot = 0; slot < before->m_slots.size(); ++slot)
        if (table->m_slots[slot].m_unsettled &&
            table->m_slots[slot].m_epoch != before->m_slots[slot].m_epoch)
        {
            ++m_report.m_takeovers;
            if (m_outage_after_claim && !m_store_down)
                store_outage(uniform(8, 15));
        }
}

void fleet::store_outage(double length)
{
    m_store_down = true;
    after(length,
          [this]
          {
              m_store_down = false;
          });
}

void fleet::inject_fault()
{
    const std::size_t index = m_random() % m_hosts.size();
    host& item = m_hosts[index];
    switch (m_random() % 9)
    {
    case 0:
    case 1:
        if (chance(0.5))
            pause(index);
        else
            item.m_pause_at_request = true;
        break;
    case 2:
        if (item.m_up)
            ++m_report.m_restarts;
        stop(index);
        break;
    case 3:
        if (item.m_up && m_now >= item.m_paused_until)
        {
            item.m_leaving = true;
            item.m_leave_deadline = m_now + 8;
            item.m_process->m_ledger.stop_lending(local(item));
            item.m_process->m_keeper.release(local(item));
        }
        break;
    case 4:
    {
        // A cut takes some hosts from the others and perhaps from the store.
        const std::size_t size = 1 + m_random() % 4;
        const bool with_store = chance(0.6);
        for (std::size_t step = 0; step < size; ++step)
        {
            host& cut = m_hosts[(index + step) % m_hosts.size()];
            cut.m_part = 1;
            cut.m_store_cut = with_store && chance(0.8);
        }
        after(uniform(0.5, 15),
              [this]
              {
                  for (host& healed : m_hosts)
                      healed.m_part = healed.m_store_cut = false;
              });
        break;
    }
    case 5:
        m_store_down = true;
        after(uniform(1, 15),
              [this]
              {
                  m_store_down = false;
              });
        break;
    case 6:
        m_loss = uniform(0, 0.3);
        after(uniform(1, 6),
              [this]
              {
                  m_loss = 0;
              });
        break;
    case 7:
        // Two hosts that reach the others but not each other.
        item.m_unreachable = (index + 1 + m_random() % 8) % m_hosts.size();
        after(uniform(4, 20),
              [this, index]
              {
                  m_hosts[index].m_unreachable = no_host;
              });
        break;
    default:
        if (m_now - m_rate_changed < change_window)
            break;
        decay_excess();
        m_rate_before = m_rate_now;
        m_rate_now = m_options.m_rate * uniform(0.3, 1.5);
        m_rate_changed = m_now;
        for (host& each : m_hosts)
            each.m_adopts_config_after = uniform(0, 1);
        after(change_window,
              [this]
              {
                  decay_excess();
              });
    }
    after(uniform(0.3, 2.5),
          [this]
          {
              inject_fault();
          });
}

void fleet::draw_character()
{
    // Long bursts show tokens that came from nowhere, short ones show a rate
    // that is too high; few faults leave all of the rate to use.
    m_fault_gap = std::array{1.2, 3.0, 10.0}[m_random() % 3];
    m_greedy = std::array{0.2, 0.5, 1.0}[m_random() % 3];
    m_options.m_burst = std::array{40.0, 400.0, 2000.0}[m_random() % 3];
    m_excess = -m_options.m_burst;
    m_outage_after_claim = chance(0.4);
    // Clocks run up to 1 percent fast or slow against true time; where all
    // are fast, none makes up for another.
    if (chance(0.5) || !m_options.m_faults)
        for (host& item : m_hosts)
            item.m_clock_rate = 1.01;
    if (!m_options.m_faults)
        m_greedy = 1;
}

void fleet::change_phase(bool idle)
{
    // Idle phases fill the buckets, so that the next phase starts with bursts
    // on all hosts at once.
    for (host& item : m_hosts)
        if (idle || chance(0.7))
            item.m_greedy = !idle && chance(m_greedy);
    const bool idle_next = !idle && chance(0.3);
    after(uniform(0.3, 4),
          [this, idle_next]
          {
              change_phase(idle_next);
          });
}

void fleet::count_admission()
{
    // A window may start with this admission.
    decay_excess();
    m_excess = std::max(m_excess, -m_options.m_burst) + 1;
    ++m_report.m_admitted;
    m_report.m_worst_excess = std::max(m_report.m_worst_excess, m_excess);
}

void fleet::decay_excess()
{
    // While hosts take up a new rate, the larger of both is allowed.
    const double allowed = m_excess_at < m_rate_changed + change_window
                               ? std::max(m_rate_now, m_rate_before)
                               : m_rate_now;
    m_excess -= allowed * (m_now - m_excess_at);
    m_excess_at = m_now;
}

} // namespace magnoliastack::test
