// A client that writes or reads, one statement after the other, with a new
// connection after each failure. It follows the pages' wire protocol.
#ifndef REVIEW_STANDIN_CLIENT_H
#define REVIEW_STANDIN_CLIENT_H

#include "platform.h"

namespace review
{

class client
{
public:
    struct answer
    {
        std::string m_id;
        std::string m_text;
        bool m_done = false;
        std::string m_signature;
        std::vector<std::string> m_rows;
        std::string m_error;
        double m_sent_at = 0;
        double m_answered_at = 0;
    };
    // Gives the text of the next statement in the session's state I, T or E.
    using next_text =
        std::function<std::string(const std::string& id, char state)>;

    client(asio::io_context& loop, record& to, std::string name,
           unsigned short host, std::string database, std::string key, ms pause,
           next_text text)
        : m_loop(loop), m_record(to), m_name(std::move(name)), m_host(host),
          m_database(std::move(database)), m_key(std::move(key)),
          m_pause(pause), m_text(std::move(text)), m_timer(loop),
          m_deadline(loop)
    {
        connect();
    }

    void stop()
    {
        m_stopped = true;
        close();
    }

    std::function<void(const answer&)> m_on_answer;
    std::size_t m_succeeded = 0;
    std::size_t m_failed = 0;

private:
    static constexpr ms patience{3000};

    void connect()
    {
        if (m_stopped)
            return;
        ++m_round;
        m_socket = std::make_shared<tcp::socket>(m_loop);
        m_input = std::make_shared<asio::streambuf>();
        m_started = false;
        m_state = 'I';
        watch();
        m_socket->async_connect(
            {loopback, m_host},
            [this, round = m_round](error_code error)
            {
                if (round != m_round)
                    return;
                if (error)
                {
                    again();
                    return;
                }
                error_code ignored;
                m_socket->set_option(tcp::no_delay(true), ignored);
                send("START " + m_database + " " + m_key + "\r\n");
                read();
            });
    }

    void watch()
    {
        m_deadline.expires_after(patience);
        m_deadline.async_wait(
            [this, round = m_round](error_code error)
            {
                if (!error && round == m_round)
                    lost("no answer");
            });
    }

    void send(std::string bytes)
    {
        const auto held = std::make_shared<std::string>(std::move(bytes));
        asio::async_write(
            *m_socket, asio::buffer(*held),
            [held, socket = m_socket](error_code, std::size_t) {});
    }

    void read()
    {
        asio::async_read_until(
            *m_socket, *m_input, "\r\n",
            [this, round = m_round, socket = m_socket,
             input = m_input](error_code error, std::size_t count)
            {
                if (round != m_round)
                    return;
                if (error)
                {
                    lost("closed");
                    return;
                }
                std::string line(count - 2, '\0');
                std::istream stream(input.get());
                stream.read(line.data(),
                            static_cast<std::streamsize>(line.size()));
                stream.ignore(2);
                received(line);
                if (round == m_round)
                    read();
            });
    }

    void received(const std::string& line)
    {
        if (!m_started)
        {
            if (!line.starts_with("READY I"))
            {
                again();
                return;
            }
            m_started = true;
            m_deadline.cancel();
            pause();
            return;
        }
        if (!m_waiting)
        {
            m_record.line(m_name +
                          " got a message while none was due: " + line);
            again();
            return;
        }
        if (line.starts_with("ROW "))
            m_present.m_rows.push_back(line.substr(4));
        else if (line.starts_with("DONE "))
        {
            m_present.m_done = true;
            m_present.m_signature = line.substr(5);
        }
        else if (line.starts_with("ERR "))
            m_present.m_error = line.substr(4);
        else if (line.starts_with("READY "))
        {
            m_deadline.cancel();
            m_state = line.size() > 6 ? line[6] : 'I';
            end();
            pause();
        }
    }

    void lost(const std::string& why)
    {
        if (m_waiting)
        {
            m_present.m_error = "(" + why + ")";
            end();
        }
        again();
    }

    void end()
    {
        m_waiting = false;
        m_present.m_answered_at = m_record.now();
        ++(m_present.m_done ? m_succeeded : m_failed);
        if (m_on_answer)
            m_on_answer(m_present);
    }

    void again()
    {
        close();
        m_timer.expires_after(ms(100));
        m_timer.async_wait(
            [this](error_code error)
            {
                if (!error)
                    connect();
            });
    }

    void close()
    {
        ++m_round;
        m_waiting = false;
        m_deadline.cancel();
        m_timer.cancel();
        error_code ignored;
        if (m_socket)
            m_socket->close(ignored);
    }

    void pause()
    {
        m_timer.expires_after(m_pause);
        m_timer.async_wait(
            [this, round = m_round](error_code error)
            {
                if (!error && round == m_round && !m_stopped)
                    ask();
            });
    }

    void ask()
    {
        m_present = {};
        m_present.m_id = m_name + "-" + std::to_string(++m_number);
        m_present.m_text = m_text(m_present.m_id, m_state);
        m_present.m_sent_at = m_record.now();
        m_waiting = true;
        watch();
        send("QUERY " + m_present.m_id + " " + m_present.m_text + "\r\n");
    }

    asio::io_context& m_loop;
    record& m_record;
    std::string m_name;
    unsigned short m_host;
    std::string m_database;
    std::string m_key;
    ms m_pause;
    next_text m_text;
    asio::steady_timer m_timer;
    asio::steady_timer m_deadline;
    std::shared_ptr<tcp::socket> m_socket;
    std::shared_ptr<asio::streambuf> m_input;
    answer m_present;
    std::size_t m_round = 0;
    std::size_t m_number = 0;
    char m_state = 'I';
    bool m_started = false;
    bool m_waiting = false;
    bool m_stopped = false;
};

} // namespace review

#endif
