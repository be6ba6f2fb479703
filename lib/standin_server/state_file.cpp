#include "state_file.hpp"

#include "conversion.hpp"

#include "magnoliastack/base/invariant.hpp"

#include "absl/strings/str_cat.h"
#include "google/protobuf/io/zero_copy_stream_impl.h"
#include "google/protobuf/util/delimited_message_util.h"

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <system_error>
#include <utility>

namespace magnoliastack::standin_server
{

namespace
{

// Visits the complete messages of a file and cuts off a torn one at its end,
// behind which no later record could be read.
template <typename Message, typename Visitor>
void read_messages(const std::string& name, Visitor visit)
{
    std::int64_t complete = 0;
    {
        std::ifstream file(name, std::ios::binary);
        google::protobuf::io::IstreamInputStream stream(&file);
        Message message;
        while (google::protobuf::util::ParseDelimitedFromZeroCopyStream(
            &message, &stream, nullptr))
        {
            visit(message);
            message.Clear();
            complete = stream.ByteCount();
        }
    }
    std::error_code ignored;
    if (std::filesystem::file_size(name, ignored) !=
        static_cast<std::uintmax_t>(complete))
        std::filesystem::resize_file(
            name, static_cast<std::uintmax_t>(complete), ignored);
}

void append(std::ofstream& file, const google::protobuf::Message& message)
{
    google::protobuf::util::SerializeDelimitedToOstream(message, &file);
    file.flush();
    MAGNOLIASTACK_INVARIANT(file.good(),
                            "an endpoint answers only after its state is kept");
}

} // namespace

base::result<state_file> state_file::open(const std::string& name)
{
    state_file out;
    const std::string seal_name = name + ".seal";
    standin::durable_state& state = out.m_written;
    read_messages<v1::PullResponse>(
        name,
        [&](const v1::PullResponse& record)
        {
            state.m_entries.resize(record.resume_after());
            for (const v1::LogEntry& entry : record.entries())
                state.m_entries.push_back(to_entry(entry));
            state.m_accepted_term = base::term(record.term());
            state.m_primary = record.primary();
            state.m_term_start = base::log_position(record.term_start());
        });
    read_messages<v1::SealRequest>(seal_name,
                                   [&](const v1::SealRequest& record)
                                   {
                                       state.m_sealed_term =
                                           base::term(record.term());
                                       state.m_sealed_by =
                                           base::host_id(record.promoter());
                                   });
    for (const standin::log_entry& entry : state.m_entries)
        out.m_terms.push_back(entry.m_point.m_term);
    out.m_log.open(name, std::ios::binary | std::ios::app);
    out.m_seal.open(seal_name, std::ios::binary | std::ios::app);
    if (!out.m_log || !out.m_seal)
        return base::fail(base::error_code::unavailable,
                          absl::StrCat("cannot write state file ", name,
                                       ", choose a writable folder"));
    return out;
}

bool state_file::has_state() const
{
    return m_written.m_sealed_term.value() > 0;
}

standin::durable_state state_file::take()
{
    standin::durable_state state = m_written;
    m_written.m_entries.clear();
    return state;
}

void state_file::write(const standin::endpoint_model& model)
{
    const standin::durable_state state = model.durable();
    write_seal(state);
    const standin::log_store& log = model.log();
    const std::uint64_t held = log.held().m_position.value();
    // The term and position of an entry identify it in every log.
    std::uint64_t kept = std::min<std::uint64_t>(held, m_terms.size());
    while (kept > 0 &&
           log.term_at(base::log_position(kept)) != m_terms[kept - 1])
        --kept;
    if (kept == held && kept == m_terms.size() &&
        state.m_accepted_term == m_written.m_accepted_term)
        return;
    v1::PullResponse record;
    record.set_resume_after(kept);
    record.set_term(state.m_accepted_term.value());
    record.set_primary(state.m_primary);
    record.set_term_start(state.m_term_start.value());
    m_terms.resize(kept);
    for (std::uint64_t index = kept; index < held; ++index)
    {
        const standin::log_entry& entry = log.entries()[index];
        *record.add_entries() = to_message(entry);
        m_terms.push_back(entry.m_point.m_term);
    }
    append(m_log, record);
    m_written = state;
}

void state_file::write_seal(const standin::durable_state& state)
{
    if (state.m_sealed_term == m_written.m_sealed_term)
        return;
    v1::SealRequest record;
    record.set_term(state.m_sealed_term.value());
    record.set_promoter(state.m_sealed_by.str());
    append(m_seal, record);
    m_written.m_sealed_term = state.m_sealed_term;
}

} // namespace magnoliastack::standin_server
