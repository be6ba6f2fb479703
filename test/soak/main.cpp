// A randomised soak: magnolia-entry as processes, faults from outside, and the
// promises checked from what callers and endpoints see. Exit code 0 when none
// was broken.
#include "faults.hpp"
#include "world.hpp"

#include <CLI/CLI.hpp>

#include <cstdio>

namespace
{

namespace soak = magnoliastack::soak;
using std::chrono::milliseconds;
using std::chrono::seconds;

// After the last fault callers are served again within this.
constexpr seconds recovery_bound{12};
constexpr seconds measured{3};
constexpr double least_served = 0.8;
constexpr seconds longest_start{15};
constexpr std::size_t enough_served = 50;

struct options
{
    unsigned m_seed = 1;
    unsigned m_seconds = 20;
    std::string m_folder = "soak-logs";
    soak::world_options m_world;
};

// Runs until callers are served; false when that takes too long.
bool wait_until_served(soak::world& all, seconds limit)
{
    const auto end = soak::clock::now() + limit;
    const auto before = all.m_callers->m_tally.m_succeeded;
    while (soak::clock::now() < end)
    {
        all.run_for(milliseconds(100));
        if (all.m_callers->m_tally.m_succeeded >= before + enough_served)
            return true;
    }
    return false;
}

void measure_recovery(soak::world& all)
{
    all.run_for(recovery_bound);
    all.m_callers->m_tally = {};
    all.run_for(measured);
    const auto& tally = all.m_callers->m_tally;
    const double asked = static_cast<double>(
        tally.m_succeeded + tally.m_refused + tally.m_unknown + tally.m_cut);
    std::printf("recovered: %zu served, %zu refused, %zu unknown, %zu cut\n",
                tally.m_succeeded, tally.m_refused, tally.m_unknown,
                tally.m_cut);
    if (static_cast<double>(tally.m_succeeded) < asked * least_served ||
        tally.m_succeeded == 0)
        all.m_judge.broken("RECOVER", "callers are not served again");
}

void stop_all(soak::world& all)
{
    for (std::size_t host = 0; host < all.m_hosts.size(); ++host)
        all.stop_host(host);
    all.run_for(seconds(7));
}

int run(const options& chosen)
{
    std::mt19937 random(chosen.m_seed);
    soak::world all(chosen.m_world, random);
    for (std::size_t host = 0; host < all.m_hosts.size(); ++host)
        all.start_host(host);
    if (!wait_until_served(all, longest_start))
        all.m_judge.broken("START", "nobody was served");
    soak::fault_plan faults(all, random);
    const auto end = soak::clock::now() + seconds(chosen.m_seconds);
    while (soak::clock::now() < end)
    {
        faults.tick();
        all.run_for(milliseconds(20));
    }
    faults.stop();
    for (std::size_t host = 0; host < all.m_hosts.size(); ++host)
        all.start_host(host);
    const auto tally = all.m_callers->m_tally;
    std::printf("with faults: %zu served, %zu refused, %zu unknown, %zu cut\n",
                tally.m_succeeded, tally.m_refused, tally.m_unknown,
                tally.m_cut);
    measure_recovery(all);
    stop_all(all);
    std::printf("seed %u: %zu broken\n", chosen.m_seed,
                all.m_judge.findings().size());
    return all.m_judge.findings().empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    options chosen;
    // A run that is ended leaves what it has found so far.
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    CLI::App app{"Soaks magnolia-entry in faults"};
    app.add_option("--seed", chosen.m_seed, "what to draw the faults from");
    app.add_option("--seconds", chosen.m_seconds, "length of the faults")
        ->check(CLI::Range(1U, 86'400U));
    app.add_option("--hosts", chosen.m_world.m_hosts, "hosts")
        ->check(CLI::Range(2U, 200U));
    app.add_option("--groups", chosen.m_world.m_groups, "database groups")
        ->check(CLI::Range(1U, 20U));
    app.add_option("--callers", chosen.m_world.m_callers, "callers")
        ->check(CLI::Range(1U, 5'000U));
    app.add_option(
        "--folder", chosen.m_folder,
        "settings and logs of the hosts; removed when nothing broke");
    CLI11_PARSE(app, argc, argv);
    chosen.m_world.m_folder = chosen.m_folder;
    const int code = run(chosen);
    if (code == 0)
        std::filesystem::remove_all(chosen.m_world.m_folder);
    return code;
}
