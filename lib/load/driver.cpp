#include "magnoliastack/load/driver.hpp"

#include "magnoliastack/admission/token_bucket.hpp"
#include "magnoliastack/base/refusal.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace magnoliastack::load
{

namespace
{

// Sessions of an organisation at the start, by its share of the requests, so
// that a session sends about one request a second.
constexpr double sessions_per_request = 1.0;
constexpr std::size_t least_sessions = 6;

// A caller repeats a write with an unknown outcome after this time.
const absl::Duration repeat_delay = absl::Milliseconds(100);

bool is_write(operation_kind kind)
{
    return kind != operation_kind::read;
}

std::string reason_of(const call_result& result)
{
    if (!result.m_refusal)
        return result.m_failure;
    const auto reason =
        static_cast<base::refusal_reason>(result.m_refusal->reason());
    const bool not_run = result.m_refusal->execution() == v1::EXECUTION_NOT_RUN;
    return std::string(base::to_string(reason)) +
           (not_run ? ".not_run" : ".unknown");
}

bool is_not_run(const call_result& result)
{
    return result.m_refusal
               ? result.m_refusal->execution() == v1::EXECUTION_NOT_RUN
               : !result.m_may_have_run;
}

} // namespace

struct driver::session
{
    std::size_t m_organisation = 0;
    std::string m_name;
    std::string m_group;
    bool m_direct = false;
    std::size_t m_proxy = 0;
    std::string m_token;
    // Key that the session reads beside its own; empty without a colleague.
    std::string m_colleague;
    std::int64_t m_colleague_floor = 0;
};

struct driver::request
{
    session* m_session = nullptr;
    operation_kind m_kind = operation_kind::read;
    base::instant m_arrived;
    v1::ExecuteRequest m_message;
    std::string m_key;
    std::int64_t m_floor = 0;
    request_result m_result;
};

// Whether the organisation's configured rate and burst cover a request.
class driver::rate_check
{
public:
    rate_check(limits allowed, base::instant now)
        : m_allowed(allowed), m_bucket({0.0, absl::Hours(24)})
    {
        // Filled before the run, as the buckets of idle proxies are.
        set(now - absl::Minutes(10));
    }

    bool covers(base::instant now)
    {
        set(now);
        return m_bucket.try_take(now);
    }

private:
    void set(base::instant now)
    {
        m_bucket.set_limits(m_allowed.m_rate,
                            static_cast<double>(m_allowed.m_burst),
                            admission::whole_fraction, now);
    }

    limits m_allowed;
    admission::token_bucket m_bucket;
};

driver::driver(run_options options, std::vector<caller*> proxies,
               caller* direct, std::string key_prefix)
    : m_options(std::move(options)), m_proxies(std::move(proxies)),
      m_direct(direct), m_prefix(std::move(key_prefix)),
      m_workload(*m_options.m_profile,
                 m_options.m_rate > 0 ? m_options.m_rate
                                      : m_options.m_profile->m_rate,
                 m_options.m_overload, m_options.m_seed),
      m_random(m_options.m_seed), m_measures(*m_options.m_profile)
{
    const profile& what = *m_options.m_profile;
    m_idle.resize(what.m_organisations.size());
    const double rate = m_options.m_rate > 0 ? m_options.m_rate : what.m_rate;
    for (std::size_t index = 0; index < what.m_organisations.size(); ++index)
    {
        const organisation_share& who = what.m_organisations[index];
        m_rates.push_back(
            std::make_unique<rate_check>(limits_of(what, who), m_loop.now()));
        const auto wanted = std::max(
            least_sessions, static_cast<std::size_t>(rate * who.m_share *
                                                     sessions_per_request));
        std::vector<session*> opened;
        while (opened.size() < wanted)
            opened.push_back(&pick_session(index));
        m_idle[index] = std::move(opened);
    }
}

driver::~driver()
{
    // The deadline of a call bounds the time that it refers to this object.
    m_loop.run(
        [this]
        {
            return m_calls == 0;
        },
        m_loop.now() + m_options.m_deadline + absl::Seconds(5));
}

std::uint64_t driver::run()
{
    m_started = m_loop.now();
    m_measures.start(m_started);
    const base::instant stop = m_started + m_options.m_duration;
    m_loop.at(stop,
              [this, stop]
              {
                  m_arrivals_ended = true;
                  m_measures.stop(stop);
              });
    schedule_next();
    m_loop.run(
        [this]
        {
            return m_arrivals_ended && m_running == 0;
        },
        stop + m_options.m_resolution);
    return m_running;
}

void driver::check_final(const std::string& group,
                         const std::map<std::string, std::string>& rows)
{
    m_checker.check_final(absl::StrCat(m_prefix, "/", group, "/"), rows);
}

const measures& driver::measured() const
{
    return m_measures;
}

const violations& driver::found() const
{
    return m_checker.found();
}

void driver::schedule_next()
{
    const arrival next = m_workload.next();
    if (next.m_at >= m_options.m_duration)
        return;
    m_loop.at(m_started + next.m_at,
              [this, next]
              {
                  schedule_next();
                  arrived(next);
              });
}

void driver::arrived(const arrival& what)
{
    for (std::uint32_t index = 0; index < what.m_count; ++index)
        begin(pick_session(what.m_organisation), what.m_kind,
              m_started + what.m_at);
}

driver::session& driver::pick_session(std::size_t organisation)
{
    std::vector<session*>& idle = m_idle[organisation];
    if (!idle.empty())
    {
        std::uniform_int_distribution<std::size_t> pick(0, idle.size() - 1);
        std::swap(idle[pick(m_random)], idle.back());
        session* chosen = idle.back();
        idle.pop_back();
        return *chosen;
    }
    const profile& what = *m_options.m_profile;
    const std::size_t number = m_sessions.size();
    session& added = *m_sessions.emplace_back(std::make_unique<session>());
    added.m_organisation = organisation;
    added.m_group = what.m_groups[number % what.m_groups.size()];
    added.m_name =
        absl::StrCat(m_prefix, "/", added.m_group, "/",
                     what.m_organisations[organisation].m_name, "/s", number);
    added.m_direct = m_direct != nullptr &&
                     added.m_group == m_options.m_direct_group &&
                     (number / what.m_groups.size()) % 2 == 0;
    added.m_proxy = number % m_proxies.size();
    // The latest earlier session of the same organisation and group.
    const auto colleague =
        std::find_if(std::next(m_sessions.rbegin()), m_sessions.rend(),
                     [&added](const std::unique_ptr<session>& other)
                     {
                         return other->m_organisation == added.m_organisation &&
                                other->m_group == added.m_group &&
                                other->m_direct == added.m_direct;
                     });
    if (colleague != m_sessions.rend())
        added.m_colleague = (*colleague)->m_name + "/log";
    return added;
}

void driver::begin(session& who, operation_kind kind, base::instant arrived_at)
{
    // A direct call has no transaction stream to compare with.
    if (who.m_direct && kind == operation_kind::transaction)
        kind = operation_kind::put;
    auto what = std::make_shared<request>();
    what->m_session = &who;
    what->m_kind = kind;
    what->m_arrived = arrived_at;
    what->m_key =
        who.m_name + (kind == operation_kind::add ? "/count" : "/log");
    what->m_result.m_organisation = who.m_organisation;
    what->m_result.m_kind = kind;
    what->m_result.m_group = who.m_group;
    fill(*what);
    ++m_running;
    m_loop.at(arrived_at + m_options.m_profile->m_client_delay,
              [this, what]
              {
                  send(what);
              });
}

void driver::fill(request& what)
{
    v1::ExecuteRequest& message = what.m_message;
    const session& who = *what.m_session;
    message.set_route(who.m_group);
    message.set_session_token(who.m_token);
    message.set_may_repeat(what.m_kind == operation_kind::put);
    switch (what.m_kind)
    {
    case operation_kind::read:
        what.m_floor = m_checker.floor(what.m_key);
        message.add_statements()->mutable_get()->set_key(what.m_key);
        if (!who.m_colleague.empty())
            message.add_statements()->mutable_get()->set_key(who.m_colleague);
        return;
    case operation_kind::add:
    {
        m_checker.begin_add(what.m_key);
        v1::AddStatement& add = *message.add_statements()->mutable_add();
        add.set_key(what.m_key);
        add.set_amount(1);
        break;
    }
    case operation_kind::transaction:
        what.m_floor = m_checker.floor(what.m_key);
        message.add_statements()->mutable_get()->set_key(what.m_key);
        [[fallthrough]];
    case operation_kind::put:
    {
        v1::PutStatement& put = *message.add_statements()->mutable_put();
        put.set_key(what.m_key);
        put.set_value(m_checker.begin_put(what.m_key));
        break;
    }
    }
    message.mutable_request_id()->set_high(m_random());
    message.mutable_request_id()->set_low(m_random());
    message.mutable_request_id()->set_issued_unix_ms(
        base::system_clock().unix_ms());
}

void driver::send(const std::shared_ptr<request>& what)
{
    session& who = *what->m_session;
    if (std::bernoulli_distribution(m_options.m_roaming)(m_random))
        who.m_proxy = std::uniform_int_distribution<std::size_t>(
            0, m_proxies.size() - 1)(m_random);
    const bool covered =
        who.m_direct || m_rates[who.m_organisation]->covers(m_loop.now());
    if (what->m_result.m_reason.empty())
        what->m_result.m_within_rate = covered;
    call_request call;
    call.m_request = what->m_message;
    call.m_write = is_write(what->m_kind);
    call.m_transaction = what->m_kind == operation_kind::transaction;
    call.m_deadline = m_options.m_deadline;
    const auto key = m_options.m_keys.find(
        m_options.m_profile->m_organisations[who.m_organisation].m_name);
    if (key != m_options.m_keys.end())
        call.m_key = key->second;
    ++m_calls;
    caller& target = who.m_direct ? *m_direct : *m_proxies[who.m_proxy];
    target.start(std::move(call),
                 [this, what](call_result result)
                 {
                     m_loop.after(
                         m_options.m_profile->m_client_delay,
                         [this, what, result = std::move(result)]() mutable
                         {
                             --m_calls;
                             answered(what, std::move(result));
                         });
                 });
}

void driver::answered(const std::shared_ptr<request>& what, call_result result)
{
    if (result.m_end)
        return succeeded(*what, result);
    note_refusal(*what, result);
    if (!is_write(what->m_kind) || is_not_run(result))
        return end(*what, write_outcome::not_run);
    absl::Duration delay = repeat_delay;
    if (result.m_refusal)
        delay = std::max(
            delay, absl::Milliseconds(result.m_refusal->retry_after_ms()));
    repeat(what, delay);
}

void driver::succeeded(request& what, const call_result& result)
{
    if (!result.m_end->session_token().empty())
        what.m_session->m_token = result.m_end->session_token();
    what.m_result.m_latency = m_loop.now() - what.m_arrived;
    what.m_result.m_from_replica = result.m_end->from_replica();
    what.m_result.m_acknowledged = true;
    // An answer after the caller's patience is known, but comes too late.
    what.m_result.m_succeeded =
        what.m_result.m_latency <=
        m_options.m_deadline + 2 * m_options.m_profile->m_client_delay;
    if (!what.m_result.m_succeeded && what.m_result.m_reason.empty())
        what.m_result.m_reason = "late";
    check_rows(what, result);
    end(what, write_outcome::acknowledged);
}

void driver::check_rows(request& what, const call_result& result)
{
    session& who = *what.m_session;
    std::optional<std::string> own;
    std::optional<std::string> colleague;
    for (const v1::Row& row : result.m_rows)
    {
        if (row.key() == what.m_key && !own)
            own = row.value();
        else if (what.m_kind == operation_kind::read &&
                 row.key() == who.m_colleague && !colleague)
            colleague = row.value();
        else
            m_checker.foreign_answer(absl::StrCat(
                "row ", row.key(), " in the answer for ", what.m_key));
    }
    if (what.m_kind == operation_kind::add)
        m_checker.add_ended(what.m_key, write_outcome::acknowledged, own);
    // A repeated transaction may read its own recorded effect, so the upper
    // end of its read is its own sequence, as for any read.
    if (what.m_kind == operation_kind::read ||
        what.m_kind == operation_kind::transaction)
        m_checker.check_read(what.m_key, own, what.m_floor);
    if (what.m_kind == operation_kind::read && !who.m_colleague.empty())
        who.m_colleague_floor = m_checker.check_read(who.m_colleague, colleague,
                                                     who.m_colleague_floor);
}

void driver::note_refusal(request& what, const call_result& result)
{
    // The first refusal stays, as it is what the caller saw first.
    if (what.m_result.m_reason.empty())
    {
        what.m_result.m_reason = reason_of(result);
        what.m_result.m_not_run =
            result.m_refusal &&
            result.m_refusal->execution() == v1::EXECUTION_NOT_RUN;
        what.m_result.m_rate_exceeded =
            result.m_refusal &&
            result.m_refusal->reason() == v1::REFUSAL_REASON_RATE_EXCEEDED;
    }
    else
        m_measures.count("repeat." + reason_of(result));
}

void driver::repeat(const std::shared_ptr<request>& what, absl::Duration delay)
{
    m_measures.count("repeats");
    // The proxy that gave no outcome may be the one that failed.
    session& who = *what->m_session;
    who.m_proxy = (who.m_proxy + 1) % m_proxies.size();
    m_loop.after(delay,
                 [this, what]
                 {
                     send(what);
                 });
}

void driver::end(request& what, write_outcome outcome)
{
    if (what.m_kind == operation_kind::put ||
        what.m_kind == operation_kind::transaction)
        m_checker.put_ended(what.m_key, outcome);
    // check_rows has recorded an acknowledged addition with its value.
    if (what.m_kind == operation_kind::add &&
        outcome != write_outcome::acknowledged)
        m_checker.add_ended(what.m_key, outcome, std::nullopt);
    const session& who = *what.m_session;
    if (who.m_direct)
    {
        if (what.m_result.m_succeeded)
            m_measures.record_latency(
                absl::StrCat("direct.", to_string(what.m_kind)),
                what.m_result.m_latency);
        else
            m_measures.count("direct.failed." + what.m_result.m_reason);
    }
    else
    {
        m_measures.record(what.m_result, m_loop.now());
        if (what.m_result.m_succeeded && m_direct != nullptr &&
            who.m_group == m_options.m_direct_group)
            m_measures.record_latency(
                absl::StrCat("proxied.", to_string(what.m_kind)),
                what.m_result.m_latency);
    }
    --m_running;
    m_idle[who.m_organisation].push_back(what.m_session);
}

} // namespace magnoliastack::load
