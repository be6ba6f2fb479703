// The platform's store and its promotion call, with the ways in which they
// misbehave.
#ifndef MAGNOLIASTACK_TEST_SOAK_STORE_HPP
#define MAGNOLIASTACK_TEST_SOAK_STORE_HPP

#include "database.hpp"

#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace magnoliastack::soak
{

// How the store treats a host.
enum class store_mood
{
    serving,
    silent,
    busy,
    reset,
};

// One table service for all hosts; each host reaches it at a port of its own,
// so that the store can treat hosts apart and show each its own relays.
class store
{
public:
    // Port at which the host reaches the endpoint.
    using address_of =
        std::function<unsigned short(std::size_t host, const endpoint&)>;
    // Port at which others reach the host's datagrams.
    using peer_port_of = std::function<unsigned short(const std::string& host)>;
    using promote_call =
        std::function<bool(const std::string& group, const std::string& id)>;

    store(asio::io_context& loop, checker& judge, std::size_t hosts,
          address_of address, peer_port_of peer_port, promote_call promote);
    ~store();

    [[nodiscard]] unsigned short port(std::size_t host) const;

    // The operator writes a configuration; the version rises by itself.
    void configure(nlohmann::json configuration);
    // The operator evacuates a failure domain, and cancels the evacuation.
    void evacuate(const std::string& domain);
    void cancel_evacuation(const std::string& domain);
    // An endpoint's entry; none when it has left or is silent.
    void set_entry(const endpoint& what, const std::string& group,
                   std::uint64_t sequence);
    void remove_entry(const endpoint& what);

    void set_mood(std::size_t host, store_mood mood);
    // Keeps a copy of all rows, to come back from.
    void keep_copy();
    // Comes back from the newest copy that is at least so old, with the next
    // era. Watches end; the operator writes its configuration again, and the
    // endpoints their entries with their next heartbeats.
    void come_back(std::chrono::milliseconds age);
    [[nodiscard]] bool is_calm() const;

    // Every answer takes this much longer.
    std::chrono::milliseconds m_slowness{0};
    // Part of the changes that are carried out and not answered.
    double m_lost_part = 0;
    // Part of the changes that are carried out a second later, unanswered.
    double m_late_part = 0;

private:
    struct connection;
    struct watcher;
    using json = nlohmann::json;
    using tables = std::map<std::string, std::map<std::string, json>>;

    struct stored_copy
    {
        clock::time_point m_at;
        std::uint64_t m_version;
        tables m_rows;
    };

    void accept(std::size_t host);
    [[nodiscard]] json rows(const std::string& table, std::uint64_t after,
                            std::size_t host) const;
    // The row with addresses of the host's relays.
    [[nodiscard]] json shown(const json& row, std::size_t host) const;
    [[nodiscard]] json envelope(json rows) const;
    // False when an expected version was wrong; the answer says which.
    bool change(const json& asked, std::size_t host, json& answer);
    void put(const std::string& table, const std::string& key,
             const std::string& value);
    // Removes the row; watches tell of it.
    void remove(const std::string& table, const std::string& key);
    // The operator writes again what a copy lacks.
    void write_operator_rows();
    void notify();

    asio::io_context& m_loop;
    checker& m_judge;
    address_of m_address;
    peer_port_of m_peer_port;
    promote_call m_promote;
    std::vector<std::unique_ptr<tcp::acceptor>> m_acceptors;
    std::vector<store_mood> m_moods;
    std::uint64_t m_version = 1;
    std::uint64_t m_era = 1;
    tables m_rows;
    std::deque<stored_copy> m_copies;
    // The operator's newest configuration; its versions never go back.
    std::uint64_t m_configuration_version = 0;
    std::string m_configuration;
    // Failure domains that the operator has evacuated, and whether they still
    // are.
    std::map<std::string, bool> m_evacuated;
    std::map<std::string, const endpoint*> m_endpoints;
    std::list<std::weak_ptr<connection>> m_watchers;
    unsigned m_draws = 0;
};

} // namespace magnoliastack::soak

#endif
