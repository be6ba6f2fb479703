#include "magnoliastack/session/token_codec.hpp"

#include "absl/strings/str_cat.h"
#include "session_token.pb.h"

#include <array>
#include <climits>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <optional>

namespace magnoliastack::session
{

namespace
{

constexpr std::size_t mac_bytes = 32;
using mac = std::array<unsigned char, mac_bytes>;

// The authentication code of a token's content. Nothing else is signed with
// these secrets, so the content needs no label of its purpose.
std::optional<mac> sign(const std::string& secret, std::string_view content)
{
    mac code{};
    unsigned int length = 0;
    if (secret.size() > INT_MAX)
        return std::nullopt;
    const auto* done =
        HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
             reinterpret_cast<const unsigned char*>(content.data()),
             content.size(), code.data(), &length);
    if (done == nullptr || length != mac_bytes)
        return std::nullopt;
    return code;
}

} // namespace

token_codec::token_codec(std::vector<std::string> secrets)
    : m_secrets(std::move(secrets))
{
    // With an empty secret anyone could sign a token.
    std::erase_if(m_secrets,
                  [](const std::string& secret)
                  {
                      return secret.empty();
                  });
}

base::result<std::string> token_codec::encode(const session_state& state) const
{
    if (m_secrets.empty())
        return base::fail(base::error_code::unavailable,
                          "no token secret is configured");
    if (state.m_positions.size() > max_groups)
        return base::fail(base::error_code::unsupported,
                          absl::StrCat("session has used ",
                                       state.m_positions.size(),
                                       " groups, at most ", max_groups));
    SessionToken message;
    message.set_organisation(state.m_organisation.str());
    for (const auto& [group, point] : state.m_positions)
    {
        GroupPosition* position = message.add_positions();
        position->set_group(group.str());
        position->set_term(point.m_term.value());
        position->set_position(point.m_position.value());
    }
    std::string token = message.SerializeAsString();
    const auto code = sign(m_secrets.front(), token);
    if (!code)
        return base::fail(base::error_code::internal,
                          "session token could not be signed");
    token.append(code->begin(), code->end());
    if (token.size() > max_token_bytes)
        return base::fail(base::error_code::unsupported,
                          absl::StrCat("session token has ", token.size(),
                                       " bytes, at most ", max_token_bytes));
    return token;
}

base::result<session_state>
token_codec::decode(std::string_view token,
                    const base::organisation_id& organisation) const
{
    session_state state;
    state.m_organisation = organisation;
    if (token.empty())
        return state;
    if (token.size() > max_token_bytes)
        return base::fail(base::error_code::corrupt,
                          absl::StrCat("session token has ", token.size(),
                                       " bytes, at most ", max_token_bytes));
    if (token.size() < mac_bytes)
        return base::fail(base::error_code::corrupt,
                          absl::StrCat("session token has ", token.size(),
                                       " bytes, at least ", mac_bytes));
    const std::string_view content = token.substr(0, token.size() - mac_bytes);
    const std::string_view code = token.substr(content.size());
    bool verified = false;
    for (const std::string& secret : m_secrets)
    {
        const auto expected = sign(secret, content);
        // All secrets are tried, so that the time taken tells nothing.
        if (expected &&
            CRYPTO_memcmp(expected->data(), code.data(), mac_bytes) == 0)
            verified = true;
    }
    if (!verified)
        return base::fail(base::error_code::unauthenticated,
                          "session token has a wrong authentication code");
    SessionToken message;
    if (!message.ParseFromArray(content.data(),
                                static_cast<int>(content.size())))
        return base::fail(base::error_code::corrupt,
                          "session token cannot be parsed");
    if (message.organisation() != organisation.str())
        return base::fail(base::error_code::unauthenticated,
                          "session token belongs to another organisation");
    for (const GroupPosition& position : message.positions())
        state.advance(base::group_id(position.group()),
                      {base::term(position.term()),
                       base::log_position(position.position())});
    if (state.m_positions.size() > max_groups)
        return base::fail(base::error_code::corrupt,
                          absl::StrCat("session token names ",
                                       state.m_positions.size(),
                                       " groups, at most ", max_groups));
    return state;
}

} // namespace magnoliastack::session
