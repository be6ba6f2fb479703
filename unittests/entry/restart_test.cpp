// Hosts that restart while a primary is replaced.
#include "failover.hpp"

#include <criterion/criterion.h>

using namespace entry_test;

namespace
{

// Ends the process of a host that serves no sessions, as planned, and starts
// another one in its place that only reaches the store.
void replace_process(fleet_fixture& f, std::size_t index)
{
    f.host(index).m_host.drain();
    f.run(absl::Seconds(5));
    cr_assert(f.host(index).m_host.is_drained());
    f.m_hosts[index] = std::make_unique<fake_host>("h" + std::to_string(index),
                                                   f.m_platform, f.m_clock, 2);
    f.host(index).m_heard = false;
    f.host(index).m_store.m_watch_silent = true;
}

// The hosts' watches answer nothing; other calls of the store are answered.
void silence_watches(fleet_fixture& f)
{
    for (auto& host : f.m_hosts)
        host->m_store.m_watch_silent = true;
}

} // namespace

// Guards against two primaries at once: a process that has ended said that it
// relies on nothing, and that was taken for the word of its successor, whose
// registration the host that promotes had not read yet.
Test(restart,
     a_process_that_is_not_known_yet_is_not_released_by_its_predecessor)
{
    for (int delay_ms = 0; delay_ms <= 1500; delay_ms += 50)
    {
        fleet_fixture f;
        for (std::size_t host = 0; host < 3; ++host)
            uses_primary(f, host, 1);
        silence_watches(f);
        replace_process(f, 2);
        fake_group group;
        group.run(f, absl::Milliseconds(delay_ms));
        group.crash_primary(f);
        while (f.m_platform.m_promoted.empty())
            group.run(f, absl::Milliseconds(50));
        const auto used = f.host(2).m_host.primary(base::group_id("g"));
        cr_assert(!used || *used == f.m_platform.m_promoted[0].m_endpoint,
                  "%d ms after the restart the new process used the old primary"
                  " while another one was promoted",
                  delay_ms);
    }
}
