#include "configuration_codec.hpp"

#include "wire_text.hpp"

namespace magnoliastack::fleet
{
namespace
{

std::uint64_t milliseconds(absl::Duration span)
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, absl::ToInt64Milliseconds(span)));
}

absl::Duration duration(std::uint64_t milliseconds)
{
    return absl::Milliseconds(static_cast<std::int64_t>(milliseconds));
}

// A kind that this version does not know is read as the strictest one.
catalogue::consistency consistency(std::uint8_t value)
{
    switch (value)
    {
    case 1:
        return catalogue::consistency::bounded;
    case 2:
        return catalogue::consistency::read_your_writes;
    default:
        return catalogue::consistency::primary;
    }
}

// `to` is a list of as many texts.
void write_regions(capnp::List<capnp::Text>::Builder to,
                   const std::set<base::region_id>& from)
{
    unsigned index = 0;
    for (const auto& region : from)
        to.set(index++, region.str());
}

std::set<base::region_id> read_regions(capnp::List<capnp::Text>::Reader from)
{
    std::set<base::region_id> to;
    for (const auto item : from)
        to.insert(base::region_id(text(item)));
    return to;
}

void write_route(wire::Route::Builder to, const std::string& database,
                 const catalogue::route& from)
{
    to.setDatabase(database);
    to.setId(from.m_id.str());
    to.setGroup(from.m_group.str());
    to.setConsistency(static_cast<std::uint8_t>(from.m_consistency));
    to.setStatementTimeoutMs(milliseconds(from.m_statement_timeout));
    to.setMaxStalenessMs(milliseconds(from.m_max_staleness));
    to.setPriority(from.m_priority);
    to.setOpen(from.m_open);
    to.setObjectiveMs(milliseconds(from.m_objective));
    write_regions(
        to.initHomeRegions(static_cast<unsigned>(from.m_home_regions.size())),
        from.m_home_regions);
}

catalogue::route read_route(wire::Route::Reader from)
{
    catalogue::route to;
    to.m_id = base::route_id(text(from.getId()));
    to.m_group = base::group_id(text(from.getGroup()));
    to.m_consistency = consistency(from.getConsistency());
    to.m_statement_timeout = duration(from.getStatementTimeoutMs());
    to.m_max_staleness = duration(from.getMaxStalenessMs());
    to.m_priority = from.getPriority();
    to.m_open = from.getOpen();
    to.m_objective = duration(from.getObjectiveMs());
    to.m_home_regions = read_regions(from.getHomeRegions());
    return to;
}

} // namespace

void write_configuration(wire::Configuration::Builder to,
                         const catalogue::configuration& from)
{
    to.setVersion(from.m_version.value());
    to.setIdleTransactionMs(milliseconds(from.m_idle_transaction));
    auto groups = to.initGroups(static_cast<unsigned>(from.m_groups.size()));
    unsigned index = 0;
    for (const auto& [id, group] : from.m_groups)
    {
        auto item = groups[index++];
        item.setId(id.str());
        item.setMaxConnections(group.m_max_connections);
        item.setColdRate(group.m_cold_rate);
        item.setSyncReplicas(group.m_sync_replicas);
    }
    auto routes = to.initRoutes(static_cast<unsigned>(from.m_routes.size()));
    index = 0;
    for (const auto& [database, route] : from.m_routes)
        write_route(routes[index++], database, route);
    auto organisations = to.initOrganisations(
        static_cast<unsigned>(from.m_organisations.size()));
    index = 0;
    for (const auto& [id, organisation] : from.m_organisations)
    {
        auto item = organisations[index++];
        item.setId(id.str());
        item.setRate(organisation.m_rate);
        item.setBurst(organisation.m_burst);
        item.setUnlimited(!organisation.m_limited);
        item.setPriority(organisation.m_priority);
        write_regions(item.initHomeRegions(static_cast<unsigned>(
                          organisation.m_home_regions.size())),
                      organisation.m_home_regions);
    }
    auto keys = to.initKeys(static_cast<unsigned>(from.m_keys.size()));
    index = 0;
    for (const auto& [key, organisation] : from.m_keys)
    {
        auto item = keys[index++];
        item.setKey(key);
        item.setOrganisation(organisation.str());
    }
}

catalogue::configuration read_configuration(wire::Configuration::Reader from)
{
    catalogue::configuration to;
    to.m_version = base::configuration_version(from.getVersion());
    to.m_idle_transaction = duration(from.getIdleTransactionMs());
    for (const auto item : from.getGroups())
    {
        const base::group_id id(text(item.getId()));
        to.m_groups[id] = {id, item.getMaxConnections(), item.getColdRate(),
                           item.getSyncReplicas()};
    }
    for (const auto item : from.getRoutes())
        to.m_routes[text(item.getDatabase())] = read_route(item);
    for (const auto item : from.getOrganisations())
    {
        const base::organisation_id id(text(item.getId()));
        catalogue::organisation& who = to.m_organisations[id];
        who.m_id = id;
        who.m_rate = item.getRate();
        who.m_burst = item.getBurst();
        who.m_limited = !item.getUnlimited();
        who.m_priority = item.getPriority();
        who.m_home_regions = read_regions(item.getHomeRegions());
    }
    for (const auto item : from.getKeys())
        to.m_keys[text(item.getKey())] =
            base::organisation_id(text(item.getOrganisation()));
    return to;
}

} // namespace magnoliastack::fleet
