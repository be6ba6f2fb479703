// What is stored of an organisation key: never the key itself.
#ifndef MAGNOLIASTACK_CREDENTIALS_KEY_RECORD_HPP
#define MAGNOLIASTACK_CREDENTIALS_KEY_RECORD_HPP

#include "magnoliastack/base/ids.hpp"

#include <string>

namespace magnoliastack::credentials
{

// The record of one key. m_digest is SHA-256 of m_salt followed by the secret,
// both as raw bytes.
struct key_record
{
    base::key_id m_id;
    base::organisation_id m_organisation;
    std::string m_salt;
    std::string m_digest;

    bool operator==(const key_record&) const = default;
};

} // namespace magnoliastack::credentials

#endif
