#include "callers.hpp"

#include "support/lines.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <array>

namespace magnoliastack::soak
{
namespace
{

using error_code = boost::system::error_code;

// Longer than any timeout of a route.
constexpr std::chrono::milliseconds patience{4000};
constexpr std::chrono::milliseconds pause_between{60};
constexpr std::chrono::milliseconds pause_in_burst{2};
constexpr std::chrono::milliseconds pause_after_loss{150};
constexpr unsigned operations_in_session = 40;

const auto loopback = asio::ip::address_v4::loopback();

// Codes that promise that nothing of the attempt is kept.
bool is_promise(const std::string& code)
{
    static const std::array<std::string, 6> promises{
        "BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN"};
    return std::find(promises.begin(), promises.end(), code) != promises.end();
}

} // namespace

// One connection. An operation is a list of statements.
struct caller::session : std::enable_shared_from_this<session>
{
    enum class kind
    {
        read,
        write,
        transaction,
    };

    session(caller& owner, route target)
        : m_owner(owner), m_world(owner.m_world), m_route(std::move(target)),
          m_key(owner.m_key), m_socket(m_world.m_loop), m_timer(m_world.m_loop)
    {
    }

    unsigned draw(unsigned below)
    {
        return static_cast<unsigned>(m_world.m_random() % below);
    }

    void start()
    {
        m_host = draw(static_cast<unsigned>(m_world.m_hosts.size()));
        const auto port = m_world.m_hosts[m_host];
        m_verdict = m_world.m_judge_key(m_host, m_key);
        wait(patience);
        m_socket.async_connect(
            {loopback, port},
            [self = shared_from_this()](error_code error)
            {
                if (error)
                    self->lost();
                else
                    self->send(absl::StrCat("START ", self->m_route.m_database,
                                            " ", self->m_key));
            });
    }

    void wait(std::chrono::milliseconds time)
    {
        m_timer.expires_after(time);
        m_timer.async_wait(
            [self = shared_from_this()](error_code error)
            {
                if (!error)
                    self->time_over();
            });
    }

    void time_over()
    {
        if (!m_ids.empty() && m_world.m_ran_since(m_host, m_sent))
            m_world.m_judge.unanswered(m_ids.back(), absl::StrCat("h", m_host));
        lost();
    }

    void send(std::string line)
    {
        m_sent = clock::now();
        m_output = std::move(line) + "\r\n";
        m_error.clear();
        asio::async_write(
            m_socket, asio::buffer(m_output),
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (error)
                    self->lost();
                else
                    self->read();
            });
    }

    void read()
    {
        wait(patience);
        asio::async_read_until(
            m_socket, m_input, "\r\n",
            [self = shared_from_this()](error_code error, std::size_t size)
            {
                if (error)
                    self->lost();
                else
                    self->received(test::take_line(self->m_input, size));
            });
    }

    void received(const std::string& line)
    {
        const std::vector<std::string> words = absl::StrSplit(line, ' ');
        if (words[0] == "ERR")
        {
            m_error = words.at(1);
            check_refusal();
        }
        else if (words[0] == "DONE")
            check_signature(words.at(1));
        else if (words[0] == "ROW")
            check_row(line.substr(line.find(' ') + 1));
        if (words[0] != "READY")
        {
            read();
            return;
        }
        m_state = words.at(1).at(0);
        if (m_statement == 0 && m_ids.empty())
            next_operation();
        else
            statement_ended();
    }

    // The routes never change, and a key is refused for good only when it may
    // have been withdrawn.
    void check_refusal()
    {
        const bool must_work =
            m_verdict == key_verdict::must_work &&
            m_world.m_judge_key(m_host, m_key) == key_verdict::must_work;
        if (m_error == "NODB" || (m_error == "NOAUTH" && must_work))
            m_world.m_judge.broken("CONFIG",
                                   absl::StrCat("h", m_host, " answered ",
                                                m_error, " to ", m_key, " for ",
                                                m_route.m_database));
    }

    void check_signature(const std::string& signature)
    {
        if (m_statement == 0 || m_ids.empty() || signature == "-")
            return;
        if (signature != "s-" + m_ids.back())
            m_world.m_judge.broken("MIXED", m_ids.back() + " was answered by " +
                                                signature);
    }

    void check_row(const std::string& row)
    {
        if (m_ids.empty() || row != row_of(m_ids.back()))
            m_world.m_judge.broken("MIXED",
                                   "a read in " + m_operation +
                                       " was answered with another row");
    }

    void next_operation()
    {
        if (m_world.m_stopped || ++m_count > operations_in_session)
        {
            finish();
            return;
        }
        m_timer.expires_after(m_world.m_bursts > 0 ? pause_in_burst
                                                   : pause_between);
        m_timer.async_wait(
            [self = shared_from_this()](error_code error)
            {
                if (!error)
                    self->begin_operation();
            });
    }

