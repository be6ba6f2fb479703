#include "magnoliastack/rpc/opaque_statement.hpp"

namespace magnoliastack::rpc
{

const char* to_string(statement_error error)
{
    switch (error)
    {
    case statement_error::busy:
        return "busy";
    case statement_error::aborted:
        return "aborted";
    case statement_error::lagging:
        return "lagging";
    case statement_error::read_only:
        return "read_only";
    case statement_error::moved:
        return "moved";
    case statement_error::too_many_connections:
        return "too_many_connections";
    case statement_error::unknown_outcome:
        return "unknown_outcome";
    case statement_error::timeout:
        return "timeout";
    case statement_error::failed:
        return "failed";
    case statement_error::unknown_prepared:
        return "unknown_prepared";
    case statement_error::unauthenticated:
        return "unauthenticated";
    case statement_error::unknown_database:
        return "unknown_database";
    case statement_error::too_large:
        return "too_large";
    case statement_error::malformed:
        return "malformed";
    }
    return "unspecified";
}

bool is_not_run(statement_error error)
{
    switch (error)
    {
    case statement_error::busy:
    case statement_error::lagging:
    case statement_error::read_only:
    case statement_error::moved:
    case statement_error::too_many_connections:
    case statement_error::unknown_prepared:
        return true;
    default:
        return false;
    }
}

} // namespace magnoliastack::rpc
