// magnolia-ctl: checks and changes the configuration of the fleet.
#include "magnoliastack/ctl/ctl.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    return magnoliastack::ctl::run(argc, argv, MAGNOLIASTACK_VERSION, std::cout,
                                   std::cerr);
}
