#include "magnoliastack/standin_server/arguments.hpp"
#include "magnoliastack/standin_server/control.hpp"
#include "magnoliastack/standin_server/endpoint_server.hpp"

#include <iostream>
#include <string_view>
#include <utility>

namespace server = magnoliastack::standin_server;

int main(int argc, char** argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "control")
        return server::run_endpoint_control(argc - 1, argv + 1);
    const server::parsed_arguments arguments = server::parse_arguments(
        server::describe_endpoint(MAGNOLIASTACK_VERSION), argc, argv);
    if (arguments.m_exit)
        return *arguments.m_exit;
    auto options = server::endpoint_options_of(arguments.values());
    if (!options)
    {
        std::cerr << "standin-endpoint: " << options.error().m_message << '\n';
        return 2;
    }
    if (arguments.m_check_only)
        return 0;
    server::block_stop_signals();
    const magnoliastack::logging::log_system log(server::log_options_of(
        arguments.values(), arguments.values().text("endpoint")));
    const auto running = server::endpoint_server::start(*std::move(options));
    if (!running)
    {
        std::cerr << "standin-endpoint: " << running.error().m_message << '\n';
        return 1;
    }
    std::cout << "listening on " << (*running)->address() << std::endl;
    server::wait_for_stop_signal();
    return 0;
}
