// Statements whose route or organisation has home regions.
#include "driver.hpp"

#include <criterion/criterion.h>

using namespace entry_test;

namespace
{

using entry::home_regions;
using entry::region_map;
using rpc::statement_kind;

const base::region_id north("north");
const base::region_id south("south");
const base::region_id west("west");

base::failure_domain_id domain(const std::string& name)
{
    return base::failure_domain_id(name);
}

region_map regions()
{
    return {
        north,
        {{domain("d0"), north}, {domain("d1"), south}, {domain("d2"), west}}};
}

// One host in the region of d0, with an endpoint in each of three regions; the
// primary is in d0.
struct regions_fixture : fleet_fixture
{
    regions_fixture() : fleet_fixture(0)
    {
        for (std::size_t index = 0; index < 3; ++index)
            m_platform.m_entries[index].m_failure_domain =
                domain("d" + std::to_string(index));
        auto options = fake_host::options("h0", "h0:1", 1, domain("d0"));
        options.m_runner.m_regions = regions();
        m_hosts.push_back(std::make_unique<fake_host>(std::move(options),
                                                      m_platform, m_clock));
        run(absl::Seconds(2));
        // The primary shows the end of its log, so that replicas may be read.
        m_driver.emplace(host(0));
        m_driver->start(1, "stock");
        write(1);
    }

    void set_homes(const std::set<base::region_id>& route,
                   const std::set<base::region_id>& organisation)
    {
        auto changed = std::make_shared<catalogue::configuration>(
            *m_platform.m_configuration);
        changed->m_version =
            base::configuration_version(changed->m_version.value() + 1);
        for (auto& [name, item] : changed->m_routes)
            item.m_home_regions = route;
        for (auto& [name, item] : changed->m_organisations)
            item.m_home_regions = organisation;
        m_platform.configure(changed);
        run(absl::Milliseconds(500));
    }

    // The endpoint that ran it; empty when it was refused.
    std::string run_statement(std::uint64_t session, statement_kind kind)
    {
        m_driver->say(session, kind, "text");
        const auto request = m_driver->next_statement();
        if (!request)
            return "";
        auto endpoint = m_driver->endpoint_of(*request);
        m_driver->succeed(*request);
        return endpoint;
    }
    std::string write(std::uint64_t session)
    {
        return run_statement(session, statement_kind::write);
    }
    std::string read(std::uint64_t session)
    {
        return run_statement(session, statement_kind::read);
    }

    std::optional<driver> m_driver;
};

} // namespace

// With only one of the two sets applied, an organisation's data would be used
// outside its own regions.
Test(home_regions, route_and_organisation_both_apply)
{
    const region_map map = regions();
    cr_assert(map.may_serve(domain("d1"), {}));
    cr_assert(map.may_serve(domain("d1"), {{south}, {}}));
    cr_assert_not(map.may_serve(domain("d0"), {{south}, {}}));
    cr_assert(map.may_serve(domain("d1"), {{}, {south, west}}));
    cr_assert(map.may_serve(domain("d1"), {{north, south}, {south, west}}));
    cr_assert_not(map.may_serve(domain("d0"), {{north, south}, {south, west}}));
    cr_assert_not(map.may_serve(domain("d0"), {{north}, {south}}));
}

// An endpoint of a domain that the settings do not name could be anywhere.
Test(home_regions, an_unknown_domain_serves_only_what_has_no_homes)
{
    cr_assert(regions().may_serve(domain("other"), {}));
    cr_assert_not(regions().may_serve(domain("other"), {{north}, {}}));
    cr_assert_not(region_map().may_serve(domain("d0"), {{north}, {}}));
    cr_assert_not(regions().may_forward(domain("other"), {{north}, {}}));
}

// A statement passes only through home regions and the region that its caller
// has chosen itself.
Test(home_regions, hosts_elsewhere_are_forwarded_nothing)
{
    const region_map map = regions();
    cr_assert(map.may_forward(domain("d2"), {}));
    cr_assert(map.may_forward(domain("d0"), {{south}, {}}));
    cr_assert(map.may_forward(domain("d1"), {{south}, {}}));
    cr_assert_not(map.may_forward(domain("d2"), {{south}, {}}));
}

// A read must not leave its homes for a nearer endpoint.
Test(home_regions, reads_run_only_in_their_homes)
{
    regions_fixture fleet;
    fleet.set_homes({south}, {});
    for (int count = 0; count < 10; ++count)
        cr_assert_eq(fleet.read(1), "e1");
    fleet.set_homes({south, west}, {west, north});
    for (int count = 0; count < 10; ++count)
        cr_assert_eq(fleet.read(1), "e2");
    fleet.set_homes({}, {north});
    for (int count = 0; count < 10; ++count)
        cr_assert_eq(fleet.read(1), "e0");
}

// A write at a primary elsewhere would store the organisation's data there.
Test(home_regions,
     a_primary_elsewhere_is_not_used_and_the_refusal_comes_at_once)
{
    regions_fixture fleet;
    fleet.set_homes({south}, {});
    fleet.m_driver->take_answers(1);
    cr_assert_eq(fleet.write(1), "");
    cr_assert(fleet.m_driver->was_answered(1, "err busy"));
    cr_assert_eq(
        fleet.host(0).m_metrics.counter("refused.home_regions").value(), 1);
    fleet.set_homes({north}, {});
    cr_assert_eq(fleet.write(1), "e0");
}

// Homes without a common region leave no endpoint; waiting would not help.
Test(home_regions, an_empty_intersection_is_refused_at_once)
{
    regions_fixture fleet;
    fleet.set_homes({north}, {south});
    fleet.m_driver->take_answers(1);
    cr_assert_eq(fleet.read(1), "");
    cr_assert(fleet.m_driver->was_answered(1, "err busy"));
}

// The first statement of a transaction chooses the endpoint for all of them, so
// it has to respect the home regions too.
Test(home_regions, a_transaction_stays_in_its_homes)
{
    regions_fixture fleet;
    fleet.set_homes({}, {north});
    fleet.m_driver->say(1, statement_kind::begin, "BEGIN");
    fleet.m_driver->say(1, statement_kind::write, "WRITE");
    const auto request = fleet.m_driver->next_statement();
    cr_assert(request.has_value());
    cr_assert_eq(fleet.m_driver->endpoint_of(*request), "e0");
}
