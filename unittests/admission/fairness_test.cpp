// One organisation at ten times its rate against small ones on one endpoint.
// MAGNOLIA_SEED repeats one seed.
#include "magnoliastack/admission/concurrency_limit.hpp"
#include "magnoliastack/admission/fair_queue.hpp"
#include "magnoliastack/admission/service_estimate.hpp"
#include "magnoliastack/admission/token_bucket.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace
{

using namespace magnoliastack;
using base::instant;
using base::organisation_id;

instant at(double seconds)
{
    return instant::from_nanoseconds(static_cast<std::int64_t>(seconds * 1e9));
}

constexpr double duration = 60;
constexpr double timeout = 1.0;
constexpr int organisations = 8;

// What the small organisations saw.
struct outcome
{
    std::vector<double> m_latencies;
    std::uint64_t m_failed = 0;

    double percentile(double part)
    {
        std::sort(m_latencies.begin(), m_latencies.end());
        return m_latencies.at(static_cast<std::size_t>(
            part * static_cast<double>(m_latencies.size() - 1)));
    }
    [[nodiscard]] double success() const
    {
        const auto done = static_cast<double>(m_latencies.size());
        return done / (done + static_cast<double>(m_failed));
    }
};

// A host in front of an endpoint with some slots and a first-come queue.
class model
{
public:
    // `factor` is what organisation 0 sends in multiples of its rate.
    model(std::uint64_t seed, int slots, double factor)
        : m_random(seed), m_slots(slots), m_factor(factor),
          // The rates sum to 80 % of the capacity at 10 ms a statement.
          m_rate(0.8 * slots * 100 / organisations)
    {
        for (int index = 0; index < organisations; ++index)
        {
            m_names.emplace_back("org" + std::to_string(index));
            m_buckets.emplace_back();
            set_limits(index);
            arrive_later(index);
        }
        report_later();
    }

    outcome run()
    {
        while (m_events.top().m_at < duration)
        {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.m_at;
            next.m_run();
            dispatch();
        }
        return m_outcome;
    }

private:
    struct event
    {
        double m_at;
        std::function<void()> m_run;
        bool operator<(const event& other) const
        {
            return m_at > other.m_at;
        }
    };
    struct request
    {
        int m_organisation;
        double m_arrived;
    };

    void set_limits(int index)
    {
        // The burst is one second of the rate.
        m_buckets[index].set_limits(m_rate, m_rate, 1'000'000, at(1e6),
                                    at(m_now));
    }

    void arrive_later(int index)
    {
        // The large organisation comes in waves, so that its bucket is full
        // at the start of each.
        const bool wave = static_cast<int>(m_now) % 4 < 2;
        const double rate =
            m_rate * (index != 0 ? 0.6 : (wave ? m_factor : 0.1));
        const double gap =
            std::exponential_distribution<double>(rate)(m_random);
        m_events.push({m_now + std::min(gap, 0.5), [this, index, gap]
                       {
                           if (gap < 0.5)
                               arrive(index);
                           arrive_later(index);
                       }});
    }

    void arrive(int index)
    {
        const bool meets = m_estimate.can_meet(
            m_queue.cost_ahead(m_names[index]), 1, m_limit.limit(),
            at(m_now + timeout), at(m_now));
        if (!meets || !m_queue.push(m_names[index], {index, m_now},
                                    at(m_now + timeout), 1, at(m_now)))
            fail(index);
    }

    void fail(int index)
    {
        if (index != 0)
            ++m_outcome.m_failed;
    }

    void dispatch()
    {
        for (const auto& expired : m_queue.expire(at(m_now)))
            fail(expired.m_item.m_organisation);
        while (m_in_flight < m_limit.limit())
        {
            const auto may_run = [this](const organisation_id& name)
            {
                const int index = name.str().back() - '0';
                return m_buckets[index].tokens(at(m_now)) >= 1.0;
            };
            const auto next = m_queue.pop(may_run, at(m_now));
            if (!next)
                return;
            m_buckets[next->m_item.m_organisation].try_take(at(m_now));
            ++m_in_flight;
            m_endpoint.push_back(next->m_item);
            serve();
        }
    }

    void serve()
    {
        while (m_busy < m_slots && !m_endpoint.empty())
        {
            const request item = m_endpoint.front();
            m_endpoint.pop_front();
            ++m_busy;
            const double took =
                std::exponential_distribution<double>(100)(m_random);
            m_events.push({m_now + took, [this, item, took]
                           {
                               --m_busy;
                               --m_in_flight;
                               m_estimate.completed(1, absl::Seconds(took));
                               if (item.m_organisation != 0)
                                   m_outcome.m_latencies.push_back(
                                       m_now - item.m_arrived);
                               serve();
                           }});
        }
    }

    void report_later()
    {
        m_limit.reported(static_cast<std::uint32_t>(m_endpoint.size()),
                         static_cast<std::uint32_t>(m_slots), m_in_flight,
                         at(m_now));
        m_events.push({m_now + 0.05, [this]
                       {
                           report_later();
                       }});
    }

    std::mt19937_64 m_random;
    int m_slots;
    double m_factor;
    double m_rate;
    double m_now = 0;
    std::priority_queue<event> m_events;
    std::vector<organisation_id> m_names;
    std::vector<admission::token_bucket> m_buckets;
    admission::fair_queue<request> m_queue;
    admission::concurrency_limit m_limit;
    admission::service_estimate m_estimate;
    std::deque<request> m_endpoint;
    std::uint32_t m_in_flight = 0;
    int m_busy = 0;
    outcome m_outcome;
};

void check_fairness(int slots)
{
    std::uint64_t first = 1;
    std::uint64_t last = 10;
    if (const char* one = std::getenv("MAGNOLIA_SEED"))
        first = last = std::strtoull(one, nullptr, 10);
    for (std::uint64_t seed = first; seed <= last; ++seed)
    {
        outcome calm = model(seed, slots, 1).run();
        outcome loaded = model(seed, slots, 10).run();
        const double before = calm.percentile(0.99);
        const double after = loaded.percentile(0.99);
        std::printf("slots %d seed %llu: p99 %.1f ms, with 10 times the rate "
                    "%.1f ms (%+.1f %%), success %.4f\n",
                    slots, static_cast<unsigned long long>(seed), before * 1e3,
                    after * 1e3, 100 * (after / before - 1), loaded.success());
        cr_expect(after <= before * 1.2, "seed %llu",
                  static_cast<unsigned long long>(seed));
        cr_expect(loaded.success() >= 0.999, "seed %llu",
                  static_cast<unsigned long long>(seed));
    }
}

} // namespace

// Guards against one organisation that delays or crowds out the others at an
// endpoint with few slots.
Test(fairness, ten_times_the_rate_with_three_slots)
{
    check_fairness(3);
}

// The same with the slots of the other deployment.
Test(fairness, ten_times_the_rate_with_five_slots)
{
    check_fairness(5);
}
