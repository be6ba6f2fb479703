// What the parts of a running proxy share.
#ifndef MAGNOLIASTACK_LIB_PROXY_CONTEXT_HPP
#define MAGNOLIASTACK_LIB_PROXY_CONTEXT_HPP

#include "event_sink.hpp"
#include "timer_queue.hpp"

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/base/time.hpp"
#include "magnoliastack/metrics/metrics.hpp"
#include "magnoliastack/pool/endpoint_pool.hpp"
#include "magnoliastack/rpc/endpoint_link.hpp"

#include "absl/random/random.h"

#include <functional>
#include <memory>

namespace magnoliastack::proxy
{

// Owned by the core; used on the event loop only, but for m_post.
struct context
{
    const base::clock& m_clock;
    base::host_id m_self;
    base::failure_domain_id m_failure_domain;
    rpc::endpoint_link& m_endpoints;
    event_sink& m_sink;
    metrics::registry& m_metrics;
    timer_queue m_timers;
    std::shared_ptr<pool::generation_counter> m_generations =
        std::make_shared<pool::generation_counter>();
    absl::BitGen m_random;
    // Runs a task on the event loop; from any thread.
    std::function<void(std::function<void()>)> m_post;
};

} // namespace magnoliastack::proxy

#endif
