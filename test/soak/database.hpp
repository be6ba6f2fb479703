// Database groups as the users' platform has them: one primary, replicas that
// follow its log later, and no promotion but on request.
#ifndef MAGNOLIASTACK_TEST_SOAK_DATABASE_HPP
#define MAGNOLIASTACK_TEST_SOAK_DATABASE_HPP

#include "checker.hpp"
#include "relay.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnoliastack::soak
{

class group;

// One database server in the line protocol.
class endpoint
{
public:
    endpoint(asio::io_context& loop, group& owner, std::string id,
             std::string domain, bool primary);

    // Of all hosts together; fewer than they would like to keep.
    static constexpr std::size_t largest_connections = 21;

    [[nodiscard]] unsigned short port() const
    {
        return m_port;
    }
    [[nodiscard]] const std::string& id() const
    {
        return m_id;
    }
    [[nodiscard]] const std::string& domain() const
    {
        return m_domain;
    }
    [[nodiscard]] bool runs() const
    {
        return m_acceptor.has_value();
    }
    // Ends and starts the process; the log lasts.
    void crash();
    void start();

    bool m_primary;
    bool m_leaving = false;
    // Cut off from the other endpoints of its group.
    bool m_isolated = false;
    // Receives nothing of the primary's log.
    bool m_deaf = false;
    // Refuses to report because no slot is free.
    bool m_has_no_slot = false;
    // How late it shows what it has received.
    std::chrono::milliseconds m_lag{20};
    // How long one request takes.
    std::chrono::milliseconds m_work_time{4};
    std::uint64_t m_term = 1;
    std::vector<commit_ptr> m_log;
    std::size_t m_applied = 0;
    std::uint64_t m_started_ms = 0;

private:
    friend class group;
    struct connection;

    void accept();
    // Works on the request, now or when a slot is free.
    void admit(const std::shared_ptr<connection>& from,
               const std::string& line);
    void work_on();

    asio::io_context& m_loop;
    group& m_owner;
    std::string m_id;
    std::string m_domain;
    unsigned short m_port;
    std::optional<tcp::acceptor> m_acceptor;
    std::vector<std::shared_ptr<connection>> m_connections;
    // Counts its starts; work of an earlier process is not finished.
    std::uint64_t m_process = 0;
    std::size_t m_working = 0;
    std::deque<std::pair<std::shared_ptr<connection>, std::string>> m_queue;
    // When each entry of the log that is not applied yet was received.
    std::deque<clock::time_point> m_received;
};

// One group.
class group
{
public:
    // A commit is acknowledged once so many replicas have it.
    group(asio::io_context& loop, checker& judge, std::string name,
          const std::vector<std::string>& domains, std::size_t sync_replicas);

    // Replication and old primaries; call it every 10 ms.
    void tick();
    // False when the endpoint does not run.
    bool promote(const std::string& id);

    [[nodiscard]] const std::string& name() const
    {
        return m_name;
    }
    [[nodiscard]] std::vector<std::unique_ptr<endpoint>>& endpoints()
    {
        return m_endpoints;
    }
    [[nodiscard]] std::size_t sync_replicas() const
    {
        return m_sync_replicas;
    }
    // Calls `acknowledge` once enough replicas have the commit; never when its
    // endpoint ends before.
    void when_replicated(const commit_ptr& what,
                         std::function<void()> acknowledge);
    // The endpoint that leads by the newest promotion.
    [[nodiscard]] endpoint& leader();
    checker& judge()
    {
        return m_judge;
    }
    [[nodiscard]] std::uint64_t term() const
    {
        return m_term;
    }
    // When the newest promotion took effect.
    [[nodiscard]] clock::time_point promoted_at() const
    {
        return m_promoted_at;
    }

private:
    void lead(endpoint& chosen);
    // An acknowledged commit has to be in the log of whoever is promoted.
    void judge_promotion(const endpoint& chosen);
    [[nodiscard]] bool is_replicated(const commit_ptr& what) const;
    void acknowledge_replicated();
    void follow(endpoint& replica, const endpoint& primary);

    asio::io_context& m_loop;
    checker& m_judge;
    std::string m_name;
    std::vector<std::unique_ptr<endpoint>> m_endpoints;
    std::size_t m_sync_replicas;
    std::vector<std::pair<commit_ptr, std::function<void()>>> m_unacknowledged;
    std::uint64_t m_term = 1;
    clock::time_point m_promoted_at;
    std::optional<std::pair<std::string, clock::time_point>> m_promoting;
};

} // namespace magnoliastack::soak

#endif
