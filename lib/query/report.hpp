// Prints the outcome of a query.
#ifndef MAGNOLIASTACK_LIB_QUERY_REPORT_HPP
#define MAGNOLIASTACK_LIB_QUERY_REPORT_HPP

#include "caller.hpp"

#include <ostream>
#include <string>

namespace magnoliastack::query
{

// The stable name of a reason, as in counters: `queue_full`.
std::string name_of(v1::RefusalReason reason);

// Rows as `KEY<tab>VALUE`, then one line with the outcome class, the endpoint
// or the refusal, and the request id.
void print_text(const outcome& result, const std::string& request_id,
                std::ostream& out);

// The same as one JSON object.
void print_json(const outcome& result, const std::string& request_id,
                std::ostream& out);

} // namespace magnoliastack::query

#endif
