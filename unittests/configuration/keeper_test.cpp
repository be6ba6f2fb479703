#include "magnoliastack/configuration/keeper.hpp"

#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace base = magnoliastack::base;
namespace configuration = magnoliastack::configuration;
namespace rpc = magnoliastack::rpc;

using base::configuration_version;

namespace
{

base::instant at(double seconds)
{
    return base::instant::from_nanoseconds(
        static_cast<std::int64_t>(seconds * 1e9));
}

class refusing_checker final : public configuration::content_checker
{
public:
    base::result<bool> check(const configuration::content& value) override
    {
        if (value.m_inventory_text == "bad")
            return base::fail(base::error_code::invalid_argument, "bad text");
        return true;
    }
};

// A host with two others, listed since second 0.
struct fixture
{
    refusing_checker m_checker;
    configuration::keeper m_keeper;

    fixture() : m_keeper(options(), m_checker)
    {
        m_keeper.hosts_listed(hosts(), at(0));
    }
    static configuration::keeper_options options()
    {
        configuration::keeper_options options;
        options.m_self = base::host_id("h0");
        return options;
    }
    static std::vector<rpc::listed_host> hosts()
    {
        std::vector<rpc::listed_host> hosts;
        for (const char* name : {"h0", "h1", "h2"})
            hosts.push_back(
                {base::host_id(name), "", base::failure_domain_id("a"), false});
        return hosts;
    }
    // A row that names the content with this text.
    static rpc::row_state row(std::uint64_t version, const std::string& text)
    {
        configuration::row_value value;
        value.m_current = {configuration_version(version),
                           configuration::hash(bytes(text)), "c", "ann"};
        return {version, configuration::serialize(value)};
    }
    static std::string bytes(const std::string& text)
    {
        configuration::content content;
        content.m_inventory_text = text;
        return configuration::serialize(content);
    }
    void read(std::uint64_t version, const std::string& text, double sent)
    {
        m_keeper.row_read(row(version, text), at(sent));
    }
    void fetch(const std::string& named, const std::string& got, double now)
    {
        m_keeper.object_read(configuration::hash(bytes(named)),
                             std::optional<std::string>(bytes(got)), at(now));
    }
};

} // namespace

// Guards against a confirmation that counts from the arrival of the answer.
Test(keeper, a_row_read_confirms_from_its_send_time)
{
    fixture host;
    host.read(1, "one", 3);
    host.fetch("one", "one", 4);
    cr_assert(host.m_keeper.active() != nullptr);
    cr_assert(host.m_keeper.confirmed_age(at(4)) == absl::Seconds(1));
    cr_assert(host.m_keeper.is_confirmed(at(7.9)));
    cr_assert(!host.m_keeper.is_confirmed(at(8)));
}

// Guards against an object that does not belong to the row, or fails the check,
// coming into force.
Test(keeper, only_the_checked_content_of_the_row_comes_into_force)
{
    fixture host;
    host.read(1, "one", 3);
    host.fetch("one", "forged", 3);
    cr_assert(host.m_keeper.active() == nullptr);
    host.read(2, "bad", 3);
    host.fetch("bad", "bad", 3);
    cr_assert(host.m_keeper.active() == nullptr);
    cr_assert(host.m_keeper.problem().find("bad text") != std::string::npos);
    host.read(3, "three", 3);
    host.fetch("three", "three", 3);
    host.read(2, "bad", 4);
    cr_assert(host.m_keeper.active()->m_change.m_version ==
              configuration_version(3));
}

// Guards against a host that votes or serves right after its start, when it may
// hold less than it did before.
Test(keeper, a_started_host_has_no_vote_before_it_is_established)
{
    fixture host;
    host.read(1, "one", 1);
    host.fetch("one", "one", 1);
    cr_assert(host.m_keeper.announced_version() == configuration_version(0));
    cr_assert(!host.m_keeper.is_confirmed(at(1)));
    // One established peer and the host itself are not enough for the start.
    host.m_keeper.peer_version_seen(base::host_id("h1"),
                                    configuration_version(1), at(3), at(3));
    cr_assert(!host.m_keeper.is_confirmed(at(3)));
    host.m_keeper.peer_version_seen(base::host_id("h2"),
                                    configuration_version(1), at(4), at(4));
    cr_assert(host.m_keeper.announced_version() == configuration_version(1));
    // The older of the two answers counts.
    cr_assert(host.m_keeper.confirmed_age(at(4)) == absl::Seconds(1));
}

// Guards against peers that have no vote or a higher version being counted, and
// against a leaving host that still votes.
Test(keeper, only_votes_for_no_higher_version_confirm)
{
    fixture host;
    host.read(1, "one", 3);
    host.fetch("one", "one", 3);
    host.m_keeper.peer_version_seen(base::host_id("h1"),
                                    configuration_version(0), at(7), at(7));
    host.m_keeper.peer_version_seen(base::host_id("h2"),
                                    configuration_version(2), at(7), at(7));
    cr_assert(!host.m_keeper.is_confirmed(at(8)));
    host.m_keeper.peer_version_seen(base::host_id("h1"),
                                    configuration_version(1), at(7), at(8));
    cr_assert(host.m_keeper.is_confirmed(at(8)));
    host.m_keeper.leave();
    cr_assert(host.m_keeper.announced_version() == configuration_version(0));
}

// Guards against a host that waits for a store that is away although a peer
// has the version.
Test(keeper, a_new_version_is_fetched_from_a_peer)
{
    fixture host;
    host.m_keeper.version_heard(base::host_id("h1"), configuration_version(4));
    const auto actions = host.m_keeper.tick(at(1));
    const auto* fetch =
        std::get_if<configuration::fetch_from_peer>(&actions.back());
    cr_assert(fetch != nullptr);
    cr_assert(fetch->m_host == base::host_id("h1"));
    const std::string bytes = fixture::bytes("four");
    host.m_keeper.peer_object_read(
        base::host_id("h1"),
        rpc::configuration_object{configuration_version(4),
                                  configuration::hash(bytes), "c", "ann",
                                  bytes},
        at(2));
    cr_assert(host.m_keeper.active() != nullptr);
}
