#include "wire.hpp"

#include <algorithm>
#include <limits>
#include <string>

namespace magnoliastack::peer
{

namespace
{

std::string text(capnp::Text::Reader in)
{
    return {in.begin(), in.size()};
}

// Durations travel in whole milliseconds; longer ones than fit are cut off.
std::uint32_t milliseconds(absl::Duration span)
{
    constexpr std::int64_t highest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(absl::ToInt64Milliseconds(span), 0, highest));
}

// An unknown state of a newer version is taken as alive: its meaning is the
// sender's view, and the receiver forms its own.
rpc::member_state state(std::uint8_t value)
{
    if (value > static_cast<std::uint8_t>(rpc::member_state::leaving))
        return rpc::member_state::alive;
    return static_cast<rpc::member_state>(value);
}

void write(const rpc::group_observation& group,
           wire::GroupObservation::Builder out)
{
    out.setGroup(group.m_group.str());
    out.setTerm(group.m_term.value());
    out.setPrimary(group.m_primary.str());
    out.setPrimaryUnreachable(group.m_primary_unreachable);
    out.setMajorityReachable(group.m_majority_reachable);
    out.setUnreachableMs(milliseconds(group.m_unreachable_for));
}

rpc::group_observation read(wire::GroupObservation::Reader in)
{
    rpc::group_observation group;
    group.m_group = base::group_id(text(in.getGroup()));
    group.m_term = base::term(in.getTerm());
    group.m_primary = base::endpoint_id(text(in.getPrimary()));
    group.m_primary_unreachable = in.getPrimaryUnreachable();
    group.m_majority_reachable = in.getMajorityReachable();
    group.m_unreachable_for = absl::Milliseconds(in.getUnreachableMs());
    return group;
}

void write(const rpc::member_entry& entry, wire::Entry::Builder out)
{
    out.setHost(entry.m_host.str());
    out.setIncarnation(entry.m_incarnation.value());
    out.setHeartbeat(entry.m_heartbeat);
    out.setFailureDomain(entry.m_failure_domain.str());
    out.setPeerAddress(entry.m_peer_address);
    out.setState(static_cast<std::uint8_t>(entry.m_state));
    out.setConfigurationVersion(entry.m_configuration_version.value());
    out.setStoreReachable(entry.m_store_reachable);
    out.setSlotsVersion(entry.m_slots_version);
    auto groups = out.initGroups(entry.m_groups.size());
    for (unsigned index = 0; index < groups.size(); ++index)
        write(entry.m_groups[index], groups[index]);
    auto slots = out.initSlots(entry.m_slots.size());
    for (unsigned index = 0; index < slots.size(); ++index)
    {
        const rpc::slot_holding& slot = entry.m_slots[index];
        slots[index].setSlot(static_cast<std::uint32_t>(slot.m_slot.value()));
        slots[index].setEpoch(slot.m_epoch.value());
    }
    auto leaving = out.initLeavingEndpoints(entry.m_leaving_endpoints.size());
    for (unsigned index = 0; index < leaving.size(); ++index)
        leaving.set(index, entry.m_leaving_endpoints[index].str());
}

rpc::member_entry read(wire::Entry::Reader in)
{
    rpc::member_entry entry;
    entry.m_host = base::host_id(text(in.getHost()));
    entry.m_incarnation = base::incarnation(in.getIncarnation());
    entry.m_heartbeat = in.getHeartbeat();
    entry.m_failure_domain =
        base::failure_domain_id(text(in.getFailureDomain()));
    entry.m_peer_address = text(in.getPeerAddress());
    entry.m_state = state(in.getState());
    entry.m_configuration_version =
        base::configuration_version(in.getConfigurationVersion());
    entry.m_store_reachable = in.getStoreReachable();
    entry.m_slots_version = in.getSlotsVersion();
    for (const auto group : in.getGroups())
        entry.m_groups.push_back(read(group));
    for (const auto slot : in.getSlots())
        entry.m_slots.push_back({base::slot_index(slot.getSlot()),
                                 base::slot_epoch(slot.getEpoch())});
    for (const auto endpoint : in.getLeavingEndpoints())
        entry.m_leaving_endpoints.emplace_back(text(endpoint));
    return entry;
}

} // namespace

void write(const rpc::exchange_message& message, wire::Exchange::Builder out)
{
    out.setSender(message.m_sender.str());
    out.setIncarnation(message.m_incarnation.value());
    out.setConfigurationVersion(message.m_configuration_version.value());
    out.setSlotsVersion(message.m_slots_version);
    auto entries = out.initEntries(message.m_entries.size());
    for (unsigned index = 0; index < entries.size(); ++index)
        write(message.m_entries[index], entries[index]);
}

rpc::exchange_message read(wire::Exchange::Reader in)
{
    rpc::exchange_message message;
    message.m_sender = base::host_id(text(in.getSender()));
    message.m_incarnation = base::incarnation(in.getIncarnation());
    message.m_configuration_version =
        base::configuration_version(in.getConfigurationVersion());
    message.m_slots_version = in.getSlotsVersion();
    for (const auto entry : in.getEntries())
        message.m_entries.push_back(read(entry));
    return message;
}

void write(const rpc::borrow_request& request, wire::BorrowRequest::Builder out)
{
    out.setBorrower(request.m_borrower.str());
    out.setIncarnation(request.m_incarnation.value());
    out.setResource(request.m_resource);
    out.setAmount(request.m_amount);
}

rpc::borrow_request read(wire::BorrowRequest::Reader in)
{
    return {base::host_id(text(in.getBorrower())),
            base::incarnation(in.getIncarnation()), text(in.getResource()),
            in.getAmount()};
}

void write(const rpc::borrow_response& response,
           wire::BorrowResponse::Builder out)
{
    out.setLoan(response.m_loan.value());
    out.setAmount(response.m_amount);
    out.setLengthMs(milliseconds(response.m_length));
}

rpc::borrow_response read(wire::BorrowResponse::Reader in)
{
    return {base::loan_id(in.getLoan()), in.getAmount(),
            absl::Milliseconds(in.getLengthMs())};
}

void write(const rpc::give_back& message, wire::GiveBack::Builder out)
{
    out.setBorrower(message.m_borrower.str());
    out.setLoan(message.m_loan.value());
    out.setResource(message.m_resource);
}

rpc::give_back read(wire::GiveBack::Reader in)
{
    return {base::host_id(text(in.getBorrower())), base::loan_id(in.getLoan()),
            text(in.getResource())};
}

void write(const rpc::configuration_object& object,
           wire::Configuration::Builder out)
{
    out.setVersion(object.m_version.value());
    out.setHash(object.m_hash);
    out.setChangeId(object.m_change_id);
    out.setAuthor(object.m_author);
    out.setContent(
        {reinterpret_cast<const capnp::byte*>(object.m_content.data()),
         object.m_content.size()});
}

rpc::configuration_object read(wire::Configuration::Reader in)
{
    const capnp::Data::Reader content = in.getContent();
    return {base::configuration_version(in.getVersion()), text(in.getHash()),
            text(in.getChangeId()), text(in.getAuthor()),
            std::string(reinterpret_cast<const char*>(content.begin()),
                        content.size())};
}

} // namespace magnoliastack::peer
