// The operators' command line.
#ifndef MAGNOLIASTACK_CTL_CTL_HPP
#define MAGNOLIASTACK_CTL_CTL_HPP

#include <ostream>

namespace magnoliastack::ctl
{

// Runs one command of magnolia-ctl and returns its exit code. Results go to
// `out`, errors and hints to `err`.
int run(int argc, const char* const* argv, const char* version,
        std::ostream& out, std::ostream& err);

} // namespace magnoliastack::ctl

#endif
