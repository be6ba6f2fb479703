// Frames of the streams between hosts, without a network.
#include "magnoliastack/forwarding/codec.hpp"

#include <random>
#include <string>

#include <criterion/criterion.h>

namespace base = magnoliastack::base;
namespace forwarding = magnoliastack::forwarding;
namespace rpc = magnoliastack::rpc;
using namespace std::string_literals;

namespace
{

// Bytes that a text protocol would damage.
const std::string odd_bytes = "a\0b\r\n\n\xff\xfe\0"s;

rpc::forwarded_statement full_statement()
{
    rpc::forwarded_statement result;
    result.m_number = rpc::forwarding_number(0xffffffffffffffffU);
    result.m_endpoint = base::endpoint_id("e-1");
    result.m_endpoint_started_unix_ms = -5;
    result.m_group = base::group_id("ledger-1");
    result.m_organisation = base::organisation_id("org-1");
    result.m_scope = rpc::forwarded_scope::first_read_only;
    result.m_statement = {"id" + odd_bytes,   rpc::statement_kind::execute,
                          "text" + odd_bytes, "name" + odd_bytes,
                          "arg" + odd_bytes,  true};
    result.m_writes = true;
    result.m_prepared_shape = "shape" + odd_bytes;
    result.m_prepared_writes = true;
    result.m_values = {{"v1" + odd_bytes, "x" + odd_bytes}, {"v2", ""}};
    result.m_after = {base::term(3), base::log_position(4)};
    result.m_route_priority = 5;
    result.m_organisation_priority = 6;
    result.m_time_left = absl::Microseconds(1234567);
    result.m_start_within = absl::Microseconds(-7);
    return result;
}

rpc::forwarded_answer full_answer()
{
    rpc::forwarded_answer result;
    result.m_number = rpc::forwarding_number(9);
    result.m_not_sent = true;
    result.m_error = rpc::statement_error::lagging;
    result.m_error_text = "error" + odd_bytes;
    result.m_rows = {"row" + odd_bytes, "", "third"};
    result.m_signature = "sig" + odd_bytes;
    result.m_state = rpc::transaction_state::failed;
    result.m_position = {base::term(7), base::log_position(8)};
    return result;
}

std::string encoded(const forwarding::frame& what)
{
    const auto bytes = forwarding::encode(what);
    cr_assert(bytes.has_value());
    cr_assert_eq(forwarding::frame_length(*bytes) + forwarding::length_bytes,
                 bytes->size());
    return bytes->substr(forwarding::length_bytes);
}

forwarding::frame round_trip(const forwarding::frame& what)
{
    auto result = forwarding::decode(encoded(what));
    cr_assert(result.has_value());
    return std::move(*result);
}

template <typename Message>
Message message_round_trip(const Message& what)
{
    const auto result = round_trip(rpc::forwarding_message(what));
    return std::get<Message>(std::get<rpc::forwarding_message>(result));
}

void expect_equal(const rpc::forwarded_statement& left,
                  const rpc::forwarded_statement& right)
{
    cr_assert(left.m_number == right.m_number);
    cr_assert(left.m_endpoint == right.m_endpoint);
    cr_assert(left.m_endpoint_started_unix_ms ==
              right.m_endpoint_started_unix_ms);
    cr_assert(left.m_group == right.m_group);
    cr_assert(left.m_organisation == right.m_organisation);
    cr_assert(left.m_scope == right.m_scope);
    cr_assert(left.m_statement.m_id == right.m_statement.m_id);
    cr_assert(left.m_statement.m_kind == right.m_statement.m_kind);
    cr_assert(left.m_statement.m_text == right.m_statement.m_text);
    cr_assert(left.m_statement.m_name == right.m_statement.m_name);
    cr_assert(left.m_statement.m_argument == right.m_statement.m_argument);
    cr_assert(left.m_statement.m_prepares_write ==
              right.m_statement.m_prepares_write);
    cr_assert(left.m_writes == right.m_writes);
    cr_assert(left.m_prepared_shape == right.m_prepared_shape);
    cr_assert(left.m_prepared_writes == right.m_prepared_writes);
    cr_assert(left.m_values == right.m_values);
    cr_assert(left.m_after == right.m_after);
    cr_assert(left.m_route_priority == right.m_route_priority);
    cr_assert(left.m_organisation_priority == right.m_organisation_priority);
    cr_assert(left.m_time_left == right.m_time_left);
    cr_assert(left.m_start_within == right.m_start_within);
}

void expect_equal(const rpc::forwarded_answer& left,
                  const rpc::forwarded_answer& right)
{
    cr_assert(left.m_number == right.m_number);
    cr_assert(left.m_not_sent == right.m_not_sent);
    cr_assert(left.m_error == right.m_error);
    cr_assert(left.m_error_text == right.m_error_text);
    cr_assert(left.m_rows == right.m_rows);
    cr_assert(left.m_signature == right.m_signature);
    cr_assert(left.m_state == right.m_state);
    cr_assert(left.m_position == right.m_position);
}

} // namespace

// Guards against a field of a statement that is lost or damaged by zeros and
// line breaks on the way.
Test(codec, statement_keeps_every_field)
{
    expect_equal(message_round_trip(full_statement()), full_statement());
    expect_equal(message_round_trip(rpc::forwarded_statement{}),
                 rpc::forwarded_statement{});
}

