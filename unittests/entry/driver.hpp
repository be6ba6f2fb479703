// Answers for the endpoints of a fake host.
#ifndef MAGNOLIASTACK_UNITTESTS_ENTRY_DRIVER_HPP
#define MAGNOLIASTACK_UNITTESTS_ENTRY_DRIVER_HPP

#include "fakes.hpp"

#include <optional>
#include <string>

namespace entry_test
{

inline base::log_point point(std::uint64_t term, std::uint64_t number)
{
    return {base::term(term), base::log_position(number)};
}

inline rpc::opaque_statement statement(rpc::statement_kind kind,
                                       const std::string& text)
{
    rpc::opaque_statement what;
    what.m_id = "id-" + text;
    what.m_kind = kind;
    what.m_text = text;
    return what;
}

// Plays callers and endpoints of one host.
struct driver
{
    explicit driver(fake_host& host) : m_host(host)
    {
    }

    void start(std::uint64_t session, const std::string& database,
               const std::string& key = "key-1")
    {
        m_host.m_host.sessions().session_started(rpc::session_number(session),
                                                 database, key);
    }
    void say(std::uint64_t session, rpc::statement_kind kind,
             const std::string& text)
    {
        m_host.m_host.sessions().statement_received(
            rpc::session_number(session), statement(kind, text));
    }
    void set_value(std::uint64_t session, const std::string& name,
                   const std::string& value)
    {
        auto what = statement(rpc::statement_kind::set_value, "SET");
        what.m_name = name;
        what.m_argument = value;
        m_host.m_host.sessions().statement_received(
            rpc::session_number(session), what);
    }

    // Accepts the connections that are opening.
    void accept(base::log_point position = point(1, 100))
    {
        for (const auto number :
             std::exchange(m_host.m_endpoints.m_opening, {}))
            m_host.m_host.endpoints().opened(number, position);
    }

    // The oldest request without an answer.
    std::optional<sent_request> next()
    {
        auto& requests = m_host.m_endpoints.m_requests;
        if (requests.empty())
            return std::nullopt;
        auto found = requests.front();
        requests.pop_front();
        return found;
    }
    std::string endpoint_of(const sent_request& request) const
    {
        const auto found = m_host.m_endpoints.m_open.find(request.m_connection);
        return found == m_host.m_endpoints.m_open.end()
                   ? ""
                   : found->second.m_endpoint.str();
    }

    void succeed(const sent_request& request,
                 rpc::transaction_state state = rpc::transaction_state::idle,
                 base::log_point position = point(1, 100))
    {
        auto& events = m_host.m_host.endpoints();
        events.done_received(request.m_connection, "signature");
        events.ready_received(request.m_connection, state, position);
    }
    void fail(const sent_request& request, rpc::statement_error error,
              rpc::transaction_state state = rpc::transaction_state::idle,
              base::log_point position = point(1, 100))
    {
        auto& events = m_host.m_host.endpoints();
        events.failure_received(request.m_connection, error, "");
        events.ready_received(request.m_connection, state, position);
    }
    void lose(const sent_request& request)
    {
        m_host.m_host.endpoints().connection_closed(request.m_connection,
                                                    false);
    }

    // Answers requests of the proxy itself until a caller's one comes.
    std::optional<sent_request>
    next_statement(rpc::transaction_state state = rpc::transaction_state::idle)
    {
        accept();
        while (auto request = next())
        {
            if (!request->m_request.m_id.empty())
                return request;
            using action = rpc::endpoint_request::action;
            const bool begins =
                request->m_request.m_action == action::begin ||
                request->m_request.m_action == action::begin_read_only;
            succeed(*request, begins ? rpc::transaction_state::open : state);
        }
        return std::nullopt;
    }

    std::vector<std::string> take_answers(std::uint64_t session)
    {
        return std::exchange(m_host.m_sessions.m_sent[session], {});
    }
    bool was_answered(std::uint64_t session, const std::string& what) const
    {
        const auto& sent = m_host.m_sessions.m_sent[session];
        return std::find(sent.begin(), sent.end(), what) != sent.end();
    }

    fake_host& m_host;
};

} // namespace entry_test

#endif
