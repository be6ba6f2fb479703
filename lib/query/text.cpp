#include "text.hpp"

#include "magnoliastack/cli/connection.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

namespace magnoliastack::query
{
namespace
{

constexpr std::size_t half_length = 16;

base::result<v1::Statement> wrong(const std::vector<std::string>& words,
                                  const char* expected)
{
    const auto text = absl::StrJoin(words, " ");
    return base::fail(
        base::error_code::invalid_argument,
        absl::StrCat("statement is `", text, "`, expected ", expected));
}

} // namespace

base::result<v1::Statement>
make_statement(const std::vector<std::string>& words)
{
    const auto& verb = words[0];
    const std::size_t count = words.size();
    if (count > 1 && words[1].empty() && verb != "scan")
        return wrong(words, "a key that is not empty");
    v1::Statement statement;
    if (verb == "get")
    {
        if (count != 2)
            return wrong(words, "get KEY");
        statement.mutable_get()->set_key(words[1]);
        return statement;
    }
    if (verb == "put")
    {
        if (count != 3)
            return wrong(words, "put KEY VALUE");
        statement.mutable_put()->set_key(words[1]);
        statement.mutable_put()->set_value(words[2]);
        return statement;
    }
    if (verb == "add")
    {
        std::int64_t amount = 0;
        if (count != 3 || !absl::SimpleAtoi(words[2], &amount))
            return wrong(words, "add KEY AMOUNT with a whole number");
        statement.mutable_add()->set_key(words[1]);
        statement.mutable_add()->set_amount(amount);
        return statement;
    }
    if (verb == "scan")
    {
        std::uint32_t limit = 0;
        if (count < 2 || (count == 3 && !absl::SimpleAtoi(words[2], &limit)))
            return wrong(words, "scan PREFIX [LIMIT] with a whole number");
        statement.mutable_scan()->set_prefix(words[1]);
        statement.mutable_scan()->set_limit(limit);
        return statement;
    }
    if (verb == "delete")
    {
        if (count != 2)
            return wrong(words, "delete KEY");
        statement.mutable_delete_()->set_key(words[1]);
        return statement;
    }
    return wrong(words, "one of get, put, add, scan, delete");
}

base::result<v1::Statement> parse_statement(const std::string& text)
{
    return make_statement(absl::StrSplit(text, absl::MaxSplits(' ', 2)));
}

bool is_write(const v1::Statement& statement)
{
    return !statement.has_get() && !statement.has_scan();
}

v1::RequestId make_request_id()
{
    auto id = parse_request_id(
        absl::StrCat(cli::random_id(), "-", absl::ToUnixMillis(absl::Now())));
    return id.value();
}

std::string to_text(const v1::RequestId& id)
{
    return absl::StrFormat("%016x%016x-%d", id.high(), id.low(),
                           id.issued_unix_ms());
}

base::result<v1::RequestId> parse_request_id(const std::string& text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, '-');
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    std::int64_t issued = 0;
    if (parts.size() != 2 || parts[0].size() != 2 * half_length ||
        parts[0].find_first_not_of("0123456789abcdef") != std::string::npos ||
        !absl::SimpleHexAtoi(parts[0].substr(0, half_length), &high) ||
        !absl::SimpleHexAtoi(parts[0].substr(half_length), &low) ||
        !absl::SimpleAtoi(parts[1], &issued) || issued <= 0)
        return base::fail(base::error_code::invalid_argument,
                          absl::StrCat("request id is ", text,
                                       ", expected 32 hexadecimal digits, `-` "
                                       "and a time in milliseconds, as "
                                       "magnolia-query printed it"));
    v1::RequestId id;
    id.set_high(high);
    id.set_low(low);
    id.set_issued_unix_ms(issued);
    return id;
}

} // namespace magnoliastack::query
