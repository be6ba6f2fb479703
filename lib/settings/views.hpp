// Conversion between the two string views. Debian builds Abseil as C++14, so
// that absl::string_view is a type of its own there.
#ifndef MAGNOLIASTACK_LIB_SETTINGS_VIEWS_HPP
#define MAGNOLIASTACK_LIB_SETTINGS_VIEWS_HPP

#include "absl/strings/string_view.h"

#include <string_view>

namespace magnoliastack::settings
{

inline absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

inline std::string_view to_std(absl::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace magnoliastack::settings

#endif
