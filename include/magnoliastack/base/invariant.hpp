// Checks of invariants that stop the process when broken, in every build.
#ifndef MAGNOLIASTACK_BASE_INVARIANT_HPP
#define MAGNOLIASTACK_BASE_INVARIANT_HPP

namespace magnoliastack::base
{

// Prints the broken invariant to standard error and aborts.
[[noreturn]] void invariant_broken(const char* condition, const char* message,
                                   const char* file, int line);

} // namespace magnoliastack::base

// States an invariant of the program, never a check of input. A broken one
// means that further answers could be wrong, so the process stops.
#define MAGNOLIASTACK_INVARIANT(condition, message)                            \
    ((condition) ? static_cast<void>(0)                                        \
                 : ::magnoliastack::base::invariant_broken(                    \
                       #condition, (message), __FILE__, __LINE__))

#endif
