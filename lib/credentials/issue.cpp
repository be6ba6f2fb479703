#include "magnoliastack/credentials/issue.hpp"

#include "digest.hpp"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace magnoliastack::credentials
{

issued_key issue(const base::organisation_id& organisation)
{
    const std::string id = absl::BytesToHexString(random_bytes(key_id_size));
    const std::string secret = random_bytes(secret_size);
    issued_key key;
    key.m_text = absl::StrCat("mk_", id, "_", absl::BytesToHexString(secret));
    key.m_record.m_id = base::key_id(id);
    key.m_record.m_organisation = organisation;
    key.m_record.m_salt = random_bytes(salt_size);
    key.m_record.m_digest = salted_digest(key.m_record.m_salt, secret);
    return key;
}

std::string new_token_secret()
{
    return absl::BytesToHexString(random_bytes(secret_size));
}

} // namespace magnoliastack::credentials