// Guards against an absent error, signature or position that arrives as an
// empty one, and against lost fields of an answer.
Test(codec, answer_keeps_every_field)
{
    expect_equal(message_round_trip(full_answer()), full_answer());
    expect_equal(message_round_trip(rpc::forwarded_answer{}),
                 rpc::forwarded_answer{});
    rpc::forwarded_answer empty_signature;
    empty_signature.m_signature = "";
    expect_equal(message_round_trip(empty_signature), empty_signature);
}

// Guards against an enumerant that changes its meaning on the way.
Test(codec, every_enumerant_survives)
{
    for (int value = 0;
         value <= static_cast<int>(rpc::statement_kind::malformed); ++value)
    {
        auto what = full_statement();
        what.m_statement.m_kind = static_cast<rpc::statement_kind>(value);
        expect_equal(message_round_trip(what), what);
    }
    for (int value = 0; value <= static_cast<int>(rpc::forwarded_scope::next);
         ++value)
    {
        auto what = full_statement();
        what.m_scope = static_cast<rpc::forwarded_scope>(value);
        expect_equal(message_round_trip(what), what);
    }
    for (int value = 0;
         value <= static_cast<int>(rpc::statement_error::malformed); ++value)
    {
        auto what = full_answer();
        what.m_error = static_cast<rpc::statement_error>(value);
        expect_equal(message_round_trip(what), what);
    }
    for (int value = 0;
         value <= static_cast<int>(rpc::transaction_state::failed); ++value)
    {
        auto what = full_answer();
        what.m_state = static_cast<rpc::transaction_state>(value);
        expect_equal(message_round_trip(what), what);
    }
}

// Guards against an unlimited time that arrives as one in the past.
Test(codec, unlimited_time_stays_unlimited)
{
    auto what = full_statement();
    what.m_time_left = absl::InfiniteDuration();
    what.m_start_within = -absl::InfiniteDuration();
    expect_equal(message_round_trip(what), what);
}

// Guards against a small message that is taken for another one.
Test(codec, small_messages_keep_kind_and_number)
{
    const rpc::forwarding_number number(77);
    cr_assert(message_round_trip(rpc::forwarded_roll_back{number}).m_number ==
              number);
    cr_assert(message_round_trip(rpc::forwarded_forget{number}).m_number ==
              number);
    cr_assert(
        message_round_trip(rpc::forwarded_transaction_lost{number}).m_number ==
        number);
    message_round_trip(rpc::forwarding_draining{});
    cr_assert(std::holds_alternative<forwarding::ping>(
        round_trip(forwarding::ping{})));
    cr_assert(std::holds_alternative<forwarding::pong>(
        round_trip(forwarding::pong{})));
    const auto greeting = std::get<forwarding::hello>(
        round_trip(forwarding::hello{base::host_id("to"), base::host_id("from"),
                                     base::incarnation(12)}));
    cr_assert(greeting.m_to == base::host_id("to"));
    cr_assert(greeting.m_from == base::host_id("from"));
    cr_assert(greeting.m_incarnation == base::incarnation(12));
}

// Guards against a truncated frame that is read as a shorter statement.
Test(codec, truncated_frames_are_corrupt)
{
    const auto bytes = encoded(rpc::forwarding_message(full_statement()));
    for (std::size_t length = 0; length < bytes.size(); ++length)
        cr_assert(!forwarding::decode({bytes.data(), length}).has_value(),
                  "length %zu", length);
    cr_assert(!forwarding::decode(bytes + "x").has_value());
}

// Guards against a crash or an endless read on damaged frames.
Test(codec, damaged_frames_end_in_a_result)
{
    const auto bytes = encoded(rpc::forwarding_message(full_statement()));
    std::mt19937 random(20261204);
    for (int round = 0; round < 20000; ++round)
    {
        auto damaged = bytes;
        for (int count = 0; count < 3; ++count)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        const auto result = forwarding::decode(damaged);
        if (!result)
            cr_assert(result.error().m_code == base::error_code::corrupt);
    }
}

// Guards against a small frame of packed zeros that takes gigabytes of memory.
Test(codec, packed_zeros_do_not_exhaust_memory)
{
    // One segment of 2^30 words, then runs of 256 words of zeros.
    std::string bytes = "\x50\x40\x00"s;
    bytes.resize(100000, '\0');
    cr_assert(!forwarding::decode(bytes).has_value());
}

// Guards against a frame that the receiver would close the stream for.
Test(codec, too_large_messages_are_not_encoded)
{
    auto what = full_statement();
    what.m_statement.m_text = std::string(1U << 20, 'x');
    cr_assert(forwarding::encode(rpc::forwarding_message(what)).has_value());
    what.m_statement.m_text = std::string(forwarding::largest_frame, 'x');
    const auto result = forwarding::encode(rpc::forwarding_message(what));
    cr_assert(!result.has_value());
    cr_assert(result.error().m_code == base::error_code::invalid_argument);
    rpc::forwarded_answer many_rows;
    many_rows.m_rows.resize(2U << 20);
    cr_assert(
        !forwarding::encode(rpc::forwarding_message(many_rows)).has_value());
}
