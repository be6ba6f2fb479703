#include "certificates.hpp"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <memory>
#include <string>

namespace magnoliastack::peer::test
{

namespace
{

using key_pointer = std::unique_ptr<EVP_PKEY, void (*)(EVP_PKEY*)>;
using certificate_pointer = std::unique_ptr<X509, void (*)(X509*)>;

void add_extension(X509* certificate, int kind, const char* value)
{
    X509_EXTENSION* extension =
        X509V3_EXT_conf_nid(nullptr, nullptr, kind, value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

certificate_pointer make(EVP_PKEY* key, const char* name, bool authority,
                         X509* issuer, EVP_PKEY* issuer_key)
{
    certificate_pointer made(X509_new(), X509_free);
    X509_set_version(made.get(), X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(made.get()), authority ? 1 : 2);
    X509_gmtime_adj(X509_getm_notBefore(made.get()), -60);
    X509_gmtime_adj(X509_getm_notAfter(made.get()), 3'600);
    X509_set_pubkey(made.get(), key);
    X509_NAME_add_entry_by_txt(
        X509_get_subject_name(made.get()), "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char*>(name), -1, -1, 0);
    X509* signer = issuer != nullptr ? issuer : made.get();
    X509_set_issuer_name(made.get(), X509_get_subject_name(signer));
    if (authority)
        add_extension(made.get(), NID_basic_constraints, "critical,CA:TRUE");
    else
        add_extension(made.get(), NID_subject_alt_name, "DNS:magnolia-peer");
    X509_sign(made.get(), issuer_key, EVP_sha256());
    return made;
}

std::string to_text(BIO* memory)
{
    char* data = nullptr;
    const long size = BIO_get_mem_data(memory, &data);
    std::string text(data, static_cast<std::size_t>(size));
    BIO_free(memory);
    return text;
}

std::string pem(X509* certificate)
{
    BIO* memory = BIO_new(BIO_s_mem());
    PEM_write_bio_X509(memory, certificate);
    return to_text(memory);
}

std::string pem(EVP_PKEY* key)
{
    BIO* memory = BIO_new(BIO_s_mem());
    PEM_write_bio_PrivateKey(memory, key, nullptr, nullptr, 0, nullptr,
                             nullptr);
    return to_text(memory);
}

} // namespace

tls_options make_certificates()
{
    const key_pointer authority_key(EVP_EC_gen("P-256"), EVP_PKEY_free);
    const key_pointer key(EVP_EC_gen("P-256"), EVP_PKEY_free);
    const auto authority = make(authority_key.get(), "test authority", true,
                                nullptr, authority_key.get());
    const auto certificate = make(key.get(), "magnolia-peer", false,
                                  authority.get(), authority_key.get());
    tls_options options;
    options.m_authority = pem(authority.get());
    options.m_certificate = pem(certificate.get());
    options.m_private_key = pem(key.get());
    return options;
}

} // namespace magnoliastack::peer::test
