// A client writes data with a line feed in it.
#include "scenarios.h"

#include "world.h"

namespace review
{
namespace
{

const std::string database = "davo14a";

} // namespace

int line_feed(const std::string& record_path, const std::string& folder,
              bool trouble)
{
    world all(record_path, folder, {database});
    record& log = all.m_record;
    if (!all.start())
        return could_not_run;

    // What the clients sent, by id, and whether it was checked.
    std::map<std::string, std::string> sent;
    std::size_t checked = 0;
    all.database(database).m_on_line =
        [&](const std::string& backend, const std::string& line)
    {
        if (!line.starts_with("QUERY ") || line.starts_with("QUERY - "))
            return;
        const auto id_end = line.find(' ', 6);
        const std::string id = line.substr(6, id_end - 6);
        const std::string text =
            id_end == std::string::npos ? "" : line.substr(id_end + 1);
        log.line("backend " + backend + " got " + json(line).dump());
        const auto known = sent.find(id);
        if (known == sent.end())
            log.broken("UNASKED: " + backend + " runs " + id +
                       ", which no client sent");
        else if (known->second != text)
            log.broken("UNASKED: " + backend + " runs " + id +
                       " with changed text");
        else
            ++checked;
    };
    std::size_t count = 0;
    client one(all.m_loop, log, "c0", all.m_hosts[0]->m_callers,
               "settle-" + database, "u3f1", ms(100),
               [&](const std::string& id, char /*state*/)
               {
                   // A note of two lines, as a person may enter it.
                   const std::string note =
                       trouble && ++count == 10
                           ? "two shells\nQUERY z1 WRITE 9c9 forged"
                           : "two shells / QUERY z1 WRITE 9c9 forged";
                   sent[id] = "WRITE 1a4 " + note;
                   log.line("client sends " + id + " " + json(sent[id]).dump());
                   return sent[id];
               });
    one.m_on_answer = [&](const client::answer& what)
    {
        log.line(
            "client " + what.m_id + " " +
            (what.m_done ? "DONE " + what.m_signature : "ERR " + what.m_error));
    };
    if (!all.run(ms(15000),
                 [&]
                 {
                     return one.m_succeeded > 5;
                 }))
        return could_not_run;
    all.run(ms(4000));
    one.stop();
    log.line("statements that arrived as they were sent: " +
             std::to_string(checked));
    if (!all.all_run())
        log.broken("FAULT: a process has ended by itself");
    return log.broken_count() > 0 ? rule_broken : rule_held;
}

} // namespace review
