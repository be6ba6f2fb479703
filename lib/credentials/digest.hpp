// Salted digest of a key's secret.
#ifndef MAGNOLIASTACK_CREDENTIALS_DIGEST_HPP
#define MAGNOLIASTACK_CREDENTIALS_DIGEST_HPP

#include <string>
#include <string_view>

namespace magnoliastack::credentials
{

// Bytes of a salt, a digest and a secret.
inline constexpr std::size_t salt_size = 16;
inline constexpr std::size_t digest_size = 32;
inline constexpr std::size_t secret_size = 32;
inline constexpr std::size_t key_id_size = 8;

// SHA-256 of the salt followed by the secret.
std::string salted_digest(std::string_view salt, std::string_view secret);

// Random bytes from OpenSSL's generator.
std::string random_bytes(std::size_t count);

} // namespace magnoliastack::credentials

#endif
