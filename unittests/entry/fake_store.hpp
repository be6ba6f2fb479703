// A stand-in for the platform's store, and the clock that it goes by.
#ifndef MAGNOLIASTACK_UNITTESTS_ENTRY_FAKE_STORE_HPP
#define MAGNOLIASTACK_UNITTESTS_ENTRY_FAKE_STORE_HPP

#include "magnoliastack/base/time.hpp"
#include "magnoliastack/rpc/fleet_store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace entry_test
{

namespace base = magnoliastack::base;
namespace catalogue = magnoliastack::catalogue;
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

} // namespace entry_test

#endif
