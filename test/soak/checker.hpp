// The promises of the pages, judged from what callers and endpoints see.
#ifndef MAGNOLIASTACK_TEST_SOAK_CHECKER_HPP
#define MAGNOLIASTACK_TEST_SOAK_CHECKER_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace magnoliastack::soak
{

using clock = std::chrono::steady_clock;

// One commit of a group's log.
struct commit
{
    std::uint64_t m_term = 0;
    std::uint64_t m_number = 0;
    // Ids of the statements that wrote.
    std::vector<std::string> m_writers;
    // Set when a caller was told of its success.
    clock::time_point m_acknowledged = clock::time_point::max();
    // Another endpoint had been promoted before.
    bool m_by_old_primary = false;
    // A promotion has taken it back.
    bool m_rolled_back = false;
};
using commit_ptr = std::shared_ptr<commit>;

// How fresh a statement has to be.
struct demand
{
    std::string m_organisation;
    std::string m_group;
    // Commits acknowledged before this have to be there.
    clock::time_point m_covers;
    // The newest commit of its own session.
    commit_ptr m_own;
    // Statements of one operation share it.
    std::string m_operation;
    // The operation is a transaction, and this is its first statement that an
    // endpoint has to run.
    bool m_in_transaction = false;
    bool m_first = false;
    std::string m_text;
};

// Any bytes that the protocol allows in a message's last field, drawn for the
// key.
std::string odd_data(const std::string& key);

// The row with which endpoints answer the read.
std::string row_of(const std::string& id);

// Collects what was broken.
class checker
{
public:
    // A caller is about to send the statement.
    void sent(const std::string& id, const demand& what);

    // An endpoint has been sent a statement with this text.
    void arrived(const std::string& id, const std::string& text);
    // An endpoint runs a statement on `applied`, the commits that it shows.
    void ran(const std::string& id, const std::string& organisation,
             const std::string& group, bool reads,
             const std::vector<commit_ptr>& applied);
    // An endpoint runs an operation's first statement. One that the fleet sends
    // again, because it was lost before, is the same operation.
    void admitted(const std::string& organisation,
                  const std::string& operation);
    void committed(const commit_ptr& what);
    // A number for a transaction that begins at an endpoint; never 0.
    std::uint64_t next_transaction()
    {
        return ++m_last_transaction;
    }
    // A statement ran inside this transaction of an endpoint, or outside any
    // when it is 0.
    void ran_in(const std::string& id, std::uint64_t transaction);
    // A request to begin came while the connection's transaction was open.
    void began_twice(const std::string& endpoint);
    // A caller has waited longer than any time-out for the answer of a host
    // that ran all the while.
    void unanswered(const std::string& id, const std::string& host);
    void seen_by_endpoint(const std::string& line);
    void add_key(const std::string& key)
    {
        m_keys.insert(key);
    }
    void set_limit(const std::string& organisation, double rate, double burst);

    // The store has acknowledged an evacuation, or its end.
    void evacuated(const std::string& domain);
    void evacuation_cancelled(const std::string& domain);
    // The store or the hosts' ways to it are in trouble, or a host stands
    // still: bounds of evacuations start anew.
    void store_disturbed();
    // Something has reached an endpoint of the domain.
    void reached(const std::string& domain, const std::string& line);

    // A caller was told that the statement's work is there; null without one.
    void succeeded(const std::string& id, const commit_ptr& what);
    // A caller was promised that nothing of the statement is kept.
    void promised_nothing(const std::string& id);
    void promoted(const std::string& holder, std::uint64_t token);

    void broken(const std::string& rule, const std::string& what);
    [[nodiscard]] const std::vector<std::string>& findings() const
    {
        return m_findings;
    }
    [[nodiscard]] commit_ptr commit_of(const std::string& id) const;

private:
    struct limit
    {
        double m_rate = 0;
        double m_burst = 0;
    };

    std::map<std::string, demand> m_demands;
    std::map<std::string, commit_ptr> m_commit_of;
    std::map<std::string, std::vector<commit_ptr>> m_acknowledged;
    std::set<std::string> m_promised;
    std::set<std::string> m_keys;
    std::map<std::string, limit> m_limits;
    std::map<std::string, std::vector<clock::time_point>> m_admitted;
    std::set<std::string> m_counted;
    std::uint64_t m_last_transaction = 0;
    // The operation whose statements run in each transaction.
    std::map<std::uint64_t, std::string> m_operation_in;
    // Transactions in which each operation's first statement ran: it may be
    // repeated elsewhere when its answer was lost.
    std::map<std::string, std::set<std::uint64_t>> m_begun_in;
    std::map<std::uint64_t, std::string> m_holders;
    // Failure domains that are evacuated, and from when on nothing may reach
    // them. A bound that is over stays so: an evacuation never ends by itself.
    std::map<std::string, clock::time_point> m_silent_from;
    std::vector<std::string> m_findings;
};

} // namespace magnoliastack::soak

#endif
