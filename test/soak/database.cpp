#include "database.hpp"

#include "support/lines.hpp"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>

namespace magnoliastack::soak
{
namespace
{

using error_code = boost::system::error_code;

// Requests that an endpoint works on and keeps waiting at the same time.
constexpr std::size_t slots = 3;
constexpr std::size_t longest_queue = 24;
constexpr std::chrono::milliseconds promote_time{300};
// An old primary that reaches the new one follows it after this.
constexpr std::chrono::milliseconds step_down_time{1000};

const auto loopback = asio::ip::address_v4::loopback();

std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

// Connections, reads, writes and commits do.
bool takes_slot(const std::string& line)
{
    return absl::StartsWith(line, "START ") ||
           absl::StrContains(line, "READ ") ||
           absl::StrContains(line, "WRITE ") ||
           absl::EndsWith(line, " COMMIT") || absl::EndsWith(line, " STATUS");
}

} // namespace

// One connection; statements run one after the other.
struct endpoint::connection : std::enable_shared_from_this<connection>
{
    connection(endpoint& owner, tcp::socket socket)
        : m_owner(owner), m_socket(std::move(socket)), m_timer(owner.m_loop)
    {
    }

    void read()
    {
        asio::async_read_until(
            m_socket, m_input, "\r\n",
            [self = shared_from_this()](error_code error, std::size_t size)
            {
                if (error)
                {
                    self->close();
                    return;
                }
                const std::string line = test::take_line(self->m_input, size);
                self->m_owner.m_owner.judge().reached(self->m_owner.m_domain,
                                                      line);
                self->m_owner.admit(self, line);
            });
    }

    // Takes a slot for the time of the work.
    void work(const std::string& line)
    {
        const auto process = m_owner.m_process;
        ++m_owner.m_working;
        m_timer.expires_after(m_owner.m_work_time);
        m_timer.async_wait(
            [self = shared_from_this(), line, process](error_code failed)
            {
                if (process != self->m_owner.m_process)
                    return;
                --self->m_owner.m_working;
                if (!failed && self->m_socket.is_open())
                    self->serve(line);
                self->m_owner.work_on();
            });
    }

    void refuse_busy(const std::string& line)
    {
        m_owner.m_owner.judge().seen_by_endpoint(line);
        fail("BUSY");
    }

    void serve(const std::string& line)
    {
        m_owner.m_owner.judge().seen_by_endpoint(line);
        if (absl::StartsWith(line, "START "))
            start(line);
        else if (absl::StartsWith(line, "QUERY "))
            query(line);
        else
            close();
    }

    void start(const std::string& line)
    {
        const std::vector<std::string> words = absl::StrSplit(line, ' ');
        const bool wrong = words.size() < 3 ||
                           words[1] != m_owner.m_owner.name() ||
                           (words.size() > 3 && words[3] != m_owner.m_id);
        const bool full =
            m_owner.m_connections.size() > endpoint::largest_connections;
        if (wrong || full)
        {
            m_last = true;
            answer(wrong ? "ERR MOVED -\r\n" : "ERR MAXCONN -\r\n");
            return;
        }
        m_organisation = words[2];
        answer(ready());
    }

    void query(const std::string& line)
    {
        const std::pair<std::string, std::string> id_and_text =
            absl::StrSplit(line.substr(6), absl::MaxSplits(' ', 1));
        const auto& [id, all] = id_and_text;
        std::string text = all;
        std::vector<std::string> words = absl::StrSplit(text, ' ');
        if (words[0] == "AFTER")
        {
            if (!has(words.at(1)))
            {
                fail("LAGGING");
                return;
            }
            text.erase(0, words[0].size() + words[1].size() + 2);
            words.erase(words.begin(), words.begin() + 2);
        }
        if (id != "-")
            m_owner.m_owner.judge().arrived(id, text);
        run(id, words);
    }

    // True when the log shows the position TERM.NUMBER. An old primary that is
    // cut from its group may have more commits than the new one, but others.
    [[nodiscard]] bool has(const std::string& position) const
    {
        const std::pair<std::string, std::string> parts =
            absl::StrSplit(position, '.');
        return std::stoull(parts.first) <= m_owner.m_term &&
               std::stoull(parts.second) <= m_owner.m_applied;
    }

