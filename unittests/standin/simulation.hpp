// Endpoints of one group in virtual time, with a network between them.
#ifndef MAGNOLIASTACK_UNITTESTS_STANDIN_SIMULATION_HPP
#define MAGNOLIASTACK_UNITTESTS_STANDIN_SIMULATION_HPP

#include "magnoliastack/standin/endpoint_model.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace magnoliastack::standin
{

// Runs models named e0, e1, ... with simulated message delays. A crashed model
// loses everything but its durable state.
class simulation
{
public:
    struct received_part
    {
        std::size_t m_node = 0;
        send_part m_sent;
    };

    // Changes the options of a model before it starts.
    using configure = std::function<void(std::size_t, endpoint_options&)>;

    explicit simulation(std::size_t nodes, std::uint64_t seed = 1,
                        const configure& change = {});

    [[nodiscard]] base::instant now() const;
    std::mt19937_64& random();

    // Runs `item` after a delay.
    void after(absl::Duration delay, std::function<void()> item);
    void run_for(absl::Duration span);

    // True while the model is not crashed.
    [[nodiscard]] bool is_up(std::size_t node) const;
    [[nodiscard]] endpoint_model& model(std::size_t node);
    [[nodiscard]] rpc::endpoint_status status(std::size_t node);

    void crash(std::size_t node);
    void restart(std::size_t node);
    // Stops or restores the messages between two models.
    void set_cut(std::size_t left, std::size_t right, bool cut);
    void set_max_delay(absl::Duration delay);

    // Events of a model; their actions are carried out.
    void open(std::size_t node, std::uint64_t connection);
    void close(std::size_t node, std::uint64_t connection);
    void call(std::size_t node, std::uint64_t connection, std::uint64_t id,
              const rpc::call& what);
    bool seal(std::size_t node, std::uint64_t term, const std::string& host);
    bool promote(std::size_t node, std::uint64_t term, const std::string& host);

    // The end of the answer to a call; an unspecified outcome without one.
    [[nodiscard]] rpc::call_end end_of(std::uint64_t connection,
                                       std::uint64_t id) const;
    // Rows of the answer to a call, of all parts.
    [[nodiscard]] std::vector<rpc::row> rows_of(std::uint64_t connection,
                                                std::uint64_t id) const;
    // Everything that happened, in order.
    std::vector<endpoint_action> m_seen;
    // Called after each event of a model.
    std::function<void(std::size_t)> m_observe;

private:
    struct node_state
    {
        endpoint_options m_options;
        std::unique_ptr<endpoint_model> m_model;
        durable_state m_kept;
        std::uint64_t m_incarnation = 1;
        base::instant m_wake;
    };

    absl::Duration random_delay();
    void schedule(base::instant when, std::function<void()> item);
    void settle(std::size_t node);
    void carry_out(std::size_t node, const endpoint_model::actions& actions);
    void deliver_pull(std::size_t from, const send_pull& pull);
    void deliver_answer(std::size_t from, const answer_pull& answer);
    [[nodiscard]] bool connected(std::size_t left, std::size_t right) const;

    base::instant m_now = base::instant::from_nanoseconds(1'000'000'000);
    std::mt19937_64 m_random;
    absl::Duration m_max_delay = absl::Microseconds(500);
    std::uint64_t m_sequence = 0;
    std::map<std::pair<base::instant, std::uint64_t>, std::function<void()>>
        m_events;
    std::vector<node_state> m_nodes;
    std::set<std::pair<std::size_t, std::size_t>> m_cut;
    std::uint64_t m_last_ticket = 0;
    // Who asked with which pull number, by ticket.
    struct asked
    {
        std::size_t m_node = 0;
        std::uint64_t m_incarnation = 0;
        std::uint64_t m_number = 0;
    };
    std::map<std::uint64_t, asked> m_tickets;
};

// Short forms for the tests.
base::request_id request(std::uint64_t number, std::int64_t issued = 1'000);
rpc::execute_call put(const std::string& key, const std::string& value,
                      base::request_id id, std::uint64_t term = 1,
                      std::uint64_t attempt = 0);
rpc::execute_call add(const std::string& key, std::int64_t amount,
                      base::request_id id, std::uint64_t term = 1,
                      std::uint64_t attempt = 0);
rpc::execute_call get(const std::string& key);
rpc::probe_call fence(base::request_id id, std::uint64_t attempt,
                      std::uint64_t term = 1);

} // namespace magnoliastack::standin

#endif
