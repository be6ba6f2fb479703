#include "group_runtime.hpp"

#include <utility>

namespace magnoliastack::proxy
{

namespace
{

// Jobs of one group that wait for an endpoint; more than this could not be
// served within a deadline when the endpoint returns.
constexpr std::size_t max_parked = 4'096;

// A read that no endpoint can serve is refused after this long.
const absl::Duration max_read_park = absl::Milliseconds(500);

// Timeout of a seal or promote; not longer than the controller's resend time.
const absl::Duration control_timeout = absl::Milliseconds(200);

// Delay told to a caller whose request no endpoint can run at present.
const absl::Duration retry_hint = absl::Milliseconds(200);

} // namespace

group_runtime::group_runtime(context& shared,
                             const inventory::group& description,
                             const std::vector<inventory::endpoint>& endpoints,
                             group_options options)
    : m_shared(shared), m_options(options),
      m_view(description.m_id, description.m_endpoints),
      m_failover(description.m_id, shared.m_self, description.m_endpoints),
      m_alive(std::make_shared<group_runtime*>(this))
{
    for (const inventory::endpoint& item : endpoints)
    {
        m_shared.m_sink.add_endpoint(item.m_id, *this);
        m_endpoints[item.m_id] = std::make_unique<endpoint_runtime>(
            shared, item, options.m_endpoint, *this);
        m_monitors[item.m_id] = m_shared.m_endpoints.monitor(
            item.m_id, item.m_address, m_shared.m_sink);
    }
}

group_runtime::~group_runtime()
{
    m_shared.m_sink.remove_group(*this);
}

void group_runtime::submit(std::shared_ptr<job> what, base::instant now)
{
    submit_since(std::move(what), now, now);
}

void group_runtime::submit_since(std::shared_ptr<job> what, base::instant since,
                                 base::instant now)
{
    if (!what->is_wanted(now))
        return;
    if (what->where().m_primary)
        submit_write(std::move(what), since, now);
    else
        submit_read(std::move(what), since, now);
}

std::optional<base::endpoint_id>
group_runtime::usable_primary(base::instant now) const
{
    std::optional<base::endpoint_id> primary = m_view.primary();
    if (!primary.has_value() || !m_view.is_reachable(*primary, now))
        return std::nullopt;
    // A leaving primary gets no new work; its successor is a planned change
    // away.
    if (m_view.is_leaving(*primary))
        return std::nullopt;
    return primary;
}

void group_runtime::submit_write(std::shared_ptr<job> what, base::instant since,
                                 base::instant now)
{
    const std::optional<base::endpoint_id> primary = usable_primary(now);
    endpoint_runtime* target =
        primary.has_value() ? endpoint(*primary) : nullptr;
    if (target == nullptr)
        return park(std::move(what), since, base::refusal_reason::no_primary,
                    now);
    target->enqueue(std::move(what), now);
}

void group_runtime::submit_read(std::shared_ptr<job> what, base::instant since,
                                base::instant now)
{
    const std::optional<base::instant> waiting =
        since < now ? std::optional(since) : std::nullopt;
    const routing::read_choice choice = routing::choose_read(
        what->where().m_read, m_view, loads(), waiting, now);
    if (const auto* use = std::get_if<routing::use_endpoint>(&choice))
    {
        endpoint_runtime* target = endpoint(use->m_endpoint);
        if (target != nullptr)
            return target->enqueue(std::move(what), now);
    }
    if (const auto* refused = std::get_if<routing::refuse>(&choice))
    {
        if (now - since >= max_read_park)
            return what->cannot_run(refused->m_reason, retry_hint, now);
        return park(std::move(what), since, refused->m_reason, now);
    }
    park(std::move(what), since, base::refusal_reason::no_endpoint, now);
}

void group_runtime::park(std::shared_ptr<job> what, base::instant since,
                         base::refusal_reason reason, base::instant now)
{
    if (m_parked.size() >= max_parked)
        return what->cannot_run(reason, retry_hint, now);
    m_parked.push_back({std::move(what), since});
}

void group_runtime::place_parked(base::instant now)
{
    std::vector<parked> waiting = std::exchange(m_parked, {});
    for (parked& item : waiting)
        submit_since(std::move(item.m_job), item.m_since, now);
}

void group_runtime::await_commit(std::shared_ptr<job> what, base::instant now)
{
    if (what->check_commit(m_view, now))
        return;
    m_awaiting_commit.push_back(std::move(what));
}

void group_runtime::check_commits(base::instant now)
{
    if (std::exchange(m_checking_commits, true))
        return;
    std::vector<std::shared_ptr<job>> waiting =
        std::exchange(m_awaiting_commit, {});
    for (std::shared_ptr<job>& item : waiting)
        if (!item->check_commit(m_view, now))
            m_awaiting_commit.push_back(std::move(item));
    m_checking_commits = false;
}

void group_runtime::status_received(const base::endpoint_id& endpoint_name,
                                    base::round_number round,
                                    const rpc::endpoint_status& status)
{
    const base::instant now = m_shared.m_clock.now();
    m_view.status_received(endpoint_name, round, status, now);
    check_commits(now);
    if (!m_parked.empty())
        place_parked(now);
    if (endpoint_runtime* item = endpoint(endpoint_name))
        item->status_received(status, now);
}

void group_runtime::monitor_lost(const base::endpoint_id& endpoint_name)
{
    m_view.monitor_lost(endpoint_name, m_shared.m_clock.now());
}

void group_runtime::tick(const failover::evidence_list& evidence,
                         base::instant now)
{
    if (now >= m_next_round)
    {
        m_next_round = now + m_options.m_monitor_interval;
        const base::round_number round = m_view.begin_round(now);
        for (auto& [id, monitor] : m_monitors)
            monitor->send_round(round);
        carry_out(m_failover.tick(m_view, evidence, now));
    }
    check_commits(now);
    place_parked(now);
    for (auto& [id, item] : m_endpoints)
        item->tick(now);
}

rpc::control_callback group_runtime::control_handler(base::term target,
                                                     control_event event)
{
    return [alive = std::weak_ptr(m_alive), post = m_shared.m_post, target,
            event](const base::endpoint_id& id,
                   const base::result<rpc::control_answer>& answer)
    {
        post(
            [alive, id, target, event, answer]
            {
                const auto self = alive.lock();
                if (!self)
                    return;
                group_runtime& group = **self;
                group.carry_out((group.m_failover.*event)(
                    id, target, answer, group.m_shared.m_clock.now()));
            });
    };
}

void group_runtime::carry_out(const std::vector<failover::action>& actions)
{
    const auto address_of = [this](const base::endpoint_id& id)
    {
        return m_endpoints.at(id)->description().m_address;
    };
    for (const failover::action& what : actions)
    {
        if (const auto* seal = std::get_if<failover::send_seal>(&what))
            m_shared.m_endpoints.seal(
                seal->m_endpoint, address_of(seal->m_endpoint), seal->m_term,
                m_shared.m_self, control_timeout,
                control_handler(seal->m_term,
                                &failover::controller::seal_answered));
        else if (const auto* promote =
                     std::get_if<failover::send_promote>(&what))
            m_shared.m_endpoints.promote(
                promote->m_endpoint, address_of(promote->m_endpoint),
                promote->m_term, m_shared.m_self, control_timeout,
                control_handler(promote->m_term,
                                &failover::controller::promote_answered));
        else if (const auto* done = std::get_if<failover::promoted>(&what))
            report_promotion(*done);
    }
}

void group_runtime::report_promotion(const failover::promoted& what)
{
    m_shared.m_metrics.counter("failover.promoted").add(1);
    m_log.info("primary_promoted", {{"group", m_view.group()},
                                    {"endpoint", what.m_endpoint},
                                    {"term", what.m_term}});
}

void group_runtime::set_leaving(const std::set<base::endpoint_id>& leaving)
{
    for (const auto& [id, item] : m_endpoints)
        m_view.mark_leaving(id, leaving.contains(id));
}

endpoint_runtime* group_runtime::endpoint(const base::endpoint_id& id)
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : found->second.get();
}

