// The fleet's configuration as an immutable object, and the row that names it.
#ifndef MAGNOLIASTACK_CONFIGURATION_CONTENT_HPP
#define MAGNOLIASTACK_CONFIGURATION_CONTENT_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/credentials/key_record.hpp"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace magnoliastack::configuration
{

// Key of the table row that names the configuration in force.
inline constexpr const char* row_key = "configuration";

// Largest object that is accepted, in bytes; the inventory of 1,300 databases
// needs less than 1 MB.
inline constexpr std::size_t max_object_size = 16U << 20U;

// A host that may serve, and how long it had not been in the platform's list
// when the change was made.
struct roster_host
{
    base::host_id m_host;
    absl::Duration m_unlisted_for;

    bool operator==(const roster_host&) const = default;
};

// All that operators configure. Contains token secrets: it goes to the store
// and to peers and is never logged.
struct content
{
    std::string m_inventory_text;
    std::vector<credentials::key_record> m_keys;
    // The first one signs session tokens; the others are still accepted.
    std::vector<std::string> m_token_secrets;
    // From acceptance_judge::roster at the host that makes the change. A host
    // that has just started learns from it of hosts that the platform cannot
    // reach and has dropped from the list.
    std::vector<roster_host> m_roster;

    bool operator==(const content&) const = default;
};

// The bytes that are stored.
std::string serialize(const content& value);

// Reads stored bytes; fails with corrupt and never quotes them.
base::result<content> parse(const std::string& bytes);

// SHA-256 of stored bytes in lower-case hex; the name of their object.
std::string hash(const std::string& bytes);

// One change of the configuration. Version 0 means that there is none.
struct change_record
{
    base::configuration_version m_version;
    std::string m_hash;
    std::string m_change_id;
    std::string m_author;
    // Hash of the content without the roster, which differs between repeats of
    // the same change. Empty when the record came from a peer.
    std::string m_subject_hash = {};

    bool operator==(const change_record&) const = default;
};

// The value of the row: the change in force and, newest first, up to
// max_recent_changes earlier ones.
struct row_value
{
    change_record m_current;
    std::vector<change_record> m_recent;
};

inline constexpr std::size_t max_recent_changes = 16;

// The bytes of a row value.
std::string serialize(const row_value& value);

// Reads a row value; empty bytes are the row that does not exist yet.
base::result<row_value> parse_row(const std::string& bytes);

} // namespace magnoliastack::configuration

#endif
