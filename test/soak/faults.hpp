// The faults of the soak, each with its undoing.
#ifndef MAGNOLIASTACK_TEST_SOAK_FAULTS_HPP
#define MAGNOLIASTACK_TEST_SOAK_FAULTS_HPP

#include "world.hpp"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace magnoliastack::soak
{

// A fault that has begun.
struct running_fault
{
    std::string m_name;
    clock::time_point m_until;
    std::function<void()> m_undo;
    // It concerns the store, a way to it, or a host that stands still.
    bool m_store = false;
};

// Draws faults, lets them overlap and ends them.
class fault_plan
{
public:
    fault_plan(world& where, std::mt19937& random);

    // Begins and ends what is due.
    void tick();
    // Ends all.
    void stop();

private:
    void begin();
    bool begin_outage();
    void change_evacuation();
    [[nodiscard]] std::size_t draw(std::size_t below);
    [[nodiscard]] std::function<void()> begin_on_host(std::size_t kind,
                                                      std::string& name);
    [[nodiscard]] std::function<void()> begin_on_ways(std::size_t kind,
                                                      std::string& name);
    [[nodiscard]] std::function<void()> begin_on_store(std::size_t kind,
                                                       std::string& name);
    [[nodiscard]] std::function<void()> begin_on_endpoint(std::size_t kind,
                                                          std::string& name);
    [[nodiscard]] std::function<void()> begin_on_commits(std::size_t kind,
                                                         std::string& name);
    [[nodiscard]] std::function<void()> begin_burst(std::size_t kind,
                                                    std::string& name);
    [[nodiscard]] std::function<void()> change_something(std::size_t kind,
                                                         std::string& name);

    world& m_world;
    std::mt19937& m_random;
    std::vector<running_fault> m_running;
    clock::time_point m_next;
    clock::time_point m_next_outage = clock::now();
    // The domain that is evacuated, and when that changes.
    std::string m_evacuated;
    clock::time_point m_next_evacuation;
    // Until then no fault of the store begins, so that the bound is judged.
    clock::time_point m_store_quiet_until;
};

} // namespace magnoliastack::soak

#endif
