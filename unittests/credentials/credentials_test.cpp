#include "magnoliastack/credentials/issue.hpp"
#include "magnoliastack/credentials/key_ring.hpp"

#include <set>
#include <string>

#include <criterion/criterion.h>

namespace base = magnoliastack::base;
namespace credentials = magnoliastack::credentials;

namespace
{

const base::organisation_id workshop("workshop");

// Replaces the last character by another hexadecimal digit.
std::string with_other_end(std::string text)
{
    text.back() = text.back() == '0' ? '1' : '0';
    return text;
}

} // namespace

// Guards against a key that does not lead to the organisation it was issued to.
Test(credentials, an_issued_key_is_verified_for_its_organisation)
{
    const auto key = credentials::issue(workshop);
    const credentials::key_ring ring({key.m_record});
    const auto verified = ring.verify(key.m_text);
    cr_assert(verified.has_value());
    cr_assert(verified->m_organisation == workshop);
    cr_assert(verified->m_id == key.m_record.m_id);
}

// Guards against a comparison that ignores a part of the secret, and against a
// withdrawn key that still works.
Test(credentials, a_wrong_secret_or_withdrawn_key_is_refused)
{
    const auto key = credentials::issue(workshop);
    const credentials::key_ring ring({key.m_record});
    cr_assert(!ring.verify(with_other_end(key.m_text)).has_value());
    const credentials::key_ring without({});
    cr_assert(!without.verify(key.m_text).has_value());
}

// Guards against an error text that tells which key ids exist or repeats a
// part of the key, which would end up in logs.
Test(credentials, errors_are_equal_and_contain_no_part_of_the_key)
{
    const auto key = credentials::issue(workshop);
    const auto other = credentials::issue(workshop);
    const credentials::key_ring ring({key.m_record});
    const auto wrong = ring.verify(with_other_end(key.m_text));
    const auto unknown = ring.verify(other.m_text);
    cr_assert(wrong.error().m_message == unknown.error().m_message);
    for (const std::string& text : {key.m_text, key.m_text + "0"})
    {
        const auto refused =
            ring.verify(text == key.m_text ? with_other_end(text) : text);
        cr_assert(!refused.has_value());
        const std::string& message = refused.error().m_message;
        cr_assert(message.find(key.m_record.m_id.str()) == std::string::npos);
        cr_assert(message.find(text.substr(20, 8)) == std::string::npos);
    }
}

// Guards against input that is read beyond its end or accepted half checked.
Test(credentials, malformed_keys_are_refused)
{
    const auto key = credentials::issue(workshop);
    const credentials::key_ring ring({key.m_record});
    std::string upper = key.m_text;
    upper[3] = 'G';
    const std::string texts[] = {"",
                                 "mk_",
                                 "mk__",
                                 upper,
                                 key.m_text.substr(1),
                                 key.m_text + " ",
                                 std::string(100'000, 'a')};
    for (const std::string& text : texts)
        cr_assert(!ring.verify(text).has_value());
}

// Guards against a generator that repeats, and against a stored record that
// contains the secret or shares a salt.
Test(credentials, keys_salts_and_token_secrets_do_not_repeat)
{
    std::set<std::string> texts;
    std::set<std::string> salts;
    std::set<std::string> secrets;
    for (int count = 0; count < 200; ++count)
    {
        const auto key = credentials::issue(workshop);
        texts.insert(key.m_text);
        salts.insert(key.m_record.m_salt);
        secrets.insert(credentials::new_token_secret());
    }
    cr_assert_eq(texts.size(), 200U);
    cr_assert_eq(salts.size(), 200U);
    cr_assert_eq(secrets.size(), 200U);
}
