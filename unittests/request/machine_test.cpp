#include "magnoliastack/request/machine.hpp"

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

#include <criterion/criterion.h>

namespace base = magnoliastack::base;
namespace request = magnoliastack::request;
namespace rpc = magnoliastack::rpc;

namespace
{

// Grants a fixed delay a given number of times.
class limited_retries final : public request::retry_policy
{
public:
    explicit limited_retries(int left) : m_left(left)
    {
    }

    std::optional<absl::Duration> next_delay(int /*tries*/,
                                             base::instant /*now*/) override
    {
        if (m_left == 0)
            return std::nullopt;
        --m_left;
        return absl::Milliseconds(1);
    }

private:
    int m_left;
};

const base::instant start = base::instant::from_nanoseconds(1'000'000'000);

request::description write_request()
{
    request::description what;
    what.m_statements.push_back(rpc::add_statement{"dues", 5});
    what.m_write = true;
    what.m_id = {1, 2, 3};
    what.m_deadline = start + absl::Seconds(5);
    return what;
}

rpc::call_end end_with(rpc::call_outcome outcome)
{
    rpc::call_end end;
    end.m_outcome = outcome;
    end.m_point = {base::term(1), base::log_position(7)};
    return end;
}

template <typename Kind>
bool is(const request::action& what)
{
    return std::holds_alternative<Kind>(what);
}

const base::refusal& refusal_of(const request::action& what)
{
    cr_assert(is<request::refuse>(what));
    return std::get<request::refuse>(what).m_refusal;
}

} // namespace

// Guards against an acknowledgement by the primary alone: replication is
// asynchronous, so a failover could take the write back.
Test(request, write_is_not_delivered_before_it_is_committed)
{
    limited_retries retries(10);
    request::machine machine(write_request(), retries);
    cr_assert(std::get<request::acquire>(machine.start()).m_primary);
    machine.sent(base::term(4));
    const auto waiting =
        machine.ended(end_with(rpc::call_outcome::done), {}, start);
    cr_assert(is<request::await_commit>(waiting));
    cr_assert(std::get<request::await_commit>(waiting).m_point.m_term ==
              base::term(4));
    cr_assert(is<request::nothing>(
        machine.commit_state(request::commit_progress::pending, start)));
    cr_assert(!machine.is_finished());
    cr_assert(is<request::deliver>(
        machine.commit_state(request::commit_progress::committed, start)));
}

// Guards against a second run of a deduction: after a lost answer the outcome
// has to be settled by a fence before the request is sent again.
Test(request, lost_write_is_fenced_before_the_next_attempt)
{
    limited_retries retries(10);
    request::machine machine(write_request(), retries);
    machine.sent(base::term(1));
    cr_assert(is<request::acquire>(machine.connection_lost(start)));
    const rpc::call call = machine.next_call(base::term(1));
    cr_assert(std::holds_alternative<rpc::probe_call>(call));
    cr_assert(std::get<rpc::probe_call>(call).m_fence);
    machine.sent(base::term(1));
    cr_assert(is<request::await_commit>(
        machine.ended(end_with(rpc::call_outcome::not_found), {}, start)));
    // Until a majority holds the fence, the first attempt could still run.
    cr_assert(machine.execution() == base::execution::unknown);
    cr_assert(is<request::back_off>(
        machine.commit_state(request::commit_progress::committed, start)));
    cr_assert(machine.execution() == base::execution::not_run);
    cr_assert(is<request::acquire>(machine.backed_off()));
    const rpc::call again = machine.next_call(base::term(1));
    cr_assert(std::get<rpc::execute_call>(again).m_attempt ==
              base::attempt_number(1));
}

// Guards against `not_run` for a write whose answer was lost.
Test(request, deadline_after_a_lost_answer_is_unknown)
{
    limited_retries retries(10);
    request::machine machine(write_request(), retries);
    machine.sent(base::term(1));
    machine.connection_lost(start);
    cr_assert(refusal_of(machine.expired()).m_execution ==
              base::execution::unknown);
}

// Guards against a later attempt's refusal hiding that an earlier one, sent
// again without a fence, may have run.
Test(request, refusal_of_a_repeat_does_not_prove_that_the_first_did_not_run)
{
    limited_retries retries(10);
    request::description what = write_request();
    what.m_may_repeat = true;
    request::machine machine(what, retries);
    machine.sent(base::term(1));
    cr_assert(is<request::back_off>(machine.connection_lost(start)));
    machine.backed_off();
    machine.sent(base::term(2));
    machine.ended(end_with(rpc::call_outcome::wrong_term), {}, start);
    cr_assert(refusal_of(machine.expired()).m_execution ==
              base::execution::unknown);
}

// Guards against delivering a recorded outcome that only the new primary
// holds, and against losing it in a second failover.
Test(request, outcome_found_by_a_probe_waits_for_commit_and_survives_failover)
{
    limited_retries retries(10);
    request::machine machine(write_request(), retries);
    machine.sent(base::term(1));
    machine.connection_lost(start);
    machine.sent(base::term(2));
    const auto waiting =
        machine.ended(end_with(rpc::call_outcome::done), {}, start);
    cr_assert(std::get<request::await_commit>(waiting).m_point.m_term ==
              base::term(2));
    cr_assert(is<request::acquire>(
        machine.commit_state(request::commit_progress::superseded, start)));
    cr_assert(std::holds_alternative<rpc::probe_call>(
        machine.next_call(base::term(3))));
}

// Guards against sending the commit of an interactive transaction twice: its
// statements are gone with the connection.
Test(request, fenced_commit_of_a_transaction_is_refused_as_not_run)
{
    limited_retries retries(10);
    request::description what = write_request();
    what.m_single_attempt = true;
    request::machine machine(what, retries);
    machine.sent(base::term(1));
    machine.connection_lost(start);
    machine.sent(base::term(1));
    machine.ended(end_with(rpc::call_outcome::not_found), {}, start);
    const auto over =
        machine.commit_state(request::commit_progress::committed, start);
    cr_assert(refusal_of(over).m_execution == base::execution::not_run);
    cr_assert(refusal_of(over).m_reason ==
              base::refusal_reason::transaction_aborted);
}

// Guards against retries without a bound.
Test(request, spent_retry_budget_ends_the_request)
{
    limited_retries retries(1);
    request::machine machine(write_request(), retries);
    machine.sent(base::term(1));
    cr_assert(is<request::back_off>(
        machine.ended(end_with(rpc::call_outcome::wrong_term), {}, start)));
    machine.backed_off();
    machine.sent(base::term(1));
    const auto over =
        machine.ended(end_with(rpc::call_outcome::wrong_term), {}, start);
    cr_assert(refusal_of(over).m_execution == base::execution::not_run);
}

namespace
{

// A primary's record of one request, as far as attempts and fences matter. A
// call may arrive after the host has given it up.
struct fake_primary
{
    int m_runs = 0;
    std::optional<std::uint64_t> m_fenced_to;

