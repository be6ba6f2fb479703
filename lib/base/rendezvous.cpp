#include "magnoliastack/base/rendezvous.hpp"

#include <xxhash.h>

#include <string>

namespace magnoliastack::base
{

std::uint64_t rendezvous_weight(const host_id& host, std::string_view key)
{
    std::string joined = host.str();
    joined += '\n';
    joined += key;
    return XXH64(joined.data(), joined.size(), 0);
}

} // namespace magnoliastack::base
