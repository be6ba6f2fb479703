// Child processes of the process-level tests.
#ifndef MAGNOLIASTACK_TEST_SUPPORT_PROCESS_HPP
#define MAGNOLIASTACK_TEST_SUPPORT_PROCESS_HPP

#include <chrono>
#include <csignal>
#include <string>
#include <sys/types.h>
#include <vector>

namespace magnoliastack::test
{

// One child process; killed at the end of its life.
class process
{
public:
    // Starts build/bin/`binary`; its output goes to `log`.
    process(const std::string& binary,
            const std::vector<std::string>& arguments, const std::string& log);
    ~process();

    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void signal(int number) const;

    // The process has been waited for elsewhere.
    void forget()
    {
        m_pid = -1;
    }

    // Waits up to `seconds` for the exit; the exit code, or -1 when a signal
    // ended it or it still runs.
    int wait_for_exit(int seconds);

    // False when the process has ended, waited for or not.
    [[nodiscard]] bool runs() const;

    // How long its main thread was ready and had no processor, in all.
    [[nodiscard]] std::chrono::nanoseconds time_without_processor() const;

    [[nodiscard]] pid_t pid() const
    {
        return m_pid;
    }

private:
    pid_t m_pid = -1;
};

// A TCP port of the loopback interface that no other test takes. At most 20 in
// one process.
int free_port();

} // namespace magnoliastack::test

#endif
