// A stand-in for the users' platform: a store of rows over HTTP and one
// database endpoint in the line protocol, both on loopback.
#ifndef MAGNOLIASTACK_TEST_SUPPORT_LINE_PLATFORM_HPP
#define MAGNOLIASTACK_TEST_SUPPORT_LINE_PLATFORM_HPP

#include <memory>
#include <string>
#include <vector>

namespace magnoliastack::test
{

// Serves on threads of its own until it is destroyed. Its configuration has
// the database `stock`, the key `key-1` of the organisation `souq`, and the
// primary `e0` of the group `g`.
class line_platform
{
public:
    line_platform();
    ~line_platform();

    line_platform(const line_platform&) = delete;
    line_platform& operator=(const line_platform&) = delete;

    [[nodiscard]] std::string store_address() const;

    // The operator puts a configuration with one more database in force.
    void add_database(const std::string& name);
    // Keeps a copy of the store's rows.
    void keep_copy();
    // The store comes back from the copy. The operator's next configuration and
    // other writes are there before the first answer, so that the versions that
    // hosts know have been given out again.
    void come_back_with_database(const std::string& name);

    // Writes an entry of an endpoint, or anything else, into the directory.
    void put_entry(const std::string& key, const std::string& text);
    // The text of an entry for the endpoint as a replica of its group.
    [[nodiscard]] std::string replica_entry() const;

    // The row with which the endpoint answers reads; `pearl` at first.
    void set_row(const std::string& row);
    // Keys of the rows that the hosts keep.
    [[nodiscard]] std::vector<std::string> fleet_keys() const;
    // All lines that the endpoint was sent.
    [[nodiscard]] std::vector<std::string> endpoint_received() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace magnoliastack::test

#endif
