#include "simulation.hpp"

#include "absl/strings/str_cat.h"

#include <utility>

namespace magnoliastack::standin
{

namespace
{

constexpr absl::Duration pull_timeout = absl::Milliseconds(500);

base::endpoint_id name_of(std::size_t node)
{
    return base::endpoint_id(absl::StrCat("e", node));
}

std::size_t node_of(const base::endpoint_id& name)
{
    return static_cast<std::size_t>(name.str()[1] - '0');
}

} // namespace

simulation::simulation(std::size_t nodes, std::uint64_t seed,
                       const configure& change)
    : m_random(seed), m_nodes(nodes)
{
    for (std::size_t node = 0; node < nodes; ++node)
    {
        endpoint_options& options = m_nodes[node].m_options;
        options.m_endpoint = name_of(node);
        options.m_group = base::group_id("ledger");
        options.m_initial_primary = node == 0;
        for (std::size_t other = 0; other < nodes; ++other)
            options.m_members.push_back(name_of(other));
        if (change)
            change(node, options);
        m_nodes[node].m_model =
            std::make_unique<endpoint_model>(options, m_now);
        settle(node);
    }
}

base::instant simulation::now() const
{
    return m_now;
}

std::mt19937_64& simulation::random()
{
    return m_random;
}

void simulation::after(absl::Duration delay, std::function<void()> item)
{
    schedule(m_now + delay, std::move(item));
}

void simulation::run_for(absl::Duration span)
{
    const base::instant end = m_now + span;
    while (!m_events.empty() && m_events.begin()->first.first <= end)
    {
        auto event = m_events.extract(m_events.begin());
        m_now = event.key().first;
        event.mapped()();
    }
    m_now = end;
}

bool simulation::is_up(std::size_t node) const
{
    return m_nodes[node].m_model != nullptr;
}

endpoint_model& simulation::model(std::size_t node)
{
    return *m_nodes[node].m_model;
}

rpc::endpoint_status simulation::status(std::size_t node)
{
    return model(node).status(m_now);
}

void simulation::crash(std::size_t node)
{
    node_state& state = m_nodes[node];
    state.m_kept = state.m_model->durable();
    state.m_kept.m_entries = state.m_model->log().entries();
    state.m_model.reset();
    ++state.m_incarnation;
}

void simulation::restart(std::size_t node)
{
    node_state& state = m_nodes[node];
    state.m_model =
        std::make_unique<endpoint_model>(state.m_options, state.m_kept, m_now);
    state.m_wake = {};
    settle(node);
}

void simulation::set_cut(std::size_t left, std::size_t right, bool cut)
{
    const auto pair = std::minmax(left, right);
    if (cut)
        m_cut.insert(pair);
    else
        m_cut.erase(pair);
}

void simulation::set_max_delay(absl::Duration delay)
{
    m_max_delay = delay;
}

void simulation::open(std::size_t node, std::uint64_t connection)
{
    carry_out(node, model(node).connection_opened(
                        base::connection_generation(connection), m_now));
}

void simulation::close(std::size_t node, std::uint64_t connection)
{
    model(node).connection_closed(base::connection_generation(connection),
                                  m_now);
    settle(node);
}

void simulation::call(std::size_t node, std::uint64_t connection,
                      std::uint64_t id, const rpc::call& what)
{
    carry_out(node,
              model(node).call_received(base::connection_generation(connection),
                                        base::call_id(id), what, m_now));
}

bool simulation::seal(std::size_t node, std::uint64_t term,
                      const std::string& host)
{
    const bool taken =
        model(node).seal(base::term(term), base::host_id(host), m_now).m_taken;
    settle(node);
    return taken;
}

bool simulation::promote(std::size_t node, std::uint64_t term,
                         const std::string& host)
{
    const bool taken =
        model(node)
            .promote(base::term(term), base::host_id(host), m_now)
            .m_taken;
    settle(node);
    return taken;
}

rpc::call_end simulation::end_of(std::uint64_t connection,
                                 std::uint64_t id) const
{
    for (const endpoint_action& action : m_seen)
        if (const auto* part = std::get_if<send_part>(&action))
            if (part->m_connection.value() == connection &&
                part->m_part.m_call.value() == id && part->m_part.m_end)
                return *part->m_part.m_end;
    return {};
}

std::vector<rpc::row> simulation::rows_of(std::uint64_t connection,
                                          std::uint64_t id) const
{
    std::vector<rpc::row> rows;
    for (const endpoint_action& action : m_seen)
        if (const auto* part = std::get_if<send_part>(&action))
            if (part->m_connection.value() == connection &&
                part->m_part.m_call.value() == id)
                rows.insert(rows.end(), part->m_part.m_rows.begin(),
                            part->m_part.m_rows.end());
    return rows;
}

absl::Duration simulation::random_delay()
{
    std::uniform_int_distribution<std::int64_t> nanoseconds(
        100'000, absl::ToInt64Nanoseconds(m_max_delay));
    return absl::Nanoseconds(nanoseconds(m_random));
}

void simulation::schedule(base::instant when, std::function<void()> item)
{
    m_events.emplace(std::make_pair(when, ++m_sequence), std::move(item));
}

void simulation::settle(std::size_t node)
{
    node_state& state = m_nodes[node];
    if (m_observe)
        m_observe(node);
    const auto next = state.m_model->next_event();
    if (!next || (state.m_wake > m_now && state.m_wake <= *next))
        return;
    state.m_wake = std::max(*next, m_now);
    schedule(state.m_wake,
             [this, node, incarnation = state.m_incarnation]
             {
                 if (m_nodes[node].m_incarnation != incarnation)
                     return;
                 m_nodes[node].m_wake = {};
                 carry_out(node, model(node).tick(m_now));
             });
}

void simulation::carry_out(std::size_t node,
                           const endpoint_model::actions& actions)
{
    for (const endpoint_action& action : actions)
    {
        if (const auto* pull = std::get_if<send_pull>(&action))
            deliver_pull(node, *pull);
        else if (const auto* answer = std::get_if<answer_pull>(&action))
            deliver_answer(node, *answer);
        else
            m_seen.push_back(action);
    }
    settle(node);
}

void simulation::deliver_pull(std::size_t from, const send_pull& pull)
{
    const asked origin{from, m_nodes[from].m_incarnation, pull.m_number};
    const std::size_t target = node_of(pull.m_to);
    const std::uint64_t ticket = ++m_last_ticket;
    m_tickets[ticket] = origin;
    after(random_delay(),
          [this, from, target, ticket, sent = pull.m_request]
          {
              if (is_up(target) && connected(from, target))
                  carry_out(target,
                            model(target).pull_received(ticket, sent, m_now));
          });
    after(pull_timeout,
          [this, ticket, target]
          {
              const auto lost = m_tickets.extract(ticket);
              if (lost.empty())
                  return;
              const asked& item = lost.mapped();
              if (m_nodes[item.m_node].m_incarnation != item.m_incarnation ||
                  !is_up(item.m_node))
                  return;
              carry_out(item.m_node,
                        model(item.m_node)
                            .pull_answered(
                                name_of(target), item.m_number,
                                base::fail(base::error_code::deadline_exceeded,
                                           "timeout"),
                                m_now));
          });
}

void simulation::deliver_answer(std::size_t from, const answer_pull& answer)
{
    after(random_delay(),
          [this, from, answer]
          {
              const auto found = m_tickets.find(answer.m_ticket);
              if (found == m_tickets.end() ||
                  !connected(from, found->second.m_node))
                  return;
              const asked item = found->second;
              m_tickets.erase(found);
              if (!is_up(item.m_node) ||
                  m_nodes[item.m_node].m_incarnation != item.m_incarnation)
                  return;
              carry_out(item.m_node,
                        model(item.m_node)
                            .pull_answered(name_of(from), item.m_number,
                                           answer.m_answer, m_now));
          });
}

bool simulation::connected(std::size_t left, std::size_t right) const
{
    return !m_cut.contains(std::minmax(left, right));
}

base::request_id request(std::uint64_t number, std::int64_t issued)
{
    return {7, number, issued};
}

rpc::execute_call put(const std::string& key, const std::string& value,
                      base::request_id id, std::uint64_t term,
                      std::uint64_t attempt)
{
    return {{rpc::put_statement{key, value}},
            true,
            id,
            base::attempt_number(attempt),
            base::term(term)};
}

rpc::execute_call add(const std::string& key, std::int64_t amount,
                      base::request_id id, std::uint64_t term,
                      std::uint64_t attempt)
{
    return {{rpc::add_statement{key, amount}},
            true,
            id,
            base::attempt_number(attempt),
            base::term(term)};
}

rpc::execute_call get(const std::string& key)
{
    return {{rpc::get_statement{key}}, false, {}, {}, {}};
}

rpc::probe_call fence(base::request_id id, std::uint64_t attempt,
                      std::uint64_t term)
{
    return {id, base::attempt_number(attempt), true, base::term(term)};
}

} // namespace magnoliastack::standin
