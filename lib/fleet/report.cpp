#include "magnoliastack/fleet/report.hpp"

#include "configuration_codec.hpp"
#include "wire_text.hpp"

#include "magnoliastack/fleet.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>

namespace magnoliastack::fleet
{
namespace
{

// A datagram holds far less; more means a damaged or hostile one.
constexpr std::uint64_t traversal_limit_words = 1U << 16;
// The same for a configuration that came in parts.
constexpr std::uint64_t largest_configuration_words = 1U << 19;
constexpr double milli = 1000;

void write_group(wire::GroupReport::Builder to, const group_report& from)
{
    to.setGroup(from.m_group.str());
    to.setStoppedGeneration(from.m_stopped_generation);
    to.setPrimary(from.m_primary.str());
    to.setTerm(from.m_covered.m_term.value());
    to.setPosition(from.m_covered.m_position.value());
    to.setCoveredAt(from.m_covered_at.value());
    to.setUnreachableMs(static_cast<std::uint32_t>(
        absl::ToInt64Milliseconds(from.m_unreachable)));
    if (!from.m_row)
        return;
    to.setRowIncluded(true);
    to.setRowVersion(from.m_row_version.value());
    to.setRowGeneration(from.m_row->m_generation);
    to.setRowMoving(from.m_row->m_phase == leadership_phase::moving);
    to.setRowPrimary(from.m_row->m_primary.str());
    to.setRowTerm(from.m_row->m_term.value());
    to.setRowHolder(from.m_row->m_holder.str());
}

group_report read_group(wire::GroupReport::Reader from)
{
    group_report to;
    to.m_group = base::group_id(text(from.getGroup()));
    to.m_stopped_generation = from.getStoppedGeneration();
    to.m_primary = base::endpoint_id(text(from.getPrimary()));
    to.m_covered = {base::term(from.getTerm()),
                    base::log_position(from.getPosition())};
    to.m_covered_at = rpc::store_instant(from.getCoveredAt());
    to.m_unreachable = absl::Milliseconds(from.getUnreachableMs());
    to.m_row_version = rpc::row_version(from.getRowVersion());
    if (!from.getRowIncluded())
        return to;
    leadership_row& row = to.m_row.emplace();
    row.m_group = to.m_group;
    row.m_generation = from.getRowGeneration();
    row.m_phase = from.getRowMoving() ? leadership_phase::moving
                                      : leadership_phase::serving;
    row.m_primary = base::endpoint_id(text(from.getRowPrimary()));
    row.m_term = base::term(from.getRowTerm());
    row.m_holder = base::host_id(text(from.getRowHolder()));
    return to;
}

void write_evacuations(wire::Report::Builder to, const evacuation_set& from)
{
    to.setEvacuationsEra(from.m_era.value());
    to.setEvacuationsVersion(from.m_version.value());
    auto items =
        to.initEvacuations(static_cast<unsigned>(from.m_domains.size()));
    unsigned index = 0;
    for (const auto& [domain, known] : from.m_domains)
    {
        auto item = items[index++];
        item.setFailureDomain(domain.str());
        item.setState(static_cast<std::uint8_t>(known.m_state));
        item.setVersion(known.m_version.value());
        item.setSince(known.m_since.value());
    }
}

// An evacuation in a state that this version does not know is left out.
evacuation_set read_evacuations(wire::Report::Reader from)
{
    evacuation_set to;
    to.m_era = rpc::store_era(from.getEvacuationsEra());
    to.m_version = rpc::row_version(from.getEvacuationsVersion());
    for (const auto item : from.getEvacuations())
    {
        if (item.getState() >
            static_cast<std::uint8_t>(evacuation_state::cancelled))
            continue;
        to.m_domains[base::failure_domain_id(text(item.getFailureDomain()))] = {
            static_cast<evacuation_state>(item.getState()),
            rpc::row_version(item.getVersion()),
            rpc::store_instant(item.getSince())};
    }
    return to;
}

host_report read(wire::Report::Reader from)
{
    host_report to;
    to.m_host = base::host_id(text(from.getHost()));
    to.m_incarnation = base::incarnation(from.getIncarnation());
    to.m_number = from.getNumber();
    to.m_leaving = from.getLeaving();
    to.m_store_reachable = from.getStoreReachable();
    to.m_configuration =
        base::configuration_version(from.getConfigurationVersion());
    to.m_era = rpc::store_era(from.getStoreEra());
    to.m_recovered = from.getRecovered();
    to.m_confirmed_at = rpc::store_instant(from.getConfirmedAt());
    to.m_members_version = rpc::row_version(from.getMembersVersion());
    to.m_endpoints_digest = from.getEndpointsDigest();
    to.m_endpoints_read_at = rpc::store_instant(from.getEndpointsReadAt());
    to.m_leaderships_version = rpc::row_version(from.getLeadershipsVersion());
    to.m_leaderships_after = rpc::row_version(from.getLeadershipsAfter());
    for (const auto item : from.getDemands())
        to.m_demand.push_back(
            {base::organisation_id(text(item.getOrganisation())),
             item.getMilliRate() / milli, item.getTokens()});
    for (const auto item : from.getGroups())
        to.m_groups.push_back(read_group(item));
    to.m_evacuations = read_evacuations(from);
    to.m_operator_confirmed_at =
        rpc::store_instant(from.getOperatorConfirmedAt());
    return to;
}

void write(wire::Report::Builder root, const host_report& report)
{
    root.setHost(report.m_host.str());
    root.setIncarnation(report.m_incarnation.value());
    root.setNumber(report.m_number);
    root.setLeaving(report.m_leaving);
    root.setStoreReachable(report.m_store_reachable);
    root.setConfigurationVersion(report.m_configuration.value());
    root.setStoreEra(report.m_era.value());
    root.setRecovered(report.m_recovered);
    root.setConfirmedAt(report.m_confirmed_at.value());
    root.setMembersVersion(report.m_members_version.value());
    root.setEndpointsDigest(report.m_endpoints_digest);
    root.setEndpointsReadAt(report.m_endpoints_read_at.value());
    root.setLeadershipsVersion(report.m_leaderships_version.value());
    root.setLeadershipsAfter(report.m_leaderships_after.value());
    auto demands =
        root.initDemands(static_cast<unsigned>(report.m_demand.size()));
    unsigned index = 0;
    for (const auto& from : report.m_demand)
    {
        auto item = demands[index++];
        item.setOrganisation(from.m_organisation.str());
        item.setTokens(from.m_tokens);
        item.setMilliRate(
            static_cast<std::uint32_t>(std::lround(from.m_rate * milli)));
    }
    auto groups =
        root.initGroups(static_cast<unsigned>(report.m_groups.size()));
    index = 0;
    for (const auto& group : report.m_groups)
        write_group(groups[index++], group);
    write_evacuations(root, report.m_evacuations);
    root.setOperatorConfirmedAt(report.m_operator_confirmed_at.value());
}

void write(wire::Tokens::Builder to, const token_transfer& from)
{
    to.setHost(from.m_host.str());
    to.setIncarnation(from.m_incarnation.value());
    to.setOrganisation(from.m_organisation.str());
    to.setAmount(from.m_amount);
}

token_transfer read(wire::Tokens::Reader from)
{
    token_transfer to;
    to.m_host = base::host_id(text(from.getHost()));
    to.m_incarnation = base::incarnation(from.getIncarnation());
    to.m_organisation = base::organisation_id(text(from.getOrganisation()));
    to.m_amount = from.getAmount();
    return to;
}

void write(wire::MemberUpdate::Builder to, const member_update& from)
{
    to.setStoreEra(from.m_era.value());
    to.setAfter(from.m_after.value());
    to.setComplete(from.m_complete.value());
    auto members = to.initMembers(static_cast<unsigned>(from.m_rows.size()));
    unsigned index = 0;
    for (const auto& row : from.m_rows)
    {
        auto item = members[index++];
        item.setHost(row.m_row.m_host.str());
        item.setVersion(row.m_version.value());
        item.setIncarnation(row.m_row.m_incarnation.value());
        item.setAddress(row.m_row.m_address);
        item.setFailureDomain(row.m_row.m_failure_domain.str());
        item.setMemberSince(row.m_row.m_member_since.value());
        if (row.m_row.m_out_since)
            item.setOutSince(row.m_row.m_out_since->value());
    }
}

member_update read(wire::MemberUpdate::Reader from)
{
    member_update to;
    to.m_era = rpc::store_era(from.getStoreEra());
    to.m_after = rpc::row_version(from.getAfter());
    to.m_complete = rpc::row_version(from.getComplete());
    for (const auto item : from.getMembers())
    {
        member_row row;
        row.m_host = base::host_id(text(item.getHost()));
        row.m_incarnation = base::incarnation(item.getIncarnation());
        row.m_address = text(item.getAddress());
        row.m_failure_domain =
            base::failure_domain_id(text(item.getFailureDomain()));
        row.m_member_since = rpc::store_instant(item.getMemberSince());
        if (item.getOutSince() != 0)
            row.m_out_since = rpc::store_instant(item.getOutSince());
        to.m_rows.push_back(
            {std::move(row), rpc::row_version(item.getVersion())});
    }
    return to;
}

void write(wire::EndpointUpdate::Builder to, const endpoint_update& from)
{
    to.setHost(from.m_host.str());
    to.setReadAt(from.m_read_at.value());
    to.setPart(from.m_part);
    to.setParts(from.m_parts);
    auto endpoints =
        to.initEndpoints(static_cast<unsigned>(from.m_endpoints.size()));
    unsigned index = 0;
    for (const auto& endpoint : from.m_endpoints)
    {
        auto item = endpoints[index++];
        item.setId(endpoint.m_id.str());
        item.setGroup(endpoint.m_group.str());
        item.setAddress(endpoint.m_address);
        item.setFailureDomain(endpoint.m_failure_domain.str());
        item.setSlots(endpoint.m_slots);
        item.setLeaving(endpoint.m_leaving);
        item.setPrimary(endpoint.m_primary);
        item.setStartedUnixMs(endpoint.m_started_unix_ms);
        item.setColdLeftMs(static_cast<std::uint32_t>(
            absl::ToInt64Milliseconds(endpoint.m_cold_left)));
    }
}

endpoint_update read(wire::EndpointUpdate::Reader from)
{
    endpoint_update to;
    to.m_host = base::host_id(text(from.getHost()));
    to.m_read_at = rpc::store_instant(from.getReadAt());
    to.m_part = from.getPart();
    to.m_parts = from.getParts();
    for (const auto item : from.getEndpoints())
    {
        catalogue::endpoint_entry& entry = to.m_endpoints.emplace_back();
        entry.m_id = base::endpoint_id(text(item.getId()));
        entry.m_group = base::group_id(text(item.getGroup()));
        entry.m_address = text(item.getAddress());
        entry.m_failure_domain =
            base::failure_domain_id(text(item.getFailureDomain()));
        entry.m_slots = item.getSlots();
        entry.m_leaving = item.getLeaving();
        entry.m_primary = item.getPrimary();
        entry.m_started_unix_ms = item.getStartedUnixMs();
        entry.m_cold_left = absl::Milliseconds(item.getColdLeftMs());
    }
    return to;
}

void write(wire::ConfigurationPart::Builder to, const configuration_part& from)
{
    to.setHost(from.m_host.str());
    to.setVersion(from.m_version.value());
    to.setPart(from.m_part);
    to.setParts(from.m_parts);
    to.setBytes({reinterpret_cast<const kj::byte*>(from.m_bytes.data()),
                 from.m_bytes.size()});
}

configuration_part read(wire::ConfigurationPart::Reader from)
{
    configuration_part to;
    to.m_host = base::host_id(text(from.getHost()));
    to.m_version = base::configuration_version(from.getVersion());
    to.m_part = from.getPart();
    to.m_parts = from.getParts();
    const auto bytes = from.getBytes();
    to.m_bytes.assign(reinterpret_cast<const char*>(bytes.begin()),
                      bytes.size());
    return to;
}

} // namespace

std::string encode(const datagram& what)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Datagram>();
    if (const auto* report = std::get_if<host_report>(&what))
        write(root.initReport(), *report);
    else if (const auto* request = std::get_if<token_request>(&what))
        write(root.initTokenRequest(), request->m_tokens);
    else if (const auto* grant = std::get_if<token_grant>(&what))
        write(root.initTokenGrant(), grant->m_tokens);
    else if (const auto* returned = std::get_if<token_return>(&what))
        write(root.initTokenReturn(), returned->m_tokens);
    else if (const auto* update = std::get_if<member_update>(&what))
        write(root.initMembers(), *update);
    else if (const auto* ask = std::get_if<endpoint_request>(&what))
        root.initEndpointRequest().setHost(ask->m_host.str());
    else if (const auto* endpoints = std::get_if<endpoint_update>(&what))
        write(root.initEndpoints(), *endpoints);
    else if (const auto* wish = std::get_if<configuration_request>(&what))
        root.initConfigurationRequest().setHost(wish->m_host.str());
    else if (const auto* told = std::get_if<configuration_update>(&what))
        write_configuration(root.initConfiguration(), *told->m_configuration);
    else if (const auto* part = std::get_if<configuration_part>(&what))
        write(root.initConfigurationPart(), *part);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

namespace
{

base::result<datagram> decode(std::string_view bytes, std::uint64_t limit)
{
    datagram result;
    // Cap'n Proto reports damaged input by exceptions; they end here.
    const auto problem = kj::runCatchingExceptions(
        [&]
        {
            kj::ArrayInputStream in(
                {reinterpret_cast<const kj::byte*>(bytes.data()),
                 bytes.size()});
            capnp::ReaderOptions limits;
            limits.traversalLimitInWords = limit;
            capnp::PackedMessageReader message(in, limits);
            const auto root = message.getRoot<wire::Datagram>();
            if (root.isTokenRequest())
                result = token_request{read(root.getTokenRequest())};
            else if (root.isTokenGrant())
                result = token_grant{read(root.getTokenGrant())};
            else if (root.isTokenReturn())
                result = token_return{read(root.getTokenReturn())};
            else if (root.isMembers())
                result = read(root.getMembers());
            else if (root.isEndpointRequest())
                result = endpoint_request{
                    base::host_id(text(root.getEndpointRequest().getHost()))};
            else if (root.isEndpoints())
                result = read(root.getEndpoints());
            else if (root.isConfigurationRequest())
                result = configuration_request{base::host_id(
                    text(root.getConfigurationRequest().getHost()))};
            else if (root.isConfigurationPart())
                result = read(root.getConfigurationPart());
            else if (root.isConfiguration())
                result = configuration_update{
                    std::make_shared<const catalogue::configuration>(
                        read_configuration(root.getConfiguration()))};
            else
                result = read(root.getReport());
        });
    KJ_IF_MAYBE (what, problem)
        return base::fail(base::error_code::corrupt,
                          what->getDescription().cStr());
    return result;
}

} // namespace

base::result<datagram> decode(std::string_view bytes)
{
    return decode(bytes, traversal_limit_words);
}

base::result<datagram> decode_joined(std::string_view bytes)
{
    return decode(bytes, largest_configuration_words);
}

} // namespace magnoliastack::fleet
