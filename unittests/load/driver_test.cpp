#include "magnoliastack/load/driver.hpp"

#include "absl/strings/numbers.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace load = magnoliastack::load;
namespace v1 = magnoliastack::v1;

namespace
{

// One database behind all proxies that answers at once, with chosen faults.
class simulated_proxy final : public load::caller
{
public:
    // Every n-th write runs and its answer is lost; 0 for none.
    unsigned m_lose_answer = 0;
    // Every n-th write runs twice.
    unsigned m_double = 0;
    // Every n-th write is answered and not run.
    unsigned m_skip = 0;
    // Every n-th write is refused as not run by the rate.
    unsigned m_refuse = 0;
    std::map<std::string, std::string> m_rows;

    void start(load::call_request what, load::call_done done) override
    {
        load::call_result result;
        const auto& id = what.m_request.request_id();
        const auto recorded = m_records.find({id.high(), id.low()});
        if (what.m_write && recorded != m_records.end())
            return done(recorded->second);
        if (what.m_write)
            ++m_writes;
        if (what.m_write && is_turn(m_refuse))
        {
            v1::Refusal& refusal = result.m_refusal.emplace();
            refusal.set_reason(v1::REFUSAL_REASON_RATE_EXCEEDED);
            refusal.set_execution(v1::EXECUTION_NOT_RUN);
            return done(std::move(result));
        }
        for (const v1::Statement& item : what.m_request.statements())
            run(item, what.m_write, result);
        result.m_end.emplace().set_row_count(result.m_rows.size());
        if (what.m_write)
            m_records[{id.high(), id.low()}] = result;
        if (what.m_write && is_turn(m_lose_answer))
        {
            load::call_result lost;
            lost.m_failure = "grpc_14";
            return done(std::move(lost));
        }
        done(std::move(result));
    }

private:
    bool is_turn(unsigned every) const
    {
        return every != 0 && m_writes % every == 0;
    }

    void run(const v1::Statement& item, bool write, load::call_result& result)
    {
        const bool skipped = write && is_turn(m_skip);
        if (item.has_get() && m_rows.contains(item.get().key()))
            add_row(result, item.get().key());
        if (item.has_put() && !skipped)
            m_rows[item.put().key()] = item.put().value();
        if (!item.has_add())
            return;
        std::int64_t number = 0;
        std::string& value = m_rows[item.add().key()];
        cr_assert(value.empty() || absl::SimpleAtoi(value, &number));
        if (!skipped)
            number += is_turn(m_double) ? 2 : 1;
        value = std::to_string(number);
        add_row(result, item.add().key());
    }

    void add_row(load::call_result& result, const std::string& key)
    {
        v1::Row& row = result.m_rows.emplace_back();
        row.set_key(key);
        row.set_value(m_rows.at(key));
    }

    unsigned m_writes = 0;
    std::map<std::pair<std::uint64_t, std::uint64_t>, load::call_result>
        m_records;
};

struct outcome
{
    load::violations m_found;
    std::uint64_t m_unresolved = 0;
    std::vector<load::service_level> m_levels;
};

outcome run(simulated_proxy& proxy)
{
    load::run_options options;
    options.m_profile = load::find_profile("nordurljos");
    options.m_seed = 11;
    options.m_duration = absl::Milliseconds(700);
    options.m_resolution = absl::Seconds(10);
    load::driver driver(options, {&proxy, &proxy}, nullptr, "r");
    outcome result;
    result.m_unresolved = driver.run();
    for (const std::string& group : options.m_profile->m_groups)
        driver.check_final(group, proxy.m_rows);
    result.m_found = driver.found();
    result.m_levels = driver.measured().service_levels();
    return result;
}

} // namespace

// Guards against violations that the tool itself causes, and against a write
// with a lost answer that is not repeated with its id until it is known.
Test(driver, lost_answers_are_resolved_without_a_violation)
{
    simulated_proxy proxy;
    proxy.m_lose_answer = 3;
    const outcome result = run(proxy);
    cr_assert_eq(result.m_found.total(), 0U);
    cr_assert_eq(result.m_unresolved, 0U);
    cr_assert(!proxy.m_rows.empty());
}

// Guards against a driver that does not see what the checker would find.
Test(driver, doubled_and_skipped_writes_are_found)
{
    simulated_proxy doubling;
    doubling.m_double = 5;
    cr_assert_gt(run(doubling).m_found.m_duplicated_writes, 0U);
    simulated_proxy skipping;
    skipping.m_skip = 5;
    cr_assert_gt(run(skipping).m_found.m_lost_writes, 0U);
}

// Guards against refusals within the rate that are not counted.
Test(driver, refusals_within_the_rate_are_counted_as_wrongful)
{
    simulated_proxy proxy;
    proxy.m_refuse = 4;
    std::uint64_t wrongful = 0;
    for (const load::service_level& level : run(proxy).m_levels)
        wrongful += level.m_wrongful;
    cr_assert_gt(wrongful, 0U);
}
