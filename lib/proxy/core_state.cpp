#include "core_state.hpp"

#include "magnoliastack/inventory/difference.hpp"

#include <algorithm>
#include <utility>

namespace magnoliastack::proxy
{

namespace
{

// A request id issued further ahead of this host's clock is refused: once
// evicted, it would lift the endpoints' retention floor above the ids of
// everybody else.
constexpr std::int64_t max_issue_ahead_ms = 60'000;

const absl::Duration refusal_delay = absl::Milliseconds(200);

base::refusal not_run(base::refusal_reason reason, absl::Duration delay,
                      std::string detail)
{
    return {reason, base::execution::not_run, delay, std::move(detail)};
}

bool writes(const std::vector<rpc::statement>& statements)
{
    return std::any_of(statements.begin(), statements.end(), rpc::is_write);
}

control_options control_options_of(const core_options& options)
{
    return {options.m_incarnation, options.m_peer_address, options.m_seeds};
}

} // namespace

std::optional<absl::Duration>
budgeted_retries::next_delay(int tries, base::instant /*now*/)
{
    if (!m_budget.try_retry())
        return std::nullopt;
    admission::backoff pause;
    absl::Duration delay = pause.next(m_random);
    for (int step = 1; step < std::min(tries, 8); ++step)
        delay = pause.next(m_random);
    return delay;
}

void budgeted_retries::attempt_started()
{
    m_budget.attempt_started();
}

core::state::state(core_options options, core_links links)
    : m_post(links.m_post), m_options(std::move(options)), m_sink(links.m_post),
      m_shared{links.m_clock,
               m_options.m_self,
               m_options.m_failure_domain,
               links.m_endpoints,
               m_sink,
               links.m_metrics,
               {},
               std::make_shared<pool::generation_counter>(),
               {},
               links.m_post},
      m_control(m_shared, control_options_of(m_options), links.m_platform,
                links.m_peers),
      m_gate(m_control.shares(),
             [this](const inventory::organisation& who)
             {
                 return pooling_of(who);
             })
{
}

core::state::~state() = default;

void core::state::tick()
{
    const base::instant now = m_shared.m_clock.now();
    m_control.tick(now);
    refresh_groups(now);
    apply_shares(now);
    const std::set<base::endpoint_id> leaving = m_control.leaving_endpoints();
    for (auto& [id, group] : m_groups)
    {
        group->set_leaving(leaving);
        group->tick(m_control.evidence(id), now);
    }
    publish_observations(now);
    m_shared.m_timers.run_due(now);
    if (m_draining && m_jobs.empty())
        m_control.release_shares(now);
}

void core::state::close()
{
    m_gate.clear();
    m_groups.clear();
    m_shared.m_timers.clear();
    m_jobs.clear();
}

void core::state::refresh_groups(base::instant /*now*/)
{
    const active_fleet* fleet = m_control.fleet();
    if (fleet == nullptr || fleet->m_change.m_version == m_groups_version)
        return;
    m_groups_version = fleet->m_change.m_version;
    const inventory::inventory& present = fleet->m_inventory;
    absl::flat_hash_map<base::group_id, std::unique_ptr<group_runtime>> next;
    for (const auto& [id, description] : present.m_groups)
    {
        std::vector<inventory::endpoint> endpoints;
        for (const base::endpoint_id& name : description.m_endpoints)
            endpoints.push_back(*present.find(name));
        const auto old = m_groups.find(id);
        const bool same =
            old != m_groups.end() && old->second->has_endpoints(endpoints);
        if (same)
            next[id] = std::move(old->second);
        else
            next[id] = std::make_unique<group_runtime>(
                m_shared, description, endpoints,
                group_options{m_options.m_monitor_interval,
                              {m_options.m_queue_per_organisation,
                               m_options.m_call_timeout}});
    }
    m_groups = std::move(next);
}

void core::state::apply_shares(base::instant now)
{
    share::ledger& shares = m_control.shares();
    if (m_control.fleet() != nullptr)
        for (const token_request& what :
             m_gate.tick(m_control.fleet()->m_inventory, now))
            ask_for_tokens(what, now);
    for (auto& [group_name, group] : m_groups)
    {
        for (const auto& [id, endpoint] : group->endpoints())
        {
            const std::string resource = "endpoint/" + id.str();
            const pool::endpoint_pool& pool = endpoint->connections();
            shares.set_in_use(resource, pool.open_count(), now);
            shares.demand(resource, pool.wanted_count(), now);
            endpoint->set_allowance(shares.usable(resource, now), now);
        }
    }
}

token_pooling core::state::pooling_of(const inventory::organisation& who) const
{
    const active_fleet* fleet = m_control.fleet();
    if (fleet == nullptr || !needs_pooling(who, fleet->m_inventory.m_slots))
        return token_pooling::spread;
    return m_control.home_of(who.m_id) == m_options.m_self
               ? token_pooling::here
               : token_pooling::elsewhere;
}

void core::state::ask_for_tokens(const token_request& what, base::instant now)
{
    const bool sent = m_control.borrow_tokens(
        what.m_organisation, what.m_amount, what.m_from_home,
        [this, organisation = what.m_organisation,
         sent_at = now](std::uint64_t amount)
        {
            m_gate.tokens_received(organisation, amount, sent_at,
                                   m_shared.m_clock.now());
        });
    if (!sent)
        m_gate.tokens_received(what.m_organisation, 0, now, now);
}

void core::state::publish_observations(base::instant now)
{
    std::vector<rpc::group_observation> seen;
    std::vector<base::endpoint_id> leaving;
    for (auto& [id, group] : m_groups)
    {
        seen.push_back(group->view().observation(now));
        for (const auto& [name, endpoint] : group->endpoints())
        {
            const rpc::endpoint_status* status = group->view().status(name);
            if (status != nullptr && status->m_leaving)
                leaving.push_back(name);
        }
    }
    std::sort(seen.begin(), seen.end(),
              [](const auto& left, const auto& right)
              {
                  return left.m_group < right.m_group;
              });
    std::sort(leaving.begin(), leaving.end());
    m_control.set_observations(std::move(seen), std::move(leaving));
}

void core::state::drain()
{
    if (std::exchange(m_draining, true))
        return;
    m_log.info("draining", {{"requests", m_jobs.size()}});
    m_control.leave(m_shared.m_clock.now());
}

bool core::state::is_drained() const
{
    return m_draining && m_jobs.empty() &&
           m_control.has_left(m_shared.m_clock.now());
}

absl::Duration core::state::jittered(absl::Duration delay)
{
    return delay * absl::Uniform(m_shared.m_random, 1.0, 2.0);
}

void core::state::refuse(const std::shared_ptr<caller_reply>& reply,
                         base::refusal refusal)
{
    m_shared.m_metrics.counter(metrics::refusal_counter(refusal.m_reason))
        .add(1);
    // Callers that return together would otherwise also try again together.
    refusal.m_retry_delay = jittered(refusal.m_retry_delay);
    reply->refuse(refusal);
}

tl::expected<authorised, base::refusal>
core::state::authorise(const std::string& key, const base::route_id& route,
                       const std::string& token, base::instant now)
{
    using base::refusal_reason;
    const auto refused = [](refusal_reason reason, std::string detail,
                            absl::Duration delay = absl::ZeroDuration())
    {
        return tl::make_unexpected(not_run(reason, delay, std::move(detail)));
    };
    if (m_draining)
        return refused(refusal_reason::draining, "the host is being stopped",
                       refusal_delay);
    const active_fleet* fleet = m_control.fleet();
    if (fleet == nullptr)
        return refused(refusal_reason::no_configuration,
                       "the host has no configuration yet", refusal_delay);
    authorised result;
    result.m_route = fleet->m_inventory.find(route);
    if (result.m_route == nullptr)
        return refused(refusal_reason::route_unknown,
                       "no such route is in the inventory");
    result.m_authority.m_route = route;
    if (result.m_route->m_access == inventory::access::keyed)
    {
        base::refusal refusal;
        const auto verified =
            check_key(key, *result.m_route, result, refusal, now);
        if (!verified.has_value())
            return tl::make_unexpected(std::move(refusal));
    }
    auto session =
        fleet->m_codec.decode(token, result.m_authority.m_organisation);
    if (!session.has_value())
        return refused(refusal_reason::token_rejected,
                       session.error().m_message);
    result.m_session = *std::move(session);
    if (!result.m_session.has_room_for(result.m_route->m_group))
        return refused(refusal_reason::token_full,
                       "the session has used 32 groups; start a new one");
    return result;
}

base::result<base::key_id> core::state::check_key(const std::string& key,
                                                  const inventory::route& route,
                                                  authorised& result,
                                                  base::refusal& refusal,
                                                  base::instant now)
{
    using base::refusal_reason;
    const auto refused = [&refusal](refusal_reason reason, std::string detail,
                                    absl::Duration delay)
    {
        refusal = not_run(reason, delay, std::move(detail));
        return base::fail(base::error_code::unauthenticated, "refused");
    };
    if (key.empty())
        return refused(refusal_reason::key_missing,
                       "the route needs a key in the call's metadata "
                       "magnolia-key",
                       absl::ZeroDuration());
    if (!m_control.is_confirmed(now))
        return refused(refusal_reason::configuration_unconfirmed,
                       "the host cannot confirm that its configuration is "
                       "current",
                       refusal_delay);
    const active_fleet& fleet = *m_control.fleet();
    auto verified = fleet.m_keys.verify(key);
    if (!verified.has_value())
        return refused(refusal_reason::key_rejected, verified.error().m_message,
                       absl::ZeroDuration());
    const auto& allowed = route.m_organisations;
    if (!allowed.empty() &&
        std::find(allowed.begin(), allowed.end(), verified->m_organisation) ==
            allowed.end())
        return refused(refusal_reason::wrong_organisation,
                       "the key's organisation may not use the route",
                       absl::ZeroDuration());
    result.m_organisation = fleet.m_inventory.find(verified->m_organisation);
    if (result.m_organisation == nullptr)
        return refused(refusal_reason::key_rejected,
                       "the key's organisation is not in the inventory",
                       absl::ZeroDuration());
    result.m_authority.m_organisation = verified->m_organisation;
    result.m_authority.m_key = verified->m_id;
    return verified->m_id;
}

bool core::state::is_still_authorised(const authority& what, base::instant now)
{
    const active_fleet* fleet = m_control.fleet();
    if (fleet == nullptr)
        return false;
    const inventory::route* route = fleet->m_inventory.find(what.m_route);
    if (route == nullptr)
        return false;
    if (what.m_organisation.empty())
        return route->m_access == inventory::access::open;
    const auto& allowed = route->m_organisations;
    return m_control.is_confirmed(now) && fleet->m_keys.contains(what.m_key) &&
           (allowed.empty() || std::find(allowed.begin(), allowed.end(),
                                         what.m_organisation) != allowed.end());
}

void core::state::admit(const authorised& who, base::instant deadline,
                        const std::shared_ptr<caller_reply>& reply,
                        std::function<void(base::instant)> run,
                        base::instant now)
{
    if (who.m_organisation == nullptr)
        return run(now);
    m_gate.ask(
        *who.m_organisation, deadline,
        [this, reply, run = std::move(run)](bool admitted, absl::Duration delay)
        {
            if (admitted)
                return run(m_shared.m_clock.now());
            refuse(reply, not_run(base::refusal_reason::rate_exceeded, delay,
                                  "the organisation's rate and burst are used "
                                  "up"));
        },
        now);
}

void core::state::execute(caller_request request,
                          const std::shared_ptr<caller_reply>& reply)
{
    const base::instant now = m_shared.m_clock.now();
    if (m_jobs.size() + m_gate.waiting() >= m_options.m_max_requests)
        return refuse(reply, not_run(base::refusal_reason::queue_full,
                                     refusal_delay, "the host is full"));
    auto who =
        authorise(request.m_key, request.m_route, request.m_session_token, now);
    if (!who.has_value())
        return refuse(reply, who.error());
    const bool write = writes(request.m_statements);
    if (write && (!request.m_has_id ||
                  request.m_id.m_issued_unix_ms >
                      m_shared.m_clock.unix_ms() + max_issue_ahead_ms))
        return refuse(reply,
                      not_run(base::refusal_reason::request_id_invalid,
                              absl::ZeroDuration(),
                              "a write needs a request id that was issued at "
                              "most 60 s ahead of the host's clock"));
    admitted_request what;
    what.m_what = {std::move(request.m_statements),
                   write,
                   request.m_may_repeat,
                   false,
                   request.m_id,
                   request.m_deadline};
    what.m_authority = who->m_authority;
    what.m_group = who->m_route->m_group;
    what.m_max_staleness = who->m_route->m_staleness;
    what.m_replica_wait = m_options.m_replica_wait;
    what.m_session = std::move(who->m_session);
    what.m_session.m_organisation = what.m_authority.m_organisation;
    auto run = [this, reply, what = std::move(what)](base::instant at)
    {
        m_retries.attempt_started();
        auto job = std::make_shared<execute_job>(*this, what, reply);
        m_jobs[job.get()] = job;
        job->begin(at);
    };
    admit(*who, request.m_deadline, reply, std::move(run), now);
}

std::shared_ptr<transaction_job>
core::state::open_transaction(const transaction_request& request,
                              const std::shared_ptr<caller_reply>& reply)
{
    const base::instant now = m_shared.m_clock.now();
    auto who =
        authorise(request.m_key, request.m_route, request.m_session_token, now);
    if (!who.has_value())
    {
        refuse(reply, who.error());
        return nullptr;
    }
    admitted_transaction what;
    what.m_authority = who->m_authority;
    what.m_group = who->m_route->m_group;
    what.m_session = std::move(who->m_session);
    what.m_session.m_organisation = what.m_authority.m_organisation;
    what.m_deadline = request.m_deadline;
    auto job = std::make_shared<transaction_job>(*this, std::move(what), reply);
    auto run = [this, job](base::instant at)
    {
        m_retries.attempt_started();
        m_jobs[job.get()] = job;
        job->begin(at);
    };
    admit(*who, request.m_deadline, reply, std::move(run), now);
    return job;
}

void core::state::job_finished(const job& what)
{
    m_jobs.erase(&what);
}

context& core::state::shared()
{
    return m_shared;
}

request::retry_policy& core::state::retries()
{
    return m_retries;
}

group_runtime* core::state::find_group(const base::group_id& id)
{
    const auto found = m_groups.find(id);
    return found == m_groups.end() ? nullptr : found->second.get();
}

base::result<std::string>
core::state::encode(const session::session_state& state)
{
    const active_fleet* fleet = m_control.fleet();
    if (fleet == nullptr)
        return base::fail(base::error_code::unavailable,
                          "the host has no configuration");
    return fleet->m_codec.encode(state);
}

rpc::borrow_response
core::state::lend_tokens(const base::organisation_id& organisation,
                         std::uint64_t amount, base::instant now)
{
    rpc::borrow_response answer;
    const active_fleet* fleet = m_control.fleet();
    const inventory::organisation* who =
        fleet == nullptr ? nullptr : fleet->m_inventory.find(organisation);
    // A host that may not serve keyed requests may not lend for them either.
    if (who != nullptr && m_control.is_confirmed(now))
        answer.m_amount = m_gate.lend_tokens(*who, amount, now);
    return answer;
}

rpc::borrow_response core::state::borrow(const rpc::borrow_request& request)
{
    const base::instant now = m_shared.m_clock.now();
    if (const auto organisation = token_organisation(request.m_resource))
        return lend_tokens(*organisation, request.m_amount, now);
    // Open connections have to be known before any are lent, and the buckets
    // have to be cut before the borrower can count its loan.
    apply_shares(now);
    const rpc::borrow_response answer = m_control.borrow_received(request, now);
    apply_shares(now);
    return answer;
}

configuration::content core::state::present_content() const
{
    const configuration::active_configuration* active =
        m_control.keeper().active();
    return active == nullptr ? configuration::content() : active->m_content;
}

change_report core::state::report(const change_result& result)
{
    change_report report;
    report.m_version = result.m_change.m_version;
    switch (result.m_state)
    {
    case configuration::change_state::stored:
        report.m_standing = result.m_acceptance.m_accepted
                                ? change_standing::accepted
                                : change_standing::stored_pending;
        report.m_pending = result.m_acceptance.m_pending;
        break;
    case configuration::change_state::conflict:
        report.m_standing = change_standing::conflict;
        report.m_winner = result.m_change.m_author;
        break;
    case configuration::change_state::invalid:
        report.m_standing = change_standing::invalid;
        break;
    case configuration::change_state::running:
    case configuration::change_state::unknown:
        report.m_standing = change_standing::unknown;
        break;
    }
    if (!result.m_problem.empty())
        report.m_errors.push_back(result.m_problem);
    return report;
}

void core::state::apply(apply_request request,
                        const std::function<void(change_report)>& done)
{
    const auto parsed =
        inventory::parse_inventory(request.m_inventory, "inventory");
    if (!parsed.has_value())
    {
        change_report report;
        report.m_standing = change_standing::invalid;
        for (const settings::problem& item : parsed.error())
            report.m_errors.push_back(item.to_string());
        return done(std::move(report));
    }
    if (const active_fleet* fleet = m_control.fleet())
    {
        change_report report;
        report.m_standing = change_standing::invalid;
        report.m_errors =
            inventory::unsafe_changes(fleet->m_inventory, *parsed);
        if (!report.m_errors.empty())
            return done(std::move(report));
    }
    configuration::content next = present_content();
    next.m_inventory_text = std::move(request.m_inventory);
    if (next.m_token_secrets.empty())
        next.m_token_secrets.push_back(credentials::new_token_secret());
    // A key of an organisation that is gone would be dead weight.
    std::erase_if(next.m_keys,
                  [&parsed](const auto& key)
                  {
                      return parsed->find(key.m_organisation) == nullptr;
                  });
    m_control.start_change(request.m_based_on, std::move(next),
                           std::move(request.m_label.m_change_id),
                           std::move(request.m_label.m_author),
                           [done](const change_result& result)
                           {
                               done(report(result));
                           });
}

void core::state::change_status(base::configuration_version version,
                                const std::function<void(change_report)>& done)
{
    const configuration::acceptance judged =
        m_control.judge(version, m_shared.m_clock.now());
    change_report report;
    report.m_version = version;
    report.m_standing = judged.m_accepted ? change_standing::accepted
                                          : change_standing::stored_pending;
    report.m_pending = judged.m_pending;
    done(std::move(report));
}

shown_configuration core::state::show() const
{
    shown_configuration shown;
    const configuration::active_configuration* active =
        m_control.keeper().active();
    if (active == nullptr)
        return shown;
    shown.m_version = active->m_change.m_version;
    shown.m_hash = active->m_change.m_hash;
    shown.m_inventory = active->m_content.m_inventory_text;
    for (const credentials::key_record& key : active->m_content.m_keys)
        shown.m_keys.emplace_back(key.m_id, key.m_organisation);
    return shown;
}

void core::state::issue_key(const base::organisation_id& organisation,
                            change_label label,
                            const std::function<void(issued_key_report)>& done)
{
    const active_fleet* fleet = m_control.fleet();
    if (fleet == nullptr || fleet->m_inventory.find(organisation) == nullptr)
    {
        issued_key_report report;
        report.m_change.m_standing = change_standing::invalid;
        report.m_change.m_errors.push_back(
            "organisation \"" + organisation.str() +
            "\" is not in the inventory in force");
        return done(std::move(report));
    }
    credentials::issued_key key = credentials::issue(organisation);
    configuration::content next = present_content();
    next.m_keys.push_back(key.m_record);
    m_control.start_change(
        fleet->m_change.m_version, std::move(next),
        std::move(label.m_change_id), std::move(label.m_author),
        [done, text = std::move(key.m_text)](const change_result& result)
        {
            issued_key_report issued{report(result), {}};
            if (result.m_state == configuration::change_state::stored)
                issued.m_key_text = text;
            done(std::move(issued));
        });
}

void core::state::withdraw_key(const base::key_id& key, change_label label,
                               const std::function<void(change_report)>& done)
{
    const active_fleet* fleet = m_control.fleet();
    if (fleet == nullptr || !fleet->m_keys.contains(key))
    {
        change_report report;
        report.m_standing = change_standing::invalid;
        report.m_errors.push_back("key \"" + key.str() +
                                  "\" is not in the configuration in force");
        return done(std::move(report));
    }
    configuration::content next = present_content();
    std::erase_if(next.m_keys,
                  [&key](const auto& item)
                  {
                      return item.m_id == key;
                  });
    m_control.start_change(fleet->m_change.m_version, std::move(next),
                           std::move(label.m_change_id),
                           std::move(label.m_author),
                           [done](const change_result& result)
                           {
                               done(report(result));
                           });
}

host_status core::state::status()
{
    const base::instant now = m_shared.m_clock.now();
    host_status status;
    status.m_host = m_options.m_self;
    status.m_failure_domain = m_options.m_failure_domain;
    status.m_state = "serving";
    if (m_control.fleet() == nullptr)
        status.m_state = "unconfigured";
    else if (!m_control.is_confirmed(now))
        status.m_state = "unconfirmed";
    if (m_draining)
        status.m_state = "draining";
    if (m_control.fleet() != nullptr)
        status.m_version = m_control.fleet()->m_change.m_version;
    status.m_confirmed_age = m_control.keeper().confirmed_age(now);
    status.m_store_reachable = m_control.keeper().is_store_reachable();
    status.m_members.push_back(m_control.members().self());
    for (const membership::member& item : m_control.members().members())
        status.m_members.push_back(item.m_entry);
    for (auto& [id, group] : m_groups)
        status.m_groups.push_back(group->status(now));
    std::sort(status.m_groups.begin(), status.m_groups.end(),
              [](const auto& left, const auto& right)
              {
                  return left.m_group < right.m_group;
              });
    return status;
}

} // namespace magnoliastack::proxy