    void run(const std::string& id, const std::vector<std::string>& words)
    {
        const std::string& verb = words[0];
        if (verb == "STATUS" && m_owner.m_has_no_slot)
            fail("BUSY");
        else if (verb == "STATUS")
            status();
        else if (verb == "STEPDOWN")
        {
            if (std::stoull(words.at(1)) > m_owner.m_term)
                m_owner.m_primary = false;
            status();
        }
        else if (verb == "BEGIN")
            begin(words.size() > 1);
        else if (verb == "ROLLBACK")
        {
            end_transaction();
            done("-");
        }
        else if (verb == "COMMIT")
            commit_work(id);
        else if (verb == "READ")
            read_item(id);
        else if (verb == "WRITE")
            write_item(id);
        else
            done("-");
    }

    void status()
    {
        answer(absl::StrCat("ROW ", m_owner.m_primary ? "primary " : "replica ",
                            m_owner.m_term, " ", m_owner.m_term, ".",
                            m_owner.m_log.size(), " ", m_owner.m_term,
                            " 0 0 1\r\nDONE -\r\n", ready()));
    }

    void begin(bool read_only)
    {
        if (!read_only && !m_owner.m_primary)
        {
            fail("READONLY");
            return;
        }
        if (m_state != 'I')
        {
            m_owner.m_owner.judge().began_twice(m_owner.m_id);
            fail("MALFORMED");
            return;
        }
        m_state = 'T';
        m_read_only = read_only;
        m_transaction = m_owner.m_owner.judge().next_transaction();
        m_writers.clear();
        done("-");
    }

    // Returns the ids of the statements that wrote in it.
    std::vector<std::string> end_transaction()
    {
        m_state = 'I';
        m_transaction = 0;
        return std::exchange(m_writers, {});
    }

    void read_item(const std::string& id)
    {
        if (lost_lead())
            return;
        note(id, true);
        answer(absl::StrCat("ROW ", row_of(id), "\r\nDONE s-", id, "\r\n",
                            ready()));
    }

    void write_item(const std::string& id)
    {
        if (lost_lead())
            return;
        if (!m_owner.m_primary || m_read_only)
        {
            fail("READONLY");
            return;
        }
        note(id, false);
        if (m_state != 'T')
        {
            append(id, {id});
            return;
        }
        m_writers.push_back(id);
        done(absl::StrCat("s-", id));
    }

    void commit_work(const std::string& id)
    {
        m_owner.m_owner.judge().ran_in(id, m_transaction);
        auto writers = end_transaction();
        if (writers.empty())
        {
            done(absl::StrCat("s-", id));
            return;
        }
        if (!m_owner.m_primary)
        {
            fail("READONLY");
            return;
        }
        writers.push_back(id);
        append(id, std::move(writers));
    }

    // A plain transaction cannot go on at an endpoint that lost the lead.
    bool lost_lead()
    {
        if (m_state != 'T' || m_read_only || m_owner.m_primary)
            return false;
        m_state = 'E';
        fail("READONLY");
        return true;
    }

    void note(const std::string& id, bool reads)
    {
        auto& judge = m_owner.m_owner.judge();
        judge.admitted(m_organisation, id.substr(0, id.find('x')));
        judge.ran_in(id, m_transaction);
        const std::vector<commit_ptr> shown(
            m_owner.m_log.begin(),
            m_owner.m_log.begin() +
                static_cast<std::ptrdiff_t>(m_owner.m_applied));
        judge.ran(id, m_organisation, m_owner.m_owner.name(),
                  reads && m_state != 'T', shown);
    }

    // Commits what was written; the answer comes when the commit is where it
    // has to be.
    void append(const std::string& id, std::vector<std::string> writers)
    {
        auto item = std::make_shared<commit>();
        item->m_term = m_owner.m_term;
        item->m_number = m_owner.m_log.size() + 1;
        item->m_writers = std::move(writers);
        item->m_by_old_primary = m_owner.m_owner.term() > m_owner.m_term;
        m_owner.m_log.push_back(item);
        m_owner.m_applied = m_owner.m_log.size();
        m_owner.m_owner.judge().committed(item);
        m_owner.m_owner.when_replicated(
            item,
            [connection = weak_from_this(), id]
            {
                if (const auto self = connection.lock())
                    self->done(absl::StrCat("s-", id));
            });
    }

