#include "magnoliastack/standin_server/arguments.hpp"
#include "magnoliastack/standin_server/control.hpp"
#include "magnoliastack/standin_server/platform_server.hpp"

#include <iostream>
#include <string_view>
#include <utility>

namespace server = magnoliastack::standin_server;

int main(int argc, char** argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "control")
        return server::run_platform_control(argc - 1, argv + 1);
    const server::parsed_arguments arguments = server::parse_arguments(
        server::describe_platform(MAGNOLIASTACK_VERSION), argc, argv);
    if (arguments.m_exit)
        return *arguments.m_exit;
    if (arguments.m_check_only)
        return 0;
    server::block_stop_signals();
    const magnoliastack::logging::log_system log(
        server::log_options_of(arguments.values(), "platform"));
    const auto running = server::platform_server::start(
        server::platform_options_of(arguments.values()));
    if (!running)
    {
        std::cerr << "standin-platform: " << running.error().m_message << '\n';
        return 1;
    }
    std::cout << "listening on " << (*running)->address() << std::endl;
    server::wait_for_stop_signal();
    return 0;
}
