// Faults of an endpoint's answers: lost, crossed, and cut peers.
#ifndef MAGNOLIASTACK_STANDIN_FAULT_FILTER_HPP
#define MAGNOLIASTACK_STANDIN_FAULT_FILTER_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/rpc/endpoint_link.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace magnoliastack::standin
{

// Decides what becomes of the messages between an endpoint and its callers.
class fault_filter
{
public:
    // Loses the answers to the next `count` writes.
    void drop_write_answers(std::uint32_t count);

    // Puts the call id of another call on the next `count` answers.
    void cross_answers(std::uint32_t count);

    // Names the peers with which no message is exchanged.
    void set_cut(std::set<std::string> peers);
    [[nodiscard]] bool is_cut(const std::string& peer) const;

    void connection_opened(base::connection_generation connection);
    void connection_closed(base::connection_generation connection);

    // Connections open now get no further answer.
    void silence_open_connections();

    // The part as it is sent, or nothing if it is lost. `write` is set for the
    // end of an answer to a write.
    std::optional<rpc::call_part> filter(base::connection_generation connection,
                                         rpc::call_part part, bool write);

private:
    struct connection_state
    {
        bool m_silent = false;
        // The last call answered, whose id a crossed answer carries.
        base::call_id m_last_call;
    };

    std::uint32_t m_drop_writes = 0;
    std::uint32_t m_cross = 0;
    std::set<std::string> m_cut;
    std::map<base::connection_generation, connection_state> m_connections;
};

} // namespace magnoliastack::standin

#endif
