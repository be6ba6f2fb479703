// Command line that sends fault controls to a running stand-in.
#ifndef MAGNOLIASTACK_STANDIN_SERVER_CONTROL_HPP
#define MAGNOLIASTACK_STANDIN_SERVER_CONTROL_HPP

namespace magnoliastack::standin_server
{

// Runs `standin-endpoint control ...`; `argv` begins with the word control.
// Returns the exit code: 0 done, 2 wrong arguments, 3 not reached.
int run_endpoint_control(int argc, const char* const* argv);

// The same for `standin-platform control ...`.
int run_platform_control(int argc, const char* const* argv);

} // namespace magnoliastack::standin_server

#endif
