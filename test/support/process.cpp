#include "process.hpp"

#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace magnoliastack::test
{

process::process(const std::string& binary,
                 const std::vector<std::string>& arguments,
                 const std::string& log)
{
    const std::string path = std::string(MAGNOLIASTACK_BIN) + "/" + binary;
    std::vector<char*> argv{const_cast<char*>(path.c_str())};
    for (const std::string& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    const int output =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid == 0)
    {
        // A failed assertion ends the test without destructors; the child
        // must not outlive it.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent || dup2(output, 1) < 0 || dup2(output, 2) < 0)
            _exit(127);
        // Sockets of the test are not the child's: a listener that it held
        // would keep its port in use.
        close_range(3, ~0U, 0);
        execv(path.c_str(), argv.data());
        _exit(127);
    }
    close(output);
    if (m_pid < 0)
        throw std::runtime_error("cannot start " + path);
}

process::~process()
{
    if (m_pid < 0)
        return;
    signal(SIGCONT);
    signal(SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void process::signal(int number) const
{
    if (m_pid > 0)
        kill(m_pid, number);
}

std::chrono::nanoseconds process::time_without_processor() const
{
    // Time on a processor, time in its queue, number of turns.
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/schedstat");
    std::uint64_t ran = 0;
    std::uint64_t waited = 0;
    file >> ran >> waited;
    return std::chrono::nanoseconds(waited);
}

bool process::runs() const
{
    siginfo_t ended{};
    return m_pid > 0 &&
           waitid(P_PID, static_cast<id_t>(m_pid), &ended,
                  WEXITED | WNOHANG | WNOWAIT) == 0 &&
           ended.si_pid == 0;
}

int process::wait_for_exit(int seconds)
{
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (std::chrono::steady_clock::now() < end)
    {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid)
        {
            m_pid = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return -1;
}

namespace
{

bool can_bind(int port)
{
    const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
    // A listener may take a port with ended connections in TIME-WAIT; after a
    // soak thousands of ports are in that state.
    const int reuse = 1;
    setsockopt(socket_fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound = bind(socket_fd, reinterpret_cast<sockaddr*>(&address),
                            sizeof(address)) == 0;
    close(socket_fd);
    return bound;
}

} // namespace

int free_port()
{
    // Below the range that outgoing connections take their ports from, and a
    // range of its own for each test's process, because tests run in parallel
    // and the port is only bound later by the child.
    constexpr int first_port = 10'000;
    constexpr int ranges = 1'000;
    constexpr int range_size = 20;
    static int next = 0;
    while (next < range_size)
    {
        const int port = first_port +
                         static_cast<int>(getpid()) % ranges * range_size +
                         next++;
        if (can_bind(port))
            return port;
    }
    throw std::runtime_error("no free port on loopback");
}

} // namespace magnoliastack::test
