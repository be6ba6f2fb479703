// Issue of organisation keys.
#ifndef MAGNOLIASTACK_CREDENTIALS_ISSUE_HPP
#define MAGNOLIASTACK_CREDENTIALS_ISSUE_HPP

#include "magnoliastack/credentials/key_record.hpp"

#include <string>

namespace magnoliastack::credentials
{

// A new key: its text goes to the operator once, its record is stored.
struct issued_key
{
    std::string m_text;
    key_record m_record;
};

// Makes a key `mk_<key id>_<secret>` of an organisation. The key id has 64 and
// the secret 256 random bits.
issued_key issue(const base::organisation_id& organisation);

// Makes a random secret of 256 bits that signs session tokens, in hex.
std::string new_token_secret();

} // namespace magnoliastack::credentials

#endif
