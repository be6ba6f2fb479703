// Which configuration this host has, as of when it is the newest one, and how
// hosts pass it on.
#include "magnoliastack/entry/fleet_service.hpp"

#include <utility>

namespace magnoliastack::entry
{

base::configuration_version fleet_service::configuration_version() const
{
    return m_configuration ? m_configuration->m_version
                           : base::configuration_version();
}

// In a small fleet each host's watch has it at the same time. A peer is asked
// there by a host that is still behind after a while: the store may have come
// back from a copy that lacks the configuration.
void fleet_service::ask_configuration(const fleet::host_report& report,
                                      base::instant now)
{
    if (report.m_configuration <= configuration_version() ||
        m_configurations.is_receiving(now) ||
        (!m_homes.is_large_fleet() && now - m_newest_configuration_at <
                                          m_options.m_configuration_interval) ||
        (m_configuration_asked &&
         now - *m_configuration_asked < m_options.m_configuration_interval))
        return;
    m_configuration_asked = now;
    m_links.m_datagrams.send(
        m_members.find(report.m_host)->m_row.m_address,
        fleet::encode(fleet::configuration_request{m_options.m_self}));
}

void fleet_service::send_configuration(
    const fleet::configuration_request& request)
{
    const fleet::member* to = m_members.find(request.m_host);
    if (to == nullptr || !m_configuration)
        return;
    const auto& datagrams = m_configurations.datagrams(m_configuration);
    m_links.m_metrics
        .counter(datagrams.empty() ? "configurations.too_large"
                                   : "configurations.passed_on")
        .add();
    for (const auto& bytes : datagrams)
        m_links.m_datagrams.send(to->m_row.m_address, bytes);
}

void fleet_service::take_configuration(fleet::configuration_part part,
                                       base::instant now)
{
    if (part.m_version <= configuration_version())
        return;
    if (auto whole = m_configurations.received(std::move(part), now))
        m_links.m_events.configuration_told(std::move(whole), now);
}

absl::Duration fleet_service::configuration_age(base::instant now) const
{
    return m_operator_rows.age(m_store_clock, now);
}

bool fleet_service::is_configuration_current(base::instant now) const
{
    return m_newest_configuration <= configuration_version() &&
           m_operator_rows.is_current(m_store_clock, now);
}

// All rows of the operator are known as of that time of the store.
void fleet_service::operator_rows_confirmed(rpc::store_instant at,
                                            base::instant now)
{
    const auto age = configuration_age(now);
    m_operator_rows.confirmed(at);
    if (age == absl::InfiniteDuration())
        return;
    m_links.m_metrics.latency("configuration.unconfirmed").record(age);
    if (configuration_age(now) < age &&
        std::exchange(m_configuration_outdated, false))
        m_log.info(
            "configuration_confirmed",
            {{"version", configuration_version()}, {"unconfirmed_for", age}});
}

// Whoever told it had the newest rows then; this host has them as well unless
// its configuration is older. Evacuations have been taken from the report.
void fleet_service::take_operator_confirmation(const fleet::host_report& report,
                                               base::instant now)
{
    if (is_of_era(report) && m_configuration &&
        report.m_configuration <= configuration_version() &&
        report.m_operator_confirmed_at > m_operator_rows.confirmed_at())
        operator_rows_confirmed(report.m_operator_confirmed_at, now);
}

void fleet_service::check_configuration_age(base::instant now)
{
    if (m_configuration_outdated || !m_configuration ||
        m_operator_rows.confirmed_at().value() == 0 ||
        m_operator_rows.is_current(m_store_clock, now))
        return;
    m_configuration_outdated = true;
    m_links.m_metrics.counter("configuration.outdated").add();
    m_log.warning("configuration_unconfirmed",
                  {{"version", configuration_version()},
                   {"unconfirmed_for", configuration_age(now)},
                   {"newest_told", m_newest_configuration}});
}

} // namespace magnoliastack::entry
