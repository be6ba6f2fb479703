// Stand-ins for the links of an entry host, and hosts that share a store.
#ifndef MAGNOLIASTACK_UNITTESTS_ENTRY_FAKES_HPP
#define MAGNOLIASTACK_UNITTESTS_ENTRY_FAKES_HPP

#include "magnoliastack/entry/host.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace entry_test
{

namespace base = magnoliastack::base;
namespace catalogue = magnoliastack::catalogue;
namespace entry = magnoliastack::entry;
namespace rpc = magnoliastack::rpc;

// Time of the test.
struct fake_clock final : base::clock
{
    base::instant m_now = base::instant() + absl::Seconds(1000);

    [[nodiscard]] base::instant now() const override
    {
        return m_now;
    }
    [[nodiscard]] std::int64_t unix_ms() const override
    {
        return absl::ToInt64Milliseconds(m_now - base::instant());
    }
};

// What callers were answered, one word each: `row`, `done`, `err busy`,
// `ready I`.
struct fake_sessions final : rpc::session_link
{
    std::map<std::uint64_t, std::vector<std::string>> m_sent;
    // Text of each session's last error.
    std::map<std::uint64_t, std::string> m_texts;
    std::set<std::uint64_t> m_closed;

    void row(rpc::session_number session, std::string_view row) override
    {
        m_sent[session.value()].push_back("row " + std::string(row));
    }
    void done(rpc::session_number session, std::string_view signature) override
    {
        m_sent[session.value()].push_back(
            "done " + (signature.empty() ? "-" : std::string(signature)));
    }
    void failed(rpc::session_number session, rpc::statement_error error,
                std::string_view text) override
    {
        m_texts[session.value()] = std::string(text);
        m_sent[session.value()].push_back(std::string("err ") +
                                          rpc::to_string(error));
    }
    void ready(rpc::session_number session,
               rpc::transaction_state state) override
    {
        const char* names[] = {"ready I", "ready T", "ready E"};
        m_sent[session.value()].emplace_back(names[static_cast<int>(state)]);
    }
    void close(rpc::session_number session) override
    {
        m_closed.insert(session.value());
    }
    void close_between_operations(rpc::session_number session) override
    {
        close(session);
    }
    [[nodiscard]] bool has_output() const override
    {
        return m_has_output;
    }

    // A caller reads slowly.
    bool m_has_output = false;
};

// A request that an endpoint has received.
struct sent_request
{
    base::connection_generation m_connection;
    rpc::endpoint_request m_request;
};

// Connections to endpoints; the test answers.
struct fake_endpoints final : rpc::statement_link
{
    std::map<base::connection_generation, rpc::connection_target> m_open;
    std::vector<base::connection_generation> m_opening;
    std::deque<sent_request> m_requests;
    // Connections opened and requests sent, by endpoint.
    std::map<std::string, std::uint64_t> m_reached;

    void open(base::connection_generation connection,
              const rpc::connection_target& target) override
    {
        m_open[connection] = target;
        m_opening.push_back(connection);
        ++m_reached[target.m_endpoint.str()];
    }
    void send(base::connection_generation connection,
              const rpc::endpoint_request& request) override
    {
        m_requests.push_back({connection, request});
        if (const auto target = m_open.find(connection); target != m_open.end())
            ++m_reached[target->second.m_endpoint.str()];
    }
    void close(base::connection_generation connection) override
    {
        m_open.erase(connection);
        std::erase(m_opening, connection);
    }
};

// What the store holds.
struct stored_state
{
    std::uint64_t m_version = 10;
    rpc::configuration_ptr m_configuration;
    rpc::row_version m_configuration_version;
    std::vector<catalogue::endpoint_entry> m_entries;
    std::map<std::string, rpc::fleet_row> m_rows;
    // Rows `evacuate/DOMAIN`, removed ones too, and the newest version of them.
    std::map<std::string, rpc::evacuation_row> m_evacuations;
    rpc::row_version m_evacuations_version;
};

// A promotion that the platform was asked for.
struct asked_promotion
{
    base::endpoint_id m_endpoint;
    std::uint64_t m_token = 0;
    base::host_id m_holder;
};

// The platform's store and promotions, shared by all hosts of a test.
struct fake_platform : stored_state
{
    // Puts a configuration in force.
    void configure(rpc::configuration_ptr configuration)
    {
        m_configuration = std::move(configuration);
        m_configuration_version = rpc::row_version(++m_version);
    }

    // The operator evacuates a failure domain, or cancels the evacuation.
    void evacuate(const std::string& domain, bool removed = false)
    {
        m_evacuations_version = rpc::row_version(++m_version);
        m_evacuations[domain] = {base::failure_domain_id(domain),
                                 m_evacuations_version, removed};
    }

    // The store as it is now, to come back from later.
    [[nodiscard]] stored_state copy() const
    {
        return *this;
    }
    // The store comes back from an older copy: versions are given out again,
    // and every answer tells the next era.
    void come_back(const stored_state& older)
    {
        static_cast<stored_state&>(*this) = older;
        ++m_era;
    }

    std::uint64_t m_era = 1;
    std::vector<asked_promotion> m_promoted;
};

// One host's way to the store. Calls wait until the test carries them out.
struct fake_store final : rpc::fleet_store
{
    fake_store(fake_platform& platform, fake_clock& clock)
        : m_platform(platform), m_clock(clock)
    {
    }

    [[nodiscard]] rpc::store_instant at() const
    {
        return rpc::store_instant(static_cast<std::uint64_t>(
            absl::ToInt64Milliseconds(m_clock.m_now - base::instant())));
    }
    void read_operator_rows(absl::Duration timeout,
                            callback<rpc::operator_rows> done) override
    {
        ++m_made;
        if (lose(timeout, done))
            return;
        rpc::operator_rows all;
        all.m_whole = true;
        if (m_platform.m_configuration)
            all.m_configurations.push_back(m_platform.m_configuration);
        for (const auto& [domain, row] : m_platform.m_evacuations)
            if (!row.m_removed)
                all.m_evacuations.push_back(row);
        finish(std::move(done), std::move(all));
    }
    void watch_operator_rows(rpc::row_version version, absl::Duration wait,
                             absl::Duration timeout,
                             callback<rpc::operator_rows> done) override
    {
        watch(
            [this, version]
            {
                return m_platform.m_configuration_version > version ||
                       m_platform.m_evacuations_version > version ||
                       has_lost(version);
            },
            wait, timeout, done,
            [this, version, done]
            {
                read_changed_operator_rows(version, done);
            });
    }
    void read_operator_changes(rpc::row_version version, absl::Duration timeout,
                               callback<rpc::operator_rows> done) override
    {
        ++m_made;
        if (!lose(timeout, done))
            read_changed_operator_rows(version, std::move(done));
    }
    void read_endpoints(
        absl::Duration timeout,
        callback<rpc::changes<catalogue::endpoint_entry>> done) override
    {
        ++m_made;
        if (lose(timeout, done))
            return;
        rpc::changes<catalogue::endpoint_entry> all;
        all.m_rows = m_platform.m_entries;
        finish(std::move(done), std::move(all));
    }
    void read_fleet(absl::Duration timeout,
                    callback<rpc::changes<rpc::fleet_row>> done) override
    {
        read_fleet_changes({}, timeout, std::move(done));
    }
    void watch_fleet(rpc::row_version version, absl::Duration wait,
                     absl::Duration timeout,
                     callback<rpc::changes<rpc::fleet_row>> done) override
    {
        watch(
            [this, version]
            {
                return rpc::row_version(m_platform.m_version) > version ||
                       has_lost(version);
            },
            wait, timeout, done,
            [this, version, timeout, done]
            {
                read_fleet_changes(version, timeout, done);
            });
    }
    void
    read_fleet_changes(rpc::row_version version, absl::Duration timeout,
                       callback<rpc::changes<rpc::fleet_row>> done) override
    {
        ++m_made;
        if (lose(timeout, done))
            return;
        if (has_lost(version))
            refuse(std::move(done));
        else
            finish(std::move(done), rows_after(version));
    }
    void change_fleet(const rpc::fleet_change& change, absl::Duration timeout,
                      callback<rpc::change_outcome> done) override
    {
        ++m_made;
        if (lose(timeout, done))
            return;
        m_calls.emplace_back(
            [this, change, done = std::move(done)]
            {
                if (!m_reachable)
                {
                    done(base::fail(base::error_code::unavailable, "away"));
                    return;
                }
                rpc::change_outcome outcome;
                outcome.m_applied = apply(change);
                outcome.m_at = at();
                outcome.m_version = rpc::row_version(m_platform.m_version);
                outcome.m_era = rpc::store_era(m_platform.m_era);
                if (!outcome.m_applied)
                    outcome.m_rows = expected_rows(change);
                if (m_change_answers_lost)
                    done(base::fail(base::error_code::deadline_exceeded,
                                    "no answer"));
                else
                    done(outcome);
            });
    }

    // Carries out the calls made so far.
    void run()
    {
        auto watches = std::exchange(m_watches, {});
        for (auto& item : watches)
        {
            const bool is_due = item.m_changed() ||
                                m_clock.m_now >= item.m_until || !m_reachable;
            if (is_due && m_silent)
                m_lost.push_back({item.m_fails_at, item.m_fail});
            else if (is_due)
                item.m_answer();
            else
                m_watches.push_back(std::move(item));
        }
        for (auto& item : std::exchange(m_lost, {}))
        {
            if (m_clock.m_now >= item.m_fails_at)
                item.m_fail();
            else
                m_lost.push_back(std::move(item));
        }
        auto calls = std::exchange(m_calls, {});
        for (auto& call : calls)
            call();
    }

    // False: calls fail at once.
    bool m_reachable = true;
    // Requests and answers of this time are lost, and calls fail at their
    // timeout, also when the store answers others again by then.
    bool m_silent = false;
    // Changes are carried out, but their answers do not come.
    bool m_change_answers_lost = false;
    // Calls that the host has made.
    std::uint64_t m_made = 0;
    // The same for the connections of watches; other calls are answered.
    bool m_watch_silent = false;

private:
    // A call that is answered when something has changed or its time is over.
    struct pending_watch
    {
        std::function<bool()> m_changed;
        base::instant m_until;
        std::function<void()> m_answer;
        base::instant m_fails_at;
        std::function<void()> m_fail;
    };
    // A call that gets no answer.
    struct lost_call
    {
        base::instant m_fails_at;
        std::function<void()> m_fail;
    };

    template <typename Answer>
    void watch(std::function<bool()> changed, absl::Duration wait,
               absl::Duration timeout, const callback<Answer>& done,
               std::function<void()> answer)
    {
        if (m_watch_silent || m_silent)
            m_lost.push_back({m_clock.m_now + timeout, failure(done)});
        else
            m_watches.push_back({std::move(changed), m_clock.m_now + wait,
                                 std::move(answer), m_clock.m_now + timeout,
                                 failure(done)});
    }

    template <typename Answer>
    static std::function<void()> failure(const callback<Answer>& done)
    {
        return [done]
        {
            done(base::fail(base::error_code::deadline_exceeded, "timeout"));
        };
    }

    // True when the store is silent; the call fails at its timeout then.
    template <typename Answer>
    bool lose(absl::Duration timeout, const callback<Answer>& done)
    {
        if (m_silent)
            m_lost.push_back({m_clock.m_now + timeout, failure(done)});
        return m_silent;
    }

    [[nodiscard]] rpc::changes<rpc::fleet_row>
    rows_after(rpc::row_version version) const
    {
        rpc::changes<rpc::fleet_row> all;
        for (const auto& [key, row] : m_platform.m_rows)
            if (row.m_version > version)
                all.m_rows.push_back(row);
        return all;
    }

    // The store does not have the history up to this version.
    [[nodiscard]] bool has_lost(rpc::row_version version) const
    {
        return version > rpc::row_version(m_platform.m_version);
    }

    // Answers that the history is gone.
    template <typename Answer>
    void refuse(callback<Answer> done)
    {
        m_calls.emplace_back(
            [this, done = std::move(done)]
            {
                done(base::fail(m_reachable
                                    ? base::error_code::not_found
                                    : base::error_code::deadline_exceeded,
                                "no answer"));
            });
    }

    void read_changed_operator_rows(rpc::row_version version,
                                    callback<rpc::operator_rows> done)
    {
        if (has_lost(version))
        {
            refuse(std::move(done));
            return;
        }
        rpc::operator_rows changed;
        if (m_platform.m_configuration_version > version)
            changed.m_configurations.push_back(m_platform.m_configuration);
        for (const auto& [domain, row] : m_platform.m_evacuations)
            if (row.m_version > version)
                changed.m_evacuations.push_back(row);
        if (!changed.m_configurations.empty() || !changed.m_evacuations.empty())
            ++m_made;
        finish(std::move(done), std::move(changed));
    }

    [[nodiscard]] std::vector<rpc::fleet_row>
    expected_rows(const rpc::fleet_change& change) const
    {
        std::vector<rpc::fleet_row> rows;
        for (const auto& [key, version] : change.m_expected)
            if (const auto found = m_platform.m_rows.find(key);
                found != m_platform.m_rows.end())
                rows.push_back(found->second);
        return rows;
    }

    template <typename Answer>
    void finish(callback<Answer> done, Answer all)
    {
        all.m_version = rpc::row_version(m_platform.m_version);
        all.m_at = at();
        all.m_era = rpc::store_era(m_platform.m_era);
        m_calls.emplace_back(
            [this, done = std::move(done), all = std::move(all)]
            {
                if (m_reachable)
                    done(all);
                else
                    done(base::fail(base::error_code::deadline_exceeded,
                                    "no answer"));
            });
    }

    bool apply(const rpc::fleet_change& change)
    {
        for (const auto& [key, version] : change.m_expected)
        {
            const auto found = m_platform.m_rows.find(key);
            const auto present = found == m_platform.m_rows.end()
                                     ? rpc::row_version()
                                     : found->second.m_version;
            if (present != version)
                return false;
        }
        ++m_platform.m_version;
        for (const auto& [key, value] : change.m_writes)
            m_platform.m_rows[key] = {key, value,
                                      rpc::row_version(m_platform.m_version)};
        return true;
    }

    fake_platform& m_platform;
    fake_clock& m_clock;
    std::vector<std::function<void()>> m_calls;
    std::vector<pending_watch> m_watches;
    std::vector<lost_call> m_lost;
};

// The platform's promotions.
struct fake_promotions final : rpc::promotion_link
{
    explicit fake_promotions(fake_platform& platform) : m_platform(platform)
    {
    }

    void promote(const base::group_id& /*group*/,
                 const base::endpoint_id& endpoint, const base::host_id& holder,
                 fencing_token token, absl::Duration /*timeout*/,
                 std::function<void(base::result<bool>)> done) override
    {
        m_platform.m_promoted.push_back({endpoint, token, holder});
        m_done.push_back(std::move(done));
    }
    void run()
    {
        auto ended = std::exchange(m_done, {});
        for (auto& done : ended)
            done(true);
    }

    fake_platform& m_platform;
    std::vector<std::function<void(base::result<bool>)>> m_done;
};

// Datagrams on their way.
struct fake_datagrams final : rpc::datagram_link
{
    std::vector<std::pair<std::string, std::string>> m_sent;

    void send(const std::string& address, const std::string& bytes) override
    {
        m_sent.emplace_back(address, bytes);
    }
};

// One host with its links.
struct fake_host
{
    fake_host(const std::string& name, fake_platform& platform,
              fake_clock& clock, std::uint64_t incarnation = 1,
              const base::failure_domain_id& domain = {},
              rpc::forwarding_link* forwarding = nullptr)
        : fake_host(options(name, name + ":1", incarnation, domain), platform,
                    clock, forwarding)
    {
    }
    fake_host(entry::host_options options, fake_platform& platform,
              fake_clock& clock, rpc::forwarding_link* forwarding = nullptr)
        : m_address(options.m_fleet.m_address), m_store(platform, clock),
          m_promotions(platform),
          m_host(std::move(options),
                 {clock, m_sessions, m_endpoints, m_store, m_promotions,
                  m_datagrams, m_metrics, forwarding})
    {
    }

    static entry::host_options options(const std::string& name,
                                       const std::string& address,
                                       std::uint64_t incarnation,
                                       const base::failure_domain_id& domain)
    {
        entry::host_options result;
        result.m_fleet.m_self = base::host_id(name);
        result.m_fleet.m_incarnation = base::incarnation(incarnation);
        result.m_fleet.m_address = address;
        result.m_fleet.m_failure_domain = domain;
        result.m_runner.m_failure_domain = domain;
        return result;
    }

    std::string m_address;
    fake_sessions m_sessions;
    fake_endpoints m_endpoints;
    fake_store m_store;
    fake_promotions m_promotions;
    fake_datagrams m_datagrams;
    magnoliastack::metrics::registry m_metrics;
    // False cuts the host off from its peers.
    bool m_heard = true;
    entry::host m_host;
};

// Hosts before one group of three endpoints, with one organisation.
struct fleet_fixture
{
    explicit fleet_fixture(int hosts = 3)
    {
        auto config = std::make_shared<catalogue::configuration>();
        config->m_version = base::configuration_version(1);
        const base::group_id group("g");
        config->m_groups[group] = {group, 30};
        config->m_routes["stock"] = route(catalogue::consistency::bounded);
        config->m_routes["settle"] = route(catalogue::consistency::primary);
        config->m_routes["cuts"] =
            route(catalogue::consistency::read_your_writes);
        const base::organisation_id who("souq");
        config->m_keys["key-1"] = who;
        config->m_organisations[who] = {who, 1000, 1000};
        config->m_idle_transaction = absl::Seconds(3);
        m_platform.configure(config);
        for (const char* name : {"e0", "e1", "e2"})
        {
            catalogue::endpoint_entry item;
            item.m_id = base::endpoint_id(name);
            item.m_group = group;
            item.m_address = std::string(name) + ":5";
            item.m_slots = 3;
            item.m_primary = item.m_id.str() == "e0";
            m_platform.m_entries.push_back(item);
        }
        for (int index = 0; index < hosts; ++index)
            m_hosts.push_back(std::make_unique<fake_host>(
                "h" + std::to_string(index), m_platform, m_clock));
        run(absl::Seconds(2));
    }

    static catalogue::route route(catalogue::consistency consistency)
    {
        catalogue::route result;
        result.m_group = base::group_id("g");
        result.m_consistency = consistency;
        result.m_statement_timeout = absl::Seconds(1);
        result.m_max_staleness = absl::Milliseconds(1500);
        return result;
    }

    // Lets time pass in steps of 50 ms, with datagrams and store calls.
    void run(absl::Duration span)
    {
        for (absl::Duration passed; passed < span;
             passed += absl::Milliseconds(50))
        {
            m_clock.m_now = m_clock.m_now + absl::Milliseconds(50);
            for (auto& host : m_hosts)
                host->m_host.tick();
            exchange();
        }
    }

    void exchange()
    {
        for (auto& host : m_hosts)
        {
            host->m_store.run();
            host->m_promotions.run();
        }
        for (auto& from : m_hosts)
            for (const auto& [address, bytes] :
                 std::exchange(from->m_datagrams.m_sent, {}))
                for (auto& to : m_hosts)
                    if (to->m_address == address && to->m_heard &&
                        from->m_heard)
                        to->m_host.datagram_received(bytes);
    }

    // Puts a configuration in force with this rate and burst of the
    // organisation.
    void set_limits(double rate, double burst)
    {
        auto limited = std::make_shared<catalogue::configuration>(
            *m_platform.m_configuration);
        limited->m_version = base::configuration_version(
            m_platform.m_configuration->m_version.value() + 1);
        const base::organisation_id who("souq");
        limited->m_organisations[who] = {who, rate, burst};
        m_platform.configure(limited);
    }

    fake_host& host(std::size_t index)
    {
        return *m_hosts[index];
    }

    fake_clock m_clock;
    fake_platform m_platform;
    std::vector<std::unique_ptr<fake_host>> m_hosts;
};

} // namespace entry_test

#endif
