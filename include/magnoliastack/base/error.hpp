// Errors as values.
#ifndef MAGNOLIASTACK_BASE_ERROR_HPP
#define MAGNOLIASTACK_BASE_ERROR_HPP

#include "tl/expected.hpp"

#include <string>
#include <utility>

namespace magnoliastack::base
{

// What kind of failure an error reports; callers branch on it.
enum class error_code
{
    invalid_argument,
    not_found,
    conflict,
    unavailable,
    deadline_exceeded,
    unauthenticated,
    corrupt,
    unsupported,
    internal,
};

// A failure that the caller can handle. The message says what was wrong, where
// and what to do; it starts in lower case and has no full stop.
struct error
{
    error_code m_code = error_code::internal;
    std::string m_message;
};

// A value or an error.
template <typename Value>
using result = tl::expected<Value, error>;

// Shorthand for the error case of a result.
inline tl::unexpected<error> fail(error_code code, std::string message)
{
    return tl::make_unexpected(error{code, std::move(message)});
}

} // namespace magnoliastack::base

#endif
