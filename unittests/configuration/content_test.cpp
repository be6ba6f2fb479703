#include "magnoliastack/configuration/content.hpp"

#include <string>

#include <criterion/criterion.h>

namespace base = magnoliastack::base;
namespace configuration = magnoliastack::configuration;

// Guards against a part of the content that is stored but not read back, which
// would withdraw keys or secrets at the next start of a host.
Test(content, survives_storage_in_full)
{
    configuration::content value;
    value.m_inventory_text = "[organisation workshop]\nrate = 200/s\n";
    value.m_keys.push_back({base::key_id("k1"),
                            base::organisation_id("workshop"),
                            std::string("\0salt", 5), "digest"});
    value.m_token_secrets = {"first", "second"};
    value.m_roster.push_back({base::host_id("h1"), absl::Seconds(30)});
    const std::string bytes = configuration::serialize(value);
    const auto read = configuration::parse(bytes);
    cr_assert(read.has_value());
    cr_assert(*read == value);
    cr_assert_eq(configuration::hash(bytes).size(), 64U);
}

// Guards against a name of objects that differs from SHA-256 in hex, by which
// other versions and tools find them.
Test(content, hash_is_the_published_sha256)
{
    const std::string name = configuration::hash("abc");
    cr_assert(name == "ba7816bf8f01cfea414140de5dae2223"
                      "b00361a396177a9cb410ff61f20015ad");
}

// Guards against secrets in the error text of an unreadable object.
Test(content, an_unreadable_object_is_an_error_that_quotes_nothing)
{
    const auto read = configuration::parse("secret-text");
    cr_assert(!read.has_value());
    cr_assert(read.error().m_message.find("secret-text") == std::string::npos);
}