bool group_runtime::is_idle() const
{
    if (!m_parked.empty() || !m_awaiting_commit.empty())
        return false;
    for (const auto& [id, item] : m_endpoints)
        if (!item->is_idle())
            return false;
    return true;
}

bool group_runtime::has_endpoints(
    const std::vector<inventory::endpoint>& endpoints) const
{
    if (endpoints.size() != m_endpoints.size())
        return false;
    for (const inventory::endpoint& item : endpoints)
    {
        const auto found = m_endpoints.find(item.m_id);
        if (found == m_endpoints.end() || found->second->description() != item)
            return false;
    }
    return true;
}

group_status group_runtime::status(base::instant now) const
{
    group_status result;
    result.m_group = m_view.group();
    result.m_term = m_view.current_term();
    result.m_primary = m_view.primary().value_or(base::endpoint_id());
    if (const auto point = m_view.commit_point())
        result.m_committed = point->m_position;
    for (const auto& [id, item] : m_endpoints)
    {
        endpoint_view view;
        view.m_endpoint = id;
        if (const rpc::endpoint_status* last = m_view.status(id))
            view.m_status = *last;
        view.m_reachable = m_view.is_reachable(id, now);
        view.m_leaving = m_view.is_leaving(id);
        view.m_connections = item->connections().open_count();
        result.m_endpoints.push_back(std::move(view));
    }
    return result;
}

std::optional<base::term>
group_runtime::term_for(const job& what, const base::endpoint_id& endpoint_name,
                        base::instant now)
{
    const placement where = what.where();
    if (where.m_primary)
    {
        if (usable_primary(now) != endpoint_name)
            return std::nullopt;
        return m_view.current_term();
    }
    if (m_view.is_leaving(endpoint_name) ||
        !m_view.is_reachable(endpoint_name, now))
        return std::nullopt;
    return m_view.current_term();
}

void group_runtime::place_again(std::shared_ptr<job> what, base::instant now)
{
    submit(std::move(what), now);
}

std::vector<routing::endpoint_load> group_runtime::loads() const
{
    std::vector<routing::endpoint_load> loads;
    loads.reserve(m_endpoints.size());
    for (const auto& [id, item] : m_endpoints)
        loads.push_back(item->load());
    return loads;
}

} // namespace magnoliastack::proxy
