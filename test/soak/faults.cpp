#include "faults.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <csignal>

namespace magnoliastack::soak
{
namespace
{

constexpr std::size_t largest_overlap = 4;
constexpr std::size_t kinds_of_each = 5;
constexpr std::chrono::milliseconds usual_work_time{4};
// Fills the slots of the endpoints that are left.
constexpr std::chrono::milliseconds work_time_in_burst{16};

const char* const domains[] = {"d0", "d1", "d2"};
// The bound of an evacuation with some time to spare.
constexpr std::chrono::milliseconds judged_time{5500};
// The time of contact, after which configurations are judged, and some more.
constexpr std::chrono::milliseconds judged_after_contact{6500};

std::function<void()> nothing()
{
    return [] {};
}

// Crashes endpoints and starts them again, by turns, until its end.
class crashes_by_turns : public std::enable_shared_from_this<crashes_by_turns>
{
public:
    crashes_by_turns(asio::io_context& loop, std::mt19937& random,
                     std::vector<endpoint*> hit)
        : m_timer(loop), m_random(random), m_hit(std::move(hit))
    {
    }

    void turn()
    {
        for (endpoint* item : m_hit)
            if (item->runs())
                item->crash();
            else
                item->start();
        m_timer.expires_after(
            std::chrono::milliseconds(200 + m_random() % 900));
        m_timer.async_wait(
            [self = shared_from_this()](boost::system::error_code failed)
            {
                if (!failed && !self->m_ended)
                    self->turn();
            });
    }

    void end()
    {
        m_ended = true;
        m_timer.cancel();
        for (endpoint* item : m_hit)
            item->start();
    }

private:
    asio::steady_timer m_timer;
    std::mt19937& m_random;
    std::vector<endpoint*> m_hit;
    bool m_ended = false;
};

} // namespace

fault_plan::fault_plan(world& where, std::mt19937& random)
    : m_world(where), m_random(random)
{
}

std::size_t fault_plan::draw(std::size_t below)
{
    return m_random() % below;
}

void fault_plan::tick()
{
    const auto now = clock::now();
    for (std::size_t at = 0; at < m_running.size();)
    {
        if (now < m_running[at].m_until)
        {
            ++at;
            continue;
        }
        auto ended = std::move(m_running[at]);
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(at));
        ended.m_undo();
        if (ended.m_store)
            m_world.store_disturbed();
    }
    for (const auto& item : m_running)
        if (item.m_store)
            m_world.store_disturbed();
    change_evacuation();
    if (now < m_next || m_running.size() >= largest_overlap)
        return;
    m_next = now + std::chrono::milliseconds(150 + draw(1200));
    begin();
}

void fault_plan::stop()
{
    for (auto& item : std::exchange(m_running, {}))
    {
        item.m_undo();
        if (item.m_store)
            m_world.store_disturbed();
    }
    if (!m_evacuated.empty())
    {
        m_world.m_judge.evacuation_cancelled(m_evacuated);
        m_world.m_store->cancel_evacuation(m_evacuated);
        m_evacuated.clear();
    }
}

