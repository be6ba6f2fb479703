// Check of organisation keys against the records of a configuration.
#ifndef MAGNOLIASTACK_CREDENTIALS_KEY_RING_HPP
#define MAGNOLIASTACK_CREDENTIALS_KEY_RING_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/credentials/key_record.hpp"

#include "absl/container/flat_hash_map.h"

#include <string_view>
#include <vector>

namespace magnoliastack::credentials
{

// A key that is valid, without its secret.
struct verified_key
{
    base::key_id m_id;
    base::organisation_id m_organisation;
};

// The keys of one configuration.
class key_ring
{
public:
    explicit key_ring(const std::vector<key_record>& records);

    // Checks a key as the caller sent it. An unknown key id costs the same
    // digest and comparison as a wrong secret and gives the same error, so that
    // neither the time nor the text of a refusal tells which ids exist. Errors
    // have the code unauthenticated and contain no part of the key.
    [[nodiscard]] base::result<verified_key>
    verify(std::string_view key_text) const;

    // True while the key has not been withdrawn.
    [[nodiscard]] bool contains(const base::key_id& id) const
    {
        return m_records.contains(id);
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_records.size();
    }

private:
    absl::flat_hash_map<base::key_id, key_record> m_records;
    key_record m_absent;
};

} // namespace magnoliastack::credentials

#endif
