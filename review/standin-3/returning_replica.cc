// Replicas of a service crash and come back while many callers come at once.
// TROUBLE=0 leaves the crashes and the bursts out.
#include "world.h"

#include <set>

using namespace review;

namespace
{

constexpr int host_count = 8;
constexpr int tenants = 8;
// The first tenant is a large one. In a burst a host has 20 sessions instead of
// 12.
constexpr int sessions_of_large = 5;
constexpr int sessions_of_small = 1;
constexpr int more_of_large = 4;
constexpr int more_of_small = 1;
constexpr int small_with_more = 4;
constexpr int crashes = 17;
constexpr milliseconds down_time{2500};
constexpr milliseconds burst_time{3500};
constexpr milliseconds rest_time{2000};
constexpr milliseconds heartbeat{1200};
// Fewer mean that the deployment did not work.
constexpr int least_served = 1000;
// Transactions in a hundred operations.
constexpr int transactions = 12;

std::atomic<bool> ends = false;
std::atomic<bool> bursts = false;
std::atomic<int> last_id = 0;
std::atomic<int> last_transaction = 0;
std::atomic<int> served = 0;
std::mutex mutex;
std::vector<std::shared_ptr<caller>> open_callers;
// Which caller sent a statement, and in which transaction of its own; 0 is a
// single statement.
struct origin
{
    std::string m_caller;
    int m_transaction = 0;
};
std::map<std::string, origin> origin_of;
// When the callers' newest transactions ended; later than now while one is
// open.
std::map<std::string, clock::time_point> ended_at;
// The callers whose statements ran in a backend's transaction.
std::map<std::uint64_t, std::set<std::string>> ran_in;
int broken = 0;

caller::answer ask(caller& who, const origin& from, const std::string& text)
{
    char id[32];
    std::snprintf(id, sizeof id, "%016x", ++last_id);
    {
        const std::lock_guard lock(mutex);
        origin_of[id] = from;
    }
    auto answer = who.query(id, text);
    served += !answer.m_ended && answer.m_error.empty();
    return answer;
}

// PINNED: a statement runs inside another client's transaction, or outside its
// own. The transaction that a single statement runs in is another client's when
// the statement's client had none open since it was begun.
void judge(const std::string& id, const database::transaction& inside,
           record& out)
{
    const std::lock_guard lock(mutex);
    const origin& from = origin_of.at(id);
    std::string what;
    if (from.m_transaction == 0 && inside.m_number != 0 &&
        ended_at[from.m_caller] < inside.m_begun)
        what = "a single statement, ran inside another client's transaction";
    else if (from.m_transaction != 0 && inside.m_number == 0)
        what = "a statement of a transaction, ran outside of it";
    else if (from.m_transaction != 0)
    {
        auto& callers = ran_in[inside.m_number];
        callers.insert(from.m_caller);
        if (callers.size() > 1)
            what = "ran inside another client's transaction";
    }
    if (what.empty())
        return;
    ++broken;
    out.line("PINNED: " + id + " of " + from.m_caller + ", " + what + " (" +
             std::to_string(inside.m_number) + " of the backend)");
}

void pause(std::mt19937& random, int from, int to)
{
    sleep_ms(std::uniform_int_distribution<int>(from, to)(random));
}

// False when the connection has ended.
bool run_transaction(caller& who, const std::string& name, std::mt19937& random)
{
    const origin from{name, ++last_transaction};
    const auto set_end = [&name](clock::time_point when)
    {
        const std::lock_guard lock(mutex);
        ended_at[name] = when;
    };
    set_end(clock::time_point::max());
    caller::answer answer;
    for (const char* text : {"BEGIN READ", "READ 1a4", "READ 1a5", "COMMIT"})
    {
        answer = ask(who, from, text);
        if (answer.m_ended || answer.m_state != 'T')
            break;
        pause(random, 5, 60);
    }
    if (!answer.m_ended && answer.m_state == 'E')
        answer = ask(who, from, "ROLLBACK");
    set_end(clock::now());
    return !answer.m_ended;
}

void run_caller(const hosts& fleet, int host, int tenant, int number,
                bool only_in_bursts, record& out)
{
    std::mt19937 random(host * 1000 + tenant * 100 + number);
    const auto goes = [only_in_bursts]
    {
        return !ends && (!only_in_bursts || bursts);
    };
    while (!ends)
    {
        if (!goes())
        {
            sleep_ms(10);
            continue;
        }
        const std::string name = "caller " + std::to_string(host) + "." +
                                 std::to_string(tenant) + "." +
                                 std::to_string(number);
        auto who = std::make_shared<caller>(fleet.callers(host), name, out);
        {
            const std::lock_guard lock(mutex);
            open_callers.push_back(who);
        }
        bool is_open = who->start("stock", "key" + std::to_string(tenant));
        while (is_open && goes())
        {
            const bool begins = std::uniform_int_distribution<int>(0, 99)(
                                    random) < transactions;
            is_open = begins ? run_transaction(*who, name, random)
                             : !ask(*who, {name, 0}, "READ 1a4").m_ended;
            pause(random, 370, 1000);
        }
        who->abandon();
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
    database data({"inlay-ledger", 3, 3, 24, 60}, rows, out);
    data.on_run(
        [&out](const std::string& id, const database::transaction& inside)
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
        {
            const int usual =
                tenant == 0 ? sessions_of_large : sessions_of_small;
            const int more = tenant == 0                 ? more_of_large
                             : tenant <= small_with_more ? more_of_small
                                                         : 0;
            for (int number = 0; number < usual + more; ++number)
                threads.emplace_back(
                    [&fleet, host, tenant, number, usual, &out]
                    {
                        run_caller(fleet, host, tenant, number, number >= usual,
                                   out);
                    });
        }
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
        bursts = !is_calm;
        if (!is_calm)
            data.crash(replica);
        sleep_ms(down_time.count());
        if (!is_calm)
            data.start(replica);
        sleep_ms((burst_time - down_time).count());
        bursts = false;
        sleep_ms(rest_time.count());
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
             std::to_string(broken) +
             " ran inside another transaction or outside their own");
    std::fflush(nullptr);
    // The stand-ins' threads end with the process.
    fleet.~hosts();
    if (served < least_served)
        std::_Exit(2);
    std::_Exit(broken > 0 ? 1 : 0);
}
