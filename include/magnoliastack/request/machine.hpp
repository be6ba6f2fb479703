// Decides the life of one request: attempts, fences, probes and the outcome.
#ifndef MAGNOLIASTACK_REQUEST_MACHINE_HPP
#define MAGNOLIASTACK_REQUEST_MACHINE_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/refusal.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/request/retry.hpp"
#include "magnoliastack/rpc/endpoint_link.hpp"
#include "magnoliastack/statechart/chart.hpp"

#include <string_view>
#include <variant>
#include <vector>

namespace magnoliastack::request
{

// What a caller asked for.
struct description
{
    std::vector<rpc::statement> m_statements;
    bool m_write = false;
    // A repeat does no harm, so a lost write is sent again without a fence.
    bool m_may_repeat = false;
    // The statements cannot be sent again, as for the commit of an interactive
    // transaction: once it provably did not run, it is refused.
    bool m_single_attempt = false;
    base::request_id m_id;
    base::instant m_deadline;
};

// Get a connection for `machine::next_call`: to an endpoint that may serve the
// read, or for a write or probe to the primary.
struct acquire
{
    bool m_primary = false;
};

// Report with `commit_state` whether the point is committed.
struct await_commit
{
    base::log_point m_point;
};

// Call `backed_off` at this time.
struct back_off
{
    base::instant m_until;
};

// The outcome is certain: hand the rows to the caller.
struct deliver
{
    std::vector<rpc::row> m_rows;
    base::log_point m_point;
    bool m_repeated = false;
};

// The request is over without an outcome.
struct refuse
{
    base::refusal m_refusal;
};

// Nothing to do until the next event.
struct nothing
{
};

using action =
    std::variant<nothing, acquire, await_commit, back_off, deliver, refuse>;

// What is known of the point that a request waits for.
enum class commit_progress
{
    pending,
    committed,
    // A newer term has begun; whether its log has the point is not known.
    superseded,
};

// The chart of a request, loaded once. Fails only if charts/request.scxml is
// broken, which its test guards against.
const statechart::chart& request_chart();

// One request. Every event returns what to do next; after `deliver` or
// `refuse` the machine is finished and takes no event.
class machine
{
public:
    machine(description what, retry_policy& retries);

    // The first action.
    action start() const;

    // The call to send on the acquired connection; for writes and probes
    // `primary_term` is the term that the primary was seen in.
    rpc::call next_call(base::term primary_term) const;

    // The call was sent.
    void sent(base::term primary_term);

    // The endpoint's whole answer to the call.
    action ended(rpc::call_end end, std::vector<rpc::row> rows,
                 base::instant now);

    // The connection was lost before the whole answer had arrived.
    action connection_lost(base::instant now);

    // The read's answer does not satisfy its requirements any more.
    action answer_rejected(base::instant now);

    // State of the point of the last `await_commit`.
    action commit_state(commit_progress progress, base::instant now);

    // The pause of the last `back_off` is over.
    action backed_off();

    // The deadline has passed.
    action expired();

    // No connection can be had, and waiting does not help.
    action refused(base::refusal_reason reason, absl::Duration retry_delay);

    // True after `deliver` or `refuse`.
    [[nodiscard]] bool is_finished() const;

    // True while a call of this request is at an endpoint.
    [[nodiscard]] bool is_at_endpoint() const;

    // Whether the request has provably not run up to now.
    [[nodiscard]] base::execution execution() const;

    [[nodiscard]] const description& what() const
    {
        return m_what;
    }

    // Why the last retry happened; valid after a `back_off`.
    [[nodiscard]] retry_reason last_retry() const
    {
        return m_last_retry;
    }

private:
    action fire(std::string_view what, base::instant now);
    action give_up(base::refusal_reason reason, absl::Duration retry_delay,
                   std::string detail);
    action retry(retry_reason reason, std::string_view what, base::instant now);
    action answered(rpc::call_end end, std::vector<rpc::row> rows,
                    base::instant now);
    action probe_ended(rpc::call_end end, std::vector<rpc::row> rows,
                       base::instant now);
    action outcome_lost(retry_reason reason, base::instant now);
    action record_expired(base::instant now);

    description m_what;
    retry_policy& m_retries;
    statechart::machine m_state;
    base::attempt_number m_attempt;
    // Term named in the call that is out or was answered last.
    base::term m_sent_term;
    // The present attempt was sent and is not known to be void.
    bool m_may_have_run = false;
    // An earlier attempt's outcome was lost and no fence has settled it. A
    // refusal of a later attempt proves nothing about the earlier one.
    bool m_earlier_may_have_run = false;
    // The awaited point belongs to a fence, not to an outcome.
    bool m_awaiting_fence = false;
    int m_tries = 0;
    retry_reason m_last_retry = retry_reason::connection_lost;
    rpc::call_end m_end;
    std::vector<rpc::row> m_rows;
    base::refusal m_refusal;
};

} // namespace magnoliastack::request

#endif
