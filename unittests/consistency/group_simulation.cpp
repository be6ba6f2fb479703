#include "group_simulation.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::consistency
{

namespace
{

const base::group_id simulated_group("g");
const base::organisation_id simulated_organisation("o");
constexpr absl::Duration write_lifetime = absl::Seconds(4);
constexpr absl::Duration warm_up = absl::Milliseconds(1500);

// The number in the name of an endpoint.
int index_of(const base::endpoint_id& id)
{
    return std::stoi(id.str().substr(1));
}

bool contains(const std::vector<std::uint64_t>& sorted, std::uint64_t item)
{
    return std::ranges::binary_search(sorted, item);
}

} // namespace

simulation::simulation(simulation_options options)
    : m_options(options), m_random(options.m_seed), m_codec({"secret"})
{
    m_now = base::instant::from_nanoseconds(1'000'000'000);
    // With three endpoints, the loss of two leaves no majority.
    const bool five =
        m_options.m_scenario == scenario::chosen_endpoint_killed ||
        (m_options.m_scenario != scenario::interrupted_terms &&
         uniform(0, 1) == 1);
    m_endpoints.resize(five ? 5 : 3);
    m_hosts.resize(static_cast<std::size_t>(uniform(4, 5)));
    m_sessions.resize(4);
    m_nodes.resize(m_endpoints.size() + m_hosts.size());

    const auto start =
        std::make_shared<const log>(log{log_entry{base::term(1), 0}});
    const absl::Duration lag = milliseconds(1, 200);
    for (std::size_t index = 0; index < m_endpoints.size(); ++index)
    {
        endpoint& target = m_endpoints[index];
        target.m_id = base::endpoint_id("e" + std::to_string(index));
        target.m_log = start;
        target.m_role = index == 0 ? rpc::endpoint_role::primary
                                   : rpc::endpoint_role::replica;
        target.m_accepted = base::term(1);
        target.m_term_start = 1;
        target.m_applied = 1;
        target.m_apply_delay = lag;
        target.m_contact = m_now;
        after(milliseconds(0, 15),
              [this, index]
              {
                  pull(static_cast<int>(index));
              });
    }
    m_primaries[base::term(1)] = {0, start};
    for (std::size_t index = 0; index < m_hosts.size(); ++index)
    {
        host& target = m_hosts[index];
        target.m_id = base::host_id("h" + std::to_string(index));
        target.m_failure_domain =
            base::failure_domain_id("d" + std::to_string(index % 4));
        start_host(static_cast<int>(index));
    }
    for (std::size_t index = 0; index < m_sessions.size(); ++index)
        after(milliseconds(200, 300),
              [this, index]
              {
                  session_step(static_cast<int>(index));
              });
    m_faults_until = m_now + m_options.m_faults_for;
    after(warm_up + milliseconds(0, 300),
          std::bind(&simulation::cause_fault, this));
}

simulation_report simulation::run()
{
    const base::instant end = m_now + m_options.m_length;
    const base::instant counted_from =
        m_now + warm_up - absl::Milliseconds(500);
    while (!m_events.empty() && m_events.top().m_at < end &&
           m_report.m_violation.empty())
    {
        const action what = m_events.top().m_action;
        m_now = m_events.top().m_at;
        m_events.pop();
        what();
    }
    base::instant last = counted_from;
    for (const auto& [when, write] : m_acknowledged)
    {
        if (when > counted_from)
            m_report.m_longest_write_gap =
                std::max(m_report.m_longest_write_gap, when - last);
        last = std::max(last, when);
    }
    m_report.m_longest_write_gap =
        std::max(m_report.m_longest_write_gap, end - last);
    m_report.m_last_write_age = end - last;
    for (const endpoint& member : m_endpoints)
    {
        if (member.m_accepted != m_primaries.rbegin()->first)
            ++m_report.m_endpoints_behind;
    }
    m_report.m_writes_acknowledged = static_cast<int>(m_acknowledged.size());
    return m_report;
}

// Random numbers, events and messages.

int simulation::uniform(int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(m_random);
}

absl::Duration simulation::milliseconds(int low, int high)
{
    return absl::Microseconds(uniform(low * 1000, high * 1000));
}

void simulation::at(base::instant when, action what)
{
    m_events.push({when, ++m_order, std::move(what)});
}

void simulation::after(absl::Duration delay, action what)
{
    at(m_now + delay, std::move(what));
}

void simulation::run_on(int where, base::instant when, action what)
{
    const int generation = m_nodes[where].m_generation;
    at(when,
       [this, where, generation, what = std::move(what)]
       {
           const node& target = m_nodes[where];
           if (!target.m_up || target.m_generation != generation)
               return;
           if (target.m_paused_until > m_now)
               run_on(where, target.m_paused_until, what);
           else
               what();
       });
}

void simulation::send(int from, int to, action deliver)
{
    if (m_cut.contains({from, to}) || !m_nodes[to].m_up ||
        uniform(1, 1000) <= m_loss_permille)
        return;
    absl::Duration delay = milliseconds(1, 3);
    const auto extra = m_extra_delay.find({from, to});
    if (extra != m_extra_delay.end())
        delay += extra->second * uniform(50, 100) / 100;
    run_on(to, m_now + delay, std::move(deliver));
}

void simulation::violated(const std::string& what)
{
    if (m_report.m_violation.empty())
        m_report.m_violation =
            what + " at " + absl::FormatDuration(m_now - base::instant());
}

// Faults.

void simulation::isolate(const std::set<int>& nodes)
{
    for (int inside : nodes)
    {
        for (int other = 0; other < static_cast<int>(m_nodes.size()); ++other)
        {
            if (nodes.contains(other))
                continue;
            m_cut.insert({inside, other});
            m_cut.insert({other, inside});
        }
    }
}

void simulation::heal()
{
    m_cut.clear();
    m_extra_delay.clear();
    m_loss_permille = 0;
}

void simulation::pause(int where, absl::Duration length)
{
    m_nodes[where].m_paused_until =
        std::max(m_nodes[where].m_paused_until, m_now + length);
}

void simulation::crash(int where)
{
    m_nodes[where].m_up = false;
    ++m_nodes[where].m_generation;
}

void simulation::restart(int where)
{
    if (m_nodes[where].m_up)
        return;
    m_nodes[where].m_up = true;
    if (where >= endpoint_count())
    {
        start_host(where - endpoint_count());
        return;
    }
    endpoint& target = m_endpoints[where];
    target.m_role = rpc::endpoint_role::replica;
    target.m_applied = target.m_log->size();
    target.m_rounds.clear();
    pull(where);
}

int simulation::current_primary() const
{
    return m_primaries.rbegin()->second.first;
}

// Starts the scenario's fault; scenarios of many faults come back for more.
void simulation::cause_fault()
{
    const int primary = current_primary();
    const int last = static_cast<int>(m_nodes.size()) - 1;
    const int any_host = uniform(endpoint_count(), last);
    std::set<int> domain{primary};
    switch (m_options.m_scenario)
    {
    case scenario::chosen_endpoint_killed:
        m_kill_next_chosen = true;
        [[fallthrough]];
    case scenario::primary_killed:
        crash(primary);
        return;
    case scenario::primary_isolated:
        for (int index = 0; host_node(index) <= last; index += 4)
            domain.insert(host_node(index));
        isolate(domain);
        after(absl::Seconds(5), std::bind(&simulation::heal, this));
        return;
    case scenario::primary_frozen:
        pause(primary, milliseconds(3000, 6000));
        return;
    case scenario::planned_change:
        m_endpoints[primary].m_leaving = true;
        return;
    case scenario::pauses_and_slow_links:
        if (uniform(0, 1) == 0)
            pause(any_host, milliseconds(100, 3000));
        else
            delay_link();
        break;
    case scenario::interrupted_terms:
        isolate({primary});
        // Restarted hosts have no damping. The first host keeps its writes.
        crash(std::max(any_host, host_node(1)));
        restart(std::max(any_host, host_node(1)));
        break;
    case scenario::chaos:
        if (m_now > m_faults_until)
        {
            heal();
            for (int index = 0; index <= last; ++index)
                restart(index);
            return;
        }
        cause_random_fault(uniform(0, last), uniform(0, last), any_host);
        break;
    }
    after(milliseconds(200, 1200), std::bind(&simulation::cause_fault, this));
}

// A slow link between two endpoints stays below the silence that counts as a
// lost primary.
void simulation::delay_link()
{
    const int from = uniform(0, static_cast<int>(m_nodes.size()) - 1);
    const int to = uniform(0, static_cast<int>(m_nodes.size()) - 1);
    const bool replicates = std::max(from, to) < endpoint_count();
    m_extra_delay[{from, to}] = milliseconds(0, replicates ? 150 : 900);
}

void simulation::cause_random_fault(int any, int other, int any_host)
{
    switch (uniform(0, 10))
    {
    case 0:
        m_cut.insert({any, other});
        return;
    case 1:
        m_cut.insert({any, other});
        m_cut.insert({other, any});
        return;
    case 2:
        isolate({any});
        return;
    case 3:
        isolate({current_primary(), any_host});
        return;
    case 4:
        pause(any, milliseconds(100, 4000));
        return;
    case 5:
        pause(any_host, milliseconds(300, 3000));
        return;
    case 6:
        crash(any);
        after(milliseconds(100, 3000),
              std::bind(&simulation::restart, this, any));
        return;
    case 7:
        m_loss_permille = uniform(0, 150);
        delay_link();
        return;
    case 8:
        // Hosts still reach the primary; its replicas do not.
        for (int index = 0; index < endpoint_count(); ++index)
        {
            if (index != current_primary())
                m_cut.insert({current_primary(), index});
        }
        return;
    default:
        heal();
        return;
    }
}

// Endpoints.

rpc::endpoint_status simulation::status_of(int index) const
{
    const endpoint& source = m_endpoints[index];
    rpc::endpoint_status status;
    status.m_endpoint = source.m_id;
    status.m_group = simulated_group;
    status.m_accepted_term = source.m_accepted;
    status.m_sealed_term = source.m_sealed;
    status.m_sealed_by = source.m_sealed_by;
    status.m_role = source.m_sealed > source.m_accepted
                        ? rpc::endpoint_role::sealed
                        : source.m_role;
    status.m_held = {source.m_log->empty() ? base::term()
                                           : source.m_log->back().m_term,
                     base::log_position(source.m_log->size())};
    status.m_applied = base::log_position(source.m_applied);
    status.m_term_start = base::log_position(source.m_term_start);
    status.m_leaving = source.m_leaving;
    if (status.m_role != rpc::endpoint_role::primary)
        status.m_primary_contact_age = m_now - source.m_contact;
    return status;
}

void simulation::push_status(int index)
{
    for (const auto& [to, round] : m_endpoints[index].m_rounds)
        send(index, host_node(to),
             std::bind(&simulation::receive_status, this, to, index, round,
                       status_of(index)));
}

void simulation::append(endpoint& target, log_entry entry)
{
    auto extended = std::make_shared<log>(*target.m_log);
    extended->push_back(entry);
    target.m_log = std::move(extended);
    if (target.m_role == rpc::endpoint_role::primary)
        target.m_applied = target.m_log->size();
}

bool simulation::is_primary(const endpoint& target)
{
    return target.m_role == rpc::endpoint_role::primary &&
           target.m_sealed <= target.m_accepted;
}

// Asks the other endpoints for entries, as a replica. A primary asks now and
// then, to notice that it was deposed.
void simulation::pull(int index)
{
    run_on(index, m_now + absl::Milliseconds(15),
           std::bind(&simulation::pull, this, index));
    if (m_endpoints[index].m_role == rpc::endpoint_role::primary &&
        uniform(0, 7) != 0)
        return;
    for (int other = 0; other < endpoint_count(); ++other)
    {
        const auto answer = [=, this]
        {
            const endpoint& source = m_endpoints[other];
            if (is_primary(source))
                send(other, index,
                     std::bind(&simulation::pulled, this, index,
                               source.m_accepted, source.m_term_start,
                               source.m_log));
        };
        if (other != index)
            send(index, other, answer);
    }
}

void simulation::pulled(int index, base::term from, std::uint64_t term_start,
                        const std::shared_ptr<const log>& entries)
{
    endpoint& target = m_endpoints[index];
    if (from < std::max(target.m_accepted, target.m_sealed) ||
        (from == target.m_accepted &&
         target.m_role == rpc::endpoint_role::primary))
        return;
    const log& own = *target.m_log;
    const auto common = static_cast<std::size_t>(
        std::ranges::mismatch(own, *entries).in1 - own.begin());
    const bool is_new = from > target.m_accepted;
    target.m_contact = m_now;
    if (!is_new && common == entries->size())
        return;
    auto replaced = std::make_shared<log>(
        own.begin(), own.begin() + static_cast<std::ptrdiff_t>(common));
    if (!is_new && common < own.size())
        violated("two logs in term " + std::to_string(from.value()));
    const int batch = m_options.m_scenario == scenario::interrupted_terms
                          ? 1
                          : uniform(1, 64);
    for (int count = 0; count < batch && replaced->size() < entries->size();
         ++count)
        replaced->push_back((*entries)[replaced->size()]);
    target.m_log = std::move(replaced);
    target.m_accepted = from;
    target.m_role = rpc::endpoint_role::replica;
    target.m_term_start = target.m_log->size() >= term_start ? term_start : 0;
    target.m_applied = std::min<std::uint64_t>(target.m_applied, common);
    run_on(index, m_now + target.m_apply_delay,
           std::bind(&simulation::apply, this, index, target.m_log->size()));
    push_status(index);
}

void simulation::apply(int index, std::uint64_t position)
{
    endpoint& target = m_endpoints[index];
    position = std::min<std::uint64_t>(position, target.m_log->size());
    target.m_applied = std::max(target.m_applied, position);
}

rpc::control_answer simulation::seal(int index, base::term target,
                                     const base::host_id& promoter)
{
    endpoint& sealed = m_endpoints[index];
    const bool repeated =
        sealed.m_sealed == target && sealed.m_sealed_by == promoter;
    const bool taken =
        repeated || target > std::max(sealed.m_sealed, sealed.m_accepted);
    if (taken && !repeated)
    {
        sealed.m_sealed = target;
        sealed.m_sealed_by = promoter;
        push_status(index);
    }
    return {taken, status_of(index)};
}

rpc::control_answer simulation::promote(int index, base::term target,
                                        const base::host_id& promoter)
{
    endpoint& chosen = m_endpoints[index];
    if (chosen.m_sealed != target || chosen.m_sealed_by != promoter ||
        (chosen.m_accepted == target &&
         chosen.m_role != rpc::endpoint_role::primary))
        return {false, status_of(index)};
    if (chosen.m_accepted < target)
    {
        chosen.m_accepted = target;
        chosen.m_role = rpc::endpoint_role::primary;
        append(chosen, {target, 0});
        chosen.m_term_start = chosen.m_log->size();
        check_new_primary(index);
        push_status(index);
    }
    return {true, status_of(index)};
}

void simulation::check_new_primary(int index)
{
    const endpoint& chosen = m_endpoints[index];
    ++m_report.m_promotions;
    if (!m_primaries.try_emplace(chosen.m_accepted, index, chosen.m_log).second)
        violated("two primaries in term " +
                 std::to_string(chosen.m_accepted.value()));
    std::vector<std::uint64_t> writes;
    for (const log_entry& entry : *chosen.m_log)
        writes.push_back(entry.m_write);
    std::ranges::sort(writes);
    for (std::uint64_t write : m_must_survive)
    {
        if (!contains(writes, write))
            violated("write " + std::to_string(write) +
                     " was acknowledged or shown and is lost");
    }
    if (m_options.m_scenario == scenario::pauses_and_slow_links)
        violated("promotion although the primary worked");
    if (m_options.m_scenario == scenario::interrupted_terms)
        after(milliseconds(0, 60),
              [this, index]
              {
                  heal();
                  isolate({index});
              });
}

// Hosts.

void simulation::start_host(int index)
{
    host& target = m_hosts[index];
    std::vector<base::endpoint_id> members;
    for (const endpoint& member : m_endpoints)
        members.push_back(member.m_id);
    target.m_view =
        std::make_unique<group::group_view>(simulated_group, members);
    target.m_controller = std::make_unique<failover::controller>(
        simulated_group, target.m_id, members);
    target.m_peers.clear();
    target.m_writes.clear();
    target.m_reads.clear();
    target.m_term_seen = base::term();
    run_on(host_node(index), m_now + milliseconds(0, 50),
           std::bind(&simulation::host_tick, this, index));
}

void simulation::host_tick(int index)
{
    host& self = m_hosts[index];
    run_on(host_node(index), m_now + absl::Milliseconds(50),
           std::bind(&simulation::host_tick, this, index));
    const base::round_number round = self.m_view->begin_round(m_now);
    for (int to = 0; to < endpoint_count(); ++to)
        call(index, to,
             [=, this]
             {
                 base::round_number& known = m_endpoints[to].m_rounds[index];
                 known = std::max(known, round);
                 return std::bind(&simulation::receive_status, this, index, to,
                                  round, status_of(to));
             });
    if (++self.m_ticks % 2 == 0)
        gossip(index);
    carry_out(index,
              self.m_controller->tick(*self.m_view, evidence_of(index), m_now));
    settle(index);
}

void simulation::gossip(int index)
{
    const auto seen = m_hosts[index].m_view->observation(m_now);
    for (int to = 0; to < static_cast<int>(m_hosts.size()); ++to)
    {
        if (to != index)
            send(host_node(index), host_node(to),
                 [this, index, to, seen]
                 {
                     m_hosts[to].m_peers[index] = {m_now, seen};
                 });
    }
}

failover::evidence_list simulation::evidence_of(int index)
{
    failover::evidence_list evidence;
    const host& self = m_hosts[index];
    evidence.push_back({self.m_id, self.m_failure_domain, true, {}});
    for (const auto& [other, entry] : self.m_peers)
        evidence.push_back(
            {m_hosts[other].m_id, m_hosts[other].m_failure_domain,
             m_now - entry.m_heard_at < absl::Seconds(1), entry.m_seen});
    return evidence;
}

// Runs `handle` at an endpoint and the reply that it returns at the host.
void simulation::call(int index, int to, std::function<action()> handle)
{
    send(host_node(index), to,
         [this, index, to, handle = std::move(handle)]
         {
             action reply = handle();
             if (reply)
                 send(to, host_node(index), std::move(reply));
         });
}

void simulation::carry_out(int index,
                           const std::vector<failover::action>& actions)
{
    for (const failover::action& item : actions)
    {
        const auto* sealing = std::get_if<failover::send_seal>(&item);
        if (sealing != nullptr && m_options.m_scenario == scenario::chaos &&
            uniform(0, 9) == 0)
        {
            // A promoter that dies between its seals.
            const int node = host_node(index);
            crash(node);
            after(absl::Seconds(1),
                  std::bind(&simulation::restart, this, node));
            return;
        }
        if (sealing != nullptr)
            call_seal(index, index_of(sealing->m_endpoint), sealing->m_term);
        else if (const auto* choice =
                     std::get_if<failover::send_promote>(&item))
            call_promote(index, index_of(choice->m_endpoint), choice->m_term);
    }
}

void simulation::call_seal(int index, int to, base::term target)
{
    const auto answered = [=, this](const rpc::control_answer& answer)
    {
        failover::controller& promoter = *m_hosts[index].m_controller;
        carry_out(index, promoter.seal_answered(m_endpoints[to].m_id, target,
                                                answer, m_now));
        if (!m_options.m_unsafe_seal_minority || !answer.m_taken)
            return;
        for (const endpoint& other : m_endpoints)
            carry_out(index, promoter.seal_answered(
                                 other.m_id, target,
                                 rpc::control_answer{true, {}}, m_now));
    };
    call(index, to,
         [=, this]
         {
             return std::bind(answered, seal(to, target, m_hosts[index].m_id));
         });
}

void simulation::call_promote(int index, int to, base::term target)
{
    if (std::exchange(m_kill_next_chosen, false))
        crash(to);
    const auto answered = [=, this](const rpc::control_answer& answer)
    {
        carry_out(index, m_hosts[index].m_controller->promote_answered(
                             m_endpoints[to].m_id, target, answer, m_now));
    };
    call(index, to,
         [=, this]
         {
             return std::bind(answered,
                              promote(to, target, m_hosts[index].m_id));
         });
}

void simulation::receive_status(int index, int from, base::round_number round,
                                rpc::endpoint_status status)
{
    host& self = m_hosts[index];
    if (m_options.m_unsafe_ignore_term)
    {
        status.m_accepted_term =
            std::max(status.m_accepted_term, self.m_view->current_term());
        status.m_sealed_term = base::term();
    }
    if (m_options.m_unsafe_ignore_term_start)
        status.m_term_start = base::log_position(1);
    self.m_view->status_received(m_endpoints[from].m_id, round, status, m_now);
    if (self.m_view->current_term() < self.m_term_seen)
        violated("the term of a view went down");
    self.m_term_seen = self.m_view->current_term();
    settle(index);
}

// Judges again what waits for a commit.
void simulation::settle(int index)
{
    host& self = m_hosts[index];
    const auto writes = std::exchange(self.m_writes, {});
    for (const pending_write& write : writes)
    {
        if (m_options.m_unsafe_ignore_commit ||
            self.m_view->is_committed(write.m_point))
            acknowledge(write);
        else if (write.m_point.m_term < self.m_view->current_term())
            probe(index, write);
        else if (m_now - write.m_sent_at < write_lifetime)
            self.m_writes.push_back(write);
    }
    for (read& waiting : std::exchange(self.m_reads, {}))
        judge_read(index, std::move(waiting));
}

// Sessions.

void simulation::session_step(int session_index)
{
    after(milliseconds(20, 90),
          std::bind(&simulation::session_step, this, session_index));
    const int index = uniform(0, static_cast<int>(m_hosts.size()) - 1);
    const bool writes = uniform(0, 1) == 0;
    run_on(host_node(index), m_now,
           [this, index, session_index, writes]
           {
               if (writes)
                   write(index, session_index);
               else
                   start_read(index, session_index);
           });
}

void simulation::write(int index, int session_index)
{
    const host& self = m_hosts[index];
    const auto primary = self.m_view->primary();
    if (!primary || !self.m_view->is_reachable(*primary, m_now))
        return;
    const int to = index_of(*primary);
    pending_write made{++m_next_write,
                       {self.m_view->current_term(), {}},
                       m_now,
                       session_index};
    call(index, to,
         [=, this]() mutable -> action
         {
             endpoint& target = m_endpoints[to];
             if (!is_primary(target) ||
                 target.m_accepted != made.m_point.m_term)
                 return nullptr;
             append(target, {target.m_accepted, made.m_write});
             made.m_point.m_position = base::log_position(target.m_log->size());
             push_status(to);
             return std::bind(&simulation::write_found, this, index, made);
         });
}

void simulation::write_found(int index, const pending_write& write)
{
    m_hosts[index].m_writes.push_back(write);
    settle(index);
}

// Looks for a write of an earlier term in the log of the present primary.
void simulation::probe(int index, const pending_write& write)
{
    const auto primary = m_hosts[index].m_view->primary();
    if (m_now - write.m_sent_at > write_lifetime)
        return;
    if (!primary)
    {
        run_on(host_node(index), m_now + absl::Milliseconds(20),
               std::bind(&simulation::probe, this, index, write));
        return;
    }
    const int to = index_of(*primary);
    call(index, to,
         [=, this, found = pending_write(write)]() mutable -> action
         {
             const endpoint& target = m_endpoints[to];
             const auto place = std::ranges::find(*target.m_log, found.m_write,
                                                  &log_entry::m_write);
             if (!is_primary(target) || place == target.m_log->end())
                 return nullptr;
             found.m_point = {target.m_accepted,
                              base::log_position(static_cast<std::uint64_t>(
                                  place - target.m_log->begin() + 1))};
             return std::bind(&simulation::write_found, this, index, found);
         });
}

void simulation::acknowledge(const pending_write& write)
{
    m_acknowledged.emplace_back(m_now, write.m_write);
    m_must_survive.insert(write.m_write);
    for (auto later = m_primaries.upper_bound(write.m_point.m_term);
         later != m_primaries.end(); ++later)
    {
        const log& entries = *later->second.second;
        if (std::ranges::find(entries, write.m_write, &log_entry::m_write) ==
            entries.end())
            violated("acknowledged write " + std::to_string(write.m_write) +
                     " is not in a later primary's log");
    }
    caller_session& own = m_sessions[write.m_session];
    own.m_writes.insert(write.m_write);
    auto state = m_codec.decode(own.m_token, simulated_organisation);
    state->advance(simulated_group, write.m_point);
    own.m_token = *m_codec.encode(*state);
}

void simulation::start_read(int index, int session_index)
{
    const caller_session& own = m_sessions[session_index];
    read made;
    made.m_session = session_index;
    made.m_requirements.m_session =
        m_codec.decode(own.m_token, simulated_organisation)
            ->position_of(simulated_group);
    // A third of the reads need the primary.
    if (uniform(0, 2) != 0)
        made.m_requirements.m_max_staleness = milliseconds(30, 1000);
    made.m_requirements.m_deadline = m_now + absl::Seconds(1);
    made.m_expected_writes = own.m_writes;
    made.m_expected_seen = own.m_seen;
    route_read(index, std::move(made), std::nullopt);
}

void simulation::route_read(int index, read what,
                            std::optional<base::instant> waiting_since)
{
    std::vector<routing::endpoint_load> loads;
    for (const endpoint& target : m_endpoints)
        loads.push_back({target.m_id, loads.size() == 1, 0, true});
    const auto choice =
        routing::choose_read(what.m_requirements, *m_hosts[index].m_view, loads,
                             waiting_since, m_now);
    if (const auto* wait = std::get_if<routing::wait_for_replica>(&choice))
    {
        run_on(host_node(index), wait->m_until,
               std::bind(&simulation::route_read, this, index, what,
                         waiting_since.value_or(m_now)));
        return;
    }
    const auto* use = std::get_if<routing::use_endpoint>(&choice);
    if (use == nullptr || ++what.m_tries > 3)
        return;
    what.m_sent_at = m_now;
    what.m_endpoint = use->m_endpoint;
    what.m_replica = use->m_replica;
    const int to = index_of(use->m_endpoint);
    call(index, to,
         [=, this]() mutable
         {
             const endpoint& target = m_endpoints[to];
             what.m_answered = {target.m_accepted,
                                base::log_position(target.m_applied)};
             what.m_log = target.m_log;
             return std::bind(&simulation::judge_read, this, index, what);
         });
}

void simulation::judge_read(int index, read what)
{
    host& self = m_hosts[index];
    if (m_now > what.m_requirements.m_deadline)
        return;
    base::log_point answered = what.m_answered;
    if (m_options.m_unsafe_ignore_term)
        answered.m_term =
            std::max(answered.m_term, self.m_view->current_term());
    auto verdict =
        routing::check_answer(what.m_requirements, what.m_endpoint, answered,
                              *self.m_view, what.m_sent_at, m_now);
    if (m_options.m_unsafe_ignore_commit &&
        verdict == routing::answer_verdict::wait_for_commit)
        verdict = routing::answer_verdict::deliver;
    switch (verdict)
    {
    case routing::answer_verdict::deliver:
        deliver_read(what);
        break;
    case routing::answer_verdict::wait_for_commit:
        self.m_reads.push_back(std::move(what));
        break;
    case routing::answer_verdict::retry:
        route_read(index, std::move(what), std::nullopt);
        break;
    }
}

void simulation::deliver_read(const read& what)
{
    const auto applied = what.m_answered.m_position.value();
    std::vector<std::uint64_t> writes;
    std::uint64_t newest = 0;
    for (std::uint64_t place = 0; place < applied; ++place)
    {
        writes.push_back((*what.m_log)[place].m_write);
        newest = writes.back() != 0 ? writes.back() : newest;
    }
    std::ranges::sort(writes);
    for (std::uint64_t expected : what.m_expected_writes)
    {
        if (!contains(writes, expected))
            violated("stale session read: own write " +
                     std::to_string(expected) + " is missing");
    }
    if (what.m_expected_seen != 0 && !contains(writes, what.m_expected_seen))
        violated("stale session read: an entry seen before is missing");
    const absl::Duration bound = what.m_requirements.m_max_staleness;
    for (const auto& [when, acknowledged] : m_acknowledged)
    {
        if (bound > absl::ZeroDuration() && when < what.m_sent_at - bound &&
            !contains(writes, acknowledged))
            violated("read is staler than its bound of " +
                     absl::FormatDuration(bound));
    }
    ++m_report.m_reads_delivered;
    m_report.m_replica_reads += what.m_replica ? 1 : 0;
    caller_session& own = m_sessions[what.m_session];
    if (newest != 0)
        m_must_survive.insert(newest);
    own.m_seen = newest;
    auto state = m_codec.decode(own.m_token, simulated_organisation);
    state->advance(simulated_group, what.m_answered);
    own.m_token = *m_codec.encode(*state);
}

} // namespace magnoliastack::consistency
