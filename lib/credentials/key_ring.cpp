#include "magnoliastack/credentials/key_ring.hpp"

#include "digest.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <optional>
#include <string>

namespace magnoliastack::credentials
{

namespace
{

constexpr std::string_view prefix = "mk_";

struct parsed_key
{
    std::string m_id;
    std::string m_secret;
};

bool is_lower_hex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char digit)
                       {
                           return absl::ascii_isdigit(digit) ||
                                  (digit >= 'a' && digit <= 'f');
                       });
}

// The length is fixed, which bounds the work that a caller can cause.
std::optional<parsed_key> parse_key(std::string_view text)
{
    constexpr std::size_t id_length = 2 * key_id_size;
    constexpr std::size_t secret_length = 2 * secret_size;
    if (text.size() != prefix.size() + id_length + 1 + secret_length)
        return std::nullopt;
    const std::string_view id = text.substr(prefix.size(), id_length);
    const std::string_view secret = text.substr(text.size() - secret_length);
    if (!text.starts_with(prefix) || text[prefix.size() + id_length] != '_' ||
        !is_lower_hex(id) || !is_lower_hex(secret))
        return std::nullopt;
    return parsed_key{std::string(id),
                      absl::HexStringToBytes(std::string(secret))};
}

} // namespace

key_ring::key_ring(const std::vector<key_record>& records)
{
    for (const key_record& record : records)
        m_records.emplace(record.m_id, record);
    m_absent.m_salt = random_bytes(salt_size);
    m_absent.m_digest = random_bytes(digest_size);
}

base::result<verified_key> key_ring::verify(std::string_view key_text) const
{
    const std::optional<parsed_key> parsed = parse_key(key_text);
    if (!parsed)
        return base::fail(base::error_code::unauthenticated,
                          "organisation key is malformed, expected "
                          "mk_<key id>_<secret> as issued");
    const auto found = m_records.find(base::key_id(parsed->m_id));
    const bool known = found != m_records.end();
    const key_record& record = known ? found->second : m_absent;
    const std::string digest = salted_digest(record.m_salt, parsed->m_secret);
    const bool equal = record.m_digest.size() == digest.size() &&
                       CRYPTO_memcmp(record.m_digest.data(), digest.data(),
                                     digest.size()) == 0;
    if (!known || !equal)
        return base::fail(base::error_code::unauthenticated,
                          "organisation key is unknown or withdrawn, use a "
                          "key that is in force");
    return verified_key{record.m_id, record.m_organisation};
}

} // namespace magnoliastack::credentials
