#include "magnoliastack/query/query.hpp"

#include "caller.hpp"
#include "report.hpp"
#include "text.hpp"
#include "token_file.hpp"

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/cli/connection.hpp"
#include "magnoliastack/cli/exit_code.hpp"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

#include <array>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

namespace magnoliastack::query
{
namespace
{

constexpr const char* footer =
    "The organisation's key is read from --key-file or MAGNOLIA_KEY, never "
    "from the\ncommand line. A statement of `transaction` is one argument, "
    "such as \"add stock -1\".\n"
    "Exit codes: 0 done; 2 wrong arguments or files, nothing sent; 3 host not "
    "reached\nor no answer, nothing changed; 4 refused, did not run; 5 outcome "
    "unknown, repeat\nwith the printed request id.";

// The command line and the run of the chosen command.
class command_line
{
public:
    command_line(std::ostream& out, std::ostream& err) : m_out(out), m_err(err)
    {
        m_app.require_subcommand(1);
        m_app.footer(footer);
        cli::add_connection_options(m_app, m_connection);
        m_app
            .add_option("--route", m_request.m_route, "route of the inventory")
            ->required();
        m_app.add_option("--key-file", m_key_file,
                         "file with the organisation's key; or set "
                         "MAGNOLIA_KEY");
        m_app.add_option("--token-file", m_token_file,
                         "session token, read and updated; one command at a "
                         "time may use it");
        m_app.add_option("--request-id", m_request_id,
                         "id of an earlier try, to repeat it");
        m_app.add_flag("--may-repeat", m_request.m_may_repeat,
                       "the write may run more than once");
        cli::add_duration_option(m_app, "--deadline", m_deadline,
                                 "bound of the whole call");
        m_app.add_flag("--json", m_json, "print JSON");
        add_statement("get", "read the value of KEY", {"KEY"}, 1);
        add_statement("put", "set KEY to VALUE", {"KEY", "VALUE"}, 2);
        add_statement("add", "add AMOUNT to the number at KEY",
                      {"KEY", "AMOUNT"}, 2);
        add_statement("scan", "read the keys that start with PREFIX",
                      {"PREFIX", "LIMIT"}, 1);
        add_statement("delete", "remove KEY", {"KEY"}, 1);
        auto* transaction = m_app.add_subcommand(
            "transaction", "run statements in one interactive transaction");
        transaction->fallthrough();
        transaction
            ->add_option("STATEMENT", m_statements,
                         "such as \"get KEY\" or \"put KEY VALUE\"")
            ->required();
        transaction->callback(
            [this]
            {
                m_is_transaction = true;
            });
    }

    int run(int argc, const char* const* argv, const char* version)
    {
        m_app.set_version_flag("--version",
                               std::string("magnolia-query ") + version);
        cli::exit_code code = cli::exit_code::success;
        if (!cli::parse_arguments(m_app, argc, argv, m_out, m_err, code))
            return static_cast<int>(code);
        const auto prepared = prepare();
        if (!prepared)
        {
            m_err << prepared.error().m_message << '\n';
            return static_cast<int>(cli::exit_code::invalid);
        }
        return static_cast<int>(call());
    }

private:
    // A command of one statement.
    void add_statement(const std::string& verb, const std::string& description,
                       const std::vector<std::string>& words,
                       std::size_t required)
    {
        auto* sub = m_app.add_subcommand(verb, description);
        sub->fallthrough();
        for (std::size_t index = 0; index < words.size(); ++index)
        {
            auto* option = sub->add_option(words[index], m_words[index]);
            if (index < required)
                option->required();
        }
        sub->callback(
            [this, verb, sub, words]
            {
                m_statement = {verb};
                for (std::size_t index = 0; index < words.size(); ++index)
                {
                    if (sub->get_option(words[index])->count() > 0)
                        m_statement.push_back(m_words.at(index));
                }
            });
    }

    base::result<bool> add_statements()
    {
        std::vector<base::result<v1::Statement>> parsed;
        if (!m_statement.empty())
            parsed.push_back(make_statement(m_statement));
        for (const auto& text : m_statements)
            parsed.push_back(parse_statement(text));
        for (auto& statement : parsed)
        {
            if (!statement)
                return tl::make_unexpected(statement.error());
            m_is_write = m_is_write || is_write(*statement);
            m_request.m_statements.push_back(*std::move(statement));
        }
        return true;
    }

    base::result<bool> prepare()
    {
        if (auto added = add_statements(); !added)
            return added;
        if (!m_key_file.empty())
        {
            auto key = cli::read_secret(m_key_file);
            if (!key)
                return tl::make_unexpected(key.error());
            m_request.m_key = *std::move(key);
        }
        else if (const char* key = std::getenv("MAGNOLIA_KEY"))
        {
            m_request.m_key = key;
        }
        if (!m_token_file.empty())
        {
            auto token = read_token(m_token_file);
            if (!token)
                return tl::make_unexpected(token.error());
            m_request.m_token = *std::move(token);
        }
        auto id = m_request_id.empty() ? make_request_id()
                                       : parse_request_id(m_request_id);
        if (!id)
            return tl::make_unexpected(id.error());
        m_request.m_request_id = *std::move(id);
        m_request.m_deadline = absl::Now() + m_deadline;
        return true;
    }

    cli::exit_code call()
    {
        auto channel = cli::connect(m_connection, m_deadline);
        if (!channel)
        {
            m_err << channel.error().m_message << '\n';
            return cli::exit_code_of(channel.error());
        }
        caller proxy(*channel);
        const auto result = m_is_transaction ? proxy.transact(m_request)
                                             : proxy.execute(m_request);
        if (result.m_end && !m_token_file.empty())
        {
            const auto saved =
                write_token(m_token_file, result.m_end->session_token());
            if (!saved)
                m_err << saved.error().m_message
                      << "; a later read of this session may miss this "
                         "request\n";
        }
        const std::string id =
            m_is_write ? to_text(m_request.m_request_id) : std::string();
        if (m_json)
            print_json(result, id, m_out);
        else
            print_text(result, id, m_out);
        return result.exit_code(m_is_write);
    }

    std::ostream& m_out;
    std::ostream& m_err;
    CLI::App m_app{"Runs statements through a magnoliastack proxy.",
                   "magnolia-query"};
    cli::connection_options m_connection;
    query_request m_request;
    std::string m_key_file;
    std::string m_token_file;
    std::string m_request_id;
    absl::Duration m_deadline = absl::Seconds(5);
    bool m_json = false;
    bool m_is_transaction = false;
    bool m_is_write = false;
    std::array<std::string, 2> m_words;
    std::vector<std::string> m_statement;
    std::vector<std::string> m_statements;
};

} // namespace

int run(int argc, const char* const* argv, const char* version,
        std::ostream& out, std::ostream& err)
{
    return command_line(out, err).run(argc, argv, version);
}

} // namespace magnoliastack::query
