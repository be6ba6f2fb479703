#include "magnoliastack/session/token_codec.hpp"

#include <random>
#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace magnoliastack;
using session::session_state;
using session::token_codec;

namespace
{

const base::organisation_id works("works");

base::log_point point(std::uint64_t term, std::uint64_t position)
{
    return {base::term(term), base::log_position(position)};
}

session_state state_with(int groups, std::size_t name_length = 4)
{
    session_state state;
    state.m_organisation = works;
    for (int index = 0; index < groups; ++index)
    {
        std::string name = std::to_string(index);
        name.resize(name_length, 'g');
        state.advance(base::group_id(name), point(7, 1'000'000 + index));
    }
    return state;
}

} // namespace

// Guards against a merge that takes the greater point: the term of one answer
// and the position of another are both needed.
Test(session_state, a_higher_term_hides_a_higher_position)
{
    session_state state;
    const base::group_id group("g");
    state.advance(group, point(1, 100));
    session_state other;
    other.advance(group, point(2, 90));
    state.merge(other);
    cr_assert(state.position_of(group) == point(2, 100));
    state.advance(group, point(1, 95));
    cr_assert(state.position_of(group) == point(2, 100));
}

// Guards against a token that loses a position or is refused by the host that
// holds the secret as its previous one.
Test(token_codec, a_token_is_lost_when_the_secret_changes)
{
    const session_state state = state_with(32);
    const auto token = token_codec({"old"}).encode(state);
    cr_assert(token.has_value());
    cr_assert(token_codec({"new", "old"}).decode(*token, works) == state);
    cr_assert_not(token_codec({"new"}).decode(*token, works));
    const auto renewed = token_codec({"new", "old"}).encode(state);
    cr_assert(token_codec({"new"}).decode(*renewed, works) == state);
}

// Guards against a token that another organisation or an open route can use.
Test(token_codec, a_token_works_for_another_organisation)
{
    const token_codec codec({"secret"});
    const auto token = codec.encode(state_with(1));
    for (const char* other : {"", "guild", "work", "works "})
        cr_assert_not(codec.decode(*token, base::organisation_id(other)));
}

// Guards against unbounded tokens and against signing with no secret.
Test(token_codec, bounds_are_exceeded)
{
    const token_codec codec({"secret"});
    cr_assert(codec.encode(state_with(33)).error().m_code ==
              base::error_code::unsupported);
    cr_assert(codec.encode(state_with(30, 100)).error().m_code ==
              base::error_code::unsupported);
    cr_assert_not(state_with(32).has_room_for(base::group_id("another")));
    const std::string longest(session::max_token_bytes + 1, 'x');
    cr_assert(codec.decode(longest, works).error().m_code ==
              base::error_code::corrupt);
    cr_assert_not(token_codec({}).encode(state_with(1)));
    cr_assert_not(token_codec({""}).encode(state_with(1)));
    cr_assert(codec.decode("", works)->m_positions.empty());
}

// Guards against altered, cut, extended or spliced tokens that are accepted, or
// that crash the host.
Test(token_codec, an_altered_token_is_accepted)
{
    const token_codec codec({"secret", "previous"});
    std::mt19937_64 random(20261204);
    const auto below = [&](std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    };
    std::set<std::string> issued;
    for (int groups = 0; groups <= 32; ++groups)
        issued.insert(*codec.encode(state_with(groups)));
    const std::vector<std::string> tokens(issued.begin(), issued.end());
    for (int run = 0; run < 50'000; ++run)
    {
        std::string token = tokens[below(tokens.size())];
        const std::string& other = tokens[below(tokens.size())];
        switch (below(5))
        {
        case 0:
            token[below(token.size())] ^= static_cast<char>(1U << below(8));
            break;
        case 1:
            token.resize(1 + below(token.size()));
            break;
        case 2:
            token.insert(below(token.size()), 1, static_cast<char>(below(256)));
            break;
        case 3:
            token = token.substr(0, below(token.size())) +
                    other.substr(below(other.size()));
            break;
        default:
            token.erase(below(token.size()), 1 + below(8));
            break;
        }
        if (!token.empty() && !issued.contains(token))
            cr_assert_not(codec.decode(token, works).has_value(), "run %d",
                          run);
    }
}
