// Encodes session states as authenticated tokens.
#ifndef MAGNOLIASTACK_SESSION_TOKEN_CODEC_HPP
#define MAGNOLIASTACK_SESSION_TOKEN_CODEC_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/session/session_state.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace magnoliastack::session
{

// Encodes and checks tokens. A token is a protobuf message followed by its
// HMAC-SHA256; it holds the organisation, so that it is of no use to another.
class token_codec
{
public:
    // The first secret signs, all of them verify: a new secret is put first
    // while tokens of the previous one are still accepted. Empty secrets are
    // ignored; without any, both functions fail.
    explicit token_codec(std::vector<std::string> secrets);

    // The token of a state. Fails with `unsupported` above `max_groups` or
    // `max_token_bytes`, and with `unavailable` without a secret.
    [[nodiscard]] base::result<std::string>
    encode(const session_state& state) const;

    // The state in a caller's token. An empty token is a new session. Fails
    // with `corrupt` when the token is malformed, `unauthenticated` when no
    // secret verifies it or when it belongs to another organisation.
    [[nodiscard]] base::result<session_state>
    decode(std::string_view token,
           const base::organisation_id& organisation) const;

private:
    std::vector<std::string> m_secrets;
};

} // namespace magnoliastack::session

#endif
