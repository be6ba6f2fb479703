// Entries of an endpoint's log and the messages of replication.
#ifndef MAGNOLIASTACK_STANDIN_LOG_ENTRY_HPP
#define MAGNOLIASTACK_STANDIN_LOG_ENTRY_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/rpc/endpoint_link.hpp"

#include <optional>
#include <string>
#include <vector>

namespace magnoliastack::standin
{

// A changed row.
struct row_change
{
    std::string m_key;
    std::string m_value;
    bool m_deleted = false;

    bool operator==(const row_change&) const = default;
};

// The outcome recorded for a request id, or the fence that refuses its
// attempts up to m_attempt.
struct request_record
{
    base::request_id m_id;
    base::attempt_number m_attempt;
    bool m_fence = false;
    std::vector<rpc::row> m_rows;

    bool operator==(const request_record&) const = default;
};

// One entry of the log. A term-start entry has no record.
struct log_entry
{
    base::log_point m_point;
    std::optional<request_record> m_record;
    std::vector<row_change> m_changes;

    bool operator==(const log_entry&) const = default;
};

// A replica's request for the entries after m_after. m_term is the lowest term
// that the replica may follow.
struct pull_request
{
    base::endpoint_id m_endpoint;
    base::term m_term;
    base::log_point m_after;
    base::log_position m_held;
};

// Answer to a pull. Entries, divergence and term start are only meaningful
// when the answering endpoint is primary of m_term.
struct pull_answer
{
    bool m_primary = false;
    base::term m_term;
    bool m_diverged = false;
    base::log_position m_resume_after;
    std::vector<log_entry> m_entries;
    base::log_position m_term_start;
};

} // namespace magnoliastack::standin

#endif
