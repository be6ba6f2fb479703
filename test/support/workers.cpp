#include "workers.hpp"

#include <grpcpp/grpcpp.h>
#include <utility>

namespace magnoliastack::test
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr auto try_deadline = std::chrono::milliseconds(2'500);
constexpr auto settle_limit = std::chrono::seconds(40);
constexpr auto retry_pause = std::chrono::milliseconds(20);

outcome outcome_of(const v1::Refusal& refusal)
{
    return refusal.execution() == v1::EXECUTION_NOT_RUN ? outcome::not_run
                                                        : outcome::unknown;
}

int elapsed_ms(clock::time_point since)
{
    return static_cast<int>(
        std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() -
                                                              since)
            .count());
}

} // namespace

caller::caller(deployment& fleet, std::string key, unsigned seed)
    : m_key(std::move(key)), m_random(seed)
{
    for (int index = 0; index < fleet.proxy_count(); ++index)
        m_stubs.push_back(fleet.callers(index));
}

int caller::next_proxy()
{
    return static_cast<int>(m_random() % m_stubs.size());
}

v1::RequestId caller::new_id()
{
    v1::RequestId id;
    id.set_high(m_random() ^ static_cast<std::uint64_t>(
                                 clock::now().time_since_epoch().count()));
    id.set_low(m_random());
    id.set_issued_unix_ms(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    return id;
}

response caller::execute(const v1::ExecuteRequest& request,
                         std::chrono::milliseconds deadline)
{
    return execute_at(next_proxy(), request, deadline);
}

response caller::execute_at(int proxy, const v1::ExecuteRequest& request,
                            std::chrono::milliseconds deadline)
{
    grpc::ClientContext context;
    prepare(context, m_key, deadline);
    v1::ExecuteRequest with_token = request;
    with_token.set_session_token(m_token);
    auto reader =
        m_stubs[static_cast<std::size_t>(proxy)]->Execute(&context, with_token);
    response result;
    v1::ExecuteResponse part;
    while (reader->Read(&part))
    {
        for (const v1::Row& row : part.rows())
            result.m_rows.push_back(row);
        if (part.has_refusal())
        {
            result.m_refusal = part.refusal();
            result.m_outcome = outcome_of(part.refusal());
        }
        if (!part.has_end())
            continue;
        result.m_outcome = outcome::done;
        result.m_repeated = part.end().repeated();
        if (part.end().row_count() != result.m_rows.size())
            result.m_outcome = outcome::unknown;
        else
            m_token = part.end().session_token();
    }
    reader->Finish();
    return result;
}

response caller::increment(const std::string& key, const v1::RequestId& id,
                           std::chrono::milliseconds deadline)
{
    grpc::ClientContext context;
    prepare(context, m_key, deadline);
    auto stream =
        m_stubs[static_cast<std::size_t>(next_proxy())]->Transact(&context);
    response result;
    // Until the commit is sent, a broken stream rolls the transaction back.
    result.m_outcome = outcome::not_run;
    v1::TransactResponse answer;
    const auto step = [&](const v1::TransactRequest& request)
    {
        if (!stream->Write(request) || !stream->Read(&answer))
            return false;
        if (answer.has_refusal())
        {
            result.m_refusal = answer.refusal();
            result.m_outcome = outcome_of(answer.refusal());
        }
        return answer.has_end();
    };
    v1::TransactRequest request;
    request.mutable_begin()->set_route("orders");
    request.mutable_begin()->set_session_token(m_token);
    bool open = step(request);
    long value = 0;
    if (open)
    {
        request.mutable_statement()->mutable_get()->set_key(key);
        open = step(request);
        if (open && answer.rows_size() == 1)
            value = std::stol(answer.rows(0).value());
    }
    if (open)
    {
        v1::PutStatement& put = *request.mutable_statement()->mutable_put();
        put.set_key(key);
        put.set_value(std::to_string(value + 1));
        open = step(request);
    }
    if (open)
    {
        *request.mutable_commit()->mutable_request_id() = id;
        result.m_outcome = outcome::unknown;
        if (step(request))
        {
            result.m_outcome = outcome::done;
            m_token = answer.end().session_token();
            v1::Row row;
            row.set_key(key);
            row.set_value(std::to_string(value + 1));
            result.m_rows.push_back(row);
        }
    }
    stream->WritesDone();
    context.TryCancel();
    stream->Finish();
    return result;
}

v1::ExecuteRequest add_one(const std::string& key, const v1::RequestId& id)
{
    v1::ExecuteRequest request;
    request.set_route("orders");
    *request.mutable_request_id() = id;
    v1::AddStatement& add = *request.add_statements()->mutable_add();
    add.set_key(key);
    add.set_amount(1);
    return request;
}

v1::ExecuteRequest put(const std::string& key, const std::string& value,
                       const v1::RequestId& id)
{
    v1::ExecuteRequest request;
    request.set_route("orders");
    *request.mutable_request_id() = id;
    v1::PutStatement& item = *request.add_statements()->mutable_put();
    item.set_key(key);
    item.set_value(value);
    return request;
}

v1::ExecuteRequest get(const std::string& key, const std::string& route)
{
    v1::ExecuteRequest request;
    request.set_route(route);
    request.add_statements()->mutable_get()->set_key(key);
    return request;
}

workload::workload(deployment& fleet, const std::string& key, unsigned seed)
    : m_fleet(fleet), m_key(key)
{
    m_threads.emplace_back(
        [this, seed]
        {
            run_writes(seed);
        });
    m_threads.emplace_back(
        [this, seed]
        {
            run_session_reads(seed + 1);
        });
    m_threads.emplace_back(
        [this, seed]
        {
            run_transactions(seed + 2);
        });
}

workload::~workload()
{
    finish();
}

void workload::mark()
{
    for (std::atomic<int>& count : m_progress)
        count.store(0);
}

void workload::finish()
{
    m_stop.store(true);
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

std::vector<std::string> workload::violations() const
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

std::vector<int> workload::progress() const
{
    return {m_progress[0].load(), m_progress[1].load(), m_progress[2].load()};
}

void workload::fail(const std::string& what)
{
    const std::lock_guard lock(m_mutex);
    m_violations.push_back(what);
}

void workload::run_writes(unsigned seed)
{
    caller self(m_fleet, m_key, seed);
    long count = 0;
    clock::time_point last = clock::now();
    while (!m_stop.load())
    {
        const v1::ExecuteRequest request = add_one("counter", self.new_id());
        const clock::time_point started = clock::now();
        response got = self.execute(request, try_deadline);
        if (got.m_outcome == outcome::not_run)
        {
            std::this_thread::sleep_for(retry_pause);
            continue;
        }
        // With the same id, the repeat tells the outcome of the first try.
        while (got.m_outcome != outcome::done)
        {
            if (clock::now() - started > settle_limit)
                return fail("a write's outcome stays unknown");
            std::this_thread::sleep_for(retry_pause);
            got = self.execute(request, try_deadline);
        }
        ++count;
        const std::string value =
            got.m_rows.size() == 1 ? got.m_rows[0].value() : "nothing";
        if (value != std::to_string(count))
            return fail("write " + std::to_string(count) + " answered " +
                        value +
                        ": an acknowledged write was lost or run twice, or "
                        "not_run was false");
        m_longest_gap_ms.store(
            std::max(m_longest_gap_ms.load(), elapsed_ms(last)));
        last = clock::now();
        ++m_progress[0];
    }
}

void workload::run_session_reads(unsigned seed)
{
    caller self(m_fleet, m_key, seed);
    int number = 0;
    while (!m_stop.load())
    {
        const std::string value = std::to_string(++number);
        const v1::ExecuteRequest write = put("session", value, self.new_id());
        const clock::time_point started = clock::now();
        while (self.execute(write, try_deadline).m_outcome != outcome::done)
        {
            if (clock::now() - started > settle_limit)
                return fail("a session's write does not succeed");
            std::this_thread::sleep_for(retry_pause);
        }
        for (int read = 0; read < 3; ++read)
        {
            const response got = self.execute(get("session"), try_deadline);
            if (got.m_outcome != outcome::done)
                continue;
            if (got.m_rows.size() != 1 || got.m_rows[0].value() != value)
                return fail(
                    "a session wrote " + value + " and read " +
                    (got.m_rows.empty() ? "nothing" : got.m_rows[0].value()));
            ++m_progress[1];
        }
    }
}

void workload::run_transactions(unsigned seed)
{
    caller self(m_fleet, m_key, seed);
    long count = 0;
    while (!m_stop.load())
    {
        const v1::RequestId id = self.new_id();
        const response got = self.increment("balance", id, try_deadline);
        if (got.m_outcome == outcome::not_run)
        {
            std::this_thread::sleep_for(retry_pause);
            continue;
        }
        if (got.m_outcome == outcome::done)
        {
            ++count;
            if (got.m_rows[0].value() != std::to_string(count))
                return fail("transaction " + std::to_string(count) + " wrote " +
                            got.m_rows[0].value());
            ++m_progress[2];
            continue;
        }
        // Unknown: the session's next read tells. A commit under the same id
        // could still arrive, so the id is first used up by a repeat.
        const clock::time_point started = clock::now();
        for (;;)
        {
            if (clock::now() - started > settle_limit)
                return fail("a transaction's outcome stays unknown");
            const response settled =
                self.execute(put("balance.settled", "x", id), try_deadline);
            if (settled.m_outcome != outcome::done)
            {
                std::this_thread::sleep_for(retry_pause);
                continue;
            }
            // A recorded outcome is the transaction's own.
            if (settled.m_repeated)
                ++count;
            break;
        }
    }
}

} // namespace magnoliastack::test
