#include "magnoliastack/share/slot_table.hpp"

#include "slots.pb.h"

#include <algorithm>

namespace magnoliastack::share
{

std::size_t slot_table::count(const base::host_id& host) const
{
    return std::count_if(m_slots.begin(), m_slots.end(),
                         [&](const slot_record& record)
                         {
                             return record.m_host == host;
                         });
}

std::string serialize(const slot_table& table)
{
    wire::SlotTable message;
    for (const slot_record& record : table.m_slots)
    {
        wire::Slot* slot = message.add_slots();
        slot->set_host(record.m_host.str());
        slot->set_incarnation(record.m_incarnation.value());
        slot->set_epoch(record.m_epoch.value());
        slot->set_unsettled(record.m_unsettled);
    }
    return message.SerializeAsString();
}

base::result<slot_table> parse_slot_table(std::string_view value)
{
    wire::SlotTable message;
    if (!message.ParseFromArray(value.data(), static_cast<int>(value.size())))
        return base::fail(base::error_code::corrupt,
                          "row \"slots\" holds " +
                              std::to_string(value.size()) +
                              " bytes that are no slot table; restore the row");
    slot_table table;
    for (const wire::Slot& slot : message.slots())
        table.m_slots.push_back(
            {base::host_id(slot.host()), base::incarnation(slot.incarnation()),
             base::slot_epoch(slot.epoch()), slot.unsettled()});
    return table;
}

} // namespace magnoliastack::share