    void begin_operation()
    {
        m_verdict = m_world.m_judge_key(m_host, m_key);
        m_operation =
            absl::StrCat("c", m_owner.m_number, "o", ++m_owner.m_operations);
        m_ids.clear();
        m_statement = 0;
        const unsigned drawn = draw(10);
        m_kind = drawn < 5   ? kind::read
                 : drawn < 8 ? kind::write
                             : kind::transaction;
        if (!m_route.m_primary && drawn < 8)
            m_kind = kind::read;
        if (m_kind == kind::transaction)
            m_plan = {"BEGIN", "READ a", "WRITE a b", "WRITE c d", "COMMIT"};
        else
            m_plan = {m_kind == kind::read ? "READ a" : "WRITE a b"};
        next_statement();
    }

    void next_statement()
    {
        std::string text = m_plan[m_statement++];
        if (absl::StartsWith(text, "WRITE "))
            text += odd_data(absl::StrCat(m_operation, "/", m_statement));
        m_ids.push_back(absl::StrCat(m_operation, "x", m_statement));
        demand what;
        what.m_organisation = m_owner.m_organisation;
        what.m_group = m_route.m_group;
        what.m_operation = m_operation;
        what.m_in_transaction = m_kind == kind::transaction;
        // The host answers the begin itself.
        what.m_first = what.m_in_transaction && m_statement == 2;
        what.m_text = text;
        what.m_own = m_own;
        what.m_covers = clock::now() - m_route.m_staleness;
        m_world.m_judge.sent(m_ids.back(), what);
        send(absl::StrCat("QUERY ", m_ids.back(), " ", text));
    }

    void statement_ended()
    {
        const bool last = m_statement == m_plan.size();
        if (!m_error.empty())
        {
            failed();
            return;
        }
        if (!last)
        {
            next_statement();
            return;
        }
        count(&tally::m_succeeded);
        if (m_verdict == key_verdict::must_fail)
            m_world.m_judge.broken("CONFIG",
                                   absl::StrCat(m_operation, " ran at h",
                                                m_host, " with ", m_key,
                                                ", which was withdrawn"));
        if (m_kind != kind::read)
            acknowledge();
        operation_ended();
    }

    void acknowledge()
    {
        const auto made = m_world.m_judge.commit_of(m_ids.back());
        if (!made)
        {
            m_world.m_judge.broken("MIXED", m_ids.back() +
                                                " succeeded without a commit");
            return;
        }
        m_world.m_judge.succeeded(m_ids.back(), made);
        m_own = made;
    }

    // A promise holds for all statements of the attempt.
    void failed()
    {
        if (is_promise(m_error))
        {
            count(&tally::m_refused);
            for (const auto& id : m_ids)
                m_world.m_judge.promised_nothing(id);
        }
        else
            count(&tally::m_unknown);
        if (m_state == 'I')
            operation_ended();
        else
            finish();
    }

    void count(std::size_t tally::*what)
    {
        if (m_owner.m_counted)
            ++(m_world.m_tally.*what);
    }

    void operation_ended()
    {
        m_ids.clear();
        m_statement = 0;
        next_operation();
    }

    void lost()
    {
        if (!m_socket.is_open())
            return;
        count(&tally::m_cut);
        finish();
    }

    void finish()
    {
        error_code ignored;
        m_socket.close(ignored);
        if (m_world.m_stopped)
        {
            m_timer.cancel();
            return;
        }
        m_timer.expires_after(pause_after_loss);
        m_timer.async_wait(
            [self = shared_from_this()](error_code error)
            {
                if (!error)
                    self->m_owner.start();
            });
    }

    caller& m_owner;
    caller_world& m_world;
    route m_route;
    std::string m_key;
    std::size_t m_host = 0;
    // What the host had to say to the key when the operation, or the session,
    // began.
    key_verdict m_verdict = key_verdict::undecided;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    asio::streambuf m_input;
    std::string m_output;
    std::string m_error;
    std::string m_operation;
    kind m_kind = kind::read;
    std::vector<std::string> m_plan;
    std::vector<std::string> m_ids;
    std::size_t m_statement = 0;
    unsigned m_count = 0;
    char m_state = 'I';
    clock::time_point m_sent;
    commit_ptr m_own;
};

caller::caller(caller_world& world, std::size_t number,
               std::string organisation, std::string key, bool counted)
    : m_world(world), m_number(number), m_organisation(std::move(organisation)),
      m_key(std::move(key)), m_counted(counted)
{
}

caller::~caller() = default;

void caller::start()
{
    const auto& routes = m_world.m_routes;
    m_session = std::make_shared<session>(
        *this, routes[m_world.m_random() % routes.size()]);
    m_session->start();
}

void caller::set_key(const std::string& key)
{
    m_key = key;
}

} // namespace magnoliastack::soak
