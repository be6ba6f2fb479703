// Callers that check what they get: a counter, a session's read and an
// interactive transaction, each in a thread of its own.
#ifndef MAGNOLIASTACK_TEST_SUPPORT_WORKERS_HPP
#define MAGNOLIASTACK_TEST_SUPPORT_WORKERS_HPP

#include "deployment.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace magnoliastack::test
{

// How one request ended for the caller.
enum class outcome
{
    done,
    not_run,
    unknown,
};

// The answer to one request.
struct response
{
    outcome m_outcome = outcome::unknown;
    std::vector<v1::Row> m_rows;
    bool m_repeated = false;
    v1::Refusal m_refusal;
};

// A caller with one session that roams over all proxies.
class caller
{
public:
    caller(deployment& fleet, std::string key, unsigned seed);

    // One try through the next proxy.
    response execute(const v1::ExecuteRequest& request,
                     std::chrono::milliseconds deadline);

    // The same through a given proxy.
    response execute_at(int proxy, const v1::ExecuteRequest& request,
                        std::chrono::milliseconds deadline);

    // Reads `key`, adds 1 and commits under `id`, in one transaction. The
    // value that it wrote is the only row.
    response increment(const std::string& key, const v1::RequestId& id,
                       std::chrono::milliseconds deadline);

    v1::RequestId new_id();

    [[nodiscard]] const std::string& token() const
    {
        return m_token;
    }
    void set_token(std::string token)
    {
        m_token = std::move(token);
    }

private:
    int next_proxy();

    std::string m_key;
    std::vector<std::unique_ptr<v1::Proxy::Stub>> m_stubs;
    std::mt19937_64 m_random;
    std::string m_token;
};

v1::ExecuteRequest add_one(const std::string& key, const v1::RequestId& id);
v1::ExecuteRequest put(const std::string& key, const std::string& value,
                       const v1::RequestId& id);
v1::ExecuteRequest get(const std::string& key,
                       const std::string& route = "orders");

// The three kinds of work of one run; each checks its invariant at every step.
class workload
{
public:
    workload(deployment& fleet, const std::string& key, unsigned seed);
    ~workload();

    workload(const workload&) = delete;
    workload& operator=(const workload&) = delete;

    // Forgets the progress so far; progress afterwards shows recovery.
    void mark();

    // Lets every worker settle what is open and ends them.
    void finish();

    // What a worker saw that must not be; empty when all is well.
    [[nodiscard]] std::vector<std::string> violations() const;

    // Completed steps since mark(), by worker: writes, session reads,
    // transactions.
    [[nodiscard]] std::vector<int> progress() const;

    // Longest time between two acknowledged writes, in milliseconds.
    [[nodiscard]] int longest_write_gap_ms() const
    {
        return m_longest_gap_ms.load();
    }

private:
    void run_writes(unsigned seed);
    void run_session_reads(unsigned seed);
    void run_transactions(unsigned seed);
    void fail(const std::string& what);

    deployment& m_fleet;
    std::string m_key;
    std::atomic<bool> m_stop = false;
    std::atomic<int> m_progress[3] = {0, 0, 0};
    std::atomic<int> m_longest_gap_ms = 0;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_violations;
    std::vector<std::thread> m_threads;
};

} // namespace magnoliastack::test

#endif
