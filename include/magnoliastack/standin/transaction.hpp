// Uncommitted changes of one transaction on top of the applied rows.
#ifndef MAGNOLIASTACK_STANDIN_TRANSACTION_HPP
#define MAGNOLIASTACK_STANDIN_TRANSACTION_HPP

#include "magnoliastack/base/error.hpp"
#include "magnoliastack/standin/log_store.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnoliastack::standin
{

// Evaluates statements against the applied rows and keeps the changes to
// itself. Isolation is optimistic: a commit fails when a key or prefix that
// the transaction has read was changed by another commit since it began. Locks
// were ruled out because a silent connection would hold them until it closes.
class transaction
{
public:
    // Begins at the store's applied position, in a term of the endpoint.
    transaction(const log_store& store, base::term began_in);

    // Runs one statement. A failed statement changes nothing.
    base::result<std::vector<rpc::row>> run(const rpc::statement& item);

    // The term in which the transaction began.
    [[nodiscard]] base::term began_in() const;

    // True when what was read has since been changed by another commit.
    [[nodiscard]] bool has_conflict() const;

    // The changes for the log entry, by key.
    [[nodiscard]] std::vector<row_change> changes() const;

private:
    using rows_or_error = base::result<std::vector<rpc::row>>;

    [[nodiscard]] std::optional<std::string> value_of(const std::string& key);
    rows_or_error run_one(const rpc::get_statement& item);
    rows_or_error run_one(const rpc::scan_statement& item);
    rows_or_error run_one(const rpc::put_statement& item);
    rows_or_error run_one(const rpc::add_statement& item);
    rows_or_error run_one(const rpc::delete_statement& item);

    const log_store* m_store;
    base::term m_began_in;
    base::log_position m_began_at;
    std::map<std::string, std::optional<std::string>> m_changes;
    std::set<std::string> m_keys_read;
    std::set<std::string> m_prefixes_read;
};

} // namespace magnoliastack::standin

#endif
