#include "certificates.hpp"
#include "wire.hpp"

#include "magnoliastack/membership/member_table.hpp"
#include "magnoliastack/peer/peer_node.hpp"

#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"

#include <capnp/serialize.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

namespace base = magnoliastack::base;
namespace peer = magnoliastack::peer;
namespace rpc = magnoliastack::rpc;

namespace
{

// Bounds the wait for an answer that a fault would keep away.
constexpr absl::Duration generous = absl::Seconds(20);
constexpr absl::Duration short_timeout = absl::Milliseconds(300);

// Answers at once, or keeps the replies while it is silent.
class recording_service final : public rpc::peer_service
{
public:
    void
    handle_exchange(rpc::exchange_message message,
                    std::function<void(rpc::exchange_message)> reply) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_received.push_back(message);
        if (m_silent)
            return m_kept.push_back(std::move(reply));
        message.m_sender = base::host_id("server");
        // From another thread, as the event loop of the proxy does.
        std::thread(
            [message, reply = std::move(reply)]()
            {
                reply(message);
            })
            .detach();
    }

    void handle_borrow(rpc::borrow_request request,
                       std::function<void(rpc::borrow_response)> reply) override
    {
        reply({base::loan_id(7), request.m_amount / 2, absl::Seconds(2)});
    }

    void handle_give_back(rpc::give_back message) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_given_back = message.m_loan;
    }

    void handle_fetch_configuration(
        base::configuration_version minimum_version,
        std::function<void(base::result<rpc::configuration_object>)> reply)
        override
    {
        if (minimum_version > base::configuration_version(3))
            return reply(base::fail(base::error_code::not_found,
                                    "version 3 is the newest one here"));
        reply(rpc::configuration_object{base::configuration_version(3), "hash",
                                        "change", "author",
                                        std::string(m_content_size, '\0')});
    }

    void set_silent(bool silent)
    {
        const absl::MutexLock lock(&m_mutex);
        m_silent = silent;
    }
    base::loan_id given_back()
    {
        const absl::MutexLock lock(&m_mutex);
        return m_given_back;
    }

    std::size_t m_content_size = 1'000;

private:
    absl::Mutex m_mutex;
    bool m_silent = false;
    std::vector<rpc::exchange_message> m_received;
    std::vector<std::function<void(rpc::exchange_message)>> m_kept;
    base::loan_id m_given_back;
};

// Waits for the one callback of a call and fails when there is none or a
// second one.
template <typename Value>
class awaited
{
public:
    std::function<void(base::result<Value>)> callback()
    {
        return [state = m_state](base::result<Value> outcome)
        {
            cr_assert(!state->m_outcome, "the callback came twice");
            state->m_outcome = std::move(outcome);
            state->m_arrived.Notify();
        };
    }
    base::result<Value> get()
    {
        cr_assert(m_state->m_arrived.WaitForNotificationWithTimeout(generous),
                  "the callback did not come");
        return m_state->m_outcome.value_or(
            base::fail(base::error_code::internal, "no outcome"));
    }

private:
    struct shared_state
    {
        absl::Notification m_arrived;
        std::optional<base::result<Value>> m_outcome;
    };
    std::shared_ptr<shared_state> m_state = std::make_shared<shared_state>();
};

std::unique_ptr<peer::peer_node> start(rpc::peer_service& service,
                                       std::uint16_t port = 0,
                                       peer::node_options options = {})
{
    options.m_listen_address = "127.0.0.1:" + std::to_string(port);
    auto node = peer::peer_node::start(options, service);
    cr_assert(node.has_value(), "%s",
              node ? "" : node.error().m_message.c_str());
    return std::move(*node);
}

std::string address_of(const peer::peer_node& node)
{
    return "127.0.0.1:" + std::to_string(node.port());
}

rpc::exchange_message full_message()
{
    rpc::member_entry entry;
    entry.m_host = base::host_id("h1");
    entry.m_incarnation = base::incarnation(4);
    entry.m_heartbeat = 99;
    entry.m_failure_domain = base::failure_domain_id("a");
    entry.m_peer_address = "127.0.0.1:4000";
    entry.m_state = rpc::member_state::leaving;
    entry.m_configuration_version = base::configuration_version(5);
    entry.m_store_reachable = true;
    entry.m_groups.push_back({base::group_id("g"), base::term(2),
                              base::endpoint_id("e1"), true, true,
                              absl::Milliseconds(700)});
    entry.m_slots.push_back({base::slot_index(1), base::slot_epoch(8)});
    entry.m_leaving_endpoints.emplace_back("e2");
    entry.m_slots_version = 12;
    rpc::exchange_message message;
    message.m_sender = base::host_id("h1");
    message.m_incarnation = base::incarnation(4);
    message.m_configuration_version = base::configuration_version(5);
    message.m_slots_version = 12;
    message.m_entries.push_back(entry);
    return message;
}