    rpc::call_outcome execute(const rpc::execute_call& call)
    {
        if (m_runs > 0)
            return rpc::call_outcome::done;
        if (m_fenced_to && call.m_attempt.value() <= *m_fenced_to)
            return rpc::call_outcome::fenced;
        ++m_runs;
        return rpc::call_outcome::done;
    }
    rpc::call_outcome probe(const rpc::probe_call& call)
    {
        if (m_runs > 0)
            return rpc::call_outcome::done;
        m_fenced_to = std::max(m_fenced_to.value_or(0), call.m_attempt.value());
        return rpc::call_outcome::not_found;
    }
    rpc::call_outcome handle(const rpc::call& call)
    {
        if (const auto* item = std::get_if<rpc::execute_call>(&call))
            return execute(*item);
        return probe(std::get<rpc::probe_call>(call));
    }
};

// One run: calls get lost before or after their effect, or arrive late.
void run_with_lost_calls(unsigned seed)
{
    std::mt19937 random(seed);
    limited_retries retries(1'000);
    fake_primary primary;
    std::vector<rpc::call> late;
    request::machine machine(write_request(), retries);
    request::action next = machine.start();
    for (int step = 0; step < 200 && !machine.is_finished(); ++step)
    {
        if (!late.empty() && random() % 4 == 0)
        {
            primary.handle(late.back());
            late.pop_back();
        }
        if (is<request::acquire>(next))
        {
            const rpc::call call = machine.next_call(base::term(1));
            machine.sent(base::term(1));
            const unsigned fate = random() % 4;
            if (fate == 0)
                late.push_back(call);
            if (fate == 1)
                primary.handle(call);
            next = fate < 2 ? machine.connection_lost(start)
                            : machine.ended(end_with(primary.handle(call)), {},
                                            start);
        }
        else if (is<request::await_commit>(next))
            next = machine.commit_state(request::commit_progress::committed,
                                        start);
        else if (is<request::back_off>(next))
            next =
                random() % 16 == 0 ? machine.expired() : machine.backed_off();
    }
    for (const rpc::call& call : late)
        primary.handle(call);
    cr_assert(primary.m_runs <= 1, "seed %u: ran %d times", seed,
              primary.m_runs);
    if (is<request::refuse>(next) &&
        refusal_of(next).m_execution == base::execution::not_run)
        cr_assert(primary.m_runs == 0, "seed %u: said not_run but ran", seed);
    if (is<request::deliver>(next))
        cr_assert(primary.m_runs == 1, "seed %u: delivered, never ran", seed);
}

} // namespace

// Guards against double runs and false `not_run` under lost, late and
// repeated calls.
Test(request, at_most_one_run_and_true_refusals_over_seeds)
{
    for (unsigned seed = 1; seed <= 2'000; ++seed)
        run_with_lost_calls(seed);
}
