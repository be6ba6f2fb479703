// The configuration in force, in the form in which requests use it.
#ifndef MAGNOLIASTACK_LIB_PROXY_ACTIVE_FLEET_HPP
#define MAGNOLIASTACK_LIB_PROXY_ACTIVE_FLEET_HPP

#include "magnoliastack/configuration/checker.hpp"
#include "magnoliastack/configuration/content.hpp"
#include "magnoliastack/credentials/key_ring.hpp"
#include "magnoliastack/inventory/inventory.hpp"
#include "magnoliastack/session/token_codec.hpp"

#include <string>
#include <utility>
#include <vector>

namespace magnoliastack::proxy
{

// Parsed once when a version comes into force.
struct active_fleet
{
    active_fleet(configuration::change_record change,
                 inventory::inventory parsed,
                 const configuration::content& source)
        : m_change(std::move(change)), m_inventory(std::move(parsed)),
          m_keys(source.m_keys), m_codec(source.m_token_secrets)
    {
    }

    configuration::change_record m_change;
    inventory::inventory m_inventory;
    credentials::key_ring m_keys;
    session::token_codec m_codec;
};

// Checks a configuration by parsing its inventory.
class inventory_checker final : public configuration::content_checker
{
public:
    base::result<bool> check(const configuration::content& value) override
    {
        const auto parsed =
            inventory::parse_inventory(value.m_inventory_text, "inventory");
        if (!parsed.has_value())
            return base::fail(base::error_code::invalid_argument,
                              parsed.error().front().to_string());
        if (value.m_token_secrets.empty())
            return base::fail(base::error_code::invalid_argument,
                              "the configuration has no token secret");
        return true;
    }
};

} // namespace magnoliastack::proxy

#endif