base::result<rpc::exchange_message>
call_exchange(peer::peer_node& from, const std::string& to,
              absl::Duration timeout = generous)
{
    awaited<rpc::exchange_message> answer;
    from.exchange(to, full_message(), timeout, answer.callback());
    return answer.get();
}

// Sends bytes over a plain connection and waits until it is closed.
void send_bytes(std::uint16_t port, const std::string& bytes)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    cr_assert_eq(
        connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof(to)), 0);
    cr_assert_eq(send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                 static_cast<ssize_t>(bytes.size()));
    shutdown(descriptor, SHUT_WR);
    char answer[256];
    while (recv(descriptor, answer, sizeof(answer), 0) > 0)
    {
    }
    close(descriptor);
}

} // namespace

// Guards against a field of the gossip that is lost on the way.
Test(peer_node, exchange_carries_every_field)
{
    recording_service service;
    const auto server = start(service);
    const auto client = start(service);
    const auto answer = call_exchange(*client, address_of(*server));
    cr_assert(answer.has_value());
    cr_assert(answer->m_sender == base::host_id("server"));
    cr_assert(answer->m_incarnation == base::incarnation(4));
    cr_assert(answer->m_configuration_version ==
              base::configuration_version(5));
    cr_assert_eq(answer->m_slots_version, 12U);
    cr_assert(answer->m_entries == full_message().m_entries);
}

// Guards against loans that are not passed on or not ended.
Test(peer_node, borrow_and_give_back_reach_the_service)
{
    recording_service service;
    const auto server = start(service);
    const auto client = start(service);
    awaited<rpc::borrow_response> loan;
    client->borrow(address_of(*server),
                   {base::host_id("h"), base::incarnation(1), "org/o", 40},
                   generous, loan.callback());
    const auto lent = loan.get();
    cr_assert(lent.has_value());
    cr_assert_eq(lent->m_amount, 20U);
    cr_assert(lent->m_length == absl::Seconds(2));
    awaited<bool> returned;
    client->give_back_loan(address_of(*server),
                           {base::host_id("h"), lent->m_loan, "org/o"},
                           generous, returned.callback());
    cr_assert(returned.get().has_value());
    cr_assert(service.given_back() == base::loan_id(7));
}

// Guards against a configuration that does not fit into a message, and against
// a missing version that looks like one.
Test(peer_node, fetch_gives_a_large_content_or_an_error)
{
    recording_service service;
    service.m_content_size = 8U << 20U;
    const auto server = start(service);
    const auto client = start(service);
    awaited<rpc::configuration_object> fetched;
    client->fetch_configuration(address_of(*server),
                                base::configuration_version(2), generous,
                                fetched.callback());
    const auto object = fetched.get();
    cr_assert(object.has_value());
    cr_assert(object->m_version == base::configuration_version(3));
    cr_assert(object->m_content == std::string(8U << 20U, '\0'));
    awaited<rpc::configuration_object> missing;
    client->fetch_configuration(address_of(*server),
                                base::configuration_version(4), generous,
                                missing.callback());
    cr_assert(!missing.get().has_value());
}

// Guards against a call to a silent peer that waits for ever, and against a
// connection that is used again after it has stopped to work.
Test(peer_node, a_silent_peer_times_out_and_is_called_anew)
{
    recording_service service;
    const auto server = start(service);
    const auto client = start(service);
    service.set_silent(true);
    const auto refused =
        call_exchange(*client, address_of(*server), short_timeout);
    cr_assert(!refused.has_value());
    cr_assert(refused.error().m_code == base::error_code::deadline_exceeded);
    service.set_silent(false);
    cr_assert(call_exchange(*client, address_of(*server)).has_value());
}

// Guards against a client that keeps the connection to a process that is gone.
Test(peer_node, a_restarted_peer_is_reached_again)
{
    recording_service service;
    auto server = start(service);
    const auto client = start(service);
    const std::uint16_t port = server->port();
    cr_assert(call_exchange(*client, address_of(*server)).has_value());
    server.reset();
    const std::string address = "127.0.0.1:" + std::to_string(port);
    cr_assert(!call_exchange(*client, address, absl::Seconds(2)).has_value());
    server = start(service, port);
    // The first call may still meet the old connection's end.
    bool reached = false;
    for (int attempt = 0; attempt < 20 && !reached; ++attempt)
        reached = call_exchange(*client, address, absl::Seconds(2)).has_value();
    cr_assert(reached);
}

