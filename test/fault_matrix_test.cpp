// The fault matrix at process level: each fault while writes, session reads
// and transactions run through all proxies.
#include "support/deployment.hpp"
#include "support/workers.hpp"

#include <functional>
#include <string>

#include <criterion/criterion.h>

namespace test = magnoliastack::test;
namespace v1 = magnoliastack::v1;

namespace
{

using action = std::function<void(test::deployment&)>;

constexpr auto calm = std::chrono::milliseconds(1'500);
constexpr auto fault_length = std::chrono::milliseconds(3'000);

// Every step has to work again within this time after the fault has ended.
constexpr int recovery_seconds = 20;

// Runs the work, brings the fault about, ends it, waits until every kind of
// work goes on, settles what is open and checks all invariants.
void run_cell(const action& begin, const action& end,
              const test::deployment_options& options = {})
{
    test::deployment fleet(options);
    test::workload work(fleet, fleet.key(), 20'261'204);
    std::this_thread::sleep_for(calm);
    begin(fleet);
    std::this_thread::sleep_for(fault_length);
    end(fleet);
    work.mark();
    const bool recovered = test::deployment::eventually(
        [&]
        {
            if (!work.violations().empty())
                return true;
            for (const int count : work.progress())
                if (count < 5)
                    return false;
            return true;
        },
        recovery_seconds);
    work.finish();
    for (const std::string& violation : work.violations())
        cr_log_error("%s", violation.c_str());
    cr_assert(work.violations().empty(), "an invariant does not hold");
    const auto progress = work.progress();
    cr_assert(recovered,
              "work did not go on: %d writes, %d reads, %d transactions",
              progress[0], progress[1], progress[2]);
    std::printf("longest write gap %d ms\n", work.longest_write_gap_ms());
}

void nothing(test::deployment& /*fleet*/)
{
}

// Cuts an endpoint off from the given hosts and, with `peers`, from the other
// endpoints.
void cut(test::deployment& fleet, int endpoint, int hosts, bool peers)
{
    v1::EndpointFaults faults;
    faults.set_set_cut(true);
    for (int index = 0; index < hosts; ++index)
        faults.add_cut(test::deployment::host_name(index));
    for (int index = 0; peers && index < 3; ++index)
        if (index != endpoint)
            faults.add_cut(test::deployment::endpoint_name(index));
    fleet.set_faults(endpoint, faults);
    if (!peers)
        return;
    // Both directions: the others must not reach it either.
    for (int index = 0; index < 3; ++index)
    {
        if (index == endpoint)
            continue;
        v1::EndpointFaults other;
        other.set_set_cut(true);
        other.add_cut(test::deployment::endpoint_name(endpoint));
        fleet.set_faults(index, other);
    }
}

void heal_cuts(test::deployment& fleet)
{
    v1::EndpointFaults faults;
    faults.set_set_cut(true);
    for (int index = 0; index < 3; ++index)
        fleet.set_faults(index, faults);
}

} // namespace

// Guards against a workload that fails without any fault, which would make the
// other cells say nothing.
Test(fault_matrix, no_fault)
{
    run_cell(nothing, nothing);
}

// Guards against lost or doubled writes when the primary dies.
Test(fault_matrix, primary_killed)
{
    run_cell(
        [](test::deployment& fleet)
        {
            fleet.endpoint(0).signal(SIGKILL);
        },
        nothing);
}

// Guards against an old primary that goes on acknowledging after a pause.
Test(fault_matrix, primary_paused)
{
    run_cell(
        [](test::deployment& fleet)
        {
            fleet.endpoint(0).signal(SIGSTOP);
        },
        [](test::deployment& fleet)
        {
            fleet.endpoint(0).signal(SIGCONT);
        });
}

// Guards against an acknowledgement by a primary that is cut off from hosts
// and replicas.
Test(fault_matrix, primary_cut_off)
{
    run_cell(
        [](test::deployment& fleet)
        {
            cut(fleet, 0, 3, true);
        },
        heal_cuts);
}

// Guards against two primaries when a third of the hosts stays with the old
// one: host-1 still reaches it, nobody else does.
Test(fault_matrix, primary_cut_off_with_a_third_of_the_hosts)
{
    run_cell(
        [](test::deployment& fleet)
        {
            cut(fleet, 0, 0, true);
            v1::EndpointFaults faults;
            faults.set_set_cut(true);
            for (const int host : {1, 2})
                faults.add_cut(test::deployment::host_name(host));
            for (const int peer : {1, 2})
                faults.add_cut(test::deployment::endpoint_name(peer));
            fleet.set_faults(0, faults);
            for (const int index : {1, 2})
            {
                v1::EndpointFaults other;
                other.set_set_cut(true);
                other.add_cut(test::deployment::host_name(0));
                other.add_cut(test::deployment::endpoint_name(0));
                fleet.set_faults(index, other);
            }
        },
        heal_cuts);
}

// Guards against a promotion or a lost write when answers are only slow.
Test(fault_matrix, primary_slow)
{
    const auto slow = [](unsigned delay_ms)
    {
        return [delay_ms](test::deployment& fleet)
        {
            v1::EndpointFaults faults;
            faults.set_answer_delay_ms(delay_ms);
            fleet.set_faults(0, faults);
        };
    };
    run_cell(slow(200), slow(0));
}

// Guards against a second run after an answer was lost behind its effect.
Test(fault_matrix, write_answers_lost)
{
    run_cell(
        [](test::deployment& fleet)
        {
            v1::EndpointFaults faults;
            faults.set_drop_write_answers(6);
            fleet.set_faults(0, faults);
        },
        nothing);
}

// Guards against requests that hang on connections that went silent while new
// ones work.
Test(fault_matrix, connections_silent)
{
    run_cell(
        [](test::deployment& fleet)
        {
            for (int index = 0; index < 3; ++index)
            {
                v1::EndpointFaults faults;
                faults.set_silence_open_connections(true);
                fleet.set_faults(index, faults);
            }
        },
        nothing);
}

// Guards against an answer that reaches another caller.
Test(fault_matrix, answers_crossed)
{
    run_cell(
        [](test::deployment& fleet)
        {
            for (int index = 0; index < 3; ++index)
            {
                v1::EndpointFaults faults;
                faults.set_cross_answers(5);
                fleet.set_faults(index, faults);
            }
        },
        nothing);
}

// Guards against stale session reads on replicas that lag by a second.
Test(fault_matrix, replicas_behind)
{
    const auto lag = [](unsigned delay_ms)
    {
        return [delay_ms](test::deployment& fleet)
        {
            for (const int index : {1, 2})
            {
                v1::EndpointFaults faults;
                faults.set_apply_delay_ms(delay_ms);
                fleet.set_faults(index, faults);
            }
        };
    };
    run_cell(lag(1'000), lag(0));
}

// Guards against refusals or wrong answers while the platform is down.
Test(fault_matrix, platform_down)
{
    const auto outage = [](bool down)
    {
        return [down](test::deployment& fleet)
        {
            v1::PlatformFaults faults;
            faults.set_outage(down);
            fleet.set_platform_faults(faults);
        };
    };
    run_cell(outage(true), outage(false));
}

// Guards against a failover that needs the platform's table.
Test(fault_matrix, primary_killed_while_the_platform_is_down)
{
    run_cell(
        [](test::deployment& fleet)
        {
            v1::PlatformFaults faults;
            faults.set_outage(true);
            fleet.set_platform_faults(faults);
            fleet.endpoint(0).signal(SIGKILL);
        },
        nothing);
}

// Guards against a paused host that wakes up and acts on old state.
Test(fault_matrix, proxy_paused)
{
    run_cell(
        [](test::deployment& fleet)
        {
            fleet.proxy(1).signal(SIGSTOP);
        },
        [](test::deployment& fleet)
        {
            fleet.proxy(1).signal(SIGCONT);
        });
}

// Guards against transactions and writes that survive their proxy's death in
// an unknown state.
Test(fault_matrix, proxy_killed)
{
    run_cell(
        [](test::deployment& fleet)
        {
            fleet.proxy(1).signal(SIGKILL);
        },
        [](test::deployment& fleet)
        {
            fleet.restart_proxy(1);
        });
}

// Guards against work for a leaving primary and against a gap in a planned
// change.
Test(fault_matrix, primary_leaving)
{
    run_cell(
        [](test::deployment& fleet)
        {
            v1::EndpointFaults faults;
            faults.set_leaving(true);
            fleet.set_faults(0, faults);
        },
        nothing);
}
