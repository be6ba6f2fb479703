// Stand-in for the platform: table, object store and host list.
#include "magnoliastack/standin_server/arguments.hpp"
#include "magnoliastack/standin_server/platform_server.hpp"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <string>
#include <utility>

namespace server = magnoliastack::standin_server;

int main(int argc, char** argv)
{
    CLI::App app("Stand-in for the platform.", "standin-platform");
    app.set_version_flag("--version", MAGNOLIASTACK_VERSION);
    server::platform_server_options options;
    app.add_option("--address", options.m_address, "IP address and port")
        ->required();
    CLI11_PARSE(app, argc, argv);
    server::block_stop_signals();
    const std::string address =
        options.m_address.substr(0, options.m_address.rfind(':'));
    auto running = server::platform_server::start(std::move(options));
    if (!running)
    {
        std::fprintf(stderr, "standin-platform: %s\n",
                     running.error().m_message.c_str());
        return 1;
    }
    std::printf("platform listening on %s:%d\n", address.c_str(),
                (*running)->port());
    std::fflush(stdout);
    server::wait_for_stop_signal();
    return 0;
}
