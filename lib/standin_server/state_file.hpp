// Durable state of an endpoint in append-only files.
#ifndef MAGNOLIASTACK_STANDIN_SERVER_STATE_FILE_HPP
#define MAGNOLIASTACK_STANDIN_SERVER_STATE_FILE_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/standin/endpoint_model.hpp"

#include <fstream>
#include <string>
#include <vector>

namespace magnoliastack::standin_server
{

// Keeps the log and term in FILE and the seal in FILE.seal, as delimited
// messages of the public contract. A record is flushed to the operating system
// before the endpoint answers, so that a killed process loses nothing; a
// crash of the machine is not covered.
class state_file
{
public:
    // Opens or creates the files and reads what they hold.
    static base::result<state_file> open(const std::string& name);

    // True when an earlier process has written.
    [[nodiscard]] bool has_state() const;

    // Takes what was read.
    standin::durable_state take();

    // Writes what has changed since the last call.
    void write(const standin::endpoint_model& model);

private:
    void write_seal(const standin::durable_state& state);

    std::ofstream m_log;
    std::ofstream m_seal;
    standin::durable_state m_written;
    // Term of each written entry, by position from 1.
    std::vector<base::term> m_terms;
};

} // namespace magnoliastack::standin_server

#endif
