// One promoter's attempt to give a group a primary in one term.
#ifndef MAGNOLIASTACK_FAILOVER_PROMOTION_ATTEMPT_HPP
#define MAGNOLIASTACK_FAILOVER_PROMOTION_ATTEMPT_HPP

#include "magnoliastack/base/ids.hpp"
#include "magnoliastack/rpc/endpoint_link.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace magnoliastack::failover
{

// Collects the seals of a term and chooses the endpoint to promote. The choice
// is made once: a second choice in the same term could give it two primaries.
class promotion_attempt
{
public:
    // `first` are the endpoints that are sealed first, `later` those that are
    // sealed once a majority is.
    promotion_attempt(base::term target, std::vector<base::endpoint_id> first,
                      std::vector<base::endpoint_id> later,
                      std::size_t majority);

    [[nodiscard]] base::term target() const
    {
        return m_target;
    }

    // The endpoints that have not answered and are asked again.
    [[nodiscard]] std::vector<base::endpoint_id> unsealed() const;

    // The endpoints to seal after the majority.
    [[nodiscard]] const std::vector<base::endpoint_id>& later() const
    {
        return m_later;
    }

    // The endpoint has sealed the term; its log stays as in the status.
    void sealed(const base::endpoint_id& endpoint,
                const rpc::endpoint_status& status);

    // The endpoint refused, because it is sealed for another promoter.
    void refused(const base::endpoint_id& endpoint);

    // True when the refusals leave no majority. One refusal alone does not end
    // the attempt: two promoters that both gave up would leave no primary.
    [[nodiscard]] bool is_lost() const;

    // Chooses the endpoint with the highest (last entry's term, position) of
    // a sealed majority, on a tie one that is not leaving. None before a
    // majority is sealed.
    std::optional<base::endpoint_id>
    choose(const std::set<base::endpoint_id>& leaving);

    // The choice, once made.
    [[nodiscard]] const std::optional<base::endpoint_id>& chosen() const
    {
        return m_chosen;
    }

private:
    base::term m_target;
    std::vector<base::endpoint_id> m_first;
    std::vector<base::endpoint_id> m_later;
    std::size_t m_majority;
    std::map<base::endpoint_id, rpc::endpoint_status> m_sealed;
    std::set<base::endpoint_id> m_refused;
    std::optional<base::endpoint_id> m_chosen;
};

} // namespace magnoliastack::failover

#endif
