// Tokens of organisations' rates on their way between hosts.
#include "magnoliastack/entry/fleet_service.hpp"

namespace magnoliastack::entry
{

bool fleet_service::request_tokens(const base::organisation_id& who,
                                   std::uint32_t amount)
{
    const auto now = m_links.m_clock.now();
    const auto lender = m_homes.is_large_fleet() ? m_homes.choose(who, now)
                                                 : m_demand.richest(who);
    const fleet::member* to = lender ? m_members.find(*lender) : nullptr;
    if (to == nullptr)
        return false;
    m_links.m_metrics.counter("tokens.asked").add(amount);
    m_links.m_datagrams.send(
        to->m_row.m_address,
        fleet::encode(fleet::token_request{transfer(who, amount)}));
    return true;
}

void fleet_service::return_token(const base::organisation_id& who,
                                 const base::host_id& lender)
{
    const fleet::member* to = m_members.find(lender);
    if (to == nullptr)
        return;
    m_demand.returned(lender, who, 1);
    m_links.m_datagrams.send(
        to->m_row.m_address,
        fleet::encode(fleet::token_return{transfer(who, 1)}));
}

void fleet_service::take_request(const fleet::token_transfer& request,
                                 base::instant now)
{
    const fleet::member* from = m_members.find(request.m_host);
    if (from == nullptr || m_leaving)
        return;
    const auto lent =
        m_tokens->lend_tokens(request.m_organisation, request.m_amount, now);
    m_links.m_metrics.counter("tokens.lent").add(lent);
    m_links.m_datagrams.send(from->m_row.m_address,
                             fleet::encode(fleet::token_grant{
                                 transfer(request.m_organisation, lent)}));
}

void fleet_service::take_grant(const fleet::token_transfer& grant,
                               base::instant now)
{
    m_homes.answered(grant.m_host, grant.m_organisation, grant.m_amount, now);
    m_demand.gave(grant.m_host, grant.m_organisation, grant.m_amount);
    m_tokens->tokens_granted(grant.m_organisation, grant.m_host, grant.m_amount,
                             now);
}

fleet::token_transfer fleet_service::transfer(const base::organisation_id& who,
                                              std::uint32_t amount) const
{
    return {m_options.m_self, m_options.m_incarnation, who, amount};
}

} // namespace magnoliastack::entry
