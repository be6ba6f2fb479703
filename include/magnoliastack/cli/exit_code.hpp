// Exit codes of the command line tools.
#ifndef MAGNOLIASTACK_CLI_EXIT_CODE_HPP
#define MAGNOLIASTACK_CLI_EXIT_CODE_HPP

namespace magnoliastack::cli
{

// What a command came to. The numbers are part of the interface and documented
// in docs/OPERATIONS.md.
enum class exit_code
{
    success = 0,
    // `diff` found differences.
    different = 1,
    // Wrong arguments, files or inventory; nothing was sent or changed.
    invalid = 2,
    // The host could not be reached; nothing was changed.
    unreachable = 3,
    // Refused; it did not run.
    refused = 4,
    // It may have run or not; repeat it with the same id.
    unknown = 5,
    // Another operator's change won.
    conflict = 6,
    // Stored, and not yet in force on every host.
    pending = 7,
};

} // namespace magnoliastack::cli

#endif