    [[nodiscard]] std::string ready() const
    {
        return absl::StrCat("READY ", std::string(1, m_state), " ",
                            m_owner.m_term, ".", m_owner.m_applied, "\r\n");
    }
    void done(const std::string& signature)
    {
        answer(absl::StrCat("DONE ", signature, "\r\n", ready()));
    }
    void fail(const std::string& code)
    {
        answer(absl::StrCat("ERR ", code, " -\r\n", ready()));
    }

    void answer(std::string text)
    {
        if (!m_socket.is_open())
            return;
        m_output = std::move(text);
        asio::async_write(
            m_socket, asio::buffer(m_output),
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (error || self->m_last)
                    self->close();
                else
                    self->read();
            });
    }

    void close()
    {
        error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
        std::erase(m_owner.m_connections, shared_from_this());
    }

    endpoint& m_owner;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    asio::streambuf m_input;
    std::string m_output;
    std::string m_organisation;
    std::vector<std::string> m_writers;
    // Number of the open transaction; 0 without one.
    std::uint64_t m_transaction = 0;
    char m_state = 'I';
    bool m_read_only = false;
    bool m_last = false;
};

endpoint::endpoint(asio::io_context& loop, group& owner, std::string id,
                   std::string domain, bool primary)
    : m_primary(primary), m_loop(loop), m_owner(owner), m_id(std::move(id)),
      m_domain(std::move(domain)), m_port(unused_port(loop))
{
    start();
}

void endpoint::start()
{
    if (m_acceptor)
        return;
    m_acceptor.emplace(m_loop, tcp::endpoint(loopback, m_port));
    m_started_ms = unix_ms();
    // A primary that crashed comes back as a replica when another one leads.
    if (m_owner.term() > m_term)
        m_primary = false;
    accept();
}

void endpoint::admit(const std::shared_ptr<connection>& from,
                     const std::string& line)
{
    if (!takes_slot(line))
        asio::post(m_loop,
                   [from, line]
                   {
                       if (from->m_socket.is_open())
                           from->serve(line);
                   });
    else if (m_working < slots)
        from->work(line);
    else if (m_queue.size() < longest_queue || absl::StartsWith(line, "START "))
        m_queue.emplace_back(from, line);
    else
        from->refuse_busy(line);
}

void endpoint::work_on()
{
    while (m_working < slots && !m_queue.empty())
    {
        const auto [from, line] = m_queue.front();
        m_queue.pop_front();
        if (from->m_socket.is_open())
            from->work(line);
    }
}

void endpoint::crash()
{
    m_acceptor.reset();
    ++m_process;
    m_working = 0;
    m_queue.clear();
    const auto open = m_connections;
    for (const auto& item : open)
        item->close();
    m_applied = m_log.size();
    m_received.clear();
}

void endpoint::accept()
{
    m_acceptor->async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (error)
                return;
            auto added = std::make_shared<connection>(*this, std::move(socket));
            m_connections.push_back(added);
            added->read();
            if (m_acceptor)
                accept();
        });
}

group::group(asio::io_context& loop, checker& judge, std::string name,
             const std::vector<std::string>& domains, std::size_t sync_replicas)
    : m_loop(loop), m_judge(judge), m_name(std::move(name)),
      m_sync_replicas(sync_replicas)
{
    for (std::size_t index = 0; index < domains.size(); ++index)
        m_endpoints.push_back(std::make_unique<endpoint>(
            m_loop, *this, absl::StrCat(m_name, "-e", index), domains[index],
            index == 0));
}

endpoint& group::leader()
{
    return **std::max_element(
        m_endpoints.begin(), m_endpoints.end(),
        [](const auto& one, const auto& other)
        {
            return std::make_pair(one->m_primary, one->m_term) <
                   std::make_pair(other->m_primary, other->m_term);
        });
}

bool group::promote(const std::string& id)
{
    for (const auto& item : m_endpoints)
        if (item->id() == id && item->runs())
        {
            const bool leads = item->m_primary && item->m_term == m_term;
            if (!leads && (!m_promoting || m_promoting->first != id))
                m_promoting = {id, clock::now() + promote_time};
            return true;
        }
    return false;
}

