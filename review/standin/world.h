// A small deployment like Muscat's: its zones, machines, databases and bounds.
#ifndef REVIEW_STANDIN_WORLD_H
#define REVIEW_STANDIN_WORLD_H

#include "client.h"

namespace review
{

struct world
{
    world(const std::string& record_path, const std::string& folder,
          const std::vector<std::string>& databases)
        : m_record(record_path), m_store(m_loop, m_record),
          m_duties(m_loop, m_record,
                   [this](const std::string& name, const std::string& id)
                   {
                       for (const auto& item : m_services)
                           if (item->m_name == name)
                               return item->promote(id);
                       return false;
                   })
    {
        for (const auto& name : databases)
        {
            m_services.push_back(
                std::make_unique<service>(m_loop, m_record, name));
            service& added = *m_services.back();
            added.add("i-" + name + "-1", "sohar", true);
            added.add("i-" + name + "-2", "barka", false);
            added.add("i-" + name + "-3", "seeb", false);
        }
        json all = {{"version", 7},
                    {"routes", json::array()},
                    {"services", json::array()},
                    {"limits", {{"tx_idle_ms", 5000}}},
                    {"tenants",
                     {{{"name", "souq"},
                       {"api_keys", {"u3f1"}},
                       {"rate_per_s", 400},
                       {"burst", 400}}}}};
        for (const auto& item : m_services)
        {
            all["routes"].push_back({{"name", "settle-" + item->m_name},
                                     {"host", "settle-" + item->m_name},
                                     {"kind", "primary"},
                                     {"timeout_ms", 1000},
                                     {"slo_ms", 200},
                                     {"priority", 1},
                                     {"service", item->m_name}});
            all["services"].push_back(
                {{"name", item->m_name}, {"max_conns", 21}});
        }
        m_store.put("op", "config", all.dump());
        publish();
        const std::vector<std::string> zones = {"sohar", "barka", "seeb",
                                                "suwaiq"};
        const std::vector<std::pair<std::string, int>> machines = {
            {"sohar", 3}, {"barka", 2}, {"seeb", 1}, {"suwaiq", 2}};
        for (const auto& [zone, count] : machines)
            for (int number = 1; number <= count; ++number)
            {
                m_to_store.push_back(
                    std::make_unique<link>(m_loop, m_store.port()));
                m_to_duties.push_back(
                    std::make_unique<link>(m_loop, m_duties.port()));
                m_hosts.push_back(std::make_unique<entry_process>(
                    "front-" + zone + "-" + std::to_string(number), zone,
                    folder, m_to_store.back()->port(),
                    m_to_duties.back()->port(), zones));
            }
    }

    // Each backend's entry in the store, where it has changed.
    void publish()
    {
        for (const auto& item : m_services)
            for (const auto& each : item->m_backends)
            {
                const std::string now = each->entry().dump();
                if (std::exchange(m_entries[each->id()], now) != now)
                    m_store.put("servers", each->id(), now);
            }
    }

    bool start()
    {
        for (const auto& host : m_hosts)
            if (!host->start())
                return false;
        return true;
    }

    [[nodiscard]] std::size_t place_of(const std::string& host) const
    {
        for (std::size_t index = 0; index < m_hosts.size(); ++index)
            if (m_hosts[index]->m_id == host)
                return index;
        return m_hosts.size();
    }

    [[nodiscard]] service& database(const std::string& name)
    {
        for (const auto& item : m_services)
            if (item->m_name == name)
                return *item;
        std::abort();
    }

    // Runs until the condition holds; false when it does not in time.
    bool run(std::chrono::milliseconds limit, const std::function<bool()>& done)
    {
        const auto end = clock::now() + limit;
        while (clock::now() < end)
        {
            if (done())
                return true;
            m_loop.run_for(ms(2));
            for (const auto& item : m_services)
                item->tick();
            publish();
        }
        return done();
    }

    void run(std::chrono::milliseconds span)
    {
        run(span,
            []
            {
                return false;
            });
    }

    // False when a process of the system has ended by itself.
    bool all_run()
    {
        for (const auto& host : m_hosts)
            if (!host->runs())
                return false;
        return true;
    }

    asio::io_context m_loop;
    record m_record;
    store m_store;
    duty_service m_duties;
    std::vector<std::unique_ptr<service>> m_services;
    std::map<std::string, std::string> m_entries;
    std::vector<std::unique_ptr<link>> m_to_store;
    std::vector<std::unique_ptr<link>> m_to_duties;
    std::vector<std::unique_ptr<entry_process>> m_hosts;
};

} // namespace review

#endif
