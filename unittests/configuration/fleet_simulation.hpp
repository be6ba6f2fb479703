// Several hosts, operators and a platform in virtual time, with faults.
#ifndef MAGNOLIASTACK_UNITTESTS_CONFIGURATION_FLEET_SIMULATION_HPP
#define MAGNOLIASTACK_UNITTESTS_CONFIGURATION_FLEET_SIMULATION_HPP

#include <cstdint>
#include <string>

namespace magnoliastack::configuration::test
{

// A mechanism that is taken out, to show that the runs notice.
enum class removed
{
    none,
    // Hosts confirm with any set of hosts that they can hear.
    majority_of_keeper,
    // A silent host counts as stopped, whoever has the version.
    majority_of_judge,
    // Confirmations count from the arrival of the answer.
    send_time,
    // The judge waits only for the margin.
    bound,
    // The judge waits for the bound without the margin.
    margin,
    // Hosts that have just started have a vote.
    vote_of_established,
    // Hosts that the list drops are forgotten at once.
    list_retention,
};

// What happens in a run.
enum class scenario
{
    // Partitions, outages, lost answers, slow links, pauses, restarts and
    // orderly stops, with racing operators.
    all_faults,
    // Outages of the store and slow links only.
    outages,
    // One long partition: the platform is on the side of a minority, which
    // stores a change.
    platform_with_minority,
    // The same, but before the change the platform moves to the other side.
    platform_moves,
    // The last host, whose clock is slow, is cut off just as the second of
    // three moves to a version; their clocks are fast.
    clock_race,
    // The last host is cut off while answers from before a change are still
    // under way to it.
    late_answers,
    // A host that has confirmed a version restarts and sees only hosts that
    // have not.
    restart_among_minority,
};

// Seed and kind of a run.
struct simulation_options
{
    std::uint64_t m_seed = 1;
    scenario m_scenario = scenario::all_faults;
    removed m_removed = removed::none;
};

// Outcome of a run.
struct simulation_report
{
    // The first broken invariant; empty when all held.
    std::string m_violation;
    std::uint64_t m_versions = 0;
    std::uint64_t m_accepted_versions = 0;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_lost_answers = 0;
};

// Runs the fleet for about 40 s of virtual time, then without faults until all
// hosts must agree.
simulation_report simulate(const simulation_options& options);

} // namespace magnoliastack::configuration::test

#endif
