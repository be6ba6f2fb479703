#include "magnoliastack/cli/connection.hpp"

#include "magnoliastack/settings/file.hpp"
#include "magnoliastack/settings/schema.hpp"

#include "absl/random/random.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_format.h"
#include "grpcpp/create_channel.h"
#include "grpcpp/security/credentials.h"

#include <chrono>
#include <utility>

namespace magnoliastack::cli
{
namespace
{

base::result<std::shared_ptr<grpc::ChannelCredentials>>
credentials(const connection_options& options)
{
    if (options.m_ca_file.empty())
        return grpc::InsecureChannelCredentials();
    grpc::SslCredentialsOptions tls;
    for (const auto& [path, target] :
         {std::pair(&options.m_ca_file, &tls.pem_root_certs),
          std::pair(&options.m_certificate_file, &tls.pem_cert_chain),
          std::pair(&options.m_private_key_file, &tls.pem_private_key)})
    {
        if (path->empty())
            continue;
        auto content = settings::read_file(*path);
        if (!content)
            return base::fail(
                base::error_code::invalid_argument,
                *path + " cannot be read: " + content.error().m_message);
        *target = *std::move(content);
    }
    return grpc::SslCredentials(tls);
}

} // namespace

void add_connection_options(CLI::App& app, connection_options& options)
{
    app.add_option("--address", options.m_address,
                   "ip:port of the proxy's callers' address")
        ->envname("MAGNOLIA_ADDRESS")
        ->capture_default_str();
    app.add_option("--ca-file", options.m_ca_file,
                   "PEM file of the CA; switches TLS on");
    auto* certificate =
        app.add_option("--certificate", options.m_certificate_file,
                       "PEM file of the client's certificate");
    auto* key = app.add_option("--private-key", options.m_private_key_file,
                               "PEM file of the client's private key");
    certificate->needs(key);
    key->needs(certificate);
    app.add_flag("--allow-plaintext", options.m_allow_plaintext,
                 "allow an address off loopback without TLS");
}

void add_duration_option(CLI::App& app, const std::string& name,
                         absl::Duration& value, const std::string& description)
{
    app.add_option_function<std::string>(
           name,
           [&value, name](const std::string& text)
           {
               if (text == "0" || !absl::ParseDuration(text, &value) ||
                   value < absl::ZeroDuration() || value > absl::Hours(24))
                   throw CLI::ValidationError(
                       name, "is " + text +
                                 ", expected a duration with its unit from 0s "
                                 "to 24h, such as 10s");
           },
           description)
        ->type_name("DURATION")
        ->default_str(absl::FormatDuration(value));
}

base::result<std::shared_ptr<grpc::Channel>>
connect(const connection_options& options, absl::Duration timeout)
{
    if (settings::check_value(options.m_address, settings::address_key("")))
        return base::fail(base::error_code::invalid_argument,
                          "address is " + options.m_address +
                              ", expected an IP address and a port, such as "
                              "127.0.0.1:7400");
    if (options.m_ca_file.empty() && !options.m_allow_plaintext &&
        !settings::is_loopback(options.m_address))
        return base::fail(base::error_code::invalid_argument,
                          "address " + options.m_address +
                              " is not a loopback address, expected --ca-file "
                              "or --allow-plaintext");
    auto chosen = credentials(options);
    if (!chosen)
        return tl::make_unexpected(std::move(chosen).error());
    auto channel = grpc::CreateChannel(options.m_address, *chosen);
    if (!channel->WaitForConnected(std::chrono::system_clock::now() +
                                   absl::ToChronoMicroseconds(timeout)))
        return base::fail(base::error_code::unavailable,
                          "no connection to " + options.m_address + " within " +
                              absl::FormatDuration(timeout) +
                              ", try another host of the fleet");
    return channel;
}

exit_code exit_code_of(const base::error& fault)
{
    return fault.m_code == base::error_code::unavailable
               ? exit_code::unreachable
               : exit_code::invalid;
}

base::result<std::string> read_secret(const std::string& path)
{
    const auto content = settings::read_file(path);
    if (!content)
        return base::fail(base::error_code::invalid_argument,
                          path +
                              " cannot be read: " + content.error().m_message);
    std::string secret(absl::StripAsciiWhitespace(*content));
    if (secret.empty() || secret.find('\n') != std::string::npos)
        return base::fail(
            base::error_code::invalid_argument,
            path + (secret.empty() ? " is empty" : " has several lines") +
                ", expected one line with the secret");
    return secret;
}

bool parse_arguments(CLI::App& app, int argc, const char* const* argv,
                     std::ostream& out, std::ostream& err, exit_code& code)
{
    try
    {
        app.parse(argc, argv);
        return true;
    }
    catch (const CLI::ParseError& fault)
    {
        // Help and version are exceptions of this library too.
        code = app.exit(fault, out, err) == 0 ? exit_code::success
                                              : exit_code::invalid;
        return false;
    }
}

std::string random_id()
{
    absl::BitGen random;
    return absl::StrFormat("%016x%016x", absl::Uniform<std::uint64_t>(random),
                           absl::Uniform<std::uint64_t>(random));
}

} // namespace magnoliastack::cli
