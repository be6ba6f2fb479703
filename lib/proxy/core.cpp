#include "magnoliastack/proxy/core.hpp"

#include "core_state.hpp"

#include <utility>

namespace magnoliastack::proxy
{

namespace
{

// Passes a caller's steps to its job on the event loop. The job is created on
// the loop as well, so it is found through a shared cell.
class posted_transaction final : public transaction_handle
{
public:
    struct cell
    {
        std::shared_ptr<transaction_job> m_job;
    };

    posted_transaction(std::function<void(std::function<void()>)> post,
                       const base::clock& clock, std::shared_ptr<cell> target)
        : m_post(std::move(post)), m_clock(clock), m_cell(std::move(target))
    {
    }

    void run(rpc::statement what) override
    {
        post(
            [what = std::move(what)](transaction_job& job,
                                     base::instant now) mutable
            {
                job.run(std::move(what), now);
            });
    }
    void commit(base::request_id id) override
    {
        post(
            [id](transaction_job& job, base::instant now)
            {
                job.commit(id, now);
            });
    }
    void roll_back() override
    {
        post(
            [](transaction_job& job, base::instant now)
            {
                job.roll_back(now);
            });
    }
    void abandon() override
    {
        post(
            [](transaction_job& job, base::instant now)
            {
                job.abandon(now);
            });
    }

private:
    void post(std::function<void(transaction_job&, base::instant)> step)
    {
        m_post(
            [target = m_cell, &clock = m_clock, step = std::move(step)]
            {
                // Without a job the transaction was refused, which its caller
                // has been told.
                if (target->m_job)
                    step(*target->m_job, clock.now());
            });
    }

    std::function<void(std::function<void()>)> m_post;
    const base::clock& m_clock;
    std::shared_ptr<cell> m_cell;
};

} // namespace

core::core(core_options options, core_links links)
    : m_state(std::make_unique<state>(std::move(options), std::move(links)))
{
}

core::~core() = default;

void core::tick()
{
    m_state->tick();
}

void core::drain()
{
    m_state->drain();
}

bool core::is_draining() const
{
    return m_state->is_draining();
}

void core::close()
{
    m_state->close();
}

void core::announce_gone()
{
    m_state->control().announce_gone();
}

bool core::is_drained() const
{
    return m_state->is_drained();
}

void core::execute(caller_request request, std::shared_ptr<caller_reply> reply)
{
    m_state->m_post(
        [this, request = std::move(request), reply = std::move(reply)]() mutable
        {
            m_state->execute(std::move(request), reply);
        });
}

std::shared_ptr<transaction_handle>
core::open_transaction(transaction_request request,
                       std::shared_ptr<caller_reply> reply)
{
    auto target = std::make_shared<posted_transaction::cell>();
    m_state->m_post(
        [this, target, request = std::move(request), reply = std::move(reply)]
        {
            target->m_job = m_state->open_transaction(request, reply);
        });
    return std::make_shared<posted_transaction>(
        m_state->m_post, m_state->shared().m_clock, std::move(target));
}

void core::apply(apply_request request, std::function<void(change_report)> done)
{
    m_state->m_post(
        [this, request = std::move(request), done = std::move(done)]() mutable
        {
            m_state->apply(std::move(request), done);
        });
}

void core::change_status(base::configuration_version version,
                         std::function<void(change_report)> done)
{
    m_state->m_post(
        [this, version, done = std::move(done)]
        {
            m_state->change_status(version, done);
        });
}

void core::show(std::function<void(shown_configuration)> done)
{
    m_state->m_post(
        [this, done = std::move(done)]
        {
            done(m_state->show());
        });
}

void core::issue_key(base::organisation_id organisation, change_label label,
                     std::function<void(issued_key_report)> done)
{
    m_state->m_post(
        [this, organisation = std::move(organisation), label = std::move(label),
         done = std::move(done)]
        {
            m_state->issue_key(organisation, label, done);
        });
}

void core::withdraw_key(base::key_id key, change_label label,
                        std::function<void(change_report)> done)
{
    m_state->m_post(
        [this, key = std::move(key), label = std::move(label),
         done = std::move(done)]
        {
            m_state->withdraw_key(key, label, done);
        });
}

void core::status(std::function<void(host_status)> done)
{
    m_state->m_post(
        [this, done = std::move(done)]
        {
            done(m_state->status());
        });
}

void core::start_drain(std::function<void()> done)
{
    m_state->m_post(
        [this, done = std::move(done)]
        {
            m_state->drain();
            done();
        });
}

void core::handle_exchange(rpc::exchange_message message,
                           std::function<void(rpc::exchange_message)> reply)
{
    m_state->m_post(
        [this, message = std::move(message), reply = std::move(reply)]
        {
            reply(m_state->control().exchange_received(
                message, m_state->shared().m_clock.now()));
        });
}

void core::handle_borrow(rpc::borrow_request request,
                         std::function<void(rpc::borrow_response)> reply)
{
    m_state->m_post(
        [this, request = std::move(request), reply = std::move(reply)]
        {
            reply(m_state->borrow(request));
        });
}

void core::handle_give_back(rpc::give_back message)
{
    m_state->m_post(
        [this, message = std::move(message)]
        {
            m_state->control().shares().give_back_received(
                message, m_state->shared().m_clock.now());
        });
}

void core::handle_fetch_configuration(
    base::configuration_version minimum_version,
    std::function<void(base::result<rpc::configuration_object>)> reply)
{
    m_state->m_post(
        [this, minimum_version, reply = std::move(reply)]
        {
            reply(m_state->control().configuration_for_peer(minimum_version));
        });
}

} // namespace magnoliastack::proxy