// At random moments the operator evacuates a domain and cancels the evacuation.
// After every second evacuation the store is left in peace for the bound.
void fault_plan::change_evacuation()
{
    const auto now = clock::now();
    if (now < m_next_evacuation)
        return;
    m_next_evacuation = now + std::chrono::milliseconds(1000 + draw(14'000));
    if (!m_evacuated.empty())
    {
        std::printf("evacuation of %s cancelled\n", m_evacuated.c_str());
        m_world.m_judge.evacuation_cancelled(m_evacuated);
        m_world.m_store->cancel_evacuation(m_evacuated);
        m_evacuated.clear();
        return;
    }
    m_evacuated = domains[draw(3)];
    if (draw(2) == 0)
        m_store_quiet_until = now + judged_time;
    std::printf("evacuation of %s\n", m_evacuated.c_str());
    m_world.m_store->evacuate(m_evacuated);
    m_world.m_judge.evacuated(m_evacuated);
}

// Every now and then all hosts lose the store, the keys change as it comes
// back, and it is left in peace until hosts that still use the old ones are
// found.
bool fault_plan::begin_outage()
{
    const auto now = clock::now();
    const bool is_store_calm = now >= m_store_quiet_until &&
                               std::none_of(m_running.begin(), m_running.end(),
                                            [](const running_fault& item)
                                            {
                                                return item.m_store;
                                            });
    if (now < m_next_outage || !is_store_calm)
        return false;
    m_next_outage = now + std::chrono::milliseconds(12'000 + draw(6000));
    store& where = *m_world.m_store;
    const std::size_t hosts = m_world.m_hosts.size();
    for (std::size_t host = 0; host < hosts; ++host)
        where.set_mood(host, store_mood::silent);
    const auto length = std::chrono::milliseconds(1500 + draw(5500));
    std::printf("outage of the store for %lld ms\n",
                static_cast<long long>(length.count()));
    const auto undo = [this, &where, hosts]
    {
        m_world.change_keys();
        for (std::size_t host = 0; host < hosts; ++host)
            where.set_mood(host, store_mood::serving);
    };
    m_running.push_back({"outage of the store", now + length, undo, true});
    m_store_quiet_until = now + length + judged_after_contact;
    return true;
}

void fault_plan::begin()
{
    if (begin_outage())
        return;
    std::string name;
    std::function<void()> undo;
    const std::size_t kind = draw(kinds_of_each);
    const std::size_t about = draw(7);
    // The last kind of a host's faults is a pause.
    const bool of_store =
        about == 1 || about == 2 || (about == 0 && kind + 1 == kinds_of_each);
    const auto now = clock::now();
    if (of_store && (now < m_store_quiet_until || now >= m_next_outage))
        return;
    switch (about)
    {
    case 0:
        undo = begin_on_host(kind, name);
        break;
    case 1:
        undo = begin_on_ways(kind, name);
        break;
    case 2:
        undo = begin_on_store(kind, name);
        break;
    case 3:
        undo = begin_on_endpoint(kind, name);
        break;
    case 4:
        undo = begin_on_commits(kind, name);
        break;
    case 5:
        undo = begin_burst(kind, name);
        break;
    default:
        undo = change_something(kind, name);
        break;
    }
    const auto length = std::chrono::milliseconds(200 + draw(5000));
    std::printf("fault %s for %lld ms\n", name.c_str(),
                static_cast<long long>(length.count()));
    m_running.push_back(
        {name, clock::now() + length, std::move(undo), of_store});
}

std::function<void()> fault_plan::begin_on_host(std::size_t kind,
                                                std::string& name)
{
    const std::size_t host = draw(m_world.m_hosts.size());
    name = absl::StrCat("h", host);
    world& where = m_world;
    const auto start = [&where, host]
    {
        where.start_host(host);
    };
    switch (kind)
    {
    case 0:
        name += " killed";
        m_world.kill_host(host);
        return start;
    case 1:
        name += " stopped";
        m_world.stop_host(host);
        return start;
    case 2:
        name = "all hosts killed";
        for (std::size_t each = 0; each < m_world.m_hosts.size(); ++each)
            m_world.kill_host(each);
        return [&where]
        {
            for (std::size_t each = 0; each < where.m_hosts.size(); ++each)
                where.start_host(each);
        };
    case 3:
        name += " told to reload";
        if (m_world.m_hosts[host].m_process)
            m_world.m_hosts[host].m_process->signal(SIGHUP);
        return nothing();
    default:
        name += " paused";
        m_world.pause_host(host);
        return [&where, host]
        {
            where.resume_host(host);
        };
    }
}

std::function<void()> fault_plan::begin_on_ways(std::size_t kind,
                                                std::string& name)
{
    entry_host& host = m_world.m_hosts[draw(m_world.m_hosts.size())];
    std::vector<tcp_relay*> ways{host.m_to_store.get()};
    for (const auto& item : host.m_to_endpoints)
        ways.push_back(item.get());
    if (draw(2) == 0)
        ways = {ways[draw(ways.size())]};
    else
        ways.push_back(host.m_streams_from_peers.get());
    name = absl::StrCat(host.m_name, " ", ways.size(), " ways");
    link_state state;
    switch (kind)
    {
    case 0:
        name += " reset";
        for (auto* way : ways)
            way->reset();
        host.m_from_callers->reset();
        return nothing();
    case 1:
        name += " silent";
        for (auto* way : ways)
            way->silence();
        return nothing();
    case 2:
        name += " cut one way";
        state.m_cut_back = true;
        break;
    case 3:
        name += " cut, and from peers";
        state.m_cut_forward = true;
        state.m_cut_back = true;
        host.m_peers_cut = true;
        break;
    default:
        name += " slow";
        state.m_delay = std::chrono::milliseconds(20 + draw(150));
        break;
    }
    for (auto* way : ways)
        way->set(state);
    return [&host, ways]
    {
        host.m_peers_cut = false;
        for (auto* way : ways)
            way->set({});
    };
}

std::function<void()> fault_plan::begin_on_store(std::size_t kind,
                                                 std::string& name)
{
    store& where = *m_world.m_store;
    const std::size_t hosts = m_world.m_hosts.size();
    const std::size_t first = draw(2) == 0 ? 0 : draw(hosts);
    const store_mood moods[] = {store_mood::silent, store_mood::busy,
                                store_mood::reset};
    if (kind < 3)
    {
        name =
            absl::StrCat("store away for hosts from ", first, ", way ", kind);
        for (std::size_t host = first; host < hosts; ++host)
            where.set_mood(host, moods[kind]);
        // An outage for all may be one from which the store comes back with
        // less than it had.
        const std::chrono::milliseconds age(200 + draw(8000));
        const bool returns = first == 0 && draw(2) == 0;
        if (returns)
            absl::StrAppend(&name, ", back from a copy ", age.count(),
                            " ms old");
        return [&where, hosts, returns, age]
        {
            if (returns)
                where.come_back(age);
            for (std::size_t host = 0; host < hosts; ++host)
                where.set_mood(host, store_mood::serving);
        };
    }
    name = kind == 3 ? "store slow" : "store loses answers";
    if (kind == 3)
        where.m_slowness = std::chrono::milliseconds(50 + draw(300));
    else
    {
        where.m_lost_part = 0.3;
        where.m_late_part = 0.2;
    }
    return [&where]
    {
        where.m_slowness = {};
        where.m_lost_part = 0;
        where.m_late_part = 0;
    };
}

std::function<void()> fault_plan::begin_on_endpoint(std::size_t kind,
                                                    std::string& name)
{
    group& where = *m_world.m_groups[draw(m_world.m_groups.size())];
    endpoint& hit = draw(2) == 0
                        ? where.leader()
                        : *where.endpoints()[draw(where.endpoints().size())];
    name = hit.id();
    switch (kind)
    {
    case 0:
    case 1:
        name += " crashed";
        hit.crash();
        return [&hit]
        {
            hit.start();
        };
    case 2:
        name += " cut from its group";
        hit.m_isolated = true;
        return [&hit]
        {
            hit.m_isolated = false;
        };
    case 3:
        name += " shows its log late";
        hit.m_lag = std::chrono::milliseconds(1500);
        return [&hit]
        {
            hit.m_lag = std::chrono::milliseconds(20);
        };
    default:
        name += " leaving";
        hit.m_leaving = true;
        // Its process ends; another one starts under the same name.
        return [&hit]
        {
            hit.crash();
            hit.m_leaving = false;
            hit.start();
        };
    }
}

// One replica of a group with synchronous replicas receives nothing, so the
// other one has the acknowledged commits; something hides it, and the primary
// crashes a while later.
std::function<void()> fault_plan::begin_on_commits(std::size_t kind,
                                                   std::string& name)
{
    std::vector<group*> groups;
    for (const auto& item : m_world.m_groups)
        if (item->sync_replicas() > 0)
            groups.push_back(item.get());
    if (groups.empty())
    {
        name = "nothing";
        return nothing();
    }
    group& where = *groups[draw(groups.size())];
    std::vector<endpoint*> replicas;
    for (const auto& item : where.endpoints())
        if (item.get() != &where.leader())
            replicas.push_back(item.get());
    const std::size_t first = draw(replicas.size());
    endpoint& deaf = *replicas[first];
    endpoint& other = *replicas[(first + 1) % replicas.size()];
    name = deaf.id() + " receives nothing, " + other.id();
    deaf.m_deaf = true;
    if (kind == 0)
        name += " has no free slot";
    else if (kind == 1)
        name += " drains";
    else if (kind == 2)
        name += " crashes for a while";
    else
        name += " serves";
    other.m_has_no_slot = kind == 0;
    other.m_leaving = kind == 1;
    const auto crashed = std::make_shared<endpoint*>(nullptr);
    const auto timer = std::make_shared<asio::steady_timer>(m_world.m_loop);
    timer->expires_after(std::chrono::milliseconds(200 + draw(1500)));
    timer->async_wait(
        [crashed, timer, &where, &other, kind](boost::system::error_code failed)
        {
            if (failed)
                return;
            if (&where.leader() != &other)
                *crashed = &where.leader();
            if (*crashed != nullptr)
                (*crashed)->crash();
            if (kind == 2)
                other.crash();
        });
    return [crashed, timer, &deaf, &other]
    {
        timer->cancel();
        deaf.m_deaf = false;
        other.m_has_no_slot = false;
        if (other.m_leaving)
            other.crash();
        other.m_leaving = false;
        other.start();
        if (*crashed != nullptr)
            (*crashed)->start();
    };
}

// Replicas crash and return by turns while callers ask without a pause, so that
// statements wait for an endpoint in the moment in which it is back.
std::function<void()> fault_plan::begin_burst(std::size_t kind,
                                              std::string& name)
{
    std::vector<endpoint*> hit;
    for (const auto& item : m_world.m_groups)
        for (const auto& each : item->endpoints())
            if (each.get() != &item->leader())
                hit.push_back(each.get());
    // A part of the replicas, or all of them.
    if (kind < 3)
        hit = {hit[draw(hit.size())]};
    name = absl::StrCat("burst with ", hit.size(), " replicas down by turns");
    const auto turns =
        std::make_shared<crashes_by_turns>(m_world.m_loop, m_random, hit);
    turns->turn();
    world& where = m_world;
    const auto set_work_time = [&where](std::chrono::milliseconds time)
    {
        for (const auto& item : where.m_groups)
            for (const auto& each : item->endpoints())
                each->m_work_time = time;
    };
    ++where.m_callers->m_bursts;
    set_work_time(work_time_in_burst);
    return [turns, set_work_time, &where]
    {
        turns->end();
        if (--where.m_callers->m_bursts == 0)
            set_work_time(usual_work_time);
    };
}

std::function<void()> fault_plan::change_something(std::size_t kind,
                                                   std::string& name)
{
    world& where = m_world;
    if (kind < 2)
    {
        name = "keys changed";
        m_world.change_keys();
        return nothing();
    }
    name = "rates lowered";
    m_world.change_rates(0.5);
    return [&where]
    {
        where.change_rates(1);
    };
}

} // namespace magnoliastack::soak
