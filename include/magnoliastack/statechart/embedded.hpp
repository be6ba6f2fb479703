// The charts of charts/, compiled into the binaries as text.
#ifndef MAGNOLIASTACK_STATECHART_EMBEDDED_HPP
#define MAGNOLIASTACK_STATECHART_EMBEDDED_HPP

#include <string_view>

namespace magnoliastack::statechart::embedded
{

extern const std::string_view request;
extern const std::string_view connection;
extern const std::string_view endpoint;
extern const std::string_view failover;
extern const std::string_view share_lease;
extern const std::string_view host_drain;

} // namespace magnoliastack::statechart::embedded

#endif
