#include "magnoliastack/ctl/ctl.hpp"

#include "offline.hpp"
#include "remote.hpp"

#include "magnoliastack/cli/connection.hpp"
#include "magnoliastack/cli/exit_code.hpp"

#include <functional>
#include <pwd.h>
#include <string>
#include <unistd.h>

namespace magnoliastack::ctl
{
namespace
{

constexpr const char* footer =
    "Exit codes: 0 done; 1 `diff` found differences; 2 wrong arguments, file "
    "or\ninventory, nothing changed; 3 host not reached, nothing changed; 4 "
    "refused;\n5 the change may have been stored, repeat it with the same "
    "change id;\n6 another operator's change won; 7 stored, not yet in force "
    "on every host.";

std::string default_author()
{
    const passwd* entry = getpwuid(geteuid());
    return entry == nullptr ? "unknown" : entry->pw_name;
}

// The command line: options are parsed into members, the chosen command is
// kept as a function.
class command_line
{
public:
    command_line(std::ostream& out, std::ostream& err) : m_out(out), m_err(err)
    {
        m_app.require_subcommand(1);
        m_app.footer(footer);
        m_app.add_flag("--json", m_remote.m_json, "print JSON");
        cli::add_connection_options(m_app, m_remote.m_connection);
        m_app.add_option("--operator-secret-file", m_remote.m_secret_file,
                         "file with the operators' secret; or set "
                         "MAGNOLIA_OPERATOR_SECRET");
        cli::add_duration_option(m_app, "--timeout", m_remote.m_timeout,
                                 "bound of each call");
        add_offline();
        add_changes();
        add_questions();
    }

    int run(int argc, const char* const* argv, const char* version)
    {
        m_app.set_version_flag("--version",
                               std::string("magnolia-ctl ") + version);
        cli::exit_code code = cli::exit_code::success;
        if (cli::parse_arguments(m_app, argc, argv, m_out, m_err, code))
            code = m_command();
        return static_cast<int>(code);
    }

private:
    CLI::App* add(CLI::App& parent, const std::string& name,
                  const std::string& description,
                  std::function<cli::exit_code()> command)
    {
        auto* sub = parent.add_subcommand(name, description);
        // Lets the options of all commands stand behind the command too.
        sub->fallthrough();
        sub->callback(
            [this, command = std::move(command)]
            {
                m_command = command;
            });
        return sub;
    }

    void add_offline()
    {
        auto* check =
            add(m_app, "check", "check an inventory file; asks no host",
                [this]
                {
                    return ctl::check(m_file, m_remote.m_json, m_out, m_err);
                });
        check->add_option("FILE", m_file, "inventory")->required();
        auto* diff =
            add(m_app, "diff", "show what NEW would change; asks no host",
                [this]
                {
                    return ctl::diff(m_old_file, m_file, m_remote.m_json, m_out,
                                     m_err);
                });
        diff->add_option("OLD", m_old_file, "inventory")->required();
        diff->add_option("NEW", m_file, "inventory")->required();
    }

    void add_change_options(CLI::App& app)
    {
        app.add_option("--change-id", m_change.m_change_id,
                       "id of an earlier try whose outcome was not learnt");
        app.add_option("--author", m_change.m_author,
                       "who is named to others; default: the user's name");
        cli::add_duration_option(
            app, "--wait", m_change.m_wait,
            "wait until the change is in force everywhere");
    }

    [[nodiscard]] change_options change() const
    {
        auto how = m_change;
        if (how.m_change_id.empty())
            how.m_change_id = cli::random_id();
        if (how.m_author.empty())
            how.m_author = default_author();
        return how;
    }

    remote host()
    {
        return {m_remote, m_out, m_err};
    }

    void add_changes()
    {
        auto* apply =
            add(m_app, "apply", "put a new inventory in force",
                [this]
                {
                    return host().apply(m_file,
                                        m_based_on_option->count() > 0
                                            ? std::optional(m_based_on)
                                            : std::nullopt,
                                        change());
                });
        apply->add_option("FILE", m_file, "inventory")->required();
        m_based_on_option = apply->add_option(
            "--based-on", m_based_on,
            "version that the file was made from; default: the version in "
            "force at the host");
        add_change_options(*apply);

        auto* key = m_app.add_subcommand("key", "issue and withdraw keys");
        key->fallthrough();
        key->require_subcommand(1);
        auto* issue =
            add(*key, "issue", "issue a key for an organisation",
                [this]
                {
                    return host().issue_key(m_organisation, m_output, change());
                });
        issue->add_option("ORGANISATION", m_organisation)->required();
        issue->add_option("--output", m_output,
                          "new file for the key, readable by its owner only");
        add_change_options(*issue);
        auto* withdraw = add(*key, "withdraw", "withdraw a key",
                             [this]
                             {
                                 return host().withdraw_key(m_key_id, change());
                             });
        withdraw->add_option("KEY_ID", m_key_id)->required();
        add_change_options(*withdraw);
    }

    void add_questions()
    {
        add(m_app, "show", "print the configuration in force at the host",
            [this]
            {
                return host().show();
            });
        add(m_app, "status", "print what the host knows of fleet and groups",
            [this]
            {
                return host().status();
            });
        add(m_app, "stats", "print the host's counters and latencies",
            [this]
            {
                return host().stats();
            });
        add(m_app, "drain", "start the planned stop of the host",
            [this]
            {
                return host().drain();
            });
    }

    std::ostream& m_out;
    std::ostream& m_err;
    CLI::App m_app{"Checks and changes the configuration of a magnoliastack "
                   "fleet.",
                   "magnolia-ctl"};
    remote_options m_remote;
    change_options m_change;
    std::string m_file;
    std::string m_old_file;
    std::string m_organisation;
    std::string m_output;
    std::string m_key_id;
    std::uint64_t m_based_on = 0;
    CLI::Option* m_based_on_option = nullptr;
    std::function<cli::exit_code()> m_command;
};

} // namespace

int run(int argc, const char* const* argv, const char* version,
        std::ostream& out, std::ostream& err)
{
    return command_line(out, err).run(argc, argv, version);
}

} // namespace magnoliastack::ctl
