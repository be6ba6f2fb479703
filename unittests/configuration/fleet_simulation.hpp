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

// What may happen in a run.
struct simulation_options
{
    std::uint64_t m_seed = 1;
    removed m_removed = removed::none;
    bool m_partitions = true;
    bool m_outages = true;
    bool m_restarts = true;
    bool m_pauses = true;
    // Exactly one long partition: the platform is on the side of the minority,
    // which stores a change.
    bool m_minority_change = false;
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
