// Abstract check of a configuration before it is used.
#ifndef MAGNOLIASTACK_CONFIGURATION_CHECKER_HPP
#define MAGNOLIASTACK_CONFIGURATION_CHECKER_HPP

#include "magnoliastack/configuration/content.hpp"

namespace magnoliastack::configuration
{

// Decides whether a configuration can be put in force on this host.
class content_checker
{
public:
    virtual ~content_checker() = default;

    // Checks a content in full. The error says what is wrong and quotes no
    // key and no secret.
    virtual base::result<bool> check(const content& value) = 0;
};

} // namespace magnoliastack::configuration

#endif
