#include "digest.hpp"

#include "magnoliastack/base/invariant.hpp"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <memory>

namespace magnoliastack::credentials
{

std::string salted_digest(std::string_view salt, std::string_view secret)
{
    const std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX*)> context(
        EVP_MD_CTX_new(), EVP_MD_CTX_free);
    std::string digest(digest_size, '\0');
    unsigned int size = 0;
    const bool done =
        context != nullptr &&
        EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1 &&
        EVP_DigestUpdate(context.get(), salt.data(), salt.size()) == 1 &&
        EVP_DigestUpdate(context.get(), secret.data(), secret.size()) == 1 &&
        EVP_DigestFinal_ex(context.get(),
                           reinterpret_cast<unsigned char*>(digest.data()),
                           &size) == 1;
    MAGNOLIASTACK_INVARIANT(done && size == digest_size,
                            "SHA-256 is available and gives 32 bytes");
    return digest;
}

std::string random_bytes(std::size_t count)
{
    std::string bytes(count, '\0');
    const int done = RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                                static_cast<int>(bytes.size()));
    // A key from a generator that is not seeded could be guessed.
    MAGNOLIASTACK_INVARIANT(done == 1, "the random generator is seeded");
    return bytes;
}

} // namespace magnoliastack::credentials
