#include "magnoliastack/standin/transaction.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cstdint>
#include <variant>

namespace magnoliastack::standin
{

transaction::transaction(const log_store& store, base::term began_in)
    : m_store(&store), m_began_in(began_in), m_began_at(store.applied())
{
}

base::result<std::vector<rpc::row>> transaction::run(const rpc::statement& item)
{
    return std::visit(
        [this](const auto& kind)
        {
            return run_one(kind);
        },
        item);
}

base::term transaction::began_in() const
{
    return m_began_in;
}

bool transaction::has_conflict() const
{
    return std::ranges::any_of(m_keys_read,
                               [this](const std::string& key)
                               {
                                   return m_store->key_changed_after(
                                       key, m_began_at);
                               }) ||
           std::ranges::any_of(m_prefixes_read,
                               [this](const std::string& prefix)
                               {
                                   return m_store->prefix_changed_after(
                                       prefix, m_began_at);
                               });
}

std::vector<row_change> transaction::changes() const
{
    std::vector<row_change> list;
    for (const auto& [key, value] : m_changes)
        list.push_back({key, value.value_or(""), !value.has_value()});
    return list;
}

std::optional<std::string> transaction::value_of(const std::string& key)
{
    if (const auto own = m_changes.find(key); own != m_changes.end())
        return own->second;
    m_keys_read.insert(key);
    const auto found = m_store->rows().find(key);
    if (found == m_store->rows().end())
        return std::nullopt;
    return found->second;
}

transaction::rows_or_error transaction::run_one(const rpc::get_statement& item)
{
    std::vector<rpc::row> rows;
    if (auto value = value_of(item.m_key))
        rows.push_back({item.m_key, *std::move(value)});
    return rows;
}

transaction::rows_or_error transaction::run_one(const rpc::scan_statement& item)
{
    // The contract's meaning of a limit of 0.
    constexpr std::uint32_t default_limit = 1000;
    const std::size_t limit = item.m_limit == 0 ? default_limit : item.m_limit;
    m_prefixes_read.insert(item.m_prefix);

    std::vector<rpc::row> rows;
    auto stored = m_store->rows().lower_bound(item.m_prefix);
    auto own = m_changes.lower_bound(item.m_prefix);
    const auto stored_end = m_store->rows().end();
    const auto in_prefix = [&](const std::string& key)
    {
        return key.starts_with(item.m_prefix);
    };
    while (rows.size() < limit)
    {
        const bool has_stored =
            stored != stored_end && in_prefix(stored->first);
        const bool has_own = own != m_changes.end() && in_prefix(own->first);
        if (!has_stored && !has_own)
            break;
        if (has_own && (!has_stored || own->first <= stored->first))
        {
            if (has_stored && own->first == stored->first)
                ++stored;
            if (own->second)
                rows.push_back({own->first, *own->second});
            ++own;
            continue;
        }
        rows.push_back({stored->first, stored->second});
        ++stored;
    }
    return rows;
}

transaction::rows_or_error transaction::run_one(const rpc::put_statement& item)
{
    m_changes[item.m_key] = item.m_value;
    return std::vector<rpc::row>{};
}

transaction::rows_or_error transaction::run_one(const rpc::add_statement& item)
{
    std::int64_t number = 0;
    const auto value = value_of(item.m_key);
    if (value && !absl::SimpleAtoi(*value, &number))
        return base::fail(base::error_code::invalid_argument,
                          absl::StrCat("value of \"", item.m_key,
                                       "\" is not a number, cannot add"));
    std::int64_t sum = 0;
    if (__builtin_add_overflow(number, item.m_amount, &sum))
        return base::fail(
            base::error_code::invalid_argument,
            absl::StrCat("sum at \"", item.m_key, "\" exceeds 64 bits"));
    m_changes[item.m_key] = absl::StrCat(sum);
    return std::vector<rpc::row>{{item.m_key, absl::StrCat(sum)}};
}

transaction::rows_or_error
transaction::run_one(const rpc::delete_statement& item)
{
    m_changes[item.m_key] = std::nullopt;
    return std::vector<rpc::row>{};
}

} // namespace magnoliastack::standin
