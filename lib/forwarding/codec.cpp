#include "magnoliastack/forwarding/codec.hpp"

#include "magnoliastack/forwarding.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <limits>

namespace magnoliastack::forwarding
{
namespace
{

// Largest frame before packing. A few packed bytes can stand for kilobytes of
// zeros, so the length alone does not bound the memory of a damaged frame.
constexpr std::uint64_t largest_words = 1U << 20;

capnp::Data::Reader data(const std::string& from)
{
    return {reinterpret_cast<const kj::byte*>(from.data()), from.size()};
}

// The bytes of a Text or Data, also zeros.
template <typename Reader>
std::string bytes_of(const Reader& from)
{
    return {reinterpret_cast<const char*>(from.begin()), from.size()};
}

// The value of an enumerant; a newer sender may have more of them.
template <typename To, typename From>
To checked(From from, To last)
{
    KJ_REQUIRE(static_cast<unsigned>(from) <= static_cast<unsigned>(last),
               "unknown enumerant");
    return static_cast<To>(from);
}

// The enumerants have the same order in the schema and in the plain types.
static_assert(static_cast<int>(wire::Scope::NEXT) ==
              static_cast<int>(rpc::forwarded_scope::next));
static_assert(static_cast<int>(wire::StatementKind::MALFORMED) ==
              static_cast<int>(rpc::statement_kind::malformed));
static_assert(static_cast<int>(wire::Error::MALFORMED) ==
              static_cast<int>(rpc::statement_error::malformed));
static_assert(static_cast<int>(wire::TransactionState::FAILED) ==
              static_cast<int>(rpc::transaction_state::failed));

std::int64_t to_microseconds(absl::Duration from)
{
    return absl::ToInt64Microseconds(from);
}

absl::Duration from_microseconds(std::int64_t from)
{
    if (from == std::numeric_limits<std::int64_t>::max())
        return absl::InfiniteDuration();
    if (from == std::numeric_limits<std::int64_t>::min())
        return -absl::InfiniteDuration();
    return absl::Microseconds(from);
}

void write(wire::LogPoint::Builder to, const base::log_point& from)
{
    to.setTerm(from.m_term.value());
    to.setPosition(from.m_position.value());
}

base::log_point read(wire::LogPoint::Reader from)
{
    return {base::term(from.getTerm()), base::log_position(from.getPosition())};
}

void write(wire::Statement::Builder to, const rpc::opaque_statement& from)
{
    to.setId(data(from.m_id));
    to.setKind(static_cast<wire::StatementKind>(from.m_kind));
    to.setText(data(from.m_text));
    to.setName(data(from.m_name));
    to.setArgument(data(from.m_argument));
    to.setPreparesWrite(from.m_prepares_write);
}

rpc::opaque_statement read(wire::Statement::Reader from)
{
    rpc::opaque_statement to;
    to.m_id = bytes_of(from.getId());
    to.m_kind = checked(from.getKind(), rpc::statement_kind::malformed);
    to.m_text = bytes_of(from.getText());
    to.m_name = bytes_of(from.getName());
    to.m_argument = bytes_of(from.getArgument());
    to.m_prepares_write = from.getPreparesWrite();
    return to;
}

void write(wire::Run::Builder to, const rpc::forwarded_statement& from)
{
    to.setNumber(from.m_number.value());
    to.setEndpoint(from.m_endpoint.str());
    to.setEndpointStartedUnixMs(from.m_endpoint_started_unix_ms);
    to.setGroup(from.m_group.str());
    to.setOrganisation(from.m_organisation.str());
    to.setScope(static_cast<wire::Scope>(from.m_scope));
    write(to.initStatement(), from.m_statement);
    to.setWrites(from.m_writes);
    to.setPreparedShape(data(from.m_prepared_shape));
    to.setPreparedWrites(from.m_prepared_writes);
    auto values = to.initValues(static_cast<unsigned>(from.m_values.size()));
    unsigned index = 0;
    for (const auto& [name, value] : from.m_values)
    {
        auto item = values[index++];
        item.setName(data(name));
        item.setValue(data(value));
    }
    if (from.m_after)
        write(to.initAfter(), *from.m_after);
    to.setRoutePriority(from.m_route_priority);
    to.setOrganisationPriority(from.m_organisation_priority);
    to.setTimeLeftUs(to_microseconds(from.m_time_left));
    to.setStartWithinUs(to_microseconds(from.m_start_within));
}

rpc::forwarded_statement read(wire::Run::Reader from)
{
    rpc::forwarded_statement to;
    to.m_number = rpc::forwarding_number(from.getNumber());
    to.m_endpoint = base::endpoint_id(bytes_of(from.getEndpoint()));
    to.m_endpoint_started_unix_ms = from.getEndpointStartedUnixMs();
    to.m_group = base::group_id(bytes_of(from.getGroup()));
    to.m_organisation = base::organisation_id(bytes_of(from.getOrganisation()));
    to.m_scope = checked(from.getScope(), rpc::forwarded_scope::next);
    to.m_statement = read(from.getStatement());
    to.m_writes = from.getWrites();
    to.m_prepared_shape = bytes_of(from.getPreparedShape());
    to.m_prepared_writes = from.getPreparedWrites();
    for (const auto item : from.getValues())
        to.m_values.emplace(bytes_of(item.getName()),
                            bytes_of(item.getValue()));
    if (from.hasAfter())
        to.m_after = read(from.getAfter());
    to.m_route_priority = from.getRoutePriority();
    to.m_organisation_priority = from.getOrganisationPriority();
    to.m_time_left = from_microseconds(from.getTimeLeftUs());
    to.m_start_within = from_microseconds(from.getStartWithinUs());
    return to;
}

void write(wire::Answer::Builder to, const rpc::forwarded_answer& from)
{
    to.setNumber(from.m_number.value());
    to.setNotSent(from.m_not_sent);
    to.setHasError(from.m_error.has_value());
    if (from.m_error)
        to.setError(static_cast<wire::Error>(*from.m_error));
    to.setErrorText(data(from.m_error_text));
    auto rows = to.initRows(static_cast<unsigned>(from.m_rows.size()));
    unsigned index = 0;
    for (const auto& row : from.m_rows)
        rows.set(index++, data(row));
    if (from.m_signature)
        to.setSignature(data(*from.m_signature));
    to.setState(static_cast<wire::TransactionState>(from.m_state));
    if (from.m_position)
        write(to.initPosition(), *from.m_position);
}

rpc::forwarded_answer read(wire::Answer::Reader from)
{
    rpc::forwarded_answer to;
    to.m_number = rpc::forwarding_number(from.getNumber());
    to.m_not_sent = from.getNotSent();
    if (from.getHasError())
        to.m_error = checked(from.getError(), rpc::statement_error::malformed);
    to.m_error_text = bytes_of(from.getErrorText());
    for (const auto row : from.getRows())
        to.m_rows.push_back(bytes_of(row));
    if (from.hasSignature())
        to.m_signature = bytes_of(from.getSignature());
    to.m_state = checked(from.getState(), rpc::transaction_state::failed);
    if (from.hasPosition())
        to.m_position = read(from.getPosition());
    return to;
}

// Writes each kind of frame into the root.
struct frame_writer
{
    void operator()(const hello& from)
    {
        auto to = m_root.initHello();
        to.setTo(from.m_to.str());
        to.setFrom(from.m_from.str());
        to.setIncarnation(from.m_incarnation.value());
    }
    void operator()(const ping& /*from*/)
    {
        m_root.setPing();
    }
    void operator()(const pong& /*from*/)
    {
        m_root.setPong();
    }
    void operator()(const rpc::forwarding_message& from)
    {
        std::visit(*this, from);
    }
    void operator()(const rpc::forwarded_statement& from)
    {
        write(m_root.initRun(), from);
    }
    void operator()(const rpc::forwarded_answer& from)
    {
        write(m_root.initAnswer(), from);
    }
    void operator()(const rpc::forwarded_roll_back& from)
    {
        m_root.setRollBack(from.m_number.value());
    }
    void operator()(const rpc::forwarded_forget& from)
    {
        m_root.setForget(from.m_number.value());
    }
    void operator()(const rpc::forwarded_transaction_lost& from)
    {
        m_root.setTransactionLost(from.m_number.value());
    }
    void operator()(const rpc::forwarding_draining& /*from*/)
    {
        m_root.setDraining();
    }

