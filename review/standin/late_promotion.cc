// A machine is cut off from the platform while it replaces a primary.
#include "scenarios.h"

#include "world.h"

namespace review
{
namespace
{

// The longest cut of a machine from the store in the site's days (core_cut).
constexpr ms cut_time{5500};
// A backend that leaves is followed by the next one (release).
constexpr ms release_gap{2000};
// Pause of a client between two statements of a transaction.
constexpr ms think_time{100};
// The cut begins this long after the machine's claim has been answered; the
// other machines are still ending their transactions then.
constexpr ms cut_after_claim{40};

const std::string first = "davo14a";
const std::string second = "gowu98c";

// Replaces a backend as a release does: the new one is there first.
void release(world& all, const std::string& database, const std::string& id,
             const std::string& fresh, const std::string& zone)
{
    service& where = all.database(database);
    where.add(fresh, zone, false);
    where.find(id)->m_draining = true;
    all.publish();
    all.m_record.line("release " + database + ": " + fresh + " is there, " +
                      id + " is draining");
}

} // namespace

int late_promotion(const std::string& record_path, const std::string& folder,
                   bool trouble)
{
    world all(record_path, folder, {first, second});
    record& log = all.m_record;
    if (!all.start())
        return could_not_run;

    std::string holder_of_first;
    bool first_is_done = false;
    std::string holder_of_second;
    bool claimed = false;
    all.m_store.m_on_write = [&](const std::string& key, const json& value)
    {
        if (!key.starts_with("group/"))
            return;
        log.line("row " + key + " " + value.dump());
        const bool moving = value.value("phase", "") == "moving";
        if (key == "group/" + first)
        {
            holder_of_first = value.value("holder", "");
            first_is_done = first_is_done || !moving;
        }
        else if (moving && !claimed)
        {
            claimed = true;
            holder_of_second = value.value("holder", "");
        }
    };

    std::vector<std::unique_ptr<client>> clients;
    std::map<std::string, double> acknowledged;
    const auto add_client =
        [&](std::size_t host, const std::string& database, bool transactions)
    {
        const auto asked = std::make_shared<std::string>();
        clients.push_back(std::make_unique<client>(
            all.m_loop, log, "c" + std::to_string(clients.size()),
            all.m_hosts[host]->m_callers, "settle-" + database, "u3f1",
            transactions ? think_time : ms(30),
            [transactions, asked](const std::string& id, char state)
            {
                const std::string before = *asked;
                const std::string write = "WRITE 1a4 " + id;
                if (state == 'E')
                    *asked = "ROLLBACK";
                else if (state == 'T')
                    *asked = before == "BEGIN" ? write : "COMMIT";
                else
                    *asked = transactions ? "BEGIN" : write;
                return *asked;
            }));
        clients.back()->m_on_answer =
            [&, transactions](const client::answer& what)
        {
            log.line("client " + what.m_id + " " +
                     what.m_text.substr(0, what.m_text.find(' ')) + " " +
                     (what.m_done ? "DONE " + what.m_signature
                                  : "ERR " + what.m_error));
            if (what.m_done && (!transactions || what.m_text == "COMMIT"))
                acknowledged[what.m_id] = what.m_answered_at;
        };
    };
    for (std::size_t host = 0; host < all.m_hosts.size(); ++host)
    {
        add_client(host, host % 2 == 0 ? second : first, false);
        add_client(host, second, true);
    }

    const bool serving =
        all.run(ms(15000),
                [&]
                {
                    return std::all_of(clients.begin(), clients.end(),
                                       [](const auto& item)
                                       {
                                           return item->m_succeeded > 5;
                                       });
                });
    if (!serving)
    {
        log.line("the system does not serve");
        return could_not_run;
    }
    all.run(ms(4000));

    // Planned work: the databases' backends are replaced.
    release(all, first, "i-" + first + "-1", "i-" + first + "-4", "sohar");
    if (!all.run(ms(12000),
                 [&]
                 {
                     return first_is_done;
                 }))
        return could_not_run;
    release(all, second, "i-" + second + "-1", "i-" + second + "-4", "sohar");
    const auto second_released = clock::now();
    if (!all.run(ms(12000),
                 [&]
                 {
                     return claimed;
                 }))
        return could_not_run;

    all.run(cut_after_claim);
    const std::size_t place = all.place_of(holder_of_second);
    log.line("holder of both: " + holder_of_first + ", " + holder_of_second +
             "; open connections to the duties: " +
             std::to_string(all.m_to_duties[place]->open_connections()));
    if (trouble)
    {
        all.m_to_duties[place]->m_on_held = [&](const std::string& bytes)
        {
            log.line("on its way at " + holder_of_second + ": " +
                     bytes.substr(0, bytes.find('\r')) + " ... " +
                     bytes.substr(bytes.rfind('\n') + 1));
        };
        all.m_to_store[place]->set_cut(true);
        all.m_to_duties[place]->set_cut(true);
        log.line("cut " + holder_of_second + " from the platform");
    }
    const auto cut_at = clock::now();
    bool next_released = false;
    all.run(cut_time,
            [&]
            {
                if (!next_released &&
                    clock::now() - second_released >= release_gap)
                {
                    next_released = true;
                    release(all, second, "i-" + second + "-2",
                            "i-" + second + "-5", "barka");
                }
                return clock::now() - cut_at >= cut_time;
            });
    if (trouble)
    {
        log.line("the cut has healed");
        all.m_to_store[place]->set_cut(false);
        all.m_to_duties[place]->set_cut(false);
    }
    all.run(ms(6000));
    for (const auto& item : clients)
        item->stop();

    // Acknowledged writes that a backend committed after another had been
    // promoted, and acknowledged writes that no present primary has.
    std::size_t at_old = 0;
    std::size_t lost = 0;
    for (const auto& item : all.m_services)
    {
        const backend* primary = nullptr;
        for (const auto& each : item->m_backends)
            if (each->m_primary && each->m_term == item->m_term)
                primary = each.get();
        std::set<commit_ptr> kept;
        if (primary != nullptr)
            kept.insert(primary->m_log.begin(), primary->m_log.end());
        for (const auto& [id, what] : item->m_commits)
        {
            if (!acknowledged.contains(id))
                continue;
            at_old += what->m_after_promote ? 1 : 0;
            lost += kept.contains(what) ? 0 : 1;
            if (what->m_after_promote && at_old == 1)
                log.broken("ONE: " + id + " was committed at " +
                           what->m_backend + " (term " +
                           std::to_string(what->m_term) +
                           ") after another backend had been promoted, and "
                           "acknowledged");
        }
    }
    log.line("acknowledged writes: " + std::to_string(acknowledged.size()) +
             ", committed at an old primary: " + std::to_string(at_old) +
             ", not in the present primary's log: " + std::to_string(lost));
    if (!all.all_run())
        log.broken("FAULT: a process has ended by itself");
    return log.broken_count() > 0 ? rule_broken : rule_held;
}

} // namespace review
