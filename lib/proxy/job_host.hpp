// What a job needs of the core.
#ifndef MAGNOLIASTACK_LIB_PROXY_JOB_HOST_HPP
#define MAGNOLIASTACK_LIB_PROXY_JOB_HOST_HPP

#include "context.hpp"
#include "group_runtime.hpp"

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/request/retry.hpp"
#include "magnoliastack/session/session_state.hpp"

#include <string>

namespace magnoliastack::proxy
{

// Why a request is allowed; checked again before each call, because a key can
// be withdrawn while the request waits.
struct authority
{
    // Empty on an open route.
    base::organisation_id m_organisation;
    base::key_id m_key;
    base::route_id m_route;
};

// The core as jobs see it; valid as long as any job.
class job_host
{
public:
    virtual ~job_host() = default;

    virtual context& shared() = 0;
    virtual request::retry_policy& retries() = 0;

    // The group, or null after a change of the inventory removed it.
    virtual group_runtime* find_group(const base::group_id& id) = 0;

    // False once the key was withdrawn, the route changed hands or the
    // configuration is not confirmed current.
    virtual bool is_still_authorised(const authority& what,
                                     base::instant now) = 0;

    // The session's token after the request.
    virtual base::result<std::string>
    encode(const session::session_state& state) = 0;

    // The job is over; the core forgets it.
    virtual void job_finished(const job& what) = 0;
};

} // namespace magnoliastack::proxy

#endif
