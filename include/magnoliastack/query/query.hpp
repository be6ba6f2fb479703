// The callers' command line.
#ifndef MAGNOLIASTACK_QUERY_QUERY_HPP
#define MAGNOLIASTACK_QUERY_QUERY_HPP

#include <ostream>

namespace magnoliastack::query
{

// Runs one command of magnolia-query and returns its exit code. Rows and the
// outcome go to `out`, errors to `err`.
int run(int argc, const char* const* argv, const char* version,
        std::ostream& out, std::ostream& err);

} // namespace magnoliastack::query

#endif
