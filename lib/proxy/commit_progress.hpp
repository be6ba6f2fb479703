// How far a point is on its way to being committed.
#ifndef MAGNOLIASTACK_LIB_PROXY_COMMIT_PROGRESS_HPP
#define MAGNOLIASTACK_LIB_PROXY_COMMIT_PROGRESS_HPP

#include "magnoliastack/group/group_view.hpp"
#include "magnoliastack/request/machine.hpp"

namespace magnoliastack::proxy
{

// A point of an older term that is not known to be committed is superseded:
// whether the newer log has it can only be learned by a probe.
inline request::commit_progress progress_of(const group::group_view& view,
                                            base::log_point point)
{
    if (view.is_committed(point))
        return request::commit_progress::committed;
    if (point.m_term < view.current_term())
        return request::commit_progress::superseded;
    return request::commit_progress::pending;
}

} // namespace magnoliastack::proxy

#endif
