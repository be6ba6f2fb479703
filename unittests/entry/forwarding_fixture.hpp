// A caller whose statements run at holders.
#ifndef MAGNOLIASTACK_UNITTESTS_ENTRY_FORWARDING_FIXTURE_HPP
#define MAGNOLIASTACK_UNITTESTS_ENTRY_FORWARDING_FIXTURE_HPP

#include "forwarding.hpp"

#include <criterion/criterion.h>

namespace entry_test
{

using rpc::statement_kind;
using rpc::transaction_state;

inline constexpr std::size_t nobody = 1000;

// A caller at a host that holds no connections to the primary g0e0, and the
// holders that it is forwarded to.
struct forwarding_fixture : forwarding_fleet
{
    // Session 1 of the caller writes to the primary.
    forwarding_fixture()
    {
        for (m_sender = 0; m_sender < m_hosts.size(); ++m_sender)
        {
            caller().start(1, "w0", key(0));
            caller().take_answers(1);
            say(statement_kind::read, "READ probe");
            m_streams.run();
            if (counter(m_sender, "forwarded.sent") == 1)
                break;
            finish_all(m_sender);
        }
        m_holder = serving();
        cr_assert_neq(m_holder, nobody);
        finish_all(m_holder);
        m_streams.run();
        cr_assert(was("done signature"));
        caller().take_answers(1);
    }

    driver caller()
    {
        return driver(*m_hosts[m_sender]);
    }
    driver holder()
    {
        return driver(*m_hosts[m_holder]);
    }
    void say(statement_kind kind, const std::string& text)
    {
        caller().say(1, kind, text);
    }
    // The same, until the holder has it.
    void forward(statement_kind kind, const std::string& text)
    {
        say(kind, text);
        m_streams.run();
    }
    bool was(const std::string& answer)
    {
        return caller().was_answered(1, answer);
    }
    // The host that runs a statement at present.
    std::size_t serving()
    {
        for (std::size_t index = 0; index < m_hosts.size(); ++index)
            if (!m_hosts[index]->m_endpoints.m_requests.empty() ||
                !m_hosts[index]->m_endpoints.m_opening.empty())
                return index;
        return nobody;
    }
    void finish_all(std::size_t host)
    {
        driver endpoints(*m_hosts[host]);
        while (const auto request = endpoints.next_statement())
            endpoints.succeed(*request);
    }
    // Begins a transaction, runs its first statement at the holder.
    void open_transaction()
    {
        say(statement_kind::begin, "BEGIN");
        forward(statement_kind::write, "WRITE a b");
        const auto first = holder().next_statement();
        cr_assert(first.has_value());
        holder().succeed(*first, transaction_state::open);
        m_streams.run();
        cr_assert(was("ready T"));
        caller().take_answers(1);
    }
    std::size_t other_holder()
    {
        for (const auto host : connected("g0e0"))
            if (host != m_holder)
                return host;
        return nobody;
    }

    std::size_t m_sender = 0;
    std::size_t m_holder = nobody;
};

} // namespace entry_test

#endif