void group::tick()
{
    const auto now = clock::now();
    if (m_promoting && now >= m_promoting->second)
    {
        const auto chosen = std::exchange(m_promoting, std::nullopt)->first;
        for (const auto& item : m_endpoints)
            if (item->id() == chosen && item->runs())
                lead(*item);
    }
    endpoint& primary = leader();
    if (!primary.m_primary || !primary.runs() || primary.m_isolated)
        return;
    for (const auto& item : m_endpoints)
    {
        if (item.get() == &primary || !item->runs() || item->m_isolated)
            continue;
        if (item->m_primary && now - m_promoted_at < step_down_time)
            continue;
        item->m_primary = false;
        if (!item->m_deaf)
            follow(*item, primary);
    }
    acknowledge_replicated();
}

void group::when_replicated(const commit_ptr& what,
                            std::function<void()> acknowledge)
{
    if (m_sync_replicas == 0)
        acknowledge();
    else
        m_unacknowledged.emplace_back(what, std::move(acknowledge));
}

bool group::is_replicated(const commit_ptr& what) const
{
    const auto copies =
        std::count_if(m_endpoints.begin(), m_endpoints.end(),
                      [&what](const auto& item)
                      {
                          return item->m_log.size() >= what->m_number &&
                                 item->m_log[what->m_number - 1] == what;
                      });
    return static_cast<std::size_t>(copies) > m_sync_replicas;
}

void group::acknowledge_replicated()
{
    std::vector<std::function<void()>> due;
    std::erase_if(m_unacknowledged,
                  [this, &due](auto& item)
                  {
                      if (item.first->m_rolled_back)
                          return true;
                      if (!is_replicated(item.first))
                          return false;
                      due.push_back(std::move(item.second));
                      return true;
                  });
    for (const auto& acknowledge : due)
        acknowledge();
}

void group::judge_promotion(const endpoint& chosen)
{
    if (m_sync_replicas == 0)
        return;
    for (const auto& item : m_endpoints)
        for (const auto& entry : item->m_log)
        {
            const bool acknowledged =
                entry->m_acknowledged != clock::time_point::max();
            const bool kept = entry->m_number <= chosen.m_log.size() &&
                              chosen.m_log[entry->m_number - 1] == entry;
            if (acknowledged && !kept && !entry->m_rolled_back)
                m_judge.broken("LOST",
                               absl::StrCat("commit ", entry->m_term, ".",
                                            entry->m_number, " of ", m_name,
                                            " is not at ", chosen.m_id,
                                            ", which is promoted; ", item->m_id,
                                            " has it"));
        }
}

void group::lead(endpoint& chosen)
{
    judge_promotion(chosen);
    ++m_term;
    m_promoted_at = clock::now();
    chosen.m_primary = true;
    chosen.m_term = m_term;
    chosen.m_applied = chosen.m_log.size();
    chosen.m_received.clear();
    for (const auto& item : m_endpoints)
        for (const auto& entry : item->m_log)
            if (entry->m_number > chosen.m_log.size() ||
                chosen.m_log[entry->m_number - 1] != entry)
                entry->m_rolled_back = true;
}

void group::follow(endpoint& replica, const endpoint& primary)
{
    const auto now = clock::now();
    std::size_t common = 0;
    while (common < std::min(replica.m_log.size(), primary.m_log.size()) &&
           replica.m_log[common] == primary.m_log[common])
        ++common;
    if (common < replica.m_log.size())
    {
        replica.m_log.resize(common);
        replica.m_applied = std::min(replica.m_applied, common);
        replica.m_received.clear();
    }
    replica.m_term = primary.m_term;
    while (replica.m_log.size() < primary.m_log.size())
    {
        replica.m_log.push_back(primary.m_log[replica.m_log.size()]);
        replica.m_received.push_back(now);
    }
    while (!replica.m_received.empty() &&
           now - replica.m_received.front() >= replica.m_lag)
    {
        replica.m_received.pop_front();
        replica.m_applied = replica.m_log.size() - replica.m_received.size();
    }
    if (replica.m_received.empty())
        replica.m_applied = replica.m_log.size();
}

} // namespace magnoliastack::soak
