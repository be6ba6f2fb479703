// What hosts may send to an endpoint that is slow after its start.
#ifndef MAGNOLIASTACK_ADMISSION_COLD_GATE_HPP
#define MAGNOLIASTACK_ADMISSION_COLD_GATE_HPP

#include "magnoliastack/admission/token_bucket.hpp"

#include <cstddef>

namespace magnoliastack::admission
{

// At most so many hosts send to a cold endpoint: the bursts of one of each stay
// within the excess that is allowed.
inline constexpr std::size_t largest_cold_senders = 4;

// A host's part in the requests to one cold endpoint.
struct cold_share
{
    // Requests a second of all hosts; 0 for no limit.
    double m_rate = 0;
    // Hosts that the rate is divided by.
    std::size_t m_senders = largest_cold_senders;
    // This host may give the endpoint new work.
    bool m_sends = false;
};

// Divides the rates of cold endpoints over the members of a fleet.
class cold_division
{
public:
    // Takes the number of members that are known now.
    void set_members(std::size_t members, base::instant now);

    // The part of the host at `place` in the endpoint's order of members.
    // `may_send` is false while the host cannot confirm who is a member.
    [[nodiscard]] cold_share share(double rate, std::size_t place,
                                   bool may_send, base::instant now) const;

private:
    std::size_t m_members = 0;
    base::instant m_changed;
};

// Counts this host's requests to one endpoint while it is cold. Every request
// takes a token: new work only starts with one, and the rest of what it needs
// waits for one each.
class cold_gate
{
public:
    cold_gate();

    // The endpoint is cold for `left` from now on.
    void set_cold_for(absl::Duration left, base::instant now);
    void set_share(const cold_share& share, base::instant now);

    [[nodiscard]] bool is_cold(base::instant now) const;
    // True while this host may not start new work at the endpoint.
    [[nodiscard]] bool is_closed(base::instant now) const;
    // True when a request may be sent now; always while it is not cold.
    [[nodiscard]] bool has_token(base::instant now) const;
    // Takes the token of a request; true without one while it is not cold.
    bool try_take(base::instant now);

private:
    cold_share m_share;
    token_bucket m_bucket;
    base::instant m_until;
};

} // namespace magnoliastack::admission

#endif
