// Endpoints of a fake fleet that crash, are promoted and answer.
#ifndef MAGNOLIASTACK_UNITTESTS_ENTRY_FAILOVER_HPP
#define MAGNOLIASTACK_UNITTESTS_ENTRY_FAILOVER_HPP

#include "driver.hpp"

#include <map>
#include <set>
#include <string>

namespace entry_test
{

// True when the host sends a write to an endpoint.
inline bool uses_primary(fleet_fixture& f, std::size_t index,
                         std::uint64_t session)
{
    driver caller(f.host(index));
    caller.start(session, "settle");
    caller.say(session, rpc::statement_kind::write, "WRITE a b");
    const auto request = caller.next_statement();
    if (!request)
        return false;
    caller.succeed(*request);
    return true;
}

// The group's endpoints: who leads it, and who has crashed. A promotion takes
// effect at once.
struct fake_group
{
    std::string m_primary = "e0";
    std::uint64_t m_term = 1;
    std::set<std::string> m_crashed;
    // No slot of theirs is free: they refuse to report.
    std::set<std::string> m_busy;
    // What they have received of the log.
    std::map<std::string, std::uint64_t> m_received{
        {"e0", 95}, {"e1", 95}, {"e2", 90}};
    // Until then the endpoints renew no entry.
    base::instant m_quiet_until;

    // The primary's process ends: connections to it are refused.
    void crash_primary(fleet_fixture& f)
    {
        crash(f, m_primary);
    }
    void crash(fleet_fixture& f, const std::string& name)
    {
        m_crashed.insert(name);
        for (auto& host : f.m_hosts)
        {
            const auto open = host->m_endpoints.m_open;
            for (const auto& [number, target] : open)
                if (target.m_endpoint.str() == name)
                    host->m_host.endpoints().connection_closed(number, true);
        }
    }

    // Lets time pass while the endpoints answer.
    void run(fleet_fixture& f, absl::Duration span)
    {
        for (absl::Duration passed; passed < span;
             passed += absl::Milliseconds(50))
        {
            f.run(absl::Milliseconds(50));
            follow_promotions(f);
            if (f.m_clock.m_now >= m_quiet_until)
                report_roles(f.m_platform);
            for (auto& host : f.m_hosts)
                answer(*host);
        }
    }

private:
    void follow_promotions(const fleet_fixture& f)
    {
        const auto& asked = f.m_platform.m_promoted;
        for (; m_followed < asked.size(); ++m_followed)
        {
            const std::string name = asked[m_followed].m_endpoint.str();
            if (name == m_primary || m_crashed.contains(name))
                continue;
            m_primary = name;
            ++m_term;
        }
    }

    // Endpoints that run report a changed role at once.
    void report_roles(fake_platform& platform) const
    {
        for (auto& entry : platform.m_entries)
            if (!m_crashed.contains(entry.m_id.str()))
                entry.m_primary = entry.m_id.str() == m_primary;
    }

    void answer(fake_host& host)
    {
        driver endpoints(host);
        for (const auto number : std::exchange(host.m_endpoints.m_opening, {}))
        {
            const auto target = host.m_endpoints.m_open.find(number);
            if (target == host.m_endpoints.m_open.end())
                continue;
            if (m_crashed.contains(target->second.m_endpoint.str()))
                host.m_host.endpoints().connection_closed(number, true);
            else
                host.m_host.endpoints().opened(number, point(m_term, 90));
        }
        while (const auto request = endpoints.next())
        {
            const auto name = endpoints.endpoint_of(*request);
            if (request->m_request.m_action ==
                    rpc::endpoint_request::action::status &&
                m_busy.contains(name))
            {
                endpoints.fail(*request, rpc::statement_error::busy);
                continue;
            }
            rpc::endpoint_report report;
            report.m_primary = name == m_primary;
            report.m_term = base::term(m_term);
            report.m_received = point(1, m_received[name]);
            host.m_host.endpoints().report_received(request->m_connection,
                                                    report);
            endpoints.succeed(*request, rpc::transaction_state::idle,
                              point(m_term, 100));
        }
    }

    std::size_t m_followed = 0;
};

} // namespace entry_test

#endif