    wire::Frame::Builder m_root;
};

frame read(wire::Frame::Reader root)
{
    using number = rpc::forwarding_number;
    using message = rpc::forwarding_message;
    switch (root.which())
    {
    case wire::Frame::HELLO:
    {
        const auto from = root.getHello();
        return hello{base::host_id(bytes_of(from.getTo())),
                     base::host_id(bytes_of(from.getFrom())),
                     base::incarnation(from.getIncarnation())};
    }
    case wire::Frame::RUN:
        return message(read(root.getRun()));
    case wire::Frame::ANSWER:
        return message(read(root.getAnswer()));
    case wire::Frame::ROLL_BACK:
        return message(rpc::forwarded_roll_back{number(root.getRollBack())});
    case wire::Frame::FORGET:
        return message(rpc::forwarded_forget{number(root.getForget())});
    case wire::Frame::TRANSACTION_LOST:
        return message(
            rpc::forwarded_transaction_lost{number(root.getTransactionLost())});
    case wire::Frame::PING:
        return ping{};
    case wire::Frame::PONG:
        return pong{};
    case wire::Frame::DRAINING:
        return message(rpc::forwarding_draining{});
    }
    KJ_FAIL_REQUIRE("unknown kind of frame");
}

} // namespace

base::result<std::string> encode(const frame& what)
{
    capnp::MallocMessageBuilder message;
    std::visit(frame_writer{message.initRoot<wire::Frame>()}, what);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto packed = out.getArray();
    if (packed.size() > largest_frame ||
        capnp::computeSerializedSizeInWords(message) > largest_words)
        return base::fail(base::error_code::invalid_argument,
                          "a frame of " + std::to_string(packed.size()) +
                              " bytes is larger than the limit");
    std::string result;
    result.reserve(length_bytes + packed.size());
    for (std::size_t index = 0; index < length_bytes; ++index)
        result.push_back(static_cast<char>(packed.size() >> (8 * index)));
    result.append(reinterpret_cast<const char*>(packed.begin()), packed.size());
    return result;
}

std::size_t frame_length(std::string_view bytes)
{
    std::size_t result = 0;
    for (std::size_t index = 0; index < length_bytes; ++index)
        result |=
            static_cast<std::size_t>(static_cast<unsigned char>(bytes[index]))
            << (8 * index);
    return result;
}

base::result<frame> decode(std::string_view bytes)
{
    frame result;
    // Cap'n Proto reports damaged input by exceptions; they end here.
    const auto problem = kj::runCatchingExceptions(
        [&]
        {
            kj::ArrayInputStream in(
                {reinterpret_cast<const kj::byte*>(bytes.data()),
                 bytes.size()});
            capnp::ReaderOptions limits;
            // Twice the size: a reader counts some words more than once.
            limits.traversalLimitInWords = 2 * largest_words;
            capnp::PackedMessageReader message(in, limits);
            KJ_REQUIRE(in.tryGetReadBuffer().size() == 0,
                       "bytes after the message");
            result = read(message.getRoot<wire::Frame>());
        });
    KJ_IF_MAYBE (what, problem)
        return base::fail(base::error_code::corrupt,
                          what->getDescription().cStr());
    return result;
}

} // namespace magnoliastack::forwarding
