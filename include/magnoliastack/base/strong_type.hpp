// Strong types for identifiers and units: values of different tags do not mix.
#ifndef MAGNOLIASTACK_BASE_STRONG_TYPE_HPP
#define MAGNOLIASTACK_BASE_STRONG_TYPE_HPP

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <utility>

namespace magnoliastack::base
{

// A name that identifies one kind of thing; the tag keeps kinds apart.
template <typename Tag>
class strong_name
{
public:
    strong_name() = default;
    explicit strong_name(std::string text) : m_text(std::move(text))
    {
    }

    [[nodiscard]] const std::string& str() const
    {
        return m_text;
    }
    [[nodiscard]] bool empty() const
    {
        return m_text.empty();
    }

    auto operator<=>(const strong_name&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const strong_name& name)
    {
        return Hash::combine(std::move(state), name.m_text);
    }
    friend std::ostream& operator<<(std::ostream& out, const strong_name& name)
    {
        return out << name.m_text;
    }

private:
    std::string m_text;
};

// An unsigned 64-bit number with a meaning; the tag keeps meanings apart.
template <typename Tag>
class strong_number
{
public:
    constexpr strong_number() = default;
    constexpr explicit strong_number(std::uint64_t value) : m_value(value)
    {
    }

    [[nodiscard]] constexpr std::uint64_t value() const
    {
        return m_value;
    }
    [[nodiscard]] constexpr strong_number next() const
    {
        return strong_number(m_value + 1);
    }

    constexpr auto operator<=>(const strong_number&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const strong_number& number)
    {
        return Hash::combine(std::move(state), number.m_value);
    }
    friend std::ostream& operator<<(std::ostream& out,
                                    const strong_number& number)
    {
        return out << number.m_value;
    }

private:
    std::uint64_t m_value = 0;
};

} // namespace magnoliastack::base

#endif
