#include "magnoliastack/membership/member_table.hpp"

#include <numeric>
#include <string>

namespace magnoliastack::membership
{

namespace
{

// Sizes of the Cap'n Proto encoding in proto/magnoliastack/peer.capnp: a
// struct in a list takes 8 bytes for each data word and pointer, a text its
// bytes and a zero rounded up to words, a list of structs one more word.
constexpr std::size_t word = 8;
constexpr std::size_t entry_words = 6 + 6;
constexpr std::size_t observation_words = 2 + 2;
constexpr std::size_t holding_words = 2;
// Frame, call or return header and the Exchange struct with its pointers.
constexpr std::size_t message_overhead = 144;

std::size_t text_size(const std::string& text)
{
    return (text.size() + 1 + word - 1) / word * word;
}

} // namespace

std::size_t estimated_size(const rpc::member_entry& entry)
{
    std::size_t size = entry_words * word + text_size(entry.m_host.str()) +
                       text_size(entry.m_failure_domain.str()) +
                       text_size(entry.m_peer_address);
    if (!entry.m_groups.empty())
        size += word;
    for (const rpc::group_observation& group : entry.m_groups)
        size += observation_words * word + text_size(group.m_group.str()) +
                text_size(group.m_primary.str());
    if (!entry.m_slots.empty())
        size += word + entry.m_slots.size() * holding_words * word;
    for (const base::endpoint_id& endpoint : entry.m_leaving_endpoints)
        size += word + text_size(endpoint.str());
    return size;
}

std::size_t estimated_size(const rpc::exchange_message& message)
{
    return std::accumulate(message.m_entries.begin(), message.m_entries.end(),
                           message_overhead + text_size(message.m_sender.str()),
                           [](std::size_t sum, const rpc::member_entry& entry)
                           {
                               return sum + estimated_size(entry);
                           });
}

} // namespace magnoliastack::membership