// Guards against input that stops the server or takes its memory: a frame that
// announces 4 GB, random bytes, and a connection that says nothing.
Test(peer_node, garbage_closes_only_its_own_connection)
{
    recording_service service;
    const auto server = start(service);
    const auto client = start(service);
    cr_assert(call_exchange(*client, address_of(*server)).has_value());
    send_bytes(server->port(), "GET / HTTP/1.0\r\n\r\n");
    send_bytes(server->port(), std::string("\0\0\0\0\xff\xff\xff\x1f", 8));
    send_bytes(server->port(), std::string("\xff\xff\xff\xff\0\0\0\0", 8));
    send_bytes(server->port(), std::string(70'000, '\x5a'));
    cr_assert(call_exchange(*client, address_of(*server)).has_value());
}

// Guards against messages above the limit, which a faulty peer could use to
// take all memory.
Test(peer_node, an_oversized_message_fails_its_call)
{
    recording_service service;
    service.m_content_size = 1U << 20U;
    const auto server = start(service);
    peer::node_options small;
    small.m_max_message_bytes = 64U << 10U;
    const auto client = start(service, 0, small);
    awaited<rpc::configuration_object> fetched;
    client->fetch_configuration(address_of(*server),
                                base::configuration_version(1), generous,
                                fetched.callback());
    cr_assert(!fetched.get().has_value());
    cr_assert(call_exchange(*client, address_of(*server)).has_value());
}

// Guards against callbacks that never come when the node stops.
Test(peer_node, calls_that_are_open_at_a_stop_fail)
{
    recording_service service;
    service.set_silent(true);
    const auto server = start(service);
    auto client = start(service);
    std::vector<awaited<rpc::exchange_message>> answers(20);
    for (auto& answer : answers)
        client->exchange(address_of(*server), full_message(), generous,
                         answer.callback());
    client.reset();
    for (auto& answer : answers)
    {
        const auto outcome = answer.get();
        cr_assert(!outcome.has_value());
        cr_assert(outcome.error().m_code == base::error_code::unavailable);
    }
}

// Guards against addresses from gossip that name local sockets or need a
// resolver, and against a node that seems to run without its port.
Test(peer_node, wrong_addresses_are_refused)
{
    recording_service service;
    const auto node = start(service);
    for (const char* address :
         {"", "unix:/tmp/x", "localhost:1", "127.0.0.1", "127.0.0.1:70000"})
    {
        const auto refused = call_exchange(*node, address);
        cr_assert(!refused.has_value());
        cr_assert(refused.error().m_code == base::error_code::invalid_argument);
    }
    peer::node_options taken;
    taken.m_listen_address = address_of(*node);
    const auto second = peer::peer_node::start(taken, service);
    cr_assert(!second.has_value());
    cr_assert(second.error().m_code == base::error_code::unavailable);
}

// Guards against peers that talk in the clear although TLS is set up, and
// against a peer of another authority that is let in.
Test(peer_node, tls_admits_only_peers_of_the_same_authority)
{
    recording_service service;
    peer::node_options secured;
    secured.m_tls = peer::test::make_certificates();
    peer::node_options foreign;
    foreign.m_tls = peer::test::make_certificates();
    const auto server = start(service, 0, secured);
    const auto client = start(service, 0, secured);
    const auto stranger = start(service, 0, foreign);
    const auto plain = start(service);
    const std::string address = address_of(*server);
    cr_assert(call_exchange(*client, address).has_value());
    cr_assert(!call_exchange(*stranger, address, short_timeout).has_value());
    cr_assert(!call_exchange(*plain, address, short_timeout).has_value());
    cr_assert(call_exchange(*client, address).has_value());
}

// Guards against an estimate below the true size, by which gossip would exceed
// its byte budget, or far above it.
Test(wire, the_estimated_size_is_close_to_the_true_one)
{
    rpc::exchange_message message = full_message();
    for (int copies = 0; copies < 20; ++copies)
    {
        capnp::MallocMessageBuilder encoded;
        peer::write(message, encoded.initRoot<peer::wire::Exchange>());
        const std::size_t size =
            capnp::computeSerializedSizeInWords(encoded) * sizeof(capnp::word);
        const std::size_t estimate =
            magnoliastack::membership::estimated_size(message);
        cr_assert(estimate >= size, "estimate %zu, size %zu", estimate, size);
        cr_assert(estimate <= size + size / 10 + 144);
        rpc::member_entry entry = full_message().m_entries[0];
        entry.m_groups.push_back(entry.m_groups[0]);
        entry.m_leaving_endpoints.clear();
        message.m_entries.push_back(entry);
    }
}
