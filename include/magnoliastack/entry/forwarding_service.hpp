// Runs other hosts' statements on the connections that this host holds.
#ifndef MAGNOLIASTACK_ENTRY_FORWARDING_SERVICE_HPP
#define MAGNOLIASTACK_ENTRY_FORWARDING_SERVICE_HPP

#include "magnoliastack/entry/forwarding_peers.hpp"
#include "magnoliastack/entry/statement_runner.hpp"
#include "magnoliastack/logging/logging.hpp"
#include "magnoliastack/metrics/metrics.hpp"
#include "magnoliastack/rpc/forwarding_link.hpp"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace magnoliastack::entry
{

// Limits of the service.
struct forwarding_options
{
    // A longer pause between two ticks is the host's own: what waits in the
    // streams is too old to be run.
    absl::Duration m_own_pause = absl::Milliseconds(300);
    // The sender's limit of a statement comes first; this much later the
    // connection is closed if the sender's word is lost.
    absl::Duration m_deadline_margin = absl::Milliseconds(100);
    // Statements and transactions of other hosts at the same time; it bounds
    // the memory that they take.
    std::size_t m_largest_served = 4000;
    // Bytes of an answer's rows; the rest of a frame is for what comes with
    // them.
    std::size_t m_largest_answer = 1 << 20;
};

// Receives what comes from other hosts. Their statements run as sessions
// without a caller, rate or token, at the endpoint that they name; answers to
// this host's own statements go to the runner.
class forwarding_service final : public rpc::forwarding_events,
                                 public runner_events
{
public:
    forwarding_service(forwarding_options options, rpc::forwarding_link* link,
                       forwarding_peers& peers, statement_runner& runner,
                       metrics::registry& metrics, const base::clock& clock);

    // Refuses what could not start in time. Call it every 50 ms or less.
    void tick(base::instant now);

    // Planned stop: tells the hosts that send here, and takes nothing new.
    void drain();

    // Statements and transactions of other hosts that run here.
    [[nodiscard]] std::size_t served() const
    {
        return m_served.size();
    }

    void message_received(const base::host_id& from,
                          base::incarnation incarnation,
                          rpc::forwarding_message message) override;
    void stream_lost(const base::host_id& host, bool refused) override;
    void incoming_stream_lost(const base::host_id& host) override;

    void work_finished(session& who, const statement_result& result,
                       base::instant now) override;
    void transaction_lost(session& who, base::instant now) override;

private:
    using peer_number = std::pair<base::host_id, rpc::forwarding_number>;

    // One statement or transaction of another host.
    struct served_work
    {
        std::unique_ptr<session> m_session;
        // Answered with a refusal when it has not started until then.
        std::optional<base::instant> m_start_by;
    };

    void handle(const base::host_id& from, rpc::forwarded_statement what,
                base::instant now);
    void continue_transaction(const base::host_id& from,
                              rpc::forwarded_statement what, base::instant now);
    void start(session& who, rpc::forwarded_statement what, base::instant now);
    [[nodiscard]] const char*
    reason_to_refuse(const rpc::forwarded_statement& what);
    void limit_size(rpc::forwarded_answer& answer, session& who, bool writes,
                    base::instant now);
    void refuse(const base::host_id& to, rpc::forwarding_number number,
                std::string_view reason);
    void drop(const peer_number& what, base::instant now);
    void drop_all_of(const base::host_id& host, base::instant now);
    void follow_incarnation(const base::host_id& from,
                            base::incarnation incarnation, base::instant now);
    bool notice_pause(base::instant now);
    void remove(const peer_number& what, base::instant now);

    forwarding_options m_options;
    rpc::forwarding_link* m_link;
    forwarding_peers& m_peers;
    statement_runner& m_runner;
    metrics::registry& m_metrics;
    const base::clock& m_clock;
    logging::logger m_log{"forwarding"};
    std::map<peer_number, served_work> m_served;
    absl::flat_hash_map<rpc::session_number, peer_number> m_numbers;
    std::map<base::host_id, base::incarnation> m_incarnations;
    // Hosts that have sent statements on the present streams.
    std::set<base::host_id> m_senders;
    rpc::session_number m_last_session;
    std::optional<base::instant> m_last_tick;
    bool m_draining = false;
};

} // namespace magnoliastack::entry

#endif
