// What the evacuation of a failure domain changes for this host.
#include "magnoliastack/entry/fleet_service.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::entry
{
namespace
{

const char* to_string(fleet::evacuation_state state)
{
    switch (state)
    {
    case fleet::evacuation_state::ordered:
        return "ordered";
    case fleet::evacuation_state::kept:
        return "kept";
    case fleet::evacuation_state::cancelled:
        break;
    }
    return "cancelled";
}

} // namespace

void fleet_service::operator_rows_read(const rpc::operator_rows& rows,
                                       base::instant now)
{
    if (m_evacuations.rows_read(rows))
        evacuations_changed("store", now);
}

fleet::evacuation_phase
fleet_service::evacuation(const base::failure_domain_id& domain,
                          base::instant now) const
{
    if (!m_evacuations.is_any())
        return fleet::evacuation_phase::none;
    return m_evacuations.phase(domain, m_store_clock.latest(now));
}

bool fleet_service::is_evacuated(const group_leadership& group,
                                 const base::endpoint_id& endpoint) const
{
    return std::any_of(group.m_entries.begin(), group.m_entries.end(),
                       [this, &endpoint](const auto& entry)
                       {
                           return entry.m_id == endpoint &&
                                  m_evacuations.is_evacuated(
                                      entry.m_failure_domain);
                       });
}

// False when nothing but evacuated endpoints could lead the group: a
// replacement would stop the primary and put nobody in its place.
bool fleet_service::has_replacement_candidate(const group_leadership& group,
                                              base::instant now) const
{
    if (!m_evacuations.is_any())
        return true;
    const auto leader =
        group.m_row ? group.m_row->m_primary
                    : group.m_initial_primary.value_or(base::endpoint_id());
    bool any_evacuated = false;
    for (const auto& entry : group.m_entries)
    {
        if (m_evacuations.is_evacuated(entry.m_failure_domain))
            any_evacuated = true;
        else if (!entry.m_leaving && entry.m_id != leader &&
                 m_runner->unreachable_for(entry.m_id, now) ==
                     absl::ZeroDuration())
            return true;
    }
    return !any_evacuated;
}

// Whoever learns of a change tells it to everybody at once: hosts of a large
// fleet that do not follow the store know it from their peers alone.
void fleet_service::evacuations_changed(const char* source, base::instant now)
{
    const statement_runner::event_scope event(*m_runner);
    const auto& known = m_evacuations.set();
    for (const auto& [domain, item] : known.m_domains)
    {
        if (item.m_state == fleet::evacuation_state::cancelled)
            continue;
        const auto [found, begun] = m_evacuated_since.try_emplace(domain, now);
        if (begun)
            m_links.m_metrics.counter("evacuations.begun").add();
        m_log.warning("evacuation",
                      {{"domain", domain},
                       {"state", to_string(item.m_state)},
                       {"source", source},
                       {"era", known.m_era},
                       {"version", item.m_version},
                       {"seen_at_ms", item.m_since},
                       {"in_force_for", now - found->second},
                       {"in_flight", m_runner->in_flight_in(domain)}});
    }
    std::erase_if(m_evacuated_since,
                  [this, source, now, &known](const auto& item)
                  {
                      if (m_evacuations.is_evacuated(item.first))
                          return false;
                      m_runner->evacuation_ended(item.first, now);
                      m_links.m_metrics.counter("evacuations.ended").add();
                      m_log.info("evacuation_ended",
                                 {{"domain", item.first},
                                  {"source", source},
                                  {"era", known.m_era},
                                  {"version", known.m_version},
                                  {"in_force_for", now - item.second}});
                      return true;
                  });
    for (auto& [id, group] : m_groups)
        update_leader(group);
    tell_all(now);
    for (auto& [id, group] : m_groups)
    {
        if (!is_quiet(id, group))
            replace_primary(id, group, now);
        m_runner->place_waiting(id);
    }
}

void fleet_service::follow_evacuations(base::instant now)
{
    if (const auto earliest = m_store_clock.earliest(now);
        earliest && m_evacuations.expire(*earliest))
        evacuations_changed("expiry", now);
    if (m_evacuated_since.empty() || now < m_next_evacuation_line)
        return;
    m_next_evacuation_line = now + m_options.m_evacuation_line_interval;
    for (const auto& [domain, since] : m_evacuated_since)
        if (const auto running = m_runner->in_flight_in(domain); running > 0)
            m_log.info("evacuation_running",
                       {{"domain", domain},
                        {"version",
                         m_evacuations.set().m_domains.at(domain).m_version},
                        {"in_force_for", now - since},
                        {"in_flight", running}});
}

} // namespace magnoliastack::entry
