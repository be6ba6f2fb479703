// A configuration on its way between two hosts.
#ifndef MAGNOLIASTACK_FLEET_CONFIGURATION_CODEC_HPP
#define MAGNOLIASTACK_FLEET_CONFIGURATION_CODEC_HPP

#include "magnoliastack/catalogue/configuration.hpp"

#include "magnoliastack/fleet.capnp.h"

namespace magnoliastack::fleet
{

void write_configuration(wire::Configuration::Builder to,
                         const catalogue::configuration& from);

catalogue::configuration read_configuration(wire::Configuration::Reader from);

} // namespace magnoliastack::fleet

#endif
