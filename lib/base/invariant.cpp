#include "magnoliastack/base/invariant.hpp"

#include <cstdio>
#include <cstdlib>

namespace magnoliastack::base
{

void invariant_broken(const char* condition, const char* message,
                      const char* file, int line)
{
    std::fprintf(stderr, "%s:%d: broken invariant: %s (%s)\n", file, line,
                 message, condition);
    std::abort();
}

} // namespace magnoliastack::base
