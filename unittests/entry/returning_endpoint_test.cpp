// An endpoint that was lost answers again while statements wait for it.
#include "driver.hpp"

#include <criterion/criterion.h>

using namespace entry_test;
using rpc::statement_kind;
using rpc::transaction_state;
using action = rpc::endpoint_request::action;

namespace
{

// One host that tries a lost replica, e1, while the connections that it opens
// to the other endpoints are not open yet, so that further work waits.
struct returning_fixture : fleet_fixture
{
    driver m_driver{host(0)};

    // `connections` is the limit of an endpoint; the host keeps three fifths.
    explicit returning_fixture(std::uint32_t connections) : fleet_fixture(1)
    {
        auto config = std::make_shared<catalogue::configuration>(
            *m_platform.m_configuration);
        config->m_version = base::configuration_version(2);
        const base::group_id group("g");
        config->m_groups[group].m_max_connections = connections;
        const base::organisation_id other("wharf");
        config->m_keys["key-2"] = other;
        config->m_organisations[other] = {other, 1000, 1000};
        m_platform.configure(config);
        run(absl::Seconds(1));
        show_log_end();
        lose_replica();
    }

    // Reads on the bounded route may go to replicas after that.
    void show_log_end()
    {
        m_driver.start(1, "settle");
        m_driver.say(1, statement_kind::read, "READ x");
        m_driver.succeed(*m_driver.next_statement());
        m_driver.take_answers(1);
        run(absl::Milliseconds(300));
    }

    // Afterwards one connection to e1 is opening.
    void lose_replica()
    {
        auto& runner = host(0).m_host.runner();
        runner.request_report(
            base::endpoint_id("e1"), [](const auto& /*report*/) {},
            m_clock.now());
        for (const auto number :
             std::exchange(host(0).m_endpoints.m_opening, {}))
            host(0).m_host.endpoints().connection_closed(number, true);
        run(absl::Milliseconds(450));
        m_probe = opening_at("e1");
        cr_assert(m_probe.has_value(), "the lost replica is not tried");
    }

    std::optional<base::connection_generation> opening_at(const char* endpoint)
    {
        for (const auto number : host(0).m_endpoints.m_opening)
            if (host(0).m_endpoints.m_open.at(number).m_endpoint.str() ==
                endpoint)
                return number;
        return std::nullopt;
    }

    // The lost replica answers on the connection that tried it.
    void replica_returns()
    {
        std::erase(host(0).m_endpoints.m_opening, *m_probe);
        host(0).m_host.endpoints().opened(*m_probe, point(1, 100));
    }

    // Takes the place of the connections that may open at e0 and e2, with
    // sessions 11 and on.
    void occupy_others()
    {
        for (std::uint64_t session = 11; session <= 13; ++session)
        {
            m_driver.start(session, "stock");
            m_driver.say(session, statement_kind::read, "READ a");
        }
    }

    // Requests on the connection that tried the lost replica.
    std::size_t count_requests(action which) const
    {
        const auto& requests = m_hosts[0]->m_endpoints.m_requests;
        return static_cast<std::size_t>(
            std::count_if(requests.begin(), requests.end(),
                          [this, which](const auto& item)
                          {
                              return item.m_connection == *m_probe &&
                                     item.m_request.m_action == which;
                          }));
    }

    std::optional<base::connection_generation> m_probe;
};

} // namespace

// review/11 (PINNED): a waiting transaction was begun twice on the connection
// that tried the endpoint. The refusal of the second begin made the host take
// the transaction for not begun and hand the connection to another caller.
Test(returning_endpoint, begins_a_waiting_transaction_once)
{
    returning_fixture f(30);
    f.occupy_others();
    f.m_driver.start(2, "stock");
    f.m_driver.say(2, statement_kind::begin_read_only, "BEGIN READ");
    f.m_driver.say(2, statement_kind::read, "READ a");
    f.replica_returns();
    cr_assert_eq(f.count_requests(action::begin_read_only), 1);
}

// The waiting statement of another organisation closed the connection that was
// being handled. The host then used freed memory and took away the owner of the
// connection that was opened in its place, so that the statement was neither
// answered nor ended by its deadline.
Test(returning_endpoint, answers_a_waiting_statement_of_another_organisation)
{
    returning_fixture f(2);
    f.occupy_others();
    f.m_driver.start(2, "stock", "key-2");
    f.m_driver.say(2, statement_kind::read, "READ b");
    f.replica_returns();
    f.m_driver.accept();
    f.run(absl::Seconds(2));
    const auto answers = f.m_driver.take_answers(2);
    cr_assert_eq(answers.size(), 3, "no answer after the deadline");
}
