#include "magnoliastack/configuration/content.hpp"

#include "stored_configuration.pb.h"

#include "magnoliastack/base/invariant.hpp"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <openssl/evp.h>

#include <algorithm>

namespace magnoliastack::configuration
{

namespace
{

std::string to_bytes(const google::protobuf::MessageLite& message)
{
    std::string bytes;
    {
        google::protobuf::io::StringOutputStream stream(&bytes);
        google::protobuf::io::CodedOutputStream coded(&stream);
        coded.SetSerializationDeterministic(true);
        message.SerializeToCodedStream(&coded);
    }
    return bytes;
}

void write(const change_record& change, stored::Change& message)
{
    message.set_version(change.m_version.value());
    message.set_hash(change.m_hash);
    message.set_change_id(change.m_change_id);
    message.set_author(change.m_author);
    message.set_subject_hash(change.m_subject_hash);
}

change_record read(const stored::Change& message)
{
    return {base::configuration_version(message.version()), message.hash(),
            message.change_id(), message.author(), message.subject_hash()};
}

} // namespace

std::string serialize(const content& value)
{
    stored::Content message;
    message.set_inventory_text(value.m_inventory_text);
    for (const credentials::key_record& key : value.m_keys)
    {
        stored::KeyRecord& record = *message.add_keys();
        record.set_id(key.m_id.str());
        record.set_organisation(key.m_organisation.str());
        record.set_salt(key.m_salt);
        record.set_digest(key.m_digest);
    }
    for (const std::string& secret : value.m_token_secrets)
        message.add_token_secrets(secret);
    for (const roster_host& host : value.m_roster)
    {
        stored::RosterHost& entry = *message.add_roster();
        entry.set_id(host.m_host.str());
        entry.set_unlisted_seconds(static_cast<std::uint64_t>(
            absl::ToInt64Seconds(host.m_unlisted_for)));
    }
    return to_bytes(message);
}

base::result<content> parse(const std::string& bytes)
{
    stored::Content message;
    if (bytes.size() > max_object_size || !message.ParseFromString(bytes))
        return base::fail(
            base::error_code::corrupt,
            absl::StrCat("configuration object of ", bytes.size(),
                         " bytes cannot be read, expected a stored "
                         "configuration of at most ",
                         max_object_size, " bytes"));
    content value;
    value.m_inventory_text = message.inventory_text();
    for (const stored::KeyRecord& record : message.keys())
        value.m_keys.push_back({base::key_id(record.id()),
                                base::organisation_id(record.organisation()),
                                record.salt(), record.digest()});
    value.m_token_secrets.assign(message.token_secrets().begin(),
                                 message.token_secrets().end());
    for (const stored::RosterHost& entry : message.roster())
        value.m_roster.push_back({base::host_id(entry.id()),
                                  absl::Seconds(entry.unlisted_seconds())});
    return value;
}

std::string hash(const std::string& bytes)
{
    std::string digest(EVP_MAX_MD_SIZE, '\0');
    unsigned int size = 0;
    const int done = EVP_Digest(bytes.data(), bytes.size(),
                                reinterpret_cast<unsigned char*>(digest.data()),
                                &size, EVP_sha256(), nullptr);
    MAGNOLIASTACK_INVARIANT(done == 1, "SHA-256 is available");
    digest.resize(size);
    return absl::BytesToHexString(digest);
}

std::string serialize(const row_value& value)
{
    stored::Row message;
    write(value.m_current, *message.mutable_current());
    const std::size_t count =
        std::min(value.m_recent.size(), max_recent_changes);
    for (std::size_t index = 0; index < count; ++index)
        write(value.m_recent[index], *message.add_recent());
    return to_bytes(message);
}

base::result<row_value> parse_row(const std::string& bytes)
{
    stored::Row message;
    if (!message.ParseFromString(bytes))
        return base::fail(base::error_code::corrupt,
                          absl::StrCat("row \"", row_key, "\" of ",
                                       bytes.size(),
                                       " bytes cannot be read, restore it from "
                                       "a backup of the table"));
    row_value value;
    value.m_current = read(message.current());
    for (const stored::Change& change : message.recent())
        value.m_recent.push_back(read(change));
    return value;
}

} // namespace magnoliastack::configuration
