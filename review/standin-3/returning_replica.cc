// Replicas of a service crash and come back, while statements wait for a
// connection. TROUBLE=0 leaves the crashes out.
#include "world.h"

using namespace review;

namespace
{

constexpr int host_count = 8;
constexpr int tenants = 8;
// The first tenant is a large one.
constexpr int sessions_of_large = 12;
constexpr int sessions_of_small = 3;
constexpr int crashes = 8;
constexpr milliseconds down_time{1000};
constexpr milliseconds up_time{2000};
constexpr milliseconds heartbeat{1200};
// Fewer mean that the deployment did not work.
constexpr int least_served = 1000;

std::atomic<bool> ends = false;
std::atomic<int> last_id = 0;
std::atomic<int> last_transaction = 0;
std::atomic<int> served = 0;
std::atomic<int> malformed = 0;
std::mutex mutex;
std::vector<std::shared_ptr<caller>> open_callers;
// The caller's transaction that a statement belongs to, 0 for a single one.
std::map<std::string, int> transaction_of;
// The callers' transactions whose statements ran in a backend's transaction.
std::map<std::uint64_t, std::map<int, std::string>> ran_in;
int broken = 0;

caller::answer ask(caller& who, int transaction, const std::string& text)
{
    char id[32];
    std::snprintf(id, sizeof id, "%016x", ++last_id);
    {
        const std::lock_guard lock(mutex);
        transaction_of[id] = transaction;
    }
    auto answer = who.query(id, text);
    served += !answer.m_ended && answer.m_error.empty();
    malformed += answer.m_error.starts_with("MALFORMED");
    return answer;
}

// PINNED: a statement runs inside another client's transaction, or outside its
// own.
void judge(const std::string& id, std::uint64_t inside, record& out)
{
    const std::lock_guard lock(mutex);
    const int own = transaction_of.at(id);
    std::string what;
    if (own == 0 && inside != 0)
        what = "a single statement, ran inside a transaction";
    else if (own != 0 && inside == 0)
        what = "a statement of a transaction, ran outside of one";
    else if (inside != 0)
    {
        ran_in[inside].emplace(own, id);
        if (ran_in[inside].size() > 1)
            what = "ran inside the transaction of " +
                   ran_in[inside].begin()->second;
    }
    if (what.empty())
        return;
    ++broken;
    out.line("PINNED: " + id + ", " + what + " (" + std::to_string(inside) +
             " of the backend)");
}

void pause(std::mt19937& random, int from, int to)
{
    sleep_ms(std::uniform_int_distribution<int>(from, to)(random));
}

// False when the connection has ended.
bool run_transaction(caller& who, std::mt19937& random)
{
    const int number = ++last_transaction;
    char state = 'I';
    for (const char* text : {"BEGIN READ", "READ 1a4", "READ 1a5", "COMMIT"})
    {
        const auto answer = ask(who, number, text);
        if (answer.m_ended)
            return false;
        state = answer.m_state;
        if (state != 'T')
            break;
        pause(random, 5, 60);
    }
    return state != 'E' || !ask(who, number, "ROLLBACK").m_ended;
}

void run_caller(const hosts& fleet, int host, int tenant, int number,
                record& out)
{
    std::mt19937 random(host * 1000 + tenant * 100 + number);
    while (!ends)
    {
        auto who = std::make_shared<caller>(fleet.callers(host),
                                            "caller " + std::to_string(host) +
                                                "." + std::to_string(tenant) +
                                                "." + std::to_string(number),
                                            out);
        {
            const std::lock_guard lock(mutex);
            open_callers.push_back(who);
        }
        bool goes_on = who->start("stock", "key" + std::to_string(tenant));
        while (!ends && goes_on)
        {
            pause(random, 50, 250);
            goes_on = number % 2 == 0 ? run_transaction(*who, random)
                                      : !ask(*who, 0, "READ 1a4").m_ended;
        }
        sleep_ms(200);
    }
}

std::string configuration()
{
    json all = {
        {"version", 7},
        {"limits", {{"tx_idle_ms", 5000}}},
        {"services",
         {{{"name", "inlay-ledger"}, {"max_conns", 21}, {"sync_replicas", 0}}}},
        {"routes",
         {{{"name", "stock"},
           {"host", "stock"},
           {"service", "inlay-ledger"},
           {"kind", "bounded"},
           {"max_staleness_ms", 1500},
           {"timeout_ms", 2000},
           {"priority", 2},
           {"slo_ms", 600}}}}};
    for (int tenant = 0; tenant < tenants; ++tenant)
        all["tenants"].push_back(
            {{"name", "t" + std::to_string(tenant)},
             {"api_keys", {"key" + std::to_string(tenant)}},
             {"rate_per_s", 2000},
             {"burst", 2000}});
    return all.dump();
}

} // namespace

int main(int count, char** words)
{
    if (count < 2)
        return 2;
    ::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    const bool is_calm = trouble != nullptr && std::string(trouble) == "0";
    record out(words[1]);
    store rows;
    rows.put("op", "config", configuration());
    database data({"inlay-ledger", 3, 9, 24, 60}, rows, out);
    data.on_run(
        [&out](const std::string& id, std::uint64_t inside)
        {
            judge(id, inside, out);
        });
    promotions platform(data, out);
    hosts fleet(host_count, rows.address(), platform.address(), 6);
    if (!fleet.wait_ready(20))
    {
        fleet.~hosts();
        std::_Exit(2);
    }
    out.line("all hosts are ready");
    std::vector<std::thread> threads;
    for (int host = 0; host < host_count; ++host)
        for (int tenant = 0; tenant < tenants; ++tenant)
            for (int number = 0;
                 number < (tenant == 0 ? sessions_of_large : sessions_of_small);
                 ++number)
                threads.emplace_back(
                    [&fleet, host, tenant, number, &out]
                    {
                        run_caller(fleet, host, tenant, number, out);
                    });
    std::thread beats(
        [&data]
        {
            while (!ends)
            {
                data.heartbeats();
                std::this_thread::sleep_for(heartbeat);
            }
        });
    sleep_ms(5000);
    for (int crash = 0; crash < crashes; ++crash)
    {
        auto& replica = data.at(1 + crash % 2);
        if (!is_calm)
            data.crash(replica);
        std::this_thread::sleep_for(down_time);
        if (!is_calm)
            data.start(replica);
        std::this_thread::sleep_for(up_time);
    }
    ends = true;
    {
        const std::lock_guard lock(mutex);
        for (const auto& who : open_callers)
            who->abandon();
    }
    for (auto& thread : threads)
        thread.join();
    beats.join();
    out.line(std::to_string(served) + " statements served, " +
             std::to_string(malformed) + " refused as malformed, " +
             std::to_string(broken) +
             " ran inside another transaction or outside their own");
    std::fflush(nullptr);
    // The stand-ins' threads end with the process.
    fleet.~hosts();
    if (served < least_served)
        std::_Exit(2);
    std::_Exit(broken > 0 ? 1 : 0);
}
